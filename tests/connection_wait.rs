//! What changes while an attempt waits for a connection: nothing that may no longer begin is written then.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use inference_router::clock::{Clock, duration_from_micros};
use inference_router::metrics::Counters;
use inference_router::request::lifecycle::{Responder, run_request};
use inference_router::routing_context::RoutingContext;
use inference_router::scheduler::*;
use inference_router::scheduler_handle::SchedulerHandle;
use inference_router::upstream::connect::Connection;
use inference_router::upstream::connection_pool::{ConnectionPool, EndpointAddress, PoolLimits};
use inference_router::upstream::exchange::{AttemptResponse, RequestPayload, Upstream, UpstreamProtocol};
use inference_router::upstream::send_gate::{AttemptDeadlines, SendGate};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

mod common;
use common::rig;

/// Connections that the system queues for a listener.
const BACKLOG: u32 = 1;
/// For what is already on its way over loopback.
const ON_THE_WAY: Duration = Duration::from_millis(200);
/// Far above any wait that is meant.
const PATIENCE: Duration = Duration::from_secs(30);

/// A core with one prefill server and one decode server at this address, and room for a single connection to them.
/// What is under way cannot be withdrawn.
fn core(listener: &TcpListener) -> RoutingContext {
    let mut settings = rig::settings();
    settings.capabilities.cancellation = false;
    let limits = PoolLimits { connect_timeout: PATIENCE, idle_timeout: PATIENCE, max_connections: 1 };
    let counters = Rc::new(Counters::default());
    let pool = Rc::new(ConnectionPool::new(limits, counters.clone()));
    let addr = listener.local_addr().expect("it listens");
    let members = [rig::member(rig::PREFILL, 0), rig::member(rig::DECODE, 1)];
    for m in &members {
        pool.set_address(
            m.endpoint,
            Some(EndpointAddress { addr, role: settings.kinds[m.kind.0].role, ready: true }),
        );
    }
    let held_most = duration_from_micros(settings.rules.reservation_limit);
    let (planner, _orders) = SchedulerHandle::start(settings, 5, Clock::start());
    planner.endpoints_changed(true, members.to_vec());
    let upstream = Rc::new(Upstream::new(pool, UpstreamProtocol::Platform, counters.clone(), held_most));
    RoutingContext { scheduler: planner, upstream, counters }
}

fn payload() -> RequestPayload {
    RequestPayload {
        id: "waits".into(),
        target: PathAndQuery::from_static("/v1/chat/completions"),
        content_type: None,
        idempotency_key: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Takes the only connection that there is room for.
async fn take_room(core: &RoutingContext, listener: &TcpListener) -> Connection {
    let Ok(taken) = core.upstream.pool().connection(EndpointId(rig::PREFILL)).await else {
        panic!("it listens");
    };
    let _ = listener.accept().await.expect("the connection that takes the room");
    taken
}

async fn attempt_waits(core: &RoutingContext) {
    while core.counters.attempts.get() == 0 {
        tokio::task::yield_now().await;
    }
}

/// What the next connection brings, if one is made at all.
async fn next_bytes(listener: TcpListener) -> Vec<u8> {
    let mut got = Vec::new();
    if let Ok((mut socket, _)) = listener.accept().await {
        let _ = socket.read_buf(&mut got).await;
    }
    got
}

async fn waits_for_a_connection_and_leaves() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let core = core(&listener);
    let taken = take_room(&core, &listener).await;
    let (caller, answer) = Responder::new();
    let life = spawn_local(run_request(core.clone(), rig::ask(1), (payload(), ()), caller));
    attempt_waits(&core).await;
    drop(answer);
    while core.counters.left.get() == 0 {
        tokio::task::yield_now().await;
    }
    // Room again: whatever still waits for a connection gets one now.
    drop(taken);
    tokio::select! {
        got = next_bytes(listener) => got,
        ended = timeout(PATIENCE, life) => {
            ended.expect("it ends").expect("it ends well");
            Vec::new()
        }
    }
}

/// Lets a request wait for a connection that does not come up, and its client leave; gives what was written.
async fn waits_for_a_handshake_and_leaves() -> Vec<u8> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let listener = socket.listen(BACKLOG).expect("it listens");
    let addr = listener.local_addr().expect("it listens");
    // Nobody accepts these, so whoever comes next waits for the system to take the connection: it queues one
    // more than it is told.
    let mut crowd = Vec::new();
    for _ in 0..=BACKLOG {
        crowd.push(TcpStream::connect(addr).await.expect("room in the queue"));
    }
    let core = core(&listener);
    let (caller, answer) = Responder::new();
    let life = spawn_local(run_request(core.clone(), rig::ask(1), (payload(), ()), caller));
    attempt_waits(&core).await;
    drop(answer);
    timeout(PATIENCE, life).await.expect("it ends").expect("it ends well");
    drop(crowd);
    let mut written = Vec::new();
    while let Ok(Ok((mut socket, _))) = timeout(ON_THE_WAY, listener.accept()).await {
        let _ = timeout(ON_THE_WAY, socket.read_to_end(&mut written)).await;
    }
    written
}

