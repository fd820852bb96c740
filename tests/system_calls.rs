//! System calls that fail for a moment, come short or are interrupted, and a wall clock that is off.

mod common;

use std::time::{Duration, Instant};

use common::faults::{EADDRINUSE, ECONNABORTED, EINTR, EMFILE, ENETUNREACH, Faults, clock_off, failing};
use common::peers::{
    Connection, END, Listener, READ, STREAM, client, configuration, list, request, start_with,
};
use common::program::{Program, address, target};

/// Longer than it takes to use up all attempts of a request, or all that are made at a start, one right after another.
const A_MOMENT: Duration = Duration::from_millis(1_500);

/// Plays a request to the end of its answer at servers that have not been connected to yet.
fn served(prefills: &Listener, decodes: &Listener, id: &str, client: &mut Connection) -> [Connection; 2] {
    let mut prefill = prefills.accept();
    assert_eq!(prefill.message().header("request-id"), Some(id));
    prefill.send(READ);
    let mut decode = decodes.accept();
    assert_eq!(decode.message().header("request-id"), Some(id));
    decode.send(STREAM);
    decode.send(END);
    client.reads_until("0\r\n\r\n");
    [prefill, decode]
}

#[test]
fn a_connect_that_fails_on_this_machine_costs_the_request_no_attempt() {
    let base = address();
    let faults = Faults::new(&base, &[]);
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let (program, _discovery, _watch) = start_with(&base, &["r1", "w1"], &[], &faults.variables());
    faults.set(&[failing("connect", ENETUNREACH, 100)]);
    std::thread::sleep(Duration::from_millis(50));
    let mut asking = client(&base);
    asking.send(&request("c1", "climb-query", 6_000));
    std::thread::sleep(A_MOMENT);
    faults.set(&[]);
    let _open = served(&prefills, &decodes, "c1", &mut asking);
    program.end();
}

/// Starts the program while a call of its start fails.
fn starts_while(base: &str, fault: String) -> (Program, Faults) {
    let faults = Faults::new(base, &[fault]);
    let path = configuration(base, &[]);
    let [library, control] = faults.variables();
    (Program::start(base, &[], &[("LB_CONFIG", &path), library, control]), faults)
}

/// Lets a call of a start fail for a moment; the start must go on when it works again.
fn starts_once_this_passes(fault: String) {
    let (mut program, faults) = starts_while(&address(), fault);
    std::thread::sleep(A_MOMENT);
    assert!(program.runs(), "it ended");
    faults.set(&[]);
    program.logs("listening api=\"platform\"");
    program.end();
}

#[test]
fn a_bind_that_fails_for_a_moment_does_not_end_the_start() {
    starts_once_this_passes(failing("bind", EADDRINUSE, 100));
}

#[test]
fn a_configuration_that_cannot_be_opened_for_a_moment_does_not_end_the_start() {
    starts_once_this_passes(failing("open", EMFILE, 100));
}

#[test]
fn a_program_that_cannot_start_yet_still_ends_when_it_is_told_to() {
    let (mut program, _faults) = starts_while(&address(), failing("bind", EADDRINUSE, 100));
    program.logs("cannot listen yet");
    program.signal("TERM");
    let begun = Instant::now();
    program.ended(true);
    assert!(begun.elapsed() < Duration::from_secs(8), "{:?}", begun.elapsed());
}

#[test]
fn requests_are_served_while_calls_fail_come_short_and_are_interrupted() {
    let base = address();
    let faults = Faults::new(&base, &[]);
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let (program, _discovery, _watch) = start_with(&base, &["r1", "w1"], &[], &faults.variables());
    let short = failing("short", 0, 60);
    faults.set(&[failing("accept", ECONNABORTED, 40), failing("epoll", EINTR, 40), short]);
    for id in ["f1", "f2", "f3"] {
        let mut asking = client(&base);
        asking.send(&request(id, "climb-query", 6_000));
        // The servers' connections end here: one that stayed might be used again, where nobody looks.
        drop(served(&prefills, &decodes, id, &mut asking));
    }
    program.end();
}

/// Milliseconds of Unix time.
fn unix_ms() -> i64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    i64::try_from(since.as_millis()).expect("not far after 1970")
}

/// A prefill server as the list tells it, started at this moment.
fn started(base: &str, unix_ms: i64) -> String {
    target(base, "r1", "Ready").replace("\"started_ms\":0", &format!("\"started_ms\":{unix_ms}"))
}

/// A cold server bears next to nothing, and is warm after so long.
fn ramp(milliseconds: u32) -> [(&'static str, String); 2] {
    [
        ("\"fallMultiple\": 3.0", "\"fallMultiple\": 0.001".to_owned()),
        ("\"rampTime\": 13000.0", format!("\"rampTime\": {milliseconds}.0")),
    ]
}

#[test]
fn a_server_that_started_in_the_future_of_a_clock_that_is_behind_gets_warm() {
    let base = address();
    let faults = Faults::new(&base, &[clock_off(-3_600)]);
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let ramp = ramp(500);
    let settings = ramp.each_ref().map(|(old, new)| (*old, new.as_str()));
    let (mut program, _discovery, mut watch) =
        start_with(&base, &["r1", "w1"], &settings, &faults.variables());
    watch.send(&(list(2, false, &[started(&base, unix_ms())]) + "\n"));
    program.logs("endpoint=r1 state=Ready");
    std::thread::sleep(A_MOMENT);
    let mut asking = client(&base);
    asking.send(&request("t1", "climb-query", 2_000));
    let _open = served(&prefills, &decodes, "t1", &mut asking);
    program.end();
}

#[test]
fn a_server_that_has_just_started_is_cold_though_the_clock_is_an_hour_ahead() {
    let base = address();
    let faults = Faults::new(&base, &[clock_off(3_600)]);
    let prefills = Listener::instance(&base, "r1");
    let ramp = ramp(20_000);
    let settings = ramp.each_ref().map(|(old, new)| (*old, new.as_str()));
    let (mut program, _discovery, mut watch) =
        start_with(&base, &["r1", "w1"], &settings, &faults.variables());
    watch.send(&(list(2, false, &[started(&base, unix_ms())]) + "\n"));
    program.logs("endpoint=r1 state=Ready");
    let mut asking = client(&base);
    asking.send(&request("t2", "climb-query", 500));
    assert!(asking.message().head.starts_with("HTTP/1.1 429"));
    program.end();
    assert!(prefills.is_untouched(), "a cold server was sent to");
}
