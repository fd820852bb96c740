//! The endpoints of one fleet, the protocol that they speak, and what goes to them and comes back.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;

use crate::metrics::Counters;
use crate::scheduler::{EndpointId, LoadReport, Outcome, Role};
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::event_stream::EventStream;

/// Header by which endpoints recognise retries of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The protocol that a fleet's endpoints speak.
#[derive(Clone, Debug)]
pub enum UpstreamProtocol {
    /// The platform's protocol.
    Platform,
    /// Public chat completions; with headers to add to each request, such as an authorization.
    Chat(HeaderMap),
}

/// What of a request is passed on unchanged, without a look inside.
#[derive(Clone, Debug)]
pub struct RequestPayload {
    /// The id by which endpoints know the request.
    pub id: Rc<str>,
    /// Path and query.
    pub target: PathAndQuery,
    /// What the body says it is.
    pub content_type: Option<HeaderValue>,
    /// The client's `Idempotency-Key`, by which endpoints drop retries of the request.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// What an attempt came to before any event was passed on.
pub enum AttemptResponse {
    /// The stream has begun.
    Streaming(Box<EventStream>),
    /// The prompt is prefilled; of its tokens so many were cached.
    Prefilled(f64),
    /// The attempt ended otherwise.
    Finished(Outcome),
}

/// What an attempt came to, and what the endpoint reported with it.
pub struct FirstResponse {
    /// What the attempt came to.
    pub response: AttemptResponse,
    /// The endpoint's load, if the response reports it.
    pub load_report: Option<LoadReport>,
}

impl FirstResponse {
    /// An attempt that ended without a response of use.
    pub(crate) fn finished(outcome: Outcome) -> Self {
        FirstResponse { response: AttemptResponse::Finished(outcome), load_report: None }
    }
}

/// One fleet's endpoints and how to talk to them.
pub struct Upstream {
    pool: Rc<ConnectionPool>,
    protocol: UpstreamProtocol,
    counters: Rc<Counters>,
    max_reservation: Duration,
}

impl Upstream {
    /// A fleet behind this pool, at whose endpoints something may stay reserved for `max_reservation` while
    /// no attempt is in flight.
    pub fn new(
        pool: Rc<ConnectionPool>, protocol: UpstreamProtocol, counters: Rc<Counters>,
        max_reservation: Duration,
    ) -> Self {
        Upstream { pool, protocol, counters, max_reservation }
    }

    /// Longest time for which something may stay reserved for a request while no attempt is in flight.
    pub fn max_reservation(&self) -> Duration {
        self.max_reservation
    }

    /// The connections to the fleet.
    pub fn pool(&self) -> &Rc<ConnectionPool> {
        &self.pool
    }

    /// The counters of the fleet's API.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The protocol that the endpoints speak.
    pub(super) fn protocol(&self) -> &UpstreamProtocol {
        &self.protocol
    }

    /// Whether an endpoint is a prefill endpoint, where KV caches may be left. One that is not known may be.
    pub fn prefills(&self, endpoint: EndpointId) -> bool {
        self.pool.address(endpoint).is_none_or(|address| address.role == Role::Prefill)
    }

    /// Whether anything can be reserved at this fleet's endpoints.
    pub fn has_reservations(&self) -> bool {
        matches!(self.protocol, UpstreamProtocol::Platform)
    }
}
