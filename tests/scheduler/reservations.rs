//! Reservations: a prefilled KV cache is sent to a decode endpoint or released within the reservation limit.

use inference_router::scheduler::{Action, EndpointUpdate, Lifecycle, Micros, Outcome, RequestId};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SchedulerHarness, attempt_finished, attempt_finished_after,
    endpoint_update, sent_attempt, sent_endpoint, settings, settings_with_ample_memory,
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

/// Returns a harness whose decode endpoints take `latency` to a first token, and in which request 1 has just
/// been sent to one of them, with the actions of that round.
fn after_send_to_slow_decode(latency: Micros, decode_endpoints: u32) -> (SchedulerHarness, Vec<Action>) {
    let decode = (0..decode_endpoints).map(|number| endpoint_update(DECODE + number, 1));
    let endpoints: Vec<_> = [endpoint_update(PREFILL, 0)].into_iter().chain(decode).collect();
    let mut harness = SchedulerHarness::new(settings_with_ample_memory(), &endpoints);
    for id in 100..140 {
        harness.serve_after(id, latency);
    }
    harness.receive_request(1);
    let actions = harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    (harness, actions)
}

// Guards against a KV cache that waits for an answer to a send that a silent connection has swallowed.
#[test]
fn an_unanswered_attempt_ends_while_its_kv_cache_can_be_released_in_time() {
    let limit = 500 * MILLISECOND;
    for latency in [20, 80, 150, 250].map(|milliseconds| milliseconds * MILLISECOND) {
        let (mut harness, mut actions) = after_send_to_slow_decode(latency, 1);
        let reserved_at = harness.now;
        while !releases_reservation(&actions) {
            actions = match sent_attempt(&actions) {
                Some((endpoint, timeout)) => {
                    let timed_out = attempt_finished_after(1, endpoint, Outcome::TimedOut, timeout);
                    harness.step(timeout, &[timed_out])
                }
                None => harness.tick(5 * MILLISECOND),
            };
            let reserved = harness.now - reserved_at;
            assert!(reserved < limit, "still reserved after {reserved} us, first token after {latency} us");
        }
    }
}

// Guards against retries that are put off after an attempt that may never have arrived.
#[test]
fn a_retry_after_an_unanswered_attempt_is_sent_at_once_and_starts_soon() {
    let limit = 500 * MILLISECOND;
    let (mut harness, first_actions) = after_send_to_slow_decode(150 * MILLISECOND, 2);
    let reserved_at = harness.now;
    let (first, timeout) = sent_attempt(&first_actions).expect("decode attempt is sent");
    let timed_out = attempt_finished_after(1, first, Outcome::TimedOut, timeout);
    let actions = harness.step(timeout, &[timed_out]);
    let (second, _) = sent_attempt(&actions).expect("retry is sent at once");
    assert_ne!(second, first);
    let start_within = actions.iter().find_map(|action| match action {
        Action::Send { start_within, .. } => *start_within,
        _ => None,
    });
    let start_within = start_within.expect("the start is limited");
    assert!(harness.now + start_within <= reserved_at + limit, "may start {start_within} us later");
}

// Guards against a cap on the wait where even a healthy endpoint takes longer than the reservation limit.
#[test]
fn an_attempt_at_slow_endpoints_is_not_cut_short_by_the_reservation_limit() {
    let latency = 400 * MILLISECOND;
    let (_, actions) = after_send_to_slow_decode(latency, 1);
    let (_, timeout) = sent_attempt(&actions).expect("decode attempt is sent");
    assert!(timeout > 2 * latency, "timeout of {timeout} us for a first token after {latency} us");
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
