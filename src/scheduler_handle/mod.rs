//! Handles to the scheduler, which runs in its own task.
//!
//! - [`SchedulerHandle`] submits requests and reports events that concern endpoints.
//! - [`RequestHandle`] receives the commands for one request and reports its events.
//! - `command` defines the commands sent to request tasks and to the fleet.
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

/// A handle to the task that owns a [`Scheduler`]. Clones refer to the same task.
#[derive(Clone)]
pub struct SchedulerHandle {
    inputs: UnboundedSender<SchedulerInput>,
    last_request_id: Rc<Cell<u64>>,
}

impl SchedulerHandle {
    /// Starts a scheduler on the current local task set. The receiver yields the commands for the fleet.
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
        (SchedulerHandle { inputs, last_request_id: Rc::default() }, fleet_commands)
    }

    /// Submits a new request and assigns its ID.
    pub fn submit(&self, mut spec: RequestSpec) -> RequestHandle {
        let id = RequestId(self.last_request_id.get() + 1);
        self.last_request_id.set(id.0);
        spec.id = id;
        let (sender, commands) = mpsc::unbounded_channel();
        self.send(SchedulerInput::Submit { spec, commands: sender });
        RequestHandle { id, scheduler: self.clone(), commands }
    }

    /// Reports a snapshot or a delta of the endpoint list.
    pub fn report_endpoints(&self, snapshot: bool, updates: Vec<EndpointUpdate>) {
        self.notify(Event::EndpointsChanged { snapshot, updates });
    }

    /// Reports that the watch on the endpoint list could not be opened or has ended.
    pub fn report_watch_failure(&self) {
        self.notify(Event::WatchFailed);
    }

    /// Reports the result of a health check, with the endpoint's load report if there was one.
    pub fn report_health_check(
        &self, endpoint: EndpointId, outcome: Outcome, load_report: Option<LoadReport>,
    ) {
        self.notify(Event::HealthChecked { endpoint, outcome, load_report });
    }

    fn notify(&self, event: Event) {
        self.send(SchedulerInput::Notify(event));
    }

    fn send(&self, input: SchedulerInput) {
        // The scheduler task runs until the process exits, so this can only fail during shutdown.
        let _ = self.inputs.send(input);
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptSummary {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request has received its final answer or needs none.
    pub is_final: bool,
    /// Prompt tokens found in the endpoint's cache.
    pub cached_tokens: f64,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// The endpoint's load report, if the response included one.
    pub load_report: Option<LoadReport>,
}

/// The registration of one request with the scheduler; removed on drop.
pub struct RequestHandle {
    id: RequestId,
    scheduler: SchedulerHandle,
    commands: UnboundedReceiver<RequestCommand>,
}

impl RequestHandle {
    /// Waits for the next command. Returns [`RequestCommand::Fail`] if the scheduler has stopped. Cancel
    /// safe.
    pub async fn next_command(&mut self) -> RequestCommand {
        self.commands.recv().await.unwrap_or(RequestCommand::Fail)
    }

    /// Reports the first token of an answer, received `elapsed` after the attempt was sent.
    pub fn report_first_token(&self, attempt: AttemptId, endpoint: EndpointId, elapsed: Micros) {
        self.scheduler.notify(Event::FirstToken { request: self.id, attempt, endpoint, elapsed });
    }

    /// Reports the end of an attempt.
    pub fn report_attempt_finished(&self, summary: AttemptSummary) {
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

    /// Reports that the client disconnected. The scheduler replies with [`RequestCommand::Closed`].
    pub fn report_client_disconnected(&self) {
        self.scheduler.notify(Event::ClientDisconnected(self.id));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.scheduler.send(SchedulerInput::TaskEnded(self.id));
    }
}
