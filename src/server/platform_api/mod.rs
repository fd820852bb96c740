//! The platform API: requests are described by headers, results by status codes.

mod headers;
mod invalid_request;
mod open_requests;

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use tokio::sync::watch;

use super::api_context::{AdmittedRequest, ApiContext, ShedReason};
use super::client_body::ClientBody;
use super::connection_limits::ConnectionLimiter;
use super::connection_state::RequestArrival;
use super::handler::{RequestHandler, ServerResponse};
use super::request_body::{BodyError, BodyUse};
use super::response::{complete_response, set_retry_after, stream_response};
use crate::config::settings::SettingNames;
use crate::metrics::Counters;
use crate::request::RoutedResponse;
use crate::routing_context::RoutingContext;
use crate::scheduler::Micros;
use crate::shutdown::Shutdown;
use crate::upstream::response_limit::MAX_ANSWER_SIZE;
use headers::RequestHead;
use invalid_request::InvalidRequest;
use open_requests::OpenRequests;

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const READY_PATH: &str = "/-/ready";
const COUNTERS_PATH: &str = "/-/counters";

/// The platform API, shared by all its clients.
#[derive(Clone)]
pub struct PlatformApi {
    context: ApiContext,
    names: Rc<SettingNames>,
    ready: watch::Receiver<bool>,
    open_requests: OpenRequests,
}

impl RequestHandler for PlatformApi {
    fn counters(&self) -> Rc<Counters> {
        self.context.counters().clone()
    }

    async fn handle(self, request: Request<ClientBody>) -> ServerResponse {
        let arrival = RequestArrival::of(&request);
        let mut response = self.route(request).await;
        self.context.close_if_draining_or_over_limit(arrival, &mut response);
        response
    }

    fn reject_excess_bytes(&self) -> ServerResponse {
        self.reject_invalid(&InvalidRequest::ExcessBytes)
    }
}

impl PlatformApi {
    /// Creates the API. It reports readiness while `ready` is true. `max_retry_after` is the longest
    /// `Retry-After` that clients honor; `None` omits the header.
    pub fn new(
        routing: RoutingContext, names: SettingNames, max_retry_after: Option<Micros>,
        limiter: Rc<ConnectionLimiter>, ready: watch::Receiver<bool>, shutdown: Shutdown,
    ) -> Self {
        PlatformApi {
            context: ApiContext::new(routing, limiter, shutdown, max_retry_after),
            names: Rc::new(names),
            ready,
            open_requests: OpenRequests::default(),
        }
    }

    async fn route(&self, request: Request<ClientBody>) -> ServerResponse {
        match (request.method(), request.uri().path()) {
            (_, COMPLETIONS_PATH) => match self.complete(request).await {
                Ok(response) => response,
                Err(error) => self.reject_invalid(&error),
            },
            (&Method::GET, READY_PATH) => self.readiness(),
            (&Method::GET, COUNTERS_PATH) => {
                text_response(StatusCode::OK, self.context.counters().to_json() + "\n")
            }
            (_, READY_PATH | COUNTERS_PATH) => error_response(&InvalidRequest::MethodNotAllowed("GET")),
            _ => error_response(&InvalidRequest::UnknownPath),
        }
    }

    fn readiness(&self) -> ServerResponse {
        if *self.ready.borrow() {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "no list of instances yet\n")
        }
    }

    /// Rejects an invalid request.
    fn reject_invalid(&self, error: &InvalidRequest) -> ServerResponse {
        self.context.counters().malformed.increment();
        tracing::debug!(%error, "request rejected as invalid");
        error_response(error)
    }

    /// Rejects a request that never reached the scheduler.
    fn shed(&self, reason: ShedReason) -> ServerResponse {
        rejection(self.context.record_shed(reason))
    }

    async fn complete(&self, request: Request<ClientBody>) -> Result<ServerResponse, InvalidRequest> {
        if request.method() != Method::POST {
            return Err(InvalidRequest::MethodNotAllowed("POST"));
        }
        let arrival = RequestArrival::of(&request);
        if arrival.conflicting_lengths {
            return Err(InvalidRequest::ConflictingLengths);
        }
        let (request_head, body) = request.into_parts();
        let parsed_head = RequestHead::parse(&request_head, &self.names);
        // Its values refer to the buffer that the whole head was read into.
        drop(request_head);
        // The body of an invalid request is read as well, so that the connection can be reused.
        let body_use = if parsed_head.is_ok() { BodyUse::Keep } else { BodyUse::Discard };
        let body = match self.context.read_body(body, arrival.earliest_start, body_use).await {
            Err(BodyError::MemoryLimit) => return Ok(self.shed(ShedReason::Memory)),
            Err(BodyError::Evicted) => return Ok(self.shed(ShedReason::Connections)),
            read => read?,
        };
        let RequestHead { id, spec, forwarded } = parsed_head?;
        let lease = match self.context.admit(arrival) {
            Ok(lease) => lease,
            Err(reason) => return Ok(self.shed(reason)),
        };
        let Some(open_request) = self.open_requests.register(&id) else {
            return Err(InvalidRequest::DuplicateId(id.to_string()));
        };
        let payload = forwarded.into_payload(id, body.bytes, MAX_ANSWER_SIZE);
        let admitted = AdmittedRequest { spec, payload, body_lease: body.lease, lease, guard: open_request };
        Ok(match self.context.start_request(admitted).await {
            Ok(RoutedResponse::Body { head, chunks }) => {
                let event_stream = HeaderValue::from_static("text/event-stream");
                stream_response(Some(head.content_type.unwrap_or(event_stream)), chunks)
            }
            Ok(RoutedResponse::Rejected { retry_after }) => rejection(retry_after),
            Ok(RoutedResponse::Failed) | Err(_) => {
                text_response(StatusCode::BAD_GATEWAY, "the request failed and may have run\n")
            }
        })
    }
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> ServerResponse {
    complete_response(status, Some(HeaderValue::from_static("text/plain")), text)
}

fn error_response(error: &InvalidRequest) -> ServerResponse {
    text_response(error.status(), format!("{error}\n"))
}

/// Builds the response to a request that was rejected for lack of capacity and has not been executed.
fn rejection(retry_after: Option<Micros>) -> ServerResponse {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless\n");
    set_retry_after(response.headers_mut(), retry_after);
    response
}
