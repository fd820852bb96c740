//! Every decision of the router; `src/api.rs` has its interface. The mechanism is SABER's online phase: what
//! arrives waits in one of two tiers (`admission`) until a test by a decode endpoint's speed `curve` lets it
//! go;
//! `placement` pairs endpoints, `attempts` sends and answers, `slow_start` spares endpoints that have just
//! begun.

mod action;
mod admission;
mod attempt;
mod decaying_average;
mod endpoint;
mod event;
mod hashing;
mod ids;
mod outcome;
mod placement;
mod settings;
mod slow_start;
mod speed_curve;

use std::collections::{BTreeMap, BTreeSet};

pub use action::Action;
use decaying_average::{DecayingAverage, HALF_LIFE};
pub use event::{EndpointUpdate, Event, Lifecycle, LoadReport, RequestSpec};
use hashing::{rendezvous_score, unit_hash};
pub use ids::*;
pub use outcome::Outcome;
pub use settings::{
    Capabilities, DeduplicationScope, EndpointKind, Idempotency, RequestClass, Role, Rules, Settings, Tenant,
};
use speed_curve::SpeedCurve;

// Each with its unit and reason; times are in microseconds. None is fitted to one deployment.
const TICK: Micros = 5_000; // between looks at what is held: short against every aim
const PREFILL_OVERHEAD_TOKENS: f64 = 300.0; // tokens added to each for what does not depend on its length
const INITIAL_PREFILL_COST: f64 = 80.0; // to read one token, until reads have been seen...
const INITIAL_FIRST_TOKEN_LATENCY: f64 = 100_000.0; // to the first token, until some have been seen
const FLEET_GAIN: f64 = 0.05; // and in the fleet's
const PREFERRED: usize = 3; // of a beginning, all asked: it may outgrow one, yet each must read it first
const PATIENCE_EXTRA: f64 = 300_000.0; // ...and added to it
const ANSWER_MARGIN: Micros = 10_000; // before the deadline at which what is held is answered
const REPORT: Micros = 1_000_000; // for which an endpoint's report holds: none is made anew more seldom
const FOLLOW_AGAIN: Micros = 1_000_000; // between tries to follow the list of endpoints

#[derive(Default)]
struct EndpointState {
    id: EndpointId,
    zone: ZoneId,
    cell: CellId,
    kind: KindId,
    role: Role,
    memory: f64,
    phase: Lifecycle,
    started: Option<Micros>,
    consecutive_failures: u32,
    /// Of a prefill endpoint: until when nothing is read there, as decode endpoints could not fetch its
    /// states.
    transfer_stalled_until: Micros,
    /// Answers in a row that could not be read.
    malformed: u32,
    failed_at: Micros,
    ejected_until: Micros,
    backpressure_until: BTreeMap<(ClassId, Option<TenantId>), Micros>,
    slow_start: slow_start::SlowStart,
    probe_at: Micros,
    /// Attempts without a first answer, by the time they were sent.
    pending: BTreeMap<RequestId, Micros>,
    /// What reads take there beyond their own tokens: others' reads come before them.
    prefill_wait: DecayingAverage,
    /// Share of its states that its cell's decode endpoints can take, and of its writing left to other cells.
    local_capacity_ratio: f64,
    remote_capacity_weight: f64,
    cached_prefixes: BTreeMap<CacheKey, f64>,
    streams: BTreeSet<RequestId>,
    first_token_latency: DecayingAverage,
    /// Tokens that others hold, from the reports.
    external_tokens: Option<DecayingAverage>,
    /// Of a prefill endpoint: tokens that waited to be read there, and when it said so.
    queued_prefill_tokens: f64,
    queue_reported_at: Micros,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    High,
    Low,
    Prefilling,
    Prefilled,
    Decoding,
    Streaming,
}

/// Where and since when an attempt may have had its effect. The endpoint may leave the list; its group stays.
#[derive(Clone, Copy)]
struct PossibleExecution {
    place: Option<(ZoneId, CellId)>,
    since: Micros,
}

#[derive(Default)]
struct Request {
    spec: RequestSpec,
    objective_at: Micros,
    deadline: Micros,
    /// Guessed answer length, the same with its prompt, and the wanted pace.
    tokens: f64,
    footprint: f64,
    inter_token_objective: f64,
    stage: Stage,
    /// Attempts ordered, and those of them that this router never sent.
    sent: u32,
    not_sent: u32,
    /// A endpoint that could not be sent to from here, and until when another one is tried first.
    avoided: Option<(EndpointId, Micros)>,
    preferred: Vec<EndpointId>,
    prefill: Option<EndpointId>,
    decode: Option<EndpointId>,
    unread: f64,
    /// Tokens to read at its prefill endpoint when it was sent, its own among them.
    read_load: f64,
    from_low: bool,
    /// Since when a state waits with no attempt out; whether all would be past its aim.
    reserved_since: Micros,
    late: bool,
    /// The cell of the decode endpoint that stayed silent last, and how many did with the same state.
    silent: Option<CellId>,
    stuck: u32,
    /// The first attempt that may have had its effect.
    possible_execution: Option<PossibleExecution>,
    over_share: bool,
    /// Ended for the client; only an outcome is still awaited.
    ended: bool,
    begun: Micros,
    /// Until when the answers of its prefill endpoints, asked how much waits there, may be on their way.
    asked_until: Micros,
}

