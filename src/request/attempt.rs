//! Runs one attempt of a request: sends it, waits for its first event and reports its outcome to the
//! scheduler.

use std::ops::ControlFlow;

use tokio::time::Instant;

use super::lifecycle::{RequestTask, TaskEvent};
use crate::clock::duration_from_micros;
use crate::scheduler::{AttemptId, LoadReport, Micros, Outcome};
use crate::scheduler_handle::{AttemptSummary, RequestCommand, SendCommand};
use crate::upstream::event_stream::EventStream;
use crate::upstream::exchange::{AttemptResponse, FirstResponse, RequestPayload};
use crate::upstream::send_gate::AttemptDeadlines;

/// An attempt in progress.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) send: SendCommand,
    started_at: Instant,
}

impl Attempt {
    /// Returns the time since the task received the scheduler's command.
    pub(super) fn elapsed(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns the deadline for the first event: the earlier of the attempt's timeout and the request's
    /// deadline.
    fn response_deadline(&self, request_deadline: Instant) -> Instant {
        let attempt_deadline = self.started_at + duration_from_micros(self.send.timeout);
        attempt_deadline.min(request_deadline)
    }

    /// Returns the time by which the attempt must have started, or `None` if there is no such limit.
    fn start_deadline(&self) -> Option<Instant> {
        let start_within = self.send.start_within?;
        Some(self.started_at + duration_from_micros(start_within))
    }
}

/// A response whose first event has arrived, and the attempt it belongs to.
pub(super) struct StartedStream {
    pub(super) events: Box<EventStream>,
    pub(super) attempt: Attempt,
}

/// What the request's task does after an attempt.
pub(super) enum NextStep {
    /// Wait for the scheduler's next command.
    AwaitCommand,
    /// End the task: the client has its final answer or has disconnected.
    Finish,
    /// Forward the response, which has started, to the client.
    Forward(StartedStream),
}

/// The result of an attempt.
pub(super) struct AttemptResult {
    outcome: Outcome,
    /// Number of prompt tokens found in the endpoint's cache.
    cached_tokens: f64,
    load_report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    /// Builds the result of an attempt for which the endpoint reported nothing but the outcome.
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, cached_tokens: 0.0, load_report: None }
    }
}

impl RequestTask {
    /// Runs one attempt until it ends, is cancelled, or its stream starts.
    pub(super) async fn run_attempt(&mut self, send: SendCommand, payload: &RequestPayload) -> NextStep {
        let attempt = self.start_attempt(send);
        if self.settled {
            return self.finish_attempt(&attempt, Outcome::Abandoned.into());
        }
        let is_prefill = self.context.upstream.is_prefill_endpoint(send.endpoint);
        if is_prefill && !self.release_before_prefill().await {
            return self.finish_attempt(&attempt, Outcome::Abandoned.into());
        }
        let FirstResponse { response, load_report } = self.first_response(&attempt, payload).await;
        match response {
            AttemptResponse::Streaming(events) => NextStep::Forward(StartedStream { events, attempt }),
            AttemptResponse::Prefilled(cached_tokens) => {
                self.reservation.start();
                let result = AttemptResult { outcome: Outcome::Prefilled, cached_tokens, load_report };
                self.finish_attempt(&attempt, result)
            }
            AttemptResponse::Finished(outcome) => {
                if is_prefill {
                    self.release_after_failed_prefill(outcome);
                }
                self.reservation.record_attempt(outcome, attempt.elapsed());
                self.finish_attempt(&attempt, AttemptResult { outcome, cached_tokens: 0.0, load_report })
            }
        }
    }

    /// Assigns the next attempt ID and logs the start of the attempt.
    fn start_attempt(&mut self, send: SendCommand) -> Attempt {
        let attempt = Attempt { id: AttemptId(self.attempts), send, started_at: Instant::now() };
        self.attempts += 1;
        tracing::debug!(
            request_id = %self.id,
            attempt = attempt.id.0,
            endpoint = send.endpoint.0,
            timeout_us = send.timeout,
            "attempt started"
        );
        attempt
    }

