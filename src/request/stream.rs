//! Forwards a started response to the client, event by event and without changing its bytes.

use tokio::sync::mpsc;

use super::attempt::{Attempt, StartedStream};
use super::lifecycle::RequestTask;
use super::responder::RoutedResponse;
use crate::scheduler::Outcome;
use crate::scheduler_handle::{RequestCommand, RequestHandle};
use crate::upstream::event_stream::{EventStream, StreamBroken, StreamChunk};

/// Number of chunks buffered for a slow client. When the buffer is full, the endpoint's connection is not
/// read, so back-pressure reaches the endpoint and the router's memory use stays bounded.
const MAX_WAITING_CHUNKS: usize = 4;

/// How the forwarding of a stream ended.
enum Forwarded {
    /// The stream is complete.
    Complete,
    /// The stream broke.
    Broken(StreamBroken),
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
        self.reservation.transferred();
        self.report_first_token(&attempt);
        let forwarded = self.forward_to_client(events).await;
        let outcome = self.count_stream(&forwarded);
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
        self.scheduler.first_token(attempt.id, attempt.send.endpoint, elapsed);
    }

    /// Answers with the stream and forwards it until it ends or the scheduler migrates it. When this returns,
    /// the stream is closed on both sides.
    async fn forward_to_client(&mut self, mut events: Box<EventStream>) -> Forwarded {
        let (client, chunks) = mpsc::channel(MAX_WAITING_CHUNKS);
        let kind = events.kind().clone();
        if self.settled || !self.responder.respond(RoutedResponse::Body { kind, chunks }) {
            return Forwarded::ClientDisconnected;
        }
        let forwarded = tokio::select! {
            forwarded = forward_events(&mut events, &client) => forwarded,
            () = migration_requested(&mut self.scheduler) => {
                // The client resumes the stream with another request.
                let _ = client.try_send(Err(StreamBroken::Cut));
                Forwarded::Broken(StreamBroken::Cut)
            }
        };
        // Close the endpoint's side first.
        drop(events);
        forwarded
    }

    /// Counts how a stream ended and returns the outcome of its attempt.
    fn count_stream(&mut self, forwarded: &Forwarded) -> Outcome {
        match forwarded {
            Forwarded::Complete => {
                self.context.counters.completed.increment();
                Outcome::Completed
            }
            Forwarded::Broken(broken) => {
                self.context.counters.interrupted.increment();
                match broken {
                    StreamBroken::Malformed => Outcome::Malformed,
                    StreamBroken::Cut => Outcome::ConnectionLost,
                }
            }
            Forwarded::ReportedError => {
                self.context.counters.failed.increment();
                Outcome::Error
            }
            Forwarded::ClientDisconnected => {
                if !self.settled {
                    self.client_disconnected();
                }
                Outcome::Cancelled
            }
        }
    }
}

/// Forwards events until the stream ends or the client disconnects.
async fn forward_events(events: &mut EventStream, client: &mpsc::Sender<StreamChunk>) -> Forwarded {
    loop {
        let chunk = tokio::select! {
            () = client.closed() => return Forwarded::ClientDisconnected,
            chunk = events.next_events() => chunk,
        };
        match chunk {
            Some(Ok(bytes)) => {
                if client.send(Ok(bytes)).await.is_err() {
                    return Forwarded::ClientDisconnected;
                }
            }
            Some(Err(broken)) => {
                // If the channel is full because the client is slow, the error waits for capacity, but a
                // client disconnect still ends the wait.
                if client.send(Err(broken)).await.is_err() {
                    return Forwarded::ClientDisconnected;
                }
                return Forwarded::Broken(broken);
            }
            None if events.reported_error() => return Forwarded::ReportedError,
            None => return Forwarded::Complete,
        }
    }
}

/// Waits for the command to migrate the stream.
async fn migration_requested(scheduler: &mut RequestHandle) {
    loop {
        match scheduler.next_command().await {
            RequestCommand::Migrate => return,
            // The scheduler is gone, so the process is exiting. The stream continues until then.
            RequestCommand::Fail => std::future::pending().await,
            RequestCommand::Send(_)
            | RequestCommand::Cancel(_)
            | RequestCommand::Reject(_)
            | RequestCommand::ReleaseReservation
            | RequestCommand::Forgotten => {}
        }
    }
}
