//! What may be held for a request at the instances, and the release that is under way.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout};

use super::attempt::Upstream;
use super::counters::add;
use super::release::release;
use crate::api::{Micros, Outcome};

/// For a release before the next read: a later one would let go of that read's state.
const RELEASE_FIRST: Duration = Duration::from_millis(250);
/// What the rules on sockets add to the time for which something may be held.
const SLACK: Duration = Duration::from_millis(300);

/// What may be held for one request.
pub struct HeldState {
    upstream: Rc<Upstream>,
    id: Rc<str>,
    /// Since when a state may wait at some instance with no attempt out; none while none does.
    waits_since: Option<Instant>,
    under_way: Option<JoinHandle<()>>,
}

impl HeldState {
    /// Nothing is held yet.
    pub fn new(upstream: Rc<Upstream>, id: Rc<str>) -> Self {
        HeldState { upstream, id, waits_since: None, under_way: None }
    }

    /// Whether a state may wait at some instance.
    pub fn any(&self) -> bool {
        self.waits_since.is_some()
    }

    /// A state may wait from now on.
    pub fn waits(&mut self) {
        self.waits_since = Some(Instant::now());
    }

    /// An attempt to send the state on has ended after so long: if it had arrived, the state waits from now on.
    pub fn tried(&mut self, outcome: Outcome, took: Micros) {
        if outcome.arrived(took) && self.any() {
            self.waits();
        }
    }

    /// An instance has taken the state.
    pub fn taken(&mut self) {
        self.waits_since = None;
    }

    /// Starts to let go of all that is held.
    pub fn release(&mut self) {
        let Some(since) = self.waits_since.take().filter(|_| self.upstream.holds()) else { return };
        tracing::debug!("request {}: letting go of what is held", self.id);
        let (upstream, id) = (self.upstream.clone(), self.id.clone());
        self.under_way = Some(spawn_local(async move {
            release(upstream.clone(), id.clone()).await;
            let held = since.elapsed();
            if held > upstream.held_most() + SLACK {
                add(&upstream.counters().violations_held_too_long);
                tracing::error!("violation: request {id}: a state was held for {} ms", held.as_millis());
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
