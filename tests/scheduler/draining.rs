//! The endpoint list: opening its watch, and keeping new attempts from draining and removed endpoints.

use inference_router::scheduler::{Action, EndpointUpdate, Event, Lifecycle, Outcome, Scheduler, Settings};

use crate::common::scheduler_harness::{
    DECODE, PREFILL, SECOND, SchedulerHarness, endpoint_update, sent_endpoint, settings,
};

#[test]
fn the_endpoint_list_watch_is_opened_once_and_reopened_after_a_failure() {
    let settings = Settings { watch_endpoint_list: true, ..settings() };
    let mut harness = SchedulerHarness { scheduler: Scheduler::new(settings, 1), now: 0 };
    assert_eq!(harness.step(0, &[]), [Action::WatchEndpoints]);
    assert_eq!(harness.step(SECOND, &[]), []);
    assert_eq!(harness.step(0, &[Event::WatchFailed]), [Action::WatchEndpoints]);
}

#[test]
fn a_draining_endpoint_gets_no_new_attempts() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    let draining = |id| EndpointUpdate { lifecycle: Lifecycle::Draining, ..endpoint_update(id, 1) };
    harness.receive_delta(&[draining(DECODE)]);
    assert_eq!(sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled)), Some(11));
    harness.receive_delta(&[draining(11)]);
    assert_eq!(sent_endpoint(&harness.receive_request(2)), None);
}

#[test]
fn an_endpoint_missing_from_a_snapshot_is_removed() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_snapshot(&[endpoint_update(PREFILL, 0)]);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), None);
}
