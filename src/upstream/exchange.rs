//! A fleet of endpoints and its protocol, with the payload sent to endpoints and the response received.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;

use crate::metrics::Counters;
use crate::scheduler::{EndpointId, LoadReport, Outcome, Role};
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::event_stream::EventStream;
use crate::upstream::request_body::RequestBody;

/// Header by which endpoints recognize retries of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The protocol of a fleet's endpoints.
#[derive(Clone, Debug)]
pub enum UpstreamProtocol {
    /// The platform's protocol.
    Platform,
    /// Public chat completions, with headers to add to each request, such as an authorization.
    Chat(HeaderMap),
}

/// The parts of a request that are forwarded unchanged and without being parsed.
#[derive(Clone, Debug)]
pub struct RequestPayload {
    /// The ID that identifies the request to endpoints.
    pub id: Rc<str>,
    /// Path and query.
    pub target: PathAndQuery,
    /// The content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The client's `Idempotency-Key`, by which endpoints deduplicate retries of the request.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: RequestBody,
    /// Maximum size of the response's body, in bytes.
    pub max_response_size: u64,
}

/// The result of an attempt before any event has been forwarded.
pub enum AttemptResponse {
    /// The stream has started.
    Streaming(Box<EventStream>),
    /// The prompt is prefilled; contains the number of its tokens that were cached.
    Prefilled(f64),
    /// The attempt ended in any other way.
    Finished(Outcome),
}

/// The result of an attempt, with the load report that the endpoint sent.
pub struct FirstResponse {
    /// The result of the attempt.
    pub response: AttemptResponse,
    /// The endpoint's load, if the response reports it.
    pub load_report: Option<LoadReport>,
}

impl FirstResponse {
    /// Creates the result of an attempt that ended without a usable response.
    pub(crate) fn finished(outcome: Outcome) -> Self {
        FirstResponse { response: AttemptResponse::Finished(outcome), load_report: None }
    }
}

/// A fleet of endpoints and how to communicate with them.
pub struct Upstream {
    pool: Rc<ConnectionPool>,
    protocol: UpstreamProtocol,
    counters: Rc<Counters>,
    max_reservation: Duration,
}

impl Upstream {
    /// Creates a fleet with the given connection pool. `max_reservation` is the longest time for which
    /// anything may stay reserved at its endpoints with no attempt in flight.
    pub fn new(
        pool: Rc<ConnectionPool>, protocol: UpstreamProtocol, counters: Rc<Counters>,
        max_reservation: Duration,
    ) -> Self {
        Upstream { pool, protocol, counters, max_reservation }
    }

    /// Returns the longest time for which anything may stay reserved for a request with no attempt in flight.
    pub fn max_reservation(&self) -> Duration {
        self.max_reservation
    }

    /// Returns the connections to the fleet.
    pub fn pool(&self) -> &Rc<ConnectionPool> {
        &self.pool
    }

    /// Returns the counters of the fleet's API.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the protocol of the endpoints.
    pub(super) fn protocol(&self) -> &UpstreamProtocol {
        &self.protocol
    }

    /// Returns whether an endpoint is a prefill endpoint, where a KV cache may be left behind. An unknown
    /// endpoint is treated as one.
    pub fn is_prefill_endpoint(&self, endpoint: EndpointId) -> bool {
        self.pool.address(endpoint).is_none_or(|address| address.role == Role::Prefill)
    }

    /// Returns whether anything can be reserved at this fleet's endpoints.
    pub fn has_reservations(&self) -> bool {
        matches!(self.protocol, UpstreamProtocol::Platform)
    }
}
