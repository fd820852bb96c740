//! Health checks: when they are sent, and how load reports affect decisions.

use inference_router::scheduler::{
    Action, Capabilities, EndpointId, Event, LoadReport, Outcome, RequestSpec, Settings,
};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SECOND, SchedulerHarness, endpoint_update, first_token, health_checked,
    request_spec, sent_endpoint, settings,
};

/// Returns one replica of a fleet of 100, with 8 prefill endpoints and with health checks enabled.
fn replica_of_large_fleet() -> SchedulerHarness {
    let mut settings = settings();
    settings.replicas = 100;
    settings.capabilities.health_checks = true;
    let endpoints: Vec<_> = (1..9).map(|id| endpoint_update(id, 0)).chain([endpoint_update(50, 1)]).collect();
    SchedulerHarness::new(settings, &endpoints)
}

/// Returns the prefill endpoints that these actions send health checks to.
fn checked_prefill_endpoints(actions: &[Action]) -> Vec<u32> {
    let checked = |action: &Action| match action {
        Action::HealthCheck(EndpointId(id @ 1..9)) => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(checked).collect()
}

fn queue_report(endpoint: u32, queued_prefill_tokens: f64) -> Event {
    let report = LoadReport { queued_prefill_tokens: Some(queued_prefill_tokens), ..LoadReport::default() };
    health_checked(endpoint, report)
}

#[test]
fn a_replica_with_few_requests_checks_prefill_endpoints_and_chooses_the_shortest_queue() {
    let mut harness = replica_of_large_fleet();
    harness.step(5 * SECOND, &[]);
    let actions = harness.receive_request(1);
    let checked = checked_prefill_endpoints(&actions);
    assert_eq!((checked.len(), sent_endpoint(&actions)), (3, None), "{actions:?}");
    let reports: Vec<_> = checked
        .iter()
        .zip([60_000.0, 0.0, 30_000.0])
        .map(|(endpoint, queued)| queue_report(*endpoint, queued))
        .collect();
    let mut later_actions = harness.step(5 * MILLISECOND, &reports);
    while sent_endpoint(&later_actions).is_none() {
        later_actions = harness.tick(5 * MILLISECOND);
        assert!(harness.now < 105 * SECOND + 100 * MILLISECOND, "waited over 100 ms for load reports");
    }
    assert_eq!(sent_endpoint(&later_actions), Some(checked[1]));
}

#[test]
fn a_prefill_endpoint_that_does_not_answer_its_check_ranks_after_those_that_do() {
    let mut harness = replica_of_large_fleet();
    harness.step(5 * SECOND, &[]);
    let checked = checked_prefill_endpoints(&harness.receive_request(1));
    // The preferred endpoint, which is expected to cache the prefix, does not answer and may hang; the second
    // reports a short queue.
    let reports = [queue_report(checked[1], 1_000.0), queue_report(checked[2], 9_000.0)];
    harness.step(5 * MILLISECOND, &reports);
    assert_eq!(sent_endpoint(&harness.tick(15 * MILLISECOND)), Some(checked[1]));
}

#[test]
fn a_request_is_sent_although_no_prefill_endpoint_answers_its_check() {
    let mut harness = replica_of_large_fleet();
    harness.step(5 * SECOND, &[]);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), None);
    assert!(sent_endpoint(&harness.tick(20 * MILLISECOND)).is_some());
}

#[test]
fn a_replica_with_frequent_requests_does_not_check_prefill_endpoints() {
    let mut harness = replica_of_large_fleet();
    harness.step(5 * SECOND, &[]);
    // About 20 requests per second to each prefill endpoint, whose responses carry enough load reports.
    let checks: Vec<_> = (0..400)
        .map(|id| {
            let actions = harness.step(6 * MILLISECOND, &[Event::RequestReceived(request_spec(id))]);
            checked_prefill_endpoints(&actions).len()
        })
        .collect();
    assert_eq!(checks[200..].iter().sum::<usize>(), 0, "{checks:?}");
}

