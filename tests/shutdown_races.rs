//! Requests, responses and connection closes that race with a shutdown of the router.

mod common;

use std::time::{Duration, Instant};

use common::messages::{READINESS_REQUEST, STREAM_END, request};
use common::router_process::ExpectedExit;
use common::stubbed_router::{StubbedRouter, answer_prefill, start_stream};

#[test]
fn a_stream_open_at_sigterm_completes_and_no_idle_connection_is_read_further() {
    let mut router = StubbedRouter::start(&[]);
    let mut idle = router.client();
    idle.send(READINESS_REQUEST);
    assert!(idle.read_message().head.starts_with("HTTP/1.1 200"));
    let mut streaming = router.client();
    streaming.send(&request("s1", "climb-query", 6_000));
    let _prefill = answer_prefill(&router.prefill_stub, "s1");
    let mut stream = start_stream(&router.decode_stub, "s1");
    streaming.read_until("data: {\"n\":1}\n\n");

    router.process.signal("TERM");
    router.process.wait_for_log("shutdown started");
    assert_eq!(idle.read_to_end(), "", "data on an idle connection that must close without a response");
    // The request races with the close and must stay unread, so that its client can safely retry it
    // elsewhere.
    idle.send_ignoring_close(&request("late", "climb-query", 6_000));
    stream.send(STREAM_END);
    streaming.read_until("data: [DONE]\n\n");
    streaming.read_until("0\r\n\r\n");
    streaming.close();
    idle.close();
    let log = router.process.wait_for_exit(ExpectedExit::Success);
    assert!(log.contains("\"taken\":1,"), "{log}");
    assert!(router.prefill_stub.has_no_unaccepted_connection(), "the late request was forwarded");
}

#[test]
fn a_new_connection_after_sigterm_is_served() {
    let mut router = StubbedRouter::start(&[]);
    router.process.signal("TERM");
    router.process.wait_for_log("shutdown started");
    let mut late = router.client();
    late.send(&request("n1", "climb-query", 6_000));
    let _open = router.answer_request("n1", &mut late);
    late.close();
    router.process.wait_for_exit(ExpectedExit::Success);
}

#[test]
fn a_request_late_in_a_shutdown_is_rejected() {
    let mut router = StubbedRouter::start(&[]);
    let mut open = router.client();
    open.send(&request("o1", "climb-query", 6_000));
    let _prefill = answer_prefill(&router.prefill_stub, "o1");
    let mut stream = start_stream(&router.decode_stub, "o1");
    open.read_until("data: {\"n\":1}\n\n");
    let mut late = router.client();
    router.process.signal("TERM");
    router.process.wait_for_log("shutdown started");
    // The process may be killed from 0.7 s after the signal on, so a request that arrives later might never
    // be answered.
    std::thread::sleep(Duration::from_millis(800));
    late.send(&request("o2", "climb-query", 6_000));
    let answer = late.read_message();
    assert!(answer.head.starts_with("HTTP/1.1 429"), "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    stream.send(STREAM_END);
    open.read_until("0\r\n\r\n");
    open.close();
    late.close();
    let log = router.process.wait_for_exit(ExpectedExit::Success);
    assert!(log.contains("\"taken\":1,"), "{log}");
}

#[test]
fn a_request_whose_head_is_half_read_at_sigterm_is_answered() {
    let mut router = StubbedRouter::start(&[]);
    let mut slow = router.client();
    slow.send(READINESS_REQUEST);
    slow.read_message();
    let text = request("h1", "climb-query", 6_000);
    let (first, second) = text.split_at(40);
    slow.send(first);
    // Sent after the partial head, so the head has been read once this request is answered.
    let mut other = router.client();
    other.send(READINESS_REQUEST);
    other.read_message();
    router.process.signal("TERM");
    router.process.wait_for_log("shutdown started");
    assert_eq!(other.read_to_end(), "");
    slow.send(second);
    let _open = router.answer_request("h1", &mut slow);
    slow.close();
    other.close();
    router.process.wait_for_exit(ExpectedExit::Success);
}

#[test]
fn the_process_runs_until_its_last_client_has_read_the_end() {
    let mut router = StubbedRouter::start(&[]);
    let mut last = router.client();
    last.send(&request("e1", "climb-query", 6_000));
    let _prefill = answer_prefill(&router.prefill_stub, "e1");
    let mut stream = start_stream(&router.decode_stub, "e1");
    last.read_until("data: {\"n\":1}\n\n");
    router.process.signal("TERM");
    router.process.wait_for_log("shutdown closes the listeners");
    stream.send(STREAM_END);
    last.read_until("0\r\n\r\n");
    assert_eq!(last.read_to_end(), "");
    // Bytes that race with the close must be read and not answered with a reset until the client closes the
    // connection.
    for _ in 0..100 {
        last.send("G");
        std::thread::sleep(Duration::from_millis(2));
        assert!(router.process.is_running(), "the process exited while a client connection was still open");
    }
    last.close();
    router.process.wait_for_exit(ExpectedExit::Success);
}

#[test]
fn a_request_that_crosses_the_close_after_a_last_answer_is_left_unread() {
    let mut router = StubbedRouter::start(&[]);
    let mut last = router.client();
    last.send(&request("y1", "climb-query", 6_000));
    let _prefill = answer_prefill(&router.prefill_stub, "y1");
    let mut stream = start_stream(&router.decode_stub, "y1");
    last.read_until("data: {\"n\":1}\n\n");
    router.process.signal("TERM");
    router.process.wait_for_log("shutdown started");
    stream.send(STREAM_END);
    last.read_until("0\r\n\r\n");
    let crossing = request("y2", "climb-query", 6_000);
    last.send_ignoring_close(&crossing);
    let deadline = Instant::now() + Duration::from_secs(1);
    while last.unread_by_peer() < crossing.len() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(last.unread_by_peer(), crossing.len(), "the request was read after the close");
    last.close();
    router.process.wait_for_exit(ExpectedExit::Success);
}

#[test]
fn clients_that_stop_within_a_request_are_closed_in_time_during_a_shutdown() {
    let mut router = StubbedRouter::start(&[]);
    let text = request("m1", "climb-query", 6_000);
    let (head, body) = text.split_at(text.len() - 5);
    // On new and on reused connections, within the head and within the body.
    let mut stopped = Vec::new();
    for reused in [false, true] {
        for part in [&text[..60], head] {
            let mut connection = router.client();
            if reused {
                connection.send(READINESS_REQUEST);
                connection.read_message();
            }
            connection.send(part);
            stopped.push(connection);
        }
    }
    assert_eq!(body.len(), 5);
    let signaled_at = Instant::now();
    router.process.signal("TERM");
    for connection in &mut stopped {
        let answer = connection.read_to_end_or_reset();
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    assert!(signaled_at.elapsed() < Duration::from_millis(3_000), "{:?}", signaled_at.elapsed());
    drop(stopped);
    let log = router.process.wait_for_exit(ExpectedExit::Success);
    assert!(log.contains("\"taken\":0,"), "{log}");
}
