//! Following discovery: the whole list first, then a watch on what changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::counters::add;
use super::pool::Site;
use super::{Clock, Core};
use crate::api::*;
use crate::wire::Names;

/// Silence after which a watch is given up: an empty line is due every 2 s. What it should have told counts as told
/// 6 s later, so a new watch must be there well before.
const SILENCE: Duration = Duration::from_millis(3_200);
/// For discovery to take a connection and to answer where it is asked. Calls wait in turn there and are told when they
/// have waited too long: one that is given up sooner is still worked on, and the next only lengthens the queue.
const ANSWER: Duration = Duration::from_secs(4);
/// The same where an agent of this router's own is sent the list: it answers at once, or not before it is back.
const AGENT_ANSWER: Duration = Duration::from_secs(1);
/// Over which the calls of a fleet are spread, for each of its routers: where the list must be asked for,
/// discovery is one service for all that has been seen to take 55 ms for a call and to let none wait over 2 s.
const CALL_EACH: Duration = Duration::from_millis(40);
/// Within which the first further try falls, however small the fleet.
const AGAIN_LEAST: Duration = Duration::from_millis(250);
/// How often the wait doubles while tries fail.
const DOUBLINGS: u32 = 2;
/// Longest from one call to the next, however large the fleet: what changes counts as told 6 s after discovery had it
/// and could be reached, and of these a call may wait 2 s in turn.
const AGAIN_MOST: Duration = Duration::from_secs(4);
/// Longest list that is read.
const MOST: usize = 4 * 1024 * 1024;

/// A list of targets, whole or only its changes.
#[derive(Clone, Debug, Deserialize)]
pub struct Targets {
    version: u64,
    full: bool,
    servers: Vec<Target>,
}

#[derive(Clone, Debug, Deserialize)]
struct Target {
    id: String,
    addr: SocketAddr,
    zone: String,
    kind: String,
    #[serde(default)]
    cell: i64,
    state: State,
    #[serde(default)]
    started_ms: i64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// No connection.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The exchange failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Not the answer that is meant to come.
    #[error("answered {0}")]
    Status(StatusCode),
    /// What came is no list.
    #[error("not a list: {0}")]
    Form(#[from] serde_json::Error),
    /// A list without end.
    #[error("a list of over {MOST} bytes")]
    TooLong,
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// It ended.
    #[error("ended")]
    Ended,
}

/// How long to wait before the next try, so that a whole fleet whose watches ended together neither comes back as one
/// nor keeps a crowded discovery from answering anybody.
#[derive(Debug)]
pub struct Backoff {
    spread: Duration,
    first: Duration,
    failed: u32,
    /// The next call comes after something that mostly meets the whole fleet in the same moment.
    together: bool,
    seed: u64,
    drawn: u64,
}

impl Backoff {
    /// For one of so many routers that share discovery; each has a seed of its own.
    pub fn new(routers: u32, seed: u64) -> Self {
        let spread = (CALL_EACH * routers).min(AGAIN_MOST);
        let first = (CALL_EACH * routers).clamp(AGAIN_LEAST, AGAIN_MOST);
        Backoff { spread, first, failed: 0, together: true, seed, drawn: 0 }
    }

    /// A number from 0 to 1, each time another one.
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        (xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed) >> 32) as f64 / f64::from(u32::MAX)
    }

    /// The wait before the first call of a router that starts with a list and can serve by it meanwhile: a fleet
    /// that starts or restarts together must not ask together.
    pub fn at_start(&mut self) -> Duration {
        self.together = false;
        self.spread.mul_f64(self.draw())
    }

    /// The wait after one more failure: drawn from all that is due where the fleet failed together, as when its watches
    /// end, else from the second half of it, as discovery is crowded.
    pub fn wait(&mut self) -> Duration {
        let due = (self.first * 2u32.pow(self.failed)).min(AGAIN_MOST);
        let least = if std::mem::take(&mut self.together) { 0.0 } else { 0.5 };
        self.failed = (self.failed + 1).min(DOUBLINGS);
        due.mul_f64(least + (1.0 - least) * self.draw())
    }

    /// Discovery answers: the next failure is a first one.
    pub fn answered(&mut self) {
        (self.failed, self.together) = (0, true);
    }
}

