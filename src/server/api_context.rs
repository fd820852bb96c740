//! What both APIs do alike with a request: reading its body, load shedding, and the start of its task.

use std::rc::Rc;

use hyper::Request;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::connection_limits::{BodyAllocation, ConnectionLimiter};
use super::connection_state::RequestArrival;
use super::handler::ServerResponse;
use super::request_body::{BodyError, BodyUse, ReceivedBody, read_body};
use super::response::set_connection_close;
use crate::metrics::Counters;
use crate::request::{AllocatedPayload, Responder, RoutedResponse, run_request};
use crate::routing_context::RoutingContext;
use crate::scheduler::{Micros, RequestSpec};
use crate::shutdown::Shutdown;
use crate::upstream::exchange::RequestPayload;

/// Longest `Retry-After` of a shed request, in microseconds: connections come and go within a second, so a
/// longer wait gains nothing.
const MAX_SHED_RETRY_AFTER: Micros = 1_000_000;

/// What the handlers of an API share.
#[derive(Clone)]
pub(super) struct ApiContext {
    routing: RoutingContext,
    limiter: Rc<ConnectionLimiter>,
    shutdown: Shutdown,
    /// Longest `Retry-After` that clients heed; none where they are sent none.
    max_retry_after: Option<Micros>,
}

impl ApiContext {
    pub(super) fn new(
        routing: RoutingContext, limiter: Rc<ConnectionLimiter>, shutdown: Shutdown,
        max_retry_after: Option<Micros>,
    ) -> Self {
        ApiContext { routing, limiter, shutdown, max_retry_after }
    }

    /// The metrics of this API.
    pub(super) fn counters(&self) -> &Rc<Counters> {
        &self.routing.counters
    }

    /// Whether a request that has just been read must be shed: more clients are connected than are served, or
    /// the process is about to end.
    pub(super) fn sheds_new_requests(&self) -> bool {
        self.limiter.over_limit() || self.shutdown.rejects_requests()
    }

    /// Counts a request that is shed: it never reached the scheduler, so a retry is harmless. Returns the
    /// `Retry-After` for its client.
    pub(super) fn record_shed(&self) -> Option<Micros> {
        self.counters().shed.increment();
        self.max_retry_after.map(|longest| longest.min(MAX_SHED_RETRY_AFTER))
    }

    /// Closes the connection behind this response where its client should connect to another replica: at
    /// shutdown, or where more clients are connected than are served.
    pub(super) fn close_if_unwanted(&self, response: &mut ServerResponse) {
        if self.shutdown.has_started() || self.limiter.over_limit() {
            set_connection_close(response);
        }
    }

    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// As [`read_body`].
    pub(super) async fn read_body(
        &self, request: &mut Request<Incoming>, body_use: BodyUse,
    ) -> Result<ReceivedBody, BodyError> {
        read_body(request, body_use, &self.limiter).await
    }

    /// Starts a request's task, with what it keeps until its end; the result is its response. The task is one
    /// of its own: a handler's future is dropped when the client disconnects, and the request has still to be
    /// cancelled and its reservation released.
    pub(super) fn start_request<G: 'static>(
        &self, request: AdmittedRequest<G>,
    ) -> oneshot::Receiver<RoutedResponse> {
        let (responder, response) = Responder::new();
        let routing = self.routing.clone();
        let shutdown_guard = self.shutdown.guard();
        let AdmittedRequest { spec, payload, allocation, guard } = request;
        let allocated = AllocatedPayload { payload, allocation };
        spawn_local(async move {
            run_request(routing, spec, allocated, responder).await;
            drop(guard);
            drop(shutdown_guard);
        });
        response
    }
}

/// A request that an API has read and accepted.
pub(super) struct AdmittedRequest<G> {
    /// What the scheduler decides by.
    pub(super) spec: RequestSpec,
    /// What endpoints are sent.
    pub(super) payload: RequestPayload,
    /// The share of the memory limit that its body takes up.
    pub(super) allocation: BodyAllocation,
    /// What is dropped at the request's end.
    pub(super) guard: G,
}

/// Whether the head of a request gave its body's length in two ways.
pub(super) fn has_conflicting_lengths(request: &Request<Incoming>) -> bool {
    request.extensions().get::<RequestArrival>().is_some_and(|arrival| arrival.conflicting_lengths)
}
