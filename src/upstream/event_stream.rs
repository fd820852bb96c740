//! A streaming response from an endpoint: yields complete events, and reports an error if the stream breaks.

use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::scheduler::{EndpointId, Outcome};
use crate::upstream::connect::Connection;
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::event_framer::{EventFormat, EventFramer, MalformedEvents};
use crate::upstream::response_head::ResponseHead;
use crate::upstream::stream_error::{StreamChunk, StreamError};

/// Maximum time without an event on a running stream before its endpoint counts as dead. Clients wait for 5.05 s;
/// the rest is for a process that is held up for 0.15 s, and for closing the client's connection.
const MAX_SILENCE: Duration = Duration::from_millis(4_880);

/// The source of a stream.
pub(super) struct StreamSource {
    /// The ID of the request that is answered.
    pub(super) request_id: Rc<str>,
    /// Receives the connection when the stream is complete.
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) endpoint: EndpointId,
    pub(super) connection: Connection,
    pub(super) body: Incoming,
}

/// Why a stream cannot be read any further.
#[derive(Debug, thiserror::Error)]
enum ReadFailure {
    /// The connection was lost, or the response is not valid HTTP or too large.
    #[error("{}", root_cause(.0))]
    Body(hyper::Error),
    /// The body ended before the stream did.
    #[error("the body ended before the stream was complete")]
    EndOfBody,
    /// No event arrived for too long.
    #[error("no event for {} ms", MAX_SILENCE.as_millis())]
    Silence,
    /// The data is not a stream of events.
    #[error(transparent)]
    Events(#[from] MalformedEvents),
}

impl ReadFailure {
    fn stream_error(&self) -> StreamError {
        match self {
            ReadFailure::Body(error) => StreamError::classify(error),
            ReadFailure::EndOfBody | ReadFailure::Silence => StreamError::Interrupted,
            ReadFailure::Events(_) => StreamError::Malformed,
        }
    }
}

/// Returns the error at the end of the chain of sources, which is the most specific one.
fn root_cause(error: &hyper::Error) -> &dyn Error {
    let mut cause: &dyn Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause
}

/// A streaming response from an endpoint. Dropping it closes the connection.
pub struct EventStream {
    request_id: Rc<str>,
    pool: Rc<ConnectionPool>,
    endpoint: EndpointId,
    /// `None` once the stream is complete or broken.
    connection: Option<Connection>,
    body: Incoming,
    head: ResponseHead,
    /// Events that were read while waiting for the first event and have not been returned yet.
    first_events: Option<Bytes>,
    /// `None` if the response is not an event stream. Its bytes are then forwarded as they arrive.
    framer: Option<EventFramer>,
    ended: bool,
}

impl EventStream {
    /// Creates a stream for a response whose head has been received.
    pub(super) fn new(source: StreamSource, head: ResponseHead, format: EventFormat) -> Self {
        let framer = if head.is_event_stream() { Some(EventFramer::new(format)) } else { None };
        EventStream {
            request_id: source.request_id,
            pool: source.pool,
            endpoint: source.endpoint,
            connection: Some(source.connection),
            body: source.body,
            head,
            first_events: None,
            framer,
            ended: false,
        }
    }

    /// Waits for the first event. A response that breaks, ends, is malformed or reports an error before that
    /// does not count as started.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt if the stream did not start.
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
            Some(Err(error)) => Err(error.into()),
            None => Err(Outcome::ConnectionLost),
        }
    }

    /// Returns the response's status and content type.
    pub fn head(&self) -> &ResponseHead {
        &self.head
    }

    /// Returns whether an event reported an error.
    pub fn reported_error(&self) -> bool {
        self.framer.as_ref().is_some_and(EventFramer::reported_error)
    }

    /// Returns the next complete events, unchanged, or `None` after the end of a complete stream.
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
        // Silence is measured from here, because the endpoint's connection is not read while the client is
        // slow.
        let silence_deadline = Instant::now() + MAX_SILENCE;
        loop {
            let frame = match self.next_frame(silence_deadline).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return self.handle_end_of_body(),
                Err(failure) => return self.fail_unless_error_reported(&failure),
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else { continue };
            match self.complete_events(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Some(Ok(events)),
                Err(error) => return self.fail(&error.into()),
            }
        }
    }

    /// Waits for the next frame of the body until `silence_deadline`.
    async fn next_frame(&mut self, silence_deadline: Instant) -> Result<Option<Frame<Bytes>>, ReadFailure> {
        match timeout_at(silence_deadline, self.body.frame()).await {
            Ok(frame) => frame.transpose().map_err(ReadFailure::Body),
            Err(_elapsed) => Err(ReadFailure::Silence),
        }
    }

    /// Returns a copy of the events that are complete with this data.
    fn complete_events(&mut self, data: &[u8]) -> Result<Bytes, MalformedEvents> {
        match &mut self.framer {
            Some(framer) if !data.is_empty() => framer.push(data),
            _ => Ok(Bytes::copy_from_slice(data)),
        }
    }

    /// Handles the end of the body: returns the connection to the pool if the stream is complete.
    fn handle_end_of_body(&mut self) -> Option<StreamChunk> {
        if !self.framer.as_mut().is_none_or(EventFramer::is_complete_at_end) {
            return self.fail(&ReadFailure::EndOfBody);
        }
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(self.endpoint, connection);
        }
        let remainder = self.framer.as_mut()?.take_remainder();
        if remainder.is_empty() { None } else { Some(Ok(remainder)) }
    }

    /// Ends a broken stream. After an error event the client already has its response, so no error is added.
    fn fail_unless_error_reported(&mut self, failure: &ReadFailure) -> Option<StreamChunk> {
        if self.reported_error() {
            self.ended = true;
            return None;
        }
        self.fail(failure)
    }

    fn fail(&mut self, failure: &ReadFailure) -> Option<StreamChunk> {
        tracing::debug!(
            request_id = %self.request_id,
            endpoint = self.endpoint.0,
            reason = %failure,
            incomplete_chunk = self.connection.as_ref().and_then(Connection::incomplete_chunk),
            "stream failed"
        );
        // The endpoint's other connections may be silent too.
        if matches!(failure, ReadFailure::Silence) {
            self.pool.invalidate(self.endpoint);
        }
        self.ended = true;
        self.connection = None;
        Some(Err(failure.stream_error()))
    }
}
