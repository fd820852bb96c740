//! The one place that decides whether a client's connection may be closed now, and the reasons that are logged and
//! counted for each close.

use std::time::Duration;

use super::connection_state::ConnectionStage;
use crate::metrics::{Counter, Counters};

/// For a connection that has said nothing before it may make room: its first bytes may be on their way.
const SILENT_LEAST: Duration = Duration::from_millis(250);
/// The same for one that has begun a head.
const BEGUN_LEAST: Duration = Duration::from_millis(1_000);
/// For a client to read its last answer, which a close over unread bytes would destroy.
const LEAVING_LEAST: Duration = Duration::from_millis(250);

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its client closed it or broke it off, or it has its last answer.
    Ended,
    /// Its client closed it behind bytes that nobody reads.
    ClosedBehindRequest,
    /// It stood idle for too long.
    Idle,
    /// Its head took too long.
    SlowHead,
    /// It made room for others.
    Room,
}

impl CloseReason {
    /// The reason for which a connection at this stage is closed when its time is up.
    pub fn overdue(stage: ConnectionStage) -> Self {
        match stage {
            ConnectionStage::Silent | ConnectionStage::Idle => CloseReason::Idle,
            _ => CloseReason::SlowHead,
        }
    }

    /// Whether nothing has been read that is owed an answer, and no answer is on its way: the connection can be closed
    /// at once, and what crosses the close stays unread.
    pub fn at_once(self) -> bool {
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

    /// Counts and logs a close.
    pub fn record(self, counters: &Counters, connection: u64, stage: ConnectionStage) {
        self.counter(counters).increment();
        tracing::debug!(connection, ?stage, reason = ?self, "client connection closed");
    }
}

/// Whether a connection that has been at a stage for so long may be closed to make room for others.
pub fn may_make_room(stage: ConnectionStage, age: Duration) -> bool {
    match stage {
        ConnectionStage::Idle => true,
        ConnectionStage::Leaving => age >= LEAVING_LEAST,
        ConnectionStage::Silent => age >= SILENT_LEAST,
        ConnectionStage::Begun => age >= BEGUN_LEAST,
        ConnectionStage::Open | ConnectionStage::Answered => false,
    }
}
