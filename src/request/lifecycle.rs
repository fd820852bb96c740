//! The task of one request: it carries out the scheduler's commands and ends with one final answer.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::attempt::{NextStep, StartedStream};
use super::reservation::Reservation;
use super::responder::{Responder, RoutedResponse};
use crate::clock::duration_from_micros;
use crate::routing_context::RoutingContext;
use crate::scheduler::{Micros, Outcome, RequestSpec};
use crate::scheduler_handle::{RequestCommand, RequestHandle, SendCommand};
use crate::upstream::exchange::RequestPayload;
use crate::upstream::send_gate::SendGate;

/// How long (15 ms) past its deadline a request without a decision is failed by its own task. The rules allow
/// more, and a scheduler that works has decided by then.
const OVERDUE_GRACE: Duration = Duration::from_millis(15);

/// How far (500 ms) past its deadline a final answer may come before it counts as a violation.
const MAX_ANSWER_LATENESS: Duration = Duration::from_millis(500);

/// What a request's task reacts to before its stream begins.
pub(super) enum TaskEvent {
    /// The scheduler's next command.
    Command(RequestCommand),
    /// The client disconnected before it had its answer.
    ClientDisconnected,
    /// The deadline has passed without a decision.
    Overdue,
}

/// One request in progress. It owns the request's place at the scheduler, the way back to its client, and
/// whatever is reserved for it.
pub(super) struct RequestTask {
    pub(super) context: RoutingContext,
    pub(super) id: Rc<str>,
    pub(super) scheduler: RequestHandle,
    pub(super) responder: Responder,
    pub(super) reservation: Reservation,
    pub(super) gate: Rc<SendGate>,
    /// When the client gives this try up.
    pub(super) deadline: Instant,
    /// Its answer is one response, not a stream.
    pub(super) unary: bool,
    /// Attempts so far, which is also the next attempt's id.
    pub(super) attempts: u32,
    pub(super) last_outcome: Option<Outcome>,
    /// Nothing more is owed to the client, as it has its final answer or has disconnected. No attempt starts
    /// any more, and one that is in progress is the last.
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

    /// Follows the scheduler's decisions until the request is over (none) or its stream begins.
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

    /// Ends the task: checks that the client has its answer, and waits until nothing is reserved any more.
    /// Only then does the scheduler learn that the task has ended.
    pub(super) async fn finish(self) {
        if self.responder.client_waits() {
            self.context.counters.violations_unanswered.increment();
            tracing::error!(request_id = %self.id, "violation: request ended without an answer");
        }
        self.reservation.finish().await;
    }

    /// Waits for whatever comes first. A command that is ready goes before the client's disconnect, and that
    /// before the deadline.
    pub(super) async fn next_event(&mut self) -> TaskEvent {
        tokio::select! {
            biased;
            command = self.scheduler.next_command() => TaskEvent::Command(command),
            () = self.responder.client_disconnected(), if !self.settled => TaskEvent::ClientDisconnected,
            () = sleep_until(self.deadline + OVERDUE_GRACE), if !self.settled => TaskEvent::Overdue,
        }
    }

    /// Waits, with no attempt in flight, for the next command to send the request; none once it is over.
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
                TaskEvent::ClientDisconnected => self.client_disconnected(),
                TaskEvent::Overdue => self.fail_overdue(),
            }
        }
    }

    /// Answers with the scheduler's rejection, if the client still waits for an answer.
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

    /// Answers with the scheduler's failure, if the client still waits for an answer.
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

    /// Answers with a failure of the task's own, as the scheduler has not decided in time.
    pub(super) fn fail_overdue(&mut self) {
        tracing::error!(request_id = %self.id, "no decision by the deadline");
        self.context.counters.decision_timeouts.increment();
        self.log_answer("failed");
        self.responder.respond(RoutedResponse::Failed);
        self.settle_without_scheduler();
    }

    /// The client disconnected before it had its answer.
    pub(super) fn client_disconnected(&mut self) {
        tracing::debug!(request_id = %self.id, "client disconnected");
        self.context.counters.client_disconnects.increment();
        self.settle_without_scheduler();
    }

    /// No answer is needed any more and the scheduler has not decided so: nothing further is sent, and the
    /// scheduler forgets the request.
    fn settle_without_scheduler(&mut self) {
        self.settled = true;
        self.gate.close();
        self.scheduler.report_client_disconnected();
    }

    /// Logs a final answer with what led to it, and counts one that comes too late.
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