/// Takes lists in for a fleet: hosts to its planner, addresses to its pool.
pub struct Directory {
    core: Core,
    settings: Settings,
    names: Names,
    clock: Clock,
    ids: HashMap<String, HostId>,
    version: Option<u64>,
    backoff: Backoff,
    /// For discovery to answer a call.
    patience: Duration,
}

impl Directory {
    /// An empty directory.
    pub fn new(core: Core, settings: Settings, names: Names, clock: Clock, seed: u64) -> Self {
        // An agent that is sent the list by itself answers at no cost; nobody else waits for it.
        let (sharing, patience) =
            if settings.ask_for_list { (settings.routers, ANSWER) } else { (1, AGENT_ANSWER) };
        let backoff = Backoff::new(sharing, seed);
        Directory { core, settings, names, clock, ids: HashMap::new(), version: None, backoff, patience }
    }

    /// The same number for the same id at every router, whatever its order among the rest.
    fn host(&mut self, id: &str) -> HostId {
        if let Some(&host) = self.ids.get(id) {
            return host;
        }
        let numbers = (0..).map(|seed| HostId(xxh3_64_with_seed(id.as_bytes(), seed) as u32));
        let free = numbers.into_iter().find(|n| !self.ids.values().any(|taken| taken == n));
        let host = free.unwrap_or_default();
        self.ids.insert(id.to_owned(), host);
        host
    }

    /// Takes a list in at once: what drains or is gone must not wait.
    pub fn take(&mut self, list: &Targets) {
        add(&self.core.counters.lists);
        self.version = Some(list.version);
        let mut members = Vec::new();
        for target in &list.servers {
            let host = self.host(&target.id);
            let zone = self.names.zones.iter().position(|z| *z == target.zone);
            let kind = self.names.kinds.iter().position(|k| *k == target.kind);
            let (Some(zone), Some(kind)) = (zone, kind) else {
                tracing::warn!("discovery: {} has an unknown zone or kind, passed over", target.id);
                continue;
            };
            let phase = match target.state {
                State::Ready => Phase::Serving,
                State::Terminating => Phase::Draining,
                State::Gone => Phase::Gone,
            };
            let (role, ready) = (self.settings.kinds[kind].role, phase == Phase::Serving);
            let site = Site { addr: target.addr, role, ready };
            if !list.full {
                tracing::info!("discovery: {} is {:?}", target.id, target.state);
            }
            if phase == Phase::Gone {
                self.ids.remove(&target.id);
            }
            self.core.upstream.pool().place(host, Some(site).filter(|_| phase != Phase::Gone));
            members.push(Member {
                host,
                zone: ZoneId(zone),
                cell: CellId(target.cell),
                kind: KindId(kind),
                phase,
                started: self.clock.started(target.started_ms),
            });
        }
        if list.full {
            let pool = self.core.upstream.pool();
            let named = |host: &HostId| members.iter().any(|m| m.host == *host);
            pool.hosts().into_iter().filter(|h| !named(h)).for_each(|host| pool.place(host, None));
            self.ids.retain(|_, host| named(host));
        }
        self.core.planner.hosts(list.full, members);
    }

