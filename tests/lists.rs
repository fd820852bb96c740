//! Lists of servers and configurations that come in pieces, hold what cannot be read, or are half written.

mod common;

use common::peers::{Connection, Discovery, client, list, start};
use common::program::{address, file, target};

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
    program.logs("discovery: w1 is Terminating");
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
    program.logs("discovery: w2 is Terminating");
    let log = program.end();
    assert!(!log.contains("watch lost"), "{log}");
}

#[test]
fn a_configuration_that_is_half_written_at_the_signal_is_read_once_it_is_whole() {
    let base = address();
    let (mut program, _discovery, _watch) = start(&base, &["w1"], &[]);
    let path = std::env::temp_dir().join(format!("croftsill-{base}")).join("config.json");
    let moved = format!("{base}:{}", common::program::port("moved"));
    let text =
        std::fs::read_to_string(&path).expect("the configuration").replace(&format!("{base}:8500"), &moved);
    let mut other = Discovery::moved(&base, "moved");
    file(&base, "config.json", &text[..text.len() / 2]);
    program.signal("HUP");
    program.logs("reload: ");
    file(&base, "config.json", &text);
    other.serves_list(&[target(&base, "w1", "Ready")]);
    let _watch = other.opens_watch();
    program.logs(&format!("discovery: moved to {moved}"));
    program.end();
}
