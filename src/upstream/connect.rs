//! Opening a connection to an endpoint, and the connection itself.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::upstream::write_progress::{TrackedBody, TrackedStream, WriteProgress};

/// Largest read buffer of a connection, in bytes; events are far smaller. Together with the chunks that wait
/// for a slow client it bounds what one stream may occupy.
const MAX_READ_BUFFER: usize = 16 * 1024;

/// Pause before another try of a connection that this machine failed to open, such as for want of a socket:
/// short against any deadline, long enough not to spin.
const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The endpoint refused it, or it did not come up in time.
    #[error("the endpoint cannot be reached")]
    Endpoint,
    /// This machine could not make it: it has no socket, no room or no route for it. The endpoint is not to
    /// blame.
    #[error("this machine cannot open a connection")]
    Local,
}

/// Opens a socket to an endpoint; a failure of this machine is taken to be momentary, and retried.
///
/// `timeout_cause` always holds what a timeout would have to be blamed on at that moment.
///
/// # Errors
///
/// [`ConnectError::Endpoint`] when the endpoint refuses the connection or cannot be reached.
pub(super) async fn connect(
    addr: SocketAddr, timeout_cause: &Cell<ConnectError>,
) -> Result<TcpStream, ConnectError> {
    loop {
        timeout_cause.set(ConnectError::Endpoint);
        match TcpStream::connect(addr).await {
            Ok(socket) => return Ok(socket),
            Err(error) if is_caused_by_endpoint(&error) => return Err(ConnectError::Endpoint),
            Err(error) => {
                tracing::debug!(address = %addr, %error, "cannot open a connection from this machine");
                timeout_cause.set(ConnectError::Local);
                sleep(LOCAL_RETRY_DELAY).await;
            }
        }
    }
}

/// Whether a connect failed by a reply, or the want of one, from the other side.
fn is_caused_by_endpoint(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
    matches!(
        error.kind(),
        ConnectionAborted | ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut
    )
}

/// One HTTP/1 connection to an endpoint, for one request at a time. Dropping it closes the socket at once.
pub struct Connection {
    sender: SendRequest<TrackedBody>,
    progress: WriteProgress,
    driver: AbortHandle,
    reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Sets up HTTP on a new socket. The task that drives the connection holds `permit` for as long as it is
    /// open.
    ///
    /// # Errors
    ///
    /// [`ConnectError::Endpoint`] when the HTTP handshake fails.
    pub(super) async fn handshake(
        socket: TcpStream, permit: OwnedSemaphorePermit,
    ) -> Result<Self, ConnectError> {
        let _ = socket.set_nodelay(true);
        let progress = WriteProgress::default();
        let stream = TokioIo::new(TrackedStream::new(socket, progress.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_READ_BUFFER).handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Endpoint)?;
        let driver = tokio::task::spawn_local(async move {
            let _permit = permit;
            // How it ended shows at the request that used it.
            let _ = connection.await;
        });
        Ok(Connection { sender, progress, driver: driver.abort_handle(), reused: false })
    }

    /// A body for the next request on this connection.
    pub fn body(&self, data: Bytes) -> TrackedBody {
        TrackedBody::new(data, self.progress.clone())
    }

    /// The sending half.
    pub fn sender(&mut self) -> &mut SendRequest<TrackedBody> {
        &mut self.sender
    }

    /// Whether the connection has served a request before the present one. The endpoint may have closed it
    /// since.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Whether the connection is known to be closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Prepares an idle connection for another request; false when the endpoint has closed it, which its
    /// driver knows at once.
    pub(super) async fn reuse(&mut self) -> bool {
        self.reused = true;
        self.sender.ready().await.is_ok()
    }
}
