//! Retries: which requests are sent again after a failed attempt, and to which endpoints.

use inference_router::scheduler::{
    Action, DeduplicationScope, EndpointUpdate, Idempotency, Lifecycle, Micros, Outcome, RequestId,
    RequestSpec, Settings, ZoneId,
};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SECOND, SchedulerHarness, endpoint_in_cell, endpoint_update, request_spec,
    sent_endpoint, settings,
};

fn settings_with(idempotency: Idempotency) -> Settings {
    let mut settings = settings();
    settings.classes[0].idempotency = idempotency;
    settings
}

/// Returns a harness in which the first decode attempt of request 1 timed out, and the resulting actions.
pub(crate) fn after_decode_timeout(
    idempotency: Idempotency, endpoints: &[EndpointUpdate],
) -> (SchedulerHarness, Vec<Action>) {
    let mut harness = SchedulerHarness::new(settings_with(idempotency), endpoints);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), Some(PREFILL));
    let decode = sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled))
        .expect("decode attempt is sent");
    let actions = harness.finish_attempt(1, decode, Outcome::TimedOut);
    (harness, actions)
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_fails_without_a_retry() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let (_, actions) = after_decode_timeout(Idempotency::NonIdempotent, &endpoints);
    assert_eq!(sent_endpoint(&actions), None);
    assert!(actions.contains(&Action::Fail(RequestId(1))), "{actions:?}");
}

#[test]
fn a_non_idempotent_request_that_was_certainly_not_executed_is_retried() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings_with(Idempotency::NonIdempotent), &endpoints);
    harness.receive_request(1);
    let decode = sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled)).unwrap();
    let next = sent_endpoint(&harness.finish_attempt(1, decode, Outcome::ConnectFailed)).unwrap();
    assert_ne!(next, decode);
}

#[test]
fn a_failed_prefill_of_a_non_idempotent_request_is_retried() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(2, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings_with(Idempotency::NonIdempotent), &endpoints);
    let first = sent_endpoint(&harness.receive_request(1)).unwrap();
    let next = sent_endpoint(&harness.finish_attempt(1, first, Outcome::ConnectionLost)).unwrap();
    assert_ne!(next, first);
}

#[test]
fn a_keyed_request_is_retried_only_within_its_scope_and_window() {
    let endpoints =
        [endpoint_in_cell(PREFILL, 0, 1), endpoint_in_cell(DECODE, 1, 1), endpoint_in_cell(11, 1, 2)];
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: SECOND };
    let (mut harness, mut actions) = after_decode_timeout(keyed, &endpoints);
    for _ in 0..200 {
        let sent = sent_endpoint(&actions);
        assert!(sent.is_none_or(|endpoint| endpoint != 11), "sent outside its deduplication scope");
        let rejected = actions.iter().any(|action| matches!(action, Action::Reject { .. }));
        assert!(!rejected, "rejected, which tells the client that a retry is harmless");
        let window_is_over = harness.now >= 101 * SECOND + 40 * MILLISECOND;
        assert!(
            !window_is_over || sent.is_none_or(|endpoint| endpoint == PREFILL),
            "sent to decode after its deduplication window"
        );
        actions = harness.tick(10 * MILLISECOND);
    }
}

#[test]
fn a_keyed_request_that_may_have_been_executed_is_prefilled_again_only_within_its_scope() {
    let in_zone = |endpoint, kind, zone: usize| EndpointUpdate {
        zone: ZoneId(zone),
        ..endpoint_in_cell(endpoint, kind, zone as i64)
    };
    let endpoints = [
        in_zone(PREFILL, 0, 0),
        in_zone(2, 0, 1),
        in_zone(3, 0, 1),
        in_zone(DECODE, 1, 0),
        in_zone(11, 1, 0),
    ];
    let endpoints_of_scope = [PREFILL, DECODE, 11];
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::Zone, window: 3 * SECOND };
    let mut second_prefills = 0;
    for id in 1..40 {
        let mut harness = SchedulerHarness::new(settings_with(keyed), &endpoints);
        // Without a shared prefix, each request has affinity endpoints of its own.
        let without_prefix = RequestSpec { prefix: None, prefix_tokens: 0.0, ..request_spec(id) };
        let prefill = sent_endpoint(&harness.receive(without_prefix)).expect("prefill attempt is sent");
        let prefilled = harness.finish_attempt(id, prefill, Outcome::Prefilled);
        let decode = sent_endpoint(&prefilled).expect("decode attempt is sent");
        // A malformed response: the request may have been executed, and its KV cache is gone, so that the
        // prompt must be prefilled again.
        let mut actions = harness.finish_attempt(id, decode, Outcome::Malformed);
        for _ in 0..20 {
            if let Some(endpoint) = sent_endpoint(&actions) {
                assert!(
                    endpoints_of_scope.contains(&endpoint),
                    "request {id} was sent to endpoint {endpoint}, outside its zone"
                );
                second_prefills += 1;
                break;
            }
            actions = harness.tick(10 * MILLISECOND);
        }
    }
    assert!(second_prefills > 20, "only {second_prefills} of 39 requests were prefilled again");
}

