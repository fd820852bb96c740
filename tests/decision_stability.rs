//! Regression test of the scheduler's decisions: seeded random events must give the recorded actions.
//!
//! A change that is not meant to alter decisions must leave the expected digests as they are; one that is
//! meant to alter decisions records new digests and says so in its commit message.

mod common;

use std::collections::BTreeMap;

use common::scheduler_harness::{MILLISECOND, SECOND, endpoint_in_cell, request_spec, settings};
use inference_router::scheduler::{
    Action, AttemptId, CacheKey, ClassId, DeduplicationScope, EndpointId, EndpointUpdate, Event, Idempotency,
    Lifecycle, LoadReport, Micros, Outcome, RequestClass, RequestId, RequestSpec, Scheduler, Settings,
    Tenant, TenantId,
};
use xxhash_rust::xxh3::Xxh3;

/// Rounds of each run, with up to three events in each.
const ROUNDS: u32 = 3_000;

/// A request without a final answer.
#[derive(Default)]
struct OpenRequest {
    /// The attempt in flight: its number, its endpoint, when it was sent, whether its first token has
    /// arrived.
    attempt: Option<(u32, EndpointId, Micros, bool)>,
    attempts_sent: u32,
}

struct Simulation {
    scheduler: Scheduler,
    rng: fastrand::Rng,
    now: Micros,
    next_request: u64,
    requests: BTreeMap<u64, OpenRequest>,
    endpoints: Vec<EndpointUpdate>,
    digest: Xxh3,
}

fn hash_number(digest: &mut Xxh3, value: i64) {
    digest.update(&value.to_le_bytes());
}

