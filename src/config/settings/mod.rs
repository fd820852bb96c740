//! Converts the settings object, which appears both in a replica's configuration and in the simulator's first
//! message, to scheduler settings and the names that later messages refer to.

mod error;
pub(crate) mod object;

pub use error::{SettingsError, UnknownName};

use serde_json::Value;

use crate::clock::micros_from_millis;
use crate::scheduler::{
    Capabilities, ClassId, EndpointKind, Idempotency, KindId, Micros, RequestClass, Role, Rules, Settings,
    Tenant, TenantId, ZoneId,
};
use object::{Account, FamilyInfo, Invariants, Lane, MembershipMode, Options, WireIdempotency, WireLimits};

/// The names defined by a settings object. Each list is indexed by the corresponding scheduler ID.
#[derive(Clone, Debug, Default)]
pub struct SettingNames {
    /// Zone names, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// Names of the endpoint kinds, indexed by [`KindId`].
    pub kinds: Vec<String>,
    /// Names of the request classes, indexed by [`ClassId`].
    pub classes: Vec<String>,
    /// Tenant names, indexed by [`TenantId`].
    pub tenants: Vec<String>,
}

impl SettingNames {
    pub(crate) fn zone_id(&self, name: &str) -> Result<ZoneId, UnknownName> {
        index_of(&self.zones, "zone", name).map(ZoneId)
    }

    pub(crate) fn kind_id(&self, name: &str) -> Result<KindId, UnknownName> {
        index_of(&self.kinds, "kind", name).map(KindId)
    }

    pub(crate) fn class_id(&self, name: &str) -> Result<ClassId, UnknownName> {
        index_of(&self.classes, "class", name).map(ClassId)
    }

    pub(crate) fn tenant_id(&self, name: &str) -> Result<TenantId, UnknownName> {
        index_of(&self.tenants, "tenant", name).map(TenantId)
    }
}

fn index_of(names: &[String], category: &'static str, name: &str) -> Result<usize, UnknownName> {
    names
        .iter()
        .position(|known| known == name)
        .ok_or_else(|| UnknownName { category, name: name.to_owned() })
}

/// Scheduler settings with the names of their indices.
#[derive(Clone, Debug)]
pub struct NamedSettings {
    /// The scheduler settings.
    pub settings: Settings,
    /// The names that the indices stand for.
    pub names: SettingNames,
}

/// Parses and validates a settings object.
///
/// # Errors
///
/// Returns an error if a key is missing, a value has the wrong type, or values contradict each other.
pub fn parse_settings(options: Value) -> Result<NamedSettings, SettingsError> {
    let options: Options = serde_json::from_value(options)?;
    settings_from_options(&options)
}

/// Validates and converts a settings object that is already deserialized. See [`parse_settings`].
pub(crate) fn settings_from_options(options: &Options) -> Result<NamedSettings, SettingsError> {
    let kinds = endpoint_kinds(&options.kinds, &options.family)?;
    if options.replicas == 0 {
        return Err(SettingsError::NoReplicas);
    }
    let names = setting_names(options);
    let settings = Settings {
        replicas: options.replicas,
        zone: names.zone_id(&options.zone)?,
        classes: request_classes(&options.classes, &options.family)?,
        kinds,
        tenants: options.tenants.iter().map(tenant).collect(),
        rules: rules(&options.rules, &options.family),
        capabilities: capabilities(&options.capabilities, &options.family),
        watch_endpoint_list: matches!(options.membership_mode, MembershipMode::Watch),
    };
    Ok(NamedSettings { settings, names })
}

fn setting_names(options: &Options) -> SettingNames {
    SettingNames {
        zones: options.zones.clone(),
        kinds: options.kinds.clone(),
        classes: options.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: options.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
    }
}

fn tenant(account: &Account) -> Tenant {
    Tenant { quota_per_s: account.quota_per_s }
}

/// Builds the endpoint kinds. At least one must support prefill and at least one must support decode.
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
    let role = family.roles.get(index).ok_or_else(|| SettingsError::MissingRole { kind: name.to_owned() })?;
    let memory_tokens = family.memory_tokens.as_ref().and_then(|tokens| tokens.get(index).copied());
    Ok(EndpointKind { role: (*role).into(), memory_tokens })
}

fn request_classes(classes: &[Lane], family: &FamilyInfo) -> Result<Vec<RequestClass>, SettingsError> {
    classes.iter().enumerate().map(|(index, class)| request_class(class, index, family)).collect()
}

fn request_class(class: &Lane, index: usize, family: &FamilyInfo) -> Result<RequestClass, SettingsError> {
    let class_entry = |entries: &[f64], key: &'static str| {
        entries
            .get(index)
            .copied()
            .ok_or_else(|| SettingsError::MissingClassEntry { key, class: class.name.clone() })
    };
    let idempotency = idempotency(class)?;
    let objective_per_1000_prompt_tokens_us =
        class_entry(&family.objectives_per_1000_prompt_tokens_us, "aimUsPer1000PromptTokens")?;
    let inter_token_objective_ms = class_entry(&family.inter_token_objectives_ms, "tokenAim")?;
    Ok(RequestClass {
        first_token_objective: micros_from_millis(class.first_token_objective_ms),
        objective_per_1000_prompt_tokens: objective_per_1000_prompt_tokens_us as Micros,
        deadline: micros_from_millis(class.deadline_ms),
        inter_token_objective: micros_from_millis(inter_token_objective_ms),
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        idempotency,
    })
}

/// Builds the idempotency of a class. A class with idempotency keys must define both a scope and a window.
fn idempotency(class: &Lane) -> Result<Idempotency, SettingsError> {
    match class.idempotency {
        WireIdempotency::Idempotent => Ok(Idempotency::Idempotent),
        WireIdempotency::NonIdempotent => Ok(Idempotency::NonIdempotent),
        WireIdempotency::Keyed => {
            let name = &class.name;
            let scope = class.scope.ok_or_else(|| SettingsError::MissingScope { class: name.clone() })?;
            let window_ms =
                class.window_ms.ok_or_else(|| SettingsError::MissingWindow { class: name.clone() })?;
            Ok(Idempotency::Keyed { scope: scope.into(), window: micros_from_millis(window_ms) })
        }
    }
}

fn rules(rules: &Invariants, family: &FamilyInfo) -> Rules {
    Rules {
        answer_slack: micros_from_millis(rules.answer_slack_ms),
        drain_grace: micros_from_millis(rules.drain_grace_ms),
        overload_multiple: rules.overload_multiple,
        overload_window: micros_from_millis(rules.overload_window_ms),
        slow_start_duration: micros_from_millis(rules.slow_start_duration_ms),
        initial_capacity: rules.initial_capacity,
        reservation_limit: micros_from_millis(family.reservation_limit_ms),
    }
}

fn capabilities(limits: &WireLimits, family: &FamilyInfo) -> Capabilities {
    let max_retry_after_ms = if limits.retry_after { limits.max_retry_after_ms } else { None };
    Capabilities {
        cancellation: limits.cancellation,
        hedging: limits.hedging,
        health_checks: limits.health_checks,
        max_attempts: limits.max_attempts,
        max_retry_after: max_retry_after_ms.map(micros_from_millis),
        reserve_ahead: family.reserve_ahead,
        resume: family.resume,
        local_prefill: family.local_prefill,
    }
}
