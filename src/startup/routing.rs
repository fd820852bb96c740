//! Startup of an API's scheduler and of the background tasks for its endpoints.

use std::rc::Rc;

use inference_router::clock::Clock;
use inference_router::metrics::Counters;
use inference_router::routing_context::{RoutingContext, run_fleet_commands};
use inference_router::scheduler::Settings;
use inference_router::scheduler_handle::{FleetCommand, SchedulerHandle};
use inference_router::upstream::exchange::Upstream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;

/// The scheduler and endpoints of one API, before its background tasks are spawned.
pub(super) struct Routing {
    context: RoutingContext,
    fleet_commands: UnboundedReceiver<FleetCommand>,
}

impl Routing {
    /// Starts the scheduler.
    pub(super) fn start(
        settings: &Settings, seed: u64, clock: Clock, upstream: Upstream, counters: Rc<Counters>,
    ) -> Self {
        let (scheduler, fleet_commands) = SchedulerHandle::start(settings.clone(), seed, clock);
        let context = RoutingContext { scheduler, upstream: Rc::new(upstream), counters };
        Routing { context, fleet_commands }
    }

    /// Spawns the background tasks for the fleet: the scheduler's commands and the eviction of idle
    /// connections.
    pub(super) fn spawn_fleet_tasks(self) -> RoutingContext {
        spawn_local(run_fleet_commands(self.context.clone(), self.fleet_commands));
        let pool = self.context.upstream.pool().clone();
        spawn_local(async move { pool.run_idle_eviction().await });
        self.context
    }
}
