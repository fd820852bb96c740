//! The router: reads its configuration, starts its planners and fronts, and ends when told to.
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use inference_router::clock::{Clock, duration_from_micros};
use inference_router::config::reload;
use inference_router::config::{ChatConfig, ConfigError, PlatformConfig};
use inference_router::discovery::watch::EndpointDirectory;
use inference_router::metrics::Counters;
use inference_router::routing_context::{RoutingContext, run_fleet_commands};
use inference_router::scheduler::{EndpointId, EndpointUpdate, Role};
use inference_router::scheduler_handle::SchedulerHandle;
use inference_router::server::chat_api::ChatApi;
use inference_router::server::connection_limits::ConnectionLimiter;
use inference_router::server::platform_api::PlatformApi;
use inference_router::server::serve;
use inference_router::shutdown::{Shutdown, TerminationSignals};
use inference_router::upstream::connection_pool::{ConnectionPool, EndpointAddress};
use inference_router::upstream::exchange::{Upstream, UpstreamProtocol};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use tracing_subscriber::filter::LevelFilter;

/// How long a start waits for discovery before it serves by the list that it was given, which may be old.
const DISCOVERY_WAIT: Duration = Duration::from_secs(5);

/// For what the system refuses at a start to become possible; a start may take 30 s in all.
const START_RETRIES: Duration = Duration::from_secs(15);
/// Between tries of it.
const START_RETRY_WAIT: Duration = Duration::from_millis(50);

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("usage: inference-router [--chat FILE]")]
    Usage,
}

/// Listens on an address. What the system refuses for a moment it is asked for again: a router that restarts may find
/// its address still taken, or the machine short of something.
async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let until = Instant::now() + START_RETRIES;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if Instant::now() < until => {
                tracing::warn!(%address, %error, "cannot listen yet");
                sleep(START_RETRY_WAIT).await;
            }
            Err(error) => return Err(StartError::Listen(address, error)),
        }
    }
}

/// Reads a configuration, again where the system failed to read it for a moment.
async fn read_config<T>(read: impl Fn() -> Result<T, ConfigError>) -> Result<T, StartError> {
    let until = Instant::now() + START_RETRIES;
    loop {
        match read() {
            Err(error) if error.may_pass() && Instant::now() < until => {
                tracing::warn!(%error, "configuration not readable yet");
                sleep(START_RETRY_WAIT).await;
            }
            read => return Ok(read?),
        }
    }
}

async fn start_platform(
    config: PlatformConfig, clock: Clock, counters: Rc<Counters>, shutdown: &Shutdown,
    replaced: (Signal, PathBuf),
) -> Result<(), StartError> {
    let pool = Rc::new(ConnectionPool::new(config.pool, counters.clone()));
    let (planner, orders) = SchedulerHandle::start(config.settings.clone(), config.seed, clock);
    let held_most = duration_from_micros(config.settings.rules.reservation_limit);
    let upstream =
        Rc::new(Upstream::new(pool.clone(), UpstreamProtocol::Platform, counters.clone(), held_most));
    let (discovery, address) = watch::channel(config.discovery);
    let (hangups, path) = replaced;
    spawn_local(reload::follow(hangups, path, discovery, counters.clone()));
    let max_retry_after = config.settings.capabilities.max_retry_after;
    let core = RoutingContext { scheduler: planner, upstream, counters };
    spawn_local(run_fleet_commands(core.clone(), orders));
    spawn_local(async move { pool.run_idle_eviction().await });

    let mut directory =
        EndpointDirectory::new(core.clone(), config.settings, config.names.clone(), clock, config.seed);
    if let Some(known) = &config.known {
        directory.apply(known);
    }
    let (told, heard) = watch::channel(false);
    let (ready, is_ready) = watch::channel(false);
    spawn_local(directory.run(address, told));
    let known = config.known.is_some();
    spawn_local(async move {
        let mut heard = heard;
        let in_time = tokio::time::timeout(DISCOVERY_WAIT, heard.wait_for(|told| *told)).await.is_ok();
        if !in_time && !known {
            let _ = heard.wait_for(|told| *told).await;
        }
        tracing::info!(endpoint_list = if in_time { "discovery" } else { "configuration" }, "ready");
        ready.send_replace(true);
    });
    let intake = ConnectionLimiter::new(config.max_clients, config.body_bytes);
    let front =
        PlatformApi::new(core, config.names, max_retry_after, intake.clone(), is_ready, shutdown.clone());
    // Last: from now on clients connect, and their time runs.
    let listener = listen(config.listen).await?;
    spawn_local(serve(listener, None, intake, shutdown.clone(), move |_| front.clone()));
    tracing::info!(api = "platform", name = %config.name, address = %config.listen, "listening");
    Ok(())
}

