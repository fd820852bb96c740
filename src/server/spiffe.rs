//! SPIFFE identities: mutual TLS whose client is known by the URI in its certificate.

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

/// Time for a client to finish the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest SPIFFE ID, in bytes, by the standard.
const MAX_ID_LENGTH: usize = 2_048;
/// Longest trust domain of a SPIFFE ID, in bytes, by the standard.
const MAX_TRUST_DOMAIN_LENGTH: usize = 255;

/// Why identities cannot be set up, or a client has proved none.
#[derive(Debug, thiserror::Error)]
pub enum IdentityError {
    /// A file cannot be read or used.
    #[error("{}: {source}", path.display())]
    File {
        /// Which file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<dyn Error + Send + Sync>,
    },
    /// An allowed identity is not a SPIFFE ID.
    #[error("allowed_ids: \"{0}\" is not a SPIFFE ID")]
    Id(String),
    /// The handshake failed.
    #[error(transparent)]
    Handshake(#[from] io::Error),
    /// The handshake took too long.
    #[error("the handshake took over {} s", HANDSHAKE_TIMEOUT.as_secs())]
    Slow,
    /// The certificate names no single SPIFFE ID.
    #[error("its certificate must name exactly one SPIFFE ID as URI")]
    NoId,
}

impl IdentityError {
    fn file(path: &Path, source: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        IdentityError::File { path: path.to_owned(), source: source.into() }
    }
}

/// Who a client is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientIdentity {
    /// It was not verified, as the API verifies no identities.
    Unverified,
    /// It has proved this identity, which is allowed.
    Allowed(Rc<str>),
    /// It has proved this identity, which is not allowed.
    Denied(Rc<str>),
}

/// Whether a text is a SPIFFE ID: a trust domain and a path, without the parts that the standard forbids.
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

/// The one SPIFFE ID that a certificate names.
///
/// # Errors
///
/// The certificate cannot be parsed, or names none or several URIs, or one that is not a SPIFFE ID.
pub fn spiffe_id(certificate: &[u8]) -> Result<String, IdentityError> {
    let (_, certificate) = X509Certificate::from_der(certificate).map_err(|_| IdentityError::NoId)?;
    let extension = certificate.subject_alternative_name().map_err(|_| IdentityError::NoId)?;
    let mut uris = Vec::new();
    for name in extension.iter().flat_map(|names| &names.value.general_names) {
        if let GeneralName::URI(uri) = name {
            uris.push(*uri);
        }
    }
    match uris[..] {
        [id] if is_spiffe_id(id) => Ok(id.to_owned()),
        _ => Err(IdentityError::NoId),
    }
}

/// When a file last changed, and its length, by which a replaced file is noticed.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    length: u64,
}

impl FileVersion {
    /// Of the file as it is; none where the operating system does not say.
    fn of(path: &Path) -> Option<Self> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileVersion { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

impl TlsSettings {
    /// The versions of the files as they are.
    fn file_versions(&self) -> [Option<FileVersion>; 3] {
        [&self.certificate, &self.key, &self.trust_bundle].map(|path| FileVersion::of(path))
    }

    /// Reads the files.
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

/// Verifies clients' identities in the TLS handshake. Clones share the files that were read.
#[derive(Clone)]
pub struct IdentityVerifier {
    settings: Rc<TlsSettings>,
    loaded: Rc<RefCell<LoadedFiles>>,
}

/// The files as they were last read.
struct LoadedFiles {
    versions: [Option<FileVersion>; 3],
    acceptor: TlsAcceptor,
}

/// A client whose identity was verified.
pub struct VerifiedClient {
    /// Its connection.
    pub stream: TlsStream<TcpStream>,
    /// Its identity.
    pub identity: ClientIdentity,
}

impl IdentityVerifier {
    /// Reads certificate, key and trust bundle; relative paths start at `base`.
    ///
    /// # Errors
    ///
    /// An allowed identity is not a SPIFFE ID, or a file cannot be read or used.
    pub fn read(mut settings: TlsSettings, base: &Path) -> Result<Self, IdentityError> {
        for path in [&mut settings.certificate, &mut settings.key, &mut settings.trust_bundle] {
            *path = base.join(&*path);
        }
        if let Some(malformed) = settings.allowed_ids.iter().find(|id| !is_spiffe_id(id)) {
            return Err(IdentityError::Id(malformed.clone()));
        }
        let versions = settings.file_versions();
        let acceptor = settings.read_acceptor()?;
        Ok(IdentityVerifier {
            settings: Rc::new(settings),
            loaded: Rc::new(RefCell::new(LoadedFiles { versions, acceptor })),
        })
    }

    /// The acceptor for the next client. Certificates are short-lived and their files are replaced while the
    /// program runs; files that cannot be read, perhaps as they are half written, leave the last ones in use
    /// until the next client.
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
                tracing::warn!(%error, "identity files cannot be reloaded, the previous ones stay in use");
            }
        }
        loaded.acceptor.clone()
    }

    /// Takes a client through the handshake and verifies its identity.
    ///
    /// # Errors
    ///
    /// The handshake fails or takes too long, or the client's certificate names no single SPIFFE ID.
    pub async fn verify(&self, socket: TcpStream) -> Result<VerifiedClient, IdentityError> {
        let handshake = self.current_acceptor().accept(socket);
        let accepted = timeout(HANDSHAKE_TIMEOUT, handshake).await;
        let stream = accepted.map_err(|_| IdentityError::Slow)??;
        let (_, session) = stream.get_ref();
        let chain = session.peer_certificates().unwrap_or_default();
        let id = spiffe_id(chain.first().ok_or(IdentityError::NoId)?)?;
        let identity = self.authorize(id);
        Ok(VerifiedClient { stream, identity })
    }

    /// Whether a proved identity is allowed.
    fn authorize(&self, id: String) -> ClientIdentity {
        if self.settings.allowed_ids.contains(&id) {
            return ClientIdentity::Allowed(id.into());
        }
        tracing::warn!(identity = %id, "identity is not allowed");
        ClientIdentity::Denied(id.into())
    }
}
