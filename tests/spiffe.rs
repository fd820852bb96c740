//! SPIFFE identities of clients at the chat API, with certificates made here.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

use common::config_files::{chat_config, loopback_address, path_argument, write_test_file};
use common::router_process::{ExpectedExit, RouterProcess};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, SanType};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, Stream};

/// An authority that signs certificates.
struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: CertificateDer<'static>,
    pem: String,
}

fn create_authority() -> Authority {
    let key = KeyPair::generate().expect("a key");
    let mut params = CertificateParams::new(Vec::new()).expect("parameters");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let made = params.self_signed(&key).expect("a certificate");
    let certificate = made.der().clone();
    let pem = made.pem();
    Authority { issuer: Issuer::new(params, key), certificate, pem }
}

/// A certificate and its key.
struct Identity {
    pem: String,
    certificate: CertificateDer<'static>,
    key: KeyPair,
}

/// An identity whose certificate names these URIs.
fn create_identity(authority: &Authority, uris: &[&str]) -> Identity {
    let key = KeyPair::generate().expect("a key");
    let mut params = CertificateParams::new(vec!["chat".into()]).expect("parameters");
    params.subject_alt_names.extend(uris.iter().map(|uri| SanType::URI((*uri).try_into().expect("a URI"))));
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
    let made = params.signed_by(&key, &authority.issuer).expect("a certificate");
    Identity { pem: made.pem(), certificate: made.der().clone(), key }
}

/// The answer that a client with this identity reads to `GET /v1/models`, or why it gets none.
fn get_models(address: &str, trusted: &Authority, identity: Option<Identity>) -> std::io::Result<String> {
    let mut roots = RootCertStore::empty();
    roots.add(trusted.certificate.clone()).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let config = config.expect("versions").with_root_certificates(roots);
    let config = match identity {
        Some(identity) => {
            let key = PrivateKeyDer::try_from(identity.key.serialize_der()).expect("a key");
            config.with_client_auth_cert(vec![identity.certificate], key).expect("an identity")
        }
        None => config.with_no_client_auth(),
    };
    let mut session = ClientConnection::new(Arc::new(config), ServerName::try_from("chat").expect("a name"))
        .map_err(std::io::Error::other)?;
    let mut socket = TcpStream::connect(address)?;
    let mut stream = Stream::new(&mut session, &mut socket);
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nHost: chat\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// The one identity that is allowed.
const ALLOWED_ID: &str = "spiffe://hanbit.example/partner/club";

#[test]
fn only_allowed_identities_are_served() {
    let (ours, theirs) = (create_authority(), create_authority());
    let base = loopback_address();
    let router_identity = create_identity(&ours, &["spiffe://hanbit.example/croftsill"]);
    write_test_file(&base, "svid.pem", &router_identity.pem);
    write_test_file(&base, "svid-key.pem", &router_identity.key.serialize_pem());
    write_test_file(&base, "bundle.pem", &ours.pem);
    let tls = format!(
        "[tls]\ncertificate = \"svid.pem\"\nkey = \"svid-key.pem\"\ntrust_bundle = \"bundle.pem\"\nallowed_ids = [\"{ALLOWED_ID}\"]\n"
    );
    let config = chat_config(&base, &["s1"], &tls);
    let mut router = RouterProcess::start(&base, &["--chat", path_argument(&config)], &[]);
    router.wait_for_log("listening api=\"chat\"");
    let chat_address = format!("{base}:8090");
    let get_models_as = |authority: &Authority, uris: &[&str]| {
        get_models(&chat_address, &ours, Some(create_identity(authority, uris)))
    };
    let served = get_models_as(&ours, &[ALLOWED_ID]).expect("an allowed identity is answered");
    assert!(served.starts_with("HTTP/1.1 200 OK") && served.contains("climb-assist"), "{served}");
    let denied = get_models_as(&ours, &["spiffe://hanbit.example/partner/other"])
        .expect("another one is answered too");
    assert!(denied.starts_with("HTTP/1.1 403") && denied.contains("identity_not_allowed"), "{denied}");
    // No URI, two of them, one that is no SPIFFE ID, one of another authority, no certificate at all: no answer.
    assert!(get_models_as(&ours, &[]).is_err());
    assert!(get_models_as(&ours, &[ALLOWED_ID, "spiffe://hanbit.example/partner/two"]).is_err());
    assert!(get_models_as(&ours, &["https://hanbit.example/partner/club"]).is_err());
    assert!(get_models_as(&theirs, &[ALLOWED_ID]).is_err());
    assert!(get_models(&chat_address, &ours, None).is_err());
    // A bundle that is replaced while the router runs applies to the next client; a malformed one is ignored.
    write_test_file(&base, "bundle.pem", "no bundle");
    assert!(get_models_as(&ours, &[ALLOWED_ID]).is_ok());
    write_test_file(&base, "bundle.pem", &format!("{}{}", ours.pem, theirs.pem));
    assert!(get_models_as(&theirs, &[ALLOWED_ID]).is_ok_and(|text| text.starts_with("HTTP/1.1 200 OK")));
    // Without TLS there is no answer either.
    let mut plain = TcpStream::connect(&chat_address).expect("it listens");
    plain.write_all(b"GET /v1/models HTTP/1.1\r\nHost: chat\r\n\r\n").expect("it reads");
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
    assert_fails_with(&["--chat", path_argument(&chat_config(&base, &["s1"], "[colour]"))], "unknown field");
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
