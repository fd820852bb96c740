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

use crate::clock::Clock;
use crate::discovery::backoff::Backoff;
use crate::discovery::endpoint_list::{
    DiscoveredEndpoint, DiscoveryState, EndpointList, EndpointRecord, ListError, ListReader,
};
use crate::discovery::start_times::StartTimes;
use crate::routing_context::RoutingContext;
use crate::scheduler::*;
use crate::simulator::SettingNames;
use crate::upstream::connection_pool::EndpointAddress;

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
struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    taken: HashSet<EndpointId>,
}

impl EndpointIds {
    /// The same number for the same id at every router, whatever its order among the rest.
    fn number(&mut self, name: &str) -> EndpointId {
        if let Some(&endpoint) = self.by_name.get(name) {
            return endpoint;
        }
        let mut numbers = (0..).map(|seed| EndpointId(xxh3_64_with_seed(name.as_bytes(), seed) as u32));
        let endpoint = numbers.find(|number| !self.taken.contains(number)).unwrap_or_default();
        self.taken.insert(endpoint);
        self.by_name.insert(name.to_owned(), endpoint);
        endpoint
    }

    /// Forgets all for which `known` is false.
    fn retain(&mut self, known: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, endpoint| known(*endpoint));
        self.taken.retain(|endpoint| known(*endpoint));
    }
}

/// Takes lists in for a fleet: endpoints to its planner, addresses to its pool.
pub struct EndpointDirectory {
    core: RoutingContext,
    settings: Settings,
    names: SettingNames,
    starts: StartTimes,
    /// When all that discovery had was last known; none before it has been heard.
    heard: Option<Instant>,
    ids: EndpointIds,
    version: Option<u64>,
    backoff: Backoff,
    /// For discovery to answer a call.
    patience: Duration,
    /// Without a line, after which a watch is given up.
    silence: Duration,
}

impl EndpointDirectory {
    /// An empty directory.
    pub fn new(
        core: RoutingContext, settings: Settings, names: SettingNames, clock: Clock, seed: u64,
    ) -> Self {
        // An agent that is sent the list by itself answers at no cost; nobody else waits for it.
        let (sharing, patience, silence) = match settings.watch_endpoint_list {
            true => (settings.replicas, ANSWER, SILENCE),
            false => (1, AGENT_ANSWER, AGENT_SILENCE),
        };
        let backoff = Backoff::new(sharing, seed);
        let starts = StartTimes::new(clock);
        let ids = EndpointIds::default();
        EndpointDirectory {
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
    pub fn apply(&mut self, list: &EndpointList) {
        self.core.counters.lists.increment();
        self.version = Some(list.version);
        let members: Vec<_> =
            list.endpoints.iter().filter_map(|entry| self.take_entry(list.snapshot, entry)).collect();
        let gone: HashSet<_> =
            members.iter().filter(|m| m.lifecycle == Lifecycle::Removed).map(|m| m.endpoint).collect();
        let named: HashSet<_> =
            members.iter().map(|m| m.endpoint).filter(|endpoint| !gone.contains(endpoint)).collect();
        if list.snapshot || !gone.is_empty() {
            let known = |endpoint: &EndpointId| {
                if list.snapshot { named.contains(endpoint) } else { !gone.contains(endpoint) }
            };
            let pool = self.core.upstream.pool();
            pool.endpoints()
                .into_iter()
                .filter(|endpoint| !known(endpoint))
                .for_each(|endpoint| pool.set_address(endpoint, None));
            self.ids.retain(|endpoint| known(&endpoint));
            self.starts.retain(|endpoint| known(&endpoint));
        }
        self.core.scheduler.endpoints_changed(list.snapshot, members);
    }

    /// Takes one entry in. One that cannot be read tells nothing by which its target could be used.
    fn take_entry(&mut self, full: bool, entry: &EndpointRecord) -> Option<EndpointUpdate> {
        let id = match entry {
            EndpointRecord::Readable(target) => match self.take_target(full, target) {
                Some(member) => return Some(member),
                None => &target.id,
            },
            EndpointRecord::Unreadable { id } => id,
            EndpointRecord::Nameless(_) => {
                tracing::warn!("endpoint record without an id ignored");
                return None;
            }
        };
        tracing::warn!(endpoint = %id, "endpoint record is invalid, endpoint taken as removed");
        Some(EndpointUpdate {
            endpoint: self.ids.number(id),
            lifecycle: Lifecycle::Removed,
            ..EndpointUpdate::default()
        })
    }

    /// Takes a target in; none if its zone or kind is unknown.
    fn take_target(&mut self, full: bool, target: &DiscoveredEndpoint) -> Option<EndpointUpdate> {
        let zone = self.names.zones.iter().position(|zone| *zone == target.zone)?;
        let kind = self.names.kinds.iter().position(|kind| *kind == target.kind)?;
        let endpoint = self.ids.number(&target.id);
        let phase = match target.state {
            DiscoveryState::Ready => Lifecycle::Ready,
            DiscoveryState::Terminating => Lifecycle::Draining,
            DiscoveryState::Gone => Lifecycle::Removed,
        };
        if !full {
            tracing::info!(endpoint = %target.id, state = ?target.state, "endpoint state changed");
        }
        let (role, ready) = (self.settings.kinds[kind].role, phase == Lifecycle::Ready);
        let site = EndpointAddress { addr: target.addr, role, ready };
        self.core.upstream.pool().set_address(endpoint, Some(site).filter(|_| phase != Lifecycle::Removed));
        Some(EndpointUpdate {
            endpoint,
            zone: ZoneId(zone),
            cell: CellId(target.cell),
            kind: KindId(kind),
            lifecycle: phase,
            started_at: self.starts.resolve(
                endpoint,
                target.started_ms,
                self.heard.map(|heard| heard.elapsed()),
            ),
        })
    }

    /// Follows discovery for ever, wherever it is; `told` turns true when it has answered first. At a new address
    /// the whole list is asked for again: its versions may not go on from the old one's.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>, told: watch::Sender<bool>) {
        if self.version.is_some() {
            tokio::select! {
                () = sleep(self.backoff.initial_delay()) => {}
                Ok(()) = address.changed() => address.mark_changed(),
            }
        }
        loop {
            if address.has_changed().unwrap_or(false) {
                tracing::info!(address = %*address.borrow(), "discovery moved");
                self.version = None;
            }
            let addr = *address.borrow_and_update();
            self.core.counters.watches.increment();
            let mut since = Instant::now();
            let again;
            tokio::select! {
                ended = self.watch(addr, &told, &mut since) => {
                    let ended = ended.err().unwrap_or(WatchError::Ended);
                    self.core.scheduler.watch_failed();
                    again = since + self.backoff.next_delay();
                    let wait = again.saturating_duration_since(Instant::now());
                    tracing::warn!(reason = %ended, retry_in_ms = wait.as_millis(), "watch lost");
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
                self.apply(&list);
                self.heard = Some(Instant::now());
                told.send_replace(true);
                list.version
            }
        };
        let mut body = get(addr, &format!("/api/targets?follow=1&since={version}"), self.patience).await?;
        let (mut reader, mut heard) = (ListReader::default(), Instant::now());
        while let Some(part) = piece(&mut body, self.silence).await.inspect_err(|error| {
            *since = if matches!(error, WatchError::Silent) { heard } else { Instant::now() };
        })? {
            heard = Instant::now();
            self.backoff.reset();
            for list in reader.push(&part)? {
                self.apply(&list);
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
async fn whole_list(body: &mut Incoming, patience: Duration) -> Result<EndpointList, WatchError> {
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
