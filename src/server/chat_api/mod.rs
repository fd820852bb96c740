//! The public chat completions API, with streamed and unary responses.

mod completion;
mod error;
mod request_ids;

use std::rc::Rc;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use super::api_context::{AdmittedRequest, ApiContext, ShedReason};
use super::client_body::ClientBody;
use super::connection_limits::ConnectionLimiter;
use super::connection_state::RequestArrival;
use super::forwarded_head::ForwardedHead;
use super::handler::{RequestHandler, ServerResponse};
use super::request_body::{BodyError, BodyUse};
use super::response::{complete_response, stream_response};
use super::spiffe::ClientIdentity;
use super::stream_body::StreamBody;
use crate::config::ChatConfig;
use crate::metrics::Counters;
use crate::request::RoutedResponse;
use crate::routing_context::RoutingContext;
use crate::scheduler::Micros;
use crate::shutdown::Shutdown;
use crate::upstream::response_limit::{MAX_ANSWER_SIZE, MAX_UNARY_ANSWER_SIZE};
use completion::Completion;
use error::ChatError;
use request_ids::RequestIds;

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const MODELS_PATH: &str = "/v1/models";
const READY_PATH: &str = "/-/ready";
const COUNTERS_PATH: &str = "/-/counters";

/// The request ID used in the log.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How often a public client library has retried a request.
const RETRY_COUNT: HeaderName = HeaderName::from_static("x-stainless-retry-count");

/// Owner in the model list. Keeps the former name of the router, because clients read it and may compare it.
const MODEL_OWNER: &str = "croftsill";

/// The chat API for one client, or for all clients if identities are not verified.
#[derive(Clone)]
pub struct ChatApi {
    context: ApiContext,
    config: Rc<ChatConfig>,
    request_ids: Rc<RequestIds>,
    peer: ClientIdentity,
}

impl RequestHandler for ChatApi {
    fn counters(&self) -> Rc<Counters> {
        self.context.counters().clone()
    }

    async fn handle(self, request: Request<ClientBody>) -> ServerResponse {
        let arrival = RequestArrival::of(&request);
        let mut response = match self.route(request).await {
            Ok(response) => response,
            Err(error) => self.error_response(&error),
        };
        self.context.close_if_draining_or_over_limit(arrival, &mut response);
        response
    }

    fn reject_excess_bytes(&self) -> ServerResponse {
        self.error_response(&ChatError::ExcessBytes)
    }
}

impl ChatApi {
    /// Creates the API. The seed makes its request IDs differ from those of other replicas and runs.
    pub fn new(
        routing: RoutingContext, config: Rc<ChatConfig>, limiter: Rc<ConnectionLimiter>, shutdown: Shutdown,
        seed: u64,
    ) -> Self {
        let max_retry_after = config.settings.capabilities.max_retry_after;
        ChatApi {
            context: ApiContext::new(routing, limiter, shutdown, max_retry_after),
            config,
            request_ids: Rc::new(RequestIds::new(seed)),
            peer: ClientIdentity::Unverified,
        }
    }

    /// Returns the same API for a client with this identity.
    pub fn for_peer(&self, peer: ClientIdentity) -> Self {
        ChatApi { peer, ..self.clone() }
    }

