//! Slow start: an endpoint that has just started is sent few requests, by each replica and by the fleet in
//! total, and more as it warms up.

use std::ops::Range;

use inference_router::scheduler::{
    Action, CacheKey, EndpointId, EndpointUpdate, Event, LoadReport, Micros, Outcome, RequestSpec,
};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SECOND, SchedulerHarness, attempt_finished, endpoint_update,
    health_checked, request_spec, sent_endpoint, settings,
};

/// An attempt that was sent to an endpoint.
struct SentAttempt {
    sent_at: Micros,
    endpoint: u32,
}

/// A prefill attempt in a list of actions.
struct PrefillAttempt {
    position: usize,
    request: u64,
    endpoint: u32,
}

/// Returns the number of these times that lie within the given second.
fn count_in_second(times: &[Micros], second: Micros) -> usize {
    let within = second * SECOND..(second + 1) * SECOND;
    times.iter().filter(|&time| within.contains(time)).count()
}

#[test]
fn a_starting_endpoint_is_sent_few_requests() {
    let cold = EndpointUpdate { started_at: Some(100 * SECOND), ..endpoint_update(PREFILL, 0) };
    let endpoints = [cold, endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let sends = (0..100).filter(|&id| {
        harness.step(10 * MILLISECOND, &[]);
        let actions = harness.receive_request(id);
        actions.iter().any(|action| matches!(action, Action::Send { endpoint: EndpointId(PREFILL), .. }))
    });
    assert!(sends.count() <= 20, "over 20 of 100 requests within 1 s were sent to a starting endpoint");
}

/// Returns the times at which one of 100 replicas sends to prefill endpoint 1 after that endpoint's restart.
/// The replica receives one request per second; the restart comes just before the 31st.
fn replica_sends_to_restarted_endpoint(replica: u64, endpoints: &[EndpointUpdate]) -> Vec<Micros> {
    let cold = EndpointUpdate { started_at: Some(130 * SECOND), ..endpoint_update(1, 0) };
    let mut harness = SchedulerHarness::with_seed(settings(), replica, endpoints);
    let mut sends = Vec::new();
    for index in 0..42 {
        if index == 30 {
            harness.receive_delta(std::slice::from_ref(&cold));
        }
        let id = replica * 1000 + index;
        harness.step(10 * MILLISECOND * replica as Micros, &[]);
        let request = RequestSpec { prefix: Some(CacheKey(id)), ..request_spec(id) };
        if let Some(prefill) = sent_endpoint(&harness.receive(request)) {
            if prefill == 1 && index >= 30 {
                sends.push(harness.now);
            }
            let prefilled = harness.finish_attempt(id, prefill, Outcome::Prefilled);
            if let Some(decode) = sent_endpoint(&prefilled) {
                harness.complete_stream(id, decode);
            }
        }
        harness.now = (100 + index as Micros + 1) * SECOND;
    }
    sends
}

#[test]
fn a_fleet_limits_but_does_not_stop_sends_to_a_restarted_endpoint() {
    // Each replica receives one request per second, and the endpoint list tells all of them of the restart at
    // the same time.
    let endpoints: Vec<_> = (1..9).map(|id| endpoint_update(id, 0)).chain([endpoint_update(20, 1)]).collect();
    let sends: Vec<_> =
        (0..100).flat_map(|replica| replica_sends_to_restarted_endpoint(replica, &endpoints)).collect();
    // 100 requests per second over 8 prefill endpoints: each can serve at least 12.5 per second. More than
    // 3.0 x 0.3 of that within one second is overload.
    let peak = (130..140).map(|second| count_in_second(&sends, second)).max();
    assert!(peak.unwrap() <= 11, "up to {peak:?} sends in one second");
    assert!(sends.len() >= 10, "only {} sends in total", sends.len());
}

/// Receives 20 requests per second and serves each that is admitted; returns the attempts at prefill
/// endpoints 1 to 4, with their times since the call.
fn serve_at_20_per_second(harness: &mut SchedulerHarness, ids: Range<u64>) -> Vec<SentAttempt> {
    let start = harness.now;
    let mut sends = Vec::new();
    for id in ids {
        let request = RequestSpec { prefix: None, ..request_spec(id) };
        let mut actions = harness.step(50 * MILLISECOND, &[Event::RequestReceived(request)]);
        while let Some(prefill) = first_prefill(&actions) {
            sends.push(SentAttempt { sent_at: harness.now - start, endpoint: prefill.endpoint });
            actions.remove(prefill.position);
            let prefilled = attempt_finished(prefill.request, prefill.endpoint, Outcome::Prefilled, false);
            let next_actions = harness.step(0, &[prefilled]);
            harness.complete_stream(prefill.request, 20);
            actions.extend(next_actions);
        }
    }
    sends
}

/// Returns the first attempt that is sent to one of the prefill endpoints 1 to 4.
fn first_prefill(actions: &[Action]) -> Option<PrefillAttempt> {
    actions.iter().enumerate().find_map(|(position, action)| match action {
        Action::Send { request, endpoint: EndpointId(endpoint @ 1..5), .. } => {
            Some(PrefillAttempt { position, request: request.0, endpoint: *endpoint })
        }
        _ => None,
    })
}

#[test]
fn sends_grow_with_capacity_after_all_prefill_endpoints_restart() {
    let endpoints: Vec<_> = (1..5).map(|id| endpoint_update(id, 0)).chain([endpoint_update(20, 1)]).collect();
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let warm_sends = serve_at_20_per_second(&mut harness, 0..600);
    assert!(warm_sends.len() > 500, "warm endpoints must be sent nearly all of 600 requests");
    let now = harness.now;
    let restarted: Vec<_> =
        (1..5).map(|id| EndpointUpdate { started_at: Some(now), ..endpoint_update(id, 0) }).collect();
    harness.receive_delta(&restarted);
    let sends = serve_at_20_per_second(&mut harness, 600..790);
    assert_no_endpoint_is_overloaded(&sends);
    let count_within = |seconds: Range<Micros>| {
        let within = seconds.start * SECOND..seconds.end * SECOND;
        sends.iter().filter(|send| within.contains(&send.sent_at)).count()
    };
    let early = count_within(0..3);
    let late = count_within(6..9);
    assert!(
        late >= 50 && 3 * late >= 4 * early,
        "{early} sends in the first 3 s, {late} in the 3 s from 6 s on"
    );
    assert!(
        early <= 48,
        "{early} sends in the first 3 s, where 0.65 x 3 x (0.3 to 0.51) x 20 per second are allowed"
    );
}

/// Asserts that no endpoint is overloaded. Each can serve at least 5 requests per second, as it did when
/// warm. It starts with 0.3 of that capacity and reaches all of it after 10 s; more than 3 times its current
/// capacity within one second overloads it. The scheduler uses 0.65 of that limit.
fn assert_no_endpoint_is_overloaded(sends: &[SentAttempt]) {
    for endpoint in 1..5 {
        for from in (0..9 * SECOND).step_by(100_000) {
            let window = from..from + SECOND;
            let count = sends
                .iter()
                .filter(|send| send.endpoint == endpoint && window.contains(&send.sent_at))
                .count();
            let limit = 3.0 * 5.0 * (0.3 + 0.7 * from as f64 / 1e7);
            assert!(
                count as f64 <= limit.ceil(),
                "{count} sends to endpoint {endpoint} in the second from {from} us on, limit is {limit}"
            );
        }
    }
}

/// Returns the times at which one replica of a fleet that starts together sends to decode endpoint 10. The
/// first endpoint list shows that this endpoint has just started, and the load reports show that it has the
/// most free memory. The replica receives one request per second, the first after `first_request_after`.
fn starting_replica_sends_to_cold_endpoint(
    replica: u64, first_request_after: Micros, endpoints: &[EndpointUpdate],
) -> Vec<Micros> {
    let report = |endpoint: u32| {
        let memory_utilization = if endpoint == 10 { 0.0 } else { 0.6 };
        let report = LoadReport { memory_utilization: Some(memory_utilization), ..LoadReport::default() };
        health_checked(endpoint, report)
    };
    let reports: Vec<_> = (10..18).map(report).collect();
    let mut harness = SchedulerHarness::with_seed(settings(), replica, endpoints);
    let mut sends = Vec::new();
    for index in 0..10 {
        let id = replica * 1000 + index;
        harness.now = 100 * SECOND + first_request_after + index as Micros * SECOND;
        harness.step(0, &reports);
        harness.receive(RequestSpec { prefix: Some(CacheKey(id)), ..request_spec(id) });
        let actions = harness.finish_attempt(id, PREFILL, Outcome::Prefilled);
        let Some(decode) = sent_endpoint(&actions) else { continue };
        if decode == 10 {
            sends.push(harness.now);
        }
        harness.complete_stream(id, decode);
    }
    sends
}

/// Returns the times at which a fleet of replicas that start together sends to a decode endpoint that starts
/// with them.
fn starting_fleet_sends_to_cold_endpoint(replicas: u64) -> Vec<Micros> {
    let cold = EndpointUpdate { started_at: Some(100 * SECOND), ..endpoint_update(10, 1) };
    let warm = (11..18).map(|id| endpoint_update(id, 1));
    let endpoints: Vec<_> = [endpoint_update(PREFILL, 0), cold].into_iter().chain(warm).collect();
    let sends_of = |replica: u64| {
        let first_request_after = (replica * 997 % 1_000) as Micros * MILLISECOND;
        starting_replica_sends_to_cold_endpoint(replica, first_request_after, &endpoints)
    };
    (0..replicas).flat_map(sends_of).collect()
}

#[test]
fn a_starting_fleet_limits_but_does_not_stop_sends_to_an_endpoint_that_starts_with_it() {
    for replicas in [100, 400] {
        let sends = starting_fleet_sends_to_cold_endpoint(replicas);
        for second in 100..110 {
            let count = count_in_second(&sends, second) as f64;
            // The endpoint's even share of the requests is taken as its capacity when warm; more than 3 times
            // its current capacity overloads it. The margin allows for random variation.
            let warmup_factor = 0.3 + 0.7 * (second - 100) as f64 / 10.0;
            let overload_limit = replicas as f64 / 8.0 * 3.0 * warmup_factor;
            let max_count = overload_limit + 2.0 * overload_limit.sqrt() + 2.0;
            assert!(
                count <= max_count,
                "{count} sends by {replicas} replicas in second {second}, at most {max_count} are allowed"
            );
        }
        assert!(
            sends.len() >= replicas as usize / 2,
            "only {} sends in total: the endpoint must still be used",
            sends.len()
        );
    }
}
