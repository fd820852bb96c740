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
pub(super) struct Options {
    #[serde(rename = "accounts", default)]
    pub(super) tenants: Vec<Account>,
    /// How many replicas serve the fleet.
    #[serde(rename = "balancers")]
    pub(super) replicas: u32,
    #[serde(rename = "failureDomains")]
    pub(super) zones: Vec<String>,
    #[serde(rename = "familyInfo")]
    pub(super) family: FamilyInfo,
    #[serde(rename = "invariants")]
    pub(super) rules: Invariants,
    /// Names of the kinds of endpoint.
    pub(super) kinds: Vec<String>,
    #[serde(rename = "lanes")]
    pub(super) classes: Vec<Lane>,
    #[serde(rename = "limits")]
    pub(super) capabilities: WireLimits,
    /// The zone of this replica.
    #[serde(rename = "locality")]
    pub(super) zone: String,
    #[serde(rename = "membershipMode")]
    pub(super) membership_mode: MembershipMode,
}

/// How updates of the endpoint list reach a replica.
#[derive(Deserialize)]
pub(super) enum MembershipMode {
    /// Without a watch.
    #[serde(rename = "push")]
    Push,
    /// Only while the replica watches the endpoint list.
    #[serde(rename = "ask")]
    Watch,
}

/// A tenant.
#[derive(Deserialize)]
pub(super) struct Account {
    pub(super) name: String,
    /// Requests a second within its quota, over all replicas.
    #[serde(rename = "quotaPerS")]
    pub(super) quota_per_s: f64,
}

/// What is particular to a fleet that pairs prefill with decode endpoints.
#[derive(Deserialize)]
pub(super) struct FamilyInfo {
    #[serde(rename = "ahead")]
    pub(super) reserve_ahead: bool,
    /// For each class, what 1,000 prompt tokens add to the first token's objective, in microseconds.
    #[serde(rename = "aimUsPer1000PromptTokens")]
    pub(super) objectives_per_1000_prompt_tokens_us: Vec<f64>,
    #[serde(rename = "localRead")]
    pub(super) local_prefill: bool,
    /// For each kind, its KV cache memory; absent where the deployment does not say.
    #[serde(rename = "memoryTokens")]
    pub(super) memory_tokens: Option<Vec<f64>>,
    #[serde(rename = "pinLimit")]
    pub(super) reservation_limit_ms: f64,
    pub(super) resume: bool,
    /// For each kind, its role.
    #[serde(rename = "roleByKind")]
    pub(super) roles: Vec<WireRole>,
    /// For each class, the wanted mean time between tokens.
    #[serde(rename = "tokenAim")]
    pub(super) inter_token_objectives_ms: Vec<f64>,
}

/// What a kind of endpoint can do.
#[derive(Deserialize, Clone, Copy)]
pub(super) enum WireRole {
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
pub(super) struct Invariants {
    #[serde(rename = "answerSlack")]
    pub(super) answer_slack_ms: f64,
    #[serde(rename = "drainGrace")]
    pub(super) drain_grace_ms: f64,
    #[serde(rename = "fallMultiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "overloadFor")]
    pub(super) overload_window_ms: f64,
    #[serde(rename = "rampTime")]
    pub(super) slow_start_duration_ms: f64,
    #[serde(rename = "startCapacity")]
    pub(super) initial_capacity: f64,
}

/// A class of request.
#[derive(Deserialize)]
pub(super) struct Lane {
    #[serde(rename = "deadline")]
    pub(super) deadline_ms: f64,
    /// The endpoints that share the keys of a keyed class.
    #[serde(rename = "group")]
    pub(super) scope: Option<WireScope>,
    #[serde(rename = "lateWorth", default)]
    pub(super) late_weight: f64,
    pub(super) name: String,
    /// Time within which the first token earns the full weight.
    #[serde(rename = "objective")]
    pub(super) first_token_objective_ms: f64,
    #[serde(rename = "semantics")]
    pub(super) idempotency: WireIdempotency,
    /// How long the keys of a keyed class are known.
    #[serde(rename = "window")]
    pub(super) window_ms: Option<f64>,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
}

/// The endpoints that together drop duplicates of a keyed request.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(super) enum WireScope {
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
pub(super) enum WireIdempotency {
    #[serde(rename = "read_like")]
    Idempotent,
    #[serde(rename = "idempotency_key")]
    Keyed,
    #[serde(rename = "non_idempotent")]
    NonIdempotent,
}

/// What the deployment allows.
#[derive(Deserialize)]
pub(super) struct WireLimits {
    #[serde(rename = "cancelling")]
    pub(super) cancellation: bool,
    #[serde(rename = "maxAttempts")]
    pub(super) max_attempts: u32,
    /// The longest `Retry-After` that clients heed.
    #[serde(rename = "maxRetryAfter")]
    pub(super) max_retry_after_ms: Option<f64>,
    #[serde(rename = "mayDuplicate")]
    pub(super) hedging: bool,
    #[serde(rename = "mayProbe")]
    pub(super) health_checks: bool,
    /// Clients heed `Retry-After` at all.
    #[serde(rename = "retryAfter")]
    pub(super) retry_after: bool,
}
