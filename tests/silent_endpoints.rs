//! Servers that fall silent: while something is held for a request, on connections that are kept, and all at once.

mod common;

use std::time::Duration;

use common::peers::{Connection, END, Listener, READ, STREAM, client, request, start};
use common::program::address;

/// Longer than any number of single calls that are given up one after another may take.
const A_WHILE: Duration = Duration::from_millis(900);
const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// Plays the prefill of a request on a connection.
fn read(connection: &mut Connection, id: &str) {
    assert_eq!(connection.message().header("request-id"), Some(id));
    connection.send(READ);
}

#[test]
fn what_is_held_is_let_go_of_when_servers_answer_again_after_all_were_silent() {
    let base = address();
    let prefills = Listener::instance(&base, "r1");
    let names = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
    let decodes = names.map(|name| Listener::instance(&base, name));
    let (mut program, _discovery, _watch) = start(&base, &[&["r1"], &names[..]].concat(), &[]);
    let mut leaving = client(&base);
    leaving.send(&request("v1", "climb-query", 6_000));
    let mut prefill = prefills.accept();
    read(&mut prefill, "v1");
    let all: Vec<&Listener> = decodes.iter().collect();
    let (_, mut asked) = Listener::accept_any(&all);
    asked.message();
    leaving.close();
    program.logs("releasing reservation request_id=v1");
    std::thread::sleep(A_WHILE);
    // Those that come now are answered.
    while program.has_not_logged("reservation released request_id=v1") {
        if let Some(mut call) = Listener::accept_soon(&all)
            && call.message_or_end().is_some_and(|asked| asked.head.starts_with("DELETE"))
        {
            call.send_into_the_close(RELEASED);
        }
    }
    program.end();
}

#[test]
fn a_held_state_is_not_sent_on_over_a_connection_that_may_have_fallen_silent() {
    let base = address();
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let (program, _discovery, _watch) = start(&base, &["r1", "w1"], &[]);
    let mut asking = client(&base);
    asking.send(&request("k1", "climb-query", 6_000));
    let mut prefill = prefills.accept();
    read(&mut prefill, "k1");
    let mut kept = decodes.accept();
    kept.message();
    kept.send(STREAM);
    kept.send(END);
    asking.reads_until("0\r\n\r\n");
    // From now on nobody answers on that connection, and it shows no error.
    std::thread::sleep(A_WHILE);
    asking.send(&request("k2", "climb-query", 6_000));
    read(&mut prefill, "k2");
    let mut fresh = decodes.accept();
    assert_eq!(fresh.message().header("request-id"), Some("k2"));
    fresh.send(STREAM);
    fresh.send(END);
    asking.reads_until("0\r\n\r\n");
    let log = program.end();
    assert!(!log.contains("TimedOut"), "{log}");
}
