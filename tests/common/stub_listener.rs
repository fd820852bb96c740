//! A listener that a test plays: an endpoint stub, or discovery.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use super::config_files::port;
use super::connection::{Connection, POLL_INTERVAL};
use super::router_process::PATIENCE;

/// For a connection that may or may not be made.
const OPTIONAL_CONNECTION_TIMEOUT: Duration = Duration::from_millis(20);

/// A stub that listens: an endpoint, or discovery.
pub(crate) struct StubListener(TcpListener);

impl StubListener {
    /// Listens at the address that the endpoint list gives for this endpoint.
    pub(crate) fn endpoint(base: &str, name: &str) -> Self {
        StubListener::bind(&format!("{base}:{}", port(name)))
    }

    /// Listens at an address.
    pub(crate) fn bind(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("a free address");
        listener.set_nonblocking(true).expect("a socket that is open");
        StubListener(listener)
    }

    /// The next connection that is made to it.
    pub(crate) fn accept(&self) -> Connection {
        StubListener::accept_any(&[self]).1
    }

    /// The next connection that is made to any of these, and the index of its listener.
    pub(crate) fn accept_any(listeners: &[&StubListener]) -> (usize, Connection) {
        StubListener::accept_within(listeners, PATIENCE).expect("somebody connects")
    }

    /// The next connection to any of these, if one is made soon.
    pub(crate) fn accept_soon(listeners: &[&StubListener]) -> Option<Connection> {
        StubListener::accept_within(listeners, OPTIONAL_CONNECTION_TIMEOUT).map(|(_, connection)| connection)
    }

    fn accept_within(listeners: &[&StubListener], timeout: Duration) -> Option<(usize, Connection)> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            for (index, listener) in listeners.iter().enumerate() {
                if let Ok((socket, _)) = listener.0.accept() {
                    socket.set_nonblocking(false).expect("a socket that is open");
                    return Some((index, Connection::new(socket)));
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Counts the clients' requests on connections beyond those accepted, once the router has exited.
    pub(crate) fn count_unaccepted_requests(&self) -> usize {
        let mut requests = 0;
        while let Ok((socket, _)) = self.0.accept() {
            socket.set_nonblocking(false).expect("a socket that is open");
            let text = Connection::new(socket).read_to_end_or_reset();
            requests += text.matches("POST ").count();
        }
        requests
    }

    /// Whether nobody has connected beyond what was accepted.
    pub(crate) fn has_no_unaccepted_connection(&self) -> bool {
        matches!(self.0.accept(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}
