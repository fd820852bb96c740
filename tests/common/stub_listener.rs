//! A listener under the control of a test, for stubs of endpoints and of discovery.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use super::config_files::stub_port;
use super::connection::{Connection, POLL_INTERVAL};
use super::router_process::WAIT_TIMEOUT;

/// How long to wait for a connection that the router does not always open.
const OPTIONAL_CONNECTION_TIMEOUT: Duration = Duration::from_millis(20);

/// A listening socket of an endpoint stub or of discovery.
pub(crate) struct StubListener(TcpListener);

impl StubListener {
    /// Listens on the address that the endpoint list contains for this endpoint.
    pub(crate) fn endpoint(base: &str, name: &str) -> Self {
        StubListener::bind(&format!("{base}:{}", stub_port(name)))
    }

    pub(crate) fn bind(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("failed to bind");
        listener.set_nonblocking(true).expect("failed to make the listener non-blocking");
        StubListener(listener)
    }

    /// Waits for the next connection.
    pub(crate) fn accept(&self) -> Connection {
        StubListener::accept_any(&[self]).1
    }

    /// Waits for the next connection to any of the listeners, and also returns the index of its listener.
    pub(crate) fn accept_any(listeners: &[&StubListener]) -> (usize, Connection) {
        StubListener::accept_within(listeners, WAIT_TIMEOUT).expect("no connection within the time limit")
    }

    /// Returns the next connection to any of the listeners if there is one within
    /// [`OPTIONAL_CONNECTION_TIMEOUT`].
    pub(crate) fn accept_soon(listeners: &[&StubListener]) -> Option<Connection> {
        StubListener::accept_within(listeners, OPTIONAL_CONNECTION_TIMEOUT).map(|(_, connection)| connection)
    }

    fn accept_within(listeners: &[&StubListener], timeout: Duration) -> Option<(usize, Connection)> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            for (index, listener) in listeners.iter().enumerate() {
                if let Ok((socket, _)) = listener.0.accept() {
                    socket.set_nonblocking(false).expect("failed to make the socket blocking");
                    return Some((index, Connection::new(socket)));
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Counts the requests on connections that have not been accepted. The router must have exited.
    pub(crate) fn count_unaccepted_requests(&self) -> usize {
        let mut requests = 0;
        while let Ok((socket, _)) = self.0.accept() {
            socket.set_nonblocking(false).expect("failed to make the socket blocking");
            let text = Connection::new(socket).read_to_end_or_reset();
            requests += text.matches("POST ").count();
        }
        requests
    }

    /// Returns whether all connections have been accepted.
    pub(crate) fn has_no_unaccepted_connection(&self) -> bool {
        matches!(self.0.accept(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}
