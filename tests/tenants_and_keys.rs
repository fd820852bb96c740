//! Idempotency keys, tenants and `Retry-After`, with settings that differ from the default test
//! configuration.

mod common;

use common::config_files::{endpoint_entry, endpoint_list, loopback_address};
use common::connection::{Connection, Message, connect_client};
use common::messages::{PREFILLED, STREAM_END, STREAM_START, request};
use common::router_process::start_router;
use common::stub_listener::StubListener;

const NON_IDEMPOTENT: &str = "\"semantics\": \"non_idempotent\"";
const WITH_IDEMPOTENCY_KEY: &str = "\"semantics\": \"idempotency_key\"";

/// Adds a header to a request.
fn with_header(request: &str, header: &str) -> String {
    request.replacen("Content-Length", &format!("{header}\r\nContent-Length"), 1)
}

fn received_key(connection: &mut Connection) -> Option<String> {
    connection.read_message().header("idempotency-key").map(str::to_owned)
}

#[test]
fn the_idempotency_key_is_forwarded_with_every_attempt() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stub = StubListener::endpoint(&base, "w1");
    let router = start_router(&base, &["r1", "w1"], &[(NON_IDEMPOTENT, WITH_IDEMPOTENCY_KEY)]);
    let mut client = connect_client(&base);
    client.send(&with_header(&request("k1", "route-save", 15_000), "Idempotency-Key: 5f0c"));
    let mut prefill = prefill_stub.accept();
    assert_eq!(received_key(&mut prefill).as_deref(), Some("5f0c"));
    prefill.send(PREFILLED);
    let mut broken = decode_stub.accept();
    assert_eq!(received_key(&mut broken).as_deref(), Some("5f0c"));
    broken.close();
    let mut stream = decode_stub.accept();
    assert_eq!(received_key(&mut stream).as_deref(), Some("5f0c"));
    stream.send(STREAM_START);
    stream.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    client.close();
    router.process.terminate();
}

const NO_TENANTS: &str = "\"accounts\": []";
/// The quota of the first tenant allows a single request for the duration of the test, that of the second
/// allows all of its requests.
const TENANTS: &str = "\"accounts\": [{\"name\":\"small\",\"share\":0.1,\"quotaPerS\":0.001},\
                       {\"name\":\"large\",\"share\":0.9,\"quotaPerS\":100000.0}]";

#[test]
fn a_tenant_beyond_its_quota_waits_for_those_within_theirs() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    // No decode endpoint is known, so requests are queued, and those within their tenant's quota are sent
    // first.
    let mut router = start_router(&base, &["r1"], &[(NO_TENANTS, TENANTS)]);
    let mut clients: Vec<Connection> = Vec::new();
    for (tenant, count) in [("small", 5), ("large", 3)] {
        for number in 1..=count {
            let id = format!("{tenant}-{number}");
            let mut client = connect_client(&base);
            client.send(&with_header(&request(&id, "climb-query", 6_000), &format!("Tenant: {tenant}")));
            router.process.wait_for_log(&format!("request accepted request_id={id} "));
            clients.push(client);
        }
    }
    let _decode_stub = StubListener::endpoint(&base, "w1");
    router.watch.send(&(endpoint_list(2, false, &[endpoint_entry(&base, "w1", "Ready")]) + "\n"));
    let mut first_ids: Vec<String> = Vec::new();
    for _ in 0..4 {
        let received = prefill_stub.accept().read_message();
        first_ids.push(received.header("request-id").expect("no Request-Id header").to_owned());
    }
    first_ids.sort();
    assert_eq!(
        first_ids,
        ["large-1", "large-2", "large-3", "small-1"],
        "the other requests exceed their tenant's quota"
    );
    clients.into_iter().for_each(Connection::close);
    router.process.terminate();
}

#[test]
fn a_tenant_that_the_settings_do_not_name_is_rejected() {
    let base = loopback_address();
    let router = start_router(&base, &["r1", "w1"], &[(NO_TENANTS, TENANTS)]);
    let mut client = connect_client(&base);
    client.send(&with_header(&request("u1", "climb-query", 6_000), "Tenant: nobody"));
    let answer = client.read_message();
    assert!(answer.head.starts_with("HTTP/1.1 400 "), "{answer:?}");
    client.close();
    router.process.terminate();
}

/// Returns the response to a request whose body exceeds the memory limit, with parts of the configuration
/// replaced.
fn response_without_memory(replacements: &[(&str, &str)]) -> Message {
    let base = loopback_address();
    let no_memory = [("\"memory_mb\":192", "\"memory_mb\":0")];
    let router = start_router(&base, &["r1", "w1"], &[&no_memory, replacements].concat());
    let mut client = connect_client(&base);
    client.send(&request("f1", "climb-query", 6_000));
    let answer = client.read_message();
    client.close();
    router.process.terminate();
    answer
}

#[test]
fn retry_after_is_sent_only_as_the_settings_allow() {
    let allowed = response_without_memory(&[]);
    assert!(allowed.head.starts_with("HTTP/1.1 429 "), "{allowed:?}");
    assert_eq!(allowed.header("retry-after"), Some("1"));
    let shortened = response_without_memory(&[("\"maxRetryAfter\": 2000.0", "\"maxRetryAfter\": 250.0")]);
    assert_eq!(shortened.header("retry-after"), Some("0.25"));
    let forbidden = response_without_memory(&[("\"retryAfter\": true", "\"retryAfter\": false")]);
    assert!(forbidden.head.starts_with("HTTP/1.1 429 "), "{forbidden:?}");
    assert_eq!(forbidden.header("retry-after"), None);
}
