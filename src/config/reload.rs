//! Reads the platform's configuration again at each SIGHUP, without a restart.

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

/// For a configuration that cannot be used to become complete: it may still be written. Changes that a moved
/// discovery service has must be applied within 4 s of the signal.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// From one read of a configuration that cannot be used to the next.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Registers for SIGHUP. From now on it no longer ends the process, even before the first one is received.
///
/// # Errors
///
/// Fails where the system refuses to register the signal.
pub fn hangups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the platform's configuration again at each SIGHUP, for ever, and publishes the address of discovery.
/// A file that cannot be used changes nothing.
pub async fn reload_on_hangup(
    mut hangups: Signal, path: PathBuf, discovery: watch::Sender<SocketAddr>, counters: Rc<Counters>,
) {
    while hangups.recv().await.is_some() {
        match read_replaced(&path).await {
            Ok(config) => {
                counters.reloads.increment();
                tracing::info!(
                    discovery = %config.discovery,
                    "configuration reloaded; all but the discovery address needs a restart"
                );
                publish_if_changed(&discovery, config.discovery);
            }
            Err(error) => {
                counters.reloads_failed.increment();
                tracing::error!(%error, "configuration reload failed, the previous one stays in use");
            }
        }
    }
}

/// Logs each SIGHUP, for ever: without the platform API there is nothing to read again.
pub async fn ignore_hangups(mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        tracing::warn!("SIGHUP ignored: the chat API reads its configuration at the start only");
    }
}

/// Reads a configuration that may still be written, or that the system fails to open for a moment.
async fn read_replaced(path: &Path) -> Result<PlatformConfig, ConfigError> {
    let give_up_at = Instant::now() + RELOAD_TIMEOUT;
    loop {
        match PlatformConfig::read(path) {
            Err(error) if Instant::now() < give_up_at => {
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
        let is_new = *current != address;
        *current = address;
        is_new
    });
}
