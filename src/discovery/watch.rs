//! Keeps a watch on discovery open: a snapshot where one is needed, then a stream of deltas, again after each
//! loss.

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

/// Silence after which a watch on a shared discovery service is lost; it sends an empty line every 2 s. An
/// endpoint change must be applied within 6 s, so a new watch has to be open well before that.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Silence after which a watch on an agent of this replica alone is lost. A new call costs the agent nothing,
/// so this is short enough that even a second watch that stays silent is replaced within the 6 s for an
/// endpoint change.
const AGENT_WATCH_TIMEOUT: Duration = Duration::from_millis(2_600);
/// For a shared discovery service to accept a call and to answer it. Calls queue there and are rejected once
/// they have waited too long: work on a call that is abandoned earlier goes on, and the next call only
/// lengthens the queue.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// For an agent of this replica alone to accept a call and to answer it: it answers at once, or not until it
/// is back.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How one watch was lost.
struct LostWatch {
    error: WatchError,
    /// From when on changes may have been missed; the delay before the next watch counts from here.
    since: Instant,
}

/// The watch on discovery of one replica.
pub struct EndpointWatch {
    directory: EndpointDirectory,
    backoff: Backoff,
    /// For discovery to answer a call.
    response_timeout: Duration,
    /// For the next line of an open watch to arrive.
    watch_timeout: Duration,
    /// Turns true once discovery has answered with what it knows.
    notified: watch::Sender<bool>,
}

impl EndpointWatch {
    /// A watch that is not open yet and will apply what it reads to the directory; `seed` is this replica's
    /// own.
    pub fn new(
        directory: EndpointDirectory, settings: &Settings, seed: u64, notified: watch::Sender<bool>,
    ) -> Self {
        if settings.watch_endpoint_list {
            EndpointWatch {
                directory,
                backoff: Backoff::new(settings.replicas, seed),
                response_timeout: RESPONSE_TIMEOUT,
                watch_timeout: WATCH_TIMEOUT,
                notified,
            }
        } else {
            // An agent that is sent the list serves this replica alone: no other one waits for its answers.
            EndpointWatch {
                directory,
                backoff: Backoff::new(1, seed),
                response_timeout: AGENT_RESPONSE_TIMEOUT,
                watch_timeout: AGENT_WATCH_TIMEOUT,
                notified,
            }
        }
    }

    /// Watches discovery for ever, at whatever address it has. A new address takes effect at once, and the
    /// watch there begins with a snapshot.
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
                self.directory.forget_version();
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

    /// Reports a lost watch and gives the time of the next one.
    fn schedule_retry(&mut self, lost: &LostWatch) -> Instant {
        self.directory.context().scheduler.report_watch_failure();
        let retry_at = lost.since + self.backoff.next_delay();
        let wait = retry_at.saturating_duration_since(Instant::now());
        tracing::warn!(reason = %lost.error, retry_in_ms = wait.as_millis(), "watch lost");
        retry_at
    }

    /// Opens one watch and applies what it brings until it is lost.
    async fn watch_until_lost(&mut self, address: SocketAddr) -> LostWatch {
        self.directory.context().counters.watches_opened.increment();
        let started_at = Instant::now();
        match self.open(address).await {
            Ok(body) => self.apply_deltas(body, started_at).await,
            Err(error) => LostWatch { error, since: started_at },
        }
    }

    /// Opens a watch, after a snapshot if no list has been applied yet. The list that came with the
    /// configuration will do, although it may be old: the watch begins with what it has missed. Discovery's
    /// work for a snapshot grows with the number of endpoints, so a fleet that started together and fetched
    /// one each would overload it.
    async fn open(&mut self, address: SocketAddr) -> Result<Incoming, WatchError> {
        let version = match self.directory.version() {
            Some(version) => version,
            None => {
                let snapshot = fetch_snapshot(address, self.response_timeout).await?;
                self.directory.apply(&snapshot);
                self.mark_current(Instant::now());
                snapshot.version
            }
        };
        open_watch(address, version, self.response_timeout).await
    }

    /// Applies the lists of an open watch until it is lost. A watch that falls silent is taken as lost since
    /// the last thing that arrived on it.
    async fn apply_deltas(&mut self, mut body: Incoming, started_at: Instant) -> LostWatch {
        let mut reader = ListReader::default();
        let mut last_chunk_at = Instant::now();
        loop {
            let chunk = match next_chunk(&mut body, self.watch_timeout).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return LostWatch { error: WatchError::Ended, since: Instant::now() },
                Err(WatchError::Silent) => {
                    return LostWatch { error: WatchError::Silent, since: last_chunk_at };
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
            // A list that has only begun says nothing yet.
            if reader.between_lists() {
                self.mark_current(last_chunk_at);
            }
        }
    }

    /// Records that everything that discovery had published at that time has been applied.
    fn mark_current(&mut self, at: Instant) {
        self.directory.mark_current(at);
        self.notified.send_replace(true);
    }
}
