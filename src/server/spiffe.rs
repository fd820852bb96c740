//! SPIFFE identities: mutual TLS in which a client is identified by the URI in its certificate.

use std::cell::RefCell;
use std::error::Error;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

use crate::config::TlsSettings;

/// Time for a client to complete the TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a SPIFFE ID in bytes, as specified by the SPIFFE standard.
const MAX_ID_LENGTH: usize = 2_048;
/// Maximum length of the trust domain in bytes, as specified by the SPIFFE standard.
const MAX_TRUST_DOMAIN_LENGTH: usize = 255;

/// Errors from setting up or verifying identities.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// A file cannot be read or is invalid.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        source: Box<dyn Error + Send + Sync>,
    },
    /// An entry of `allowed_ids` is not a SPIFFE ID.
    #[error("allowed_ids: \"{0}\" is not a SPIFFE ID")]
    InvalidAllowedId(String),
    /// The TLS handshake failed.
    #[error(transparent)]
    Handshake(#[from] io::Error),
    /// The TLS handshake timed out.
    #[error("TLS handshake did not complete within {} s", HANDSHAKE_TIMEOUT.as_secs())]
    HandshakeTimeout,
    /// The client certificate does not contain exactly one valid SPIFFE ID.
    #[error("client certificate must contain exactly one SPIFFE ID as a URI")]
    NoSpiffeId,
}

impl IdentityError {
    fn file(path: &Path, source: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        IdentityError::File { path: path.to_owned(), source: source.into() }
    }
}

/// Identity of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientIdentity {
    /// The API does not verify identities.
    Unverified,
    /// The client has proved an identity that is allowed.
    Allowed(Rc<str>),
    /// The client has proved an identity that is not allowed.
    Denied(Rc<str>),
}

/// Returns whether `text` is a SPIFFE ID with a trust domain and an optional path, as the SPIFFE standard
/// defines them.
pub fn is_spiffe_id(text: &str) -> bool {
    if text.len() > MAX_ID_LENGTH {
        return false;
    }
    let Some(domain_and_path) = text.strip_prefix("spiffe://") else { return false };
    match domain_and_path.split_once('/') {
        None => is_trust_domain(domain_and_path),
        Some((domain, path)) => is_trust_domain(domain) && path.split('/').all(is_path_segment),
    }
}

fn is_trust_domain(text: &str) -> bool {
    let is_allowed =
        |character: char| matches!(character, 'a'..='z' | '0'..='9') || "-._".contains(character);
    (1..=MAX_TRUST_DOMAIN_LENGTH).contains(&text.len()) && text.chars().all(is_allowed)
}

fn is_path_segment(text: &str) -> bool {
    let is_allowed = |character: char| character.is_ascii_alphanumeric() || "-._".contains(character);
    !matches!(text, "" | "." | "..") && text.chars().all(is_allowed)
}

/// Returns the SPIFFE ID in a certificate.
///
/// # Errors
///
/// Returns an error if the certificate cannot be parsed or does not contain exactly one URI that is a SPIFFE
/// ID.
pub fn spiffe_id(certificate: &[u8]) -> Result<String, IdentityError> {
    let (_, certificate) = X509Certificate::from_der(certificate).map_err(|_| IdentityError::NoSpiffeId)?;
    let extension = certificate.subject_alternative_name().map_err(|_| IdentityError::NoSpiffeId)?;
    let mut uris = Vec::new();
    for name in extension.iter().flat_map(|names| &names.value.general_names) {
        if let GeneralName::URI(uri) = name {
            uris.push(*uri);
        }
    }
    match uris[..] {
        [id] if is_spiffe_id(id) => Ok(id.to_owned()),
        _ => Err(IdentityError::NoSpiffeId),
    }
}

/// Modification time and length of a file, used to detect that it was replaced.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    length: u64,
}

