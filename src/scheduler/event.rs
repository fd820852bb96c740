//! Events: the input of the scheduler.

use super::ids::{
    AttemptId, CacheKey, CellId, ClassId, EndpointId, KindId, Micros, RequestId, TenantId, ZoneId,
};
use super::outcome::Outcome;

/// Whether an endpoint may be sent new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes its current work and accepts no more.
    Draining,
    /// Has left the fleet.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The endpoint's zone.
    pub zone: ZoneId,
    /// The endpoint's cell.
    pub cell: CellId,
    /// The endpoint's kind.
    pub kind: KindId,
    /// Whether the endpoint accepts new work.
    pub lifecycle: Lifecycle,
    /// When the endpoint last started; `None` if long ago.
    pub started_at: Option<Micros>,
}

/// Load reported by an endpoint. Values that the deployment does not provide are `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in flight.
    pub in_flight: Option<f64>,
    /// Number of requests queued.
    pub queued_requests: Option<f64>,
    /// Fraction of slots in use, from 0 to 1.
    pub slot_utilization: Option<f64>,
    /// Recent latency until the end of a prefill or the first token.
    pub recent_latency: Option<Micros>,
    /// Fraction of KV cache memory in use, from 0 to 1.
    pub memory_utilization: Option<f64>,
    /// Prompt tokens waiting to be prefilled or fetched.
    pub queued_prefill_tokens: Option<f64>,
}

/// A new request.
#[derive(Clone, Debug, Default)]
pub struct RequestSpec {
    /// Identifier of the request.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if the deployment has tenants.
    pub tenant: Option<TenantId>,
    /// The session that the request belongs to.
    pub session: Option<CacheKey>,
    /// The prompt prefix shared with other sessions.
    pub prefix: Option<CacheKey>,
    /// Number of tokens in the shared prefix.
    pub prefix_tokens: f64,
    /// Number of tokens in the whole prompt.
    pub prompt_tokens: f64,
    /// Maximum number of output tokens.
    pub max_output_tokens: f64,
    /// Estimated duration of the stream at the inter-token objective.
    pub stream_duration_hint: Option<Micros>,
    /// Time until the client abandons this request. A retry by the client is a new request.
    pub client_timeout: Micros,
    /// Whether the client marked this as a retry of an earlier request.
    pub is_retry: bool,
    /// Whether this resumes a stream that broke or was migrated.
    pub is_resumption: bool,
    /// Whether the answer is a single response instead of a stream. There is no first-token event then.
    pub unary: bool,
}

/// An event that the scheduler has to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsChanged {
        /// Whether `updates` is the complete list, so that endpoints missing from it are removed. Otherwise
        /// it is a delta.
        snapshot: bool,
        /// The new or changed entries.
        updates: Vec<EndpointUpdate>,
    },
    /// The watch on the endpoint list could not be opened or has ended.
    WatchFailed,
    /// A request arrived.
    RequestReceived(RequestSpec),
    /// The first token of an answer was received.
    FirstToken {
        /// The request being answered.
        request: RequestId,
        /// The attempt that produced the token.
        attempt: AttemptId,
        /// The endpoint that produced the token.
        endpoint: EndpointId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended.
    AttemptFinished {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt that ended.
        attempt: AttemptId,
        /// The endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the request has received its final answer.
        is_final: bool,
        /// Prompt tokens found in the endpoint's cache.
        cached_tokens: f64,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// The endpoint's load report, if the response included one.
        load_report: Option<LoadReport>,
    },
    /// Result of [`Action::ReserveAhead`](super::Action::ReserveAhead).
    ReservationResult {
        /// The request that the slot is for.
        request: RequestId,
        /// The endpoint that was asked.
        endpoint: EndpointId,
        /// Whether the slot was reserved.
        reserved: bool,
    },
    /// The client disconnected, so no answer is needed.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the health check ended.
        outcome: Outcome,
        /// The endpoint's load report, if the response included one.
        load_report: Option<LoadReport>,
    },
    /// The timer with this token fired.
    TimerFired(u64),
}
