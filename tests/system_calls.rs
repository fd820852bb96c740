//! System calls that fail temporarily, transfer fewer bytes than requested or are interrupted, and a wall
//! clock that is wrong.

mod common;

use std::time::{Duration, Instant};

use common::config_files::{
    endpoint_entry, endpoint_list, loopback_address, platform_config_with_replacements,
};
use common::connection::{Connection, connect_client};
use common::faults::{EADDRINUSE, ECONNABORTED, EINTR, EMFILE, ENETUNREACH, Faults, call_fault, clock_shift};
use common::messages::{PREFILLED, STREAM_END, STREAM_START, request};
use common::router_process::{ExpectedExit, RouterProcess, start_router_with_variables};
use common::stub_listener::StubListener;

/// Longer than a request or a startup would need to use up all its attempts without delays between them.
const FAULT_DURATION: Duration = Duration::from_millis(1_500);

/// Answers the prefill and decode attempts of a request at stubs without open connections, and reads the
/// response.
fn answer_request(
    prefill_stub: &StubListener, decode_stub: &StubListener, id: &str, client: &mut Connection,
) -> [Connection; 2] {
    let mut prefill = prefill_stub.accept();
    assert_eq!(prefill.read_message().header("request-id"), Some(id));
    prefill.send(PREFILLED);
    let mut decode = decode_stub.accept();
    assert_eq!(decode.read_message().header("request-id"), Some(id));
    decode.send(STREAM_START);
    decode.send(STREAM_END);
    client.read_until("0\r\n\r\n");
    [prefill, decode]
}

#[test]
fn a_connect_that_fails_locally_costs_the_request_no_attempt() {
    let base = loopback_address();
    let faults = Faults::new(&base, &[]);
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stub = StubListener::endpoint(&base, "w1");
    let router = start_router_with_variables(&base, &["r1", "w1"], &[], &faults.variables());
    faults.set(&[call_fault("connect", ENETUNREACH, 100)]);
    std::thread::sleep(Duration::from_millis(50));
    let mut client = connect_client(&base);
    client.send(&request("c1", "climb-query", 6_000));
    std::thread::sleep(FAULT_DURATION);
    faults.set(&[]);
    let _open = answer_request(&prefill_stub, &decode_stub, "c1", &mut client);
    router.process.terminate();
}

/// Starts the router while a system call needed for startup fails.
fn start_with_fault(base: &str, fault: String) -> (RouterProcess, Faults) {
    let faults = Faults::new(base, &[fault]);
    let path = platform_config_with_replacements(base, &[]);
    let [library, control] = faults.variables();
    let router = RouterProcess::start(base, &[], &[("LB_CONFIG", &path), library, control]);
    (router, faults)
}

/// Injects a temporary failure of a system call during startup, and checks that startup then completes.
fn assert_start_survives(fault: String) {
    let (mut router, faults) = start_with_fault(&loopback_address(), fault);
    std::thread::sleep(FAULT_DURATION);
    assert!(router.is_running(), "the router exited");
    faults.set(&[]);
    router.wait_for_log("listening api=\"platform\"");
    router.terminate();
}

#[test]
fn a_bind_that_fails_for_a_moment_does_not_end_the_start() {
    assert_start_survives(call_fault("bind", EADDRINUSE, 100));
}

#[test]
fn a_configuration_that_cannot_be_opened_for_a_moment_does_not_end_the_start() {
    assert_start_survives(call_fault("open", EMFILE, 100));
}

#[test]
fn a_router_that_cannot_start_yet_still_exits_at_sigterm() {
    let (mut router, _faults) = start_with_fault(&loopback_address(), call_fault("bind", EADDRINUSE, 100));
    router.wait_for_log("cannot listen yet");
    router.signal("TERM");
    let signaled_at = Instant::now();
    router.wait_for_exit(ExpectedExit::Success);
    assert!(signaled_at.elapsed() < Duration::from_secs(8), "{:?}", signaled_at.elapsed());
}

#[test]
fn requests_are_served_despite_failed_short_and_interrupted_system_calls() {
    let base = loopback_address();
    let faults = Faults::new(&base, &[]);
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stub = StubListener::endpoint(&base, "w1");
    let router = start_router_with_variables(&base, &["r1", "w1"], &[], &faults.variables());
    let short = call_fault("short", 0, 60);
    faults.set(&[call_fault("accept", ECONNABORTED, 40), call_fault("epoll", EINTR, 40), short]);
    for id in ["f1", "f2", "f3"] {
        let mut client = connect_client(&base);
        client.send(&request(id, "climb-query", 6_000));
        // The stub connections are dropped, as an open one might be reused for the next request, which the
        // stubs do not expect.
        drop(answer_request(&prefill_stub, &decode_stub, id, &mut client));
    }
    router.process.terminate();
}

/// Returns the current Unix time in milliseconds.
fn unix_ms() -> i64 {
    let since =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("the clock is before 1970");
    i64::try_from(since.as_millis()).expect("Unix time fits in 64 bits")
}

/// Returns the list entry of a prefill endpoint that started at this time.
fn entry_started_at(base: &str, unix_ms: i64) -> String {
    endpoint_entry(base, "r1", "Ready").replace("\"started_ms\":0", &format!("\"started_ms\":{unix_ms}"))
}

/// Returns settings with which a cold endpoint receives almost no requests, and is warm after `milliseconds`.
fn slow_start_settings(milliseconds: u32) -> [(&'static str, String); 2] {
    [
        ("\"fallMultiple\": 3.0", "\"fallMultiple\": 0.001".to_owned()),
        ("\"rampTime\": 13000.0", format!("\"rampTime\": {milliseconds}.0")),
    ]
}

#[test]
fn an_endpoint_whose_start_lies_in_the_future_of_a_slow_clock_warms_up() {
    let base = loopback_address();
    let faults = Faults::new(&base, &[clock_shift(-3_600)]);
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let decode_stub = StubListener::endpoint(&base, "w1");
    let slow_start = slow_start_settings(500);
    let settings = slow_start.each_ref().map(|(old, new)| (*old, new.as_str()));
    let mut router = start_router_with_variables(&base, &["r1", "w1"], &settings, &faults.variables());
    router.watch.send(&(endpoint_list(2, false, &[entry_started_at(&base, unix_ms())]) + "\n"));
    router.process.wait_for_log("endpoint=r1 state=Ready");
    std::thread::sleep(FAULT_DURATION);
    let mut client = connect_client(&base);
    client.send(&request("t1", "climb-query", 2_000));
    let _open = answer_request(&prefill_stub, &decode_stub, "t1", &mut client);
    router.process.terminate();
}

#[test]
fn an_endpoint_that_has_just_started_is_cold_though_the_clock_is_an_hour_ahead() {
    let base = loopback_address();
    let faults = Faults::new(&base, &[clock_shift(3_600)]);
    let prefill_stub = StubListener::endpoint(&base, "r1");
    let slow_start = slow_start_settings(20_000);
    let settings = slow_start.each_ref().map(|(old, new)| (*old, new.as_str()));
    let mut router = start_router_with_variables(&base, &["r1", "w1"], &settings, &faults.variables());
    router.watch.send(&(endpoint_list(2, false, &[entry_started_at(&base, unix_ms())]) + "\n"));
    router.process.wait_for_log("endpoint=r1 state=Ready");
    let mut client = connect_client(&base);
    client.send(&request("t2", "climb-query", 500));
    assert!(client.read_message().head.starts_with("HTTP/1.1 429"));
    router.process.terminate();
    assert!(prefill_stub.has_no_unaccepted_connection(), "a request was sent to a cold endpoint");
}
