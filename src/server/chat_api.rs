//! The chat front: the public chat completions form, streamed or whole.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::connection_limits::ConnectionLimiter;
use super::connection_state::RequestArrival;
use super::request_body::{BodyError, BodyUse, read_body};
use super::response::{complete_response, set_connection_close, set_retry_after, stream_response};
use super::spiffe::ClientIdentity;
use super::stream_body::StreamBody;
use super::{RequestHandler, ServerResponse, begin, shed_wait, takes_nothing_new};
use crate::config::ChatConfig;
use crate::metrics::Counters;
use crate::request::lifecycle::RoutedResponse;
use crate::routing_context::RoutingContext;
use crate::scheduler::*;
use crate::shutdown::Shutdown;
use crate::upstream::exchange::{IDEMPOTENCY_KEY, RequestPayload};

/// Tells clients whether to try again by themselves.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const RETRY_COUNT: HeaderName = HeaderName::from_static("x-stainless-retry-count");
/// Characters that make a token, about.
const CHARS_A_TOKEN: f64 = 4.0;
/// Most tokens that a request may ask for.
const TOKENS_MOST: u32 = 1 << 20;

/// The fields that the decisions need.
#[derive(Deserialize)]
struct Completion {
    model: String,
    messages: Vec<Message>,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    prompt_cache_key: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    text: Option<String>,
}

impl Message {
    /// Its length in characters, and its hash going on from `seed`.
    fn measure(&self, seed: u64) -> (usize, u64) {
        let texts: Vec<&str> = match &self.content {
            None => Vec::new(),
            Some(Content::Text(text)) => vec![text],
            Some(Content::Parts(parts)) => parts.iter().filter_map(|p| p.text.as_deref()).collect(),
        };
        let chars = texts.iter().map(|t| t.chars().count()).sum();
        (chars, texts.iter().fold(seed, |seed, text| xxh3_64_with_seed(text.as_bytes(), seed)))
    }
}