    async fn route(&self, request: Request<ClientBody>) -> Result<ServerResponse, ChatError> {
        if let ClientIdentity::Denied(id) = &self.peer {
            return Err(ChatError::IdentityDenied(id.clone()));
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, COMPLETIONS_PATH) => self.complete(request).await,
            (_, COMPLETIONS_PATH) => Err(ChatError::MethodNotAllowed("POST")),
            (&Method::GET, MODELS_PATH) => Ok(self.list_models()),
            (&Method::GET, READY_PATH) => Ok(complete_response(StatusCode::OK, None, "ready\n")),
            (&Method::GET, COUNTERS_PATH) => {
                Ok(json_response(StatusCode::OK, &self.context.counters().all()))
            }
            (_, MODELS_PATH | READY_PATH | COUNTERS_PATH) => Err(ChatError::MethodNotAllowed("GET")),
            (_, path) => Err(ChatError::UnknownPath(path.to_owned())),
        }
    }

    fn list_models(&self) -> ServerResponse {
        let model = |id: &String| json!({"id": id, "object": "model", "created": 0, "owned_by": MODEL_OWNER});
        let models: Vec<_> = self.config.models.keys().map(model).collect();
        json_response(StatusCode::OK, &json!({"object": "list", "data": models}))
    }

    /// Builds the response to a request that was not routed. Invalid requests are counted and logged.
    fn error_response(&self, error: &ChatError) -> ServerResponse {
        if error.is_invalid_request() {
            self.context.counters().malformed.increment();
            let status = error.status();
            tracing::debug!(%status, %error, "chat request rejected as invalid");
        }
        error.to_response()
    }

    /// Rejects a request that never reached the scheduler.
    fn shed(&self, reason: ShedReason) -> ChatError {
        ChatError::Rejected { retry_after: self.context.record_shed(reason) }
    }

    async fn complete(&self, request: Request<ClientBody>) -> Result<ServerResponse, ChatError> {
        let arrived_at = Instant::now();
        let arrival = RequestArrival::of(&request);
        if arrival.conflicting_lengths {
            return Err(ChatError::ConflictingLengths);
        }
        let (request_head, body) = request.into_parts();
        let forwarded = ForwardedHead::copy_of(&request_head).ok_or(ChatError::UnknownPath(String::new()))?;
        let is_retry = retry_count(&request_head.headers) > 0;
        // Its values refer to the buffer that the whole head was read into.
        drop(request_head);
        let body = match self.context.read_body(body, arrival.earliest_start, BodyUse::Keep).await {
            Err(BodyError::MemoryLimit) => return Err(self.shed(ShedReason::Memory)),
            Err(BodyError::Evicted) => return Err(self.shed(ShedReason::Connections)),
            read => read?,
        };
        let completion: Completion =
            serde_json::from_slice(&body.bytes.to_vec()).map_err(ChatError::MalformedBody)?;
        let mut spec = completion.to_spec(&self.config)?;
        spec.is_retry = is_retry;
        spec.client_timeout -= arrived_at.elapsed().as_micros() as Micros;
        let lease = self.context.admit(arrival).map_err(|reason| self.shed(reason))?;
        let id = self.request_ids.next();
        let is_unary = spec.unary;
        let max_response_size = if is_unary { MAX_UNARY_ANSWER_SIZE } else { MAX_ANSWER_SIZE };
        let forwarded = forwarded.with_content_type(HeaderValue::from_static("application/json"));
        let payload = forwarded.into_payload(id.clone(), body.bytes, max_response_size);
        let admitted = AdmittedRequest { spec, payload, body_lease: body.lease, lease, guard: () };
        // The channel closes without a value if the request task ended without a response.
        let routed = self.context.start_request(admitted).await.unwrap_or(RoutedResponse::Failed);
        let mut response = routed_response(routed, is_unary).await;
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(response)
    }
}

/// Returns how often the client has retried this request; 0 if it does not say.
fn retry_count(headers: &HeaderMap) -> u32 {
    let count = headers.get(RETRY_COUNT).and_then(|value| value.to_str().ok()?.parse().ok());
    count.unwrap_or(0)
}

/// Builds the response to a routed request.
async fn routed_response(routed: RoutedResponse, is_unary: bool) -> ServerResponse {
    match routed {
        RoutedResponse::Body { head, chunks } if !is_unary && head.is_event_stream() => {
            stream_response(head.content_type, chunks)
        }
        // The head of a unary response is sent only after all of the body has arrived.
        RoutedResponse::Body { head, chunks } => match StreamBody::new(chunks).collect().await {
            Ok(body) => complete_response(head.status, head.content_type, body),
            Err(_) => ChatError::Failed.to_response(),
        },
        RoutedResponse::Rejected { retry_after } => ChatError::Rejected { retry_after }.to_response(),
        RoutedResponse::Failed => ChatError::Failed.to_response(),
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> ServerResponse {
    let text = serde_json::to_vec(value).unwrap_or_default();
    complete_response(status, Some(HeaderValue::from_static("application/json")), text)
}
