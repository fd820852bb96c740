//! The task of one request: executes the scheduler's commands and ends with exactly one final answer.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::Execution;
use super::attempt::{NextStep, StartedStream};
use super::reservation::Reservation;
use super::responder::{Responder, RoutedResponse};
use crate::clock::duration_from_micros;
use crate::routing_context::RoutingContext;
use crate::scheduler::{Micros, Outcome, RequestSpec};
use crate::scheduler_handle::{RequestCommand, RequestHandle, SendCommand};
use crate::upstream::exchange::RequestPayload;
use crate::upstream::send_gate::SendGate;

/// Time after the deadline at which the task fails a request that the scheduler has not decided. The rules
/// allow more, and a healthy scheduler has decided by then.
const DECISION_GRACE: Duration = Duration::from_millis(15);

/// How long after the deadline a final answer may be sent before it counts as a violation.
const MAX_ANSWER_LATENESS: Duration = Duration::from_millis(500);

/// An event that a request's task handles before its stream starts.
pub(super) enum TaskEvent {
    /// The scheduler sent a command.
    Command(RequestCommand),
    /// The client disconnected before it received a final answer.
    ClientDisconnected,
    /// The scheduler made no decision by the deadline.
    DecisionTimeout,
}

/// A request in progress. Owns the request's scheduler handle, its responder and its reservation.
pub(super) struct RequestTask {
    pub(super) context: RoutingContext,
    pub(super) id: Rc<str>,
    pub(super) scheduler: RequestHandle,
    pub(super) responder: Responder,
    pub(super) reservation: Reservation,
    pub(super) gate: Rc<SendGate>,
    /// When the client stops waiting for an answer.
    pub(super) deadline: Instant,
    /// Whether the client expects a single response instead of a stream.
    pub(super) unary: bool,
    /// Number of attempts so far, which is also the next attempt's ID.
    pub(super) attempts: u32,
    pub(super) last_outcome: Option<Outcome>,
    /// Whether the client has its final answer or has disconnected. No further attempt is started, and one in
    /// progress is the last.
    pub(super) settled: bool,
}

impl RequestTask {
    /// Accepts a request and submits it to the scheduler.
    pub(super) fn accept(
        context: RoutingContext, spec: RequestSpec, id: Rc<str>, responder: Responder,
    ) -> Self {
        tracing::debug!(
            request_id = %id,
            prompt_tokens = spec.prompt_tokens,
            prefix_tokens = spec.prefix_tokens,
            remaining_ms = spec.client_timeout / 1_000,
            "request accepted"
        );
        context.counters.accepted.increment();
        RequestTask {
            reservation: Reservation::new(context.upstream.clone(), id.clone()),
            gate: Rc::new(SendGate::new(context.counters.clone())),
            deadline: Instant::now() + duration_from_micros(spec.client_timeout),
            unary: spec.unary,
            scheduler: context.scheduler.submit(spec),
            attempts: 0,
            last_outcome: None,
            settled: false,
            context,
            id,
            responder,
        }
    }

    /// Executes the scheduler's commands until the stream starts. Returns `None` if the request ends without
    /// a stream.
    pub(super) async fn run_until_stream(&mut self, payload: &RequestPayload) -> Option<StartedStream> {
        while let Some(send) = self.next_send().await {
            match self.run_attempt(send, payload).await {
                NextStep::AwaitCommand => {}
                NextStep::Finish => return None,
                NextStep::Forward(stream) => return Some(stream),
            }
        }
        None
    }

    /// Ends the task: checks that the client was answered and waits until nothing is reserved. The scheduler
    /// is notified of the task's end only after that. Returns whether the request may have been executed.
    pub(super) async fn finish(self) -> Execution {
        if self.responder.client_is_waiting() {
            self.context.counters.violations_unanswered.increment();
            tracing::error!(request_id = %self.id, "violation: request ended without an answer");
        }
        self.reservation.finish().await;
        if self.gate.has_admitted() { Execution::Possible } else { Execution::Excluded }
    }

