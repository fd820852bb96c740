//! Startup sequence. Listeners are opened last because clients connect, and their deadlines run, from that
//! point on.

mod chat;
mod platform;
mod retry;
mod routing;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use inference_router::clock::Clock;
use inference_router::config::ConfigError;
use inference_router::config::error::single_line;
use inference_router::config::reload::{ignore_sighup, listen_for_sighup};
use inference_router::metrics::Counters;
use inference_router::server::spiffe::IdentityError;
use inference_router::shutdown::{Shutdown, TerminationSignals};
use tokio::signal::unix::Signal;
use tokio::task::spawn_local;

use chat::{LoadedChatConfig, read_chat_config, start_chat_api};
use platform::{read_platform_config, start_platform_api};

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
    let chat_sockets = chat.as_ref().map_or(0, LoadedChatConfig::max_sockets);
    let platform = match &paths.platform {
        Some(path) => Some(read_platform_config(path, chat_sockets).await?),
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
