//! JSON format of the settings object in the simulator's first message and in a replica's configuration.
//!
//! Fields use the router's terms, with the JSON key in the `serde` attribute. Times are in milliseconds if
//! the field name ends in `_ms`. Structs keep the platform's names because serde includes them in its error
//! messages. Unknown keys are ignored.

use serde::Deserialize;

use crate::scheduler::{DeduplicationScope, Role};

/// The settings object.
#[derive(Deserialize)]
pub(crate) struct Options {
    #[serde(rename = "accounts", default)]
    pub(crate) tenants: Vec<Account>,
    /// Number of replicas that serve the fleet.
    #[serde(rename = "balancers")]
    pub(crate) replicas: u32,
    #[serde(rename = "failureDomains")]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "familyInfo")]
    pub(crate) family: FamilyInfo,
    #[serde(rename = "invariants")]
    pub(crate) rules: Invariants,
    /// Names of the endpoint kinds.
    pub(crate) kinds: Vec<String>,
    #[serde(rename = "lanes")]
    pub(crate) classes: Vec<Lane>,
    #[serde(rename = "limits")]
    pub(crate) capabilities: WireLimits,
    /// Zone of this replica.
    #[serde(rename = "locality")]
    pub(crate) zone: String,
    #[serde(rename = "membershipMode")]
    pub(crate) membership_mode: MembershipMode,
}

/// How a replica receives updates of the endpoint list.
#[derive(Deserialize)]
pub(crate) enum MembershipMode {
    /// Updates are sent without a watch.
    #[serde(rename = "push")]
    Push,
    /// Updates are sent only while the replica watches the endpoint list.
    #[serde(rename = "ask")]
    Watch,
}

/// A tenant.
#[derive(Deserialize)]
pub(crate) struct Account {
    pub(crate) name: String,
    /// Request quota per second, across all replicas.
    #[serde(rename = "quotaPerS")]
    pub(crate) quota_per_s: f64,
}

/// Settings specific to fleets that pair prefill endpoints with decode endpoints.
#[derive(Deserialize)]
pub(crate) struct FamilyInfo {
    #[serde(rename = "ahead")]
    pub(crate) reserve_ahead: bool,
    /// Increase of the first-token objective per 1,000 prompt tokens, in microseconds, by class.
    #[serde(rename = "aimUsPer1000PromptTokens")]
    pub(crate) objectives_per_1000_prompt_tokens_us: Vec<f64>,
    #[serde(rename = "localRead")]
    pub(crate) local_prefill: bool,
    /// KV cache memory in tokens, by kind; absent if the deployment does not specify it.
    #[serde(rename = "memoryTokens")]
    pub(crate) memory_tokens: Option<Vec<f64>>,
    #[serde(rename = "pinLimit")]
    pub(crate) reservation_limit_ms: f64,
    pub(crate) resume: bool,
    /// Role of the endpoints, by kind.
    #[serde(rename = "roleByKind")]
    pub(crate) roles: Vec<WireRole>,
    /// Objective for the mean time between tokens, by class.
    #[serde(rename = "tokenAim")]
    pub(crate) inter_token_objectives_ms: Vec<f64>,
}

/// What an endpoint kind can do.
#[derive(Deserialize, Clone, Copy)]
pub(crate) enum WireRole {
    #[serde(rename = "read")]
    Prefill,
    #[serde(rename = "write")]
    Decode,
    #[serde(rename = "both")]
    Mixed,
}

impl From<WireRole> for Role {
    fn from(role: WireRole) -> Self {
        match role {
            WireRole::Prefill => Role::Prefill,
            WireRole::Decode => Role::Decode,
            WireRole::Mixed => Role::Mixed,
        }
    }
}

/// Limits imposed by the platform.
#[derive(Deserialize)]
pub(crate) struct Invariants {
    #[serde(rename = "answerSlack")]
    pub(crate) answer_slack_ms: f64,
    #[serde(rename = "drainGrace")]
    pub(crate) drain_grace_ms: f64,
    #[serde(rename = "fallMultiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "overloadFor")]
    pub(crate) overload_window_ms: f64,
    #[serde(rename = "rampTime")]
    pub(crate) slow_start_duration_ms: f64,
    #[serde(rename = "startCapacity")]
    pub(crate) initial_capacity: f64,
}

/// A class of request.
#[derive(Deserialize)]
pub(crate) struct Lane {
    #[serde(rename = "deadline")]
    pub(crate) deadline_ms: f64,
    /// Endpoints that share the idempotency keys of the class.
    #[serde(rename = "group")]
    pub(crate) scope: Option<WireScope>,
    #[serde(rename = "lateWorth", default)]
    pub(crate) late_weight: f64,
    pub(crate) name: String,
    /// Maximum time to the first token for an answer to count at full weight.
    #[serde(rename = "objective")]
    pub(crate) first_token_objective_ms: f64,
    #[serde(rename = "semantics")]
    pub(crate) idempotency: WireIdempotency,
    /// How long the idempotency keys of the class are remembered.
    #[serde(rename = "window")]
    pub(crate) window_ms: Option<f64>,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
}

/// Endpoints that jointly deduplicate requests by their idempotency key.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WireScope {
    All,
    Zone,
    Cell,
}

impl From<WireScope> for DeduplicationScope {
    fn from(scope: WireScope) -> Self {
        match scope {
            WireScope::All => DeduplicationScope::All,
            WireScope::Zone => DeduplicationScope::Zone,
            WireScope::Cell => DeduplicationScope::Cell,
        }
    }
}

/// Effect of executing a request a second time.
#[derive(Deserialize)]
pub(crate) enum WireIdempotency {
    #[serde(rename = "read_like")]
    Idempotent,
    #[serde(rename = "idempotency_key")]
    Keyed,
    #[serde(rename = "non_idempotent")]
    NonIdempotent,
}

/// Features and limits of the deployment.
#[derive(Deserialize)]
pub(crate) struct WireLimits {
    #[serde(rename = "cancelling")]
    pub(crate) cancellation: bool,
    #[serde(rename = "maxAttempts")]
    pub(crate) max_attempts: u32,
    /// The longest `Retry-After` that clients honor.
    #[serde(rename = "maxRetryAfter")]
    pub(crate) max_retry_after_ms: Option<f64>,
    #[serde(rename = "mayDuplicate")]
    pub(crate) hedging: bool,
    #[serde(rename = "mayProbe")]
    pub(crate) health_checks: bool,
    /// Whether clients honor `Retry-After` at all.
    #[serde(rename = "retryAfter")]
    pub(crate) retry_after: bool,
}
