//! One attempt of a request: it is sent, waited for up to its first event, and its outcome is reported.

use std::ops::ControlFlow;

use tokio::time::Instant;

use super::lifecycle::{RequestTask, TaskEvent};
use crate::clock::duration_from_micros;
use crate::scheduler::{AttemptId, LoadReport, Micros, Outcome};
use crate::scheduler_handle::{AttemptSummary, RequestCommand, SendCommand};
use crate::upstream::event_stream::EventStream;
use crate::upstream::exchange::{AttemptResponse, FirstResponse, RequestPayload};
use crate::upstream::send_gate::AttemptDeadlines;

/// One attempt in progress.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) send: SendCommand,
    started_at: Instant,
}

impl Attempt {
    /// Time since the task received the scheduler's command.
    pub(super) fn elapsed(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Until when the first event is waited for: the attempt's own timeout or the request's deadline.
    fn response_deadline(&self, request_deadline: Instant) -> Instant {
        let attempt_deadline = self.started_at + duration_from_micros(self.send.timeout);
        attempt_deadline.min(request_deadline)
    }

    /// Until when the attempt must have begun, if it may not begin at any time.
    fn start_deadline(&self) -> Option<Instant> {
        let start_within = self.send.start_within?;
        Some(self.started_at + duration_from_micros(start_within))
    }
}

/// A response whose first event has come, with the attempt that it belongs to.
pub(super) struct StartedStream {
    pub(super) events: Box<EventStream>,
    pub(super) attempt: Attempt,
}

/// What follows after an attempt.
pub(super) enum NextStep {
    /// The scheduler decides what to do next.
    AwaitCommand,
    /// Nothing more is owed to the client.
    Finish,
    /// The response has begun and is forwarded.
    Forward(StartedStream),
}

/// How an attempt ended.
pub(super) struct AttemptEnd {
    outcome: Outcome,
    /// Prompt tokens that were found in the endpoint's cache.
    cached_tokens: f64,
    load_report: Option<LoadReport>,
}

impl From<Outcome> for AttemptEnd {
    /// The endpoint reported nothing beside the outcome.
    fn from(outcome: Outcome) -> Self {
        AttemptEnd { outcome, cached_tokens: 0.0, load_report: None }
    }
}

impl RequestTask {
    /// Runs one attempt, until it ends, is cancelled, or its stream begins.
    pub(super) async fn run_attempt(&mut self, send: SendCommand, payload: &RequestPayload) -> NextStep {
        let attempt = self.start_attempt(send);
        if self.settled {
            return self.finish_attempt(&attempt, Outcome::Abandoned.into());
        }
        let is_prefill = self.context.upstream.prefills(send.endpoint);
        if is_prefill && !self.release_before_prefill().await {
            return self.finish_attempt(&attempt, Outcome::Abandoned.into());
        }
        let FirstResponse { response, load_report } = self.first_response(&attempt, payload).await;
        match response {
            AttemptResponse::Streaming(events) => NextStep::Forward(StartedStream { events, attempt }),
            AttemptResponse::Prefilled(cached_tokens) => {
                self.reservation.start();
                let result = AttemptEnd { outcome: Outcome::Prefilled, cached_tokens, load_report };
                self.finish_attempt(&attempt, result)
            }
            AttemptResponse::Finished(outcome) => {
                if is_prefill && !outcome.excludes_execution() {
                    // The prompt may have been prefilled although the response was lost. The state must not
                    // stay reserved past its limit.
                    self.reservation.start();
                    self.reservation.release();
                }
                self.reservation.attempt_finished(outcome, attempt.elapsed());
                self.finish_attempt(&attempt, AttemptEnd { outcome, cached_tokens: 0.0, load_report })
            }
        }
    }

    /// Counts and logs the start of the next attempt.
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

    /// Counts and logs how an attempt ended, and reports it to the scheduler.
    pub(super) fn finish_attempt(&mut self, attempt: &Attempt, result: AttemptEnd) -> NextStep {
        let AttemptEnd { outcome, cached_tokens, load_report } = result;
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
        self.scheduler.attempt_finished(AttemptSummary {
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

    /// Releases what an earlier prefill has reserved; false when the client disconnects meanwhile.
    async fn release_before_prefill(&mut self) -> bool {
        let client_disconnected = tokio::select! {
            () = self.reservation.release_before_prefill() => false,
            () = self.responder.client_disconnected() => true,
        };
        if client_disconnected {
            self.client_disconnected();
        }
        !client_disconnected
    }

    /// Sends an attempt and waits for its first event. Meanwhile the scheduler may cancel the attempt; a
    /// client that disconnects is reported to the scheduler, which decides whether to do so.
    async fn first_response(&mut self, attempt: &Attempt, payload: &RequestPayload) -> FirstResponse {
        let deadlines = AttemptDeadlines {
            response_deadline: attempt.response_deadline(self.deadline),
            start_deadline: attempt.start_deadline(),
            reserved: self.reservation.is_held(),
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
            if self.handle_during_attempt(&event, attempt.id).is_break() {
                return FirstResponse::finished(Outcome::Cancelled);
            }
            // Not every endpoint supports cancellation, but what has not been sent yet is not sent at all.
            if self.settled && !self.gate.attempt_in_flight() {
                return FirstResponse::finished(Outcome::Abandoned);
            }
        }
    }

    /// Handles what happens while an attempt is in progress; breaks when the attempt is cancelled.
    fn handle_during_attempt(&mut self, event: &TaskEvent, attempt: AttemptId) -> ControlFlow<()> {
        match event {
            TaskEvent::Command(RequestCommand::Cancel(cancelled)) if *cancelled == attempt => {
                return ControlFlow::Break(());
            }
            // The scheduler has ended the request with the attempt in progress.
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
                | RequestCommand::Forgotten,
            ) => {}
            TaskEvent::ClientDisconnected => self.client_disconnected(),
            TaskEvent::Overdue => self.fail_overdue(),
        }
        ControlFlow::Continue(())
    }
}
