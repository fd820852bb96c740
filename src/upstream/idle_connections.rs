//! The idle connections to one endpoint.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::connect::Connection;

/// Time for which a connection must have been quiet before it is used again. A close right after a response,
/// or bytes behind it that belong to no request, have shown within this.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(100);

/// Most idle connections kept for each endpoint: enough for a usual burst to one endpoint, far below the
/// pool's limit.
const MAX_IDLE_PER_ENDPOINT: usize = 24;

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        self.since.elapsed() < idle_timeout && !self.connection.is_closed()
    }
}

/// The idle connections to one endpoint, in the order in which they became idle.
#[derive(Default)]
pub(super) struct IdleConnections(Vec<IdleConnection>);

impl IdleConnections {
    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Since when the connection that has been idle longest is idle.
    pub(super) fn oldest_since(&self) -> Option<Instant> {
        self.0.first().map(|idle| idle.since)
    }

    /// Keeps a connection that is idle since `now`, unless it is closed or there are enough.
    pub(super) fn keep(&mut self, connection: Connection, now: Instant) {
        if !connection.is_closed() && self.0.len() < MAX_IDLE_PER_ENDPOINT {
            self.0.push(IdleConnection { connection, since: now });
        }
    }

    /// Takes out the connection that became idle last among those that have settled and are idle for at most
    /// `max_idle`.
    pub(super) fn take_settled(&mut self, max_idle: Duration) -> Option<Connection> {
        let reusable = MIN_IDLE_BEFORE_REUSE..=max_idle;
        let position = self.0.iter().rposition(|idle| reusable.contains(&idle.since.elapsed()))?;
        Some(self.0.remove(position).connection)
    }

    /// Closes the connection that has been idle longest.
    pub(super) fn close_oldest(&mut self) {
        if !self.0.is_empty() {
            self.0.remove(0);
        }
    }

    /// Closes the connections that are idle for `idle_timeout` or that their endpoint has closed.
    pub(super) fn evict(&mut self, idle_timeout: Duration) {
        self.0.retain(|idle| idle.is_usable(idle_timeout));
    }

    /// Closes all of them.
    pub(super) fn close_all(&mut self) {
        self.0.clear();
    }
}
