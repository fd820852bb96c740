//! How a router asks discovery, which serves the whole fleet.

mod common;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use common::program;
use inference_router::discovery::backoff::Backoff;

/// Takes one call to discovery: its request line, and the connection to answer on.
fn call(listener: &TcpListener) -> (String, TcpStream) {
    let (socket, _) = listener.accept().expect("a call");
    let mut reader = BufReader::new(socket.try_clone().expect("a second handle"));
    let (mut first, mut line) = (String::new(), String::new());
    reader.read_line(&mut first).expect("a request line");
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).expect("a head");
    }
    (first.trim_end().to_owned(), socket)
}

#[test]
fn a_start_with_a_known_list_makes_one_call_for_what_it_missed_and_waits_its_turn() {
    let base = program::address();
    let listener = TcpListener::bind(format!("{base}:8500")).expect("a free address");
    let config = program::platform(&base);
    let text = std::fs::read_to_string(&config).expect("the file just written");
    // Asked for, it is one service for all; where the list is pushed an agent of the router's own answers at once.
    let text = text.replace("\"membershipMode\": \"push\"", "\"membershipMode\": \"ask\"");
    let known = program::target(&base, "w1", "Ready");
    let known = format!("\"known\":{{\"version\":41,\"full\":true,\"servers\":[{known}]}},\"settings\"");
    program::file(&base, "config.json", &text.replace("\"settings\"", &known));
    let mut program = program::Program::start(&base, &[], &[("LB_CONFIG", &config)]);
    let (asked, mut socket) = call(&listener);
    assert_eq!(asked, "GET /api/targets?follow=1&since=41 HTTP/1.1");
    // A crowded discovery lets calls wait in turn: each that is given up early would be worked on in vain.
    std::thread::sleep(Duration::from_secs(2));
    let change = program::target(&base, "w1", "Terminating");
    let change = format!("{{\"version\":42,\"full\":false,\"servers\":[{change}]}}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    write!(socket, "{head}{:x}\r\n{change}\r\n", change.len()).expect("it listens");
    program.logs("endpoint=w1 state=Terminating");
    program.logs("ready endpoint_list=\"discovery\"");
    let log = program.end();
    assert!(log.contains("\"watches\":1}"), "{log}");
}

/// The most calls in any second, from `from` seconds on, of a fleet that starts at once and whose calls all fail.
fn busiest_second(routers: u32, from: u64) -> usize {
    let mut calls: BTreeMap<u64, usize> = BTreeMap::new();
    for seed in 0..u64::from(routers) {
        let mut backoff = Backoff::new(routers, seed);
        let mut at = backoff.initial_delay();
        while at < Duration::from_secs(60) {
            *calls.entry(at.as_secs()).or_default() += 1;
            at += backoff.next_delay();
        }
    }
    calls.range(from..60).map(|(_, calls)| *calls).max().unwrap_or(0)
}

#[test]
fn a_large_fleet_that_starts_together_and_is_turned_away_spreads_its_calls() {
    assert!(busiest_second(100, 0) <= 50, "{} calls at first", busiest_second(100, 0));
    // An even spread over the longest gap that the six seconds allow is a third of the fleet a second.
    assert!(busiest_second(100, 15) <= 45, "{} calls a second go on", busiest_second(100, 15));
    // And never over half of the fleet, where so many are due within four seconds.
    assert!(busiest_second(400, 0) <= 200, "{} calls of a larger fleet", busiest_second(400, 0));
}

#[test]
fn no_conductor_of_any_fleet_waits_so_long_that_a_change_is_heard_after_six_seconds() {
    // Two of the six are for a call's turn at discovery.
    for routers in [1, 20, 100, 300, 1_000] {
        for seed in 0..200 {
            let mut backoff = Backoff::new(routers, seed);
            let longest =
                (0..8).map(|_| backoff.next_delay()).max().unwrap_or_default().max(backoff.initial_delay());
            assert!(longest <= Duration::from_secs(4), "{longest:?} with {routers}");
        }
    }
}

#[test]
fn a_small_fleet_tries_again_soon_and_sooner_again_once_it_was_answered() {
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
