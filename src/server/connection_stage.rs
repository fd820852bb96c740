//! Stages of a client connection and their deadlines.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use tokio::time::Instant;

/// Time for a client to send a head, and the idle timeout between requests. A connection without an open
/// request may be closed after 2 s, and must be closed within 3 s if its client sends nothing.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Minimum time for a head from its first byte, regardless of how long the client was idle before. Long
/// enough for a head that arrives just before the timeout, and short enough to close within 3 s.
const MIN_HEAD_TIME: Duration = Duration::from_millis(300);
/// Stage of a client connection.
///
/// ```text
/// Silent --first byte--> ReadingHead --head parsed--> ReadingBody --end of body--> InRequest
///                             ^                            |                           |
///                             |                            +----response produced------+--> Flushing
///                             +------first byte-------- Idle <--------response written--------+
/// ```
///
/// Any stage changes to `Lingering` when hyper has finished with the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// The last response was sent and the client has not closed the connection yet.
    Lingering,
    /// No byte has been received yet.
    Silent,
    /// All requests have been answered.
    Idle,
    /// Part of a head has been received.
    ReadingHead,
    /// The body of a request is arriving.
    ReadingBody,
    /// A request is being processed.
    InRequest,
    /// The response is complete but may not be fully written.
    Flushing,
}

/// The stage names in the log, which operators search for.
impl Display for ConnectionStage {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ConnectionStage::Lingering => "Leaving",
            ConnectionStage::Silent => "Silent",
            ConnectionStage::Idle => "Idle",
            ConnectionStage::ReadingHead => "Begun",
            ConnectionStage::ReadingBody => "Reading",
            ConnectionStage::InRequest => "Open",
            ConnectionStage::Flushing => "Answered",
        })
    }
}

/// A stage and the times that determine its deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageEntry {
    pub(super) stage: ConnectionStage,
    /// When the client's timer started: when the client could have started to send its request, or when the
    /// stage was entered.
    pub(super) timer_started: Instant,
    pub(super) entered: Instant,
}

impl StageEntry {
    /// Creates an entry for a stage that begins now and restarts the client's timer.
    pub(super) fn now(stage: ConnectionStage) -> Self {
        let now = Instant::now();
        StageEntry { stage, timer_started: now, entered: now }
    }

    /// Returns when a client that has not sent a complete head is disconnected.
    pub(super) fn deadline(&self) -> Option<Instant> {
        let head_deadline = self.timer_started + HEAD_TIMEOUT;
        match self.stage {
            ConnectionStage::Silent | ConnectionStage::Idle => Some(head_deadline),
            ConnectionStage::ReadingHead => Some(head_deadline.max(self.entered + MIN_HEAD_TIME)),
            ConnectionStage::Lingering
            | ConnectionStage::ReadingBody
            | ConnectionStage::InRequest
            | ConnectionStage::Flushing => None,
        }
    }
}