fn checks_of_decode_endpoint(actions: &[Action]) -> usize {
    actions.iter().filter(|action| **action == Action::HealthCheck(EndpointId(DECODE))).count()
}

fn checks_in_ten_seconds(harness: &mut SchedulerHarness) -> usize {
    (0..1_000).map(|_| checks_of_decode_endpoint(&harness.tick(10 * MILLISECOND))).sum()
}

#[test]
fn decode_endpoints_are_checked_while_open_requests_bring_few_load_reports() {
    let capabilities = Capabilities { health_checks: true, ..settings().capabilities };
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(Settings { capabilities, ..settings() }, &endpoints);
    assert_eq!(checks_in_ten_seconds(&mut harness), 0, "no health checks are needed without an open request");
    harness.receive_request(1);
    harness.finish_attempt(1, PREFILL, Outcome::Prefilled);
    harness.step(0, &[first_token(1, DECODE)]);
    let checks_at_low_load = checks_in_ten_seconds(&mut harness);
    assert!(
        (8..=16).contains(&checks_at_low_load),
        "{checks_at_low_load} checks in 10 s by one of two replicas, which together send one every 0.35 s"
    );
    // 20 requests per second, whose responses carry enough load reports.
    let checks_at_high_load: Vec<_> = (2..402)
        .map(|id| {
            let received = Event::RequestReceived(request_spec(id));
            checks_of_decode_endpoint(&harness.step(50 * MILLISECOND, &[received]))
        })
        .collect();
    assert_eq!(checks_at_high_load[100..].iter().sum::<usize>(), 0, "{checks_at_high_load:?}");
}

#[test]
fn invalid_load_reports_do_not_affect_decisions() {
    for memory in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(DECODE, 1)];
        let mut harness = SchedulerHarness::new(Settings { replicas: 0, ..settings() }, &endpoints);
        let report = LoadReport { memory_utilization: Some(memory), ..LoadReport::default() };
        harness.receive_load_report(MILLISECOND, DECODE, report);
        assert_eq!(harness.serve(1, 2 * SECOND), Some(DECODE), "{memory}");
    }
}

/// Returns the number of health checks that one decode endpoint receives in 10 s from a fleet in which every
/// replica has an open request.
fn checks_by_fleet(replicas: u32) -> usize {
    let mut settings = settings();
    settings.replicas = replicas;
    settings.capabilities.health_checks = true;
    let count_checks =
        |actions: &[Action]| actions.iter().filter(|action| matches!(action, Action::HealthCheck(_))).count();
    let checks_by_replica = |seed: u32| {
        let mut harness =
            SchedulerHarness::with_seed(settings.clone(), u64::from(seed), &[endpoint_update(DECODE, 1)]);
        let long_request = RequestSpec { client_timeout: 60 * SECOND, ..request_spec(1) };
        let first = count_checks(&harness.receive(long_request));
        first + (0..200).map(|_| count_checks(&harness.tick(50 * MILLISECOND))).sum::<usize>()
    };
    (0..replicas).map(checks_by_replica).sum()
}

#[test]
fn the_rate_of_decode_endpoint_checks_does_not_depend_on_the_fleet_size() {
    let checks_by_small_fleet = checks_by_fleet(4);
    let checks_by_large_fleet = checks_by_fleet(100);
    assert!(
        checks_by_small_fleet >= 20,
        "a small fleet sends one check every 0.35 s on average: {checks_by_small_fleet} checks in 10 s"
    );
    assert!(
        checks_by_large_fleet <= checks_by_small_fleet * 3 / 2,
        "{checks_by_large_fleet} checks by 100 replicas, {checks_by_small_fleet} by 4"
    );
    assert!(
        checks_by_large_fleet >= checks_by_small_fleet / 2,
        "{checks_by_large_fleet} checks by 100 replicas, {checks_by_small_fleet} by 4"
    );
}
