//! Admission: which requests are sent at once, which wait in a tier, and the timeouts of attempts.

use inference_router::scheduler::{
    Action, Event, LoadReport, Micros, Outcome, RequestId, RequestSpec, Tenant, TenantId,
};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SECOND, SchedulerHarness, attempt_finished, attempt_finished_after,
    endpoint_update, final_answers, request_spec, sent_endpoint, settings, settings_with_ample_memory,
    with_elapsed,
};

#[test]
fn a_request_is_prefilled_then_decoded() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), Some(PREFILL));
    assert_eq!(sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let prefill = (1..5).map(|id| endpoint_update(id, 0));
        let decode = (10..14).map(|id| endpoint_update(id, 1));
        let endpoints: Vec<_> = prefill.chain(decode).collect();
        let mut harness = SchedulerHarness::new(settings(), &endpoints);
        (0..50).flat_map(|id| harness.receive_request(id)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn an_unfitted_speed_curve_still_limits_admission() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(2, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let sent = (0..200).filter(|&id| sent_endpoint(&harness.receive_request(id)).is_some()).count();
    assert!((5..60).contains(&sent), "{sent} admitted");
}

#[test]
fn requests_queue_when_the_speed_curve_predicts_slow_streams() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    // 12 s for an estimated 100 tokens: twice the inter-token objective even for a single stream.
    for id in 0..20 {
        harness.serve(id, 12 * SECOND);
    }
    assert_eq!(sent_endpoint(&harness.receive_request(99)), None);
}

#[test]
fn a_fast_decode_endpoint_keeps_admitting() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    for id in 0..30 {
        assert_eq!(harness.serve(id, 2 * SECOND), Some(DECODE));
    }
}

#[test]
fn requests_over_quota_wait_until_the_objective_tier_is_empty() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut harness = SchedulerHarness::new(settings, &[]);
    let request_of_tenant =
        |id: u64, tenant| RequestSpec { tenant: Some(TenantId(tenant)), ..request_spec(id) };
    for id in 0..10 {
        harness.receive(request_of_tenant(id, 0));
    }
    harness.receive(request_of_tenant(50, 1));
    let actions = harness.receive_snapshot(&[endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)]);
    let sent: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { request, .. } => Some(request.0),
            _ => None,
        })
        .collect();
    let position = sent.iter().position(|&id| id == 50).expect("request within its quota is sent");
    assert!(position <= 1 && sent.len() <= 3, "{sent:?}");
}

#[test]
fn the_best_effort_tier_has_one_request_in_flight_at_a_time() {
    let endpoints = [
        endpoint_update(PREFILL, 0),
        endpoint_update(2, 0),
        endpoint_update(3, 0),
        endpoint_update(DECODE, 1),
    ];
    let mut harness = SchedulerHarness::new(settings_with_ample_memory(), &endpoints);
    // Prefilling 40,000 tokens takes longer than the objective allows, but not longer than the deadline.
    let best_effort_request = |id| {
        Event::RequestReceived(RequestSpec {
            client_timeout: 4 * SECOND,
            prompt_tokens: 40_000.0,
            prefix: None,
            ..request_spec(id)
        })
    };
    let sent = (0..20)
        .filter(|&id| sent_endpoint(&harness.step(5 * MILLISECOND, &[best_effort_request(id)])).is_some())
        .count();
    assert_eq!(
        sent, 1,
        "no endpoint can prefill 40,000 tokens within the objective: all requests are best-effort"
    );
}

#[test]
fn best_effort_admission_in_a_large_fleet_continues_after_late_requests() {
    let mut settings = settings();
    settings.replicas = 100;
    let endpoints: Vec<_> =
        (1..21).map(|id| endpoint_update(id, 0)).chain([endpoint_update(50, 1)]).collect();
    let mut harness = SchedulerHarness::new(settings, &endpoints);
    // The prefill takes longer than the objective allows, but not longer than the client's timeout.
    let best_effort_request = |id| {
        let spec = RequestSpec { prompt_tokens: 40_000.0, client_timeout: 60 * SECOND, ..request_spec(id) };
        Event::RequestReceived(spec)
    };
    for id in 1..6 {
        let actions = harness.step(10 * SECOND, &[best_effort_request(id)]);
        let prefill = sent_endpoint(&actions).expect("best-effort request is sent without a capacity check");
        let prefilled = attempt_finished_after(id, prefill, Outcome::Prefilled, 4 * SECOND);
        harness.step(4 * SECOND, &[prefilled]);
        harness.complete_stream(id, 50);
    }
    assert!(sent_endpoint(&harness.step(10 * SECOND, &[best_effort_request(6)])).is_some());
    let disconnected = Event::ClientDisconnected(RequestId(6));
    harness.step(0, &[disconnected, attempt_finished(6, 1, Outcome::Cancelled, true)]);
    let mut actions = harness.step(0, &[best_effort_request(7)]);
    let received_at = harness.now;
    while sent_endpoint(&actions).is_none() {
        actions = harness.tick(5 * MILLISECOND);
        assert!(
            harness.now < received_at + 3 * SECOND,
            "not sent within 3 s, though each of 100 replicas may use one of 20 endpoints every 2 s"
        );
    }
}

