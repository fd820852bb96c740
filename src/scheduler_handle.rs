//! The planner: sole owner of a [`Scheduler`]. Events go in, its actions go to the requests' tasks.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::clock::{Clock, duration_from_micros};
use crate::scheduler::Scheduler;
use crate::scheduler::*;

/// Where an attempt goes, and in which times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendCommand {
    /// To which endpoint.
    pub endpoint: EndpointId,
    /// It is given up after this long.
    pub timeout: Micros,
    /// It must begin within this time, or not at all.
    pub start_within: Option<Micros>,
}

/// What a planner wants of a request's task.
#[derive(Debug, PartialEq)]
pub enum RequestCommand {
    /// Send it to an endpoint.
    Send(SendCommand),
    /// Withdraw an attempt.
    Cancel(AttemptId),
    /// Final answer: refused, to come back after this long.
    Reject(Option<Micros>),
    /// Final answer: failed.
    Fail,
    /// Let go of all that is held for it.
    ReleaseReservation,
    /// AttemptSummary its running stream, to be resumed elsewhere.
    Migrate,
    /// The planner knows that the client left and sends nothing more.
    Forgotten,
}

/// What a planner wants of the fleet as a whole.
#[derive(Debug)]
pub enum FleetCommand {
    /// Ask an endpoint how it is.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
}

enum SchedulerInput {
    Arrive(RequestSpec, UnboundedSender<RequestCommand>),
    Tell(Event),
    Closed(RequestId),
}

/// The requests' way to a planner.
#[derive(Clone)]
pub struct SchedulerHandle {
    inputs: UnboundedSender<SchedulerInput>,
    next_id: Rc<Cell<u64>>,
}

impl SchedulerHandle {
    /// Starts a planner on the current local task set.
    pub fn start(settings: Settings, seed: u64, clock: Clock) -> (Self, UnboundedReceiver<FleetCommand>) {
        let (inputs, inbox) = mpsc::unbounded_channel();
        let (fleet, fleet_orders) = mpsc::unbounded_channel();
        let worker = Worker {
            router: Scheduler::new(settings, seed),
            clock,
            requests: HashMap::new(),
            inputs: inputs.clone(),
            fleet,
        };
        tokio::task::spawn_local(worker.run(inbox));
        (SchedulerHandle { inputs, next_id: Rc::default() }, fleet_orders)
    }

    /// Brings a new request; its id is given here.
    pub fn submit(&self, mut ask: RequestSpec) -> RequestHandle {
        let id = RequestId(self.next_id.get() + 1);
        self.next_id.set(id.0);
        ask.id = id;
        let (sender, orders) = mpsc::unbounded_channel();
        self.put(SchedulerInput::Arrive(ask, sender));
        RequestHandle { id, planner: self.clone(), orders }
    }

    /// Tells the list of endpoints, whole or only its changes.
    pub fn endpoints_changed(&self, whole: bool, members: Vec<EndpointUpdate>) {
        self.put(SchedulerInput::Tell(Event::EndpointsChanged { snapshot: whole, updates: members }));
    }

    /// Tells that following the list broke off.
    pub fn watch_failed(&self) {
        self.put(SchedulerInput::Tell(Event::WatchFailed));
    }

    /// Tells how a probe ended.
    pub fn health_checked(&self, endpoint: EndpointId, outcome: Outcome, load: Option<LoadReport>) {
        self.put(SchedulerInput::Tell(Event::HealthChecked { endpoint, outcome, load_report: load }));
    }

    fn put(&self, input: SchedulerInput) {
        // A planner lives as long as the process; the send fails only while that ends.
        let _ = self.inputs.send(input);
    }
}

/// How an attempt ended, for the planner.
#[derive(Debug, Default)]
pub struct AttemptSummary {
    /// Prompt tokens found kept.
    pub cached_tokens: f64,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The endpoint's report, where one came along.
    pub load_report: Option<LoadReport>,
}

/// A request's place at its planner, given back when dropped.
pub struct RequestHandle {
    id: RequestId,
    planner: SchedulerHandle,
    orders: UnboundedReceiver<RequestCommand>,
}

impl RequestHandle {
    /// The next order; without a planner there is none, and the request has failed.
    pub async fn next_command(&mut self) -> RequestCommand {
        self.orders.recv().await.unwrap_or(RequestCommand::Fail)
    }

