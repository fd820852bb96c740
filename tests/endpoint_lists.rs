//! Lists of servers and configurations that come in pieces, hold what cannot be read, or are half written.

mod common;

use std::time::{Duration, Instant};

use common::peers::{Connection, Discovery, Listener, client, list, start};
use common::program::{address, file, target};
use inference_router::discovery::endpoint_list::ListReader;

/// Once this is answered, the program has read what was sent to it before.
fn round_trip(base: &str) {
    let mut other: Connection = client(base);
    other.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    other.message();
    other.close();
}

#[test]
fn a_list_that_is_cut_anywhere_is_taken_whole_on_the_same_watch() {
    let base = address();
    let (mut program, _discovery, mut watch) = start(&base, &["w1"], &[]);
    let text = list(2, false, &[target(&base, "w1", "Terminating")]) + "\n";
    for piece in ["\"weight\":1.", "\"version\":2", "\"full\":fal", "Terminating", "\"id\":\"w"] {
        assert!(text.contains(piece), "no {piece} in {text}");
    }
    let mut rest = text.as_str();
    for end in ["\"version\":2", "\"full\":fal", "\"id\":\"w", "Term", "\"weight\":1.", ",\"started_ms\":"] {
        let (piece, behind) = rest.split_at(rest.find(end).expect("still to come") + end.len());
        watch.send(piece);
        round_trip(&base);
        rest = behind;
    }
    watch.send(rest);
    program.logs("endpoint=w1 state=Terminating");
    let log = program.end();
    assert!(!log.contains("watch lost"), "{log}");
}

#[test]
fn an_entry_that_cannot_be_read_costs_no_other_entry() {
    let base = address();
    let (mut program, _discovery, mut watch) = start(&base, &["r1", "w1", "w2"], &[]);
    let unknown = target(&base, "w1", "Rebooting");
    let nowhere = target(&base, "r1", "Ready").replace(&format!("\"{base}:"), "\"nowhere:");
    let drains = target(&base, "w2", "Terminating");
    watch.send(&(list(2, false, &[unknown, nowhere, drains]) + "\n"));
    program.logs("endpoint=w2 state=Terminating");
    let log = program.end();
    assert!(!log.contains("watch lost"), "{log}");
}

#[test]
fn a_server_whose_entry_cannot_be_read_gets_nothing_new() {
    let base = address();
    let prefills = Listener::instance(&base, "r1");
    let (mut program, _discovery, mut watch) = start(&base, &["r1", "w1"], &[]);
    let unknown = target(&base, "r1", "Rebooting");
    let known = target(&base, "w1", "Terminating");
    watch.send(&(list(2, false, &[unknown, known]) + "\n"));
    program.logs("endpoint=w1 state=Terminating");
    let mut asking = client(&base);
    asking.send(&common::peers::request("u1", "climb-query", 300));
    assert!(asking.message().head.starts_with("HTTP/1.1 429"));
    program.end();
    assert!(prefills.is_untouched(), "sent to a server in an unknown state");
}

#[test]
fn a_long_list_in_small_pieces_costs_little_more_than_one_that_comes_at_once() {
    let targets: Vec<_> = (0..3_200).map(|n| target("127.0.0.1", &format!("r{n}"), "Ready")).collect();
    let text = list(1, true, &targets);
    let read = |piece: usize| {
        let (begun, mut reader) = (Instant::now(), ListReader::default());
        let lists: Vec<_> =
            text.as_bytes().chunks(piece).flat_map(|bytes| reader.push(bytes).expect("a list")).collect();
        assert_eq!(lists.len(), 1);
        assert_eq!(lists[0].endpoints.len(), 3_200);
        begun.elapsed()
    };
    let (whole, pieces) = (read(text.len()), read(97));
    println!("{} bytes: whole {whole:?}, in pieces of 97 bytes {pieces:?}", text.len());
    assert!(pieces < 5 * whole + Duration::from_millis(200), "whole {whole:?}, in pieces {pieces:?}");
}

#[test]
fn a_configuration_that_is_half_written_at_the_signal_is_read_once_it_is_whole() {
    let base = address();
    let (mut program, _discovery, _watch) = start(&base, &["w1"], &[]);
    let path = std::env::temp_dir().join(format!("inference-router-{base}")).join("config.json");
    let moved = format!("{base}:{}", common::program::port("moved"));
    let text =
        std::fs::read_to_string(&path).expect("the configuration").replace(&format!("{base}:8500"), &moved);
    let mut other = Discovery::moved(&base, "moved");
    file(&base, "config.json", &text[..text.len() / 2]);
    program.signal("HUP");
    program.logs("configuration not readable yet");
    file(&base, "config.json", &text);
    other.serves_list(&[target(&base, "w1", "Ready")]);
    let _watch = other.opens_watch();
    program.logs(&format!("discovery moved address={moved}"));
    program.end();
}
