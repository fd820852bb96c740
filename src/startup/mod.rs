//! Startup sequence. Listeners are opened last because clients connect, and their deadlines run, from that
//! point on.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use inference_router::clock::{Clock, duration_from_micros};
use inference_router::config::error::single_line;
use inference_router::config::reload::{ignore_sighup, listen_for_sighup, reload_on_sighup};
use inference_router::config::{ChatConfig, ConfigError, PlatformConfig, TlsSettings};
use inference_router::discovery::directory::EndpointDirectory;
use inference_router::discovery::watch::EndpointWatch;
use inference_router::metrics::Counters;
use inference_router::routing_context::{RoutingContext, run_fleet_commands};
use inference_router::scheduler::{EndpointId, EndpointUpdate, Role, Settings};
use inference_router::scheduler_handle::{FleetCommand, SchedulerHandle};
use inference_router::server::chat_api::ChatApi;
use inference_router::server::connection_limits::ConnectionLimiter;
use inference_router::server::platform_api::PlatformApi;
use inference_router::server::serve;
use inference_router::server::spiffe::{IdentityError, IdentityVerifier};
use inference_router::shutdown::{Shutdown, TerminationSignals};
use inference_router::upstream::connection_pool::{ConnectionPool, EndpointAddress};
use inference_router::upstream::exchange::{Upstream, UpstreamProtocol};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// How long startup waits for discovery before the router becomes ready with the endpoint list in its
/// configuration, which may be outdated.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long startup retries failing system calls. Startup may take at most 30 s in total.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between retries of a failing system call during startup.
const START_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An error that prevents the router from starting.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// A configuration file cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The TLS files referenced by a configuration cannot be used.
    #[error("{}: {}", .path.display(), single_line(.source))]
    Identity {
        /// Path of the configuration file.
        path: PathBuf,
        /// The underlying error.
        source: IdentityError,
    },
    /// Neither API is configured.
    #[error("nothing to do: set LB_CONFIG for the platform API or pass --chat FILE for the chat API")]
    NoConfiguration,
    /// A listen address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A signal handler cannot be registered.
    #[error(transparent)]
    Signals(#[from] io::Error),
}

/// Path of each API's configuration file, or `None` if the API is not served.
pub(crate) struct ConfigPaths {
    /// Path for the platform API.
    pub(crate) platform: Option<PathBuf>,
    /// Path for the chat API.
    pub(crate) chat: Option<PathBuf>,
}

/// The platform configuration and the path to reload it from.
struct LoadedPlatformConfig {
    config: PlatformConfig,
    path: PathBuf,
}

/// The chat configuration and the verifier of client identities, if clients must authenticate.
struct LoadedChatConfig {
    config: ChatConfig,
    identities: Option<IdentityVerifier>,
}

/// State shared by the APIs of the process.
struct ProcessContext {
    clock: Clock,
    shutdown: Shutdown,
}

/// A started API and its counters.
struct RunningApi {
    /// Name of the API in the log.
    name: &'static str,
    counters: Rc<Counters>,
}

/// Starts the router and runs it until a graceful shutdown is complete.
pub(crate) async fn run(paths: &ConfigPaths) -> Result<(), StartError> {
    let clock = Clock::start();
    let sighup = listen_for_sighup()?;
    let mut termination_signals = TerminationSignals::register()?;
    let process = ProcessContext { clock, shutdown: Shutdown::default() };
    let apis = tokio::select! {
        started = start(paths, &process, sighup) => started?,
        () = termination_signals.recv() => {
            tracing::info!("shutdown requested during startup");
            return Ok(());
        }
    };
    for api in &apis {
        spawn_local(api.counters.clone().log_periodically(api.name));
    }
    process.shutdown.run(termination_signals).await;
    for api in &apis {
        tracing::info!(api = api.name, counters = %api.counters.to_json(), "final counters");
    }
    Ok(())
}

/// Reads all configuration files, then starts the configured APIs.
async fn start(
    paths: &ConfigPaths, process: &ProcessContext, sighup: Signal,
) -> Result<Vec<RunningApi>, StartError> {
    let chat = match &paths.chat {
        Some(path) => Some(read_chat_config(path).await?),
        None => None,
    };
    let platform = match &paths.platform {
        Some(path) => Some(read_platform_config(path, chat.as_ref()).await?),
        None => None,
    };
    if platform.is_none() && chat.is_none() {
        return Err(StartError::NoConfiguration);
    }
    let mut apis = Vec::new();
    match platform {
        Some(loaded) => apis.push(start_platform_api(loaded, process, sighup).await?),
        None => {
            spawn_local(ignore_sighup(sighup));
        }
    }
    if let Some(loaded) = chat {
        apis.push(start_chat_api(loaded, process).await?);
    }
    Ok(apis)
}

/// Reads the chat configuration and the TLS files that it references.
async fn read_chat_config(path: &Path) -> Result<LoadedChatConfig, StartError> {
    let mut config = read_config(|| ChatConfig::read(path)).await?;
    let identities = match config.tls.take() {
        Some(tls) => Some(read_identities(tls, path)?),
        None => None,
    };
    Ok(LoadedChatConfig { config, identities })
}

