//! What may be held for a request at the endpoints, and the release that is under way.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::scheduler::{Micros, Outcome};
use crate::upstream::exchange::Upstream;
use crate::upstream::release::release;

/// For a release before the next read: a later one would let go of that read's state.
const RELEASE_FIRST: Duration = Duration::from_millis(250);
/// What the rules on sockets add to the time for which something may be held.
const SLACK: Duration = Duration::from_millis(300);

/// What may be held for one request.
pub struct Reservation {
    upstream: Rc<Upstream>,
    id: Rc<str>,
    /// Since when a state may wait at some endpoint with no attempt out; none while none does.
    waits_since: Option<Instant>,
    under_way: Option<JoinHandle<()>>,
}

impl Reservation {
    /// Nothing is held yet.
    pub fn new(upstream: Rc<Upstream>, id: Rc<str>) -> Self {
        Reservation { upstream, id, waits_since: None, under_way: None }
    }

    /// Whether a state may wait at some endpoint.
    pub fn any(&self) -> bool {
        self.waits_since.is_some()
    }

    /// A state may wait from now on.
    pub fn waits(&mut self) {
        self.waits_since = Some(Instant::now());
    }

    /// An attempt to send the state on has ended after so long: if it had arrived, the state waits from now on.
    pub fn tried(&mut self, outcome: Outcome, took: Micros) {
        if outcome.reached_endpoint(took) && self.any() {
            self.waits();
        }
    }

    /// An endpoint has taken the state.
    pub fn taken(&mut self) {
        self.waits_since = None;
    }

    /// Starts to let go of all that is held.
    pub fn release(&mut self) {
        let Some(since) = self.waits_since.take().filter(|_| self.upstream.has_reservations()) else {
            return;
        };
        tracing::debug!(request_id = %self.id, "releasing reservation");
        let (upstream, id) = (self.upstream.clone(), self.id.clone());
        self.under_way = Some(spawn_local(async move {
            release(upstream.clone(), id.clone()).await;
            let held = since.elapsed();
            if held > upstream.max_reservation() + SLACK {
                upstream.counters().violations_reservation_overrun.increment();
                tracing::error!(request_id = %id, reserved_ms = held.as_millis(), "violation: reservation held too long");
            }
        }));
    }

    /// Before a new read: a `DELETE` frees all that the request holds, so one that arrives late would free the
    /// new state. It is done, or its connection closed, before the read is sent.
    pub async fn settle(&mut self) {
        self.release();
        let Some(call) = &mut self.under_way else { return };
        if timeout(RELEASE_FIRST, &mut *call).await.is_err() {
            call.abort();
            self.waits();
        }
        self.under_way = None;
    }

    /// Lets go of all, whatever the order in which client and planner ended the request.
    pub async fn end(mut self) {
        self.release();
        if let Some(call) = self.under_way.take() {
            let _ = call.await;
        }
    }
}