async fn start_chat(
    mut config: ChatConfig, clock: Clock, counters: Rc<Counters>, shutdown: &Shutdown,
) -> Result<(), StartError> {
    let seed = clock.now() as u64 ^ u64::from(std::process::id()) << 48;
    let pool = Rc::new(ConnectionPool::new(config.pool.clone(), counters.clone()));
    let (planner, orders) = SchedulerHandle::start(config.settings.clone(), seed, clock);
    let protocol = UpstreamProtocol::Chat(std::mem::take(&mut config.server_headers));
    let upstream = Rc::new(Upstream::new(pool.clone(), protocol, counters.clone(), Duration::ZERO));
    let core = RoutingContext { scheduler: planner, upstream, counters };
    spawn_local(run_fleet_commands(core.clone(), orders));
    let swept = pool.clone();
    spawn_local(async move { swept.run_idle_eviction().await });
    let mut members = Vec::new();
    for (number, (_, addr)) in config.servers.iter().enumerate() {
        let endpoint = EndpointId(number as u32);
        pool.set_address(endpoint, Some(EndpointAddress { addr: *addr, role: Role::Mixed, ready: true }));
        members.push(EndpointUpdate { endpoint, ..EndpointUpdate::default() });
    }
    core.scheduler.endpoints_changed(true, members);
    let (address, tls) = (config.listen, config.tls.take());
    let intake = ConnectionLimiter::new(config.max_clients, config.body_bytes);
    let front = ChatApi::new(core, Rc::new(config), intake.clone(), shutdown.clone(), seed);
    let listener = listen(address).await?;
    spawn_local(serve(listener, tls, intake, shutdown.clone(), move |peer| front.for_peer(peer)));
    tracing::info!(api = "chat", %address, "listening");
    Ok(())
}

/// The operator's file, where the program was started as `inference-router --chat FILE`.
fn chat_file() -> Result<Option<PathBuf>, StartError> {
    let mut words = std::env::args_os().skip(1);
    match (words.next(), words.next(), words.next()) {
        (None, ..) => Ok(None),
        (Some(flag), Some(file), None) if flag == "--chat" => Ok(Some(file.into())),
        _ => Err(StartError::Usage),
    }
}

/// The counters of each front, by its name.
type Counted = Vec<(&'static str, Rc<Counters>)>;

/// Reads what the program is told and starts its fronts.
async fn start(clock: Clock, shutdown: &Shutdown, hangups: Signal) -> Result<Counted, StartError> {
    let chat = match chat_file()? {
        Some(path) => Some(read_config(|| ChatConfig::read(&path)).await?),
        None => None,
    };
    let platform = match std::env::var_os("LB_CONFIG").map(PathBuf::from) {
        Some(path) => Some((read_config(|| PlatformConfig::read(&path)).await?, path)),
        None => None,
    };
    if platform.is_none() && chat.is_none() {
        return Err(ConfigError::Nothing.into());
    }
    let mut counted = Vec::new();
    if let Some((mut config, path)) = platform {
        config.reserve_sockets(chat.as_ref().map_or(0, |chat| chat.max_clients + chat.pool.max_connections));
        let counters = Rc::new(Counters::default());
        counted.push(("platform", counters.clone()));
        start_platform(config, clock, counters, shutdown, (hangups, path)).await?;
    } else {
        spawn_local(reload::refuse(hangups));
    }
    if let Some(config) = chat {
        let counters = Rc::new(Counters::default());
        counted.push(("chat", counters.clone()));
        start_chat(config, clock, counters, shutdown).await?;
    }
    Ok(counted)
}

async fn run() -> Result<(), StartError> {
    let clock = Clock::start();
    let hangups = reload::hangups()?;
    let mut ends = TerminationSignals::listen()?;
    let shutdown = Shutdown::default();
    let counted = tokio::select! {
        counted = start(clock, &shutdown, hangups) => counted?,
        () = ends.received() => {
            tracing::info!("shutdown requested before the start was complete");
            return Ok(());
        }
    };
    for (front, counters) in &counted {
        spawn_local(counters.clone().log_periodically(front));
    }
    shutdown.run(ends).await;
    for (front, counters) in counted {
        tracing::info!(api = front, counters = %counters.to_json(), "final counters");
    }
    Ok(())
}

/// How much is logged: as `RUST_LOG` says (`debug` follows each request), else what operators need.
fn log_level() -> LevelFilter {
    std::env::var("RUST_LOG").ok().and_then(|level| level.parse().ok()).unwrap_or(LevelFilter::INFO)
}

fn main() -> ExitCode {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    log.with_max_level(log_level()).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(StartError::Io).and_then(|runtime| LocalSet::new().block_on(&runtime, run()));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("inference-router: {error}");
            ExitCode::FAILURE
        }
    }
}
