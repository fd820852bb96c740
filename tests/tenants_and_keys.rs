//! What other customers' settings bring: keyed classes and tenants, on sockets.

mod common;

use common::peers::{Connection, END, Listener, Message, READ, STREAM, client, list, request, start};
use common::program::{address, target};

const UNSAFE: &str = "\"semantics\": \"non_idempotent\"";
const KEYED: &str = "\"semantics\": \"idempotency_key\"";

/// Adds a header to a request.
fn with_header(request: &str, header: &str) -> String {
    request.replacen("Content-Length", &format!("{header}\r\nContent-Length"), 1)
}

fn asked_key(connection: &mut Connection) -> Option<String> {
    connection.message().header("idempotency-key").map(str::to_owned)
}

#[test]
fn the_key_by_which_instances_drop_repeats_goes_on_with_every_attempt() {
    let base = address();
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let (program, _discovery, _watch) = start(&base, &["r1", "w1"], &[(UNSAFE, KEYED)]);
    let mut asking = client(&base);
    asking.send(&with_header(&request("k1", "route-save", 15_000), "Idempotency-Key: 5f0c"));
    let mut prefill = prefills.accept();
    assert_eq!(asked_key(&mut prefill).as_deref(), Some("5f0c"));
    prefill.send(READ);
    let mut broken = decodes.accept();
    assert_eq!(asked_key(&mut broken).as_deref(), Some("5f0c"));
    broken.close();
    let mut stream = decodes.accept();
    assert_eq!(asked_key(&mut stream).as_deref(), Some("5f0c"));
    stream.send(STREAM);
    stream.send(END);
    asking.reads_until("0\r\n\r\n");
    asking.close();
    program.end();
}

const NO_TENANTS: &str = "\"accounts\": []";
/// One of them may send a single request in a long while, the other all that there are.
const TENANTS: &str = "\"accounts\": [{\"name\":\"small\",\"share\":0.1,\"quotaPerS\":0.001},\
                       {\"name\":\"large\",\"share\":0.9,\"quotaPerS\":100000.0}]";

#[test]
fn a_tenant_beyond_its_quota_waits_for_those_within_theirs() {
    let base = address();
    let prefills = Listener::instance(&base, "r1");
    // No decode server is known, so the requests are held, and those within their quota go first.
    let (mut program, _discovery, mut watch) = start(&base, &["r1"], &[(NO_TENANTS, TENANTS)]);
    let mut clients: Vec<Connection> = Vec::new();
    for (tenant, count) in [("small", 5), ("large", 3)] {
        for number in 1..=count {
            let id = format!("{tenant}-{number}");
            let mut asking = client(&base);
            asking.send(&with_header(&request(&id, "climb-query", 6_000), &format!("Tenant: {tenant}")));
            program.logs(&format!("request accepted request_id={id} "));
            clients.push(asking);
        }
    }
    let _decodes = Listener::instance(&base, "w1");
    watch.send(&(list(2, false, &[target(&base, "w1", "Ready")]) + "\n"));
    let mut first: Vec<String> = Vec::new();
    for _ in 0..4 {
        let asked = prefills.accept().message();
        first.push(asked.header("request-id").expect("an id").to_owned());
    }
    first.sort();
    assert_eq!(first, ["large-1", "large-2", "large-3", "small-1"], "the rest is beyond its tenant's quota");
    clients.into_iter().for_each(Connection::close);
    program.end();
}

#[test]
fn a_tenant_that_the_settings_do_not_name_is_turned_down() {
    let base = address();
    let (program, _discovery, _watch) = start(&base, &["r1", "w1"], &[(NO_TENANTS, TENANTS)]);
    let mut asking = client(&base);
    asking.send(&with_header(&request("u1", "climb-query", 6_000), "Tenant: nobody"));
    let answer = asking.message();
    assert!(answer.head.starts_with("HTTP/1.1 400 "), "{answer:?}");
    asking.close();
    program.end();
}

/// The answer to a request whose body finds no room, with the settings changed.
fn shed(settings: &[(&str, &str)]) -> Message {
    let base = address();
    let no_memory = [("\"memory_mb\":192", "\"memory_mb\":0")];
    let (program, _discovery, _watch) = start(&base, &["r1", "w1"], &[&no_memory, settings].concat());
    let mut asking = client(&base);
    asking.send(&request("f1", "climb-query", 6_000));
    let answer = asking.message();
    asking.close();
    program.end();
    answer
}

#[test]
fn a_client_that_finds_no_room_is_told_when_to_come_back_only_as_the_settings_allow() {
    let allowed = shed(&[]);
    assert!(allowed.head.starts_with("HTTP/1.1 429 "), "{allowed:?}");
    assert_eq!(allowed.header("retry-after"), Some("1"));
    let soon = shed(&[("\"maxRetryAfter\": 2000.0", "\"maxRetryAfter\": 250.0")]);
    assert_eq!(soon.header("retry-after"), Some("0.25"));
    let forbidden = shed(&[("\"retryAfter\": true", "\"retryAfter\": false")]);
    assert!(forbidden.head.starts_with("HTTP/1.1 429 "), "{forbidden:?}");
    assert_eq!(forbidden.header("retry-after"), None);
}
