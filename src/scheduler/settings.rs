//! Scheduler settings: request classes, endpoint kinds, platform rules and deployment capabilities.

use super::ids::{Micros, ZoneId};

/// The role of a kind of endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts.
    #[default]
    Prefill,
    /// Decodes answers from a prefilled KV cache.
    Decode,
    /// Decodes answers, and also prefills prompts that have no KV cache to fetch.
    Mixed,
}

/// The set of endpoints among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// The effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution is harmless.
    Idempotent,
    /// Duplicates are dropped within the scope, for the window that starts with the first attempt that may
    /// have executed the request.
    Keyed {
        /// The endpoints that share the key.
        scope: DeduplicationScope,
        /// How long the endpoints remember the key.
        window: Micros,
    },
    /// A second execution is harmful.
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Maximum time to the first token for an answer to count at full weight.
    pub first_token_objective: Micros,
    /// Addition to the first-token objective for each 1,000 prompt tokens.
    pub objective_per_1000_prompt_tokens: Micros,
    /// The client's total timeout, including its retries.
    pub deadline: Micros,
    /// Target mean time between tokens.
    pub inter_token_objective: Micros,
    /// Weight of one request or of one unit of its work.
    pub priority_weight: f64,
    /// Fraction of the weight at which a late answer counts.
    pub late_weight: f64,
    /// The effect of executing a request more than once.
    pub idempotency: Idempotency,
}

/// A kind of endpoint.
#[derive(Clone, Debug)]
pub struct EndpointKind {
    /// The role of these endpoints.
    pub role: Role,
    /// KV cache capacity in tokens; `None` if the deployment does not specify it.
    pub memory_tokens: Option<f64>,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in requests per second, over all replicas.
    pub quota_per_s: f64,
}

/// Limits that the platform imposes.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// How long after the deadline a final answer is still accepted.
    pub answer_slack: Micros,
    /// Time after the notice of a drain by which the replica must have stopped sending to the endpoint.
    pub drain_grace: Micros,
    /// An endpoint in slow start is overloaded if it is sent this multiple of its current capacity within the
    /// [`overload_window`](Self::overload_window).
    pub overload_multiple: f64,
    /// Window over which sends to an endpoint in slow start are counted.
    pub overload_window: Micros,
    /// Time after its start when an endpoint reaches full capacity.
    pub slow_start_duration: Micros,
    /// Minimum fraction of its capacity that an endpoint has at its start.
    pub initial_capacity: f64,
    /// How long a KV cache or a slot may be reserved without an attempt in flight.
    pub reservation_limit: Micros,
}

/// Features that the deployment supports.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether endpoints may be health checked.
    pub health_checks: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Longest `Retry-After` that clients honor; `None` if they are not sent one.
    pub max_retry_after: Option<Micros>,
    /// Whether a slot can be reserved at a decode endpoint in advance.
    pub reserve_ahead: bool,
    /// Whether the client of a broken stream retries and resumes after its last token.
    pub resume: bool,
    /// Whether a decode endpoint prefills a prompt itself if there is no KV cache to fetch.
    pub local_prefill: bool,
}

/// Configuration of a replica at startup.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of router replicas that serve the fleet.
    pub replicas: u32,
    /// The zone of this replica.
    pub zone: ZoneId,
    /// The kinds of endpoint.
    pub kinds: Vec<EndpointKind>,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Limits that the platform imposes.
    pub rules: Rules,
    /// Features that the deployment supports.
    pub capabilities: Capabilities,
    /// Whether the endpoint list must be watched through discovery. Otherwise updates arrive without a watch.
    pub watch_endpoint_list: bool,
}