/// Why a request was turned down or not answered; each as the public error object.
#[derive(Debug, thiserror::Error)]
enum ChatError {
    #[error("{0}")]
    Invalid(String),
    #[error("the model \"{0}\" does not exist")]
    Model(String),
    #[error("{0}")]
    Body(#[from] BodyError),
    #[error("no such path: {0}")]
    Path(String),
    #[error("this path takes {0}")]
    Method(&'static str),
    #[error("the identity {0} may not use this service")]
    SendDenied(Rc<str>),
    #[error("the fleet cannot take this request now; trying again is harmless")]
    Refused(Option<Micros>),
    #[error("the request failed and may have run; it must not be repeated automatically")]
    Failed,
}

impl ChatError {
    /// Status, type and code.
    fn form(&self) -> (StatusCode, &'static str, Option<&'static str>) {
        let invalid = "invalid_request_error";
        match self {
            ChatError::Invalid(_) => (StatusCode::BAD_REQUEST, invalid, None),
            ChatError::Model(_) => (StatusCode::NOT_FOUND, invalid, Some("model_not_found")),
            ChatError::Body(BodyError::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, invalid, None),
            ChatError::Body(_) => (StatusCode::BAD_REQUEST, invalid, None),
            ChatError::Path(_) => (StatusCode::NOT_FOUND, invalid, Some("unknown_url")),
            ChatError::Method(_) => (StatusCode::METHOD_NOT_ALLOWED, invalid, None),
            ChatError::SendDenied(_) => {
                (StatusCode::FORBIDDEN, "permission_error", Some("identity_not_allowed"))
            }
            ChatError::Refused(_) => {
                (StatusCode::TOO_MANY_REQUESTS, "rate_limit_error", Some("rate_limit_exceeded"))
            }
            ChatError::Failed => (StatusCode::BAD_GATEWAY, "server_error", Some("may_have_run")),
        }
    }

    fn reply(&self) -> ServerResponse {
        let (status, kind, code) = self.form();
        let error =
            json!({"error": {"message": self.to_string(), "type": kind, "param": null, "code": code}});
        let mut reply = object(status, &error);
        let headers = reply.headers_mut();
        match self {
            ChatError::Refused(retry_after) => set_retry_after(headers, *retry_after),
            // Public client libraries repeat most statuses by themselves unless told otherwise.
            _ => drop(headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"))),
        }
        reply
    }
}

fn object(status: StatusCode, value: &impl Serialize) -> ServerResponse {
    let text = serde_json::to_vec(value).unwrap_or_default();
    complete_response(status, Some(HeaderValue::from_static("application/json")), text)
}

/// The chat front.
#[derive(Clone)]
pub struct ChatApi {
    core: RoutingContext,
    chat: Rc<ChatConfig>,
    intake: Rc<ConnectionLimiter>,
    shutdown: Shutdown,
    /// Of the ids made here.
    ids: Rc<Ids>,
    peer: ClientIdentity,
}

struct Ids {
    seed: u64,
    next: std::cell::Cell<u64>,
}

impl RequestHandler for ChatApi {
    fn counters(&self) -> Rc<Counters> {
        self.core.counters.clone()
    }

    async fn handle(self, request: Request<Incoming>) -> ServerResponse {
        let mut reply = self.route(request).await.unwrap_or_else(|error| {
            let (status, ..) = error.form();
            if !matches!(error, ChatError::Refused(_) | ChatError::Failed) {
                self.core.counters.malformed.increment();
                tracing::debug!(%status, %error, "chat request rejected as invalid");
            }
            error.reply()
        });
        if self.shutdown.has_begun() || self.intake.over_limit() {
            set_connection_close(&mut reply);
        }
        reply
    }
}

impl ChatApi {
    /// A front before this core.
    pub fn new(
        core: RoutingContext, chat: Rc<ChatConfig>, intake: Rc<ConnectionLimiter>, shutdown: Shutdown,
        seed: u64,
    ) -> Self {
        let ids = Rc::new(Ids { seed, next: std::cell::Cell::new(0) });
        ChatApi { core, chat, intake, shutdown, ids, peer: ClientIdentity::Unverified }
    }

    /// The same front for one client.
    pub fn for_peer(&self, peer: ClientIdentity) -> Self {
        ChatApi { peer, ..self.clone() }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<ServerResponse, ChatError> {
        if let ClientIdentity::Denied(id) = &self.peer {
            return Err(ChatError::SendDenied(id.clone()));
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (_, "/v1/chat/completions") => Err(ChatError::Method("POST")),
            (&Method::GET, "/v1/models") => {
                let model = |id| json!({"id": id, "object": "model", "created": 0, "owned_by": "croftsill"});
                let models: Vec<_> = self.chat.models.keys().map(model).collect();
                Ok(object(StatusCode::OK, &json!({"object": "list", "data": models})))
            }
            (&Method::GET, "/-/ready") => Ok(complete_response(StatusCode::OK, None, "ready\n")),
            (&Method::GET, "/-/counters") => Ok(object(StatusCode::OK, &self.core.counters.all())),
            (_, "/v1/models" | "/-/ready" | "/-/counters") => Err(ChatError::Method("GET")),
            (_, path) => Err(ChatError::Path(path.to_owned())),
        }
    }

    async fn complete(&self, mut request: Request<Incoming>) -> Result<ServerResponse, ChatError> {
        let arrived = tokio::time::Instant::now();
        if request.extensions().get::<RequestArrival>().is_some_and(|arrival| arrival.conflicting_lengths) {
            return Err(ChatError::Invalid("Content-Length and Transfer-Encoding exclude each other".into()));
        }
        let received = match read_body(&mut request, BodyUse::Keep, &self.intake).await {
            Err(BodyError::NoRoom) => return Err(self.shed()),
            read => read?,
        };
        let completion = serde_json::from_slice(&received.bytes);
        let completion: Completion = completion.map_err(|e| ChatError::Invalid(e.to_string()))?;
        let mut ask = self.ask(&completion)?;
        let retries = request.headers().get(RETRY_COUNT).and_then(|v| v.to_str().ok()?.parse::<u32>().ok());
        ask.is_retry = retries.is_some_and(|n| n > 0);
        ask.client_timeout -= arrived.elapsed().as_micros() as Micros;
        if takes_nothing_new(&self.intake, &self.shutdown) {
            return Err(self.shed());
        }
        let id = self.new_id();
        let shown = HeaderValue::from_str(&id).ok();
        let target = request.uri().path_and_query().cloned();
        let target = target.ok_or_else(|| ChatError::Path(String::new()))?;
        let content_type = Some(HeaderValue::from_static("application/json"));
        let idempotency_key = request.headers().get(IDEMPOTENCY_KEY).cloned();
        let payload = RequestPayload { id, target, content_type, idempotency_key, body: received.bytes };
        let streamed = !ask.unary;
        let answer = begin(&self.core, ask, (payload, received.allocation), self.shutdown.guard());
        let mut reply = match answer.await {
            Ok(RoutedResponse::Body { form, pieces }) if streamed && form.is_event_stream() => {
                stream_response(form.content_type, pieces)
            }
            // Nothing of a whole answer is shown before it is known to be whole.
            Ok(RoutedResponse::Body { form, pieces }) => match StreamBody::new(pieces).collect().await {
                Ok(text) => complete_response(form.status, form.content_type, text),
                Err(_) => ChatError::Failed.reply(),
            },
            Ok(RoutedResponse::Rejected { retry_after }) => ChatError::Refused(retry_after).reply(),
            Ok(RoutedResponse::Failed) | Err(_) => ChatError::Failed.reply(),
        };
        shown.map(|id| reply.headers_mut().insert(REQUEST_ID, id));
        Ok(reply)
    }

    /// Never taken in, so trying again is harmless.
    fn shed(&self) -> ChatError {
        self.core.counters.shed.increment();
        ChatError::Refused(shed_wait(&self.chat.settings.capabilities))
    }

    fn new_id(&self) -> Rc<str> {
        let number = self.ids.next.get();
        self.ids.next.set(number + 1);
        format!("{:016x}", xxh3_64_with_seed(&number.to_le_bytes(), self.ids.seed)).into()
    }

    /// Takes out of a body what the decisions need.
    fn ask(&self, completion: &Completion) -> Result<RequestSpec, ChatError> {
        let class = self.chat.models.get(&completion.model).copied();
        let class = class.ok_or_else(|| ChatError::Model(completion.model.clone()))?;
        let Some(first) = completion.messages.first() else {
            return Err(ChatError::Invalid("messages: must not be empty".into()));
        };
        let asked = completion.max_completion_tokens.or(completion.max_tokens);
        let most = asked.unwrap_or(self.chat.default_max_tokens);
        if !(1..=TOKENS_MOST).contains(&most) {
            return Err(ChatError::Invalid(format!("max_tokens: must lie between 1 and {TOKENS_MOST}")));
        }
        let tokens = |chars: usize| (chars as f64 / CHARS_A_TOKEN).max(1.0);
        let (opening, prefix) = first.measure(0);
        let talk = completion.messages.iter().take(2).fold(0, |seed, m| m.measure(seed).1);
        let session = completion.prompt_cache_key.as_ref().map_or(talk, |key| xxh3_64(key.as_bytes()));
        let figures = &self.chat.settings.classes[class.0];
        // A whole answer comes after its last token, not its first: the time to write it is added, at up to
        // twice the wanted pace.
        let whole = completion.stream != Some(true);
        let writing =
            if whole { Micros::from(most).saturating_mul(figures.inter_token_objective * 2) } else { 0 };
        Ok(RequestSpec {
            class,
            session: Some(CacheKey(session)),
            prefix: (completion.messages.len() > 1).then_some(CacheKey(prefix)),
            prefix_tokens: if completion.messages.len() > 1 { tokens(opening) } else { 0.0 },
            prompt_tokens: tokens(completion.messages.iter().map(|m| m.measure(0).0).sum()),
            max_output_tokens: f64::from(most),
            client_timeout: figures.deadline.saturating_add(writing),
            unary: whole,
            ..RequestSpec::default()
        })
    }
}
