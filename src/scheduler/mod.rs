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
use decaying_average::{DecayingAverage, FADE};
pub use event::{EndpointUpdate, Event, Lifecycle, LoadReport, RequestSpec};
use hashing::{chance, weighted};
pub use ids::*;
pub use outcome::Outcome;
pub use settings::{
    Capabilities, DeduplicationScope, EndpointKind, Idempotency, RequestClass, Role, Rules, Settings, Tenant,
};
use speed_curve::SpeedCurve;

// Each with its unit and reason; times are in microseconds. None is fitted to one deployment.
const TICK: Micros = 5_000; // between looks at what is held: short against every aim
const READ_EXTRA: f64 = 300.0; // tokens added to each read for what does not depend on its length
const READ_COST: f64 = 80.0; // to read one token, until reads have been seen...
const FIRST_TOOK: f64 = 100_000.0; // from a send to the first token, until some have been seen
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
    fails: u32,
    /// Of a prefill endpoint: until when nothing is read there, as decode endpoints could not fetch its
    /// states.
    stuck_until: Micros,
    /// Answers in a row that could not be read.
    malformed: u32,
    failed_at: Micros,
    rest_until: Micros,
    full_until: BTreeMap<(ClassId, Option<TenantId>), Micros>,
    slow_start: slow_start::SlowStart,
    probe_at: Micros,
    /// Attempts without a first answer, by the time they were sent.
    pending: BTreeMap<RequestId, Micros>,
    /// What reads take there beyond their own tokens: others' reads come before them.
    read_wait: DecayingAverage,
    /// Share of its states that its cell's decode endpoints can take, and of its writing left to other cells.
    stay: f64,
    spare: f64,
    kept: BTreeMap<CacheKey, f64>,
    streams: BTreeSet<RequestId>,
    first_took: DecayingAverage,
    /// Tokens that others hold, from the reports.
    others: Option<DecayingAverage>,
    /// Of a prefill endpoint: tokens that waited to be read there, and when it said so.
    backlog: f64,
    told_at: Micros,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    High,
    Low,
    Reading,
    Ready,
    Writing,
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
    ask: RequestSpec,
    aim_at: Micros,
    deadline: Micros,
    /// Guessed answer length, the same with its prompt, and the wanted pace.
    tokens: f64,
    footprint: f64,
    token_aim: f64,
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
    ready_since: Micros,
    late: bool,
    /// The cell of the decode endpoint that stayed silent last, and how many did with the same state.
    silent: Option<CellId>,
    stuck: u32,
    /// The first attempt that may have had its effect.
    may_have_run: Option<PossibleExecution>,
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
    set: Settings,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    requests: BTreeMap<RequestId, Request>,
    high: BTreeSet<(Micros, RequestId)>,
    low: BTreeSet<(Micros, RequestId)>,
    curves: Vec<SpeedCurve>,
    quotas: Vec<DecayingAverage>,
    /// To read one token where nothing waits, and the mean wait before a read.
    read_cost: f64,
    read_wait: DecayingAverage,
    first_took: DecayingAverage,
    /// Means: a request's tokens, others' share of a decode endpoint's memory, the part of a prompt kept.
    footprint: f64,
    others: f64,
    kept_share: [f64; PREFERRED],
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
            read_cost: READ_COST,
            kept_share: std::array::from_fn(|rank| if rank == 0 { 1.0 } else { 0.5 }),
            read_wait: DecayingAverage { value: 0.0, at: Micros::MIN / 2 },
            first_took: DecayingAverage { value: FIRST_TOOK, at: Micros::MIN / 2 },
            salt: seed,
            set: settings,
            ..Scheduler::default()
        }
    }

    /// Takes in what happened and says what to do, in order.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.since.get_or_insert(now);
        self.earn(now);
        events.iter().for_each(|event| self.handle_event(now, event, out));
        self.follow(now, out);
        self.send_ready(now, out);
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
            Event::RequestReceived(ask) => self.arrive(now, ask, out),
            Event::FirstToken { request, endpoint, elapsed: took, .. } => {
                self.began(now, *request, *endpoint, *took)
            }
            Event::AttemptFinished {
                request,
                endpoint,
                outcome,
                is_final: last,
                cached_tokens: kept,
                elapsed: took,
                load_report: load,
                ..
            } => {
                self.report(now, *endpoint, load.as_ref());
                self.ended(now, *request, *endpoint, (*outcome, *last, *kept, *took), out);
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
        if self.set.watch_endpoint_list && !self.following && since >= FOLLOW_AGAIN {
            out.push(Action::WatchEndpoints);
            (self.following, self.followed_at) = (true, Some(now));
        }
    }

    /// One timer at a time: while anything is held, or the list must be asked for again.
    fn set_wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        let held = self.requests.values().any(|r| matches!(r.stage, Stage::High | Stage::Low | Stage::Ready));
        let asking = self.set.watch_endpoint_list && !self.following;
        let after = if held { TICK } else { FOLLOW_AGAIN };
        if (held || asking) && self.wake_at.is_none_or(|at| at > now + after) {
            self.wake_at = Some(now + after);
            out.push(Action::SetTimer { token: 0, after });
        }
    }
}
