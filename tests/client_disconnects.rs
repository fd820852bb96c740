//! Clients that disconnect while a request is in progress: nothing more may be sent for them.

mod common;

use common::config_files::{endpoint_entry, endpoint_list, loopback_address};
use common::connection::connect_client;
use common::messages::{PREFILLED, request};
use common::router_process::start_router;
use common::stub_listener::StubListener;
use common::stubbed_router::StubbedRouter;

#[test]
fn a_disconnect_after_a_pipelined_request_is_detected() {
    let mut router = StubbedRouter::start(&[]);
    let mut client = router.client();
    client.send(&(request("p1", "climb-query", 6_000) + &request("p2", "climb-query", 6_000)));
    let mut prefill = router.prefill_stub.accept();
    assert_eq!(prefill.read_message().header("request-id"), Some("p1"));
    client.close();
    router.process.wait_for_log("client disconnected request_id=p1");
    // The attempt is canceled: its connection is closed, and only the release of its reservation is sent.
    assert_eq!(prefill.read_to_end_or_reset(), "");
    router.process.wait_for_log("releasing reservation request_id=p1");
    let log = router.process.terminate();
    assert!(log.contains("\"taken\":1,"), "{log}");
    assert_eq!(router.prefill_stub.count_unaccepted_requests(), 0);
    assert_eq!(router.decode_stub.count_unaccepted_requests(), 0);
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnects_between_two_attempts() {
    // Cancellation is disabled, so an attempt in flight continues after its client has disconnected.
    let mut router = StubbedRouter::start(&[("\"cancelling\": true", "\"cancelling\": false")]);
    let mut client = router.client();
    client.send(&request("b1", "climb-query", 6_000));
    let mut prefill = router.prefill_stub.accept();
    prefill.read_message();
    client.close();
    router.process.wait_for_log("client disconnected request_id=b1");
    prefill.send(PREFILLED);
    // The reservation is released on the same or another connection, and no request is sent to the decode
    // endpoint.
    router.process.wait_for_log("releasing reservation request_id=b1");
    router.process.terminate();
    assert_eq!(router.decode_stub.count_unaccepted_requests(), 0, "sent after the client disconnected");
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnects_while_its_request_is_queued() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    // No decode endpoint is known, so the request is queued.
    let mut router = start_router(&base, &["r1"], &[]);
    let mut client = connect_client(&base);
    client.send(&request("q1", "climb-query", 6_000));
    router.process.wait_for_log("request accepted request_id=q1");
    client.close();
    router.process.wait_for_log("client disconnected request_id=q1");
    let _decode_stub = StubListener::endpoint(&base, "w1");
    let added = endpoint_list(2, false, &[endpoint_entry(&base, "w1", "Ready")]);
    router.watch.send(&(added + "\n"));
    router.process.wait_for_log("endpoint=w1 state=Ready");
    router.process.terminate();
    assert!(prefill_stub.has_no_unaccepted_connection(), "sent after the client disconnected");
}
