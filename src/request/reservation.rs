//! What may be reserved for one request at the endpoints, and the release of it that is in progress.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::scheduler::{Micros, Outcome};
use crate::upstream::exchange::Upstream;
use crate::upstream::release::release;

/// How long (250 ms) the next prefill waits for the release of an earlier one. A release that is still in
/// progress then is aborted, as it would free the new prefill's state when it arrives late.
const RELEASE_BEFORE_PREFILL_TIMEOUT: Duration = Duration::from_millis(250);

/// How far (300 ms) a reservation may exceed its limit before that counts as a violation. The rules allow
/// this much for sockets.
const RESERVATION_LIMIT_TOLERANCE: Duration = Duration::from_millis(300);

/// The KV cache state that may be reserved for one request.
///
/// A reservation starts when a prefill may have left state behind, and ends when a decode endpoint has
/// fetched the state or the release of it has started. Its time counts from the end of the last attempt that
/// had reached an endpoint, as the rules limit only the time for which state waits with no attempt in flight.
pub(super) struct Reservation {
    upstream: Rc<Upstream>,
    request_id: Rc<str>,
    /// Since when state may wait at some endpoint with no attempt in flight; none while there is none.
    reserved_since: Option<Instant>,
    /// The release in progress. It may have finished.
    release_task: Option<JoinHandle<()>>,
}

impl Reservation {
    /// Nothing is reserved yet.
    pub(super) fn new(upstream: Rc<Upstream>, request_id: Rc<str>) -> Self {
        Reservation { upstream, request_id, reserved_since: None, release_task: None }
    }

    /// Whether state may wait at some endpoint.
    pub(super) fn is_held(&self) -> bool {
        self.reserved_since.is_some()
    }

    /// State may wait from now on.
    pub(super) fn start(&mut self) {
        self.reserved_since = Some(Instant::now());
    }

    /// An attempt has ended `elapsed` after it was sent. If it had reached its endpoint, any state waits only
    /// from now on.
    pub(super) fn attempt_finished(&mut self, outcome: Outcome, elapsed: Micros) {
        if outcome.reached_endpoint(elapsed) && self.is_held() {
            self.start();
        }
    }

    /// A decode endpoint has fetched the state: nothing is reserved any more.
    pub(super) fn transferred(&mut self) {
        self.reserved_since = None;
    }

    /// Starts to release whatever is reserved, without waiting for it.
    pub(super) fn release(&mut self) {
        let Some(reserved_since) = self.reserved_since.take() else { return };
        if !self.upstream.has_reservations() {
            return;
        }
        tracing::debug!(request_id = %self.request_id, "releasing reservation");
        let released =
            release_and_check_limit(self.upstream.clone(), self.request_id.clone(), reserved_since);
        self.release_task = Some(spawn_local(released));
    }

    /// Releases whatever an earlier prefill has reserved, and waits for it.
    ///
    /// A `DELETE` frees everything that the request has reserved, so one that arrives late would free the new
    /// prefill's state. When this returns, the release is complete or its connection is closed.
    pub(super) async fn release_before_prefill(&mut self) {
        self.release();
        let Some(release_task) = &mut self.release_task else { return };
        if timeout(RELEASE_BEFORE_PREFILL_TIMEOUT, &mut *release_task).await.is_err() {
            release_task.abort();
            self.start();
        }
        self.release_task = None;
    }

    /// Releases whatever is still reserved and waits for it, however the request ended.
    pub(super) async fn finish(mut self) {
        self.release();
        if let Some(release_task) = self.release_task.take() {
            let _ = release_task.await;
        }
    }
}

/// Releases a reservation and counts one that lasted longer than the limit.
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