/// One router's decisions.
#[derive(Default)]
pub struct Scheduler {
    settings: Settings,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    requests: BTreeMap<RequestId, Request>,
    high: BTreeSet<(Micros, RequestId)>,
    low: BTreeSet<(Micros, RequestId)>,
    curves: Vec<SpeedCurve>,
    quotas: Vec<DecayingAverage>,
    /// To read one token where nothing waits, and the mean wait before a read.
    prefill_cost_per_token: f64,
    prefill_wait: DecayingAverage,
    first_token_latency: DecayingAverage,
    /// Means: a request's tokens, others' share of a decode endpoint's memory, the part of a prompt kept.
    footprint: f64,
    external_share: f64,
    cache_hit_ratio: [f64; PREFERRED],
    salt: u64,
    /// Running prefill endpoints and others, by the list.
    serving: (usize, usize),
    earned: slow_start::Earned,
    /// First tries, counted since the first look at the clock.
    arrivals: DecayingAverage,
    since: Option<Micros>,
    wake_at: Option<Micros>,
    followed_at: Option<Micros>,
    following: bool,
}

impl Scheduler {
    /// A router that knows no endpoint yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Scheduler {
            curves: vec![SpeedCurve::default(); settings.kinds.len()],
            quotas: vec![DecayingAverage { value: f64::MAX, at: 0 }; settings.tenants.len()],
            prefill_cost_per_token: INITIAL_PREFILL_COST,
            cache_hit_ratio: std::array::from_fn(|rank| if rank == 0 { 1.0 } else { 0.5 }),
            prefill_wait: DecayingAverage { value: 0.0, at: Micros::MIN / 2 },
            first_token_latency: DecayingAverage { value: INITIAL_FIRST_TOKEN_LATENCY, at: Micros::MIN / 2 },
            salt: seed,
            settings,
            ..Scheduler::default()
        }
    }

    /// Takes in what happened and says what to do, in order.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.since.get_or_insert(now);
        self.accrue_slow_start_credit(now);
        events.iter().for_each(|event| self.handle_event(now, event, out));
        self.follow(now, out);
        self.send_prefilled(now, out);
        self.sort_tiers(now, out);
        self.admit(now, out);
        self.probe(now, out);
        self.set_wake(now, out);
    }

    fn handle_event(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { snapshot: whole, updates: members } => {
                self.endpoints_changed(now, *whole, members)
            }
            Event::WatchFailed => self.following = false,
            Event::RequestReceived(spec) => self.arrive(now, spec, out),
            Event::FirstToken { request, endpoint, elapsed: took, .. } => {
                self.began(now, *request, *endpoint, *took)
            }
            Event::AttemptFinished {
                request,
                endpoint,
                outcome,
                is_final: last,
                cached_tokens,
                elapsed: took,
                load_report: load,
                ..
            } => {
                self.report(now, *endpoint, load.as_ref());
                self.ended(now, *request, *endpoint, (*outcome, *last, *cached_tokens, *took), out);
            }
            Event::ClientDisconnected(request) => self.left(*request, out),
            Event::HealthChecked { endpoint, load_report: load, .. } => {
                self.report(now, *endpoint, load.as_ref())
            }
            Event::ReservationResult { .. } => {}
            Event::TimerFired(_) => self.wake_at = None,
        }
    }

    fn follow(&mut self, now: Micros, out: &mut Vec<Action>) {
        let since = self.followed_at.map_or(Micros::MAX, |at| now - at);
        if self.settings.watch_endpoint_list && !self.following && since >= FOLLOW_AGAIN {
            out.push(Action::WatchEndpoints);
            (self.following, self.followed_at) = (true, Some(now));
        }
    }

    /// One timer at a time: while anything is held, or the list must be asked for again.
    fn set_wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        let held =
            self.requests.values().any(|r| matches!(r.stage, Stage::High | Stage::Low | Stage::Prefilled));
        let asking = self.settings.watch_endpoint_list && !self.following;
        let after = if held { TICK } else { FOLLOW_AGAIN };
        if (held || asking) && self.wake_at.is_none_or(|at| at > now + after) {
            self.wake_at = Some(now + after);
            out.push(Action::SetTimer { token: 0, after });
        }
    }
}
