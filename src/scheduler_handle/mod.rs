//! Handles by which the rest of the process reaches the scheduler, which runs in a task of its own.
//!
//! - [`SchedulerHandle`] submits requests and reports what happens at the endpoints.
//! - [`RequestHandle`] is one request's place at the scheduler: commands come out, events go in.
//! - `command` names what the scheduler's actions ask of a request's task or of the fleet.
//! - `task` owns the [`Scheduler`].

mod command;
mod task;

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;

pub use command::{FleetCommand, RequestCommand, SendCommand};

use crate::clock::Clock;
use crate::scheduler::{
    AttemptId, EndpointId, EndpointUpdate, Event, LoadReport, Micros, Outcome, RequestId, RequestSpec,
    Scheduler, Settings,
};
use task::{SchedulerInput, SchedulerTask};

/// A handle to the task that owns a [`Scheduler`]; clones reach the same one.
#[derive(Clone)]
pub struct SchedulerHandle {
    inputs: UnboundedSender<SchedulerInput>,
    last_request: Rc<Cell<u64>>,
}

impl SchedulerHandle {
    /// Starts a scheduler on the current local task set. The receiver gives what it wants of the fleet.
    pub fn start(settings: Settings, seed: u64, clock: Clock) -> (Self, UnboundedReceiver<FleetCommand>) {
        let (inputs, queue) = mpsc::unbounded_channel();
        let (fleet, fleet_commands) = mpsc::unbounded_channel();
        let task = SchedulerTask {
            scheduler: Scheduler::new(settings, seed),
            clock,
            requests: HashMap::new(),
            inputs: inputs.clone(),
            fleet,
        };
        spawn_local(task.run(queue));
        (SchedulerHandle { inputs, last_request: Rc::default() }, fleet_commands)
    }

    /// Submits a new request; its id is assigned here.
    pub fn submit(&self, mut spec: RequestSpec) -> RequestHandle {
        let id = RequestId(self.last_request.get() + 1);
        self.last_request.set(id.0);
        spec.id = id;
        let (sender, commands) = mpsc::unbounded_channel();
        self.send(SchedulerInput::Submit { spec, commands: sender });
        RequestHandle { id, scheduler: self.clone(), commands }
    }

    /// Reports the endpoint list, as a snapshot or as a delta.
    pub fn endpoints_changed(&self, snapshot: bool, updates: Vec<EndpointUpdate>) {
        self.notify(Event::EndpointsChanged { snapshot, updates });
    }

    /// Reports that the watch on the endpoint list could not be opened or has ended.
    pub fn watch_failed(&self) {
        self.notify(Event::WatchFailed);
    }

    /// Reports how a health check ended, with the endpoint's load report where one came along.
    pub fn health_checked(&self, endpoint: EndpointId, outcome: Outcome, load_report: Option<LoadReport>) {
        self.notify(Event::HealthChecked { endpoint, outcome, load_report });
    }

    fn notify(&self, event: Event) {
        self.send(SchedulerInput::Notify(event));
    }

    fn send(&self, input: SchedulerInput) {
        // The scheduler's task lives as long as the process, so this fails only while the process ends.
        let _ = self.inputs.send(input);
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptSummary {
    /// Which attempt.
    pub attempt: AttemptId,
    /// At which endpoint.
    pub endpoint: EndpointId,
    /// How.
    pub outcome: Outcome,
    /// Nothing more is owed to the client.
    pub is_final: bool,
    /// Prompt tokens that were found in the endpoint's cache.
    pub cached_tokens: f64,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// The endpoint's load report, where one came along.
    pub load_report: Option<LoadReport>,
}

/// One request's place at the scheduler, given back when dropped.
pub struct RequestHandle {
    id: RequestId,
    scheduler: SchedulerHandle,
    commands: UnboundedReceiver<RequestCommand>,
}

impl RequestHandle {
    /// The next command. Without a scheduler there is none, and the request has failed. Cancel safe.
    pub async fn next_command(&mut self) -> RequestCommand {
        self.commands.recv().await.unwrap_or(RequestCommand::Fail)
    }

    /// Reports that the first token of an answer came, `elapsed` after its attempt was sent.
    pub fn first_token(&self, attempt: AttemptId, endpoint: EndpointId, elapsed: Micros) {
        self.scheduler.notify(Event::FirstToken { request: self.id, attempt, endpoint, elapsed });
    }

    /// Reports how an attempt ended.
    pub fn attempt_finished(&self, summary: AttemptSummary) {
        let AttemptSummary { attempt, endpoint, outcome, is_final, cached_tokens, elapsed, load_report } =
            summary;
        self.scheduler.notify(Event::AttemptFinished {
            request: self.id,
            attempt,
            endpoint,
            outcome,
            is_final,
            cached_tokens,
            elapsed,
            load_report,
        });
    }

    /// Reports that the client disconnected; [`RequestCommand::Forgotten`] follows.
    pub fn client_disconnected(&self) {
        self.scheduler.notify(Event::ClientDisconnected(self.id));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.scheduler.send(SchedulerInput::TaskEnded(self.id));
    }
}
