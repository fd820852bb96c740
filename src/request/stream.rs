//! Forwards a started response to the client, event by event and without changing its bytes.

use tokio::sync::mpsc;

use super::attempt::{Attempt, StartedStream};
use super::lifecycle::RequestTask;
use super::responder::RoutedResponse;
use crate::scheduler::Outcome;
use crate::scheduler_handle::{RequestCommand, RequestHandle};
use crate::upstream::event_stream::EventStream;
use crate::upstream::stream_error::{StreamChunk, StreamError};

/// Number of chunks buffered for a slow client. When the buffer is full, the endpoint's connection is not
/// read, so backpressure reaches the endpoint and the router's memory use stays bounded.
const MAX_BUFFERED_CHUNKS: usize = 1;

/// How the forwarding of a stream ended.
enum ForwardResult {
    /// The stream is complete.
    Complete,
    /// The stream broke.
    Broken(StreamError),
    /// The stream ended with an error event from the endpoint.
    ReportedError,
    /// The client disconnected.
    ClientDisconnected,
}

impl RequestTask {
    /// Forwards a stream to its end. After the first event the request can no longer move to another
    /// endpoint, and no deadline applies.
    pub(super) async fn forward_stream(&mut self, stream: StartedStream) {
        let StartedStream { events, attempt } = stream;
        self.reservation.mark_transferred();
        self.report_first_token(&attempt);
        let result = self.forward_to_client(events).await;
        let outcome = self.count_stream(&result);
        self.settled = true;
        self.finish_attempt(&attempt, outcome.into());
    }

    /// Reports the time to first token to the scheduler. A unary response does not reveal it.
    fn report_first_token(&self, attempt: &Attempt) {
        if self.unary {
            return;
        }
        let elapsed = attempt.elapsed();
        tracing::debug!(
            request_id = %self.id,
            attempt = attempt.id.0,
            elapsed_us = elapsed,
            "stream started"
        );
        self.scheduler.report_first_token(attempt.id, attempt.send.endpoint, elapsed);
    }

    /// Answers with the stream and forwards it until it ends or the scheduler migrates it. When this returns,
    /// the stream is closed on both sides.
    async fn forward_to_client(&mut self, mut events: Box<EventStream>) -> ForwardResult {
        let (client, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let head = events.head().clone();
        if self.settled || !self.responder.respond(RoutedResponse::Body { head, chunks }) {
            return ForwardResult::ClientDisconnected;
        }
        let result = tokio::select! {
            result = forward_events(&mut events, &client) => result,
            () = wait_for_migration(&mut self.scheduler) => {
                // The client resumes the stream with another request.
                let _ = client.try_send(Err(StreamError::Interrupted));
                ForwardResult::Broken(StreamError::Interrupted)
            }
        };
        // Close the endpoint's side first.
        drop(events);
        result
    }

    /// Counts how a stream ended and returns the outcome of its attempt.
    fn count_stream(&mut self, result: &ForwardResult) -> Outcome {
        match result {
            ForwardResult::Complete => {
                self.context.counters.completed.increment();
                Outcome::Completed
            }
            ForwardResult::Broken(error) => {
                self.context.counters.interrupted.increment();
                (*error).into()
            }
            ForwardResult::ReportedError => {
                self.context.counters.failed.increment();
                Outcome::Error
            }
            ForwardResult::ClientDisconnected => {
                if !self.settled {
                    self.handle_client_disconnect();
                }
                Outcome::Cancelled
            }
        }
    }
}

/// Forwards events until the stream ends or the client disconnects.
async fn forward_events(events: &mut EventStream, client: &mpsc::Sender<StreamChunk>) -> ForwardResult {
    loop {
        let chunk = tokio::select! {
            () = client.closed() => return ForwardResult::ClientDisconnected,
            chunk = events.next_events() => chunk,
        };
        match chunk {
            Some(Ok(bytes)) => {
                if client.send(Ok(bytes)).await.is_err() {
                    return ForwardResult::ClientDisconnected;
                }
            }
            Some(Err(error)) => {
                // If the channel is full because the client is slow, the error waits for capacity, but a
                // client disconnect still ends the wait.
                if client.send(Err(error)).await.is_err() {
                    return ForwardResult::ClientDisconnected;
                }
                return ForwardResult::Broken(error);
            }
            None if events.reported_error() => return ForwardResult::ReportedError,
            None => return ForwardResult::Complete,
        }
    }
}

/// Waits for the command to migrate the stream.
async fn wait_for_migration(scheduler: &mut RequestHandle) {
    loop {
        match scheduler.next_command().await {
            RequestCommand::Migrate => return,
            // The scheduler is gone, so the process is exiting. The stream continues until then.
            RequestCommand::Fail => std::future::pending().await,
            RequestCommand::Send(_)
            | RequestCommand::Cancel(_)
            | RequestCommand::Reject(_)
            | RequestCommand::ReleaseReservation
            | RequestCommand::Closed => {}
        }
    }
}
