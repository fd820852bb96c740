//! Clients that disconnect while a request is in progress: nothing more may be sent for them.

mod common;

use std::time::Duration;

use common::config_files::{endpoint_entry, endpoint_list, loopback_address};
use common::connection::{Connection, connect_client};
use common::messages::{PREFILLED, STREAM_END, STREAM_START, chunked_request, request};
use common::router_process::start_router;
use common::stub_listener::StubListener;
use common::stubbed_router::{StubbedRouter, answer_prefill};

/// Time after a client's disconnect from which on no attempt may start: the rule's 0.1 s, and 50 ms for
/// sockets.
const DISCONNECT_GRACE: Duration = Duration::from_millis(150);
/// How long a client sends bytes behind its request before it disconnects.
const FLOOD_DURATION: Duration = Duration::from_millis(20);
/// Longer than the router needs to read all that a client sends behind its request before it rejects it.
const LONG_FLOOD_DURATION: Duration = Duration::from_millis(500);

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// Both directions are shut down.
    Shutdown,
    /// The socket is closed. Bytes that it still holds are sent in the background.
    Close,
    /// Only the client's sending side is shut down.
    ShutdownWrite,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Shutdown, Disconnect::Close, Disconnect::ShutdownWrite];

/// Disconnects. Returns the connection if a side of it is still open.
fn disconnect(client: Connection, disconnect: Disconnect) -> Option<Connection> {
    match disconnect {
        Disconnect::Shutdown => client.close(),
        Disconnect::Close => drop(client),
        Disconnect::ShutdownWrite => {
            client.close_write();
            return Some(client);
        }
    }
    None
}

/// Bytes that a client sends behind its request.
#[derive(Clone, Copy, Debug)]
enum Excess {
    /// One more request, in the same write.
    Request,
    /// As much as the connection takes in [`FLOOD_DURATION`].
    Flood,
}

/// Sends a request and more bytes and disconnects during the prefill, which then completes. No attempt may
/// start later than [`DISCONNECT_GRACE`] after the disconnect.
fn check_disconnect_during_prefill(request_text: &str, excess: Excess, way: Disconnect) {
    let router = StubbedRouter::start(&[]);
    let mut client = router.client();
    match excess {
        Excess::Request => client.send(&(request_text.to_owned() + &request("d2", "climb-query", 6_000))),
        Excess::Flood => client.send(request_text),
    }
    let mut prefill = router.prefill_stub.accept();
    assert_eq!(prefill.read_message().header("request-id"), Some("d1"));
    if matches!(excess, Excess::Flood) {
        client.flood(&"x".repeat(1_000_000), FLOOD_DURATION);
    }
    let _half_open = disconnect(client, way);
    std::thread::sleep(DISCONNECT_GRACE);
    prefill.send_ignoring_close(PREFILLED);
    let log = router.process.terminate();
    let sent = router.decode_stub.count_unaccepted_requests();
    assert_eq!(sent, 0, "sent to the decode endpoint after a disconnect by {way:?}: {log}");
}

// Guards against a disconnect that is not noticed because nothing reads the connection behind a chunked body.
#[test]
fn nothing_is_sent_for_a_client_that_disconnects_behind_a_chunked_request_and_another_one() {
    for way in DISCONNECTS {
        check_disconnect_during_prefill(&chunked_request("d1", "climb-query", 6_000), Excess::Request, way);
    }
}

// Guards against a disconnect that is noticed late because the bytes ahead of it are read slowly.
#[test]
fn nothing_is_sent_for_a_client_that_disconnects_after_megabytes_behind_its_request() {
    for way in DISCONNECTS {
        check_disconnect_during_prefill(&request("d1", "climb-query", 6_000), Excess::Flood, way);
    }
}

// Guards against both causes at once.
#[test]
fn nothing_is_sent_for_a_client_that_disconnects_after_megabytes_behind_a_chunked_request() {
    for way in DISCONNECTS {
        check_disconnect_during_prefill(&chunked_request("d1", "climb-query", 6_000), Excess::Flood, way);
    }
}

// Guards against a first attempt for a client that had left before the router read its request.
#[test]
fn nothing_is_sent_for_a_client_that_left_before_its_request_was_read() {
    let router = StubbedRouter::start(&[]);
    let mut clients = Vec::new();
    router.process.signal("STOP");
    for number in 0..4 {
        let mut client = router.client();
        let id = format!("l{number}");
        client.send(&chunked_request(&id, "climb-query", 6_000));
        client.flood(&"x".repeat(1_000_000), FLOOD_DURATION);
        clients.push(client);
    }
    drop(clients);
    std::thread::sleep(DISCONNECT_GRACE);
    router.process.signal("CONT");
    let log = router.process.terminate();
    assert_eq!(router.prefill_stub.count_unaccepted_requests(), 0, "sent after the disconnect: {log}");
}

// Guards against a connection that is reused although part of its next request was discarded.
#[test]
fn a_connection_is_closed_after_the_response_if_bytes_followed_the_request() {
    for delay in [Duration::ZERO, Duration::from_millis(20)] {
        let router = StubbedRouter::start(&[]);
        let mut client = router.client();
        client.send(&request("b1", "climb-query", 6_000));
        let prefill = answer_prefill(&router.prefill_stub, "b1");
        std::thread::sleep(delay);
        client.send(&request("b2", "climb-query", 6_000));
        let mut stream = router.decode_stub.accept();
        stream.read_message();
        std::thread::sleep(delay);
        stream.send(STREAM_START);
        stream.send(STREAM_END);
        let response = client.read_until("0\r\n\r\n");
        assert!(response.to_lowercase().contains("connection: close\r\n"), "{response}");
        assert_eq!(client.read_to_end(), "");
        drop(prefill);
        router.process.terminate();
        assert_eq!(router.prefill_stub.count_unaccepted_requests(), 0);
    }
}

// Guards against unbounded work for a client that keeps sending behind its request.
#[test]
fn a_client_that_keeps_sending_behind_its_request_gets_an_error_at_once() {
    for request_text in [request("k1", "climb-query", 6_000), chunked_request("k1", "climb-query", 6_000)] {
        let mut router = StubbedRouter::start(&[]);
        let mut client = router.client();
        client.send(&request_text);
        let mut prefill = router.prefill_stub.accept();
        prefill.read_message();
        client.flood(&"x".repeat(1_000_000), LONG_FLOOD_DURATION);
        assert!(client.read_until("\r\n").starts_with("HTTP/1.1 4"));
        // The attempt is cancelled.
        assert_eq!(prefill.read_to_end_or_reset(), "");
        router.process.wait_for_log("client disconnected request_id=k1");
        router.process.terminate();
    }
}

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
