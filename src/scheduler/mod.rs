//! Every routing decision of one replica. Nothing here does I/O or reads a clock: the caller passes
//! [`Event`]s to [`Scheduler::handle`] and carries the returned [`Action`]s out.
//!
//! The mechanism is the online phase of SABER: a request waits in one of two tiers (`queue`) until a test by
//! a decode endpoint's speed curve (`decode_capacity`) admits it (`admission`). `prefill_selection` and
//! `decode_selection` choose its endpoints, `attempt` sends it and handles outcomes, `retry` decides whether
//! it may be tried again, and `slow_start`, `outlier` and `load_report` say how much each endpoint can be
//! sent.

mod action;
mod admission;
mod arrival_rate;
mod attempt;
mod decaying_average;
mod decode_capacity;
mod decode_selection;
mod eligibility;
mod endpoint;
mod estimates;
mod event;
mod hashing;
mod ids;
mod load_report;
mod outcome;
mod outlier;
mod prefill_selection;
mod queue;
mod quota;
mod registry;
mod request;
mod retry;
mod settings;
mod slow_start;
mod speed_curve;

use std::collections::BTreeMap;

pub use action::Action;
use arrival_rate::ArrivalRate;
use attempt::AttemptResult;
use endpoint::EndpointState;
use estimates::FleetEstimates;
pub use event::{EndpointUpdate, Event, Lifecycle, LoadReport, RequestSpec};
pub use ids::{
    AttemptId, CacheKey, CellId, ClassId, EndpointId, KindId, Micros, RequestId, TenantId, ZoneId,
};
pub use outcome::Outcome;
use queue::Queue;
use quota::TokenBucket;
use registry::PoolSizes;
use request::Request;
pub use settings::{
    Capabilities, DeduplicationScope, EndpointKind, Idempotency, RequestClass, Role, Rules, Settings, Tenant,
};
use slow_start::SlowStartCredit;
use speed_curve::SpeedCurve;

/// Microseconds between looks at waiting requests: short against every first-token objective.
const QUEUE_CHECK_INTERVAL: Micros = 5_000;
/// Microseconds between attempts to watch the endpoint list.
const WATCH_RETRY_DELAY: Micros = 1_000_000;

/// The state of one replica's decisions.
#[derive(Default)]
pub struct Scheduler {
    settings: Settings,
    /// Seeds the random draws, so that replicas with the same knowledge draw differently.
    salt: u64,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    ready_endpoints: PoolSizes,
    requests: BTreeMap<RequestId, Request>,
    queue: Queue,
    /// One curve for each kind of endpoint.
    speed_curves: Vec<SpeedCurve>,
    /// One bucket for each tenant.
    quotas: Vec<TokenBucket>,
    estimates: FleetEstimates,
    slow_start_credit: SlowStartCredit,
    arrivals: ArrivalRate,
    /// When the timer that is set fires.
    timer_due_at: Option<Micros>,
    watch_requested_at: Option<Micros>,
    /// The endpoint list is watched, or a watch has been requested.
    watch_open: bool,
}

impl Scheduler {
    /// A scheduler that knows no endpoint yet. Replicas should have different seeds.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Scheduler {
            speed_curves: vec![SpeedCurve::default(); settings.kinds.len()],
            quotas: vec![TokenBucket::full(); settings.tenants.len()],
            salt: seed,
            settings,
            ..Scheduler::default()
        }
    }

    /// Takes in what happened by `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.arrivals.start(now);
        self.accrue_slow_start_credit(now);
        for event in events {
            self.handle_event(now, event, out);
        }
        self.watch_endpoints(now, out);
        self.send_prefilled(now, out);
        self.update_tiers(now, out);
        self.admit_queued(now, out);
        self.send_health_checks(now, out);
        self.set_timer(now, out);
    }

    fn handle_event(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { snapshot, updates } => self.endpoints_changed(now, *snapshot, updates),
            Event::WatchFailed => self.watch_open = false,
            Event::RequestReceived(spec) => self.request_received(now, spec, out),
            Event::FirstToken { request, endpoint, elapsed, .. } => {
                self.first_token(now, *request, *endpoint, *elapsed);
            }
            Event::AttemptFinished {
                request,
                endpoint,
                outcome,
                is_final,
                cached_tokens,
                elapsed,
                load_report,
                ..
            } => {
                self.record_load_report(now, *endpoint, load_report.as_ref());
                let result = AttemptResult {
                    request: *request,
                    endpoint: *endpoint,
                    outcome: *outcome,
                    is_final: *is_final,
                    cached_tokens: *cached_tokens,
                    elapsed: *elapsed,
                };
                self.attempt_finished(now, &result, out);
            }
            Event::ClientDisconnected(request) => self.client_disconnected(*request, out),
            Event::HealthChecked { endpoint, load_report, .. } => {
                self.record_load_report(now, *endpoint, load_report.as_ref());
            }
            Event::ReservationResult { .. } => {}
            Event::TimerFired(_) => self.timer_due_at = None,
        }
    }

    /// Watches the endpoint list, again after a failure.
    fn watch_endpoints(&mut self, now: Micros, out: &mut Vec<Action>) {
        let since_last_request = self.watch_requested_at.map_or(Micros::MAX, |at| now - at);
        let wanted = self.settings.watch_endpoint_list && !self.watch_open;
        if wanted && since_last_request >= WATCH_RETRY_DELAY {
            out.push(Action::WatchEndpoints);
            self.watch_open = true;
            self.watch_requested_at = Some(now);
        }
    }

    /// Keeps one timer set while a request waits here or the endpoint list is to be watched again.
    fn set_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        let request_waits = self.requests.values().any(Request::is_waiting);
        let watch_needed = self.settings.watch_endpoint_list && !self.watch_open;
        let after = if request_waits { QUEUE_CHECK_INTERVAL } else { WATCH_RETRY_DELAY };
        let due_later = self.timer_due_at.is_none_or(|at| at > now + after);
        if (request_waits || watch_needed) && due_later {
            self.timer_due_at = Some(now + after);
            out.push(Action::SetTimer { token: 0, after });
        }
    }
}