fn read_identities(tls: TlsSettings, config_path: &Path) -> Result<IdentityVerifier, StartError> {
    let base = config_path.parent().unwrap_or(Path::new(""));
    IdentityVerifier::read(tls, base)
        .map_err(|source| StartError::Identity { path: config_path.to_owned(), source })
}

/// Reads the platform configuration and reserves the sockets that the chat API needs.
async fn read_platform_config(
    path: &Path, chat: Option<&LoadedChatConfig>,
) -> Result<LoadedPlatformConfig, StartError> {
    let mut config = read_config(|| PlatformConfig::read(path)).await?;
    let chat_sockets =
        chat.map_or(0, |chat| chat.config.max_client_connections + chat.config.pool.max_connections);
    config.reserve_sockets(chat_sockets);
    Ok(LoadedPlatformConfig { config, path: path.to_owned() })
}

/// Starts the platform API: routing, configuration reloads, the discovery watch and finally the listener.
async fn start_platform_api(
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

    let limiter = ConnectionLimiter::new(config.max_client_connections, config.max_body_bytes);
    let max_retry_after = config.settings.capabilities.max_retry_after;
    let shutdown = process.shutdown.clone();
    let api =
        PlatformApi::new(context, config.names, max_retry_after, limiter.clone(), ready, shutdown.clone());
    let listener = listen(config.listen).await?;
    spawn_local(serve(listener, None, limiter, shutdown, move |_| api.clone()));
    tracing::info!(api = "platform", name = %config.name, address = %config.listen, "listening");
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

/// Starts the chat API: routing, the fixed endpoints and finally the listener.
async fn start_chat_api(
    loaded: LoadedChatConfig, process: &ProcessContext,
) -> Result<RunningApi, StartError> {
    let LoadedChatConfig { mut config, identities } = loaded;
    let seed = process.clock.now() as u64 ^ (u64::from(std::process::id()) << 48);
    let counters = Rc::new(Counters::default());
    let pool = Rc::new(ConnectionPool::new(config.pool.clone(), counters.clone()));
    let protocol = UpstreamProtocol::Chat(std::mem::take(&mut config.endpoint_headers));
    let upstream = Upstream::new(pool, protocol, counters.clone(), Duration::ZERO);
    let context =
        Routing::start(&config.settings, seed, process.clock, upstream, counters.clone()).spawn_fleet_tasks();
    add_fixed_endpoints(&config, &context);

    let limiter = ConnectionLimiter::new(config.max_client_connections, config.max_body_bytes);
    let address = config.listen;
    let shutdown = process.shutdown.clone();
    let api = ChatApi::new(context, Rc::new(config), limiter.clone(), shutdown.clone(), seed);
    let listener = listen(address).await?;
    spawn_local(serve(listener, identities, limiter, shutdown, move |peer| api.for_peer(peer)));
    tracing::info!(api = "chat", %address, "listening");
    Ok(RunningApi { name: "chat", counters })
}

/// Registers the endpoints of the chat configuration, all of them ready.
fn add_fixed_endpoints(config: &ChatConfig, context: &RoutingContext) {
    let mut updates = Vec::new();
    for (index, endpoint) in config.endpoints.iter().enumerate() {
        let id = EndpointId(index as u32);
        let address = EndpointAddress { addr: endpoint.address, role: Role::Mixed, ready: true };
        context.upstream.pool().set_address(id, Some(address));
        updates.push(EndpointUpdate { endpoint: id, ..EndpointUpdate::default() });
    }
    context.scheduler.report_endpoints(true, updates);
}

/// The scheduler and endpoints of one API, before its background tasks are spawned.
struct Routing {
    context: RoutingContext,
    fleet_commands: UnboundedReceiver<FleetCommand>,
}

impl Routing {
    /// Starts the scheduler.
    fn start(
        settings: &Settings, seed: u64, clock: Clock, upstream: Upstream, counters: Rc<Counters>,
    ) -> Self {
        let (scheduler, fleet_commands) = SchedulerHandle::start(settings.clone(), seed, clock);
        let context = RoutingContext { scheduler, upstream: Rc::new(upstream), counters };
        Routing { context, fleet_commands }
    }

    /// Spawns the background tasks for the fleet: the scheduler's commands and the eviction of idle
    /// connections.
    fn spawn_fleet_tasks(self) -> RoutingContext {
        spawn_local(run_fleet_commands(self.context.clone(), self.fleet_commands));
        let pool = self.context.upstream.pool().clone();
        spawn_local(async move { pool.run_idle_eviction().await });
        self.context
    }
}

/// Binds a listener. Failures are retried until a timeout, as the address may still be in use after a restart
/// or the machine may be short of resources.
async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if Instant::now() < deadline => {
                tracing::warn!(%address, %error, "cannot listen yet");
                sleep(START_RETRY_DELAY).await;
            }
            Err(source) => return Err(StartError::Listen { address, source }),
        }
    }
}

/// Reads a configuration file, retrying transient errors until a timeout.
async fn read_config<T>(read: impl Fn() -> Result<T, ConfigError>) -> Result<T, StartError> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        match read() {
            Err(error) if error.is_transient() && Instant::now() < deadline => {
                tracing::warn!(%error, "configuration not readable yet");
                sleep(START_RETRY_DELAY).await;
            }
            result => return Ok(result?),
        }
    }
}
