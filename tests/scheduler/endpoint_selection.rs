//! Endpoint selection: which prefill endpoint and which decode endpoint a request is sent to.

use std::collections::{BTreeMap, BTreeSet};

use inference_router::scheduler::{
    CacheKey, EndpointUpdate, Lifecycle, Outcome, RequestSpec, Settings, ZoneId,
};

use crate::common::scheduler_harness::{
    DECODE, MILLISECOND, PREFILL, SchedulerHarness, attempt_finished, attempt_finished_after,
    endpoint_in_cell, endpoint_update, first_token, request_spec, sent_endpoint, settings,
    settings_with_ample_memory,
};

#[test]
fn decode_stays_in_the_cell_of_the_prefill_while_an_endpoint_there_admits() {
    let endpoints =
        [endpoint_in_cell(PREFILL, 0, 1), endpoint_in_cell(DECODE, 1, 1), endpoint_in_cell(11, 1, 2)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), Some(PREFILL));
    assert_eq!(sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
    harness.receive_delta(&[EndpointUpdate { lifecycle: Lifecycle::Removed, ..endpoints[1].clone() }]);
    harness.receive_request(2);
    assert_eq!(sent_endpoint(&harness.finish_attempt(2, PREFILL, Outcome::Prefilled)), Some(11));
}

#[test]
fn every_replica_sends_a_prefix_to_the_same_prefill_endpoint() {
    let endpoints: Vec<_> =
        (1..6).map(|id| endpoint_update(id, 0)).chain([endpoint_update(DECODE, 1)]).collect();
    let preferred_endpoint_in_zone = |zone| {
        let mut harness = SchedulerHarness::new(Settings { zone: ZoneId(zone), ..settings() }, &endpoints);
        let first = sent_endpoint(&harness.receive_request(1)).unwrap();
        harness.finish_attempt(1, first, Outcome::Prefilled);
        assert_eq!(sent_endpoint(&harness.receive_request(2)), Some(first));
        first
    };
    assert_eq!(preferred_endpoint_in_zone(0), preferred_endpoint_in_zone(1));
}

#[test]
fn a_prefix_overflows_to_the_next_prefill_endpoint_under_load() {
    let endpoints =
        [endpoint_update(1, 0), endpoint_update(2, 0), endpoint_update(3, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings_with_ample_memory(), &endpoints);
    let prefill: BTreeSet<_> = (0..12).filter_map(|id| sent_endpoint(&harness.receive_request(id))).collect();
    assert!(prefill.len() > 1);
}

#[test]
fn a_mixed_endpoint_prefills_locally_only_without_a_ready_prefill_endpoint() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(20, 2)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    assert_eq!(sent_endpoint(&harness.receive_request(1)), Some(PREFILL));
    harness.receive_delta(&[EndpointUpdate { lifecycle: Lifecycle::Removed, ..endpoint_update(PREFILL, 0) }]);
    assert_eq!(sent_endpoint(&harness.receive_request(2)), Some(20));
}

#[test]
fn a_mixed_endpoint_prefills_locally_when_all_prefill_endpoints_are_congested() {
    let endpoints = [endpoint_update(PREFILL, 0), endpoint_update(20, 2)];
    let mut harness = SchedulerHarness::new(settings_with_ample_memory(), &endpoints);
    let sent: Vec<_> = (0..12).filter_map(|id| sent_endpoint(&harness.receive_request(id))).collect();
    assert_eq!(sent[0], PREFILL);
    assert!(sent.contains(&20), "{sent:?}");
}

