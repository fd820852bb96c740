//! What comes between two steps: requests, answers, closes and signals that cross each other on sockets.

mod common;

use std::time::{Duration, Instant};

use common::peers::{
    Connection, Discovery, END, Listener, READ, STREAM, Watch, client, list, request, start,
};
use common::program::{Program, address, target};

/// Plays the prefill of a request at a server, on a connection that stays open.
fn prefill(server: &Listener, id: &str) -> Connection {
    let mut connection = server.accept();
    let asked = connection.message();
    assert_eq!(asked.header("request-id"), Some(id), "{asked:?}");
    connection.send(READ);
    connection
}

/// Takes a request at a decode server, and starts its stream.
fn decode(server: &Listener, id: &str) -> Connection {
    let mut connection = server.accept();
    let asked = connection.message();
    assert_eq!(asked.header("request-id"), Some(id), "{asked:?}");
    connection.send(STREAM);
    connection
}

/// The program with a prefill server and a decode server that the test plays.
struct Peers {
    base: String,
    prefills: Listener,
    decodes: Listener,
    program: Program,
    _discovery: Discovery,
    _watch: Watch,
}

impl Peers {
    /// Starts the program with its settings changed.
    fn start(settings: &[(&str, &str)]) -> Self {
        let base = address();
        let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
        let (program, discovery, watch) = start(&base, &["r1", "w1"], settings);
        Peers { base, prefills, decodes, program, _discovery: discovery, _watch: watch }
    }

    /// A client's connection to the program.
    fn client(&self) -> Connection {
        client(&self.base)
    }

    /// Plays a request to the end of its answer; the servers' connections stay open as long as the result.
    fn answer_whole(&self, id: &str, client: &mut Connection) -> [Connection; 2] {
        let prefill = prefill(&self.prefills, id);
        let mut stream = decode(&self.decodes, id);
        stream.send(END);
        client.reads_until("0\r\n\r\n");
        [prefill, stream]
    }
}

#[test]
fn a_stream_that_is_open_at_sigterm_reaches_its_end_and_no_resting_connection_is_read_further() {
    let mut peers = Peers::start(&[]);
    let mut resting = peers.client();
    resting.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    assert!(resting.message().head.starts_with("HTTP/1.1 200"));
    let mut streaming = peers.client();
    streaming.send(&request("s1", "climb-query", 6_000));
    let _prefill = prefill(&peers.prefills, "s1");
    let mut stream = decode(&peers.decodes, "s1");
    streaming.reads_until("data: {\"n\":1}\n\n");

    peers.program.signal("TERM");
    peers.program.logs("shutdown started");
    assert_eq!(resting.rest(), "", "a resting connection ends without an answer");
    // It crosses the close: it is not read, so its client may send it again elsewhere.
    resting.send_into_the_close(&request("late", "climb-query", 6_000));
    stream.send(END);
    streaming.reads_until("data: [DONE]\n\n");
    streaming.reads_until("0\r\n\r\n");
    streaming.close();
    resting.close();
    let log = peers.program.ended(true);
    assert!(log.contains("\"taken\":1,"), "{log}");
    assert!(peers.prefills.is_untouched(), "the late request was sent on");
}

#[test]
fn a_new_connection_after_sigterm_is_served() {
    let mut peers = Peers::start(&[]);
    peers.program.signal("TERM");
    peers.program.logs("shutdown started");
    let mut late = peers.client();
    late.send(&request("n1", "climb-query", 6_000));
    let _open = peers.answer_whole("n1", &mut late);
    late.close();
    peers.program.ended(true);
}

