//! What all requests of one API share: the scheduler, the endpoints and the counters.

use std::rc::Rc;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;

use crate::metrics::Counters;
use crate::scheduler::EndpointId;
use crate::scheduler_handle::{FleetCommand, SchedulerHandle};
use crate::upstream::exchange::Upstream;

/// One fleet of endpoints with its scheduler. Clones share all of it.
#[derive(Clone)]
pub struct RoutingContext {
    /// Makes every decision.
    pub scheduler: SchedulerHandle,
    /// Talks to the endpoints.
    pub upstream: Rc<Upstream>,
    /// Counts what happens.
    pub counters: Rc<Counters>,
}

impl RoutingContext {
    /// Checks an endpoint's health and load, and reports it to the scheduler.
    async fn check_health(self, endpoint: EndpointId) {
        let checked = self.upstream.health_check(endpoint).await;
        self.scheduler.report_health_check(endpoint, checked.outcome, checked.load_report);
    }
}

/// Carries out what the scheduler wants of the fleet, until the scheduler ends.
pub async fn run_fleet_commands(context: RoutingContext, mut commands: UnboundedReceiver<FleetCommand>) {
    while let Some(command) = commands.recv().await {
        match command {
            FleetCommand::CloseIdleConnections(endpoint) => context.upstream.pool().close_idle(endpoint),
            FleetCommand::HealthCheck(endpoint) => {
                // In a task of its own, so that an endpoint that does not respond delays no other command.
                spawn_local(context.clone().check_health(endpoint));
            }
        }
    }
}
