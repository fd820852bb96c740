//! The task that owns a [`Scheduler`]: it turns inputs into events, and actions into commands.

use std::collections::HashMap;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::command::{FleetCommand, RequestCommand, SendCommand};
use crate::clock::{Clock, duration_from_micros};
use crate::scheduler::{Action, Event, Micros, RequestId, RequestSpec, Scheduler};

/// How many inputs one round takes at most. It bounds the time for which the other tasks of the process wait,
/// as all of them share one thread.
const MAX_INPUTS_PER_ROUND: usize = 256;

/// What the handles send to the task.
pub(super) enum SchedulerInput {
    /// A new request, and where its commands go.
    Submit {
        /// The request, with its id.
        spec: RequestSpec,
        /// Where its commands go.
        commands: UnboundedSender<RequestCommand>,
    },
    /// Something happened.
    Notify(Event),
    /// A request's task has ended and takes no further command.
    TaskEnded(RequestId),
}

/// One round of inputs, sorted by when each takes effect.
#[derive(Default)]
struct Round {
    /// Handled by the scheduler, in the order in which they came.
    events: Vec<Event>,
    /// Requests whose clients disconnected: their tasks are notified after the round's commands.
    disconnected: Vec<RequestId>,
    /// Requests whose tasks have ended: they are removed last.
    ended: Vec<RequestId>,
}

/// The sole owner of a [`Scheduler`].
///
/// All that the scheduler learns comes through one queue, so its decisions need no locks and follow from the
/// order of the queue alone. Whatever has queued up since the last round is one batch of events and is
/// handled at one point in time, just as a batch of the simulator is, so that the scheduler decides with all
/// of it known.
pub(super) struct SchedulerTask {
    pub(super) scheduler: Scheduler,
    pub(super) clock: Clock,
    /// Where the commands go, for each request whose task has not ended.
    pub(super) requests: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    /// For timers that fire. As the task holds a sender of its own queue, it runs until the process ends.
    pub(super) inputs: UnboundedSender<SchedulerInput>,
    pub(super) fleet: UnboundedSender<FleetCommand>,
}

impl SchedulerTask {
    /// Runs round after round.
    pub(super) async fn run(mut self, mut queue: UnboundedReceiver<SchedulerInput>) {
        let mut inputs = Vec::new();
        let mut round = Round::default();
        let mut actions = Vec::new();
        while queue.recv_many(&mut inputs, MAX_INPUTS_PER_ROUND).await > 0 {
            for input in inputs.drain(..) {
                self.accept(input, &mut round);
            }
            self.scheduler.handle(self.clock.now(), &round.events, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            self.finish_round(&mut round);
        }
    }

    /// Adds an input to the round. A new request can be sent commands from here on.
    fn accept(&mut self, input: SchedulerInput, round: &mut Round) {
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

    /// Sends what follows the round's commands, and empties the round for the next one.
    fn finish_round(&mut self, round: &mut Round) {
        round.events.clear();
        for id in round.disconnected.drain(..) {
            self.send_command(id, RequestCommand::Forgotten);
        }
        for id in round.ended.drain(..) {
            self.requests.remove(&id);
        }
    }

    /// Passes one action on to whoever carries it out.
    fn carry_out(&self, action: Action) {
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
            // The endpoint list is always watched, and the protocols have no reservation ahead of a request.
            Action::FetchEndpoints | Action::WatchEndpoints | Action::ReserveAhead { .. } => {}
            Action::Log(note) => tracing::info!(note = %note, "scheduler"),
        }
    }

    fn send_command(&self, request: RequestId, command: RequestCommand) {
        if let Some(commands) = self.requests.get(&request) {
            // It fails only for a task that has just ended, which needs no command.
            let _ = commands.send(command);
        }
    }

    fn send_fleet_command(&self, command: FleetCommand) {
        // It fails only while the process ends.
        let _ = self.fleet.send(command);
    }

    /// Notifies the scheduler after a while.
    fn start_timer(&self, token: u64, after: Micros) {
        let inputs = self.inputs.clone();
        spawn_local(async move {
            sleep(duration_from_micros(after)).await;
            let _ = inputs.send(SchedulerInput::Notify(Event::TimerFired(token)));
        });
    }
}
