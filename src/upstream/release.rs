//! Releasing what is reserved for a request at the endpoints.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::scheduler::EndpointId;
use crate::upstream::exchange::Upstream;

/// Time for an endpoint to accept the call before the next endpoint is called beside it. The scheduler has
/// used most of the reservation limit when it orders a release, so a silent endpoint must not use up what
/// remains.
const NEXT_ENDPOINT_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for one endpoint to accept the call. Calls to several endpoints overlap, so it may be far
/// longer than the interval between them.
const RELEASE_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a release is abandoned: the reservation has exceeded its limit by far by then.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// How one call ended.
struct CallResult {
    endpoint: EndpointId,
    accepted: bool,
}

/// The calls of one release. Dropping them closes their connections.
struct ReleaseCalls {
    upstream: Rc<Upstream>,
    request_id: Rc<str>,
    in_flight: JoinSet<CallResult>,
    /// The endpoints still to be called in this round.
    remaining: VecDeque<EndpointId>,
}

impl ReleaseCalls {
    fn new(upstream: Rc<Upstream>, request_id: Rc<str>) -> Self {
        ReleaseCalls { upstream, request_id, in_flight: JoinSet::new(), remaining: VecDeque::new() }
    }

    /// Calls the next endpoint, the likeliest to respond first; after the last one a new round begins.
    fn call_next(&mut self) {
        if self.remaining.is_empty() {
            self.remaining = self.upstream.pool().by_reachability().into();
        }
        let Some(endpoint) = self.remaining.pop_front() else { return };
        self.in_flight.spawn_local(call(self.upstream.clone(), endpoint, self.request_id.clone()));
    }

    /// Waits until `deadline` for the next call to end; none if none has by then.
    async fn next_result(&mut self, deadline: Instant) -> Option<CallResult> {
        tokio::select! {
            Some(result) = self.in_flight.join_next() => result.ok(),
            () = sleep_until(deadline) => None,
        }
    }

    /// Whether no call is in flight although the round is not over.
    fn can_proceed_at_once(&self) -> bool {
        self.in_flight.is_empty() && !self.remaining.is_empty()
    }

    /// Waits until `deadline`, or until the next endpoint should be called, for an endpoint to accept the
    /// call.
    async fn accepted_by(&mut self, deadline: Instant) -> Option<EndpointId> {
        while let Some(result) = self.next_result(deadline).await {
            if result.accepted {
                return Some(result.endpoint);
            }
            // A pause follows only between two rounds.
            if self.can_proceed_at_once() {
                return None;
            }
        }
        None
    }
}

async fn call(upstream: Rc<Upstream>, endpoint: EndpointId, request_id: Rc<str>) -> CallResult {
    let release = upstream.release_at(endpoint, &request_id);
    let accepted = timeout(RELEASE_CALL_TIMEOUT, release).await.unwrap_or(false);
    if !accepted {
        upstream.pool().invalidate(endpoint);
    }
    CallResult { endpoint, accepted }
}

/// Releases all that is reserved for the request. Any endpoint accepts the call for all of them: one that
/// cannot be reached is passed over, and beside one that is silent the next is called.
pub async fn release(upstream: Rc<Upstream>, request_id: Rc<str>) {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let mut calls = ReleaseCalls::new(upstream, request_id);
    while Instant::now() < deadline {
        calls.call_next();
        let next_call_at = Instant::now() + NEXT_ENDPOINT_INTERVAL;
        if let Some(endpoint) = calls.accepted_by(next_call_at).await {
            tracing::debug!(request_id = %calls.request_id, endpoint = endpoint.0, "reservation released");
            calls.upstream.counters().releases.increment();
            return;
        }
    }
    calls.upstream.counters().releases_failed.increment();
    tracing::warn!(request_id = %calls.request_id, "reservation not released: no endpoint took the call");
}
