//! Steps of the startup that may fail for a moment and are retried.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use inference_router::config::ConfigError;
use inference_router::config::error::ErrorCause;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

use super::StartError;

/// How long startup retries failing system calls. Startup may take at most 30 s in total.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// How long startup retries a configuration that is not valid, as it may still be being written.
const INCOMPLETE_FILE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between retries of a failing system call during startup.
const START_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Length of the queue of connections to accept. When it is full, the system ignores further ones, whose clients
/// try again after a second.
const LISTEN_BACKLOG: u32 = 1_024;

/// Binds a listener. Failures are retried until a timeout, as the address may still be in use after a restart
/// or the machine may be short of resources.
pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        match bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if Instant::now() < deadline => {
                tracing::warn!(%address, %error, "cannot listen yet");
                sleep(START_RETRY_DELAY).await;
            }
            Err(source) => return Err(StartError::Listen { address, source }),
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Connections of an earlier process at this address may still be closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Reads a configuration file, retrying errors that may be transient until a timeout.
pub(super) async fn read_config<T>(read: impl Fn() -> Result<T, ConfigError>) -> Result<T, StartError> {
    let started = Instant::now();
    loop {
        match read() {
            Err(error) if started.elapsed() < retry_timeout(&error) => {
                log_retry(&error);
                sleep(START_RETRY_DELAY).await;
            }
            result => return Ok(result?),
        }
    }
}

/// Logs an error after which the file is read again. One that lasts is reported when the start fails.
fn log_retry(error: &ConfigError) {
    match error.cause() {
        ErrorCause::System => tracing::warn!(%error, "configuration not readable yet"),
        ErrorCause::Content | ErrorCause::File => tracing::debug!(%error, "configuration not usable yet"),
    }
}

/// Returns how long to retry after this error.
fn retry_timeout(error: &ConfigError) -> Duration {
    match error.cause() {
        ErrorCause::System => START_TIMEOUT,
        ErrorCause::Content => INCOMPLETE_FILE_TIMEOUT,
        ErrorCause::File => Duration::ZERO,
    }
}
