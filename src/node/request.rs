//! The life of one request, from intake to its one final answer.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::attempt::{First, Payload};
use super::counters::add;
use super::events::{Events, Form};
use super::held::HeldState;
use super::planner::{End, Order, RequestHandle, SendOrder};
use super::relay::{self, Passed, Piece, StreamBroken};
use super::send_gate::{SendGate, Times};
use super::{Core, span};
use crate::api::{AttemptId, Load, Micros, NewRequest, Outcome};

/// Past the deadline, after which a request without a decision is answered as failed. The rules allow more.
const OVERDUE: Duration = Duration::from_millis(15);

/// Past the deadline, after which a final answer counts as lost.
const LATE_MOST: Duration = Duration::from_millis(500);

/// A request's answer, for a front to put into its own words.
pub enum Answer {
    /// A stream or a whole answer of one instance.
    Events {
        /// What the instance said that it is.
        form: Form,
        /// Its bytes as they come.
        pieces: mpsc::Receiver<Piece>,
    },
    /// Refused: trying again is harmless.
    Refused {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Failed.
    Failed,
}

/// The way back to the client. It shows when the client leaves.
pub struct Caller(Option<oneshot::Sender<Answer>>);

impl Caller {
    /// A caller, and where its front waits for the answer.
    pub fn new() -> (Self, oneshot::Receiver<Answer>) {
        let (sender, receiver) = oneshot::channel();
        (Caller(Some(sender)), receiver)
    }

