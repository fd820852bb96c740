//! A response that streams from an endpoint: passed on in complete events, and failing visibly when it breaks.

use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use tokio::time::{Instant, timeout_at};

use crate::scheduler::{EndpointId, Outcome};
use crate::upstream::connect::Connection;
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::event_framer::{EventFormat, EventFramer, MalformedEvents};

/// Longest time without an event on a running stream, after which its endpoint counts as dead. It is below
/// the 5 s for which clients may be left without an event.
const MAX_SILENCE: Duration = Duration::from_millis(4_300);

/// The content type of a stream of events, without parameters.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// What an endpoint says that its response is; carried to the client without a look inside.
#[derive(Clone, Debug)]
pub struct ContentKind {
    /// The status.
    pub status: StatusCode,
    /// The type of content.
    pub content_type: Option<HeaderValue>,
}

impl ContentKind {
    /// The kind that a response's head gives.
    pub(super) fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        ContentKind { status, content_type: headers.get(CONTENT_TYPE).cloned() }
    }

    /// Whether the response is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        let Some(content_type) = &self.content_type else { return false };
        let media_type = content_type.as_bytes().get(..EVENT_STREAM_TYPE.len());
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM_TYPE))
    }
}

/// Where a stream comes from.
pub(super) struct StreamSource {
    /// Takes the connection back when the stream has ended completely.
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) endpoint: EndpointId,
    pub(super) connection: Connection,
    pub(super) body: Incoming,
}

/// The stream ended before it was complete; the client's connection must show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamBroken {
    /// It was cut off, or went silent.
    #[error("the stream was cut off")]
    Cut,
    /// It went on with what is no event stream.
    #[error("the stream was malformed")]
    Malformed,
}

/// A piece of a stream, or that it broke.
pub type StreamChunk = Result<Bytes, StreamBroken>;

/// A response that streams from an endpoint. Dropping it closes the connection.
pub struct EventStream {
    pool: Rc<ConnectionPool>,
    endpoint: EndpointId,
    /// None once the stream has ended completely or broken.
    connection: Option<Connection>,
    body: Incoming,
    kind: ContentKind,
    /// Events that were read and have not been taken.
    first_events: Option<Bytes>,
    /// None for a response that is no stream of events: its bytes are passed on as they come.
    framer: Option<EventFramer>,
    ended: bool,
}

impl EventStream {
    /// A response whose head has come.
    pub(super) fn new(source: StreamSource, kind: ContentKind, format: EventFormat) -> Self {
        let framer = if kind.is_event_stream() { Some(EventFramer::new(format)) } else { None };
        EventStream {
            pool: source.pool,
            endpoint: source.endpoint,
            connection: Some(source.connection),
            body: source.body,
            kind,
            first_events: None,
            framer,
            ended: false,
        }
    }

    /// Waits for the first event. A response that breaks, ends, is malformed or reports an error before it
    /// has not begun.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt whose stream did not begin.
    pub async fn wait_for_first_event(&mut self) -> Result<(), Outcome> {
        let first = self.read().await;
        if self.reported_error() {
            return Err(Outcome::Error);
        }
        match first {
            Some(Ok(events)) => {
                self.first_events = Some(events);
                Ok(())
            }
            Some(Err(StreamBroken::Malformed)) => Err(Outcome::Malformed),
            Some(Err(StreamBroken::Cut)) | None => Err(Outcome::ConnectionLost),
        }
    }

    /// What the endpoint says that the response is.
    pub fn kind(&self) -> &ContentKind {
        &self.kind
    }

    /// Whether an event reported an error.
    pub fn reported_error(&self) -> bool {
        self.framer.as_ref().is_some_and(EventFramer::reported_error)
    }

    /// The next complete events as they came; none after the end of a complete stream.
    pub async fn next_events(&mut self) -> Option<StreamChunk> {
        match self.first_events.take() {
            Some(events) => Some(Ok(events)),
            None => self.read().await,
        }
    }

    async fn read(&mut self) -> Option<StreamChunk> {
        if self.ended {
            return None;
        }
        // Silence counts from here: while a client is slow to read, nobody reads from the endpoint.
        let deadline = Instant::now() + MAX_SILENCE;
        loop {
            let frame = match timeout_at(deadline, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return self.end_unless_error_reported(failure_kind(&error)),
                Ok(None) => return self.end_of_body(),
                Err(_elapsed) => return self.silent(),
            };
            // Trailers carry nothing that is passed on.
            let Ok(data) = frame.into_data() else { continue };
            match self.complete_events(data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Some(Ok(events)),
                Err(MalformedEvents) => return self.break_off(StreamBroken::Malformed),
            }
        }
    }

    fn complete_events(&mut self, data: Bytes) -> Result<Bytes, MalformedEvents> {
        match &mut self.framer {
            Some(framer) if !data.is_empty() => framer.push(data),
            _ => Ok(data),
        }
    }

    /// The body has ended: gives the connection back if the stream is complete.
    fn end_of_body(&mut self) -> Option<StreamChunk> {
        if !self.framer.as_mut().is_none_or(EventFramer::ends_complete) {
            return self.break_off(StreamBroken::Cut);
        }
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(self.endpoint, connection);
        }
        let remainder = self.framer.as_mut()?.take_remainder();
        if remainder.is_empty() { None } else { Some(Ok(remainder)) }
    }

    /// The endpoint has been silent for too long, and may be on its other connections.
    fn silent(&mut self) -> Option<StreamChunk> {
        if !self.reported_error() {
            self.pool.invalidate(self.endpoint);
        }
        self.end_unless_error_reported(StreamBroken::Cut)
    }

    /// Ends a stream that broke. After an error event a break adds nothing: the client has its response.
    fn end_unless_error_reported(&mut self, broken: StreamBroken) -> Option<StreamChunk> {
        if self.reported_error() {
            self.ended = true;
            return None;
        }
        self.break_off(broken)
    }

    fn break_off(&mut self, broken: StreamBroken) -> Option<StreamChunk> {
        self.ended = true;
        self.connection = None;
        Some(Err(broken))
    }
}

/// How a stream broke whose body failed: by bytes that are not HTTP, or with its connection.
fn failure_kind(error: &hyper::Error) -> StreamBroken {
    let io_kind = error.source().and_then(|source| source.downcast_ref::<io::Error>()).map(io::Error::kind);
    let is_invalid = matches!(io_kind, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData));
    if error.is_parse() || is_invalid { StreamBroken::Malformed } else { StreamBroken::Cut }
}
