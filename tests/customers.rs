//! What other customers' settings bring: keyed classes and tenants, on sockets.

mod common;

use common::peers::{Connection, END, Listener, READ, STREAM, client, request, start};
use common::program::address;

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
