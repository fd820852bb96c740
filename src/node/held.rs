//! What may be held for a request at the instances, and the release that is under way.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use super::attempt::Upstream;
use super::release::release;

/// For a release before the next read: a later one would let go of that read's state.
const RELEASE_FIRST: Duration = Duration::from_millis(250);

/// What may be held for one request.
pub struct HeldState {
    upstream: Rc<Upstream>,
    id: Rc<str>,
    /// Whether a state may wait at some instance.
    pub any: bool,
    under_way: Option<JoinHandle<()>>,
}

impl HeldState {
    /// Nothing is held yet.
    pub fn new(upstream: Rc<Upstream>, id: Rc<str>) -> Self {
        HeldState { upstream, id, any: false, under_way: None }
    }

    /// Starts to let go of all that is held.
    pub fn release(&mut self) {
        if std::mem::take(&mut self.any) && self.upstream.holds() {
            tracing::debug!("request {}: letting go of what is held", self.id);
            self.under_way = Some(spawn_local(release(self.upstream.clone(), self.id.clone())));
        }
    }

    /// Before a new read: a `DELETE` frees all that the request holds, so one that arrives late would free the
    /// new state. It is done, or its connection closed, before the read is sent.
    pub async fn settle(&mut self) {
        self.release();
        let Some(call) = &mut self.under_way else { return };
        if timeout(RELEASE_FIRST, &mut *call).await.is_err() {
            call.abort();
            self.any = true;
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
