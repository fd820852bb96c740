//! System calls that fail for a moment, come short or are interrupted, and a wall clock that is off.

mod common;

use std::time::Duration;

use common::faults::{EADDRINUSE, ECONNABORTED, EINTR, ENETUNREACH, Faults, failing};
use common::peers::{Connection, END, Listener, READ, STREAM, client, configuration, request, start_with};
use common::program::{Program, address};

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

#[test]
fn a_bind_that_fails_for_a_moment_does_not_end_the_start() {
    let base = address();
    let faults = Faults::new(&base, &[failing("bind", EADDRINUSE, 100)]);
    let path = configuration(&base, &[]);
    let [library, control] = faults.variables();
    let mut program = Program::start(&base, &[], &[("LB_CONFIG", &path), library, control]);
    std::thread::sleep(A_MOMENT);
    assert!(program.runs(), "it ended");
    faults.set(&[]);
    program.logs("listens on");
    program.end();
}

#[test]
fn a_configuration_that_cannot_be_opened_for_a_moment_does_not_end_the_start() {
    let base = address();
    let faults = Faults::new(&base, &[failing("open", common::faults::EMFILE, 100)]);
    let path = configuration(&base, &[]);
    let [library, control] = faults.variables();
    let mut program = Program::start(&base, &[], &[("LB_CONFIG", &path), library, control]);
    std::thread::sleep(A_MOMENT);
    assert!(program.runs(), "it ended");
    faults.set(&[]);
    program.logs("listens on");
    program.end();
}

#[test]
fn requests_are_served_while_calls_fail_come_short_and_are_interrupted() {
    let base = address();
    let faults = Faults::new(&base, &[]);
    let (prefills, decodes) = (Listener::instance(&base, "r1"), Listener::instance(&base, "w1"));
    let (program, _discovery, _watch) = start_with(&base, &["r1", "w1"], &[], &faults.variables());
    let short = failing("short", 0, 60);
    faults.set(&[failing("accept", ECONNABORTED, 40), failing("epoll", EINTR, 40), short]);
    let mut open = Vec::new();
    for id in ["f1", "f2", "f3"] {
        let mut asking = client(&base);
        asking.send(&request(id, "climb-query", 6_000));
        open.push(served(&prefills, &decodes, id, &mut asking));
    }
    drop(open);
    program.end();
}
