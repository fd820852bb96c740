//! What the requests of one API share: the scheduler, the endpoints and the metrics.

use std::rc::Rc;

use crate::{metrics, scheduler_handle, upstream};

/// One fleet with its planner: all that the requests of one front need.
#[derive(Clone)]
pub struct RoutingContext {
    /// Decides.
    pub scheduler: scheduler_handle::SchedulerHandle,
    /// Talks to the endpoints.
    pub upstream: Rc<upstream::exchange::Upstream>,
    /// Counts.
    pub counters: Rc<metrics::Counters>,
}

/// Carries out what a planner wants of the fleet as a whole.
pub async fn run_fleet_commands(
    core: RoutingContext, mut orders: tokio::sync::mpsc::UnboundedReceiver<scheduler_handle::FleetCommand>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            scheduler_handle::FleetCommand::CloseIdleConnections(endpoint) => {
                core.upstream.pool().close_idle(endpoint)
            }
            scheduler_handle::FleetCommand::HealthCheck(endpoint) => {
                let core = core.clone();
                tokio::task::spawn_local(async move {
                    let checked = core.upstream.health_check(endpoint).await;
                    core.scheduler.health_checked(endpoint, checked.outcome, checked.load_report);
                });
            }
        }
    }
}
