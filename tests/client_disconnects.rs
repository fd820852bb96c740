//! Clients that disconnect while their request is under way: nothing is sent for them afterwards.

mod common;

use common::config_files::{endpoint_entry, endpoint_list, loopback_address};
use common::connection::connect_client;
use common::messages::{PREFILLED, request};
use common::router_process::start_router;
use common::stub_listener::StubListener;
use common::stubbed_router::StubbedRouter;

#[test]
fn a_client_that_pipelines_a_request_and_disconnects_is_noticed() {
    let mut router = StubbedRouter::start(&[]);
    let mut leaving = router.client();
    leaving.send(&(request("p1", "climb-query", 6_000) + &request("p2", "climb-query", 6_000)));
    let mut received = router.prefill_stub.accept();
    assert_eq!(received.read_message().header("request-id"), Some("p1"));
    leaving.close();
    router.process.wait_for_log("client disconnected request_id=p1");
    // The attempt is cancelled: its connection ends, and nothing is sent but the release of its reservation.
    assert_eq!(received.read_to_end_or_reset(), "");
    router.process.wait_for_log("releasing reservation request_id=p1");
    let log = router.process.terminate();
    assert!(log.contains("\"taken\":1,"), "{log}");
    assert_eq!(router.prefill_stub.count_unaccepted_requests(), 0);
    assert_eq!(router.decode_stub.count_unaccepted_requests(), 0);
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnects_between_two_attempts() {
    // Nothing can be cancelled here, so an attempt in flight goes on after its client has disconnected.
    let mut router = StubbedRouter::start(&[("\"cancelling\": true", "\"cancelling\": false")]);
    let mut leaving = router.client();
    leaving.send(&request("b1", "climb-query", 6_000));
    let mut received = router.prefill_stub.accept();
    received.read_message();
    leaving.close();
    router.process.wait_for_log("client disconnected request_id=b1");
    received.send(PREFILLED);
    // On the same connection or on another one: the reservation is released, and no decode endpoint is sent to.
    router.process.wait_for_log("releasing reservation request_id=b1");
    router.process.terminate();
    assert_eq!(
        router.decode_stub.count_unaccepted_requests(),
        0,
        "forwarded after its client had disconnected"
    );
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnects_while_its_request_is_queued() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    // No decode endpoint is known, so the request waits.
    let mut router = start_router(&base, &["r1"], &[]);
    let mut leaving = connect_client(&base);
    leaving.send(&request("q1", "climb-query", 6_000));
    router.process.wait_for_log("request accepted request_id=q1");
    leaving.close();
    router.process.wait_for_log("client disconnected request_id=q1");
    let _decode_stub = StubListener::endpoint(&base, "w1");
    let added = endpoint_list(2, false, &[endpoint_entry(&base, "w1", "Ready")]);
    router.watch.send(&(added + "\n"));
    router.process.wait_for_log("endpoint=w1 state=Ready");
    router.process.terminate();
    assert!(prefill_stub.has_no_unaccepted_connection(), "forwarded after its client had disconnected");
}
