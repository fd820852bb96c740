//! The settings object as it stands in JSON.

use serde::Deserialize;

use crate::scheduler::{DeduplicationScope, Role};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Options {
    #[serde(default)]
    pub(super) accounts: Vec<Account>,
    pub(super) balancers: u32,
    pub(super) failure_domains: Vec<String>,
    pub(super) family_info: FamilyInfo,
    pub(super) invariants: Invariants,
    pub(super) kinds: Vec<String>,
    pub(super) lanes: Vec<Lane>,
    pub(super) limits: WireLimits,
    pub(super) locality: String,
    pub(super) membership_mode: MembershipMode,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum MembershipMode {
    Push,
    Ask,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Account {
    pub(super) name: String,
    pub(super) quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct FamilyInfo {
    pub(super) ahead: bool,
    pub(super) aim_us_per1000_prompt_tokens: Vec<f64>,
    pub(super) local_read: bool,
    pub(super) memory_tokens: Option<Vec<f64>>,
    pub(super) pin_limit: f64,
    pub(super) resume: bool,
    pub(super) role_by_kind: Vec<WireRole>,
    pub(super) token_aim: Vec<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(super) enum WireRole {
    Read,
    Write,
    Both,
}

impl From<WireRole> for Role {
    fn from(role: WireRole) -> Self {
        match role {
            WireRole::Read => Role::Prefill,
            WireRole::Write => Role::Decode,
            WireRole::Both => Role::Mixed,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Invariants {
    pub(super) answer_slack: f64,
    pub(super) drain_grace: f64,
    pub(super) fall_multiple: f64,
    pub(super) overload_for: f64,
    pub(super) ramp_time: f64,
    pub(super) start_capacity: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Lane {
    pub(super) deadline: f64,
    pub(super) group: Option<WireGroup>,
    #[serde(default)]
    pub(super) late_worth: f64,
    pub(super) name: String,
    pub(super) objective: f64,
    pub(super) semantics: Semantics,
    pub(super) window: Option<f64>,
    pub(super) worth: f64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(super) enum WireGroup {
    All,
    Zone,
    Cell,
}

impl From<WireGroup> for DeduplicationScope {
    fn from(group: WireGroup) -> Self {
        match group {
            WireGroup::All => DeduplicationScope::All,
            WireGroup::Zone => DeduplicationScope::Zone,
            WireGroup::Cell => DeduplicationScope::Cell,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Semantics {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireLimits {
    pub(super) cancelling: bool,
    pub(super) max_attempts: u32,
    pub(super) max_retry_after: Option<f64>,
    pub(super) may_duplicate: bool,
    pub(super) may_probe: bool,
    pub(super) retry_after: bool,
}
