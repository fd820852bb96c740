//! The platform's front: its headers in, its status codes out.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::connection_limits::ConnectionLimiter;
use super::connection_state::RequestArrival;
use super::request_body::{BodyError, read_body};
use super::response::{complete_response, set_connection_close, set_retry_after, stream_response};
use super::{RequestHandler, ServerResponse, begin, shed_wait, takes_nothing_new};
use crate::metrics::Counters;
use crate::request::lifecycle::RoutedResponse;
use crate::routing_context::RoutingContext;
use crate::scheduler::*;
use crate::shutdown::Shutdown;
use crate::simulator::SettingNames;
use crate::upstream::exchange::{IDEMPOTENCY_KEY, RequestPayload};

/// Ids remembered after their requests have ended, to turn repeats down.
const REMEMBERED: usize = 512;
/// Longest id taken.
const ID_MOST: usize = 128;
/// Longest time a client may ask for, in milliseconds.
const TIMEOUT_MOST: u64 = 3_600_000;
/// Taken off a client's patience, which runs from the last byte of its request, for the way of request and answer.
const ON_THE_WAY: Micros = 5_000;

/// Why a request was turned down before it was taken in.
#[derive(Debug, thiserror::Error)]
pub enum InvalidRequest {
    /// A header is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header does not have its form.
    #[error("the header {0} must be {1}")]
    Unfit(&'static str, &'static str),
    /// Nobody knows the class.
    #[error("unknown class \"{0}\"")]
    Class(String),
    /// Nobody knows the tenant.
    #[error("unknown tenant \"{0}\"")]
    Tenant(String),
    /// The id was seen before.
    #[error("the request id \"{0}\" was used before")]
    Duplicate(String),
    /// The body was not taken.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// Its length is given in two ways.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    Framing,
    /// Not a path of this program.
    #[error("no such path")]
    Path,
    /// The path does not take this method.
    #[error("this path takes {0}")]
    Method(&'static str),
}

impl InvalidRequest {
    fn status(&self) -> StatusCode {
        match self {
            InvalidRequest::Duplicate(_) => StatusCode::CONFLICT,
            InvalidRequest::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::Body(BodyError::Slow) => StatusCode::REQUEST_TIMEOUT,
            InvalidRequest::Path => StatusCode::NOT_FOUND,
            InvalidRequest::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Ids in use, and the last that were.
#[derive(Default)]
struct Ids {
    known: HashSet<Rc<str>>,
    ended: VecDeque<Rc<str>>,
}

/// The id of an open request; when dropped it is one of the last that were.
struct OpenId(Rc<RefCell<Ids>>, Rc<str>);

impl OpenId {
    /// Takes an id that is new.
    fn register(ids: &Rc<RefCell<Ids>>, id: &Rc<str>) -> Option<Self> {
        let new = ids.borrow_mut().known.insert(id.clone());
        new.then(|| OpenId(ids.clone(), id.clone()))
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        let mut ids = self.0.borrow_mut();
        ids.ended.push_back(self.1.clone());
        if ids.ended.len() > REMEMBERED
            && let Some(old) = ids.ended.pop_front()
        {
            ids.known.remove(&old);
        }
    }
}

/// The platform's front.
#[derive(Clone)]
pub struct PlatformApi {
    core: RoutingContext,
    names: Rc<SettingNames>,
    limits: Capabilities,
    intake: Rc<ConnectionLimiter>,
    ready: watch::Receiver<bool>,
    shutdown: Shutdown,
    ids: Rc<RefCell<Ids>>,
}

impl RequestHandler for PlatformApi {
    fn counters(&self) -> Rc<Counters> {
        self.core.counters.clone()
    }

    async fn handle(self, request: Request<Incoming>) -> ServerResponse {
        let mut reply = match (request.method(), request.uri().path()) {
            (_, "/v1/chat/completions") => match self.complete(request).await {
                Ok(reply) => reply,
                Err(error) => {
                    self.core.counters.malformed.increment();
                    tracing::debug!(%error, "request rejected as invalid");
                    plain(error.status(), format!("{error}\n"))
                }
            },
            (&Method::GET, "/-/ready") if *self.ready.borrow() => plain(StatusCode::OK, "ready\n"),
            (&Method::GET, "/-/ready") => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "no list of instances yet\n")
            }
            (&Method::GET, "/-/counters") => plain(StatusCode::OK, self.core.counters.to_json() + "\n"),
            (_, "/-/ready" | "/-/counters") => {
                plain(StatusCode::METHOD_NOT_ALLOWED, format!("{}\n", InvalidRequest::Method("GET")))
            }
            _ => plain(StatusCode::NOT_FOUND, format!("{}\n", InvalidRequest::Path)),
        };
        if self.shutdown.has_begun() || self.intake.over_limit() {
            set_connection_close(&mut reply);
        }
        reply
    }
}

impl PlatformApi {
    /// A front before this core; it says that it is ready once `ready` is true.
    pub fn new(
        core: RoutingContext, (names, limits): (SettingNames, Capabilities), intake: Rc<ConnectionLimiter>,
        ready: watch::Receiver<bool>, shutdown: Shutdown,
    ) -> Self {
        PlatformApi { core, names: Rc::new(names), limits, intake, ready, shutdown, ids: Rc::default() }
    }

    /// Never taken in, so trying again is harmless.
    fn shed(&self) -> ServerResponse {
        self.core.counters.shed.increment();
        refusal(shed_wait(&self.limits))
    }

