//! A router that is paused, that receives requests close to their deadline, or that starts while discovery
//! does not respond.

mod common;

use std::time::{Duration, Instant};

use common::config_files::{
    endpoint_entry, endpoint_list, loopback_address, platform_config_with_replacements, write_test_file,
};
use common::connection::connect_client;
use common::messages::{PREFILLED, READINESS_REQUEST, STREAM_END, STREAM_START, request};
use common::router_process::{RouterProcess, WAIT_TIMEOUT, start_router};
use common::stub_listener::StubListener;

/// How long the process is stopped. An attempt may start only much sooner than this after its client has
/// disconnected.
const PAUSE_DURATION: Duration = Duration::from_millis(400);

/// When a client connects to a router that is about to be paused.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClientConnects {
    BeforePause,
    DuringPause,
}

/// Pauses the process while a client sends a request and disconnects. The request must not be forwarded
/// after the process continues.
fn disconnect_during_pause(id: &str, client_connects: ClientConnects) {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stub = StubListener::endpoint(&base, "w1");
    let router = start_router(&base, &["r1", "w1"], &[]);
    let mut client = None;
    if client_connects == ClientConnects::BeforePause {
        let idle = client.insert(connect_client(&base));
        idle.send(READINESS_REQUEST);
        idle.read_message();
    }
    router.process.signal("STOP");
    let mut client = client.unwrap_or_else(|| connect_client(&base));
    client.send(&request(id, "climb-query", 6_000));
    client.close();
    std::thread::sleep(PAUSE_DURATION);
    router.process.signal("CONT");
    router.process.terminate();
    assert_eq!(
        prefill_stub.count_unaccepted_requests() + decode_stub.count_unaccepted_requests(),
        0,
        "a request was forwarded after its client had disconnected"
    );
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_while_it_waited_to_be_accepted() {
    disconnect_during_pause("g1", ClientConnects::DuringPause);
}

#[test]
fn nothing_is_sent_for_a_client_that_closed_an_idle_connection_during_a_pause() {
    disconnect_during_pause("g2", ClientConnects::BeforePause);
}

#[test]
fn a_request_close_to_its_deadline_is_rejected_immediately() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let _decode_stub = StubListener::endpoint(&base, "w1");
    let router = start_router(&base, &["r1", "w1"], &[]);
    for timeout_ms in [1, 5, 6, 10, 15] {
        let sent_at = Instant::now();
        let mut client = connect_client(&base);
        client.send(&request(&format!("h{timeout_ms}"), "climb-query", timeout_ms));
        let answer = client.read_message();
        assert!(answer.head.starts_with("HTTP/1.1 429"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
    }
    router.process.terminate();
    assert!(prefill_stub.has_no_unaccepted_connection(), "a request was forwarded without enough time left");
}

#[test]
fn a_router_that_starts_with_a_known_endpoint_list_serves_while_discovery_is_silent() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stub = StubListener::endpoint(&base, "w1");
    let _silent = StubListener::bind(&format!("{base}:8500"));
    let text = std::fs::read_to_string(platform_config_with_replacements(&base, &[]))
        .expect("failed to read the configuration");
    let entries = [endpoint_entry(&base, "r1", "Ready"), endpoint_entry(&base, "w1", "Ready")];
    let known = format!("\"known\":{},\"settings\"", endpoint_list(41, true, &entries));
    let path = write_test_file(&base, "config.json", &text.replace("\"settings\"", &known));
    let mut router = RouterProcess::start(&base, &[], &[("LB_CONFIG", &path)]);
    router.wait_for_log("listening api=\"platform\"");
    let started_at = Instant::now();
    let mut client = connect_client(&base);
    client.send(&request("k1", "climb-query", 6_000));
    let mut prefill = prefill_stub.accept();
    prefill.read_message();
    prefill.send(PREFILLED);
    let mut decode = decode_stub.accept();
    decode.read_message();
    decode.send(STREAM_START);
    decode.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    assert!(
        started_at.elapsed() < WAIT_TIMEOUT / 10,
        "{:?} from startup to the answer",
        started_at.elapsed()
    );
    router.terminate();
}
