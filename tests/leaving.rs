//! Clients that leave: nothing begins for them from then on.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftsill::api::*;
use croftsill::node::attempt::{Dialect, Payload, Upstream};
use croftsill::node::counters::Counters;
use croftsill::node::planner::Planner;
use croftsill::node::pool::{Pool, PoolLimits, Site};
use croftsill::node::request::{Caller, live};
use croftsill::node::{Clock, Core};
use hyper::http::uri::PathAndQuery;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

mod common;
use common::rig;

/// Far above any wait that is meant.
const PATIENCE: Duration = Duration::from_secs(30);

/// A core with one reader and one writer at this address, and room for a single connection to them. What is under
/// way cannot be withdrawn.
fn core(listener: &TcpListener) -> Core {
    let mut settings = rig::settings();
    settings.limits.cancel = false;
    let limits = PoolLimits { connect: PATIENCE, idle: PATIENCE, connections: 1 };
    let counters = Rc::new(Counters::default());
    let pool = Rc::new(Pool::new(limits, counters.clone()));
    let addr = listener.local_addr().expect("it listens");
    let members = [rig::member(rig::READER, 0), rig::member(rig::WRITER, 1)];
    for m in &members {
        pool.place(m.host, Some(Site { addr, role: settings.kinds[m.kind.0].role, ready: true }));
    }
    let (planner, _orders) = Planner::start(settings, 5, Clock::start());
    planner.hosts(true, members.to_vec());
    let upstream = Rc::new(Upstream::new(pool, Dialect::Platform, counters.clone()));
    Core { planner, upstream, counters }
}

async fn waits_for_a_connection_and_leaves() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let core = core(&listener);
    let Ok(taken) = core.upstream.pool().connection(HostId(rig::READER)).await else {
        panic!("it listens");
    };
    let _ = listener.accept().await.expect("the connection that takes the room");
    let payload = Payload {
        id: "gone".into(),
        target: PathAndQuery::from_static("/v1/chat/completions"),
        content_type: None,
        idempotency_key: None,
        body: Bytes::from_static(b"{}"),
    };
    let (caller, answer) = Caller::new();
    let life = spawn_local(live(core.clone(), rig::ask(1), (payload, ()), caller));
    while core.counters.attempts.get() == 0 {
        tokio::task::yield_now().await;
    }
    drop(answer);
    while core.counters.left.get() == 0 {
        tokio::task::yield_now().await;
    }
    // Room again: whatever still waits for a connection gets one now.
    drop(taken);
    let instance = spawn_local(async move {
        let mut got = Vec::new();
        if let Ok((mut socket, _)) = listener.accept().await {
            let _ = socket.read_buf(&mut got).await;
        }
        got
    });
    tokio::select! {
        got = instance => got.expect("it listens on"),
        ended = timeout(PATIENCE, life) => {
            ended.expect("it ends").expect("it ends well");
            Vec::new()
        }
    }
}

#[test]
fn a_request_that_waits_for_a_connection_is_not_sent_once_its_client_has_left() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let got = LocalSet::new().block_on(&runtime, waits_for_a_connection_and_leaves());
    assert!(got.is_empty(), "sent {}", String::from_utf8_lossy(&got));
}
