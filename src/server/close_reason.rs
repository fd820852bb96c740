//! Closing a client's connection: the one place that decides when that may be, and the reasons that are
//! logged and counted for each close.

use std::time::Duration;

use super::connection_state::ConnectionStage;
use crate::metrics::{Counter, Counters};

/// Least age at which a connection without any bytes may be evicted: its first bytes may be on their way.
const MIN_SILENT_AGE: Duration = Duration::from_millis(250);
/// Least time since its head could have begun after which a connection with a part of a head may be evicted:
/// a client sends a head in one go, so one that takes this long is slow or stalled.
const MIN_PARTIAL_HEAD_AGE: Duration = Duration::from_millis(1_000);
/// Least time after its last response after which a connection may be evicted: the client may still be
/// reading that response, which a close over unread bytes would destroy.
const MIN_LINGERING_AGE: Duration = Duration::from_millis(250);

/// Why a client's connection is closed. The log has the variants by their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its client closed or broke it, or it has had its last response.
    Ended,
    /// Its client closed it behind bytes that are never read.
    ClosedBehindRequest,
    /// It was idle for too long.
    Idle,
    /// A request's head took too long.
    SlowHead,
    /// It was evicted for another connection.
    Room,
}

impl CloseReason {
    /// The reason for the close of a connection whose deadline passed in this stage.
    pub fn overdue(stage: ConnectionStage) -> Self {
        match stage {
            ConnectionStage::Silent | ConnectionStage::Idle => CloseReason::Idle,
            _ => CloseReason::SlowHead,
        }
    }

    /// Whether the connection is closed without lingering. That is safe where nothing that is owed a response
    /// has been read and no response is on its way: a request that crosses the close stays unread, and its
    /// client sees that.
    pub fn is_immediate(self) -> bool {
        matches!(self, CloseReason::Idle | CloseReason::Room)
    }

    /// The counter of such closes.
    pub fn counter(self, counters: &Counters) -> &Counter {
        match self {
            CloseReason::Ended => &counters.closes_ended,
            CloseReason::ClosedBehindRequest => &counters.closes_unread_bytes,
            CloseReason::Idle => &counters.closes_idle,
            CloseReason::SlowHead => &counters.closes_slow_head,
            CloseReason::Room => &counters.closes_evicted,
        }
    }

    /// Counts and logs the close of the connection with this number.
    pub fn record(self, counters: &Counters, connection: u64, stage: ConnectionStage) {
        self.counter(counters).increment();
        tracing::debug!(connection, %stage, reason = ?self, "client connection closed");
    }
}

/// Whether a connection whose client has used so much time in this stage may be evicted for another one.
pub fn may_be_evicted(stage: ConnectionStage, time_used: Duration) -> bool {
    match stage {
        ConnectionStage::Idle => true,
        ConnectionStage::Lingering => time_used >= MIN_LINGERING_AGE,
        ConnectionStage::Silent => time_used >= MIN_SILENT_AGE,
        ConnectionStage::ReadingHead => time_used >= MIN_PARTIAL_HEAD_AGE,
        ConnectionStage::InRequest | ConnectionStage::Flushing => false,
    }
}
