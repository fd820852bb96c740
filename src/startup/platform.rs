//! Startup of the platform API: routing, configuration reloads, the discovery watch and finally the listener.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use inference_router::clock::{Clock, duration_from_micros};
use inference_router::config::PlatformConfig;
use inference_router::config::reload::reload_on_sighup;
use inference_router::discovery::directory::EndpointDirectory;
use inference_router::discovery::watch::EndpointWatch;
use inference_router::memory_monitor::MemoryMonitor;
use inference_router::metrics::Counters;
use inference_router::routing_context::RoutingContext;
use inference_router::server::connection_limits::ConnectionLimiter;
use inference_router::server::platform_api::PlatformApi;
use inference_router::server::serve;
use inference_router::upstream::connection_pool::ConnectionPool;
use inference_router::upstream::exchange::{Upstream, UpstreamProtocol};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::retry::{listen, read_config};
use super::routing::Routing;
use super::{ProcessContext, RunningApi, StartError};

/// How long startup waits for discovery before the router becomes ready with the endpoint list in its
/// configuration, which may be outdated.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// The platform configuration and the path to reload it from.
pub(super) struct LoadedPlatformConfig {
    config: PlatformConfig,
    path: PathBuf,
}

/// Reads the platform configuration and reserves the sockets that the chat API needs.
pub(super) async fn read_platform_config(
    path: &Path, chat_sockets: usize,
) -> Result<LoadedPlatformConfig, StartError> {
    let mut config = read_config(|| PlatformConfig::read(path)).await?;
    config.reserve_sockets(chat_sockets);
    Ok(LoadedPlatformConfig { config, path: path.to_owned() })
}

/// Starts the platform API: routing, configuration reloads, the discovery watch and finally the listener.
pub(super) async fn start_platform_api(
    loaded: LoadedPlatformConfig, process: &ProcessContext, sighup: Signal,
) -> Result<RunningApi, StartError> {
    let LoadedPlatformConfig { config, path } = loaded;
    let counters = Rc::new(Counters::default());
    let pool = Rc::new(ConnectionPool::new(config.pool.clone(), counters.clone()));
    let reservation_limit = duration_from_micros(config.settings.rules.reservation_limit);
    let upstream = Upstream::new(pool, UpstreamProtocol::Platform, counters.clone(), reservation_limit);
    let routing = Routing::start(&config.settings, config.seed, process.clock, upstream, counters.clone());
    let (discovery_address, discovery_changes) = watch::channel(config.discovery);
    spawn_local(reload_on_sighup(sighup, path, discovery_address, counters.clone()));
    let context = routing.spawn_fleet_tasks();
    let ready = start_discovery(&config, context.clone(), process.clock, discovery_changes);

    let limiter = ConnectionLimiter::new(config.max_client_connections, config.max_client_memory);
    let memory_limit = Some(config.memory_limit as u64);
    spawn_local(MemoryMonitor::new("platform", limiter.clone(), memory_limit).run());
    let max_retry_after = config.settings.capabilities.max_retry_after;
    let shutdown = process.shutdown.clone();
    let api =
        PlatformApi::new(context, config.names, max_retry_after, limiter.clone(), ready, shutdown.clone());
    let listener = listen(config.listen).await?;
    spawn_local(serve(listener, None, limiter, shutdown, move |_| api.clone()));
    tracing::info!(
        api = "platform",
        name = %config.name,
        address = %config.listen,
        memory_limit_bytes = config.memory_limit,
        max_client_connections = config.max_client_connections,
        "listening"
    );
    Ok(RunningApi { name: "platform", counters })
}

/// Starts the discovery watch. The returned receiver becomes true once the router is ready.
fn start_discovery(
    config: &PlatformConfig, context: RoutingContext, clock: Clock, address: watch::Receiver<SocketAddr>,
) -> watch::Receiver<bool> {
    let mut directory = EndpointDirectory::new(context, &config.settings, config.names.clone(), clock);
    if let Some(list) = &config.known_endpoints {
        directory.apply(list);
    }
    let (answered_sender, discovery_answered) = watch::channel(false);
    let (ready, is_ready) = watch::channel(false);
    let endpoint_watch = EndpointWatch::new(directory, &config.settings, config.seed, answered_sender);
    spawn_local(endpoint_watch.run(address));
    spawn_local(signal_ready(discovery_answered, config.known_endpoints.is_some(), ready));
    is_ready
}

/// Signals readiness once discovery has answered, or after a timeout if the configuration has an endpoint
/// list.
async fn signal_ready(
    mut discovery_answered: watch::Receiver<bool>, has_known_endpoints: bool, ready: watch::Sender<bool>,
) {
    let answer = discovery_answered.wait_for(|answered| *answered);
    let answered_in_time = timeout(DISCOVERY_TIMEOUT, answer).await.is_ok();
    if !answered_in_time && !has_known_endpoints {
        let _ = discovery_answered.wait_for(|answered| *answered).await;
    }
    tracing::info!(endpoint_list = if answered_in_time { "discovery" } else { "configuration" }, "ready");
    ready.send_replace(true);
}
