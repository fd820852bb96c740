//! TLS settings of an API whose clients must authenticate.

use std::collections::BTreeSet;
use std::path::PathBuf;

use serde::Deserialize;

/// Files for mutual TLS and the clients that may connect. Relative paths are resolved against the directory
/// of the configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Path of this process's certificate chain (PEM).
    pub certificate: PathBuf,
    /// Path of the certificate's private key (PEM).
    pub key: PathBuf,
    /// Path of the certificate authorities that client certificates must chain to (PEM).
    pub trust_bundle: PathBuf,
    /// SPIFFE IDs of the clients whose requests are accepted.
    pub allowed_ids: BTreeSet<String>,
}
