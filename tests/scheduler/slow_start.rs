//! An endpoint that has just started is sent little, by one replica and by all of a fleet together, and more as it
//! warms up.

use std::ops::Range;

use inference_router::scheduler::{
    Action, CacheKey, EndpointId, EndpointUpdate, Event, LoadReport, Micros, Outcome, RequestSpec,
};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SECOND, SchedulerHarness, attempt_finished, endpoint_update,
    health_checked, request_spec, sent_endpoint, settings,
};

/// A send to an endpoint.
struct Send {
    at: Micros,
    endpoint: u32,
}

/// A send to a prefill endpoint among a list of actions.
struct PrefillSend {
    position: usize,
    request: u64,
    endpoint: u32,
}

/// How many of these moments lie in one second of the clock.
fn count_in_second(moments: &[Micros], second: Micros) -> usize {
    let within = second * SECOND..(second + 1) * SECOND;
    moments.iter().filter(|&moment| within.contains(moment)).count()
}

#[test]
fn a_starting_endpoint_is_sent_little_in_any_window() {
    let cold = EndpointUpdate { started_at: Some(100 * SECOND), ..endpoint_update(PREFILL, 0) };
    let endpoints = [cold, endpoint_update(DECODE, 1), endpoint_update(11, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let sends = (0..100).filter(|&id| {
        harness.step(10 * MILLISECOND, &[]);
        let actions = harness.receive_request(id);
        actions.iter().any(|action| matches!(action, Action::Send { endpoint: EndpointId(PREFILL), .. }))
    });
    assert!(sends.count() <= 20, "a hundred requests within a second");
}

/// When one replica of a hundred sends to prefill endpoint 1, with a request each second of which the 31st comes just
/// after a start of that endpoint.
fn sends_of_replica_to_a_restarted_endpoint(replica: u64, endpoints: &[EndpointUpdate]) -> Vec<Micros> {
    let cold = EndpointUpdate { started_at: Some(130 * SECOND), ..endpoint_update(1, 0) };
    let mut harness = SchedulerHarness::with_seed(settings(), replica, endpoints);
    let mut sends = Vec::new();
    for number in 0..42 {
        if number == 30 {
            harness.receive_delta(std::slice::from_ref(&cold));
        }
        let id = replica * 1000 + number;
        harness.step(10 * MILLISECOND * replica as Micros, &[]);
        let request = RequestSpec { prefix: Some(CacheKey(id)), ..request_spec(id) };
        if let Some(prefill) = sent_endpoint(&harness.receive(request)) {
            if prefill == 1 && number >= 30 {
                sends.push(harness.now);
            }
            let prefilled = harness.finish_attempt(id, prefill, Outcome::Prefilled);
            if let Some(decode) = sent_endpoint(&prefilled) {
                harness.complete_stream(id, decode);
            }
        }
        harness.now = (100 + number as Micros + 1) * SECOND;
    }
    sends
}

#[test]
fn a_hundred_replicas_together_spare_a_cold_endpoint_and_yet_use_it() {
    // Each has one request a second; the endpoint list shows all of them a start at the same moment.
    let endpoints: Vec<_> = (1..9).map(|id| endpoint_update(id, 0)).chain([endpoint_update(20, 1)]).collect();
    let sends: Vec<_> =
        (0..100).flat_map(|replica| sends_of_replica_to_a_restarted_endpoint(replica, &endpoints)).collect();
    // 100 requests a second over 8 prefill endpoints: one can do 12.5 a second at least. The overload multiple is
    // 3.0 x 0.3 of that for one second.
    let most = (130..140).map(|second| count_in_second(&sends, second)).max();
    assert!(most.unwrap() <= 11, "{most:?} in one second");
    assert!(sends.len() >= 10, "{} in all", sends.len());
}

/// Sends 20 requests a second, each of which is served where it is admitted; returns the sends to prefill endpoints 1
/// to 4, with their times from the first request on.
fn serve_at_twenty_a_second(harness: &mut SchedulerHarness, ids: Range<u64>) -> Vec<Send> {
    let start = harness.now;
    let mut sends = Vec::new();
    for id in ids {
        let request = RequestSpec { prefix: None, ..request_spec(id) };
        let mut actions = harness.step(50 * MILLISECOND, &[Event::RequestReceived(request)]);
        while let Some(prefill) = first_prefill(&actions) {
            sends.push(Send { at: harness.now - start, endpoint: prefill.endpoint });
            actions.remove(prefill.position);
            let prefilled = attempt_finished(prefill.request, prefill.endpoint, Outcome::Prefilled, false);
            let more = harness.step(0, &[prefilled]);
            harness.complete_stream(prefill.request, 20);
            actions.extend(more);
        }
    }
    sends
}

/// The first send to prefill endpoints 1 to 4.
fn first_prefill(actions: &[Action]) -> Option<PrefillSend> {
    actions.iter().enumerate().find_map(|(position, action)| match action {
        Action::Send { request, endpoint: EndpointId(endpoint @ 1..5), .. } => {
            Some(PrefillSend { position, request: request.0, endpoint: *endpoint })
        }
        _ => None,
    })
}

#[test]
fn where_all_prefill_endpoints_start_they_are_sent_what_they_bear_and_more_as_they_warm_up() {
    let endpoints: Vec<_> = (1..5).map(|id| endpoint_update(id, 0)).chain([endpoint_update(20, 1)]).collect();
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let warm_sends = serve_at_twenty_a_second(&mut harness, 0..600);
    assert!(warm_sends.len() > 500, "warm endpoints take all");
    let now = harness.now;
    let started: Vec<_> =
        (1..5).map(|id| EndpointUpdate { started_at: Some(now), ..endpoint_update(id, 0) }).collect();
    harness.receive_delta(&started);
    let sends = serve_at_twenty_a_second(&mut harness, 600..790);
    assert_no_endpoint_is_overloaded(&sends);
    let count_within = |seconds: Range<Micros>| {
        let within = seconds.start * SECOND..seconds.end * SECOND;
        sends.iter().filter(|send| within.contains(&send.at)).count()
    };
    let early = count_within(0..3);
    let late = count_within(6..9);
    assert!(late >= 50 && 3 * late >= 4 * early, "{early} in the first 3 s, {late} in 3 s from 6 s on");
    assert!(early <= 48, "{early} in the first 3 s: 0.3 to 0.51 of 20 a second, times 3 and a half");
}

/// Each endpoint can do 5 a second at least, as that came to it when it was warm; it starts at 0.3 of that and is warm
/// after 10 s; it is overloaded by over 3 times what it can do. By what is known half of that is in use.
fn assert_no_endpoint_is_overloaded(sends: &[Send]) {
    for endpoint in 1..5 {
        for from in (0..9 * SECOND).step_by(100_000) {
            let window = from..from + SECOND;
            let count =
                sends.iter().filter(|send| send.endpoint == endpoint && window.contains(&send.at)).count();
            let limit = 3.0 * 5.0 * (0.3 + 0.7 * from as f64 / 1e7);
            assert!(
                count as f64 <= limit.ceil(),
                "{count} at {endpoint} in the second after {from}, {limit} would do"
            );
        }
    }
}

/// When one replica of a fleet that starts at once sends to decode endpoint 10, which has just started by the first
/// endpoint list, and has most room by the load reports. It has one request a second, the first after a while.
fn sends_of_starting_replica_to_a_cold_endpoint(
    replica: u64, first_after: Micros, endpoints: &[EndpointUpdate],
) -> Vec<Micros> {
    let report = |endpoint: u32| {
        let memory_utilization = if endpoint == 10 { 0.0 } else { 0.6 };
        let report = LoadReport { memory_utilization: Some(memory_utilization), ..LoadReport::default() };
        health_checked(endpoint, report)
    };
    let reports: Vec<_> = (10..18).map(report).collect();
    let mut harness = SchedulerHarness::with_seed(settings(), replica, endpoints);
    let mut sends = Vec::new();
    for number in 0..10 {
        let id = replica * 1000 + number;
        harness.now = 100 * SECOND + first_after + number as Micros * SECOND;
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

/// When a fleet of replicas that start at once sends to a decode endpoint that has started with them.
fn sends_of_starting_fleet_to_a_cold_endpoint(replicas: u64) -> Vec<Micros> {
    let cold = EndpointUpdate { started_at: Some(100 * SECOND), ..endpoint_update(10, 1) };
    let warm = (11..18).map(|id| endpoint_update(id, 1));
    let endpoints: Vec<_> = [endpoint_update(PREFILL, 0), cold].into_iter().chain(warm).collect();
    let sends_of = |replica: u64| {
        let first_after = (replica * 997 % 1_000) as Micros * MILLISECOND;
        sends_of_starting_replica_to_a_cold_endpoint(replica, first_after, &endpoints)
    };
    (0..replicas).flat_map(sends_of).collect()
}

#[test]
fn a_fleet_of_replicas_that_start_together_spares_an_endpoint_that_started_with_them() {
    for replicas in [100, 400] {
        let sends = sends_of_starting_fleet_to_a_cold_endpoint(replicas);
        for second in 100..110 {
            let count = count_in_second(&sends, second) as f64;
            // Its part of the requests, as if it could do just those, times the multiple that it bears.
            let warmup_factor = 0.3 + 0.7 * (second - 100) as f64 / 10.0;
            let bears = replicas as f64 / 8.0 * 3.0 * warmup_factor;
            let most = bears + 2.0 * bears.sqrt() + 2.0;
            assert!(
                count <= most,
                "{count} sends of {replicas} replicas in second {second}, {most} are allowed"
            );
        }
        assert!(sends.len() >= replicas as usize / 2, "{} sends: it is used", sends.len());
    }
}
