//! The life of one request, from intake to its one final answer.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::clock::duration_from_micros;
use crate::request::relay::{self, Forwarded, StreamBroken, StreamChunk};
use crate::request::reservation::Reservation;
use crate::routing_context::RoutingContext;
use crate::scheduler::{AttemptId, LoadReport, Micros, Outcome, RequestSpec};
use crate::scheduler_handle::{AttemptSummary, RequestCommand, RequestHandle, SendCommand};
use crate::upstream::event_stream::{ContentKind, EventStream};
use crate::upstream::exchange::{AttemptResponse, RequestPayload};
use crate::upstream::send_gate::{AttemptDeadlines, SendGate};

/// Past the deadline, after which a request without a decision is answered as failed. The rules allow more.
const OVERDUE: Duration = Duration::from_millis(15);

/// Past the deadline, after which a final answer counts as lost.
const LATE_MOST: Duration = Duration::from_millis(500);

/// A request's answer, for a front to put into its own words.
pub enum RoutedResponse {
    /// A stream or a whole answer of one endpoint.
    Body {
        /// What the endpoint said that it is.
        form: ContentKind,
        /// Its bytes as they come.
        pieces: mpsc::Receiver<StreamChunk>,
    },
    /// Refused: trying again is harmless.
    Rejected {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Failed.
    Failed,
}

/// The way back to the client. It shows when the client leaves.
pub struct Responder(Option<oneshot::Sender<RoutedResponse>>);

impl Responder {
    /// A caller, and where its front waits for the answer.
    pub fn new() -> (Self, oneshot::Receiver<RoutedResponse>) {
        let (sender, receiver) = oneshot::channel();
        (Responder(Some(sender)), receiver)
    }