/// Adds an action to the digest by its numbers only, so that renaming a variant does not change it. A log
/// line counts by its length.
fn hash_action(digest: &mut Xxh3, action: &Action) {
    let values = match action {
        Action::Send { request, endpoint, timeout, start_within } => {
            vec![1, request.0 as i64, i64::from(endpoint.0), *timeout, start_within.unwrap_or(-1)]
        }
        Action::Cancel { request, attempt } => vec![2, request.0 as i64, i64::from(attempt.0)],
        Action::Reject { request, retry_after } => vec![3, request.0 as i64, retry_after.unwrap_or(-1)],
        Action::Fail(request) => vec![4, request.0 as i64],
        Action::ReleaseReservation(request) => vec![5, request.0 as i64],
        Action::HealthCheck(endpoint) => vec![6, i64::from(endpoint.0)],
        Action::WatchEndpoints => vec![7],
        Action::SetTimer { token, after } => vec![8, *token as i64, *after],
        Action::Log(line) => vec![9, line.len() as i64],
        other => panic!("action without a place in the digest: {other:?}"),
    };
    values.into_iter().for_each(|value| hash_number(digest, value));
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Self {
        let prefill = (1..6).map(|endpoint| endpoint_in_cell(endpoint, 0, i64::from(endpoint % 3)));
        let decode = (10..18).map(|endpoint| endpoint_in_cell(endpoint, 1, i64::from(endpoint % 3)));
        let mixed = (20..22).map(|endpoint| endpoint_in_cell(endpoint, 2, 1));
        let endpoints: Vec<_> = prefill.chain(decode).chain(mixed).collect();
        Simulation {
            scheduler: Scheduler::new(settings, seed),
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000 * SECOND,
            next_request: 0,
            requests: BTreeMap::new(),
            endpoints,
            digest: Xxh3::new(),
        }
    }

    fn run(mut self) -> u64 {
        self.run_round(&[Event::EndpointsChanged { snapshot: true, updates: self.endpoints.clone() }]);
        for _ in 0..ROUNDS {
            self.now += self.rng.i64(0..40 * MILLISECOND);
            let count = self.rng.usize(0..4);
            for _ in 0..count {
                let event = self.random_event();
                self.run_round(&[event]);
            }
            if count == 0 {
                self.run_round(&[Event::TimerFired(0)]);
            }
        }
        self.digest.digest()
    }

    fn run_round(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        hash_number(&mut self.digest, actions.len() as i64);
        for action in &actions {
            hash_action(&mut self.digest, action);
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: &Action) {
        match action {
            Action::Send { request, endpoint, .. } => {
                let open_request = self.requests.entry(request.0).or_default();
                open_request.attempt = Some((open_request.attempts_sent, *endpoint, self.now, false));
                open_request.attempts_sent += 1;
            }
            Action::Reject { request, .. } | Action::Fail(request) => drop(self.requests.remove(&request.0)),
            _ => {}
        }
    }

    fn random_event(&mut self) -> Event {
        match self.rng.u32(0..100) {
            0..35 => self.random_request(),
            35..90 => self.random_attempt_event().unwrap_or(Event::TimerFired(0)),
            90..93 => self.random_disconnect().unwrap_or(Event::TimerFired(0)),
            93..96 => self.random_endpoint_change(),
            96..97 => Event::WatchFailed,
            97..98 => Event::EndpointsChanged { snapshot: true, updates: self.endpoints.clone() },
            _ => {
                let endpoint = self.random_endpoint();
                Event::HealthChecked {
                    endpoint,
                    outcome: Outcome::Completed,
                    load_report: Some(self.random_load_report()),
                }
            }
        }
    }

    fn random_endpoint(&mut self) -> EndpointId {
        let index = self.rng.usize(0..self.endpoints.len());
        self.endpoints[index].endpoint
    }

    fn random_load_report(&mut self) -> LoadReport {
        LoadReport {
            memory_utilization: Some(self.rng.f64()),
            queued_prefill_tokens: Some(self.rng.f64() * 20_000.0),
            ..LoadReport::default()
        }
    }

    fn random_request(&mut self) -> Event {
        self.next_request += 1;
        let session = self.rng.u64(0..60);
        Event::RequestReceived(RequestSpec {
            class: ClassId(self.rng.usize(0..3)),
            tenant: Some(TenantId(self.rng.usize(0..2))),
            session: Some(CacheKey(session)),
            prefix: Some(CacheKey(1_000 + session % 9)),
            prompt_tokens: 1_000.0 + self.rng.f64() * 4_000.0,
            client_timeout: self.rng.i64(200 * MILLISECOND..6 * SECOND),
            is_retry: self.rng.u32(0..10) == 0,
            unary: self.rng.u32(0..20) == 0,
            ..request_spec(self.next_request)
        })
    }

    /// Returns the first token or the end of a random attempt in flight; `None` if no attempt is in flight.
    fn random_attempt_event(&mut self) -> Option<Event> {
        let in_flight: Vec<_> =
            self.requests.iter().filter(|(_, r)| r.attempt.is_some()).map(|(&id, _)| id).collect();
        let id = *in_flight.get(self.rng.usize(0..in_flight.len().max(1)))?;
        let (attempt, endpoint, sent_at, has_first_token) = self.requests.get(&id)?.attempt?;
        let elapsed = self.now - sent_at;
        let is_prefill = endpoint.0 < 10;
        let draw = self.rng.u32(0..100);
        if !is_prefill && !has_first_token && draw < 60 {
            self.requests.get_mut(&id)?.attempt = Some((attempt, endpoint, sent_at, true));
            return Some(Event::FirstToken {
                request: RequestId(id),
                attempt: AttemptId(attempt),
                endpoint,
                elapsed,
            });
        }
        let outcome = match draw {
            0..80 if is_prefill => Outcome::Prefilled,
            0..80 => Outcome::Completed,
            80..83 => Outcome::Rejected,
            83..85 => Outcome::StateMissing,
            85..87 => Outcome::Error,
            87..90 => Outcome::TimedOut,
            90..92 => Outcome::ConnectFailed,
            92..94 => Outcome::ConnectionLost,
            94..96 => Outcome::Malformed,
            96..98 => Outcome::NotSent,
            98..99 => Outcome::Cancelled,
            _ => Outcome::Abandoned,
        };
        let ends_request = outcome == Outcome::Completed || (has_first_token && outcome != Outcome::Rejected);
        if ends_request {
            self.requests.remove(&id);
        } else {
            self.requests.get_mut(&id)?.attempt = None;
        }
        let report = (self.rng.u32(0..3) == 0).then(|| self.random_load_report());
        let cached_tokens = if is_prefill { (self.rng.f64() * 1_000.0).floor() } else { 0.0 };
        Some(Event::AttemptFinished {
            request: RequestId(id),
            attempt: AttemptId(attempt),
            endpoint,
            outcome,
            is_final: ends_request,
            cached_tokens,
            elapsed,
            load_report: report,
        })
    }

    fn random_disconnect(&mut self) -> Option<Event> {
        let ids: Vec<_> = self.requests.keys().copied().collect();
        let id = *ids.get(self.rng.usize(0..ids.len().max(1)))?;
        Some(Event::ClientDisconnected(RequestId(id)))
    }

    /// Returns a delta of the endpoint list in which one endpoint drains, is removed, becomes ready or
    /// restarts.
    fn random_endpoint_change(&mut self) -> Event {
        let index = self.rng.usize(0..self.endpoints.len());
        let update = &mut self.endpoints[index];
        update.lifecycle = match self.rng.u32(0..6) {
            0 => Lifecycle::Draining,
            1 => Lifecycle::Removed,
            _ => Lifecycle::Ready,
        };
        if self.rng.bool() {
            update.started_at = Some(self.now);
        }
        Event::EndpointsChanged { snapshot: false, updates: vec![update.clone()] }
    }
}

/// Returns settings with three classes of different idempotency and two tenants.
fn scenario_settings(replicas: u32) -> Settings {
    let mut settings = settings();
    let class = settings.classes[0].clone();
    settings.replicas = replicas;
    settings.classes = vec![
        class.clone(),
        RequestClass {
            idempotency: Idempotency::Keyed { scope: DeduplicationScope::Zone, window: 2 * SECOND },
            ..class.clone()
        },
        RequestClass {
            idempotency: Idempotency::NonIdempotent,
            first_token_objective: 300 * MILLISECOND,
            ..class
        },
    ];
    settings.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 1_000.0 }];
    settings.capabilities.health_checks = replicas > 2;
    settings.watch_endpoint_list = true;
    settings
}

#[test]
fn seeded_events_reproduce_the_recorded_digests() {
    let digests: Vec<_> = [(1, 11), (2, 12), (12, 13), (64, 14)]
        .into_iter()
        .map(|(replicas, seed)| format!("{:016x}", Simulation::new(scenario_settings(replicas), seed).run()))
        .collect();
    let recorded = ["96f6e4ad334805c6", "a465a2be7090fc3d", "56e941a22b130f46", "c1f03d9e3b6f1aa9"];
    assert_eq!(digests, recorded);
}

#[test]
fn local_prefill_reproduces_the_recorded_digest() {
    let mut settings = scenario_settings(3);
    settings.capabilities.local_prefill = true;
    settings.capabilities.max_attempts = 6;
    settings.classes[1].idempotency = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: SECOND };
    let digest = format!("{:016x}", Simulation::new(settings, 15).run());
    assert_eq!(digest, "14c0921e7a8395f1");
}
