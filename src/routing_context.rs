//! State shared by all requests of one API: the scheduler, the endpoints and the counters.

use std::rc::Rc;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;

use crate::metrics::Counters;
use crate::scheduler::EndpointId;
use crate::scheduler_handle::{FleetCommand, SchedulerHandle};
use crate::upstream::exchange::Upstream;

/// A fleet of endpoints and its scheduler. Clones share the same state.
#[derive(Clone)]
pub struct RoutingContext {
    /// Makes all routing decisions.
    pub scheduler: SchedulerHandle,
    /// Communicates with the endpoints.
    pub upstream: Rc<Upstream>,
    /// Counters of the API.
    pub counters: Rc<Counters>,
}

impl RoutingContext {
    /// Checks the health and load of an endpoint and reports the result to the scheduler.
    async fn check_health(self, endpoint: EndpointId) {
        let checked = self.upstream.health_check(endpoint).await;
        self.scheduler.report_health_check(endpoint, checked.outcome, checked.load_report);
    }
}

/// Executes the scheduler's fleet-wide commands until the scheduler ends.
pub async fn run_fleet_commands(context: RoutingContext, mut commands: UnboundedReceiver<FleetCommand>) {
    while let Some(command) = commands.recv().await {
        match command {
            FleetCommand::CloseIdleConnections(endpoint) => context.upstream.pool().close_idle(endpoint),
            FleetCommand::HealthCheck(endpoint) => {
                // Runs in a separate task so that an unresponsive endpoint does not delay other commands.
                spawn_local(context.clone().check_health(endpoint));
            }
        }
    }
}
