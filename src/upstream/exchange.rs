//! One exchange with an endpoint, in the protocol that the fleet speaks, told in the module's terms.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, timeout, timeout_at};

use crate::metrics::Counters;
use crate::scheduler::{EndpointId, LoadReport, Micros, Outcome, Role};
use crate::upstream::connect::{ConnectError, Connection};
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::event_framer::EventFormat;
use crate::upstream::event_stream::{ContentKind, EventStream, StreamSource};
use crate::upstream::send_gate::{AttemptDeadlines, SendDenied, SendGate};
use crate::upstream::write_progress::WriteProgress;

/// Header by which endpoints recognise repeats of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Most of an answer without a stream that is read.
const ANSWER_MOST: usize = 256 * 1024;
/// For the text behind the head of a refusal or an error, which mostly comes with it.
const REFUSAL_TEXT: Duration = Duration::from_millis(50);
/// For a probe's answer.
const PROBE: Duration = Duration::from_millis(250);

/// What a fleet's endpoints speak.
#[derive(Clone, Debug)]
pub enum UpstreamProtocol {
    /// The platform's protocol.
    Platform,
    /// The public chat completions form; headers to add, such as an authorization.
    Chat(HeaderMap),
}

/// What goes on unchanged: the core carries it and does not look inside.
#[derive(Clone, Debug)]
pub struct RequestPayload {
    /// The id that endpoints know the request by.
    pub id: Rc<str>,
    /// Path and query.
    pub target: hyper::http::uri::PathAndQuery,
    /// What the body says it is.
    pub content_type: Option<HeaderValue>,
    /// The client's `Idempotency-Key`, by which endpoints drop repeats of the request.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// What an attempt came to before any event was passed on.
pub enum AttemptResponse {
    /// The stream has begun.
    Streaming(Box<EventStream>),
    /// The prompt is read, with so many tokens found kept.
    Prefilled(f64),
    /// It ended otherwise.
    Finished(Outcome),
}

/// One fleet's endpoints and how to talk to them.
pub struct Upstream {
    pool: Rc<ConnectionPool>,
    protocol: UpstreamProtocol,
    counters: Rc<Counters>,
    held_most: Duration,
}

#[derive(Deserialize)]
struct ReadAnswer {
    #[serde(default)]
    cached_tokens: f64,
}

/// A load report; names as the platform's settings give them on sockets.
#[derive(Deserialize)]
struct Report {
    inflight: Option<f64>,
    queue: Option<f64>,
    util: Option<f64>,
    latency_ms: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

fn load(text: &[u8]) -> Option<LoadReport> {
    let report: Report = serde_json::from_slice(text).ok()?;
    Some(LoadReport {
        in_flight: report.inflight,
        queued_requests: report.queue,
        slot_utilization: report.util,
        recent_latency: report.latency_ms.map(|ms| (ms * 1000.0) as Micros),
        memory_utilization: report.x0,
        queued_prefill_tokens: report.x1.map(|k| k * 1000.0),
    })
}

/// The outcome that an answer's head tells when it is neither a stream nor a read.
fn turned(protocol: &UpstreamProtocol, status: StatusCode, headers: &HeaderMap) -> Outcome {
    let excludes_execution = match protocol {
        UpstreamProtocol::Platform => headers.get("not-started").is_some_and(|v| v == "1"),
        // Public servers turn a request away before it runs with 429 only; a 503 may come after a start.
        UpstreamProtocol::Chat(_) => status == StatusCode::TOO_MANY_REQUESTS,
    };
    match (excludes_execution, status) {
        (true, StatusCode::GONE) => Outcome::StateMissing,
        (true, _) => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

impl Upstream {
    /// A fleet behind this pool, at which a state or place may be held for so long while no attempt is out.
    pub fn new(
        pool: Rc<ConnectionPool>, protocol: UpstreamProtocol, counters: Rc<Counters>, held_most: Duration,
    ) -> Self {
        Upstream { pool, protocol, counters, held_most }
    }

    /// For how long a state or place may be held while no attempt is out.
    pub fn max_reservation(&self) -> Duration {
        self.held_most
    }

    /// Its connections.
    pub fn pool(&self) -> &Rc<ConnectionPool> {
        &self.pool
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether an endpoint is a prefill server, where states may be left.
    pub fn prefills(&self, endpoint: EndpointId) -> bool {
        self.pool.address(endpoint).is_none_or(|s| s.role == Role::Prefill)
    }

    /// Whether anything can be held at this fleet's endpoints.
    pub fn has_reservations(&self) -> bool {
        matches!(self.protocol, UpstreamProtocol::Platform)
    }

    /// Sends the request to an endpoint and waits as its times say for what it comes to. Dropping the future gives the
    /// attempt up: its connection closes.
    pub async fn run_attempt(
        self: &Rc<Self>, endpoint: EndpointId, payload: &RequestPayload, times: AttemptDeadlines,
        gate: &SendGate,
    ) -> (AttemptResponse, Option<LoadReport>) {
        self.counters.attempts.increment();
        let (begun, mut written) = (Instant::now(), None);
        let exchange = self.exchange(endpoint, payload, times, (&mut written, gate));
        match timeout_at(times.response_deadline, exchange).await {
            Ok((AttemptResponse::Finished(outcome), load)) => {
                if matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionLost) {
                    self.pool.invalidate(endpoint);
                }
                (AttemptResponse::Finished(outcome), load)
            }
            Ok(first) => first,
            Err(_) => {
                self.pool.invalidate_if_unheard_since(endpoint, begun);
                let ran = written.is_some_and(|mark: WriteProgress| mark.is_flushed());
                (
                    AttemptResponse::Finished(if ran { Outcome::TimedOut } else { Outcome::ConnectFailed }),
                    None,
                )
            }
        }
    }

    async fn exchange(
        self: &Rc<Self>, endpoint: EndpointId, payload: &RequestPayload, times: AttemptDeadlines,
        (written, gate): (&mut Option<WriteProgress>, &SendGate),
    ) -> (AttemptResponse, Option<LoadReport>) {
        let ended = |outcome| (AttemptResponse::Finished(outcome), None);
        let (connection, response, _out) = loop {
            *written = None;
            let mut connection = match self.connection(endpoint, &times).await {
                Ok(connection) => connection,
                Err(ConnectError::Endpoint) => return ended(Outcome::ConnectFailed),
                Err(ConnectError::Local) => return ended(Outcome::NotSent),
            };
            let out = match gate.admit(self.pool.address(endpoint).as_ref(), &times) {
                Ok(out) => out,
                Err(denied) => {
                    tracing::debug!(request_id = %payload.id, endpoint = endpoint.0, reason = ?denied, "attempt not sent");
                    self.pool.put_back(endpoint, connection);
                    let moot = denied == SendDenied::RequestEnded;
                    return ended(if moot { Outcome::Abandoned } else { Outcome::NotSent });
                }
            };
            let body = connection.body(payload.body.clone());
            let mark = body.progress();
            *written = Some(mark.clone());
            let mut request = Request::new(body);
            self.head(endpoint, payload, times.response_deadline, &mut request);
            match connection.sender().try_send_request(request).await {
                Ok(response) => break (connection, response, out),
                // The library gives back a request of which it has written nothing; only then, and only for a
                // kept connection that had just closed, is another one used. Nothing is ever sent twice.
                Err(mut error) => {
                    let untouched = error.take_message().is_some() && !mark.is_flushed();
                    if !untouched || !connection.is_reused() {
                        return ended(match (mark.is_flushed(), error.error().is_parse()) {
                            (false, _) => Outcome::ConnectFailed,
                            (true, true) => Outcome::Malformed,
                            (true, false) => Outcome::ConnectionLost,
                        });
                    }
                }
            }
        };
        let (head, body) = response.into_parts();
        let report = head.headers.get("server-load").and_then(|v| load(v.as_bytes()));
        if head.status == StatusCode::OK || self.is_answer(head.status) {
            let chat = matches!(self.protocol, UpstreamProtocol::Chat(_));
            let format = if chat { EventFormat::ChatCompletions } else { EventFormat::Opaque };
            let source = StreamSource { pool: self.pool.clone(), endpoint, connection, body };
            let kind = ContentKind::of(head.status, &head.headers);
            let mut events = EventStream::new(source, kind, format);
            // The platform's servers answer in streams of events; what is none was not made for this request.
            if !chat && !events.kind().is_event_stream() {
                return (AttemptResponse::Finished(Outcome::Malformed), report);
            }
            return match events.wait_for_first_event().await {
                Ok(()) => (AttemptResponse::Streaming(Box::new(events)), report),
                Err(outcome) => (AttemptResponse::Finished(outcome), report),
            };
        }
        let text = Limited::new(body, ANSWER_MOST).collect();
        let whole = match head.status {
            StatusCode::ACCEPTED => text.await.ok(),
            // The status says all; its text is read for the connection's sake alone.
            _ => timeout(REFUSAL_TEXT, text).await.ok().and_then(Result::ok),
        };
        let whole = whole.map(|text| text.to_bytes());
        if whole.is_some() {
            self.pool.put_back(endpoint, connection);
        }
        match (head.status, whole) {
            (StatusCode::ACCEPTED, Some(text)) if self.has_reservations() => {
                let kept = serde_json::from_slice(&text).map_or(0.0, |a: ReadAnswer| a.cached_tokens);
                (AttemptResponse::Prefilled(kept), report)
            }
            (StatusCode::ACCEPTED, None) => ended(Outcome::ConnectionLost),
            (status, _) => (AttemptResponse::Finished(turned(&self.protocol, status, &head.headers)), report),
        }
    }

    /// A connection for an attempt, waited for no longer than the attempt may begin.
    async fn connection(
        &self, endpoint: EndpointId, times: &AttemptDeadlines,
    ) -> Result<Connection, ConnectError> {
        let wait = async {
            match times.reserved {
                true => self.pool.verified_connection(endpoint).await,
                false => self.pool.connection(endpoint).await,
            }
        };
        match times.start_deadline {
            Some(by) => timeout_at(by, wait).await.unwrap_or(Err(ConnectError::Local)),
            None => wait.await,
        }
    }

    /// A public server's word on the request itself, such as a field that it does not take, is the client's
    /// answer: another server would say the same.
    fn is_answer(&self, status: StatusCode) -> bool {
        let own = [401, 403, 407, 408, 409, 425, 429].contains(&status.as_u16());
        matches!(self.protocol, UpstreamProtocol::Chat(_)) && status.is_client_error() && !own
    }

    fn head<B>(
        &self, endpoint: EndpointId, payload: &RequestPayload, until: Instant, request: &mut Request<B>,
    ) {
        *request.method_mut() = Method::POST;
        *request.uri_mut() = payload.target.clone().into();
        let headers = request.headers_mut();
        if let UpstreamProtocol::Chat(extra) = &self.protocol {
            headers.extend(extra.clone());
        }
        self.host_header(endpoint, headers);
        let mut put = |name: &'static str, value: Option<HeaderValue>| {
            value.map(|value| headers.insert(name, value));
        };
        put("request-id", HeaderValue::from_str(&payload.id).ok());
        put(CONTENT_TYPE.as_str(), payload.content_type.clone());
        put(IDEMPOTENCY_KEY, payload.idempotency_key.clone());
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        put("request-timeout-ms", Some(left.max(1).into()));
    }

    fn host_header(&self, endpoint: EndpointId, headers: &mut HeaderMap) {
        let addr = self.pool.address(endpoint).and_then(|s| HeaderValue::from_str(&s.addr.to_string()).ok());
        addr.map(|addr| headers.insert(HOST, addr));
    }

    /// A call without a body: its answer with the body read, while an answer of any kind came.
    async fn call(&self, endpoint: EndpointId, method: Method, path: &str) -> Option<Response<Bytes>> {
        let mut connection = self.pool.connection(endpoint).await.ok()?;
        let body = connection.body(Bytes::new());
        let mut request = Request::builder().method(method).uri(path).body(body).ok()?;
        self.host_header(endpoint, request.headers_mut());
        let response = connection.sender().try_send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_MOST).collect().await.ok()?.to_bytes();
        self.pool.put_back(endpoint, connection);
        Some(Response::from_parts(head, body))
    }

    /// Lets go of all that is held for the request, by way of one endpoint; whether that endpoint took the call.
    pub async fn release_at(&self, endpoint: EndpointId, id: &str) -> bool {
        let answer = self.call(endpoint, Method::DELETE, &format!("/kv/leases/{id}")).await;
        answer.is_some_and(|a| a.status().is_success())
    }

    /// Asks an endpoint how it is.
    pub async fn health_check(&self, endpoint: EndpointId) -> (Outcome, Option<LoadReport>) {
        self.counters.probes.increment();
        match timeout(PROBE, self.call(endpoint, Method::GET, "/-/load")).await {
            Ok(Some(answer)) if answer.status() == StatusCode::OK => {
                (Outcome::Completed, load(answer.body()))
            }
            Ok(Some(_)) => (Outcome::Error, None),
            Ok(None) => (Outcome::ConnectFailed, None),
            Err(_) => (Outcome::TimedOut, None),
        }
    }
}
