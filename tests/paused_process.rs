//! A program that is held up, that has hardly any time, or that starts while discovery says nothing.

mod common;

use std::time::{Duration, Instant};

use common::peers::{END, Listener, READ, STREAM, client, configuration, request, start};
use common::program::{PATIENCE, Program, address, file, target};

/// How long the program is stopped: far longer than any attempt may begin after its client has left.
const HELD_UP: Duration = Duration::from_millis(400);

/// Holds the program up while a client sends a request and closes; nothing of it may be sent on afterwards.
fn closes_while_held_up(id: &str, connect_before: bool) {
    let base = address();
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let (program, _discovery, _watch) = start(&base, &["r1", "w1"], &[]);
    let kept = connect_before.then(|| {
        let mut kept = client(&base);
        kept.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        kept.message();
        kept
    });
    program.signal("STOP");
    let mut left = kept.unwrap_or_else(|| client(&base));
    left.send(&request(id, "climb-query", 6_000));
    left.close();
    std::thread::sleep(HELD_UP);
    program.signal("CONT");
    program.end();
    assert_eq!(prefills.requests_left() + decodes.requests_left(), 0, "sent after its client had left");
}

#[test]
fn nothing_is_sent_for_a_client_that_closed_while_its_request_stood_in_the_listener_s_queue() {
    closes_while_held_up("g1", false);
}

#[test]
fn nothing_is_sent_for_a_client_that_closed_on_a_kept_connection_while_the_program_was_held_up() {
    closes_while_held_up("g2", true);
}

#[test]
fn a_request_with_hardly_any_time_is_refused_at_once() {
    let base = address();
    let (prefills, _decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let (program, _discovery, _watch) = start(&base, &["r1", "w1"], &[]);
    for timeout_ms in [1, 5, 6, 10, 15] {
        let (begun, mut asking) = (Instant::now(), client(&base));
        asking.send(&request(&format!("h{timeout_ms}"), "climb-query", timeout_ms));
        let answer = asking.message();
        assert!(answer.head.starts_with("HTTP/1.1 429"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
    }
    program.end();
    assert!(prefills.is_untouched(), "sent with no time left");
}

#[test]
fn a_router_that_starts_with_a_known_list_serves_while_discovery_is_silent() {
    let base = address();
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let _silent = Listener::at(&format!("{base}:8500"));
    let text = std::fs::read_to_string(configuration(&base, &[])).expect("the file just written");
    let known = [target(&base, "r1", "Ready"), target(&base, "w1", "Ready")].join(",");
    let known = format!("\"known\":{{\"version\":41,\"full\":true,\"servers\":[{known}]}},\"settings\"");
    let path = file(&base, "config.json", &text.replace("\"settings\"", &known));
    let mut program = Program::start(&base, &[], &[("LB_CONFIG", &path)]);
    program.logs("listening api=\"platform\"");
    let begun = Instant::now();
    let mut asking = client(&base);
    asking.send(&request("k1", "climb-query", 6_000));
    let mut prefill = prefills.accept();
    prefill.message();
    prefill.send(READ);
    let mut decode = decodes.accept();
    decode.message();
    decode.send(STREAM);
    decode.send(END);
    asking.reads_until("0\r\n\r\n");
    assert!(begun.elapsed() < PATIENCE / 10, "{:?} from the start to the answer", begun.elapsed());
    program.end();
}
