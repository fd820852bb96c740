//! Verification of SPIFFE client identities at the chat API, with generated certificates.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;

use common::config_files::{chat_config, loopback_address, path_argument, write_test_file};
use common::router_process::{ExpectedExit, RouterProcess};
use common::stub_listener::StubListener;
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, SanType};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};

/// A certificate authority.
struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: CertificateDer<'static>,
    pem: String,
}

fn create_authority() -> Authority {
    let key = KeyPair::generate().expect("failed to generate a key");
    let mut params = CertificateParams::new(Vec::new()).expect("failed to create certificate parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let signed = params.self_signed(&key).expect("failed to sign the CA certificate");
    let certificate = signed.der().clone();
    let pem = signed.pem();
    Authority { issuer: Issuer::new(params, key), certificate, pem }
}

/// A certificate and its private key.
struct Identity {
    pem: String,
    certificate: CertificateDer<'static>,
    key: KeyPair,
}

/// Creates an identity whose certificate contains these URIs.
fn create_identity(authority: &Authority, uris: &[&str]) -> Identity {
    let key = KeyPair::generate().expect("failed to generate a key");
    let mut params =
        CertificateParams::new(vec!["chat".into()]).expect("failed to create certificate parameters");
    params
        .subject_alt_names
        .extend(uris.iter().map(|uri| SanType::URI((*uri).try_into().expect("valid URI"))));
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
    let signed = params.signed_by(&key, &authority.issuer).expect("failed to sign the certificate");
    Identity { pem: signed.pem(), certificate: signed.der().clone(), key }
}

/// A client's TLS session and its socket.
type TlsClient = StreamOwned<ClientConnection, TcpStream>;

/// Connects with this identity. The handshake takes place with the first bytes.
fn connect(address: &str, trusted: &Authority, identity: Option<Identity>) -> std::io::Result<TlsClient> {
    let mut roots = RootCertStore::empty();
    roots.add(trusted.certificate.clone()).expect("failed to add the root certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let config = config.expect("supported TLS versions").with_root_certificates(roots);
    let config = match identity {
        Some(identity) => {
            let key = PrivateKeyDer::try_from(identity.key.serialize_der()).expect("failed to parse the key");
            config
                .with_client_auth_cert(vec![identity.certificate], key)
                .expect("failed to use the client certificate")
        }
        None => config.with_no_client_auth(),
    };
    let session =
        ClientConnection::new(Arc::new(config), ServerName::try_from("chat").expect("valid server name"))
            .map_err(std::io::Error::other)?;
    Ok(StreamOwned::new(session, TcpStream::connect(address)?))
}

/// Sends `GET /v1/models` with this identity and returns the response, or the error if there is none.
fn get_models(address: &str, trusted: &Authority, identity: Option<Identity>) -> std::io::Result<String> {
    let mut stream = connect(address, trusted, identity)?;
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nHost: chat\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// The only allowed identity.
const ALLOWED_ID: &str = "spiffe://hanbit.example/partner/club";

/// Starts a router that serves the chat API, with the endpoint `s1`, to clients of this authority with
/// [`ALLOWED_ID`].
fn start_chat_router(base: &str, trusted: &Authority) -> RouterProcess {
    let router_identity = create_identity(trusted, &["spiffe://hanbit.example/croftsill"]);
    write_test_file(base, "svid.pem", &router_identity.pem);
    write_test_file(base, "svid-key.pem", &router_identity.key.serialize_pem());
    write_test_file(base, "bundle.pem", &trusted.pem);
    let tls = format!(
        "[tls]\ncertificate = \"svid.pem\"\nkey = \"svid-key.pem\"\ntrust_bundle = \"bundle.pem\"\nallowed_ids = [\"{ALLOWED_ID}\"]\n"
    );
    let config = chat_config(base, &["s1"], &tls);
    let variables: [(&str, &Path); 1] = [("RUST_LOG", "debug".as_ref())];
    let mut router = RouterProcess::start(base, &["--chat", path_argument(&config)], &variables);
    router.wait_for_log("listening api=\"chat\"");
    router
}

// Guards against a disconnect over TLS that is not noticed because nothing reads behind a chunked body.
#[test]
fn a_verified_client_that_disconnects_behind_a_chunked_request_is_detected() {
    let authority = create_authority();
    let base = loopback_address();
    let endpoint_stub = StubListener::endpoint(&base, "s1");
    let mut router = start_chat_router(&base, &authority);
    let identity = create_identity(&authority, &[ALLOWED_ID]);
    let mut client = connect(&format!("{base}:8090"), &authority, Some(identity))
        .expect("failed to connect to the router");
    let body = r#"{"model":"climb-assist","stream":true,"messages":[{"role":"user","content":"hello"}]}"#;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: chat\r\nContent-Type: application/json\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    client.write_all((chunked.clone() + &chunked).as_bytes()).expect("failed to send the requests");
    let mut attempt = endpoint_stub.accept();
    attempt.read_message();
    drop(client);
    router.wait_for_log("client disconnected");
    assert_eq!(attempt.read_to_end_or_reset(), "");
    router.terminate();
}

#[test]
fn only_allowed_identities_are_served() {
    let (trusted_authority, other_authority) = (create_authority(), create_authority());
    let base = loopback_address();
    let router = start_chat_router(&base, &trusted_authority);
    let chat_address = format!("{base}:8090");
    let get_models_as = |authority: &Authority, uris: &[&str]| {
        get_models(&chat_address, &trusted_authority, Some(create_identity(authority, uris)))
    };
    let served =
        get_models_as(&trusted_authority, &[ALLOWED_ID]).expect("no response for an allowed identity");
    assert!(served.starts_with("HTTP/1.1 200 OK") && served.contains("climb-assist"), "{served}");
    let denied = get_models_as(&trusted_authority, &["spiffe://hanbit.example/partner/other"])
        .expect("no response for a denied identity");
    assert!(denied.starts_with("HTTP/1.1 403") && denied.contains("identity_not_allowed"), "{denied}");
    // Not answered: no URI, two URIs, a URI that is not a SPIFFE ID, an untrusted authority, no certificate.
    assert!(get_models_as(&trusted_authority, &[]).is_err());
    assert!(get_models_as(&trusted_authority, &[ALLOWED_ID, "spiffe://hanbit.example/partner/two"]).is_err());
    assert!(get_models_as(&trusted_authority, &["https://hanbit.example/partner/club"]).is_err());
    assert!(get_models_as(&other_authority, &[ALLOWED_ID]).is_err());
    assert!(get_models(&chat_address, &trusted_authority, None).is_err());
    // A trust bundle that is replaced at run time applies to the next client; an invalid one is ignored.
    write_test_file(&base, "bundle.pem", "no bundle");
    assert!(get_models_as(&trusted_authority, &[ALLOWED_ID]).is_ok());
    write_test_file(&base, "bundle.pem", &format!("{}{}", trusted_authority.pem, other_authority.pem));
    assert!(
        get_models_as(&other_authority, &[ALLOWED_ID]).is_ok_and(|text| text.starts_with("HTTP/1.1 200 OK"))
    );
    // Without TLS there is no HTTP response either.
    let mut plain = TcpStream::connect(&chat_address).expect("failed to connect to the router");
    plain.write_all(b"GET /v1/models HTTP/1.1\r\nHost: chat\r\n\r\n").expect("failed to send the request");
    let mut text = Vec::new();
    let _ = plain.read_to_end(&mut text);
    assert!(!text.starts_with(b"HTTP"), "{}", String::from_utf8_lossy(&text));
    router.terminate();
}

#[test]
fn a_malformed_operator_file_is_reported_in_one_plain_line() {
    let base = loopback_address();
    let assert_fails_with = |arguments: &[&str], part: &str| {
        let mut router = RouterProcess::start(&base, arguments, &[]);
        let log = router.wait_for_exit(ExpectedExit::Failure);
        assert!(log.lines().count() == 1 && log.contains(part), "{log}");
    };
    let bad_id =
        "[tls]\ncertificate = \"a\"\nkey = \"b\"\ntrust_bundle = \"c\"\nallowed_ids = [\"spiffe://Bad/\"]\n";
    assert_fails_with(&["--chat", path_argument(&chat_config(&base, &["s1"], bad_id))], "is not a SPIFFE ID");
    let no_files = bad_id.replace("spiffe://Bad/", ALLOWED_ID);
    assert_fails_with(&["--chat", path_argument(&chat_config(&base, &["s1"], &no_files))], "/c: ");
    assert_fails_with(&["--chat", path_argument(&chat_config(&base, &["s1"], "[color]"))], "unknown field");
    assert_fails_with(
        &["--chat", path_argument(&write_test_file(&base, "odd.toml", "listen = 1"))],
        "odd.toml: ",
    );
    assert_fails_with(&["--chat", "/nowhere"], "cannot read /nowhere");
    assert_fails_with(&["--chat"], "usage: ");
    assert_fails_with(&[], "nothing to do");
    let config = write_test_file(&base, "config.json", "{\"name\":1}");
    let mut router = RouterProcess::start(&base, &[], &[("LB_CONFIG", &config)]);
    let log = router.wait_for_exit(ExpectedExit::Failure);
    assert!(log.lines().count() == 1 && log.contains("config.json: invalid type"), "{log}");
}
