//! Following discovery: the whole list first, then a watch on what changes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::backoff::Backoff;
use super::counters::add;
use super::pool::Site;
use super::start_times::StartTimes;
use super::target_list::{Entry, ListError, ListReader, State, Target, TargetList};
use super::{Clock, Core};
use crate::api::*;
use crate::wire::Names;

/// Silence after which a watch is given up: an empty line is due every 2 s. What it should have told counts as told
/// 6 s later, so a new watch must be there well before.
const SILENCE: Duration = Duration::from_millis(3_200);
/// The same where an agent of this router's own is asked, which a new call costs nothing: also a watch that takes the
/// place of a silent one, and is silent too, is replaced within the 6 s.
const AGENT_SILENCE: Duration = Duration::from_millis(2_600);
/// For discovery to take a connection and to answer where it is asked. Calls wait in turn there and are told when they
/// have waited too long: one that is given up sooner is still worked on, and the next only lengthens the queue.
const ANSWER: Duration = Duration::from_secs(4);
/// The same where an agent of this router's own is sent the list: it answers at once, or not before it is back.
const AGENT_ANSWER: Duration = Duration::from_secs(1);
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
    #[error("{0}")]
    List(#[from] ListError),
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// It ended.
    #[error("ended")]
    Ended,
}

/// The number of each target that is known, by its id.
#[derive(Default)]
struct HostIds {
    by_name: HashMap<String, HostId>,
    taken: HashSet<HostId>,
}

impl HostIds {
    /// The same number for the same id at every router, whatever its order among the rest.
    fn number(&mut self, name: &str) -> HostId {
        if let Some(&host) = self.by_name.get(name) {
            return host;
        }
        let mut numbers = (0..).map(|seed| HostId(xxh3_64_with_seed(name.as_bytes(), seed) as u32));
        let host = numbers.find(|number| !self.taken.contains(number)).unwrap_or_default();
        self.taken.insert(host);
        self.by_name.insert(name.to_owned(), host);
        host
    }

    /// Forgets all for which `known` is false.
    fn retain(&mut self, known: impl Fn(HostId) -> bool) {
        self.by_name.retain(|_, host| known(*host));
        self.taken.retain(|host| known(*host));
    }
}

/// Takes lists in for a fleet: hosts to its planner, addresses to its pool.
pub struct Directory {
    core: Core,
    settings: Settings,
    names: Names,
    starts: StartTimes,
    /// When all that discovery had was last known; none before it has been heard.
    heard: Option<Instant>,
    ids: HostIds,
    version: Option<u64>,
    backoff: Backoff,
    /// For discovery to answer a call.
    patience: Duration,
    /// Without a line, after which a watch is given up.
    silence: Duration,
}

impl Directory {
    /// An empty directory.
    pub fn new(core: Core, settings: Settings, names: Names, clock: Clock, seed: u64) -> Self {
        // An agent that is sent the list by itself answers at no cost; nobody else waits for it.
        let (sharing, patience, silence) = match settings.ask_for_list {
            true => (settings.routers, ANSWER, SILENCE),
            false => (1, AGENT_ANSWER, AGENT_SILENCE),
        };
        let backoff = Backoff::new(sharing, seed);
        let starts = StartTimes::new(clock);
        let ids = HostIds::default();
        Directory {
            core,
            settings,
            names,
            starts,
            heard: None,
            ids,
            version: None,
            backoff,
            patience,
            silence,
        }
    }

    /// Takes a list in at once: what drains or is gone must not wait.
    pub fn take_list(&mut self, list: &TargetList) {
        add(&self.core.counters.lists);
        self.version = Some(list.version);
        let members: Vec<_> =
            list.servers.iter().filter_map(|entry| self.take_entry(list.full, entry)).collect();
        let gone: HashSet<_> = members.iter().filter(|m| m.phase == Phase::Gone).map(|m| m.host).collect();
        let named: HashSet<_> = members.iter().map(|m| m.host).filter(|host| !gone.contains(host)).collect();
        if list.full || !gone.is_empty() {
            let known = |host: &HostId| if list.full { named.contains(host) } else { !gone.contains(host) };
            let pool = self.core.upstream.pool();
            pool.hosts().into_iter().filter(|host| !known(host)).for_each(|host| pool.place(host, None));
            self.ids.retain(|host| known(&host));
            self.starts.forget_all_but(|host| known(&host));
        }
        self.core.planner.hosts(list.full, members);
    }

    /// Takes one entry in. One that cannot be read tells nothing by which its target could be used.
    fn take_entry(&mut self, full: bool, entry: &Entry) -> Option<Member> {
        let id = match entry {
            Entry::Target(target) => match self.take_target(full, target) {
                Some(member) => return Some(member),
                None => &target.id,
            },
            Entry::Unreadable { id } => id,
            Entry::Nameless(_) => {
                tracing::warn!("discovery: an entry without an id is passed over");
                return None;
            }
        };
        tracing::warn!("discovery: the entry of {id} cannot be used, the target is taken for gone");
        Some(Member { host: self.ids.number(id), phase: Phase::Gone, ..Member::default() })
    }

    /// Takes a target in; none if its zone or kind is unknown.
    fn take_target(&mut self, full: bool, target: &Target) -> Option<Member> {
        let zone = self.names.zones.iter().position(|zone| *zone == target.zone)?;
        let kind = self.names.kinds.iter().position(|kind| *kind == target.kind)?;
        let host = self.ids.number(&target.id);
        let phase = match target.state {
            State::Ready => Phase::Serving,
            State::Terminating => Phase::Draining,
            State::Gone => Phase::Gone,
        };
        if !full {
            tracing::info!("discovery: {} is {:?}", target.id, target.state);
        }
        let (role, ready) = (self.settings.kinds[kind].role, phase == Phase::Serving);
        let site = Site { addr: target.addr, role, ready };
        self.core.upstream.pool().place(host, Some(site).filter(|_| phase != Phase::Gone));
        Some(Member {
            host,
            zone: ZoneId(zone),
            cell: CellId(target.cell),
            kind: KindId(kind),
            phase,
            started: self.starts.told(host, target.started_ms, self.heard.map(|heard| heard.elapsed())),
        })
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
                let list = whole_list(&mut body, self.patience).await?;
                self.take_list(&list);
                self.heard = Some(Instant::now());
                told.send_replace(true);
                list.version
            }
        };
        let mut body = get(addr, &format!("/api/targets?follow=1&since={version}"), self.patience).await?;
        let (mut reader, mut heard) = (ListReader::default(), Instant::now());
        while let Some(part) = piece(&mut body, self.silence).await.inspect_err(|fault| {
            *since = if matches!(fault, WatchError::Silent) { heard } else { Instant::now() };
        })? {
            heard = Instant::now();
            self.backoff.answered();
            for list in reader.push(&part)? {
                self.take_list(&list);
            }
            // A list that has only begun has told nothing.
            if reader.between_lists() {
                self.heard = Some(heard);
                told.send_replace(true);
            }
        }
        *since = Instant::now();
        Ok(())
    }
}

/// Reads an answer that holds one list.
async fn whole_list(body: &mut Incoming, patience: Duration) -> Result<TargetList, WatchError> {
    let mut reader = ListReader::default();
    while let Some(part) = piece(body, patience).await? {
        if let Some(list) = reader.push(&part)?.pop() {
            return Ok(list);
        }
    }
    Err(WatchError::Ended)
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
