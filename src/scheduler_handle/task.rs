//! The task that owns a [`Scheduler`]: converts inputs to events, and actions to commands.

use std::collections::HashMap;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::command::{FleetCommand, RequestCommand, SendCommand};
use crate::clock::{Clock, duration_from_micros};
use crate::scheduler::{Action, Event, Micros, RequestId, RequestSpec, Scheduler};

/// Maximum number of inputs handled per round. Bounds how long the other tasks of the process wait, as all
/// tasks share one thread.
const MAX_INPUTS_PER_ROUND: usize = 256;

/// A message from a handle to the scheduler task.
pub(super) enum SchedulerInput {
    /// Submits a new request.
    Submit {
        /// The request, with its ID assigned.
        spec: RequestSpec,
        /// Channel for the request's commands.
        commands: UnboundedSender<RequestCommand>,
    },
    /// An event for the scheduler.
    Notify(Event),
    /// The task of a request has ended and receives no further commands.
    TaskEnded(RequestId),
}

/// The inputs of one round, grouped by when they take effect.
#[derive(Default)]
struct Round {
    /// Events for the scheduler, in order of arrival.
    events: Vec<Event>,
    /// Requests whose clients disconnected. Their tasks are notified after the commands of the round.
    disconnected: Vec<RequestId>,
    /// Requests whose tasks have ended. They are removed at the end of the round.
    ended: Vec<RequestId>,
}

/// Owns the [`Scheduler`] and processes its inputs.
///
/// All inputs arrive through one queue, so decisions need no locks and depend only on the order of the queue.
/// The inputs queued since the last round form one batch that is handled at a single point in time, as in the
/// simulator, so that each decision takes all of them into account.
pub(super) struct SchedulerTask {
    pub(super) scheduler: Scheduler,
    pub(super) clock: Clock,
    /// Command channels of the requests whose tasks have not ended.
    pub(super) requests: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    /// Sender for fired timers. It also keeps the queue open, so the task runs until the process exits.
    pub(super) inputs: UnboundedSender<SchedulerInput>,
    pub(super) fleet: UnboundedSender<FleetCommand>,
}

impl SchedulerTask {
    /// Processes rounds of inputs until the queue is closed.
    pub(super) async fn run(mut self, mut queue: UnboundedReceiver<SchedulerInput>) {
        let mut inputs = Vec::new();
        let mut round = Round::default();
        let mut actions = Vec::new();
        while queue.recv_many(&mut inputs, MAX_INPUTS_PER_ROUND).await > 0 {
            for input in inputs.drain(..) {
                self.add_input(input, &mut round);
            }
            self.scheduler.handle(self.clock.now(), &round.events, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.finish_round(&mut round);
        }
    }

    /// Adds an input to the round. A new request can receive commands from this point on.
    fn add_input(&mut self, input: SchedulerInput, round: &mut Round) {
        match input {
            SchedulerInput::Submit { spec, commands } => {
                self.requests.insert(spec.id, commands);
                round.events.push(Event::RequestReceived(spec));
            }
            SchedulerInput::Notify(event) => {
                if let Event::ClientDisconnected(id) = event {
                    round.disconnected.push(id);
                }
                round.events.push(event);
            }
            SchedulerInput::TaskEnded(id) => round.ended.push(id),
        }
    }

    /// Completes the round after its commands have been sent, and clears it for reuse.
    fn finish_round(&mut self, round: &mut Round) {
        round.events.clear();
        for id in round.disconnected.drain(..) {
            self.send_command(id, RequestCommand::Closed);
        }
        for id in round.ended.drain(..) {
            self.requests.remove(&id);
        }
    }

    /// Forwards an action to the component that executes it.
    fn execute(&self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, start_within } => {
                let send = SendCommand { endpoint, timeout, start_within };
                self.send_command(request, RequestCommand::Send(send));
            }
            Action::Cancel { request, attempt } => {
                self.send_command(request, RequestCommand::Cancel(attempt));
            }
            Action::Reject { request, retry_after } => {
                self.send_command(request, RequestCommand::Reject(retry_after));
            }
            Action::Fail(request) => self.send_command(request, RequestCommand::Fail),
            Action::ReleaseReservation(request) => {
                self.send_command(request, RequestCommand::ReleaseReservation);
            }
            Action::Migrate(request) => self.send_command(request, RequestCommand::Migrate),
            Action::HealthCheck(endpoint) => self.send_fleet_command(FleetCommand::HealthCheck(endpoint)),
            Action::CloseIdleConnections(endpoint) => {
                self.send_fleet_command(FleetCommand::CloseIdleConnections(endpoint));
            }
            Action::SetTimer { token, after } => self.start_timer(token, after),
            // The endpoint list is always watched, and neither protocol supports reservations ahead of a
            // request.
            Action::FetchEndpoints | Action::WatchEndpoints | Action::ReserveAhead { .. } => {}
            Action::Log(note) => tracing::info!(note = %note, "note from the scheduler"),
        }
    }

    fn send_command(&self, request: RequestId, command: RequestCommand) {
        if let Some(commands) = self.requests.get(&request) {
            // Sending fails only if the task has just ended and needs no commands.
            let _ = commands.send(command);
        }
    }

    fn send_fleet_command(&self, command: FleetCommand) {
        // Sending fails only while the process shuts down.
        let _ = self.fleet.send(command);
    }

    /// Sends a timer event to the scheduler after the given time.
    fn start_timer(&self, token: u64, after: Micros) {
        let inputs = self.inputs.clone();
        spawn_local(async move {
            sleep(duration_from_micros(after)).await;
            let _ = inputs.send(SchedulerInput::Notify(Event::TimerFired(token)));
        });
    }
}
