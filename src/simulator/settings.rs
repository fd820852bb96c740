//! Reads the settings object into the scheduler's settings and the names that later messages refer to.

use serde_json::Value;

use super::error::{SettingsError, UnknownName};
use super::settings_object::{
    Account, FamilyInfo, Invariants, Lane, MembershipMode, Options, Semantics, WireLimits,
};
use super::units::micros_from_millis;
use crate::scheduler::{
    Capabilities, ClassId, EndpointKind, Idempotency, KindId, Micros, RequestClass, Role, Rules, Settings,
    Tenant, TenantId, ZoneId,
};

/// The names in a settings object, each list in the order of the scheduler's indices.
#[derive(Clone, Debug, Default)]
pub struct SettingNames {
    /// Zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// Kinds of endpoint, by [`KindId`].
    pub kinds: Vec<String>,
    /// Classes of request, by [`ClassId`].
    pub classes: Vec<String>,
    /// Tenants, by [`TenantId`].
    pub tenants: Vec<String>,
}

impl SettingNames {
    pub(super) fn zone_id(&self, name: &str) -> Result<ZoneId, UnknownName> {
        position(&self.zones, "zone", name).map(ZoneId)
    }

    pub(super) fn kind_id(&self, name: &str) -> Result<KindId, UnknownName> {
        position(&self.kinds, "kind", name).map(KindId)
    }

    pub(super) fn class_id(&self, name: &str) -> Result<ClassId, UnknownName> {
        position(&self.classes, "class", name).map(ClassId)
    }

    pub(super) fn tenant_id(&self, name: &str) -> Result<TenantId, UnknownName> {
        position(&self.tenants, "tenant", name).map(TenantId)
    }
}

fn position(names: &[String], category: &'static str, name: &str) -> Result<usize, UnknownName> {
    names
        .iter()
        .position(|known| known == name)
        .ok_or_else(|| UnknownName { category, name: name.to_owned() })
}

/// Reads the settings object that the simulator's first message and a replica's configuration hold.
///
/// # Errors
///
/// When the object lacks a key, has a value of the wrong type, or contradicts itself.
pub fn settings_from(options: Value) -> Result<(Settings, SettingNames), SettingsError> {
    let options: Options = serde_json::from_value(options)?;
    settings_from_options(&options)
}

/// As [`settings_from`], for an object that has been parsed.
pub(super) fn settings_from_options(options: &Options) -> Result<(Settings, SettingNames), SettingsError> {
    let kinds = endpoint_kinds(&options.kinds, &options.family_info)?;
    if options.balancers == 0 {
        return Err(SettingsError::NoReplicas);
    }
    let names = setting_names(options);
    let settings = Settings {
        replicas: options.balancers,
        zone: names.zone_id(&options.locality)?,
        classes: request_classes(&options.lanes, &options.family_info)?,
        kinds,
        tenants: options.accounts.iter().map(tenant).collect(),
        rules: rules(&options.invariants, &options.family_info),
        capabilities: capabilities(&options.limits, &options.family_info),
        watch_endpoint_list: matches!(options.membership_mode, MembershipMode::Ask),
    };
    Ok((settings, names))
}

fn setting_names(options: &Options) -> SettingNames {
    SettingNames {
        zones: options.failure_domains.clone(),
        kinds: options.kinds.clone(),
        classes: options.lanes.iter().map(|lane| lane.name.clone()).collect(),
        tenants: options.accounts.iter().map(|account| account.name.clone()).collect(),
    }
}

fn tenant(account: &Account) -> Tenant {
    Tenant { quota_per_s: account.quota_per_s }
}

