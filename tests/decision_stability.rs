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
    /// The attempt in flight: its number, its endpoint, when it was sent, whether its first token has come.
    attempt: Option<(u32, EndpointId, Micros, bool)>,
    sent: u32,
}

struct Simulation {
    scheduler: Scheduler,
    random: fastrand::Rng,
    now: Micros,
    next_request: u64,
    open: BTreeMap<u64, OpenRequest>,
    endpoints: Vec<EndpointUpdate>,
    digest: Xxh3,
}

fn number(digest: &mut Xxh3, value: i64) {
    digest.update(&value.to_le_bytes());
}

/// Adds an action to the digest by its numbers only, so that renaming a variant does not change it. A log
/// line counts by its length.
fn record(digest: &mut Xxh3, action: &Action) {
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
    values.into_iter().for_each(|value| number(digest, value));
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Self {
        let prefill = (1..6).map(|endpoint| endpoint_in_cell(endpoint, 0, i64::from(endpoint % 3)));
        let decode = (10..18).map(|endpoint| endpoint_in_cell(endpoint, 1, i64::from(endpoint % 3)));
        let mixed = (20..22).map(|endpoint| endpoint_in_cell(endpoint, 2, 1));
        let endpoints: Vec<_> = prefill.chain(decode).chain(mixed).collect();
        Simulation {
            scheduler: Scheduler::new(settings, seed),
            random: fastrand::Rng::with_seed(seed),
            now: 1_000 * SECOND,
            next_request: 0,
            open: BTreeMap::new(),
            endpoints,
            digest: Xxh3::new(),
        }
    }

    fn run(mut self) -> u64 {
        self.round(&[Event::EndpointsChanged { snapshot: true, updates: self.endpoints.clone() }]);
        for _ in 0..ROUNDS {
            self.now += self.random.i64(0..40 * MILLISECOND);
            let count = self.random.usize(0..4);
            for _ in 0..count {
                let event = self.event();
                self.round(&[event]);
            }
            if count == 0 {
                self.round(&[Event::TimerFired(0)]);
            }
        }
        self.digest.digest()
    }

    fn round(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        number(&mut self.digest, actions.len() as i64);
        for action in &actions {
            record(&mut self.digest, action);
            self.take(action);
        }
    }

    fn take(&mut self, action: &Action) {
        match action {
            Action::Send { request, endpoint, .. } => {
                let open = self.open.entry(request.0).or_default();
                open.attempt = Some((open.sent, *endpoint, self.now, false));
                open.sent += 1;
            }
            Action::Reject { request, .. } | Action::Fail(request) => drop(self.open.remove(&request.0)),
            _ => {}
        }
    }

    fn event(&mut self) -> Event {
        match self.random.u32(0..100) {
            0..35 => self.arrival(),
            35..90 => self.progress().unwrap_or(Event::TimerFired(0)),
            90..93 => self.departure().unwrap_or(Event::TimerFired(0)),
            93..96 => self.change(),
            96..97 => Event::WatchFailed,
            97..98 => Event::EndpointsChanged { snapshot: true, updates: self.endpoints.clone() },
            _ => {
                let endpoint = self.some_endpoint();
                Event::HealthChecked { endpoint, outcome: Outcome::Completed, load_report: Some(self.load()) }
            }
        }
    }

    fn some_endpoint(&mut self) -> EndpointId {
        let at = self.random.usize(0..self.endpoints.len());
        self.endpoints[at].endpoint
    }

    fn load(&mut self) -> LoadReport {
        LoadReport {
            memory_utilization: Some(self.random.f64()),
            queued_prefill_tokens: Some(self.random.f64() * 20_000.0),
            ..LoadReport::default()
        }
    }

    fn arrival(&mut self) -> Event {
        self.next_request += 1;
        let session = self.random.u64(0..60);
        Event::RequestReceived(RequestSpec {
            class: ClassId(self.random.usize(0..3)),
            tenant: Some(TenantId(self.random.usize(0..2))),
            session: Some(CacheKey(session)),
            prefix: Some(CacheKey(1_000 + session % 9)),
            prompt_tokens: 1_000.0 + self.random.f64() * 4_000.0,
            client_timeout: self.random.i64(200 * MILLISECOND..6 * SECOND),
            is_retry: self.random.u32(0..10) == 0,
            unary: self.random.u32(0..20) == 0,
            ..request_spec(self.next_request)
        })
    }

    /// The first token or the end of a random attempt in flight; none if no attempt is in flight.
    fn progress(&mut self) -> Option<Event> {
        let out: Vec<_> = self.open.iter().filter(|(_, r)| r.attempt.is_some()).map(|(&id, _)| id).collect();
        let id = *out.get(self.random.usize(0..out.len().max(1)))?;
        let (attempt, endpoint, sent_at, begun) = self.open.get(&id)?.attempt?;
        let elapsed = self.now - sent_at;
        let is_prefill = endpoint.0 < 10;
        let draw = self.random.u32(0..100);
        if !is_prefill && !begun && draw < 60 {
            self.open.get_mut(&id)?.attempt = Some((attempt, endpoint, sent_at, true));
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
        let last = outcome == Outcome::Completed || (begun && outcome != Outcome::Rejected);
        if last {
            self.open.remove(&id);
        } else {
            self.open.get_mut(&id)?.attempt = None;
        }
        let load = (self.random.u32(0..3) == 0).then(|| self.load());
        let cached_tokens = if is_prefill { (self.random.f64() * 1_000.0).floor() } else { 0.0 };
        Some(Event::AttemptFinished {
            request: RequestId(id),
            attempt: AttemptId(attempt),
            endpoint,
            outcome,
            is_final: last,
            cached_tokens,
            elapsed,
            load_report: load,
        })
    }

    fn departure(&mut self) -> Option<Event> {
        let ids: Vec<_> = self.open.keys().copied().collect();
        let id = *ids.get(self.random.usize(0..ids.len().max(1)))?;
        Some(Event::ClientDisconnected(RequestId(id)))
    }

    /// A delta of the endpoint list in which one endpoint drains, is removed, becomes ready or restarts.
    fn change(&mut self) -> Event {
        let at = self.random.usize(0..self.endpoints.len());
        let update = &mut self.endpoints[at];
        update.lifecycle = match self.random.u32(0..6) {
            0 => Lifecycle::Draining,
            1 => Lifecycle::Removed,
            _ => Lifecycle::Ready,
        };
        if self.random.bool() {
            update.started_at = Some(self.now);
        }
        Event::EndpointsChanged { snapshot: false, updates: vec![update.clone()] }
    }
}

/// Settings with three classes of different idempotency and two tenants.
fn scenario(replicas: u32) -> Settings {
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
fn seeded_events_give_the_recorded_actions() {
    let digests: Vec<_> = [(1, 11), (2, 12), (12, 13), (64, 14)]
        .into_iter()
        .map(|(replicas, seed)| format!("{:016x}", Simulation::new(scenario(replicas), seed).run()))
        .collect();
    let recorded = ["7bdf4eb53f0b8dcb", "6aed8e91bdac3c87", "5ec694826310de72", "10cfc0edfd4290dd"];
    assert_eq!(digests, recorded);
}

#[test]
fn fallback_to_local_prefill_gives_the_recorded_actions() {
    let mut settings = scenario(3);
    settings.capabilities.local_prefill = true;
    settings.capabilities.max_attempts = 6;
    settings.classes[1].idempotency = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: SECOND };
    let digest = format!("{:016x}", Simulation::new(settings, 15).run());
    assert_eq!(digest, "9b6469c6242acf95");
}
