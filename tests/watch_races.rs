//! Watches on the endpoint list that are reset, stop sending, or move to another discovery service.

mod common;

use std::time::{Duration, Instant};

use common::config_files::{
    endpoint_entry, endpoint_list, loopback_address, platform_config_with_discovery, stub_port,
};
use common::connection::connect_client;
use common::discovery_stub::DiscoveryStub;
use common::messages::{STREAM_END, request};
use common::router_process::start_router;
use common::stub_listener::StubListener;
use common::stubbed_router::{answer_prefill, start_stream};

#[test]
fn a_watch_that_is_reset_or_falls_silent_is_reopened_from_the_known_version() {
    let base = loopback_address();
    let mut router = start_router(&base, &["r1", "w1"], &[]);
    let draining = endpoint_list(7, false, &[endpoint_entry(&base, "w1", "Terminating")]);
    router.watch.send(&(draining + "\n"));
    router.process.wait_for_log("endpoint=w1 state=Terminating");
    // An incomplete line followed by a close.
    router.watch.send("{\"version\":8,\"fu");
    router.watch.connection.close();
    let mut silent = router.discovery.open_watch();
    assert_eq!(silent.since, "7");
    // This watch stays open without sending anything, so the router has to replace it.
    let mut next = router.discovery.open_watch();
    assert_eq!(next.since, "7");
    next.send(&(endpoint_list(8, false, &[endpoint_entry(&base, "r1", "Terminating")]) + "\n"));
    router.process.wait_for_log("endpoint=r1 state=Terminating");
    assert_eq!(silent.connection.read_to_end_or_reset(), "", "the silent watch was not closed");
    router.process.terminate();
}

#[test]
fn two_watches_that_fall_silent_one_after_the_other_are_replaced_within_six_seconds() {
    let base = loopback_address();
    let mut router = start_router(&base, &["r1", "w1"], &[]);
    router.watch.send("\n");
    let last_line_at = Instant::now();
    let mut silent = router.discovery.open_watch();
    let mut next = router.discovery.accept_watch();
    // A change missed by the first watch must be known within 6 s of its last data.
    let elapsed = last_line_at.elapsed();
    assert!(elapsed < Duration::from_millis(5_700), "{elapsed:?}");
    silent.connection.send_ignoring_close("");
    next.connection.send_ignoring_close("");
    router.process.terminate();
}

#[test]
fn an_endpoint_list_in_pieces_and_over_several_lines_is_applied() {
    let base = loopback_address();
    let mut router = start_router(&base, &["r1", "w1"], &[]);
    let indented = endpoint_list(2, false, &[endpoint_entry(&base, "w1", "Terminating")])
        .replace(',', ",\n  ")
        .replace('[', "[\n ");
    let (first, second) = indented.split_at(60);
    router.watch.send(first);
    router.watch.send(second);
    router.watch.send("\n\n");
    router.process.wait_for_log("endpoint=w1 state=Terminating");
    let two_changes = endpoint_list(3, false, &[endpoint_entry(&base, "r1", "Terminating")])
        + "\n"
        + &endpoint_list(4, false, &[endpoint_entry(&base, "w1", "Gone")])
        + "\n";
    router.watch.send(&two_changes);
    router.process.wait_for_log("endpoint=r1 state=Terminating");
    router.process.wait_for_log("endpoint=w1 state=Gone");
    let log = router.process.terminate();
    assert!(!log.contains("watch lost"), "{log}");
}

#[test]
fn a_drain_reported_right_after_discovery_moved_is_applied() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stub = StubListener::endpoint(&base, "w1");
    let mut router = start_router(&base, &["r1", "w1", "w2"], &[]);
    let mut moved = DiscoveryStub::start_at(&base, "discovery-2");
    platform_config_with_discovery(&base, stub_port("discovery-2"));
    router.process.signal("HUP");
    moved.serve_snapshot(&[
        endpoint_entry(&base, "r1", "Ready"),
        endpoint_entry(&base, "w2", "Terminating"),
        endpoint_entry(&base, "w1", "Ready"),
    ]);
    let _watch = moved.open_watch();
    router.process.wait_for_log("discovery moved address=");
    // Data from the previous discovery service is ignored, as the connection to it has been closed.
    router.watch.connection.send_ignoring_close("1\r\n\n\r\n");
    assert_eq!(router.watch.connection.read_to_end_or_reset(), "");
    let mut client = connect_client(&base);
    client.send(&request("d1", "climb-query", 6_000));
    let _prefill = answer_prefill(&prefill_stub, "d1");
    let mut stream = start_stream(&decode_stub, "d1");
    stream.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    client.close();
    router.process.terminate();
}
