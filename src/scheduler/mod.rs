//! The routing decisions of one replica. This module performs no I/O and reads no clock: the caller passes
//! [`Event`]s to [`Scheduler::handle`] and executes the returned [`Action`]s.
//!
//! The algorithm is the online phase of SABER: a request waits in one of two queue tiers (`queue`) until a
//! check against a decode endpoint's speed curve (`decode_capacity`) admits it (`admission`).
//! `prefill_selection` and `decode_selection` choose its endpoints, `attempt` sends it and handles outcomes,
//! `reservation` limits how long its KV cache waits, and `retry` decides whether it may be retried.
//! `slow_start`, `outlier` and `load_report` limit how much each endpoint is sent.

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
mod reservation;
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

/// Interval between checks of waiting requests; short compared with any first-token objective.
const QUEUE_CHECK_INTERVAL: Micros = 5_000;
/// Minimum delay between two requests to watch the endpoint list.
const WATCH_RETRY_DELAY: Micros = 1_000_000;

/// The routing state of one replica.
#[derive(Default)]
pub struct Scheduler {
    settings: Settings,
    /// Seed of the replica's random draws, so that replicas with the same state draw differently.
    seed: u64,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    ready_endpoints: PoolSizes,
    requests: BTreeMap<RequestId, Request>,
    queue: Queue,
    /// One curve per kind of endpoint.
    speed_curves: Vec<SpeedCurve>,
    /// One bucket per tenant.
    quotas: Vec<TokenBucket>,
    estimates: FleetEstimates,
    slow_start_credit: SlowStartCredit,
    arrivals: ArrivalRate,
    /// When the pending timer fires.
    timer_due_at: Option<Micros>,
    watch_requested_at: Option<Micros>,
    /// Whether the endpoint list is being watched or a watch has been requested.
    watch_open: bool,
}

impl Scheduler {
    /// Creates a scheduler that knows no endpoints yet. Each replica should pass a different seed.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Scheduler {
            speed_curves: vec![SpeedCurve::default(); settings.kinds.len()],
            quotas: vec![TokenBucket::full(); settings.tenants.len()],
            seed,
            settings,
            ..Scheduler::default()
        }
    }

    /// Processes the events that occurred up to `now` and appends the resulting actions in order.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.arrivals.start_counting(now);
        self.accrue_slow_start_credit(now);
        for event in events {
            self.handle_event(now, event, actions);
        }
        self.watch_endpoints(now, actions);
        self.send_prefilled(now, actions);
        self.update_tiers(now, actions);
        self.admit_queued(now, actions);
        self.send_health_checks(now, actions);
        self.set_timer(now, actions);
    }

    fn handle_event(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { snapshot, updates } => self.update_endpoints(now, *snapshot, updates),
            Event::WatchFailed => self.watch_open = false,
            Event::RequestReceived(spec) => self.handle_request_received(now, spec, actions),
            Event::FirstToken { request, endpoint, elapsed, .. } => {
                self.handle_first_token(now, *request, *endpoint, *elapsed);
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
                self.handle_attempt_finished(now, &result, actions);
            }
            Event::ClientDisconnected(request) => self.handle_client_disconnected(*request, actions),
            Event::HealthChecked { endpoint, load_report, .. } => {
                self.record_load_report(now, *endpoint, load_report.as_ref());
            }
            Event::ReservationResult { .. } => {}
            Event::TimerFired(_) => self.timer_due_at = None,
        }
    }

    /// Requests a watch on the endpoint list if there is none, for example after it failed.
    fn watch_endpoints(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let since_last_request = self.watch_requested_at.map_or(Micros::MAX, |at| now - at);
        let wanted = self.settings.watch_endpoint_list && !self.watch_open;
        if wanted && since_last_request >= WATCH_RETRY_DELAY {
            actions.push(Action::WatchEndpoints);
            self.watch_open = true;
            self.watch_requested_at = Some(now);
        }
    }

    /// Keeps one timer pending while a request is waiting or the endpoint list has to be watched again.
    fn set_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let request_waits = self.requests.values().any(Request::is_waiting);
        let watch_needed = self.settings.watch_endpoint_list && !self.watch_open;
        let after = if request_waits { QUEUE_CHECK_INTERVAL } else { WATCH_RETRY_DELAY };
        let due_later = self.timer_due_at.is_none_or(|at| at > now + after);
        if (request_waits || watch_needed) && due_later {
            self.timer_due_at = Some(now + after);
            actions.push(Action::SetTimer { token: 0, after });
        }
    }
}
