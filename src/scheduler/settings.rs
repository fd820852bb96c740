//! The scheduler's settings: classes of request, kinds of endpoint, rules and capabilities of the deployment.

use super::ids::{Micros, ZoneId};

/// What a kind of endpoint can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts.
    #[default]
    Prefill,
    /// Decodes answers from a prefilled KV cache.
    Decode,
    /// Decodes answers, and prefills the prompt itself when there is no KV cache to fetch.
    Mixed,
}

/// The endpoints that together drop duplicates of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// What a second execution of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution is harmless.
    Idempotent,
    /// A second execution is dropped within the scope, for the window after the first attempt that may have
    /// executed.
    Keyed {
        /// The endpoints that know the key.
        scope: DeduplicationScope,
        /// How long they know it.
        window: Micros,
    },
    /// A second execution does harm unless no earlier attempt executed.
    NonIdempotent,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Time within which the first token earns the full weight.
    pub first_token_objective: Micros,
    /// What each 1,000 prompt tokens add to the objective.
    pub objective_per_1000_prompt_tokens: Micros,
    /// The client's timeout over all its tries.
    pub deadline: Micros,
    /// Wanted mean time between tokens.
    pub inter_token_objective: Micros,
    /// Weight of one request, or of one unit of its work.
    pub priority_weight: f64,
    /// Share of the weight that a late answer earns.
    pub late_weight: f64,
    /// What a second execution does.
    pub idempotency: Idempotency,
}

/// A kind of endpoint.
#[derive(Clone, Debug)]
pub struct EndpointKind {
    /// What it does.
    pub role: Role,
    /// Its KV cache memory, in tokens; none where the deployment does not say.
    pub memory_tokens: Option<f64>,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its quota, over all replicas.
    pub quota_per_s: f64,
}

/// The limits that the platform's rules set.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// How long after the deadline a final answer still counts.
    pub answer_slack: Micros,
    /// How long after notice of a drain sends must have stopped.
    pub drain_grace: Micros,
    /// Multiple of the present capacity that overloads an endpoint in slow start when sent within the
    /// [`overload_window`](Self::overload_window).
    pub overload_multiple: f64,
    /// The window over which sends to an endpoint in slow start are counted.
    pub overload_window: Micros,
    /// Time after its start by which an endpoint has its full capacity.
    pub slow_start_duration: Micros,
    /// Share of its capacity that an endpoint has at its start, at least.
    pub initial_capacity: f64,
    /// How long a KV cache or a slot may be reserved while no attempt is in flight.
    pub reservation_limit: Micros,
}

/// What the deployment allows.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// A request may have two attempts in flight at once.
    pub hedging: bool,
    /// Endpoints may be health checked.
    pub health_checks: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Longest `Retry-After` that clients heed; none where they are sent none.
    pub max_retry_after: Option<Micros>,
    /// A slot may be reserved at a decode endpoint ahead of time.
    pub reserve_ahead: bool,
    /// The client of a broken stream retries and resumes after its last token.
    pub resume: bool,
    /// A decode endpoint prefills a prompt itself when there is no KV cache to fetch.
    pub local_prefill: bool,
}

/// What a replica is configured with at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many replicas of the router serve this fleet.
    pub replicas: u32,
    /// This replica's zone.
    pub zone: ZoneId,
    /// Kinds of endpoint.
    pub kinds: Vec<EndpointKind>,
    /// Classes of request.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The platform's rules.
    pub rules: Rules,
    /// What the deployment allows.
    pub capabilities: Capabilities,
    /// The endpoint list must be watched at discovery; otherwise updates come without a watch.
    pub watch_endpoint_list: bool,
}
