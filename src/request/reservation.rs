//! The KV cache reserved for one request at endpoints, and its release.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::scheduler::{Micros, Outcome};
use crate::upstream::exchange::Upstream;
use crate::upstream::release::release;

/// Longest time that the next prefill waits for the release of an earlier one. A release still in progress
/// after that is aborted: if it arrived late, it would free the new prefill's KV cache.
const RELEASE_BEFORE_PREFILL_TIMEOUT: Duration = Duration::from_millis(250);

/// How far a reservation may exceed its limit before it counts as a violation. The rules allow this much for
/// network delays.
const RESERVATION_LIMIT_TOLERANCE: Duration = Duration::from_millis(300);

/// The KV cache that may be reserved for one request.
///
/// A reservation starts when a prefill may have left a KV cache behind. It ends when a decode endpoint has
/// fetched the cache or its release has started. Its duration is measured from the end of the last attempt
/// that reached an endpoint, because the rules limit only the time for which a KV cache waits with no attempt
/// in flight.
pub(super) struct Reservation {
    upstream: Rc<Upstream>,
    request_id: Rc<str>,
    /// Since when a KV cache may have been waiting at an endpoint with no attempt in flight; `None` if there
    /// is no reservation.
    reserved_since: Option<Instant>,
    /// The last release that was started. It may have completed.
    release: Option<StartedRelease>,
}

/// A release that was started.
struct StartedRelease {
    task: JoinHandle<()>,
    /// Since when the KV cache to release may have been waiting.
    reserved_since: Instant,
}

impl Reservation {
    /// Creates an empty reservation.
    pub(super) fn new(upstream: Rc<Upstream>, request_id: Rc<str>) -> Self {
        Reservation { upstream, request_id, reserved_since: None, release: None }
    }

    /// Returns whether a KV cache may be reserved at an endpoint.
    pub(super) fn is_held(&self) -> bool {
        self.reserved_since.is_some()
    }

    /// Starts the reservation, or restarts its time.
    pub(super) fn start(&mut self) {
        self.reserved_since = Some(Instant::now());
    }

    /// Records an attempt that ended `elapsed` after it was sent. If it reached its endpoint, or probably
    /// did, the reservation's time restarts.
    pub(super) fn record_attempt(&mut self, outcome: Outcome, elapsed: Micros) {
        let Some(reserved_since) = self.reserved_since else { return };
        if outcome == Outcome::TimedOut {
            self.check_unanswered_attempt(reserved_since.elapsed());
            self.start();
        } else if outcome.reached_endpoint(elapsed) {
            self.start();
        }
    }

    /// Counts an unanswered attempt that ended after the reservation's limit. If its connection fell silent
    /// before the request arrived, the limit was exceeded.
    fn check_unanswered_attempt(&self, reserved: Duration) {
        let limit = self.upstream.max_reservation() + RESERVATION_LIMIT_TOLERANCE;
        if !self.upstream.has_reservations() || reserved <= limit {
            return;
        }
        self.upstream.counters().reservations_unanswered.increment();
        tracing::info!(
            request_id = %self.request_id,
            reserved_ms = reserved.as_millis(),
            "reservation was held beyond its limit for an attempt without an answer"
        );
    }

    /// Ends the reservation after a decode endpoint has fetched the KV cache.
    pub(super) fn mark_transferred(&mut self) {
        self.reserved_since = None;
    }

    /// Starts to release the reservation, if there is one, without waiting for completion.
    pub(super) fn release(&mut self) {
        let Some(reserved_since) = self.reserved_since.take() else { return };
        if !self.upstream.has_reservations() {
            return;
        }
        tracing::debug!(request_id = %self.request_id, "releasing reservation");
        let released =
            release_and_check_limit(self.upstream.clone(), self.request_id.clone(), reserved_since);
        self.release = Some(StartedRelease { task: spawn_local(released), reserved_since });
    }

    /// Releases the reservation of an earlier prefill and waits for completion.
    ///
    /// A `DELETE` frees everything reserved for the request, so one that arrived late would free the new
    /// prefill's KV cache. When this returns, the release is complete or its connection is closed.
    pub(super) async fn release_before_prefill(&mut self) {
        self.release();
        let Some(release) = &mut self.release else { return };
        if timeout(RELEASE_BEFORE_PREFILL_TIMEOUT, &mut release.task).await.is_err() {
            release.task.abort();
            // No endpoint has accepted the release, so the KV cache may have been waiting all the time.
            self.reserved_since = Some(release.reserved_since);
        }
        self.release = None;
    }

    /// Releases the reservation, if there is one, and waits for completion, however the request ended.
    pub(super) async fn finish(mut self) {
        self.release();
        if let Some(release) = self.release.take() {
            let _ = release.task.await;
        }
    }
}

/// Releases a reservation and counts a violation if it exceeded the limit.
async fn release_and_check_limit(upstream: Rc<Upstream>, request_id: Rc<str>, reserved_since: Instant) {
    release(upstream.clone(), request_id.clone()).await;
    let reserved = reserved_since.elapsed();
    if reserved > upstream.max_reservation() + RESERVATION_LIMIT_TOLERANCE {
        upstream.counters().violations_reservation_overrun.increment();
        tracing::error!(
            request_id = %request_id,
            reserved_ms = reserved.as_millis(),
            "violation: reservation held too long"
        );
    }
}