#[test]
fn queueing_delay_of_short_prefills_does_not_raise_the_prefill_cost_per_token() {
    let endpoints: Vec<_> = (1..5).map(|id| endpoint_update(id, 0)).chain([endpoint_update(50, 1)]).collect();
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    for id in 0..8 {
        let short_prompt = RequestSpec { prompt_tokens: 200.0, prefix: None, ..request_spec(id) };
        let prefill = sent_endpoint(&harness.receive(short_prompt)).expect("short prompt is sent");
        // Most of the 500 ms is queueing behind other replicas' prefills.
        let prefilled = attempt_finished_after(id, prefill, Outcome::Prefilled, 500 * MILLISECOND);
        harness.step(500 * MILLISECOND, &[prefilled]);
        harness.complete_stream(id, 50);
    }
    // 0.5 s of queueing and a prefill of 1.6 s fit into the client's timeout of 4 s.
    let long_prompt = RequestSpec { prompt_tokens: 20_000.0, prefix: None, ..request_spec(90) };
    let actions = harness.receive(long_prompt);
    assert!(sent_endpoint(&actions).is_some() && final_answers(&actions) == 0, "{actions:?}");
}

#[test]
fn the_prefill_timeout_allows_for_an_uncached_prefix() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let long_prompt = RequestSpec {
        prompt_tokens: 8_000.0,
        prefix_tokens: 7_500.0,
        client_timeout: 20 * SECOND,
        ..request_spec(1)
    };
    let actions = harness.receive(long_prompt);
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(
        timeout.is_some_and(|timeout| timeout >= 2 * SECOND),
        "timeout too short: prefilling the complete prompt takes 640 ms: {actions:?}"
    );
}

#[test]
fn a_replica_of_a_large_fleet_admits_its_first_request() {
    let mut settings = settings();
    settings.replicas = 100;
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings, &endpoints);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), Some(PREFILL));
}

#[test]
fn requests_queue_after_prefill_timeouts() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    for id in 0..6 {
        if sent_endpoint(&harness.receive_request(id)).is_some() {
            let timed_out = attempt_finished(id, PREFILL, Outcome::TimedOut, true);
            harness.step(2 * SECOND, &[with_elapsed(timed_out, 2 * SECOND)]);
        }
        harness.step(3 * SECOND, &[]);
    }
    let long_prompt = RequestSpec {
        prompt_tokens: 8_000.0,
        prefix: None,
        session: None,
        client_timeout: 2 * SECOND,
        ..request_spec(90)
    };
    assert_eq!(sent_endpoint(&harness.receive(long_prompt)), None);
}

#[test]
fn a_decode_endpoint_that_reports_full_memory_does_not_admit() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    for id in 0..20 {
        assert_eq!(harness.serve(id, 2 * SECOND), Some(DECODE));
    }
    let report = LoadReport { memory_utilization: Some(0.95), ..LoadReport::default() };
    for _ in 0..12 {
        harness.receive_load_report(0, DECODE, report.clone());
    }
    assert_eq!(sent_endpoint(&harness.receive_request(99)), None);
}

fn timeout_of_last_send(actions: &[Action]) -> Micros {
    match actions {
        [.., Action::Send { timeout, .. }] => *timeout,
        other => panic!("expected a send as the last action, found {other:?}"),
    }
}

#[test]
fn a_unary_attempt_may_use_all_the_time_left() {
    let mut harness = SchedulerHarness::new(settings(), &[endpoint_update(DECODE, 2)]);
    let unary_request = |id| RequestSpec { unary: true, ..request_spec(id) };
    assert!(
        timeout_of_last_send(&harness.receive_request(1)) < 4 * SECOND,
        "a stream without a first token must time out early"
    );
    assert_eq!(timeout_of_last_send(&harness.receive(unary_request(2))), 4 * SECOND);
    // An unfinished unary attempt must not raise the endpoint's latency estimate for the next request.
    let cancelled = attempt_finished(1, DECODE, Outcome::Cancelled, true);
    let actions = harness.step(SECOND, &[cancelled, Event::RequestReceived(unary_request(3))]);
    assert_eq!(timeout_of_last_send(&actions), 4 * SECOND);
}

#[test]
fn a_prefilled_request_past_its_objective_is_sent_to_decode_at_once() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), Some(PREFILL));
    // The prefill took longer than the objective of 1.06 s; the client's timeout is 4 s.
    let prefilled = attempt_finished(1, PREFILL, Outcome::Prefilled, false);
    let actions = harness.step(1_500 * MILLISECOND, &[prefilled]);
    assert_eq!(
        sent_endpoint(&actions),
        Some(DECODE),
        "not sent at once, though waiting cannot recover a missed objective: {actions:?}"
    );
}

#[test]
fn extreme_times_and_sizes_do_not_panic() {
    let mut decode = endpoint_update(DECODE, 1);
    decode.started_at = Some(Micros::MAX);
    let mut harness = SchedulerHarness::new(settings(), &[endpoint_update(PREFILL, 0), decode]);
    for (id, client_timeout) in [(1, Micros::MAX), (2, -SECOND), (3, 0)] {
        harness.receive(RequestSpec {
            client_timeout,
            prompt_tokens: f64::MAX,
            stream_duration_hint: Some(Micros::MAX),
            ..request_spec(id)
        });
    }
    for id in 1..4 {
        harness.finish_attempt(id, PREFILL, Outcome::Prefilled);
        harness.tick(5 * MILLISECOND);
    }
}
