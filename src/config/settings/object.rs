//! The settings object as it stands in JSON, in the simulator's first message and in a replica's
//! configuration.
//!
//! Fields carry the router's terms, with the object's key beside each; times are in milliseconds where the
//! name ends in `_ms`. Structs carry the platform's words, as serde puts their names into the texts of its
//! errors. Keys that no field names are passed over.

use serde::Deserialize;

use crate::scheduler::{DeduplicationScope, Role};

/// The settings object.
#[derive(Deserialize)]
pub(crate) struct Options {
    #[serde(rename = "accounts", default)]
    pub(crate) tenants: Vec<Account>,
    /// How many replicas serve the fleet.
    #[serde(rename = "balancers")]
    pub(crate) replicas: u32,
    #[serde(rename = "failureDomains")]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "familyInfo")]
    pub(crate) family: FamilyInfo,
    #[serde(rename = "invariants")]
    pub(crate) rules: Invariants,
    /// Names of the kinds of endpoint.
    pub(crate) kinds: Vec<String>,
    #[serde(rename = "lanes")]
    pub(crate) classes: Vec<Lane>,
    #[serde(rename = "limits")]
    pub(crate) capabilities: WireLimits,
    /// The zone of this replica.
    #[serde(rename = "locality")]
    pub(crate) zone: String,
    #[serde(rename = "membershipMode")]
    pub(crate) membership_mode: MembershipMode,
}

/// How updates of the endpoint list reach a replica.
#[derive(Deserialize)]
pub(crate) enum MembershipMode {
    /// Without a watch.
    #[serde(rename = "push")]
    Push,
    /// Only while the replica watches the endpoint list.
    #[serde(rename = "ask")]
    Watch,
}

/// A tenant.
#[derive(Deserialize)]
pub(crate) struct Account {
    pub(crate) name: String,
    /// Requests a second within its quota, over all replicas.
    #[serde(rename = "quotaPerS")]
    pub(crate) quota_per_s: f64,
}

/// What is particular to a fleet that pairs prefill with decode endpoints.
#[derive(Deserialize)]
pub(crate) struct FamilyInfo {
    #[serde(rename = "ahead")]
    pub(crate) reserve_ahead: bool,
    /// For each class, what 1,000 prompt tokens add to the first token's objective, in microseconds.
    #[serde(rename = "aimUsPer1000PromptTokens")]
    pub(crate) objectives_per_1000_prompt_tokens_us: Vec<f64>,
    #[serde(rename = "localRead")]
    pub(crate) local_prefill: bool,
    /// For each kind, its KV cache memory; absent where the deployment does not say.
    #[serde(rename = "memoryTokens")]
    pub(crate) memory_tokens: Option<Vec<f64>>,
    #[serde(rename = "pinLimit")]
    pub(crate) reservation_limit_ms: f64,
    pub(crate) resume: bool,
    /// For each kind, its role.
    #[serde(rename = "roleByKind")]
    pub(crate) roles: Vec<WireRole>,
    /// For each class, the wanted mean time between tokens.
    #[serde(rename = "tokenAim")]
    pub(crate) inter_token_objectives_ms: Vec<f64>,
}

/// What a kind of endpoint can do.
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

/// The limits that the platform's rules set.
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
    /// The endpoints that share the keys of a keyed class.
    #[serde(rename = "group")]
    pub(crate) scope: Option<WireScope>,
    #[serde(rename = "lateWorth", default)]
    pub(crate) late_weight: f64,
    pub(crate) name: String,
    /// Time within which the first token earns the full weight.
    #[serde(rename = "objective")]
    pub(crate) first_token_objective_ms: f64,
    #[serde(rename = "semantics")]
    pub(crate) idempotency: WireIdempotency,
    /// How long the keys of a keyed class are known.
    #[serde(rename = "window")]
    pub(crate) window_ms: Option<f64>,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
}

/// The endpoints that together drop duplicates of a keyed request.
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

/// What a second execution of a request does.
#[derive(Deserialize)]
pub(crate) enum WireIdempotency {
    #[serde(rename = "read_like")]
    Idempotent,
    #[serde(rename = "idempotency_key")]
    Keyed,
    #[serde(rename = "non_idempotent")]
    NonIdempotent,
}

/// What the deployment allows.
#[derive(Deserialize)]
pub(crate) struct WireLimits {
    #[serde(rename = "cancelling")]
    pub(crate) cancellation: bool,
    #[serde(rename = "maxAttempts")]
    pub(crate) max_attempts: u32,
    /// The longest `Retry-After` that clients heed.
    #[serde(rename = "maxRetryAfter")]
    pub(crate) max_retry_after_ms: Option<f64>,
    #[serde(rename = "mayDuplicate")]
    pub(crate) hedging: bool,
    #[serde(rename = "mayProbe")]
    pub(crate) health_checks: bool,
    /// Clients heed `Retry-After` at all.
    #[serde(rename = "retryAfter")]
    pub(crate) retry_after: bool,
}
