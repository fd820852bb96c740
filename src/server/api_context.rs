//! Request handling shared by both APIs: reading bodies, shedding load and spawning request tasks.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::client_body::ClientBody;
use super::connection_limits::ConnectionLimiter;
use super::connection_state::RequestArrival;
use super::handler::ServerResponse;
use super::memory_budget::MemoryLease;
use super::request_body::{BodyError, BodyUse, ReceivedBody, read_body};
use super::response::set_connection_close;
use crate::metrics::{Counter, Counters};
use crate::request::{AllocatedPayload, Execution, Responder, RoutedResponse, run_request};
use crate::routing_context::RoutingContext;
use crate::scheduler::{Micros, RequestSpec};
use crate::shutdown::Shutdown;
use crate::upstream::exchange::RequestPayload;

/// Upper bound in microseconds on the `Retry-After` of a shed request. Connections open and close within a
/// second, so waiting longer does not help.
const MAX_SHED_RETRY_AFTER: Micros = 1_000_000;

/// Why a request was shed before it reached the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShedReason {
    /// The request did not fit into the memory for clients.
    Memory,
    /// More clients are connected than the limit allows.
    Connections,
    /// The process is about to exit.
    Shutdown,
}

impl ShedReason {
    fn counter(self, counters: &Counters) -> &Counter {
        match self {
            ShedReason::Memory => &counters.shed_memory,
            ShedReason::Connections => &counters.shed_connections,
            ShedReason::Shutdown => &counters.shed_shutdown,
        }
    }
}

/// State shared by the request handlers of one API.
#[derive(Clone)]
pub(super) struct ApiContext {
    routing: RoutingContext,
    limiter: Rc<ConnectionLimiter>,
    shutdown: Shutdown,
    /// Longest `Retry-After` that clients honor, in microseconds. `None` omits the header.
    max_retry_after: Option<Micros>,
}

impl ApiContext {
    pub(super) fn new(
        routing: RoutingContext, limiter: Rc<ConnectionLimiter>, shutdown: Shutdown,
        max_retry_after: Option<Micros>,
    ) -> Self {
        ApiContext { routing, limiter, shutdown, max_retry_after }
    }

    /// Returns the counters of this API.
    pub(super) fn counters(&self) -> &Rc<Counters> {
        &self.routing.counters
    }

    /// Leases the memory of a request that has just been read, and that arrived in this way.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request must be shed.
    pub(super) fn admit(&self, arrival: RequestArrival) -> Result<MemoryLease, ShedReason> {
        if self.shutdown.rejects_requests() {
            return Err(ShedReason::Shutdown);
        }
        if self.exceeds_limit(arrival) {
            return Err(ShedReason::Connections);
        }
        self.limiter.reserve_request().ok_or(ShedReason::Memory)
    }

    /// Counts and logs a shed request and returns the `Retry-After` for its client. The request never reached
    /// the scheduler, so it is safe to retry.
    pub(super) fn record_shed(&self, reason: ShedReason) -> Option<Micros> {
        self.counters().shed.increment();
        reason.counter(self.counters()).increment();
        tracing::debug!(?reason, "request shed");
        self.max_retry_after.map(|limit| limit.min(MAX_SHED_RETRY_AFTER))
    }

    /// Closes the connection after this response if its client should connect to another replica: during
    /// shutdown, or if the connection exceeds the limit.
    pub(super) fn close_if_draining_or_over_limit(
        &self, arrival: RequestArrival, response: &mut ServerResponse,
    ) {
        if self.shutdown.has_started() || self.exceeds_limit(arrival) {
            set_connection_close(response);
        }
    }

    /// Returns whether more clients are connected than the limit allows and the request's connection is one of
    /// those beyond it.
    fn exceeds_limit(&self, arrival: RequestArrival) -> bool {
        arrival.beyond_limit && self.limiter.over_limit()
    }

    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// See [`read_body`].
    pub(super) async fn read_body(
        &self, body: ClientBody, earliest_start: Instant, body_use: BodyUse,
    ) -> Result<ReceivedBody, BodyError> {
        read_body(body, earliest_start, body_use, &self.limiter).await
    }

    /// Spawns the task of a request and returns the receiver of its response. The request gets its own task
    /// because the handler's future is dropped when the client disconnects, while the request must still be
    /// cancelled and its reservation released.
    pub(super) fn start_request<G: RequestGuard>(
        &self, request: AdmittedRequest<G>,
    ) -> oneshot::Receiver<RoutedResponse> {
        let (responder, response) = Responder::new();
        let routing = self.routing.clone();
        let shutdown_guard = self.shutdown.guard();
        let AdmittedRequest { spec, payload, body_lease, lease, mut guard } = request;
        let allocated = AllocatedPayload { payload, allocation: body_lease };
        spawn_local(async move {
            guard.record_execution(run_request(routing, spec, allocated, responder).await);
            drop(guard);
            drop(lease);
            drop(shutdown_guard);
        });
        response
    }
}

/// What an API holds while a request is open. Dropped when the request ends.
pub(super) trait RequestGuard: 'static {
    /// Records, before the drop, whether the request may have been executed.
    fn record_execution(&mut self, execution: Execution);
}

impl RequestGuard for () {
    fn record_execution(&mut self, _: Execution) {}
}

/// A request that an API has read and accepted.
pub(super) struct AdmittedRequest<G> {
    /// Input of the scheduler's decisions.
    pub(super) spec: RequestSpec,
    /// Data sent to endpoints.
    pub(super) payload: RequestPayload,
    /// The memory of the request body.
    pub(super) body_lease: MemoryLease,
    /// The memory of the request itself.
    pub(super) lease: MemoryLease,
    /// Dropped when the request ends.
    pub(super) guard: G,
}