fn start_within(actions: &[Action]) -> Option<Option<Micros>> {
    actions.iter().find_map(|action| match action {
        Action::Send { start_within, .. } => Some(*start_within),
        _ => None,
    })
}

#[test]
fn a_retry_of_a_keyed_request_must_start_within_its_window() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    // Shorter than the reservation limit, which applies to every decode attempt.
    let window = 300 * MILLISECOND;
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::All, window };
    let mut harness = SchedulerHarness::new(settings_with(keyed), &endpoints);
    let prefill = harness.receive_request(1);
    assert_eq!(
        start_within(&prefill),
        Some(None),
        "a prefill has no side effects, so its start is not limited"
    );
    let first = harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    let sent_at = harness.now;
    assert_eq!(
        start_within(&first),
        Some(Some(450 * MILLISECOND)),
        "nothing can have been executed yet, so only the reservation limit applies"
    );
    let retry = harness.finish_attempt(1, sent_endpoint(&first).unwrap(), Outcome::Error);
    let within = start_within(&retry).flatten().expect("retry is limited by the deduplication window");
    // Part of the window is left for the request to reach the endpoint.
    assert!(harness.now + within <= sent_at + window - 50 * MILLISECOND, "may start within {within} us");
}

#[test]
fn no_second_attempt_is_sent_while_one_is_in_flight() {
    let endpoints = [
        endpoint_update(PREFILL, 0),
        endpoint_update(2, 0),
        endpoint_update(DECODE, 1),
        endpoint_update(11, 1),
    ];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    for _ in 0..100 {
        assert_eq!(sent_endpoint(&harness.tick(10 * MILLISECOND)), None);
    }
}

/// Returns the actions for a request whose first decode endpoint may have executed it and was then removed,
/// once a connection to the second one has failed.
fn actions_after_first_endpoint_was_removed(scope: DeduplicationScope) -> Vec<Action> {
    let endpoints = [
        endpoint_update(PREFILL, 0),
        endpoint_update(DECODE, 1),
        endpoint_update(11, 1),
        endpoint_update(12, 1),
    ];
    let keyed = Idempotency::Keyed { scope, window: 5 * SECOND };
    let mut harness = SchedulerHarness::new(settings_with(keyed), &endpoints);
    harness.receive_request(1);
    let first = sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled))
        .expect("decode attempt is sent");
    let retry = harness.finish_attempt(1, first, Outcome::ConnectionLost);
    let second = sent_endpoint(&retry).expect("request is retried within its scope");
    let update = endpoints.iter().find(|update| update.endpoint.0 == first).expect("endpoint is in the list");
    harness.receive_delta(&[EndpointUpdate { lifecycle: Lifecycle::Removed, ..update.clone() }]);
    harness.finish_attempt(1, second, Outcome::ConnectFailed)
}

#[test]
fn a_keyed_request_is_retried_within_its_scope_after_its_first_endpoint_was_removed() {
    for scope in [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let actions = actions_after_first_endpoint_was_removed(scope);
        assert!(sent_endpoint(&actions).is_some(), "{scope:?}: {actions:?}");
    }
}

#[test]
fn a_request_whose_kv_cache_is_missing_is_prefilled_again() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    assert_eq!(sent_endpoint(&harness.finish_attempt(1, DECODE, Outcome::StateMissing)), Some(PREFILL));
}

#[test]
fn a_retry_after_a_decode_timeout_goes_to_another_cell() {
    let same_cell = [
        endpoint_in_cell(PREFILL, 0, 1),
        endpoint_in_cell(10, 1, 1),
        endpoint_in_cell(11, 1, 1),
        endpoint_in_cell(13, 1, 1),
    ];
    let endpoints = [&same_cell[..], &[endpoint_in_cell(12, 1, 2)]].concat();
    for id in 1..9 {
        let mut harness = SchedulerHarness::new(settings(), &endpoints);
        harness.receive_request(id);
        let first = sent_endpoint(&harness.finish_attempt(id, PREFILL, Outcome::Prefilled))
            .expect("decode attempt is sent");
        let next =
            sent_endpoint(&harness.finish_attempt(id, first, Outcome::TimedOut)).expect("request is retried");
        assert!(
            first == 12 || next == 12,
            "retried at endpoint {next}, in the cell of the silent endpoint {first}"
        );
    }
}
