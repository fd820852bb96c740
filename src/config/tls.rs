//! The identity files of an API whose clients must prove who they are.

use std::collections::BTreeSet;
use std::path::PathBuf;

use serde::Deserialize;

/// The files for mutual TLS, and who may connect. Relative paths start at the folder of the configuration
/// file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// This process's certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The certificate's private key, in PEM.
    pub key: PathBuf,
    /// The certificate authorities that clients' certificates must come from, in PEM.
    pub trust_bundle: PathBuf,
    /// The SPIFFE IDs whose requests are served.
    pub allowed_ids: BTreeSet<String>,
}
