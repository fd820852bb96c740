//! A connection to an endpoint, and how it is opened.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::upstream::request_body::RequestBody;
use crate::upstream::response_scanner::ResponseScanner;
use crate::upstream::tracked_stream::TrackedStream;
use crate::upstream::write_progress::{TrackedBody, WriteProgress};

/// Maximum size of a connection's read buffer, in bytes; events are far smaller. Together with the chunks
/// buffered for a slow client, it bounds the memory of a stream.
const MAX_READ_BUFFER: usize = 16 * 1024;

/// Delay before retrying a connection that failed for a local reason, such as no free socket. Short compared
/// with every deadline, and long enough to avoid a busy loop.
const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The endpoint refused the connection or did not accept it in time.
    #[error("the endpoint is unreachable")]
    Endpoint,
    /// This machine could not open the connection because it has no free socket, no capacity or no route. The
    /// endpoint is not at fault.
    #[error("this machine cannot open the connection")]
    Local,
}

/// Opens a socket to an endpoint. Local failures are assumed to be transient and are retried.
///
/// `timeout_cause` always holds the error that a timeout at that moment should be attributed to.
///
/// # Errors
///
/// [`ConnectError::Endpoint`] if the endpoint refuses the connection or is unreachable.
pub(super) async fn connect(
    addr: SocketAddr, timeout_cause: &Cell<ConnectError>,
) -> Result<TcpStream, ConnectError> {
    loop {
        timeout_cause.set(ConnectError::Endpoint);
        match TcpStream::connect(addr).await {
            Ok(socket) => return Ok(socket),
            Err(error) if is_caused_by_endpoint(&error) => return Err(ConnectError::Endpoint),
            Err(error) => {
                tracing::debug!(address = %addr, %error, "local failure to open a connection; retrying");
                timeout_cause.set(ConnectError::Local);
                sleep(LOCAL_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether a connect error was caused by the endpoint's response, or by its lack of one.
fn is_caused_by_endpoint(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
    matches!(
        error.kind(),
        ConnectionAborted | ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut
    )
}

/// An HTTP/1 connection to an endpoint that carries one request at a time. Dropping it closes the socket
/// immediately.
pub struct Connection {
    sender: SendRequest<TrackedBody>,
    progress: WriteProgress,
    scanner: Rc<RefCell<ResponseScanner>>,
    driver: AbortHandle,
    reused: bool,
    /// When the last response was received or, before the first one, when the connection was opened.
    last_used_at: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Performs the HTTP handshake on a new socket. The task that drives the connection holds `permit` while
    /// the connection is open.
    ///
    /// # Errors
    ///
    /// [`ConnectError::Endpoint`] if the HTTP handshake fails.
    pub(super) async fn handshake(
        socket: TcpStream, permit: OwnedSemaphorePermit,
    ) -> Result<Self, ConnectError> {
        let _ = socket.set_nodelay(true);
        let progress = WriteProgress::default();
        let scanner = Rc::new(RefCell::new(ResponseScanner::default()));
        let stream = TokioIo::new(TrackedStream::new(socket, progress.clone(), scanner.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_READ_BUFFER).handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Endpoint)?;
        let driver = tokio::task::spawn_local(async move {
            let _permit = permit;
            // An error is reported to the request that used the connection.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            progress,
            scanner,
            driver: driver.abort_handle(),
            reused: false,
            last_used_at: Instant::now(),
        })
    }

    /// Starts the next exchange on this connection, whose response may have a body of up to
    /// `max_response_size` bytes. Returns the body of the request.
    pub fn start_exchange(&self, request_body: RequestBody, max_response_size: u64) -> TrackedBody {
        self.scanner.borrow_mut().start_response(max_response_size);
        TrackedBody::new(request_body, self.progress.clone())
    }

    /// Returns the index within its response of the chunk of which data is missing. Returns `None` if there is
    /// none.
    pub(super) fn incomplete_chunk(&self) -> Option<u64> {
        self.scanner.borrow().incomplete_chunk()
    }

    /// Returns the request sender.
    pub fn sender(&mut self) -> &mut SendRequest<TrackedBody> {
        &mut self.sender
    }

    /// Returns whether the connection carried another request before the current one. The endpoint may have
    /// closed it since.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns when the last response was received or, before the first one, when the connection was opened.
    pub(super) fn last_used_at(&self) -> Instant {
        self.last_used_at
    }

    /// Records that a complete response was received at `now`.
    pub(super) fn record_response(&mut self, now: Instant) {
        self.last_used_at = now;
    }

    /// Returns whether the connection is known to be closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Prepares an idle connection for another request. Returns `false` if the endpoint has closed it, which
    /// the connection's driver detects immediately.
    pub(super) async fn reuse(&mut self) -> bool {
        self.reused = true;
        self.sender.ready().await.is_ok()
    }
}
