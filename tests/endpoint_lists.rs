//! Endpoint lists and configuration files that are split, contain malformed entries, or are incomplete.

mod common;

use std::time::{Duration, Instant};

use common::config_files::{
    endpoint_entry, endpoint_list, loopback_address, stub_port, test_dir, write_test_file,
};
use common::connection::connect_client;
use common::discovery_stub::DiscoveryStub;
use common::messages::{READINESS_REQUEST, request};
use common::router_process::start_router;
use common::stub_listener::StubListener;

use inference_router::discovery::endpoint_list::ListReader;

/// Exchanges a request with the router, which has then read all data that was sent to it before.
fn round_trip(base: &str) {
    let mut other = connect_client(base);
    other.send(READINESS_REQUEST);
    other.read_message();
    other.close();
}

#[test]
fn an_endpoint_list_split_at_any_byte_is_applied_on_the_same_watch() {
    let base = loopback_address();
    let mut router = start_router(&base, &["w1"], &[]);
    let text = endpoint_list(2, false, &[endpoint_entry(&base, "w1", "Terminating")]) + "\n";
    for piece in ["\"weight\":1.", "\"version\":2", "\"full\":fal", "Terminating", "\"id\":\"w"] {
        assert!(text.contains(piece), "no {piece} in {text}");
    }
    let mut rest = text.as_str();
    for end in ["\"version\":2", "\"full\":fal", "\"id\":\"w", "Term", "\"weight\":1.", ",\"started_ms\":"] {
        let (piece, remaining) =
            rest.split_at(rest.find(end).expect("no split point in the rest of the text") + end.len());
        router.watch.send(piece);
        round_trip(&base);
        rest = remaining;
    }
    router.watch.send(rest);
    router.process.wait_for_log("endpoint=w1 state=Terminating");
    let log = router.process.terminate();
    assert!(!log.contains("watch lost"), "{log}");
}

#[test]
fn a_malformed_entry_does_not_affect_other_entries() {
    let base = loopback_address();
    let mut router = start_router(&base, &["r1", "w1", "w2"], &[]);
    let unknown = endpoint_entry(&base, "w1", "Rebooting");
    let nowhere = endpoint_entry(&base, "r1", "Ready").replace(&format!("\"{base}:"), "\"nowhere:");
    let draining = endpoint_entry(&base, "w2", "Terminating");
    router.watch.send(&(endpoint_list(2, false, &[unknown, nowhere, draining]) + "\n"));
    router.process.wait_for_log("endpoint=w2 state=Terminating");
    let log = router.process.terminate();
    assert!(!log.contains("watch lost"), "{log}");
}

#[test]
fn an_endpoint_whose_entry_is_malformed_receives_no_requests() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let mut router = start_router(&base, &["r1", "w1"], &[]);
    let unknown = endpoint_entry(&base, "r1", "Rebooting");
    let known = endpoint_entry(&base, "w1", "Terminating");
    router.watch.send(&(endpoint_list(2, false, &[unknown, known]) + "\n"));
    router.process.wait_for_log("endpoint=w1 state=Terminating");
    let mut client = connect_client(&base);
    client.send(&request("u1", "climb-query", 300));
    assert!(client.read_message().head.starts_with("HTTP/1.1 429"));
    router.process.terminate();
    assert!(
        prefill_stub.has_no_unaccepted_connection(),
        "a request was sent to an endpoint with a malformed entry"
    );
}

#[test]
fn a_long_list_in_small_pieces_takes_little_longer_than_one_in_a_single_piece() {
    let entries: Vec<_> =
        (0..3_200).map(|number| endpoint_entry("127.0.0.1", &format!("r{number}"), "Ready")).collect();
    let text = endpoint_list(1, true, &entries);
    let time_to_read = |piece_length: usize| {
        let started_at = Instant::now();
        let mut reader = ListReader::default();
        let lists: Vec<_> = text
            .as_bytes()
            .chunks(piece_length)
            .flat_map(|bytes| reader.push(bytes).expect("valid list"))
            .collect();
        assert_eq!(lists.len(), 1);
        assert_eq!(lists[0].endpoints.len(), 3_200);
        started_at.elapsed()
    };
    let in_one_piece = time_to_read(text.len());
    let in_pieces = time_to_read(97);
    println!("{} bytes: in one piece {in_one_piece:?}, in pieces of 97 bytes {in_pieces:?}", text.len());
    assert!(
        in_pieces < 5 * in_one_piece + Duration::from_millis(200),
        "in one piece {in_one_piece:?}, in pieces {in_pieces:?}"
    );
}

#[test]
fn a_configuration_that_is_half_written_at_sighup_is_read_once_it_is_complete() {
    let base = loopback_address();
    let mut router = start_router(&base, &["w1"], &[]);
    let path = test_dir(&base).join("config.json");
    let moved = format!("{base}:{}", stub_port("moved"));
    let text = std::fs::read_to_string(&path)
        .expect("failed to read the configuration")
        .replace(&format!("{base}:8500"), &moved);
    let mut moved_discovery = DiscoveryStub::start_at(&base, "moved");
    write_test_file(&base, "config.json", &text[..text.len() / 2]);
    router.process.signal("HUP");
    router.process.wait_for_log("configuration not readable yet");
    write_test_file(&base, "config.json", &text);
    moved_discovery.serve_snapshot(&[endpoint_entry(&base, "w1", "Ready")]);
    let _new_watch = moved_discovery.open_watch();
    router.process.wait_for_log(&format!("discovery moved address={moved}"));
    router.process.terminate();
}
