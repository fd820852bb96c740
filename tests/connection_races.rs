//! Answers, closes and pauses that cross each other on the connections of clients and endpoints.

mod common;

use std::time::Duration;

use common::config_files::loopback_address;
use common::connection::connect_client;
use common::messages::{READINESS_REQUEST, STREAM_END, request};
use common::router_process::start_router;
use common::stub_listener::StubListener;
use common::stubbed_router::{StubbedRouter, answer_prefill, start_stream};

/// Events of a stream that together are far more than what the system and the router buffer for a client.
const LARGE_EVENT_COUNT: usize = 600;
/// Length of each of them, in bytes.
const LARGE_EVENT_LENGTH: usize = 32_768;

#[test]
fn an_idle_connection_that_ends_as_it_is_reused_costs_no_request() {
    let router = StubbedRouter::start(&[]);
    let mut first = router.client();
    first.send(&request("k1", "climb-query", 6_000));
    let [mut reused, stream] = router.answer_request("k1", &mut first);
    // Half of an answer to no request, as from an endpoint that exits while its connection is idle.
    reused.send("HTTP/1.1 50");
    reused.close();
    first.send(&request("k2", "climb-query", 6_000));
    // The decode endpoint closes its connection in good order, so a new one is opened.
    drop(stream);
    let _open = router.answer_request("k2", &mut first);
    first.close();
    router.process.terminate();
}

#[test]
fn half_a_status_line_and_a_close_are_followed_by_one_more_attempt() {
    let router = StubbedRouter::start(&[]);
    let mut client = router.client();
    client.send(&request("l1", "climb-query", 6_000));
    let _prefill = answer_prefill(&router.prefill_stub, "l1");
    let mut broken = router.decode_stub.accept();
    broken.read_message();
    broken.send("HTTP/1.1 200 O");
    broken.close();
    let mut stream = start_stream(&router.decode_stub, "l1");
    stream.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    client.close();
    router.process.terminate();
}

#[test]
fn an_event_is_forwarded_while_the_next_one_is_incomplete() {
    let router = StubbedRouter::start(&[]);
    let mut client = router.client();
    client.send(&request("v1", "climb-query", 6_000));
    let _prefill = answer_prefill(&router.prefill_stub, "v1");
    let mut stream = start_stream(&router.decode_stub, "v1");
    client.read_until("data: {\"n\":1}\n\n");
    // One event and the start of another in one chunk.
    stream.send("16\r\ndata: {\"n\":2}\n\ndata: {\r\n");
    client.read_until("data: {\"n\":2}\n\n");
    stream.send("8\r\n\"n\":3}\n\n\r\n");
    client.read_until("data: {\"n\":3}\n\n");
    stream.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    client.close();
    router.process.terminate();
}

#[test]
fn a_rejection_whose_body_never_ends_is_followed_by_the_next_attempt_at_once() {
    let base = loopback_address();
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stubs = [StubListener::endpoint(&base, "w1"), StubListener::endpoint(&base, "w2")];
    let mut router = start_router(&base, &["r1", "w1", "w2"], &[]);
    let mut client = connect_client(&base);
    client.send(&request("u1", "climb-query", 6_000));
    let _prefill = answer_prefill(&prefill_stub, "u1");
    let (rejecting, mut endless) = StubListener::accept_any(&[&decode_stubs[0], &decode_stubs[1]]);
    endless.read_message();
    endless.send("HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nfu");
    router.process.wait_for_log("attempt=1 outcome=Rejected");
    let mut stream = start_stream(&decode_stubs[1 - rejecting], "u1");
    stream.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    client.close();
    let log = router.process.terminate();
    assert!(log.contains("\"attempts_timed_out\":0,"), "{log}");
}

#[test]
fn an_answer_that_is_no_event_stream_is_not_forwarded() {
    let router = StubbedRouter::start(&[]);
    let mut client = router.client();
    client.send(&request("n1", "climb-query", 6_000));
    let mut prefill = answer_prefill(&router.prefill_stub, "n1");
    let mut malformed = router.decode_stub.accept();
    malformed.read_message();
    // Idle connections are reused once they have been quiet for a while.
    std::thread::sleep(Duration::from_millis(150));
    malformed.send("HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 5\r\n\r\nnoise");
    // The KV cache may be lost with it, so its reservation is released and the prompt is prefilled again.
    assert!(prefill.read_message().head.starts_with("DELETE"));
    prefill.send("HTTP/1.1 204 No Content\r\n\r\n");
    let _again = answer_prefill(&router.prefill_stub, "n1");
    let mut stream = start_stream(&router.decode_stub, "n1");
    stream.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    router.process.terminate();
}

#[test]
fn the_timeout_of_a_client_that_writes_slowly_runs_from_its_last_byte() {
    let base = loopback_address();
    let mut router = start_router(&base, &["r1", "w1"], &[]);
    let mut slow = connect_client(&base);
    let text = request("t1", "climb-query", 6_000);
    let (head, body) = text.split_at(text.len() - 5);
    slow.send(head);
    // Long against the margin that is subtracted for the network.
    std::thread::sleep(Duration::from_millis(300));
    slow.send(body);
    router.process.wait_for_log(
        "request accepted request_id=t1 prompt_tokens=200.0 prefix_tokens=0.0 remaining_ms=5995",
    );
    slow.close();
    router.process.terminate();
}

#[test]
fn a_client_that_pauses_longer_than_an_endpoint_may_be_silent_still_gets_the_complete_stream() {
    let router = StubbedRouter::start(&[]);
    let mut slow = router.client();
    slow.send(&request("l1", "climb-query", 6_000));
    let _prefill = answer_prefill(&router.prefill_stub, "l1");
    let mut stream = start_stream(&router.decode_stub, "l1");
    slow.read_until("data: {\"n\":1}\n\n");
    let stream_writer = std::thread::spawn(move || {
        let event = format!("data: {}\n\n", "x".repeat(LARGE_EVENT_LENGTH - 8));
        for _ in 0..LARGE_EVENT_COUNT {
            stream.send(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        stream.send(STREAM_END);
        stream
    });
    // An endpoint that sends nothing for 4.3 s is taken for dead; this one waits for the client all that time.
    std::thread::sleep(Duration::from_millis(5_500));
    let text = slow.read_until("data: [DONE]\n\n");
    assert_eq!(text.matches("data: x").count(), LARGE_EVENT_COUNT);
    slow.read_until("0\r\n\r\n");
    drop(stream_writer.join().expect("all is written"));
    router.process.terminate();
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_left_unread() {
    let router = StubbedRouter::start(&[]);
    let mut idle = router.client();
    idle.send(READINESS_REQUEST);
    idle.read_message();
    // The router closes it once it has been idle for too long.
    assert_eq!(idle.read_to_end(), "");
    idle.send_ignoring_close(&request("x1", "climb-query", 6_000));
    assert!(idle.is_reset_on_write(), "its request was read after the close");
    router.process.terminate();
}