    /// Waits until the client leaves; never ends once it has its answer.
    async fn client_disconnected(&mut self) {
        match &mut self.0 {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the client is there and has no answer.
    fn client_waits(&self) -> bool {
        self.0.as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Gives the final answer, once; false when the client has left.
    fn respond(&mut self, answer: RoutedResponse) -> bool {
        self.0.take().is_some_and(|sender| sender.send(answer).is_ok())
    }
}

/// What a request's task wakes up for.
enum Wake {
    Command(RequestCommand),
    ClientLeft,
    Overdue,
}

/// One attempt that is out, for its outcome and the log.
#[derive(Clone, Copy)]
struct Attempt {
    id: AttemptId,
    send: SendCommand,
    begun: Instant,
}

impl Attempt {
    /// Time since it was sent.
    fn took(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }
}

/// What follows after an attempt.
enum Next {
    /// The planner decides on.
    Decision,
    /// The request has its final answer.
    Final,
    /// The stream has begun.
    Stream(Box<EventStream>, Attempt),
}

/// One request on its way: it owns the request's place at the planner, the way back to its client, and what is held
/// for it.
struct RequestTask {
    core: RoutingContext,
    id: Rc<str>,
    handle: RequestHandle,
    caller: Responder,
    held: Reservation,
    gate: Rc<SendGate>,
    deadline: Instant,
    /// Its answer comes in one piece.
    whole: bool,
    attempts: u32,
    last_outcome: Option<Outcome>,
    /// The client needs no answer any more; the planner has been told so.
    over: bool,
}

/// Lives one request through. The planner decides at each point of choice; exactly one final answer goes to the
/// caller, and nothing stays held or sent when this ends. `room` is what the payload takes up, given back with it.
pub async fn run_request<R>(
    core: RoutingContext, ask: RequestSpec, (payload, room): (RequestPayload, R), caller: Responder,
) {
    let id = payload.id.clone();
    tracing::debug!(request_id = %id, prompt_tokens = ask.prompt_tokens, prefix_tokens = ask.prefix_tokens, remaining_ms = ask.client_timeout / 1_000, "request accepted");
    core.counters.taken.increment();
    let mut task = RequestTask {
        held: Reservation::new(core.upstream.clone(), id.clone()),
        gate: Rc::new(SendGate::new(core.counters.clone())),
        deadline: Instant::now() + duration_from_micros(ask.client_timeout),
        whole: ask.unary,
        handle: core.scheduler.submit(ask),
        attempts: 0,
        last_outcome: None,
        over: false,
        core,
        id,
        caller,
    };
    if let Some((events, attempt)) = task.until_stream(&payload).await {
        // It is never sent again, so the payload, far larger than the events that wait, goes now.
        drop((payload, room));
        task.stream(events, attempt).await;
    }
    if task.caller.client_waits() {
        task.core.counters.violations_unanswered.increment();
        tracing::error!(request_id = %task.id, "violation: request ended without an answer");
    }
    task.held.end().await;
}

impl RequestTask {
    /// Follows the planner's decisions until the request has its final answer, or its stream begins.
    async fn until_stream(&mut self, payload: &RequestPayload) -> Option<(Box<EventStream>, Attempt)> {
        while let Some(send) = self.next_send().await {
            match self.attempt(send, payload).await {
                Next::Decision => {}
                Next::Final => return None,
                Next::Stream(events, attempt) => return Some((events, attempt)),
            }
        }
        None
    }

    /// What comes first: the planner's order, the client's leaving, or the end of its time.
    async fn wake(&mut self) -> Wake {
        tokio::select! {
            biased;
            order = self.handle.next_command() => Wake::Command(order),
            () = self.caller.client_disconnected(), if !self.over => Wake::ClientLeft,
            () = sleep_until(self.deadline + OVERDUE), if !self.over => Wake::Overdue,
        }
    }

    /// Held: the planner says when to go where; none once the request has its final answer.
    async fn next_send(&mut self) -> Option<SendCommand> {
        loop {
            match self.wake().await {
                Wake::Command(RequestCommand::Send(send)) => return Some(send),
                Wake::Command(RequestCommand::Reject(retry_after)) => {
                    self.answer(RoutedResponse::Rejected { retry_after });
                    return None;
                }
                Wake::Command(RequestCommand::Fail) => {
                    self.answer(RoutedResponse::Failed);
                    return None;
                }
                Wake::Command(RequestCommand::ReleaseReservation) => self.held.release(),
                Wake::Command(RequestCommand::Forgotten) => return None,
                Wake::Command(RequestCommand::Cancel(_) | RequestCommand::Migrate) => {}
                Wake::ClientLeft => self.client_left(),
                Wake::Overdue => self.overdue(),
            }
        }
    }

    /// Gives the planner's final answer to the client, if it still waits for one.
    fn answer(&mut self, answer: RoutedResponse) {
        if self.over {
            return;
        }
        let counters = self.core.counters.clone();
        let (given, word) = match answer {
            RoutedResponse::Rejected { .. } => (&counters.refused, "refused"),
            _ => (&counters.failed, "failed"),
        };
        self.log_answer(word);
        let counter = if self.caller.respond(answer) { given } else { &counters.left };
        counter.increment();
    }

    /// Logs a final answer with what led to it, and counts one that comes too late.
    fn log_answer(&self, word: &str) {
        let now = Instant::now();
        let (left, late) =
            (self.deadline.saturating_duration_since(now), now.saturating_duration_since(self.deadline));
        let last = self.last_outcome.map_or("none".to_owned(), |outcome| format!("{outcome:?}"));
        tracing::debug!(request_id = %self.id, answer = word, attempts = self.attempts, last_outcome = last, remaining_ms = left.as_millis(), "request answered");
        if late > LATE_MOST {
            self.core.counters.violations_answered_late.increment();
            tracing::error!(request_id = %self.id, answer = word, late_ms = late.as_millis(), "violation: request answered too late");
        }
    }

    fn client_left(&mut self) {
        tracing::debug!(request_id = %self.id, "client disconnected");
        self.core.counters.left.increment();
        self.end_early();
    }

    /// The planner has not ended it in time.
    fn overdue(&mut self) {
        tracing::error!(request_id = %self.id, "no decision by the deadline");
        self.core.counters.overdue.increment();
        self.log_answer("failed");
        self.caller.respond(RoutedResponse::Failed);
        self.end_early();
    }

    /// No answer is needed any more; the planner forgets the request.
    fn end_early(&mut self) {
        self.over = true;
        self.gate.close();
        self.handle.client_disconnected();
    }

    /// One attempt, until it ends, is withdrawn, or its stream begins.
    async fn attempt(&mut self, send: SendCommand, payload: &RequestPayload) -> Next {
        let attempt = Attempt { id: AttemptId(self.attempts), send, begun: Instant::now() };
        self.attempts += 1;
        tracing::debug!(request_id = %self.id, attempt = attempt.id.0, endpoint = send.endpoint.0, timeout_us = send.timeout, "attempt started");
        if self.over {
            return self.ended(&attempt, Outcome::Abandoned, (0.0, None));
        }
        let prefill = self.core.upstream.prefills(send.endpoint);
        if prefill && !self.release_before_read().await {
            return self.ended(&attempt, Outcome::Abandoned, (0.0, None));
        }
        let (first, load) = self.until_first_event(&attempt, payload).await;
        match first {
            AttemptResponse::Streaming(events) => Next::Stream(events, attempt),
            AttemptResponse::Prefilled(kept) => {
                self.held.waits();
                self.ended(&attempt, Outcome::Prefilled, (kept, load))
            }
            AttemptResponse::Finished(outcome) => {
                let ran = !outcome.excludes_execution();
                if prefill && ran {
                    // Guards the pin limit: the prompt may have been read although the answer was lost.
                    self.held.waits();
                    self.held.release();
                }
                self.held.tried(outcome, attempt.took());
                self.ended(&attempt, outcome, (0.0, load))
            }
        }
    }

    /// Lets go of an earlier read's state before the next read; false when the client leaves meanwhile.
    async fn release_before_read(&mut self) -> bool {
        let left = tokio::select! {
            () = self.held.settle() => false,
            () = self.caller.client_disconnected() => true,
        };
        if left {
            self.client_left();
        }
        !left
    }

    /// Tells the planner how an attempt ended.
    fn ended(
        &mut self, attempt: &Attempt, outcome: Outcome, (kept, load): (f64, Option<LoadReport>),
    ) -> Next {
        self.last_outcome = Some(outcome);
        self.core.counters.attempt_ended(outcome);
        let took = attempt.took();
        tracing::debug!(request_id = %self.id, attempt = attempt.id.0, ?outcome, elapsed_us = took, cached_tokens = kept, "attempt finished");
        let end = AttemptSummary { cached_tokens: kept, elapsed: took, load_report: load };
        self.handle.attempt_finished(attempt.id, attempt.send.endpoint, outcome, self.over, end);
        if self.over { Next::Final } else { Next::Decision }
    }

    /// One attempt up to its first event. A client that leaves is told to the planner, which withdraws the attempt.
    async fn until_first_event(
        &mut self, attempt: &Attempt, payload: &RequestPayload,
    ) -> (AttemptResponse, Option<LoadReport>) {
        let withdrawn = (AttemptResponse::Finished(Outcome::Cancelled), None);
        let times = AttemptDeadlines {
            response_deadline: (attempt.begun + duration_from_micros(attempt.send.timeout))
                .min(self.deadline),
            start_deadline: attempt
                .send
                .start_within
                .map(|within| attempt.begun + duration_from_micros(within)),
            reserved: self.held.any(),
        };
        let (upstream, gate) = (self.core.upstream.clone(), self.gate.clone());
        let first = upstream.run_attempt(attempt.send.endpoint, payload, times, &gate);
        tokio::pin!(first);
        loop {
            let wake = tokio::select! {
                biased;
                wake = self.wake() => wake,
                done = &mut first => return (done.response, done.load_report),
            };
            match wake {
                Wake::Command(RequestCommand::Cancel(which)) if which == attempt.id => return withdrawn,
                // The planner has ended it while an attempt is out: answer, and give the attempt up.
                Wake::Command(RequestCommand::Reject(retry_after)) => {
                    self.answer(RoutedResponse::Rejected { retry_after });
                    self.over = true;
                    return withdrawn;
                }
                Wake::Command(RequestCommand::Fail) => {
                    self.answer(RoutedResponse::Failed);
                    self.over = true;
                    return withdrawn;
                }
                Wake::Command(_) => {}
                Wake::ClientLeft => self.client_left(),
                Wake::Overdue => self.overdue(),
            }
            // An endpoint need not take a withdrawal; what it has not been sent it is spared all the same.
            if self.over && !self.gate.attempt_in_flight() {
                return (AttemptResponse::Finished(Outcome::Abandoned), None);
            }
        }
    }

    /// Passes the stream on: it is this client's from its first event on, and no deadline runs any more.
    async fn stream(&mut self, mut events: Box<EventStream>, attempt: Attempt) {
        self.held.taken();
        if !self.whole {
            // A whole answer tells nothing of the time to a first token.
            let took = attempt.took();
            tracing::debug!(request_id = %self.id, attempt = attempt.id.0, elapsed_us = took, "stream started");
            self.handle.first_token(attempt.id, attempt.send.endpoint, took);
        }
        let (pieces, receiver) = mpsc::channel(relay::WAITING);
        let form = events.kind().clone();
        let passed = if self.over || !self.caller.respond(RoutedResponse::Body { form, pieces: receiver }) {
            Forwarded::ClientLeft
        } else {
            tokio::select! {
                passed = relay::pass(&mut events, &pieces) => passed,
                () = moved(&mut self.handle) => {
                    // The client comes again for the rest.
                    let _ = pieces.try_send(Err(StreamBroken::Cut));
                    Forwarded::Broken(StreamBroken::Cut)
                }
            }
        };
        drop((events, pieces));
        let outcome = self.streamed(passed);
        self.over = true;
        self.ended(&attempt, outcome, (0.0, None));
    }

    /// Counts how a stream ended.
    fn streamed(&mut self, passed: Forwarded) -> Outcome {
        let counters = self.core.counters.clone();
        match passed {
            Forwarded::Complete => {
                counters.served.increment();
                Outcome::Completed
            }
            Forwarded::Broken(how) => {
                counters.broken.increment();
                if how == StreamBroken::Malformed { Outcome::Malformed } else { Outcome::ConnectionLost }
            }
            Forwarded::Failed => {
                counters.failed.increment();
                Outcome::Error
            }
            Forwarded::ClientLeft => {
                if !self.over {
                    self.client_left();
                }
                Outcome::Cancelled
            }
        }
    }
}

/// Waits for an order to move the stream.
async fn moved(handle: &mut RequestHandle) {
    loop {
        match handle.next_command().await {
            RequestCommand::Migrate => return,
            // The planner's end is the process's end; the stream goes on until then.
            RequestCommand::Fail => std::future::pending().await,
            _ => {}
        }
    }
}