#[test]
fn a_prefix_is_prefilled_at_one_endpoint_and_under_load_at_a_few() {
    let endpoints: Vec<_> =
        (1..10).map(|id| endpoint_update(id, 0)).chain([endpoint_update(DECODE, 1)]).collect();
    let prefilled_at = |seed, session| {
        let mut harness = SchedulerHarness::with_seed(settings(), seed, &endpoints);
        let request = RequestSpec { session: Some(CacheKey(session)), ..request_spec(1) };
        sent_endpoint(&harness.receive(request)).unwrap()
    };
    let preferred: BTreeSet<_> = (0..40).map(|session| prefilled_at(session, session)).collect();
    assert_eq!(
        preferred.len(),
        1,
        "replicas chose different endpoints although the preferred one is idle: {preferred:?}"
    );
    // No prefill ends, so the load exceeds one endpoint; the prefix must still be prefilled at only a few.
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let under_load: BTreeSet<_> =
        (0..40).filter_map(|id| sent_endpoint(&harness.receive_request(id))).collect();
    assert!((2..=3).contains(&under_load.len()) && under_load.is_superset(&preferred), "{under_load:?}");
}

#[test]
fn replicas_with_the_same_state_spread_over_the_decode_endpoints() {
    let endpoints: Vec<_> =
        (10..14).map(|id| endpoint_update(id, 1)).chain([endpoint_update(PREFILL, 0)]).collect();
    let mut choices = BTreeMap::new();
    for seed in 0..100 {
        let mut harness = SchedulerHarness::with_seed(settings(), seed, &endpoints);
        harness.receive_request(1);
        let decode = sent_endpoint(&harness.finish_attempt(1, PREFILL, Outcome::Prefilled)).unwrap();
        *choices.entry(decode).or_insert(0) += 1;
    }
    assert!(choices.len() == 4 && choices.values().all(|&count| count < 50), "{choices:?}");
}

#[test]
fn a_cell_short_of_decode_capacity_sends_some_requests_to_a_cell_with_spare_capacity() {
    let short_cell = [
        endpoint_in_cell(1, 0, 1),
        endpoint_in_cell(2, 0, 1),
        endpoint_in_cell(3, 0, 1),
        endpoint_in_cell(DECODE, 1, 1),
    ];
    let spare_cell = (11..16).map(|id| EndpointUpdate { zone: ZoneId(1), ..endpoint_in_cell(id, 1, 2) });
    let endpoints: Vec<_> = short_cell.into_iter().chain(spare_cell).collect();
    let mut local = 0;
    for seed in 0..100 {
        let mut harness = SchedulerHarness::with_seed(settings(), seed, &endpoints);
        let prefill = sent_endpoint(&harness.receive_request(seed)).unwrap();
        let actions = harness.finish_attempt(seed, prefill, Outcome::Prefilled);
        local += usize::from(sent_endpoint(&actions) == Some(DECODE));
    }
    assert!(
        (5..50).contains(&local),
        "{local} of 100 requests stayed at the only decode endpoint of the cell"
    );
}

#[test]
fn a_prefix_stays_at_its_preferred_endpoint_when_all_prefill_endpoints_are_equally_slow() {
    let endpoints =
        [endpoint_update(1, 0), endpoint_update(2, 0), endpoint_update(3, 0), endpoint_update(DECODE, 1)];
    let mut harness = SchedulerHarness::new(settings(), &endpoints);
    let mut serve_with_slow_prefill = |id, prefix| {
        let request = RequestSpec { prefix: Some(CacheKey(prefix)), ..request_spec(id) };
        let prefill = sent_endpoint(&harness.receive(request)).unwrap();
        let prefilled = attempt_finished_after(id, prefill, Outcome::Prefilled, 600 * MILLISECOND);
        harness.step(600 * MILLISECOND, &[prefilled]);
        let completed = attempt_finished(id, DECODE, Outcome::Completed, true);
        harness.step(20 * MILLISECOND, &[first_token(id, DECODE), completed]);
        prefill
    };
    // Each prefill takes over half of the objective at every endpoint, so no other endpoint would be faster.
    let preferred = serve_with_slow_prefill(1, 7);
    for id in 2..12 {
        serve_with_slow_prefill(id, 100 + id);
    }
    assert_eq!(sent_endpoint(&harness.receive_request(50)), Some(preferred));
}