impl FileVersion {
    /// Reads the current version of a file; `None` if the operating system does not report it.
    fn of(path: &Path) -> Option<Self> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileVersion { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

impl TlsSettings {
    /// Returns the current versions of the files.
    fn file_versions(&self) -> [Option<FileVersion>; 3] {
        [&self.certificate, &self.key, &self.trust_bundle].map(|path| FileVersion::of(path))
    }

    /// Loads the files into a TLS acceptor.
    fn read_acceptor(&self) -> Result<TlsAcceptor, IdentityError> {
        let mut roots = RootCertStore::empty();
        for root in read_certificates(&self.trust_bundle)? {
            roots.add(root).map_err(|error| IdentityError::file(&self.trust_bundle, error))?;
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
            .build()
            .map_err(|error| IdentityError::file(&self.trust_bundle, error))?;
        let key =
            PrivateKeyDer::from_pem_file(&self.key).map_err(|error| IdentityError::file(&self.key, error))?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|error| IdentityError::file(&self.certificate, error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(read_certificates(&self.certificate)?, key)
            .map_err(|error| IdentityError::file(&self.certificate, error))?;
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(TlsAcceptor::from(Arc::new(config)))
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| IdentityError::file(path, error))
}

/// Verifies client identities during the TLS handshake. Clones share the loaded files.
#[derive(Clone)]
pub struct IdentityVerifier {
    settings: Rc<TlsSettings>,
    loaded: Rc<RefCell<LoadedFiles>>,
}

/// The most recently loaded files.
struct LoadedFiles {
    versions: [Option<FileVersion>; 3],
    acceptor: TlsAcceptor,
}

/// A client whose identity was verified.
pub struct VerifiedClient {
    /// The connection.
    pub stream: TlsStream<TcpStream>,
    /// The identity.
    pub identity: ClientIdentity,
}

impl IdentityVerifier {
    /// Loads the certificate, key and trust bundle. Relative paths are resolved against `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if an allowed identity is not a SPIFFE ID, or if a file cannot be read or is invalid.
    pub fn read(mut settings: TlsSettings, base: &Path) -> Result<Self, IdentityError> {
        for path in [&mut settings.certificate, &mut settings.key, &mut settings.trust_bundle] {
            *path = base.join(&*path);
        }
        if let Some(invalid) = settings.allowed_ids.iter().find(|id| !is_spiffe_id(id)) {
            return Err(IdentityError::InvalidAllowedId(invalid.clone()));
        }
        let versions = settings.file_versions();
        let acceptor = settings.read_acceptor()?;
        Ok(IdentityVerifier {
            settings: Rc::new(settings),
            loaded: Rc::new(RefCell::new(LoadedFiles { versions, acceptor })),
        })
    }

    /// Returns the acceptor for the next client. Certificates are short-lived, and their files are replaced
    /// while the program runs. If the files cannot be loaded, for example because they are partially written,
    /// the previous ones stay in use and loading is retried for the next client.
    fn current_acceptor(&self) -> TlsAcceptor {
        let versions = self.settings.file_versions();
        let mut loaded = self.loaded.borrow_mut();
        if versions == loaded.versions {
            return loaded.acceptor.clone();
        }
        match self.settings.read_acceptor() {
            Ok(acceptor) => {
                tracing::info!("identity files reloaded");
                *loaded = LoadedFiles { versions, acceptor };
            }
            Err(error) => {
                tracing::warn!(%error, "identity file reload failed; keeping the previous files");
            }
        }
        loaded.acceptor.clone()
    }

    /// Performs the TLS handshake with a client and verifies its identity.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails or times out, or if the client certificate does not contain
    /// exactly one SPIFFE ID.
    pub async fn verify(&self, socket: TcpStream) -> Result<VerifiedClient, IdentityError> {
        let handshake = self.current_acceptor().accept(socket);
        let accepted = timeout(HANDSHAKE_TIMEOUT, handshake).await;
        let stream = accepted.map_err(|_| IdentityError::HandshakeTimeout)??;
        let (_, session) = stream.get_ref();
        let chain = session.peer_certificates().unwrap_or_default();
        let id = spiffe_id(chain.first().ok_or(IdentityError::NoSpiffeId)?)?;
        let identity = self.authorize(id);
        Ok(VerifiedClient { stream, identity })
    }

    /// Checks a verified identity against the allowed ones.
    fn authorize(&self, id: String) -> ClientIdentity {
        if self.settings.allowed_ids.contains(&id) {
            return ClientIdentity::Allowed(id.into());
        }
        tracing::warn!(identity = %id, "client identity is not allowed");
        ClientIdentity::Denied(id.into())
    }
}
