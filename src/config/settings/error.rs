//! Validation errors of the settings object.

/// A reference to a name that the settings do not define.
#[derive(Debug, thiserror::Error)]
#[error("unknown {category} \"{name}\"")]
pub struct UnknownName {
    /// What the name refers to: a zone, kind, class or tenant.
    pub category: &'static str,
    /// The undefined name.
    pub name: String,
}

/// A validation error in the settings object.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A key is missing, or a value has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The replica's zone is not defined.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// A list with one entry per class is too short.
    #[error("familyInfo.{key} has no entry for class \"{class}\"")]
    MissingClassEntry {
        /// JSON key of the list.
        key: &'static str,
        /// Name of the first class without an entry.
        class: String,
    },
    /// The list of roles, which has one entry per kind, is too short.
    #[error("familyInfo.roleByKind has no entry for kind \"{kind}\"")]
    MissingRole {
        /// Name of the first kind without a role.
        kind: String,
    },
    /// No kind of endpoint supports prefill.
    #[error("familyInfo.roleByKind: no kind reads prompts")]
    NoPrefillKind,
    /// No kind of endpoint supports decode.
    #[error("familyInfo.roleByKind: no kind writes answers")]
    NoDecodeKind,
    /// The number of replicas is zero.
    #[error("balancers: must be at least 1")]
    NoReplicas,
    /// A class with idempotency keys does not define which endpoints share them.
    #[error("class \"{class}\" is keyed but has no group")]
    MissingScope {
        /// Name of the class.
        class: String,
    },
    /// A class with idempotency keys does not define how long they are remembered.
    #[error("class \"{class}\" is keyed but has no window")]
    MissingWindow {
        /// Name of the class.
        class: String,
    },
}