    async fn complete(&self, mut request: Request<Incoming>) -> Result<ServerResponse, InvalidRequest> {
        if request.method() != Method::POST {
            return Err(InvalidRequest::Method("POST"));
        }
        if request.extensions().get::<RequestArrival>().is_some_and(|arrival| arrival.conflicting_lengths) {
            return Err(InvalidRequest::Framing);
        }
        let headers = request.headers();
        let head = id(headers).and_then(|id| Ok((Rc::<str>::from(id), ask(headers, &self.names)?)));
        let (body, room) = match read_body(&mut request, head.is_ok(), &self.intake).await {
            Err(BodyError::NoRoom) => return Ok(self.shed()),
            read => read?,
        };
        let (id, mut ask) = head?;
        if takes_nothing_new(&self.intake, &self.shutdown) {
            return Ok(self.shed());
        }
        let open =
            OpenId::register(&self.ids, &id).ok_or_else(|| InvalidRequest::Duplicate(id.to_string()))?;
        ask.client_timeout -= ON_THE_WAY;
        let target = request.uri().path_and_query().cloned().ok_or(InvalidRequest::Path)?;
        let content_type = request.headers().get(CONTENT_TYPE).cloned();
        let idempotency_key = request.headers().get(IDEMPOTENCY_KEY).cloned();
        let payload = RequestPayload { id, target, content_type, idempotency_key, body };
        let answer = begin(&self.core, ask, (payload, room), (open, self.shutdown.guard()));
        Ok(match answer.await {
            Ok(RoutedResponse::Body { form, pieces }) => {
                let event_stream = HeaderValue::from_static("text/event-stream");
                stream_response(Some(form.content_type.unwrap_or(event_stream)), pieces)
            }
            Ok(RoutedResponse::Rejected { retry_after }) => refusal(retry_after),
            Ok(RoutedResponse::Failed) | Err(_) => {
                plain(StatusCode::BAD_GATEWAY, "the request failed and may have run\n")
            }
        })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, InvalidRequest> {
    let value = headers.get(name).map(|v| v.to_str().map_err(|_| InvalidRequest::Unfit(name, "plain text")));
    Ok(value.transpose()?.map(str::trim).filter(|v| !v.is_empty()))
}

fn needed<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, InvalidRequest> {
    text(headers, name)?.ok_or(InvalidRequest::Missing(name))
}

fn id(headers: &HeaderMap) -> Result<&str, InvalidRequest> {
    let id = needed(headers, "Request-Id")?;
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
    if id.len() > ID_MOST || !id.chars().all(fits) {
        return Err(InvalidRequest::Unfit("Request-Id", "at most 128 letters, digits and -_.~"));
    }
    Ok(id)
}

/// Takes out of a head what the decisions need.
fn ask(headers: &HeaderMap, names: &SettingNames) -> Result<RequestSpec, InvalidRequest> {
    let class = needed(headers, "Request-Class")?;
    let class =
        names.classes.iter().position(|c| c == class).ok_or_else(|| InvalidRequest::Class(class.into()))?;
    let time =
        needed(headers, "Request-Timeout-Ms")?.parse().ok().filter(|ms| (1..=TIMEOUT_MOST).contains(ms));
    let time: u64 =
        time.ok_or(InvalidRequest::Unfit("Request-Timeout-Ms", "whole milliseconds from 1 to 3600000"))?;
    let mut ask = RequestSpec {
        class: ClassId(class),
        client_timeout: time as Micros * 1_000,
        ..RequestSpec::default()
    };
    info(needed(headers, "Request-Info")?, &mut ask).ok_or(InvalidRequest::Unfit(
        "Request-Info",
        "prompt_len=N,max_out=N and, with an opening, prefix=ID,prefix_len=N",
    ))?;
    ask.tenant = tenant(headers, names)?;
    ask.session = text(headers, "Affinity-Key")?.map(|key| CacheKey(xxh3_64(key.as_bytes())));
    match text(headers, "Client-Retry")? {
        None => {}
        Some("again") => ask.is_resumption = true,
        Some("1") => ask.is_retry = true,
        Some(_) => return Err(InvalidRequest::Unfit("Client-Retry", "1 or again")),
    }
    Ok(ask)
}

/// The tenant that a request is for, where the settings have any.
fn tenant(headers: &HeaderMap, names: &SettingNames) -> Result<Option<TenantId>, InvalidRequest> {
    let Some(name) = text(headers, "Tenant")?.filter(|_| !names.tenants.is_empty()) else { return Ok(None) };
    let known = names.tenants.iter().position(|tenant| tenant == name);
    known.map(|at| Some(TenantId(at))).ok_or_else(|| InvalidRequest::Tenant(name.into()))
}

fn info(text: &str, ask: &mut RequestSpec) -> Option<()> {
    let (mut prompt, mut most) = (None, None);
    for pair in text.split(',') {
        let (key, value) = pair.trim().split_once('=')?;
        let tokens = || value.parse::<u32>().ok().map(f64::from);
        match key {
            "prefix" if value.is_empty() || value == "0" => {}
            "prefix" => ask.prefix = Some(CacheKey(xxh3_64(value.as_bytes()))),
            "prefix_len" => ask.prefix_tokens = tokens()?,
            "prompt_len" => prompt = Some(tokens()?),
            "max_out" => most = Some(tokens()?),
            _ => {}
        }
    }
    (ask.prompt_tokens, ask.max_output_tokens) = (prompt?, most?);
    (ask.prefix_tokens <= ask.prompt_tokens).then_some(())
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> ServerResponse {
    complete_response(status, Some(HeaderValue::from_static("text/plain")), text)
}

fn refusal(retry_after: Option<Micros>) -> ServerResponse {
    let mut reply = plain(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless\n");
    set_retry_after(reply.headers_mut(), retry_after);
    reply
}
