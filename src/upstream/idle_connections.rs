//! The idle connections to one endpoint.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::connect::Connection;

/// Minimum idle time before a connection is reused. If the endpoint closes the connection right after a
/// response, or sends stray bytes after it, this is detected within that time.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(100);

/// Maximum number of idle connections per endpoint: sufficient for a typical burst to one endpoint, and far
/// below the pool's limit.
const MAX_IDLE_PER_ENDPOINT: usize = 24;

/// The idle connections to one endpoint, ordered by the time at which they became idle.
#[derive(Default)]
pub(super) struct IdleConnections(Vec<Connection>);

impl IdleConnections {
    /// Returns whether there are no idle connections.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns when the connection that has been idle longest became idle, if there is one.
    pub(super) fn oldest_idle_since(&self) -> Option<Instant> {
        self.0.first().map(Connection::last_used_at)
    }

    /// Adds a connection, which has been idle since its last use, unless it is closed or the maximum is
    /// reached.
    pub(super) fn keep(&mut self, connection: Connection) {
        if connection.is_closed() || self.0.len() >= MAX_IDLE_PER_ENDPOINT {
            return;
        }
        let position = self.0.partition_point(|idle| idle.last_used_at() <= connection.last_used_at());
        self.0.insert(position, connection);
    }

    /// Removes and returns the most recently used connection that has been idle for
    /// [`MIN_IDLE_BEFORE_REUSE`].
    pub(super) fn take_reusable(&mut self) -> Option<Connection> {
        let is_reusable = |idle: &Connection| idle.last_used_at().elapsed() >= MIN_IDLE_BEFORE_REUSE;
        let position = self.0.iter().rposition(is_reusable)?;
        Some(self.0.remove(position))
    }

    /// Closes the connection that has been idle longest.
    pub(super) fn close_oldest(&mut self) {
        if !self.0.is_empty() {
            self.0.remove(0);
        }
    }

    /// Closes connections that have been idle for `idle_timeout` or that the endpoint has closed.
    pub(super) fn evict(&mut self, idle_timeout: Duration) {
        self.0.retain(|idle| idle.last_used_at().elapsed() < idle_timeout && !idle.is_closed());
    }

    /// Closes all connections.
    pub(super) fn close_all(&mut self) {
        self.0.clear();
    }
}
