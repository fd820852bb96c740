//! Which client goes first when connections or memory run short.
//!
//! A request that was received completely and an answer in progress are never given up. Before that, a
//! connection goes the earlier, the less it has shown of a request, and the longer it has made no progress.

use std::time::Duration;

use tokio::time::Instant;

use super::connection_state::ConnectionStage;

/// Minimum age of a connection without any received bytes before it may be evicted; its first bytes may be in
/// transit.
const MIN_SILENT_AGE: Duration = Duration::from_millis(250);
/// Minimum time that a client must have had for an incomplete head before its connection may be evicted.
/// Clients send a head in one write, so one that takes longer is slow or stalled.
const MIN_PARTIAL_HEAD_AGE: Duration = Duration::from_millis(1_000);
/// Minimum time without further bytes of an incomplete body before its connection may be evicted.
const MIN_STALLED_BODY_AGE: Duration = Duration::from_millis(1_000);
/// Minimum time after the last response before a connection may be evicted. The client may still be reading
/// the response, which would be lost if the connection were closed with unread bytes.
const MIN_LINGERING_AGE: Duration = Duration::from_millis(250);
/// Time after a response in which the client is likely to send another request. Connections with an incomplete
/// request are evicted before one that has been idle for less.
const ACTIVE_IDLE_AGE: Duration = Duration::from_millis(1_000);
/// Time without further bytes after which a body counts as stalled where memory is short.
const BODY_PAUSE: Duration = Duration::from_millis(100);

/// What the eviction of a connection depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvictionCandidate {
    /// The stage of the connection.
    pub(super) stage: ConnectionStage,
    /// When the client's timer started.
    pub(super) timer_started: Instant,
    /// Time without further bytes of an incomplete body; `None` if no body is being read.
    pub(super) body_idle_time: Option<Duration>,
}

/// The order in which connections are evicted: lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The last response was sent.
    Lingering,
    /// Nothing was received.
    Silent,
    /// No request has come for some time.
    Idle,
    /// A head is incomplete.
    PartialHead,
    /// A body is incomplete.
    PartialBody,
    /// The last response was sent a moment ago.
    RecentlyActive,
}

/// The position of a connection in the order of evictions: the lowest one is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    rank: Rank,
    timer_started: Instant,
}

impl EvictionOrder {
    /// Returns whether the connection has served a request a moment ago.
    pub(super) fn is_recently_active(self) -> bool {
        self.rank == Rank::RecentlyActive
    }
}

impl EvictionCandidate {
    /// Returns the position of this connection, or `None` if it may not be evicted now.
    pub(super) fn order(&self) -> Option<EvictionOrder> {
        Some(EvictionOrder { rank: self.rank()?, timer_started: self.timer_started })
    }

    /// Returns whether the connection waits for its client without a complete request, so that it may be evicted
    /// soon if it goes on like that.
    pub(super) fn is_unproven(&self) -> bool {
        matches!(
            self.stage,
            ConnectionStage::Lingering
                | ConnectionStage::Silent
                | ConnectionStage::ReadingHead
                | ConnectionStage::ReadingBody
        )
    }

    fn rank(&self) -> Option<Rank> {
        let age = self.timer_started.elapsed();
        let (rank, is_eligible) = match self.stage {
            ConnectionStage::Lingering => (Rank::Lingering, age >= MIN_LINGERING_AGE),
            ConnectionStage::Silent => (Rank::Silent, age >= MIN_SILENT_AGE),
            ConnectionStage::Idle if age < ACTIVE_IDLE_AGE => (Rank::RecentlyActive, true),
            ConnectionStage::Idle => (Rank::Idle, true),
            ConnectionStage::ReadingHead => (Rank::PartialHead, age >= MIN_PARTIAL_HEAD_AGE),
            ConnectionStage::ReadingBody => {
                let is_stalled = self.body_idle_time.is_some_and(|time| time >= MIN_STALLED_BODY_AGE);
                (Rank::PartialBody, is_stalled)
            }
            ConnectionStage::InRequest | ConnectionStage::Flushing => return None,
        };
        is_eligible.then_some(rank)
    }
}

/// How much an incomplete body has a claim to its memory: the highest value is dropped first. Stalled bodies go
/// before others, and then large ones, so that what a few clients hold cannot crowd out many small bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BodyPressure {
    is_stalled: bool,
    size: usize,
    /// Among equal ones, the body that has waited longest goes first.
    idle_time: Duration,
}

impl BodyPressure {
    /// Creates the value for a body of this size, in bytes.
    pub(super) fn new(size: usize, idle_time: Duration) -> Self {
        BodyPressure { is_stalled: idle_time >= BODY_PAUSE, size, idle_time }
    }
}
