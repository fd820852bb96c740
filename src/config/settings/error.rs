//! What can be wrong with a settings object.

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
