//! Keeps a watch on discovery open: fetches a snapshot if necessary, streams deltas, and reconnects when the
//! watch is lost.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::discovery::backoff::Backoff;
use crate::discovery::client::{WatchError, fetch_snapshot, next_chunk, open_watch};
use crate::discovery::directory::EndpointDirectory;
use crate::discovery::endpoint_list::ListReader;
use crate::scheduler::Settings;

/// Maximum silence on a watch of a shared discovery service, which sends an empty line every 2 s. An endpoint
/// change must be applied within 6 s, so the watch has to be replaced well before that.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Maximum silence on a watch of an agent that serves only this replica. Reconnecting costs the agent
/// nothing, so the timeout is short enough to replace even a second silent watch within the 6 s limit for an
/// endpoint change.
const AGENT_WATCH_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Timeout for a shared discovery service to accept and answer a call. It queues calls, rejects those queued
/// for too long, and keeps working on calls that were abandoned earlier. Retrying sooner would only lengthen
/// the queue.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout for an agent that serves only this replica to accept and answer a call. It answers immediately or
/// is down.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A watch that was lost, or could not be opened.
struct LostWatch {
    error: WatchError,
    /// Time from which changes may have been missed. The delay before the next watch starts here.
    since: Instant,
}

/// The discovery watch of one replica.
pub struct EndpointWatch {
    directory: EndpointDirectory,
    backoff: Backoff,
    /// Timeout for discovery to answer a call.
    response_timeout: Duration,
    /// Maximum silence on an open watch.
    watch_timeout: Duration,
    /// Becomes true once discovery has answered with its current state.
    discovery_answered: watch::Sender<bool>,
}

impl EndpointWatch {
    /// Creates a watch that applies lists to `directory`. It is opened by [`run`](Self::run). Each replica
    /// needs its own `seed`.
    pub fn new(
        directory: EndpointDirectory, settings: &Settings, seed: u64, discovery_answered: watch::Sender<bool>,
    ) -> Self {
        if settings.watch_endpoint_list {
            EndpointWatch {
                directory,
                backoff: Backoff::new(settings.replicas, seed),
                response_timeout: RESPONSE_TIMEOUT,
                watch_timeout: WATCH_TIMEOUT,
                discovery_answered,
            }
        } else {
            // In push mode, discovery is an agent that serves only this replica, so no other replica competes
            // for it.
            EndpointWatch {
                directory,
                backoff: Backoff::new(1, seed),
                response_timeout: AGENT_RESPONSE_TIMEOUT,
                watch_timeout: AGENT_WATCH_TIMEOUT,
                discovery_answered,
            }
        }
    }

    /// Runs the watch indefinitely. When the discovery address changes, the watch is reopened there at once,
    /// starting with a snapshot.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        if self.directory.version().is_some() {
            tokio::select! {
                () = sleep(self.backoff.initial_delay()) => {}
                Ok(()) = address.changed() => address.mark_changed(),
            }
        }
        loop {
            if address.has_changed().unwrap_or(false) {
                tracing::info!(address = %*address.borrow(), "discovery moved");
                self.directory.clear_version();
            }
            let current = *address.borrow_and_update();
            let retry_at;
            tokio::select! {
                lost = self.watch_until_lost(current) => retry_at = self.schedule_retry(&lost),
                Ok(()) = address.changed() => {
                    address.mark_changed();
                    continue;
                }
            }
            tokio::select! {
                () = sleep_until(retry_at) => {}
                Ok(()) = address.changed() => address.mark_changed(),
            }
        }
    }

    /// Reports a lost watch and returns the time to open the next one.
    fn schedule_retry(&mut self, lost: &LostWatch) -> Instant {
        self.directory.context().scheduler.report_watch_failure();
        let retry_at = lost.since + self.backoff.next_delay();
        let wait = retry_at.saturating_duration_since(Instant::now());
        tracing::warn!(reason = %lost.error, retry_in_ms = wait.as_millis(), "watch lost");
        retry_at
    }

    /// Opens a watch and applies its lists until it is lost.
    async fn watch_until_lost(&mut self, address: SocketAddr) -> LostWatch {
        self.directory.context().counters.watches_opened.increment();
        let started_at = Instant::now();
        match self.open(address).await {
            Ok(body) => self.apply_deltas(body, started_at).await,
            Err(error) => LostWatch { error, since: started_at },
        }
    }

    /// Opens a watch, after fetching a snapshot if no list has been applied yet. An endpoint list from the
    /// configuration is sufficient even if outdated, as the watch starts with the changes since then. The
    /// cost of a snapshot grows with the number of endpoints, so a fleet that starts at once and fetches one
    /// per replica would overload discovery.
    async fn open(&mut self, address: SocketAddr) -> Result<Incoming, WatchError> {
        let version = match self.directory.version() {
            Some(version) => version,
            None => {
                let snapshot = fetch_snapshot(address, self.response_timeout).await?;
                self.directory.apply(&snapshot);
                self.mark_synced(Instant::now());
                snapshot.version
            }
        };
        open_watch(address, version, self.response_timeout).await
    }

    /// Applies the lists of an open watch until it is lost. A silent watch counts as lost since its last
    /// chunk.
    async fn apply_deltas(&mut self, mut body: Incoming, started_at: Instant) -> LostWatch {
        let mut reader = ListReader::default();
        let mut last_chunk_at = Instant::now();
        loop {
            let chunk = match next_chunk(&mut body, self.watch_timeout).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return LostWatch { error: WatchError::Ended, since: Instant::now() },
                Err(WatchError::TimedOut) => {
                    return LostWatch { error: WatchError::TimedOut, since: last_chunk_at };
                }
                Err(error) => return LostWatch { error, since: Instant::now() },
            };
            last_chunk_at = Instant::now();
            self.backoff.reset();
            let lists = match reader.push(&chunk) {
                Ok(lists) => lists,
                Err(error) => return LostWatch { error: error.into(), since: started_at },
            };
            for list in &lists {
                self.directory.apply(list);
            }
            // While a list is incomplete, later changes may still be unknown.
            if reader.between_lists() {
                self.mark_synced(last_chunk_at);
            }
        }
    }

    /// Records that all changes published by discovery up to this time have been applied.
    fn mark_synced(&mut self, at: Instant) {
        self.directory.mark_synced(at);
        self.discovery_answered.send_replace(true);
    }
}
