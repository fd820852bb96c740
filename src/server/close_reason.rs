//! The reasons under which closes of client connections are logged and counted.

use super::connection_state::ConnectionStage;
use crate::metrics::{Counter, Counters};

/// Why a client connection is closed. The log shows the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset the connection, or the last response was sent.
    Ended,
    /// The client closed the connection after bytes that are never read.
    ClosedBehindRequest,
    /// The idle timeout expired.
    Idle,
    /// The request head did not arrive in time.
    SlowHead,
    /// The connection was evicted in favor of another one.
    Room,
}

impl CloseReason {
    /// Returns the reason for closing a connection whose deadline expired in this stage.
    pub fn for_expired_deadline(stage: ConnectionStage) -> Self {
        match stage {
            ConnectionStage::Silent | ConnectionStage::Idle => CloseReason::Idle,
            _ => CloseReason::SlowHead,
        }
    }

    /// Returns whether the connection is closed without lingering. This is safe if no request that was read
    /// still needs a response and no response is being written: a request that arrives during the close stays
    /// unread, and its client can detect that.
    pub fn is_immediate(self) -> bool {
        matches!(self, CloseReason::Idle | CloseReason::Room)
    }

    /// Returns the counter for this reason.
    pub fn counter(self, counters: &Counters) -> &Counter {
        match self {
            CloseReason::Ended => &counters.closes_ended,
            CloseReason::ClosedBehindRequest => &counters.closes_unread_bytes,
            CloseReason::Idle => &counters.closes_idle,
            CloseReason::SlowHead => &counters.closes_slow_head,
            CloseReason::Room => &counters.closes_evicted,
        }
    }

    /// Counts and logs the close of a connection.
    pub fn record(self, counters: &Counters, connection: u64, stage: ConnectionStage) {
        self.counter(counters).increment();
        tracing::debug!(connection, %stage, reason = ?self, "client connection closed");
    }
}
