//! Ejection and backpressure: how long failing or rejecting endpoints are avoided, and how they recover.

use inference_router::scheduler::{Action, ClassId, Event, Outcome, RequestId, RequestSpec};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SECOND, SchedulerHarness, attempt_finished_after, endpoint_in_cell,
    endpoint_update, request_spec, sent_endpoint, settings,
};

#[test]
fn a_failing_endpoint_is_ejected_and_gets_single_trials() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let mut failed = 0;
    for id in 0..40 {
        harness.receive_request(id);
        let actions = harness.finish_attempt(id, PREFILL, Outcome::Prefilled);
        let Some(decode) = sent_endpoint(&actions) else { continue };
        if decode == DECODE {
            failed += 1;
            harness.finish_attempt(id, decode, Outcome::Error);
        } else {
            harness.complete_stream(id, decode);
        }
    }
    assert!(failed <= 6, "{failed} of 40 requests were sent to the failing endpoint");
}

#[test]
fn repeated_failures_are_logged_once() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let mut lines = Vec::new();
    for id in 0..8 {
        harness.receive_request(id);
        harness.step(3 * SECOND, &[]);
        let actions = harness.finish_attempt(id, PREFILL, Outcome::ConnectFailed);
        lines.extend(actions.into_iter().filter(|action| matches!(action, Action::Log(_))));
    }
    let line = format!("host {PREFILL} fails again and again: single trials only");
    assert_eq!(lines, [Action::Log(line)]);
}

#[test]
fn backpressure_applies_only_to_the_rejected_class() {
    let mut settings = settings();
    settings.classes.push(settings.classes[0].clone());
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings, &endpoints);
    harness.receive_request(1);
    let rejected = attempt_finished_after(1, PREFILL, Outcome::Rejected, 300 * MILLISECOND);
    assert_eq!(sent_endpoint(&harness.step(300 * MILLISECOND, &[rejected])), None);
    let other_class = RequestSpec { class: ClassId(1), ..request_spec(2) };
    assert_eq!(sent_endpoint(&harness.receive(other_class)), Some(PREFILL));
    let same_class = Event::RequestReceived(request_spec(3));
    assert_eq!(
        sent_endpoint(&harness.step(2 * SECOND, &[same_class])),
        None,
        "backpressure must grow with the time that the rejection took"
    );
}

#[test]
fn backpressure_after_a_slow_rejection_ends_within_seconds() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    let rejected = attempt_finished_after(1, PREFILL, Outcome::Rejected, 2 * SECOND);
    harness.step(2 * SECOND, &[rejected]);
    harness.step(4 * SECOND, &[]);
    assert_eq!(sent_endpoint(&harness.receive_request(2)), Some(PREFILL));
}

#[test]
fn a_malformed_response_is_retried_at_once_and_does_not_eject_its_endpoint() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    harness.receive_request(1);
    assert_eq!(sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
    assert_eq!(sent_endpoint(&harness.finish_attempt(1, DECODE, Outcome::Malformed)), Some(PREFILL));
    assert_eq!(sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
}

#[test]
fn a_prompt_is_prefilled_elsewhere_after_two_failed_kv_cache_transfers() {
    let prefill = [endpoint_in_cell(1, 0, 1), endpoint_in_cell(2, 0, 2)];
    let decode = [
        endpoint_in_cell(10, 1, 1),
        endpoint_in_cell(11, 1, 2),
        endpoint_in_cell(12, 1, 1),
        endpoint_in_cell(13, 1, 2),
    ];
    let mut settings = settings();
    settings.capabilities.max_attempts = 6;
    let mut harness = SchedulerHarness::new(settings, &[&prefill[..], &decode[..]].concat());
    let first_prefill = sent_endpoint(&harness.receive_request(1)).expect("prefill attempt is sent");
    let first = sent_endpoint(&harness.finish_attempt(1, first_prefill, Outcome::Prefilled))
        .expect("decode attempt is sent");
    let second =
        sent_endpoint(&harness.finish_attempt(1, first, Outcome::TimedOut)).expect("decode is retried");
    let actions = harness.finish_attempt(1, second, Outcome::TimedOut);
    assert!(actions.contains(&Action::ReleaseReservation(RequestId(1))), "{actions:?}");
    let next_prefill = sent_endpoint(&actions).expect("prompt is prefilled again");
    assert!(
        [1, 2].contains(&next_prefill) && next_prefill != first_prefill,
        "prefilled at endpoint {first_prefill}, then at {next_prefill}"
    );
    // The ejected prefill endpoint is avoided for the next request too.
    assert_eq!(sent_endpoint(&harness.receive_request(2)), Some(next_prefill));
}