    /// Tells that an answer's first token is out.
    pub fn first_token(&self, attempt: AttemptId, endpoint: EndpointId, took: Micros) {
        self.planner.put(SchedulerInput::Tell(Event::FirstToken {
            request: self.id,
            attempt,
            endpoint,
            elapsed: took,
        }));
    }

    /// Tells how an attempt ended; `last` when the request has its final answer.
    pub fn attempt_finished(
        &self, attempt: AttemptId, endpoint: EndpointId, outcome: Outcome, last: bool, end: AttemptSummary,
    ) {
        let AttemptSummary { cached_tokens: kept, elapsed: took, load_report: load } = end;
        let event = Event::AttemptFinished {
            request: self.id,
            attempt,
            endpoint,
            outcome,
            is_final: last,
            cached_tokens: kept,
            elapsed: took,
            load_report: load,
        };
        self.planner.put(SchedulerInput::Tell(event));
    }

    /// Tells that the client left; [`RequestCommand::Forgotten`] follows.
    pub fn client_disconnected(&self) {
        self.planner.put(SchedulerInput::Tell(Event::ClientDisconnected(self.id)));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.planner.put(SchedulerInput::Closed(self.id));
    }
}

struct Worker {
    router: Scheduler,
    clock: Clock,
    requests: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    inputs: UnboundedSender<SchedulerInput>,
    fleet: UnboundedSender<FleetCommand>,
}

impl Worker {
    async fn run(mut self, mut inbox: UnboundedReceiver<SchedulerInput>) {
        let (mut inputs, mut events, mut actions) = (Vec::new(), Vec::new(), Vec::new());
        // Everything that has come in is one round, as a batch is for the adapter.
        while inbox.recv_many(&mut inputs, 256).await > 0 {
            let mut left = Vec::new();
            let mut closed = Vec::new();
            for input in inputs.drain(..) {
                match input {
                    SchedulerInput::Arrive(ask, orders) => {
                        self.requests.insert(ask.id, orders);
                        events.push(Event::RequestReceived(ask));
                    }
                    SchedulerInput::Tell(event) => {
                        if let Event::ClientDisconnected(id) = event {
                            left.push(id);
                        }
                        events.push(event);
                    }
                    SchedulerInput::Closed(id) => closed.push(id),
                }
            }
            self.router.handle(self.clock.now(), &events, &mut actions);
            events.clear();
            for action in actions.drain(..) {
                self.act(action);
            }
            left.into_iter().for_each(|id| self.order(id, RequestCommand::Forgotten));
            closed.iter().for_each(|id| drop(self.requests.remove(id)));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, start_within } => {
                self.order(request, RequestCommand::Send(SendCommand { endpoint, timeout, start_within }));
            }
            Action::Cancel { request, attempt } => self.order(request, RequestCommand::Cancel(attempt)),
            Action::Reject { request, retry_after } => {
                self.order(request, RequestCommand::Reject(retry_after))
            }
            Action::Fail(request) => self.order(request, RequestCommand::Fail),
            Action::ReleaseReservation(request) => self.order(request, RequestCommand::ReleaseReservation),
            Action::Migrate(request) => self.order(request, RequestCommand::Migrate),
            Action::HealthCheck(endpoint) => drop(self.fleet.send(FleetCommand::HealthCheck(endpoint))),
            Action::CloseIdleConnections(endpoint) => {
                drop(self.fleet.send(FleetCommand::CloseIdleConnections(endpoint)))
            }
            Action::SetTimer { token, after } => {
                let inputs = self.inputs.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(duration_from_micros(after)).await;
                    let _ = inputs.send(SchedulerInput::Tell(Event::TimerFired(token)));
                });
            }
            // The list is always followed, and no place can be held ahead on these protocols.
            Action::FetchEndpoints | Action::WatchEndpoints | Action::ReserveAhead { .. } => {}
            Action::Log(line) => tracing::info!(note = %line, "scheduler"),
        }
    }

    /// A request whose task has ended needs no orders.
    fn order(&self, id: RequestId, order: RequestCommand) {
        if let Some(orders) = self.requests.get(&id) {
            let _ = orders.send(order);
        }
    }
}
