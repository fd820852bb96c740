//! What can be wrong with the simulator's input or with a settings object.

use serde_json::Value;

/// A name that the settings do not list.
#[derive(Debug, thiserror::Error)]
#[error("unknown {category} \"{name}\"")]
pub struct UnknownName {
    /// What it should name: a zone, kind, class or tenant.
    pub category: &'static str,
    /// The name as it was given.
    pub name: String,
}

/// Why a settings object cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It lacks a key, or a value has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The replica's zone is not among the zones.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// A list that has one entry for each class is too short.
    #[error("familyInfo.{key} has no entry for class \"{class}\"")]
    MissingClassEntry {
        /// The list's key.
        key: &'static str,
        /// The first class without an entry.
        class: String,
    },
    /// The list of roles is too short.
    #[error("familyInfo.roleByKind has no entry for kind \"{kind}\"")]
    MissingRole {
        /// The first kind without a role.
        kind: String,
    },
    /// No kind of endpoint can prefill.
    #[error("familyInfo.roleByKind: no kind reads prompts")]
    NoPrefillKind,
    /// No kind of endpoint can decode.
    #[error("familyInfo.roleByKind: no kind writes answers")]
    NoDecodeKind,
    /// The fleet has no replicas.
    #[error("balancers: must be at least 1")]
    NoReplicas,
    /// A keyed class does not say which endpoints share its keys.
    #[error("class \"{class}\" is keyed but has no group")]
    MissingScope {
        /// The class.
        class: String,
    },
    /// A keyed class does not say how long its keys are known.
    #[error("class \"{class}\" is keyed but has no window")]
    MissingWindow {
        /// The class.
        class: String,
    },
}

/// Why one event of a batch cannot be translated.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// It is for a replica that has not been launched.
    #[error("not launched")]
    NotLaunched,
    /// It launches a replica with settings that cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// It names something that the replica's settings do not list.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// A key of a cache is neither a text nor absent.
    #[error("{key}: expected a text, found {found}")]
    NotText {
        /// The key on the wire.
        key: &'static str,
        /// Its value.
        found: Value,
    },
    /// The tenant is neither a name nor absent.
    #[error("clientGroup: expected a name, found {found}")]
    NotTenantName {
        /// The value in its place.
        found: Value,
    },
    /// The result of a reservation is neither success nor failure.
    #[error("holdResult: unknown kind {result}")]
    UnknownReservationResult {
        /// The result's number on the wire.
        result: i64,
    },
}

/// Why a batch could not be played.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is not a batch, or the reply could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// One of its events is at fault.
    #[error("dispatcher {replica}: event {index}: {source}")]
    Event {
        /// The replica that the event is for.
        replica: u64,
        /// The event's place among those of this replica in this batch, from 0.
        index: usize,
        /// What is wrong with it.
        source: EventError,
    },
}