    /// Waits until the client leaves; never ends once it has its answer.
    async fn left(&mut self) {
        match &mut self.0 {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the client is there and has no answer.
    fn waits(&self) -> bool {
        self.0.as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Gives the final answer, once; false when the client has left.
    fn answer(&mut self, answer: Answer) -> bool {
        self.0.take().is_some_and(|sender| sender.send(answer).is_ok())
    }
}

/// What a request's task wakes up for.
enum Wake {
    Order(Order),
    ClientLeft,
    Overdue,
}

/// One attempt that is out, for its outcome and the log.
#[derive(Clone, Copy)]
struct Attempt {
    id: AttemptId,
    send: SendOrder,
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
    Stream(Box<Events>, Attempt),
}

/// One request on its way: it owns the request's place at the planner, the way back to its client, and what is held
/// for it.
struct RequestTask {
    core: Core,
    id: Rc<str>,
    handle: RequestHandle,
    caller: Caller,
    held: HeldState,
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
pub async fn run_request<R>(core: Core, ask: NewRequest, (payload, room): (Payload, R), caller: Caller) {
    let id = payload.id.clone();
    tracing::debug!(
        "request {id}: taken, {} tokens, {} of them shared, {} ms left",
        ask.prompt_tokens,
        ask.prefix_tokens,
        ask.time_left / 1_000
    );
    add(&core.counters.taken);
    let mut task = RequestTask {
        held: HeldState::new(core.upstream.clone(), id.clone()),
        gate: Rc::new(SendGate::new(core.counters.clone())),
        deadline: Instant::now() + span(ask.time_left),
        whole: ask.whole,
        handle: core.planner.arrive(ask),
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
    if task.caller.waits() {
        add(&task.core.counters.violations_unanswered);
        tracing::error!("violation: request {}: ended with no answer", task.id);
    }
    task.held.end().await;
}

impl RequestTask {
    /// Follows the planner's decisions until the request has its final answer, or its stream begins.
    async fn until_stream(&mut self, payload: &Payload) -> Option<(Box<Events>, Attempt)> {
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
            order = self.handle.next() => Wake::Order(order),
            () = self.caller.left(), if !self.over => Wake::ClientLeft,
            () = sleep_until(self.deadline + OVERDUE), if !self.over => Wake::Overdue,
        }
    }

    /// Held: the planner says when to go where; none once the request has its final answer.
    async fn next_send(&mut self) -> Option<SendOrder> {
        loop {
            match self.wake().await {
                Wake::Order(Order::Send(send)) => return Some(send),
                Wake::Order(Order::Refuse(retry_after)) => {
                    self.answer(Answer::Refused { retry_after });
                    return None;
                }
                Wake::Order(Order::Fail) => {
                    self.answer(Answer::Failed);
                    return None;
                }
                Wake::Order(Order::Release) => self.held.release(),
                Wake::Order(Order::Forgotten) => return None,
                Wake::Order(Order::Cancel(_) | Order::Move) => {}
                Wake::ClientLeft => self.client_left(),
                Wake::Overdue => self.overdue(),
            }
        }
    }

    /// Gives the planner's final answer to the client, if it still waits for one.
    fn answer(&mut self, answer: Answer) {
        if self.over {
            return;
        }
        let counters = self.core.counters.clone();
        let (given, word) = match answer {
            Answer::Refused { .. } => (&counters.refused, "refused"),
            _ => (&counters.failed, "failed"),
        };
        self.log_answer(word);
        add(if self.caller.answer(answer) { given } else { &counters.left });
    }

    /// Logs a final answer with what led to it, and counts one that comes too late.
    fn log_answer(&self, word: &str) {
        let now = Instant::now();
        let (left, late) =
            (self.deadline.saturating_duration_since(now), now.saturating_duration_since(self.deadline));
        let last = self.last_outcome.map_or("none".to_owned(), |outcome| format!("{outcome:?}"));
        tracing::debug!(
            "request {}: {word} after {} attempts, the last one {last}; {} ms were left",
            self.id,
            self.attempts,
            left.as_millis()
        );
        if late > LATE_MOST {
            add(&self.core.counters.violations_answered_late);
            tracing::error!("violation: request {}: {word} {} ms too late", self.id, late.as_millis());
        }
    }

    fn client_left(&mut self) {
        tracing::debug!("request {}: its client left", self.id);
        add(&self.core.counters.left);
        self.end_early();
    }

    /// The planner has not ended it in time.
    fn overdue(&mut self) {
        tracing::error!("request {}: no decision by its deadline", self.id);
        add(&self.core.counters.overdue);
        self.log_answer("failed");
        self.caller.answer(Answer::Failed);
        self.end_early();
    }

    /// No answer is needed any more; the planner forgets the request.
    fn end_early(&mut self) {
        self.over = true;
        self.gate.close();
        self.handle.left();
    }

    /// One attempt, until it ends, is withdrawn, or its stream begins.
    async fn attempt(&mut self, send: SendOrder, payload: &Payload) -> Next {
        let attempt = Attempt { id: AttemptId(self.attempts), send, begun: Instant::now() };
        self.attempts += 1;
        tracing::debug!(
            "request {}: attempt {} to host {}, {} us",
            self.id,
            attempt.id.0,
            send.host.0,
            send.time_out
        );
        if self.over {
            return self.ended(&attempt, Outcome::Moot, (0.0, None));
        }
        let prefill = self.core.upstream.reads(send.host);
        if prefill && !self.release_before_read().await {
            return self.ended(&attempt, Outcome::Moot, (0.0, None));
        }
        let (first, load) = self.until_first_event(&attempt, payload).await;
        match first {
            First::Began(events) => Next::Stream(events, attempt),
            First::Read(kept) => {
                self.held.waits();
                self.ended(&attempt, Outcome::Read, (kept, load))
            }
            First::Ended(outcome) => {
                let ran = !outcome.never_ran();
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
            () = self.caller.left() => true,
        };
        if left {
            self.client_left();
        }
        !left
    }

    /// Tells the planner how an attempt ended.
    fn ended(&mut self, attempt: &Attempt, outcome: Outcome, (kept, load): (f64, Option<Load>)) -> Next {
        self.last_outcome = Some(outcome);
        self.core.counters.attempt_ended(outcome);
        let took = attempt.took();
        tracing::debug!(
            "request {}: attempt {} ended {outcome:?} after {took} us, {kept} kept",
            self.id,
            attempt.id.0
        );
        let end = End { kept, took, load };
        self.handle.ended(attempt.id, attempt.send.host, outcome, self.over, end);
        if self.over { Next::Final } else { Next::Decision }
    }

    /// One attempt up to its first event. A client that leaves is told to the planner, which withdraws the attempt.
    async fn until_first_event(&mut self, attempt: &Attempt, payload: &Payload) -> (First, Option<Load>) {
        let withdrawn = (First::Ended(Outcome::Cancelled), None);
        let times = Times {
            until: (attempt.begun + span(attempt.send.time_out)).min(self.deadline),
            start_by: attempt.send.start_within.map(|within| attempt.begun + span(within)),
            held: self.held.any(),
        };
        let (upstream, gate) = (self.core.upstream.clone(), self.gate.clone());
        let first = upstream.first(attempt.send.host, payload, times, &gate);
        tokio::pin!(first);
        loop {
            let wake = tokio::select! {
                biased;
                wake = self.wake() => wake,
                done = &mut first => return done,
            };
            match wake {
                Wake::Order(Order::Cancel(which)) if which == attempt.id => return withdrawn,
                // The planner has ended it while an attempt is out: answer, and give the attempt up.
                Wake::Order(Order::Refuse(retry_after)) => {
                    self.answer(Answer::Refused { retry_after });
                    self.over = true;
                    return withdrawn;
                }
                Wake::Order(Order::Fail) => {
                    self.answer(Answer::Failed);
                    self.over = true;
                    return withdrawn;
                }
                Wake::Order(_) => {}
                Wake::ClientLeft => self.client_left(),
                Wake::Overdue => self.overdue(),
            }
            // An instance need not take a withdrawal; what it has not been sent it is spared all the same.
            if self.over && !self.gate.attempt_out() {
                return (First::Ended(Outcome::Moot), None);
            }
        }
    }

    /// Passes the stream on: it is this client's from its first event on, and no deadline runs any more.
    async fn stream(&mut self, mut events: Box<Events>, attempt: Attempt) {
        self.held.taken();
        if !self.whole {
            // A whole answer tells nothing of the time to a first token.
            let took = attempt.took();
            tracing::debug!("request {}: attempt {} began after {took} us", self.id, attempt.id.0);
            self.handle.began(attempt.id, attempt.send.host, took);
        }
        let (pieces, receiver) = mpsc::channel(relay::WAITING);
        let form = events.form().clone();
        let passed = if self.over || !self.caller.answer(Answer::Events { form, pieces: receiver }) {
            Passed::ClientLeft
        } else {
            tokio::select! {
                passed = relay::pass(&mut events, &pieces) => passed,
                () = moved(&mut self.handle) => {
                    // The client comes again for the rest.
                    let _ = pieces.try_send(Err(StreamBroken::Cut));
                    Passed::Broken(StreamBroken::Cut)
                }
            }
        };
        drop((events, pieces));
        let outcome = self.streamed(passed);
        self.over = true;
        self.ended(&attempt, outcome, (0.0, None));
    }

    /// Counts how a stream ended.
    fn streamed(&mut self, passed: Passed) -> Outcome {
        let counters = self.core.counters.clone();
        match passed {
            Passed::Whole => {
                add(&counters.served);
                Outcome::Served
            }
            Passed::Broken(how) => {
                add(&counters.broken);
                if how == StreamBroken::Malformed { Outcome::Malformed } else { Outcome::Broken }
            }
            Passed::Failed => {
                add(&counters.failed);
                Outcome::Error
            }
            Passed::ClientLeft => {
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
        match handle.next().await {
            Order::Move => return,
            // The planner's end is the process's end; the stream goes on until then.
            Order::Fail => std::future::pending().await,
            _ => {}
        }
    }
}