/// Lets an attempt wait for a connection, makes the change, and gives what it came to and what was written.
async fn waits_meanwhile(
    start_by: Option<Instant>, change: impl FnOnce(&RoutingContext),
) -> (Outcome, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let core = core(&listener);
    let taken = take_room(&core, &listener).await;
    let (upstream, counters) = (core.upstream.clone(), core.counters.clone());
    let attempt = spawn_local(async move {
        let gate = SendGate::new(counters);
        let times = AttemptDeadlines {
            response_deadline: Instant::now() + PATIENCE,
            start_deadline: start_by,
            reserved: false,
        };
        let first = upstream.run_attempt(EndpointId(rig::PREFILL), &payload(), times, &gate).await.response;
        let AttemptResponse::Finished(outcome) = first else { panic!("nobody answers") };
        outcome
    });
    attempt_waits(&core).await;
    change(&core);
    drop(taken);
    let written = spawn_local(next_bytes(listener));
    let outcome = timeout(PATIENCE, attempt).await.expect("it ends").expect("it ends well");
    // The connections end here, and with them what the instance reads.
    core.upstream.pool().set_address(EndpointId(rig::PREFILL), None);
    (outcome, timeout(PATIENCE, written).await.expect("it ends").expect("it ends well"))
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

#[test]
fn a_request_that_waits_for_a_connection_is_not_sent_once_its_client_has_left() {
    let got = run(waits_for_a_connection_and_leaves());
    assert!(got.is_empty(), "sent {}", String::from_utf8_lossy(&got));
}

#[test]
fn a_request_whose_connection_does_not_come_up_is_not_sent_once_its_client_has_left() {
    let got = run(waits_for_a_handshake_and_leaves());
    assert!(got.is_empty(), "sent {}", String::from_utf8_lossy(&got));
}

#[test]
fn an_attempt_that_waits_for_a_connection_is_not_sent_to_a_host_that_drains_by_then() {
    let drains = |core: &RoutingContext| {
        let host = EndpointId(rig::PREFILL);
        let site = core.upstream.pool().address(host).expect("a known host");
        core.upstream.pool().set_address(host, Some(EndpointAddress { ready: false, ..site }));
    };
    let (outcome, written) = run(waits_meanwhile(None, drains));
    assert_eq!(outcome, Outcome::NotSent, "it never ran, and its host is not to blame");
    assert!(written.is_empty(), "sent {}", String::from_utf8_lossy(&written));
}

#[test]
fn an_attempt_that_waits_for_a_connection_is_not_sent_once_its_repeat_counts_as_new() {
    let (outcome, written) = run(async { waits_meanwhile(Some(Instant::now()), |_| {}).await });
    assert_eq!(outcome, Outcome::NotSent, "it never ran, and its host is not to blame");
    assert!(written.is_empty(), "sent {}", String::from_utf8_lossy(&written));
}

#[test]
fn an_attempt_waits_for_a_connection_no_longer_than_it_may_begin() {
    let outcome = run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let core = core(&listener);
        // It stays taken for good, at both ends.
        let Ok(_taken) = core.upstream.pool().connection(EndpointId(rig::PREFILL)).await else {
            panic!("it listens");
        };
        let _accepted = listener.accept().await.expect("the connection that takes the room");
        let gate = SendGate::new(core.counters.clone());
        let start_by = Some(Instant::now() + Duration::from_millis(50));
        let times = AttemptDeadlines {
            response_deadline: Instant::now() + PATIENCE,
            start_deadline: start_by,
            reserved: true,
        };
        let host = EndpointId(rig::PREFILL);
        let attempt = async { core.upstream.run_attempt(host, &payload(), times, &gate).await.response };
        match timeout(PATIENCE / 10, attempt).await {
            Ok(AttemptResponse::Finished(outcome)) => Some(outcome),
            _ => None,
        }
    });
    assert_eq!(outcome, Some(Outcome::NotSent));
}
