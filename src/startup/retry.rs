//! Steps of the startup that may fail for a moment and are retried.

use std::net::SocketAddr;
use std::time::Duration;

use inference_router::config::ConfigError;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use super::StartError;

/// How long startup retries failing system calls. Startup may take at most 30 s in total.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between retries of a failing system call during startup.
const START_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a listener. Failures are retried until a timeout, as the address may still be in use after a restart
/// or the machine may be short of resources.
pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
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
pub(super) async fn read_config<T>(read: impl Fn() -> Result<T, ConfigError>) -> Result<T, StartError> {
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
