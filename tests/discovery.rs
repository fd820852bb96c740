//! Calls of a replica to a discovery service that serves the whole fleet: the watch at startup, and backoff
//! after failures.

mod common;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use common::config_files::{
    endpoint_entry, endpoint_list, loopback_address, platform_config, write_test_file,
};
use common::router_process::RouterProcess;
use inference_router::discovery::backoff::Backoff;

/// A call to discovery that has not been answered yet.
struct DiscoveryCall {
    request_line: String,
    socket: TcpStream,
}

/// Accepts one call to discovery without answering it.
fn accept_call(listener: &TcpListener) -> DiscoveryCall {
    let (socket, _) = listener.accept().expect("failed to accept a discovery call");
    let mut lines = BufReader::new(socket.try_clone().expect("failed to clone the socket"));
    let mut request_line = String::new();
    lines.read_line(&mut request_line).expect("failed to read the request line");
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        lines.read_line(&mut line).expect("failed to read the request head");
    }
    DiscoveryCall { request_line: request_line.trim_end().to_owned(), socket }
}

#[test]
fn a_start_with_a_known_endpoint_list_opens_one_watch_and_waits_for_its_answer() {
    let base = loopback_address();
    let listener = TcpListener::bind(format!("{base}:8500")).expect("failed to bind the discovery address");
    let config = platform_config(&base);
    let text = std::fs::read_to_string(&config).expect("failed to read the configuration");
    // With `ask`, one discovery service serves all replicas. With `push`, a local agent serves only this
    // replica.
    let text = text.replace("\"membershipMode\": \"push\"", "\"membershipMode\": \"ask\"");
    let entry = endpoint_entry(&base, "w1", "Ready");
    let known = format!("\"known\":{},\"settings\"", endpoint_list(41, true, &[entry]));
    write_test_file(&base, "config.json", &text.replace("\"settings\"", &known));
    let mut router = RouterProcess::start(&base, &[], &[("LB_CONFIG", &config)]);
    let mut call = accept_call(&listener);
    assert_eq!(call.request_line, "GET /api/targets?follow=1&since=41 HTTP/1.1");
    // An overloaded discovery service queues calls and keeps working on those that time out early.
    std::thread::sleep(Duration::from_secs(2));
    let draining = endpoint_entry(&base, "w1", "Terminating");
    let change = endpoint_list(42, false, &[draining]) + "\n";
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    write!(call.socket, "{head}{:x}\r\n{change}\r\n", change.len())
        .expect("failed to write the discovery response");
    router.wait_for_log("endpoint=w1 state=Terminating");
    router.wait_for_log("ready endpoint_list=\"discovery\"");
    let log = router.terminate();
    assert!(log.contains("\"watches\":1}"), "{log}");
}

/// Returns the maximum number of calls per second, from second `from` on, of a fleet that starts at once and
/// whose calls all fail.
fn max_calls_per_second(replicas: u32, from: u64) -> usize {
    let mut calls: BTreeMap<u64, usize> = BTreeMap::new();
    for seed in 0..u64::from(replicas) {
        let mut backoff = Backoff::new(replicas, seed);
        let mut call_at = backoff.initial_delay();
        while call_at < Duration::from_secs(60) {
            *calls.entry(call_at.as_secs()).or_default() += 1;
            call_at += backoff.next_delay();
        }
    }
    calls.range(from..60).map(|(_, calls)| *calls).max().unwrap_or(0)
}

#[test]
fn a_large_fleet_that_starts_at_once_and_is_rejected_spreads_its_calls() {
    assert!(
        max_calls_per_second(100, 0) <= 50,
        "{} calls in one second after startup",
        max_calls_per_second(100, 0)
    );
    // The 6 s limit allows delays of up to 4 s, so evenly spread calls are a third of the fleet per second.
    assert!(
        max_calls_per_second(100, 15) <= 45,
        "{} calls in one second while retrying",
        max_calls_per_second(100, 15)
    );
    // At most half of the fleet calls in any second, even though so many replicas must call within 4 s.
    assert!(
        max_calls_per_second(400, 0) <= 200,
        "{} calls in one second of the larger fleet",
        max_calls_per_second(400, 0)
    );
}

#[test]
fn backoff_delays_let_every_replica_apply_changes_within_six_seconds() {
    // A call may be queued at discovery for 2 s of the 6 s.
    for replicas in [1, 20, 100, 300, 1_000] {
        for seed in 0..200 {
            let mut backoff = Backoff::new(replicas, seed);
            let longest =
                (0..8).map(|_| backoff.next_delay()).max().unwrap_or_default().max(backoff.initial_delay());
            assert!(longest <= Duration::from_secs(4), "{longest:?} with {replicas} replicas");
        }
    }
}

#[test]
fn a_small_fleet_retries_soon_and_resets_its_backoff_after_a_success() {
    let mut backoff = Backoff::new(4, 7);
    assert!(backoff.initial_delay() <= Duration::from_millis(160));
    let first = backoff.next_delay();
    assert!(first <= Duration::from_millis(250), "{first:?}");
    for _ in 0..5 {
        backoff.next_delay();
    }
    assert!(backoff.next_delay() >= Duration::from_millis(500));
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(250));
}
