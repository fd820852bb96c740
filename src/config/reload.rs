//! Reloads the platform configuration on SIGHUP, without a restart.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::config::{ConfigError, PlatformConfig};
use crate::metrics::Counters;

/// How long to retry an unusable configuration, as it may still be being written. After discovery has moved,
/// endpoint changes must be applied within 4 s of the signal.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between attempts to read an unusable configuration.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Registers a handler for SIGHUP. From then on, the signal no longer terminates the process.
///
/// # Errors
///
/// Returns an error if the handler cannot be registered.
pub fn listen_for_sighup() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the platform configuration on every SIGHUP and publishes the discovery address. If the file is
/// unusable, the current configuration stays in effect.
pub async fn reload_on_sighup(
    mut sighup: Signal, path: PathBuf, discovery: watch::Sender<SocketAddr>, counters: Rc<Counters>,
) {
    while sighup.recv().await.is_some() {
        match read_with_retries(&path).await {
            Ok(config) => {
                counters.reloads.increment();
                tracing::info!(
                    discovery = %config.discovery,
                    "configuration reloaded; changes other than the discovery address require a restart"
                );
                publish_if_changed(&discovery, config.discovery);
            }
            Err(error) => {
                counters.reloads_failed.increment();
                tracing::error!(%error, "configuration reload failed; keeping the previous configuration");
            }
        }
    }
}

/// Logs every SIGHUP. Without the platform API there is no configuration to reload.
pub async fn ignore_sighup(mut sighup: Signal) {
    while sighup.recv().await.is_some() {
        tracing::warn!("SIGHUP ignored: the chat API reads its configuration only at startup");
    }
}

/// Reads the configuration, retrying while the file is incomplete or cannot be opened.
async fn read_with_retries(path: &Path) -> Result<PlatformConfig, ConfigError> {
    let deadline = Instant::now() + RELOAD_TIMEOUT;
    loop {
        match PlatformConfig::read(path) {
            Err(error) if Instant::now() < deadline => {
                let retry_in_ms = RELOAD_RETRY_DELAY.as_millis();
                tracing::warn!(%error, retry_in_ms, "configuration not readable yet");
                sleep(RELOAD_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

fn publish_if_changed(discovery: &watch::Sender<SocketAddr>, address: SocketAddr) {
    discovery.send_if_modified(|current| {
        let changed = *current != address;
        *current = address;
        changed
    });
}