#[test]
fn a_request_that_comes_late_in_a_shutdown_is_refused() {
    let mut peers = Peers::start(&[]);
    let mut open = peers.client();
    open.send(&request("o1", "climb-query", 6_000));
    let _prefill = prefill(&peers.prefills, "o1");
    let mut stream = decode(&peers.decodes, "o1");
    open.reads_until("data: {\"n\":1}\n\n");
    let mut late = peers.client();
    peers.program.signal("TERM");
    peers.program.logs("shutdown started");
    // What comes over 0.7 s behind the signal may still be under way when the process is killed.
    std::thread::sleep(Duration::from_millis(800));
    late.send(&request("o2", "climb-query", 6_000));
    let answer = late.message();
    assert!(answer.head.starts_with("HTTP/1.1 429"), "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    stream.send(END);
    open.reads_until("0\r\n\r\n");
    open.close();
    late.close();
    let log = peers.program.ended(true);
    assert!(log.contains("\"taken\":1,"), "{log}");
}

#[test]
fn a_request_whose_head_is_half_read_at_sigterm_is_answered() {
    let mut peers = Peers::start(&[]);
    let mut slow = peers.client();
    slow.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    slow.message();
    let text = request("h1", "climb-query", 6_000);
    let (first, second) = text.split_at(40);
    slow.send(first);
    // Asked behind it, so what stands above has been read when this is answered.
    let mut other = peers.client();
    other.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    other.message();
    peers.program.signal("TERM");
    peers.program.logs("shutdown started");
    assert_eq!(other.rest(), "");
    slow.send(second);
    let _open = peers.answer_whole("h1", &mut slow);
    slow.close();
    other.close();
    peers.program.ended(true);
}

#[test]
fn the_process_stays_until_its_last_client_has_read_the_end() {
    let mut peers = Peers::start(&[]);
    let mut last = peers.client();
    last.send(&request("e1", "climb-query", 6_000));
    let _prefill = prefill(&peers.prefills, "e1");
    let mut stream = decode(&peers.decodes, "e1");
    last.reads_until("data: {\"n\":1}\n\n");
    peers.program.signal("TERM");
    peers.program.logs("shutdown closes the listeners");
    stream.send(END);
    last.reads_until("0\r\n\r\n");
    assert_eq!(last.rest(), "");
    // Bytes that cross the close meet a socket that is read, not a reset, for as long as the client has not closed.
    for _ in 0..100 {
        last.send("G");
        std::thread::sleep(std::time::Duration::from_millis(2));
        assert!(peers.program.runs(), "it ended while a client could still send");
    }
    last.close();
    peers.program.ended(true);
}

#[test]
fn a_client_that_sends_more_behind_its_request_and_leaves_is_noticed() {
    let mut peers = Peers::start(&[]);
    let mut leaving = peers.client();
    leaving.send(&(request("p1", "climb-query", 6_000) + &request("p2", "climb-query", 6_000)));
    let mut asked = peers.prefills.accept();
    assert_eq!(asked.message().header("request-id"), Some("p1"));
    leaving.close();
    peers.program.logs("client disconnected request_id=p1");
    // The attempt is withdrawn: its connection ends, and nothing else is sent than the call that lets go of it.
    assert_eq!(asked.rest_or_reset(), "");
    peers.program.logs("releasing reservation request_id=p1");
    let log = peers.program.end();
    assert!(log.contains("\"taken\":1,"), "{log}");
    assert_eq!(peers.prefills.requests_left(), 0);
    assert_eq!(peers.decodes.requests_left(), 0);
}

#[test]
fn nothing_is_sent_for_a_client_that_leaves_between_two_attempts() {
    // Nothing can be withdrawn here, so an attempt that is out goes on after its client has left.
    let mut peers = Peers::start(&[("\"cancelling\": true", "\"cancelling\": false")]);
    let mut leaving = peers.client();
    leaving.send(&request("b1", "climb-query", 6_000));
    let mut asked = peers.prefills.accept();
    asked.message();
    leaving.close();
    peers.program.logs("client disconnected request_id=b1");
    asked.send(READ);
    // On the same connection or on another one: what is held is let go of, and no decode server hears of it.
    peers.program.logs("releasing reservation request_id=b1");
    peers.program.end();
    assert_eq!(peers.decodes.requests_left(), 0, "sent on after its client had left");
}

#[test]
fn nothing_is_sent_for_a_client_that_leaves_while_its_request_is_held() {
    let base = address();
    let prefills = Listener::instance(&base, "r1");
    // No decode server is known, so the request waits.
    let (mut program, _discovery, mut watch) = start(&base, &["r1"], &[]);
    let mut leaving = client(&base);
    leaving.send(&request("q1", "climb-query", 6_000));
    program.logs("request accepted request_id=q1");
    leaving.close();
    program.logs("client disconnected request_id=q1");
    let _decodes = Listener::instance(&base, "w1");
    let added = list(2, false, &[target(&base, "w1", "Ready")]);
    watch.send(&(added + "\n"));
    program.logs("endpoint=w1 state=Ready");
    program.end();
    assert!(prefills.is_untouched(), "sent on after its client had left");
}

#[test]
fn a_kept_connection_that_ends_as_it_is_used_again_costs_no_request() {
    let peers = Peers::start(&[]);
    let mut first = peers.client();
    first.send(&request("k1", "climb-query", 6_000));
    let [mut kept, stream] = peers.answer_whole("k1", &mut first);
    // Half of an answer to nothing, as from a server that goes down while its connection rests.
    kept.send("HTTP/1.1 50");
    kept.close();
    first.send(&request("k2", "climb-query", 6_000));
    // The decode server's connection goes in good order, for a new one.
    drop(stream);
    let _open = peers.answer_whole("k2", &mut first);
    first.close();
    peers.program.end();
}

#[test]
fn half_a_line_and_a_close_instead_of_an_answer_are_followed_by_one_more_attempt() {
    let peers = Peers::start(&[]);
    let mut asking = peers.client();
    asking.send(&request("l1", "climb-query", 6_000));
    let _prefill = prefill(&peers.prefills, "l1");
    let mut broken = peers.decodes.accept();
    broken.message();
    broken.send("HTTP/1.1 200 O");
    broken.close();
    let mut stream = decode(&peers.decodes, "l1");
    stream.send(END);
    asking.reads_until("0\r\n\r\n");
    asking.close();
    peers.program.end();
}

#[test]
fn an_event_is_passed_on_while_the_next_one_has_only_begun() {
    let peers = Peers::start(&[]);
    let mut asking = peers.client();
    asking.send(&request("v1", "climb-query", 6_000));
    let _prefill = prefill(&peers.prefills, "v1");
    let mut stream = decode(&peers.decodes, "v1");
    asking.reads_until("data: {\"n\":1}\n\n");
    // One event and the beginning of another in one chunk.
    stream.send("16\r\ndata: {\"n\":2}\n\ndata: {\r\n");
    asking.reads_until("data: {\"n\":2}\n\n");
    stream.send("8\r\n\"n\":3}\n\n\r\n");
    asking.reads_until("data: {\"n\":3}\n\n");
    stream.send(END);
    asking.reads_until("0\r\n\r\n");
    asking.close();
    peers.program.end();
}

#[test]
fn a_refusal_whose_body_never_ends_is_followed_by_the_next_attempt_at_once() {
    let base = address();
    let prefills = Listener::instance(&base, "r1");
    let decodes = [Listener::instance(&base, "w1"), Listener::instance(&base, "w2")];
    let (mut program, _discovery, _watch) = start(&base, &["r1", "w1", "w2"], &[]);
    let mut asking = client(&base);
    asking.send(&request("u1", "climb-query", 6_000));
    let _prefill = prefill(&prefills, "u1");
    let (full, mut endless) = Listener::accept_any(&[&decodes[0], &decodes[1]]);
    endless.message();
    endless.send("HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nfu");
    program.logs("attempt=1 outcome=Rejected");
    let mut stream = decode(&decodes[1 - full], "u1");
    stream.send(END);
    asking.reads_until("0\r\n\r\n");
    asking.close();
    let log = program.end();
    assert!(log.contains("\"attempts_timed_out\":0,"), "{log}");
}

#[test]
fn a_watch_that_is_reset_or_falls_silent_is_opened_anew_from_the_version_that_is_known() {
    let base = address();
    let (mut program, mut discovery, mut watch) = start(&base, &["r1", "w1"], &[]);
    let drains = list(7, false, &[target(&base, "w1", "Terminating")]);
    watch.send(&(drains + "\n"));
    program.logs("endpoint=w1 state=Terminating");
    // Half a line, and then a close.
    watch.send("{\"version\":8,\"fu");
    watch.connection.close();
    let mut silent = discovery.opens_watch();
    assert_eq!(silent.since, "7");
    // From here on it stays open and says nothing; its successor has to come by itself.
    let mut next = discovery.opens_watch();
    assert_eq!(next.since, "7");
    next.send(&(list(8, false, &[target(&base, "r1", "Terminating")]) + "\n"));
    program.logs("endpoint=r1 state=Terminating");
    assert_eq!(silent.connection.rest_or_reset(), "", "the silent watch was left open");
    program.end();
}

#[test]
fn two_watches_that_fall_silent_one_after_the_other_are_replaced_within_six_seconds() {
    let base = address();
    let (program, mut discovery, mut watch) = start(&base, &["r1", "w1"], &[]);
    watch.send("\n");
    let heard = Instant::now();
    let mut silent = discovery.opens_watch();
    let mut next = discovery.takes_watch();
    // What the first one missed counts as told 6 s after it fell silent.
    let elapsed = heard.elapsed();
    assert!(elapsed < Duration::from_millis(5_700), "{elapsed:?}");
    silent.connection.send_into_the_close("");
    next.connection.send_into_the_close("");
    program.end();
}

#[test]
fn an_answer_that_is_no_stream_of_events_is_not_passed_on() {
    let peers = Peers::start(&[]);
    let mut asking = peers.client();
    asking.send(&request("n1", "climb-query", 6_000));
    let mut read = prefill(&peers.prefills, "n1");
    let mut noise = peers.decodes.accept();
    noise.message();
    // Kept connections are used again once they have been quiet for a while.
    std::thread::sleep(Duration::from_millis(150));
    noise.send("HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 5\r\n\r\nnoise");
    // The state may have gone with it, so it is let go of and the prompt is read anew.
    assert!(read.message().head.starts_with("DELETE"));
    read.send("HTTP/1.1 204 No Content\r\n\r\n");
    let _again = prefill(&peers.prefills, "n1");
    let mut stream = decode(&peers.decodes, "n1");
    stream.send(END);
    asking.reads_until("0\r\n\r\n");
    peers.program.end();
}

#[test]
fn a_list_that_comes_in_pieces_and_over_several_lines_is_taken_in() {
    let base = address();
    let (mut program, _discovery, mut watch) = start(&base, &["r1", "w1"], &[]);
    let indented =
        list(2, false, &[target(&base, "w1", "Terminating")]).replace(',', ",\n  ").replace('[', "[\n ");
    let (first, second) = indented.split_at(60);
    watch.send(first);
    watch.send(second);
    watch.send("\n\n");
    program.logs("endpoint=w1 state=Terminating");
    let two = list(3, false, &[target(&base, "r1", "Terminating")])
        + "\n"
        + &list(4, false, &[target(&base, "w1", "Gone")])
        + "\n";
    watch.send(&two);
    program.logs("endpoint=r1 state=Terminating");
    program.logs("endpoint=w1 state=Gone");
    let log = program.end();
    assert!(!log.contains("watch lost"), "{log}");
}

#[test]
fn a_drain_told_right_after_a_move_of_discovery_is_kept() {
    let base = address();
    let prefills = Listener::instance(&base, "r1");
    let decodes = Listener::instance(&base, "w1");
    let (mut program, _discovery, mut old) = start(&base, &["r1", "w1", "w2"], &[]);
    let mut moved = common::peers::Discovery::moved(&base, "discovery-2");
    common::program::configured(&base, common::program::port("discovery-2"));
    program.signal("HUP");
    moved.serves_list(&[
        target(&base, "r1", "Ready"),
        target(&base, "w2", "Terminating"),
        target(&base, "w1", "Ready"),
    ]);
    let _watch = moved.opens_watch();
    program.logs("discovery moved address=");
    // What the old one still says counts no more: its connection has been given up.
    old.connection.send_into_the_close("1\r\n\n\r\n");
    assert_eq!(old.connection.rest_or_reset(), "");
    let mut asking = client(&base);
    asking.send(&request("d1", "climb-query", 6_000));
    let _prefill = prefill(&prefills, "d1");
    let mut stream = decode(&decodes, "d1");
    stream.send(END);
    asking.reads_until("0\r\n\r\n");
    asking.close();
    program.end();
}

#[test]
fn the_time_of_a_client_that_writes_slowly_runs_from_its_last_byte() {
    let base = address();
    let (mut program, _discovery, _watch) = start(&base, &["r1", "w1"], &[]);
    let mut slow = client(&base);
    let text = request("t1", "climb-query", 6_000);
    let (head, body) = text.split_at(text.len() - 5);
    slow.send(head);
    // Long against what is taken off for the way.
    std::thread::sleep(std::time::Duration::from_millis(300));
    slow.send(body);
    program.logs("request accepted request_id=t1 prompt_tokens=200.0 prefix_tokens=0.0 remaining_ms=5995");
    slow.close();
    program.end();
}

/// EventStream of a stream that together are far more than what the system and the program hold for a client.
const LARGE_EVENTS: usize = 600;
/// What each of them holds, in bytes.
const LARGE_EVENT: usize = 32_768;

#[test]
fn a_client_that_pauses_longer_than_a_server_may_be_silent_still_gets_the_whole_stream() {
    let peers = Peers::start(&[]);
    let mut slow = peers.client();
    slow.send(&request("l1", "climb-query", 6_000));
    let _prefill = prefill(&peers.prefills, "l1");
    let mut stream = decode(&peers.decodes, "l1");
    slow.reads_until("data: {\"n\":1}\n\n");
    let writer = std::thread::spawn(move || {
        let event = format!("data: {}\n\n", "x".repeat(LARGE_EVENT - 8));
        for _ in 0..LARGE_EVENTS {
            stream.send(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        stream.send(END);
        stream
    });
    // A server that says nothing for 4.3 s is taken for dead; this one waits for the client all that time.
    std::thread::sleep(Duration::from_millis(5_500));
    let text = slow.reads_until("data: [DONE]\n\n");
    assert_eq!(text.matches("data: x").count(), LARGE_EVENTS);
    slow.reads_until("0\r\n\r\n");
    drop(writer.join().expect("all is written"));
    peers.program.end();
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_left_unread() {
    let peers = Peers::start(&[]);
    let mut idle = peers.client();
    idle.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    idle.message();
    // It has stood idle, and is closed.
    assert_eq!(idle.rest(), "");
    idle.send_into_the_close(&request("x1", "climb-query", 6_000));
    assert!(idle.is_refused(), "its request was read past");
    peers.program.end();
}

#[test]
fn a_request_that_crosses_the_close_after_a_last_answer_is_left_unread() {
    let mut peers = Peers::start(&[]);
    let mut last = peers.client();
    last.send(&request("y1", "climb-query", 6_000));
    let _prefill = prefill(&peers.prefills, "y1");
    let mut stream = decode(&peers.decodes, "y1");
    last.reads_until("data: {\"n\":1}\n\n");
    peers.program.signal("TERM");
    peers.program.logs("shutdown started");
    stream.send(END);
    last.reads_until("0\r\n\r\n");
    let crossing = request("y2", "climb-query", 6_000);
    last.send_into_the_close(&crossing);
    let until = Instant::now() + Duration::from_secs(1);
    while last.unread_by_peer() < crossing.len() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(last.unread_by_peer(), crossing.len(), "its request was read past");
    last.close();
    peers.program.ended(true);
}

#[test]
fn clients_that_stop_in_the_middle_of_a_request_are_ended_in_time_also_while_the_process_ends() {
    let mut peers = Peers::start(&[]);
    let text = request("m1", "climb-query", 6_000);
    let (head, body) = text.split_at(text.len() - 5);
    // On a first and on a resting connection, within the head and within the body.
    let mut stopped = Vec::new();
    for rests in [false, true] {
        for part in [&text[..60], head] {
            let mut connection = peers.client();
            if rests {
                connection.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                connection.message();
            }
            connection.send(part);
            stopped.push(connection);
        }
    }
    assert_eq!(body.len(), 5);
    let begun = Instant::now();
    peers.program.signal("TERM");
    for connection in &mut stopped {
        let answer = connection.rest_or_reset();
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    assert!(begun.elapsed() < Duration::from_millis(3_000), "{:?}", begun.elapsed());
    drop(stopped);
    let log = peers.program.ended(true);
    assert!(log.contains("\"taken\":0,"), "{log}");
}
