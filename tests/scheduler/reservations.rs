//! Reservations: a prefilled KV cache is sent to a decode endpoint or released within the reservation limit.

use inference_router::scheduler::{Action, EndpointUpdate, Lifecycle, Outcome, RequestId};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SchedulerHarness, attempt_finished, attempt_finished_after,
    endpoint_update, sent_endpoint, settings,
};

fn releases_reservation(actions: &[Action]) -> bool {
    actions.contains(&Action::ReleaseReservation(RequestId(1)))
}

#[test]
fn a_reservation_without_a_decode_endpoint_is_released_in_time() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    harness.receive_delta(&[EndpointUpdate { lifecycle: Lifecycle::Removed, ..endpoint_update(DECODE, 1) }]);
    let mut actions = harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    let reserved_at = harness.now;
    while !releases_reservation(&actions) {
        actions = harness.tick(5 * MILLISECOND);
        assert!(harness.now < reserved_at + 500 * MILLISECOND, "still reserved after 500 ms");
    }
}

#[test]
fn a_rejected_reservation_is_retried_or_released_in_time() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    let mut actions = harness.finish_attempt(1, DECODE, Outcome::Rejected);
    let rejected_at = harness.now;
    while sent_endpoint(&actions).is_none() && !releases_reservation(&actions) {
        actions = harness.tick(5 * MILLISECOND);
        assert!(harness.now < rejected_at + 500 * MILLISECOND, "still reserved 500 ms after the rejection");
    }
}

#[test]
fn a_reservation_whose_connection_was_lost_in_progress_is_retried() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    let first = sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled))
        .expect("decode attempt is sent");
    let lost = attempt_finished_after(1, first, Outcome::ConnectionLost, 450 * MILLISECOND);
    let actions = harness.step(450 * MILLISECOND, &[lost]);
    let second = sent_endpoint(&actions).expect("retry is sent at once");
    assert!(
        ![first, PREFILL].contains(&second),
        "reservation not kept: sent to endpoint {second}, not to another decode endpoint"
    );
}

#[test]
fn reservations_are_released_when_a_missing_kv_cache_requeues_the_request() {
    let mut settings = settings();
    settings.capabilities.max_attempts = 8;
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings, &endpoints);
    harness.receive_request(1);
    let first = sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled))
        .expect("decode attempt is sent");
    let second = sent_endpoint(&harness.finish_attempt(1, first, Outcome::TimedOut)).expect("retry is sent");
    // The first decode endpoint may have fetched the KV cache without responding.
    let actions = harness.finish_attempt(1, second, Outcome::StateMissing);
    assert!(releases_reservation(&actions), "{actions:?}");
}

#[test]
fn failed_connections_to_decode_endpoints_do_not_extend_a_reservation() {
    let mut settings = settings();
    settings.capabilities.max_attempts = 8;
    let decode = (10..18).map(|id| endpoint_update(id, 1));
    let endpoints: Vec<_> = [endpoint_update(PREFILL, 0)].into_iter().chain(decode).collect();
    let mut harness = SchedulerHarness::new(settings, &endpoints);
    harness.receive_request(1);
    let mut actions = harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    let reserved_at = harness.now;
    while !releases_reservation(&actions) {
        actions = match sent_endpoint(&actions) {
            Some(endpoint) => {
                let failed = attempt_finished(1, endpoint, Outcome::ConnectFailed, false);
                harness.step(250 * MILLISECOND, &[failed])
            }
            None => harness.tick(5 * MILLISECOND),
        };
        assert!(harness.now < reserved_at + 800 * MILLISECOND, "still reserved after 800 ms");
    }
}

#[test]
fn a_retry_with_a_reservation_must_start_within_the_reservation_limit() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    let first = sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled))
        .expect("decode attempt is sent");
    let reserved_at = harness.now;
    let failed = attempt_finished(1, first, Outcome::ConnectFailed, false);
    let actions = harness.step(250 * MILLISECOND, &[failed]);
    let start_within = actions.iter().find_map(|action| match action {
        Action::Send { start_within, .. } => Some(*start_within),
        _ => None,
    });
    let left = reserved_at + 500 * MILLISECOND - harness.now;
    let start_within = start_within.expect("retry is sent");
    assert!(
        start_within.is_some_and(|within| within < left),
        "must start within {start_within:?}, but {left} us of the reservation limit are left"
    );
}

#[test]
fn a_connection_lost_right_after_a_send_does_not_extend_a_reservation() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    let mut actions = harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    let reserved_at = harness.now;
    while !releases_reservation(&actions) {
        let lost = sent_endpoint(&actions)
            .map(|endpoint| attempt_finished(1, endpoint, Outcome::ConnectionLost, false));
        actions = harness.step(5 * MILLISECOND, lost.as_slice());
        let reserved = harness.now - reserved_at;
        assert!(
            reserved <= 500 * MILLISECOND,
            "reserved for {reserved} us, nearly all of it without an attempt in flight"
        );
    }
}
