//! Events: what the scheduler is notified of.

use super::ids::{
    AttemptId, CacheKey, CellId, ClassId, EndpointId, KindId, Micros, RequestId, TenantId, ZoneId,
};
use super::outcome::Outcome;

/// Whether an endpoint may be sent new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes new work.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left the fleet.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind.
    pub kind: KindId,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// When it last started; none for long ago.
    pub started_at: Option<Micros>,
}

/// An endpoint's own report of its load; each value only where the deployment has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued_requests: Option<f64>,
    /// Share of slots in use, from 0 to 1.
    pub slot_utilization: Option<f64>,
    /// Recent time to the end of a prefill or to the first token.
    pub recent_latency: Option<Micros>,
    /// Share of KV cache memory in use, from 0 to 1.
    pub memory_utilization: Option<f64>,
    /// Prompt tokens queued to be prefilled or fetched.
    pub queued_prefill_tokens: Option<f64>,
}

/// A new request.
#[derive(Clone, Debug, Default)]
pub struct RequestSpec {
    /// Which request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<CacheKey>,
    /// The prompt prefix that it shares with other sessions.
    pub prefix: Option<CacheKey>,
    /// Tokens of that prefix.
    pub prefix_tokens: f64,
    /// Tokens of the complete prompt.
    pub prompt_tokens: f64,
    /// Most tokens it may produce.
    pub max_output_tokens: f64,
    /// An estimate of its stream time at the inter-token objective.
    pub stream_duration_hint: Option<Micros>,
    /// Time until the client gives up this try.
    pub client_timeout: Micros,
    /// A client's marked retry of an earlier try.
    pub is_retry: bool,
    /// It resumes a stream that broke or was migrated.
    pub is_resumption: bool,
    /// Its answer is one response, not a stream, so there is no sign of a first token.
    pub unary: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list or a part of it changed.
    EndpointsChanged {
        /// The list is complete: endpoints that it does not name are removed. Otherwise it is a delta.
        snapshot: bool,
        /// The entries.
        updates: Vec<EndpointUpdate>,
    },
    /// The watch on the endpoint list could not be opened or has ended.
    WatchFailed,
    /// A request arrived.
    RequestReceived(RequestSpec),
    /// The first token of an answer is out.
    FirstToken {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptId,
        /// At which endpoint.
        endpoint: EndpointId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended.
    AttemptFinished {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptId,
        /// At which endpoint.
        endpoint: EndpointId,
        /// How.
        outcome: Outcome,
        /// The request has its final answer.
        is_final: bool,
        /// Prompt tokens that were found in the endpoint's cache.
        cached_tokens: f64,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// The endpoint's load report, where one came along.
        load_report: Option<LoadReport>,
    },
    /// The answer to [`Action::ReserveAhead`](super::Action::ReserveAhead).
    ReservationResult {
        /// Which request.
        request: RequestId,
        /// At which endpoint.
        endpoint: EndpointId,
        /// The slot is reserved.
        reserved: bool,
    },
    /// The client disconnected; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthChecked {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The endpoint's load report.
        load_report: Option<LoadReport>,
    },
    /// A timer fired; its token as it was set.
    TimerFired(u64),
}
