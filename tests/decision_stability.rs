//! The scheduler's decisions on seeded random events: the same events must give the same actions.
//!
//! The expected digests were recorded on the code before its names were changed. A change that is meant to change no
//! decision leaves them as they are; one that is meant to change decisions records new ones and says so.

mod common;

use std::collections::BTreeMap;

use common::rig::{MS, S, ask, in_cell, settings};
use inference_router::scheduler::Scheduler;
use inference_router::scheduler::*;
use xxhash_rust::xxh3::Xxh3;

/// Rounds of each scenario; each brings up to three events.
const ROUNDS: u32 = 3_000;

/// A request that the scheduler has not answered yet.
#[derive(Default)]
struct OpenRequest {
    /// The attempt that is out: its number, its endpoint, when it was sent, and whether it has begun to answer.
    attempt: Option<(u32, EndpointId, Micros, bool)>,
    sent: u32,
}

struct Simulation {
    router: Scheduler,
    random: fastrand::Rng,
    now: Micros,
    next_request: u64,
    open: BTreeMap<u64, OpenRequest>,
    members: Vec<EndpointUpdate>,
    digest: Xxh3,
}

fn number(digest: &mut Xxh3, value: i64) {
    digest.update(&value.to_le_bytes());
}

/// Adds an action to the digest, by numbers alone: names may change.
fn record(digest: &mut Xxh3, action: &Action) {
    let values = match action {
        Action::Send { request, endpoint: host, timeout: time_out, start_within } => {
            vec![1, request.0 as i64, i64::from(host.0), *time_out, start_within.unwrap_or(-1)]
        }
        Action::Cancel { request, attempt } => vec![2, request.0 as i64, i64::from(attempt.0)],
        Action::Reject { request, retry_after } => vec![3, request.0 as i64, retry_after.unwrap_or(-1)],
        Action::Fail(request) => vec![4, request.0 as i64],
        Action::ReleaseReservation(request) => vec![5, request.0 as i64],
        Action::HealthCheck(host) => vec![6, i64::from(host.0)],
        Action::WatchEndpoints => vec![7],
        Action::SetTimer { token, after } => vec![8, *token as i64, *after],
        Action::Log(line) => vec![9, line.len() as i64],
        other => panic!("no decision asks for {other:?}"),
    };
    values.into_iter().for_each(|value| number(digest, value));
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Self {
        let prefill = (1..6).map(|host| in_cell(host, 0, i64::from(host % 3)));
        let decode = (10..18).map(|host| in_cell(host, 1, i64::from(host % 3)));
        let mixed = (20..22).map(|host| in_cell(host, 2, 1));
        let members: Vec<_> = prefill.chain(decode).chain(mixed).collect();
        Simulation {
            router: Scheduler::new(settings, seed),
            random: fastrand::Rng::with_seed(seed),
            now: 1_000 * S,
            next_request: 0,
            open: BTreeMap::new(),
            members,
            digest: Xxh3::new(),
        }
    }

    fn run(mut self) -> u64 {
        self.round(&[Event::EndpointsChanged { snapshot: true, updates: self.members.clone() }]);
        for _ in 0..ROUNDS {
            self.now += self.random.i64(0..40 * MS);
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
        self.router.handle(self.now, events, &mut actions);
        number(&mut self.digest, actions.len() as i64);
        for action in &actions {
            record(&mut self.digest, action);
            self.take(action);
        }
    }

    fn take(&mut self, action: &Action) {
        match action {
            Action::Send { request, endpoint: host, .. } => {
                let open = self.open.entry(request.0).or_default();
                open.attempt = Some((open.sent, *host, self.now, false));
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
            97..98 => Event::EndpointsChanged { snapshot: true, updates: self.members.clone() },
            _ => {
                let host = self.some_host();
                Event::HealthChecked {
                    endpoint: host,
                    outcome: Outcome::Completed,
                    load_report: Some(self.load()),
                }
            }
        }
    }

    fn some_host(&mut self) -> EndpointId {
        let at = self.random.usize(0..self.members.len());
        self.members[at].endpoint
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
            client_timeout: self.random.i64(200 * MS..6 * S),
            is_retry: self.random.u32(0..10) == 0,
            unary: self.random.u32(0..20) == 0,
            ..ask(self.next_request)
        })
    }

    /// Something that happens to an attempt that is out.
    fn progress(&mut self) -> Option<Event> {
        let out: Vec<_> = self.open.iter().filter(|(_, r)| r.attempt.is_some()).map(|(&id, _)| id).collect();
        let id = *out.get(self.random.usize(0..out.len().max(1)))?;
        let (attempt, host, sent_at, begun) = self.open.get(&id)?.attempt?;
        let took = self.now - sent_at;
        let reads = host.0 < 10;
        let draw = self.random.u32(0..100);
        if !reads && !begun && draw < 60 {
            self.open.get_mut(&id)?.attempt = Some((attempt, host, sent_at, true));
            return Some(Event::FirstToken {
                request: RequestId(id),
                attempt: AttemptId(attempt),
                endpoint: host,
                elapsed: took,
            });
        }
        let outcome = match draw {
            0..80 if reads => Outcome::Prefilled,
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
        let kept = if reads { (self.random.f64() * 1_000.0).floor() } else { 0.0 };
        Some(Event::AttemptFinished {
            request: RequestId(id),
            attempt: AttemptId(attempt),
            endpoint: host,
            outcome,
            is_final: last,
            cached_tokens: kept,
            elapsed: took,
            load_report: load,
        })
    }

    fn departure(&mut self) -> Option<Event> {
        let ids: Vec<_> = self.open.keys().copied().collect();
        let id = *ids.get(self.random.usize(0..ids.len().max(1)))?;
        Some(Event::ClientDisconnected(RequestId(id)))
    }

    /// An endpoint that drains, is gone, or starts anew.
    fn change(&mut self) -> Event {
        let at = self.random.usize(0..self.members.len());
        let member = &mut self.members[at];
        member.lifecycle = match self.random.u32(0..6) {
            0 => Lifecycle::Draining,
            1 => Lifecycle::Removed,
            _ => Lifecycle::Ready,
        };
        if self.random.bool() {
            member.started_at = Some(self.now);
        }
        Event::EndpointsChanged { snapshot: false, updates: vec![member.clone()] }
    }
}

/// Three classes with different rules on repeats, and two tenants.
fn scenario(routers: u32) -> Settings {
    let mut settings = settings();
    let class = settings.classes[0].clone();
    settings.replicas = routers;
    settings.classes = vec![
        class.clone(),
        RequestClass {
            idempotency: Idempotency::Keyed { scope: DeduplicationScope::Zone, window: 2 * S },
            ..class.clone()
        },
        RequestClass { idempotency: Idempotency::NonIdempotent, first_token_objective: 300 * MS, ..class },
    ];
    settings.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 1_000.0 }];
    settings.capabilities.health_checks = routers > 2;
    settings.watch_endpoint_list = true;
    settings
}

#[test]
fn seeded_events_give_the_recorded_actions() {
    let digests: Vec<_> = [(1, 11), (2, 12), (12, 13), (64, 14)]
        .into_iter()
        .map(|(routers, seed)| format!("{:016x}", Simulation::new(scenario(routers), seed).run()))
        .collect();
    let recorded = ["7bdf4eb53f0b8dcb", "6aed8e91bdac3c87", "5ec694826310de72", "10cfc0edfd4290dd"];
    assert_eq!(digests, recorded);
}

#[test]
fn fallback_to_local_prefill_gives_the_recorded_actions() {
    let mut settings = scenario(3);
    settings.capabilities.local_prefill = true;
    settings.capabilities.max_attempts = 6;
    settings.classes[1].idempotency = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: S };
    let digest = format!("{:016x}", Simulation::new(settings, 15).run());
    assert_eq!(digest, "9b6469c6242acf95");
}
