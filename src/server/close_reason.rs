//! Rules for when a client connection may be evicted, and the reasons under which closes are logged and
//! counted.

use std::time::Duration;

use super::connection_state::ConnectionStage;
use crate::metrics::{Counter, Counters};

/// Minimum age of a connection without any received bytes before it may be evicted; its first bytes may be in
/// transit.
const MIN_SILENT_AGE: Duration = Duration::from_millis(250);
/// Minimum time that a client must have had for an incomplete head before its connection may be evicted.
/// Clients send a head in one write, so one that takes longer is slow or stalled.
const MIN_PARTIAL_HEAD_AGE: Duration = Duration::from_millis(1_000);
/// Minimum time after the last response before a connection may be evicted. The client may still be reading
/// the response, which would be lost if the connection were closed with unread bytes.
const MIN_LINGERING_AGE: Duration = Duration::from_millis(250);

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

/// Returns whether a connection may be evicted, given its stage and the elapsed time of its client's timer.
pub fn is_evictable(stage: ConnectionStage, timer_elapsed: Duration) -> bool {
    match stage {
        ConnectionStage::Idle => true,
        ConnectionStage::Lingering => timer_elapsed >= MIN_LINGERING_AGE,
        ConnectionStage::Silent => timer_elapsed >= MIN_SILENT_AGE,
        ConnectionStage::ReadingHead => timer_elapsed >= MIN_PARTIAL_HEAD_AGE,
        ConnectionStage::InRequest | ConnectionStage::Flushing => false,
    }
}
