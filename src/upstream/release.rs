//! Letting go of what is held for a request at the endpoints.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::scheduler::EndpointId;
use crate::upstream::exchange::Upstream;

/// For an endpoint to take the call before another one is asked beside it. The module has used most of the pin limit
/// when it asks, so a silent endpoint must not use up the rest.
const EACH: Duration = Duration::from_millis(50);
/// For an endpoint to take the call at all.
const CALL: Duration = Duration::from_millis(400);
/// After which a release is given up: what is held has been held far too long by then.
const GIVEN_UP: Duration = Duration::from_secs(3);

/// The calls of one release. Dropping them closes their connections.
struct Calls {
    upstream: Rc<Upstream>,
    id: Rc<str>,
    open: JoinSet<(EndpointId, bool)>,
    to_ask: VecDeque<EndpointId>,
}

impl Calls {
    /// Asks the next endpoint, the by_reachability to answer first; all of them again once each has been asked.
    fn ask_next(&mut self) {
        if self.to_ask.is_empty() {
            self.to_ask = self.upstream.pool().by_reachability().into();
        }
        let Some(endpoint) = self.to_ask.pop_front() else { return };
        let (upstream, id) = (self.upstream.clone(), self.id.clone());
        self.open.spawn_local(async move {
            let taken = timeout(CALL, upstream.release_at(endpoint, &id)).await.unwrap_or(false);
            if !taken {
                upstream.pool().invalidate(endpoint);
            }
            (endpoint, taken)
        });
    }

    /// Waits until an endpoint has taken the call, or has failed to; none if all are still open.
    async fn ended(&mut self, until: Instant) -> Option<(EndpointId, bool)> {
        tokio::select! {
            Some(ended) = self.open.join_next() => ended.ok(),
            () = sleep_until(until) => None,
        }
    }
}

/// Releases all that is held for the request. Any endpoint takes the call; one that cannot be reached is passed over,
/// and beside one that is silent the next is asked.
pub async fn release(upstream: Rc<Upstream>, id: Rc<str>) {
    let until = Instant::now() + GIVEN_UP;
    let mut calls = Calls { upstream, id, open: JoinSet::new(), to_ask: VecDeque::new() };
    while Instant::now() < until {
        calls.ask_next();
        let next = Instant::now() + EACH;
        while let Some((endpoint, taken)) = calls.ended(next).await {
            if taken {
                tracing::debug!(request_id = %calls.id, endpoint = endpoint.0, "reservation released");
                return calls.upstream.counters().releases.increment();
            }
            // Nobody is asked just now: the next one is at once, but for a pause between two rounds.
            if calls.open.is_empty() && !calls.to_ask.is_empty() {
                break;
            }
        }
    }
    calls.upstream.counters().releases_failed.increment();
    tracing::warn!(request_id = %calls.id, "reservation not released: no endpoint took the call");
}