    /// Waits for the next event. A pending command takes precedence over a client disconnect, and both over
    /// the deadline.
    pub(super) async fn next_event(&mut self) -> TaskEvent {
        tokio::select! {
            biased;
            command = self.scheduler.next_command() => TaskEvent::Command(command),
            () = self.responder.wait_for_disconnect(), if !self.settled => TaskEvent::ClientDisconnected,
            () = sleep_until(self.deadline + DECISION_GRACE), if !self.settled => TaskEvent::DecisionTimeout,
        }
    }

    /// Waits, with no attempt in flight, for the next send command. Returns `None` if the request ends
    /// instead.
    async fn next_send(&mut self) -> Option<SendCommand> {
        loop {
            match self.next_event().await {
                TaskEvent::Command(RequestCommand::Send(send)) => return Some(send),
                TaskEvent::Command(RequestCommand::Reject(retry_after)) => {
                    self.reject(retry_after);
                    return None;
                }
                TaskEvent::Command(RequestCommand::Fail) => {
                    self.fail();
                    return None;
                }
                TaskEvent::Command(RequestCommand::ReleaseReservation) => self.reservation.release(),
                TaskEvent::Command(RequestCommand::Closed) => return None,
                TaskEvent::Command(RequestCommand::Cancel(_) | RequestCommand::Migrate) => {}
                TaskEvent::ClientDisconnected => self.handle_client_disconnect(),
                TaskEvent::DecisionTimeout => self.fail_undecided(),
            }
        }
    }

    /// Answers with the scheduler's rejection unless the request is already settled.
    pub(super) fn reject(&mut self, retry_after: Option<Micros>) {
        if self.settled {
            return;
        }
        self.log_answer("refused");
        if self.responder.respond(RoutedResponse::Rejected { retry_after }) {
            self.context.counters.rejected.increment();
        } else {
            self.context.counters.client_disconnects.increment();
        }
    }

    /// Answers with the scheduler's failure unless the request is already settled.
    pub(super) fn fail(&mut self) {
        if self.settled {
            return;
        }
        self.log_answer("failed");
        if self.responder.respond(RoutedResponse::Failed) {
            self.context.counters.failed.increment();
        } else {
            self.context.counters.client_disconnects.increment();
        }
    }

    /// Fails the request because the scheduler has not decided in time.
    pub(super) fn fail_undecided(&mut self) {
        tracing::error!(request_id = %self.id, "scheduler made no decision by the deadline");
        self.context.counters.decision_timeouts.increment();
        self.log_answer("failed");
        self.responder.respond(RoutedResponse::Failed);
        self.settle_without_decision();
    }

    /// Records that the client disconnected before it received a final answer.
    pub(super) fn handle_client_disconnect(&mut self) {
        tracing::debug!(request_id = %self.id, "client disconnected");
        self.context.counters.client_disconnects.increment();
        self.settle_without_decision();
    }

    /// Settles the request without a decision of the scheduler: nothing more is sent, and the scheduler is
    /// told to drop the request.
    fn settle_without_decision(&mut self) {
        self.settled = true;
        self.gate.close();
        self.scheduler.report_client_disconnected();
    }

    /// Logs a final answer with the request's history, and counts a violation if it is too late.
    fn log_answer(&self, answer: &str) {
        let now = Instant::now();
        let remaining = self.deadline.saturating_duration_since(now);
        let lateness = now.saturating_duration_since(self.deadline);
        let last_outcome = self.last_outcome.map_or("none".to_owned(), |outcome| format!("{outcome:?}"));
        tracing::debug!(
            request_id = %self.id,
            answer,
            attempts = self.attempts,
            last_outcome,
            remaining_ms = remaining.as_millis(),
            "request answered"
        );
        if lateness > MAX_ANSWER_LATENESS {
            self.context.counters.violations_late_answer.increment();
            tracing::error!(
                request_id = %self.id,
                answer,
                late_ms = lateness.as_millis(),
                "violation: request answered too late"
            );
        }
    }
}
