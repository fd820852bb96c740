//! Replaced configuration, taken in without a restart at each SIGHUP.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::config::{ConfigError, PlatformConfig};
use crate::metrics::Counters;

/// For a configuration that cannot be used to become whole. What a moved discovery has to tell counts as told 4 s after
/// the signal.
const REPLACED_WITHIN: Duration = Duration::from_secs(3);
/// Between reads of a configuration that cannot be used.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// SIGHUP from now on: it no longer ends the process, even before anybody listens.
pub fn hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the platform's configuration again at each SIGHUP, for ever, and tells where discovery now answers. A file
/// that cannot be used changes nothing.
pub async fn follow(
    mut hangups: Signal, path: PathBuf, discovery: watch::Sender<SocketAddr>, counters: std::rc::Rc<Counters>,
) {
    while hangups.recv().await.is_some() {
        match read_replaced(&path).await {
            Ok(config) => {
                counters.reloads.increment();
                tracing::info!(discovery = %config.discovery, "configuration reloaded; all but the discovery address needs a restart");
                discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            }
            Err(error) => {
                counters.reloads_failed.increment();
                tracing::error!(%error, "configuration reload failed, the previous one stays in use");
            }
        }
    }
}

/// Reads a configuration that may still be written, or that the system fails to open for a moment.
async fn read_replaced(path: &Path) -> Result<PlatformConfig, ConfigError> {
    let until = Instant::now() + REPLACED_WITHIN;
    loop {
        match PlatformConfig::read(path) {
            Err(error) if Instant::now() < until => {
                tracing::warn!(%error, retry_in_ms = READ_AGAIN.as_millis(), "configuration not readable yet");
                sleep(READ_AGAIN).await;
            }
            read => return read,
        }
    }
}

/// Without the platform's front nothing is read again; SIGHUP is logged, for ever.
pub async fn refuse(mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        tracing::warn!("SIGHUP ignored: the chat API reads its configuration at the start only");
    }
}
