//! A streaming response from an endpoint: yields complete events, and reports an error if the stream breaks.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::scheduler::{EndpointId, Outcome};
use crate::upstream::chunk_timer::ChunkTimer;
use crate::upstream::connect::Connection;
use crate::upstream::connection_pool::ConnectionPool;
use crate::upstream::event_framer::{EventFormat, EventFramer, MalformedEvents};
use crate::upstream::response_head::ResponseHead;
use crate::upstream::stream_error::{StreamChunk, StreamError};

/// Maximum time without an event on a running stream before its endpoint counts as dead. Lower than the 5 s
/// for which clients may be left without an event.
const MAX_SILENCE: Duration = Duration::from_millis(4_300);

/// The source of a stream.
pub(super) struct StreamSource {
    /// Receives the connection when the stream is complete.
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) endpoint: EndpointId,
    pub(super) connection: Connection,
    pub(super) body: Incoming,
}

/// Why the wait for a frame of a stream ended without one.
enum WaitExpired {
    /// No event arrived for too long.
    Silence,
    /// Bytes still arrive, but the current chunk should have been complete.
    IncompleteChunk,
}

/// A streaming response from an endpoint. Dropping it closes the connection.
pub struct EventStream {
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
    chunk_timer: ChunkTimer,
    ended: bool,
}

impl EventStream {
    /// Creates a stream for a response whose head has been received.
    pub(super) fn new(source: StreamSource, head: ResponseHead, format: EventFormat) -> Self {
        let framer = if head.is_event_stream() { Some(EventFramer::new(format)) } else { None };
        EventStream {
            pool: source.pool,
            endpoint: source.endpoint,
            connection: Some(source.connection),
            body: source.body,
            head,
            first_events: None,
            framer,
            chunk_timer: ChunkTimer::default(),
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
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    return self.fail_unless_error_reported(StreamError::classify(&error));
                }
                Ok(None) => return self.handle_end_of_body(),
                Err(WaitExpired::Silence) => return self.handle_silence(),
                Err(WaitExpired::IncompleteChunk) => {
                    return self.fail_unless_error_reported(StreamError::Malformed);
                }
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else { continue };
            match self.complete_events(data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Some(Ok(events)),
                Err(MalformedEvents) => return self.fail(StreamError::Malformed),
            }
        }
    }

    /// Waits for the next frame of the body until `silence_deadline`, or until the current chunk has taken too
    /// long.
    async fn next_frame(
        &mut self, silence_deadline: Instant,
    ) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, WaitExpired> {
        let wait_started = Instant::now();
        let chunk = self.connection.as_ref().and_then(Connection::incomplete_chunk);
        let chunk_deadline = self.chunk_timer.deadline(chunk, wait_started);
        let deadline = chunk_deadline.map_or(silence_deadline, |deadline| deadline.min(silence_deadline));
        let received = timeout_at(deadline, self.body.frame()).await;
        self.chunk_timer.record_wait(wait_started.elapsed());
        received.map_err(|_elapsed| {
            if deadline == silence_deadline { WaitExpired::Silence } else { WaitExpired::IncompleteChunk }
        })
    }

    fn complete_events(&mut self, data: Bytes) -> Result<Bytes, MalformedEvents> {
        match &mut self.framer {
            Some(framer) if !data.is_empty() => framer.push(data),
            _ => Ok(data),
        }
    }

    /// Handles the end of the body: returns the connection to the pool if the stream is complete.
    fn handle_end_of_body(&mut self) -> Option<StreamChunk> {
        if !self.framer.as_mut().is_none_or(EventFramer::is_complete_at_end) {
            return self.fail(StreamError::Interrupted);
        }
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(self.endpoint, connection);
        }
        let remainder = self.framer.as_mut()?.take_remainder();
        if remainder.is_empty() { None } else { Some(Ok(remainder)) }
    }

    /// Handles a silent endpoint, whose other connections may be silent too.
    fn handle_silence(&mut self) -> Option<StreamChunk> {
        if !self.reported_error() {
            self.pool.invalidate(self.endpoint);
        }
        self.fail_unless_error_reported(StreamError::Interrupted)
    }

    /// Ends a broken stream. After an error event the client already has its response, so no error is added.
    fn fail_unless_error_reported(&mut self, error: StreamError) -> Option<StreamChunk> {
        if self.reported_error() {
            self.ended = true;
            return None;
        }
        self.fail(error)
    }

    fn fail(&mut self, error: StreamError) -> Option<StreamChunk> {
        self.ended = true;
        self.connection = None;
        Some(Err(error))
    }
}
