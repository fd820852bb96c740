//! Releases everything reserved for a request at endpoints.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::scheduler::EndpointId;
use crate::upstream::control_call::CallConnection;
use crate::upstream::exchange::Upstream;

/// Time for an endpoint to accept the call before the next endpoint is called in parallel. Most of the
/// reservation limit has passed when the scheduler requests a release, so one silent endpoint must not use up
/// the rest.
const HEDGING_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for one endpoint to accept the call. Calls to several endpoints overlap, so it can be much
/// longer than the interval between them.
const RELEASE_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a release is abandoned. The reservation has far exceeded its limit by then.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// The result of a call to one endpoint.
struct CallResult {
    endpoint: EndpointId,
    accepted: bool,
}

/// The calls of one release. Dropping them closes their connections.
struct ReleaseCalls {
    upstream: Rc<Upstream>,
    request_id: Rc<str>,
    /// Whether a call was made.
    started: bool,
    in_flight: JoinSet<CallResult>,
    /// The endpoints that have not been called in this round.
    remaining: VecDeque<EndpointId>,
}

impl ReleaseCalls {
    fn new(upstream: Rc<Upstream>, request_id: Rc<str>) -> Self {
        ReleaseCalls {
            upstream,
            request_id,
            started: false,
            in_flight: JoinSet::new(),
            remaining: VecDeque::new(),
        }
    }

    /// Calls the next endpoint, in order of likelihood to respond. A new round starts after the last
    /// endpoint.
    ///
    /// After the first call, idle connections may have fallen silent, or new ones may not come up. Each endpoint
    /// is therefore called over a new connection and, if it has one, over an idle connection as well.
    fn call_next(&mut self) {
        if self.remaining.is_empty() {
            self.remaining = self.upstream.pool().endpoints_by_reachability().into();
        }
        let Some(endpoint) = self.remaining.pop_front() else { return };
        if self.started {
            self.call(endpoint, CallConnection::New);
        }
        if !self.started || self.upstream.pool().has_idle(endpoint) {
            self.call(endpoint, CallConnection::Pooled);
        }
        self.started = true;
    }

    fn call(&mut self, endpoint: EndpointId, connection: CallConnection) {
        tracing::debug!(request_id = %self.request_id, endpoint = endpoint.0, ?connection, "release call");
        let call = call_endpoint(self.upstream.clone(), endpoint, self.request_id.clone(), connection);
        self.in_flight.spawn_local(call);
    }

    /// Waits until `deadline` for the next call to end. Returns `None` if none does.
    async fn next_result(&mut self, deadline: Instant) -> Option<CallResult> {
        tokio::select! {
            Some(result) = self.in_flight.join_next() => result.ok(),
            () = sleep_until(deadline) => None,
        }
    }

    /// Returns whether no call is in flight although endpoints remain in this round.
    fn should_call_next(&self) -> bool {
        self.in_flight.is_empty() && !self.remaining.is_empty()
    }

    /// Waits until `deadline` for an endpoint to accept the call. Returns `None` earlier if the next endpoint
    /// should be called.
    async fn wait_for_acceptance(&mut self, deadline: Instant) -> Option<EndpointId> {
        while let Some(result) = self.next_result(deadline).await {
            if result.accepted {
                return Some(result.endpoint);
            }
            // There is a pause only between rounds.
            if self.should_call_next() {
                return None;
            }
        }
        None
    }
}

async fn call_endpoint(
    upstream: Rc<Upstream>, endpoint: EndpointId, request_id: Rc<str>, connection: CallConnection,
) -> CallResult {
    let release = upstream.release_at(endpoint, &request_id, connection);
    let accepted = timeout(RELEASE_CALL_TIMEOUT, release).await.unwrap_or(false);
    if !accepted {
        upstream.pool().invalidate(endpoint);
    }
    CallResult { endpoint, accepted }
}

/// Releases everything reserved for the request. Any one endpoint can accept the call for all of them, so
/// unreachable endpoints are skipped, and a silent one is hedged by calling the next.
pub async fn release(upstream: Rc<Upstream>, request_id: Rc<str>) {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let mut calls = ReleaseCalls::new(upstream, request_id);
    while Instant::now() < deadline {
        calls.call_next();
        let next_call_at = Instant::now() + HEDGING_DELAY;
        if let Some(endpoint) = calls.wait_for_acceptance(next_call_at).await {
            tracing::debug!(request_id = %calls.request_id, endpoint = endpoint.0, "reservation released");
            calls.upstream.counters().releases.increment();
            return;
        }
    }
    calls.upstream.counters().releases_failed.increment();
    tracing::warn!(request_id = %calls.request_id, "reservation not released: no endpoint accepted the call");
}