/// The kinds of endpoint; some kind must prefill and some kind must decode.
fn endpoint_kinds(names: &[String], family: &FamilyInfo) -> Result<Vec<EndpointKind>, SettingsError> {
    let kinds = names
        .iter()
        .enumerate()
        .map(|(index, name)| endpoint_kind(name, index, family))
        .collect::<Result<Vec<_>, _>>()?;
    if kinds.iter().all(|kind| kind.role == Role::Decode) {
        return Err(SettingsError::NoPrefillKind);
    }
    if kinds.iter().all(|kind| kind.role == Role::Prefill) {
        return Err(SettingsError::NoDecodeKind);
    }
    Ok(kinds)
}

fn endpoint_kind(name: &str, index: usize, family: &FamilyInfo) -> Result<EndpointKind, SettingsError> {
    let role =
        family.role_by_kind.get(index).ok_or_else(|| SettingsError::MissingRole { kind: name.to_owned() })?;
    let memory_tokens = family.memory_tokens.as_ref().and_then(|tokens| tokens.get(index).copied());
    Ok(EndpointKind { role: (*role).into(), memory_tokens })
}

fn request_classes(lanes: &[Lane], family: &FamilyInfo) -> Result<Vec<RequestClass>, SettingsError> {
    lanes.iter().enumerate().map(|(index, lane)| request_class(lane, index, family)).collect()
}

fn request_class(lane: &Lane, index: usize, family: &FamilyInfo) -> Result<RequestClass, SettingsError> {
    let class_entry = |list: &[f64], key: &'static str| {
        list.get(index)
            .copied()
            .ok_or_else(|| SettingsError::MissingClassEntry { key, class: lane.name.clone() })
    };
    let idempotency = idempotency(lane)?;
    // This one is in microseconds already.
    let objective_per_1000_prompt_tokens =
        class_entry(&family.aim_us_per1000_prompt_tokens, "aimUsPer1000PromptTokens")?;
    let inter_token_objective = class_entry(&family.token_aim, "tokenAim")?;
    Ok(RequestClass {
        first_token_objective: micros_from_millis(lane.objective),
        objective_per_1000_prompt_tokens: objective_per_1000_prompt_tokens as Micros,
        deadline: micros_from_millis(lane.deadline),
        inter_token_objective: micros_from_millis(inter_token_objective),
        priority_weight: lane.worth,
        late_weight: lane.late_worth,
        idempotency,
    })
}

/// What a second execution of the class's requests does. A keyed class must have both a scope and a window.
fn idempotency(lane: &Lane) -> Result<Idempotency, SettingsError> {
    match lane.semantics {
        Semantics::ReadLike => Ok(Idempotency::Idempotent),
        Semantics::NonIdempotent => Ok(Idempotency::NonIdempotent),
        Semantics::IdempotencyKey => {
            let class = &lane.name;
            let scope = lane.group.ok_or_else(|| SettingsError::MissingScope { class: class.clone() })?;
            let window = lane.window.ok_or_else(|| SettingsError::MissingWindow { class: class.clone() })?;
            Ok(Idempotency::Keyed { scope: scope.into(), window: micros_from_millis(window) })
        }
    }
}

fn rules(invariants: &Invariants, family: &FamilyInfo) -> Rules {
    Rules {
        answer_slack: micros_from_millis(invariants.answer_slack),
        drain_grace: micros_from_millis(invariants.drain_grace),
        overload_multiple: invariants.fall_multiple,
        overload_window: micros_from_millis(invariants.overload_for),
        slow_start_duration: micros_from_millis(invariants.ramp_time),
        initial_capacity: invariants.start_capacity,
        reservation_limit: micros_from_millis(family.pin_limit),
    }
}

fn capabilities(limits: &WireLimits, family: &FamilyInfo) -> Capabilities {
    let max_retry_after = if limits.retry_after { limits.max_retry_after } else { None };
    Capabilities {
        cancellation: limits.cancelling,
        hedging: limits.may_duplicate,
        health_checks: limits.may_probe,
        max_attempts: limits.max_attempts,
        max_retry_after: max_retry_after.map(micros_from_millis),
        reserve_ahead: family.ahead,
        resume: family.resume,
        local_prefill: family.local_read,
    }
}
