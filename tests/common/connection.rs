//! One end of a connection that a test plays. Each step waits for bytes or for an end, so that a test orders what
//! happens by what it has seen and never by time.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::router_process::PATIENCE;

/// Between two checks of a state that cannot be waited for.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Within which a closed socket answers; a program that reads on after its last answer does so for longer.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);
/// Length of the unread bytes that a failure shows.
const MAX_SHOWN_BYTES: usize = 1_000;

/// One end of a connection.
pub(crate) struct Connection {
    socket: TcpStream,
    unread: Vec<u8>,
}

/// A message that was read from a connection: a head, and a body if its length was given.
#[derive(Debug)]
pub(crate) struct Message {
    /// The start line and the headers, with the empty line behind them.
    pub(crate) head: String,
    /// The body; empty where there is none.
    pub(crate) body: String,
}

impl Message {
    /// The value of a header, whose name is given in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// A client's connection to the router at these addresses.
pub(crate) fn connect_client(base: &str) -> Connection {
    Connection::open(&format!("{base}:8081"))
}

impl Connection {
    /// Takes over a socket that is open.
    pub(crate) fn new(socket: TcpStream) -> Self {
        socket.set_nodelay(true).expect("a socket that is open");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time above zero");
        Connection { socket, unread: Vec::new() }
    }

    /// Connects to an address that listens.
    pub(crate) fn open(address: &str) -> Self {
        Connection::new(TcpStream::connect(address).expect("it listens"))
    }

    /// Writes all of the text.
    pub(crate) fn send(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).expect("the peer to read");
    }

    /// Writes a text though the peer may have closed the connection.
    pub(crate) fn send_ignoring_close(&mut self, text: &str) {
        let _ = self.socket.write_all(text.as_bytes());
    }

    /// Reads on; false at the end of the connection, also where it was reset.
    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 16_384];
        match self.socket.read(&mut buffer) {
            Ok(0) => false,
            Ok(length) => {
                self.unread.extend_from_slice(&buffer[..length]);
                true
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("{error} after {:?}", String::from_utf8_lossy(&self.unread)),
        }
    }

    /// Reads until the text has come, and takes all up to its end.
    pub(crate) fn read_until(&mut self, text: &str) -> String {
        let mut searched = 0;
        loop {
            let new = &self.unread[searched..];
            let found = new.windows(text.len()).position(|window| window == text.as_bytes());
            if let Some(position) = found {
                let taken = self.unread.drain(..searched + position + text.len()).collect();
                return String::from_utf8(taken).expect("plain text");
            }
            searched = self.unread.len().saturating_sub(text.len());
            assert!(self.read_more(), "no {text:?} before the end in {:?}", self.unread_preview());
        }
    }

    /// The first of the unread bytes, for messages.
    fn unread_preview(&self) -> String {
        String::from_utf8_lossy(&self.unread[..self.unread.len().min(MAX_SHOWN_BYTES)]).into_owned()
    }

    /// Reads one message: a head, and a body of the length that the head gives.
    pub(crate) fn read_message(&mut self) -> Message {
        let head = self.read_until("\r\n\r\n");
        let mut message = Message { head, body: String::new() };
        let length = message.header("content-length").map_or(0, |value| value.parse().expect("a length"));
        while self.unread.len() < length {
            assert!(self.read_more(), "the body of {:?} broke off", message.head);
        }
        message.body = String::from_utf8(self.unread.drain(..length).collect()).expect("plain text");
        message
    }

    /// Reads a message without a body, or none if the connection ends before it has come.
    pub(crate) fn read_message_or_end(&mut self) -> Option<Message> {
        while !self.unread.windows(4).any(|window| window == b"\r\n\r\n") {
            if !self.read_more() {
                return None;
            }
        }
        Some(self.read_message())
    }

    /// All that comes until the peer ends the connection in good order.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut buffer = [0; 16_384];
        loop {
            match self.socket.read(&mut buffer).expect("an end in good order") {
                0 => return String::from_utf8_lossy(&std::mem::take(&mut self.unread)).into_owned(),
                length => self.unread.extend_from_slice(&buffer[..length]),
            }
        }
    }

    /// All that comes until the connection ends in any way.
    pub(crate) fn read_to_end_or_reset(&mut self) -> String {
        while self.read_more() {}
        String::from_utf8_lossy(&std::mem::take(&mut self.unread)).into_owned()
    }

    /// Whether the peer has closed its socket, so that what is written is answered by a reset. Gives up after a while.
    pub(crate) fn is_reset_on_write(&mut self) -> bool {
        let deadline = Instant::now() + RESET_TIMEOUT;
        while Instant::now() < deadline {
            if self.socket.write_all(b"\n").is_err() {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Bytes that the peer, on this machine, has not read, as the system counts them.
    pub(crate) fn unread_by_peer(&self) -> usize {
        let peer = table_address(self.socket.peer_addr().expect("a connection"));
        let own = table_address(self.socket.local_addr().expect("a connection"));
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
        let line = table.lines().find(|line| line.contains(&format!("{peer} {own}")));
        let queues = line.and_then(|line| line.split_whitespace().nth(4)).unwrap_or("0:0");
        let (_, receive_queue) = queues.split_once(':').expect("two queues");
        usize::from_str_radix(receive_queue, 16).expect("a number")
    }

    /// Closes both directions.
    pub(crate) fn close(self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// An address as the system's table of sockets shows it.
fn table_address(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from(*v4.ip()).swap_bytes(), v4.port()),
        SocketAddr::V6(_) => panic!("all tests use IPv4 addresses"),
    }
}
