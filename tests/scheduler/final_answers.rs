//! Each request gets exactly one final answer by its deadline, unless its client has disconnected.

use inference_router::scheduler::{
    Action, ClassId, DeduplicationScope, Event, Idempotency, Outcome, RequestId, RequestSpec,
};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SECOND, SchedulerHarness, attempt_finished, endpoint_in_cell,
    endpoint_update, final_answers, first_token, request_spec, sent_endpoint, settings,
};
use crate::retries::after_decode_timeout;

#[test]
fn a_queued_request_is_rejected_once_before_its_deadline() {
    let mut harness = SchedulerHarness::new(settings(), &[]);
    let mut answers = final_answers(&harness.receive_request(1));
    for _ in 0..900 {
        answers += final_answers(&harness.tick(5 * MILLISECOND));
        if harness.now < 104 * SECOND {
            continue;
        }
        assert_eq!(answers, 1, "expected one final answer by the deadline");
    }
    assert_eq!(answers, 1);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected_at_once_with_a_retry_delay() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let request = RequestSpec { client_timeout: 11 * MILLISECOND, ..request_spec(1) };
    let actions = harness.receive(request);
    let rejected = Action::Reject { request: RequestId(1), retry_after: Some(SECOND) };
    assert!(actions.contains(&rejected), "{actions:?}");
}

#[test]
fn nothing_is_sent_after_the_client_disconnected() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    harness.step(0, &[Event::ClientDisconnected(RequestId(1))]);
    let actions = harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    assert_eq!((sent_endpoint(&actions), final_answers(&actions)), (None, 0));
    assert!(
        actions.contains(&Action::ReleaseReservation(RequestId(1))),
        "reservation not released: {actions:?}"
    );
}

#[test]
fn events_of_unknown_requests_are_ignored() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let events = [
        Event::ClientDisconnected(RequestId(77)),
        first_token(78, 999),
        attempt_finished(79, 999, Outcome::Completed, true),
    ];
    let actions = harness.step(0, &events);
    assert_eq!((sent_endpoint(&actions), final_answers(&actions)), (None, 0));
}

#[test]
fn a_queued_request_that_may_not_be_retried_is_answered_at_once() {
    let endpoints =
        [endpoint_in_cell(PREFILL, 0, 1), endpoint_in_cell(DECODE, 1, 1), endpoint_in_cell(11, 1, 2)];
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: SECOND };
    let (mut harness, mut actions) = after_decode_timeout(keyed, &endpoints);
    // The only decode endpoint in its deduplication scope has failed, and its window ends long before its
    // deadline.
    let mut answered_at = None;
    for _ in 0..200 {
        if final_answers(&actions) > 0 {
            answered_at = Some(harness.now);
            break;
        }
        actions = match sent_endpoint(&actions) {
            Some(PREFILL) => harness.finish_attempt(1, PREFILL, Outcome::Prefilled),
            Some(endpoint) => harness.finish_attempt(1, endpoint, Outcome::Rejected),
            None => harness.tick(10 * MILLISECOND),
        };
    }
    let answered_at = answered_at.expect("request gets a final answer");
    assert!(answered_at <= 100 * SECOND + SECOND + 100 * MILLISECOND, "answered at {answered_at} us");
}

#[test]
fn a_request_of_an_unknown_class_is_rejected_at_once() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let actions = harness.receive(RequestSpec { class: ClassId(9), ..request_spec(1) });
    assert_eq!(actions, [Action::Reject { request: RequestId(1), retry_after: None }]);
}

#[test]
fn a_request_that_needs_more_attempts_than_allowed_is_rejected_at_once() {
    let mut settings = settings();
    settings.capabilities.max_attempts = 1;
    settings.kinds.truncate(2);
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings, &endpoints);
    let rejected = Action::Reject { request: RequestId(1), retry_after: None };
    assert_eq!(harness.receive_request(1), [rejected]);
}