    /// Counts and logs an attempt's outcome and reports it to the scheduler.
    pub(super) fn finish_attempt(&mut self, attempt: &Attempt, result: AttemptResult) -> NextStep {
        let AttemptResult { outcome, cached_tokens, load_report } = result;
        self.last_outcome = Some(outcome);
        self.context.counters.record_attempt_outcome(outcome);
        let elapsed = attempt.elapsed();
        tracing::debug!(
            request_id = %self.id,
            attempt = attempt.id.0,
            ?outcome,
            elapsed_us = elapsed,
            cached_tokens,
            "attempt finished"
        );
        self.scheduler.report_attempt_finished(AttemptSummary {
            attempt: attempt.id,
            endpoint: attempt.send.endpoint,
            outcome,
            is_final: self.settled,
            cached_tokens,
            elapsed,
            load_report,
        });
        if self.settled { NextStep::Finish } else { NextStep::AwaitCommand }
    }

    /// Releases the reservation of an earlier prefill. Returns `false` if the client disconnects in the
    /// meantime.
    async fn release_before_prefill(&mut self) -> bool {
        let client_disconnected = tokio::select! {
            () = self.reservation.release_before_prefill() => false,
            () = self.responder.wait_for_disconnect() => true,
        };
        if client_disconnected {
            self.handle_client_disconnect();
        }
        !client_disconnected
    }

    /// Releases what may be reserved after a prefill without a result, so that it does not stay reserved past
    /// its limit: the prompt may have been prefilled even though the response was lost, or an earlier release
    /// was aborted before this prefill.
    fn release_after_failed_prefill(&mut self, outcome: Outcome) {
        if !outcome.excludes_execution() {
            self.reservation.start();
        }
        self.reservation.release();
    }

    /// Sends the attempt and waits for its first event. In the meantime the scheduler may cancel the attempt.
    /// A client disconnect is reported to the scheduler, which decides whether to cancel.
    async fn first_response(&mut self, attempt: &Attempt, payload: &RequestPayload) -> FirstResponse {
        let deadlines = AttemptDeadlines {
            response_deadline: attempt.response_deadline(self.deadline),
            start_deadline: attempt.start_deadline(),
            has_reservation: self.reservation.is_held(),
        };
        let upstream = self.context.upstream.clone();
        let gate = self.gate.clone();
        let exchange = upstream.run_attempt(attempt.send.endpoint, payload, deadlines, &gate);
        tokio::pin!(exchange);
        loop {
            let event = tokio::select! {
                biased;
                event = self.next_event() => event,
                first_response = &mut exchange => return first_response,
            };
            if self.handle_event_during_attempt(&event, attempt.id).is_break() {
                return FirstResponse::finished(Outcome::Cancelled);
            }
            // Not every endpoint supports cancellation, but an attempt that has not been sent yet can always
            // be dropped.
            if self.settled && !self.gate.attempt_in_flight() {
                return FirstResponse::finished(Outcome::Abandoned);
            }
        }
    }

    /// Handles an event that occurs during an attempt. Breaks if the attempt is cancelled.
    fn handle_event_during_attempt(&mut self, event: &TaskEvent, attempt: AttemptId) -> ControlFlow<()> {
        match event {
            TaskEvent::Command(RequestCommand::Cancel(cancelled)) if *cancelled == attempt => {
                return ControlFlow::Break(());
            }
            // The scheduler has ended the request while the attempt was in progress.
            TaskEvent::Command(RequestCommand::Reject(retry_after)) => {
                self.reject(*retry_after);
                self.settled = true;
                return ControlFlow::Break(());
            }
            TaskEvent::Command(RequestCommand::Fail) => {
                self.fail();
                self.settled = true;
                return ControlFlow::Break(());
            }
            TaskEvent::Command(
                RequestCommand::Cancel(_)
                | RequestCommand::Send(_)
                | RequestCommand::ReleaseReservation
                | RequestCommand::Migrate
                | RequestCommand::Closed,
            ) => {}
            TaskEvent::ClientDisconnected => self.handle_client_disconnect(),
            TaskEvent::DecisionTimeout => self.fail_undecided(),
        }
        ControlFlow::Continue(())
    }
}