    /// Follows discovery for ever, wherever it is; `told` turns true when it has answered first. At a new address
    /// the whole list is asked for again: its versions may not go on from the old one's.
    pub async fn follow(mut self, mut address: watch::Receiver<SocketAddr>, told: watch::Sender<bool>) {
        if self.version.is_some() {
            tokio::select! {
                () = sleep(self.backoff.at_start()) => {}
                Ok(()) = address.changed() => address.mark_changed(),
            }
        }
        loop {
            if address.has_changed().unwrap_or(false) {
                tracing::info!("discovery: moved to {}", *address.borrow());
                self.version = None;
            }
            let addr = *address.borrow_and_update();
            add(&self.core.counters.watches);
            let mut since = Instant::now();
            let again;
            tokio::select! {
                ended = self.watch(addr, &told, &mut since) => {
                    let ended = ended.err().unwrap_or(WatchError::Ended);
                    self.core.planner.hosts_failed();
                    again = since + self.backoff.wait();
                    let wait = again.saturating_duration_since(Instant::now());
                    tracing::warn!("discovery: watch lost, {ended}; trying again in {} ms", wait.as_millis());
                }
                Ok(()) = address.changed() => {
                    address.mark_changed();
                    continue;
                }
            }
            tokio::select! {
                () = sleep_until(again) => {}
                Ok(()) = address.changed() => address.mark_changed(),
            }
        }
    }

    /// One watch, to its end; `since` is set to that end, or to when it was last heard if it fell silent: what it
    /// missed from then on is as good as told.
    async fn watch(
        &mut self, addr: SocketAddr, told: &watch::Sender<bool>, since: &mut Instant,
    ) -> Result<(), WatchError> {
        // The list that came with the configuration may be old, and the watch begins with what it has missed. A whole
        // list costs discovery work by the line: a fleet that starts together and asks for it keeps all from hearing.
        let version = match self.version {
            Some(version) => version,
            None => {
                let mut body = get(addr, "/api/targets", self.patience).await?;
                let mut text = BytesMut::new();
                while let Some(part) = piece(&mut body, self.patience).await? {
                    text.extend_from_slice(&part);
                    if text.len() > MOST {
                        return Err(WatchError::TooLong);
                    }
                }
                let list: Targets = serde_json::from_slice(&text)?;
                self.take(&list);
                told.send_replace(true);
                list.version
            }
        };
        let mut body = get(addr, &format!("/api/targets?follow=1&since={version}"), self.patience).await?;
        let (mut text, mut heard) = (BytesMut::new(), Instant::now());
        while let Some(part) = piece(&mut body, SILENCE).await.inspect_err(|fault| {
            *since = if matches!(fault, WatchError::Silent) { heard } else { Instant::now() };
        })? {
            heard = Instant::now();
            self.backoff.answered();
            told.send_replace(true);
            text.extend_from_slice(&part);
            for list in whole_lists(&mut text)? {
                self.take(&list);
            }
            if text.len() > MOST {
                return Err(WatchError::TooLong);
            }
        }
        *since = Instant::now();
        Ok(())
    }
}

/// Takes the lists that are whole out of what a watch has sent, however they are broken into lines and pieces.
fn whole_lists(text: &mut BytesMut) -> Result<Vec<Targets>, serde_json::Error> {
    let mut values = serde_json::Deserializer::from_slice(text).into_iter();
    let mut lists = Vec::new();
    for list in values.by_ref() {
        match list {
            Ok(list) => lists.push(list),
            Err(fault) if fault.is_eof() => break,
            Err(fault) => return Err(fault),
        }
    }
    let taken = values.byte_offset();
    text.advance(taken);
    if text.trim_ascii().is_empty() {
        text.clear();
    }
    Ok(lists)
}

async fn get(addr: SocketAddr, path: &str, within: Duration) -> Result<Incoming, WatchError> {
    let exchange = async {
        let socket = TcpStream::connect(addr).await.map_err(WatchError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        // It ends with the answer's body, or when that is dropped.
        tokio::task::spawn_local(connection);
        let request = Request::get(path).header("host", addr.to_string()).body(Empty::<Bytes>::new());
        let Ok(request) = request else { return Err(WatchError::Ended) };
        let answer = sender.send_request(request).await?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            other => Err(WatchError::Status(other)),
        }
    };
    timeout(within, exchange).await.unwrap_or(Err(WatchError::Silent))
}

async fn piece(body: &mut Incoming, within: Duration) -> Result<Option<Bytes>, WatchError> {
    match timeout(within, body.frame()).await {
        Err(_) => Err(WatchError::Silent),
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
    }
}
