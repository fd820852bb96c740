//! Scripted peers on loopback sockets: clients, instances and discovery. Each step waits for bytes or for an end, so
//! that a test orders what happens by what it has seen and never by time.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use super::program::{PATIENCE, Program, configured, file, port, target};

/// Between looks for a connection that has not been made yet.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

/// For a connection that may or may not be made.
const SOON: Duration = Duration::from_millis(20);
/// Within which a closed socket answers; a program that reads on after its last answer does so for longer.
const REFUSED_WITHIN: Duration = Duration::from_secs(1);

/// One end of a connection.
pub struct Connection {
    socket: TcpStream,
    unread: Vec<u8>,
}

/// What was read from a connection: a head, and a body if its length was told.
#[derive(Debug)]
pub struct Message {
    pub head: String,
    pub body: String,
}

impl Message {
    /// The value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

impl Connection {
    fn new(socket: TcpStream) -> Self {
        socket.set_nodelay(true).expect("a socket that is open");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time above zero");
        Connection { socket, unread: Vec::new() }
    }

    /// Connects to an address that listens.
    pub fn open(address: &str) -> Self {
        Connection::new(TcpStream::connect(address).expect("it listens"))
    }

    /// Writes all of the text.
    pub fn send(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).expect("the peer to read");
    }

    /// Writes what the peer may no longer want to read.
    pub fn send_into_the_close(&mut self, text: &str) {
        let _ = self.socket.write_all(text.as_bytes());
    }

    /// Reads on; false at the end of the connection, also where it was reset.
    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 16_384];
        match self.socket.read(&mut buffer) {
            Ok(0) => false,
            Ok(n) => {
                self.unread.extend_from_slice(&buffer[..n]);
                true
            }
            Err(fault) if fault.kind() == ErrorKind::ConnectionReset => false,
            Err(fault) => panic!("{fault} after {:?}", String::from_utf8_lossy(&self.unread)),
        }
    }

    /// Reads until the text has come, and takes all up to its end.
    pub fn reads_until(&mut self, text: &str) -> String {
        let mut searched = 0;
        loop {
            let new = &self.unread[searched..];
            let end = new.windows(text.len()).position(|window| window == text.as_bytes());
            if let Some(at) = end {
                let taken = self.unread.drain(..searched + at + text.len()).collect();
                return String::from_utf8(taken).expect("plain text");
            }
            searched = self.unread.len().saturating_sub(text.len());
            assert!(self.read_more(), "no {text:?} before the end in {:?}", self.shown());
        }
    }

    /// The beginning of what is unread, for messages.
    fn shown(&self) -> String {
        String::from_utf8_lossy(&self.unread[..self.unread.len().min(1_000)]).into_owned()
    }

    /// Reads one message: a head, and a body of the length that it tells.
    pub fn message(&mut self) -> Message {
        let head = self.reads_until("\r\n\r\n");
        let mut message = Message { head, body: String::new() };
        let length = message.header("content-length").map_or(0, |value| value.parse().expect("a length"));
        while self.unread.len() < length {
            assert!(self.read_more(), "the body of {:?} broke off", message.head);
        }
        message.body = String::from_utf8(self.unread.drain(..length).collect()).expect("plain text");
        message
    }

    /// A message without a body, or none if the connection ends before it has come.
    pub fn message_or_end(&mut self) -> Option<Message> {
        while !self.unread.windows(4).any(|window| window == b"\r\n\r\n") {
            if !self.read_more() {
                return None;
            }
        }
        Some(self.message())
    }

    /// All that comes until the peer ends the connection in good order.
    pub fn rest(&mut self) -> String {
        let mut buffer = [0; 16_384];
        loop {
            match self.socket.read(&mut buffer).expect("an end in good order") {
                0 => return String::from_utf8_lossy(&std::mem::take(&mut self.unread)).into_owned(),
                n => self.unread.extend_from_slice(&buffer[..n]),
            }
        }
    }

    /// All that comes until the connection ends in any way.
    pub fn rest_or_reset(&mut self) -> String {
        while self.read_more() {}
        String::from_utf8_lossy(&std::mem::take(&mut self.unread)).into_owned()
    }

    /// Whether the peer has closed its socket, so that what is written is answered by a reset. Gives up after a while.
    pub fn is_refused(&mut self) -> bool {
        let until = Instant::now() + REFUSED_WITHIN;
        while Instant::now() < until {
            if self.socket.write_all(b"\n").is_err() {
                return true;
            }
            std::thread::sleep(LOOK_AGAIN);
        }
        false
    }

    /// Bytes that the peer, on this machine, has not read, as the system counts them.
    pub fn unread_by_peer(&self) -> usize {
        let shown = |address: SocketAddr| match address {
            SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from(*v4.ip()).swap_bytes(), v4.port()),
            SocketAddr::V6(_) => panic!("all peers have addresses of version 4"),
        };
        let peer = shown(self.socket.peer_addr().expect("a connection"));
        let own = shown(self.socket.local_addr().expect("a connection"));
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of sockets");
        let line = table.lines().find(|line| line.contains(&format!("{peer} {own}")));
        let queues = line.and_then(|line| line.split_whitespace().nth(4)).unwrap_or("0:0");
        let (_, unread) = queues.split_once(':').expect("two queues");
        usize::from_str_radix(unread, 16).expect("a number")
    }

    /// Closes both directions.
    pub fn close(self) {
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// A peer that listens: an instance, or discovery.
pub struct Listener(TcpListener);

impl Listener {
    /// Listens where the list says that this instance does.
    pub fn instance(base: &str, name: &str) -> Self {
        Listener::at(&format!("{base}:{}", port(name)))
    }

    /// Listens at an address.
    pub fn at(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("a free address");
        listener.set_nonblocking(true).expect("a socket that is open");
        Listener(listener)
    }

    /// The next connection that is made to it.
    pub fn accept(&self) -> Connection {
        Listener::accept_any(&[self]).1
    }

    /// The next connection that is made to any of these, and to which.
    pub fn accept_any(listeners: &[&Listener]) -> (usize, Connection) {
        Listener::accept_within(listeners, PATIENCE).expect("somebody connects")
    }

    /// The next connection to any of these, if one is made soon.
    pub fn accept_soon(listeners: &[&Listener]) -> Option<Connection> {
        Listener::accept_within(listeners, SOON).map(|(_, connection)| connection)
    }

    fn accept_within(listeners: &[&Listener], patience: Duration) -> Option<(usize, Connection)> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            for (at, listener) in listeners.iter().enumerate() {
                if let Ok((socket, _)) = listener.0.accept() {
                    socket.set_nonblocking(false).expect("a socket that is open");
                    return Some((at, Connection::new(socket)));
                }
            }
            std::thread::sleep(LOOK_AGAIN);
        }
        None
    }

    /// The clients' requests that have come on connections beyond those accepted, once the program has ended.
    pub fn requests_left(&self) -> usize {
        let mut requests = 0;
        while let Ok((socket, _)) = self.0.accept() {
            socket.set_nonblocking(false).expect("a socket that is open");
            let text = Connection::new(socket).rest_or_reset();
            requests += text.matches("POST ").count();
        }
        requests
    }

    /// Whether nobody has connected beyond what was accepted.
    pub fn is_untouched(&self) -> bool {
        matches!(self.0.accept(), Err(fault) if fault.kind() == ErrorKind::WouldBlock)
    }
}

/// Discovery, which is asked for the whole list and then for what changes.
pub struct Discovery {
    listener: Listener,
    version: u64,
}

/// An open watch on the list.
pub struct Watch {
    pub connection: Connection,
    pub since: String,
}

impl Watch {
    /// Sends one chunk.
    pub fn send(&mut self, text: &str) {
        self.connection.send(&format!("{:x}\r\n{text}\r\n", text.len()));
    }
}

/// One list, whole or only its changes.
pub fn list(version: u64, full: bool, targets: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, targets.join(","))
}

impl Discovery {
    /// Listens at the usual port of these addresses.
    pub fn start(base: &str) -> Self {
        Discovery { listener: Listener::at(&format!("{base}:8500")), version: 1 }
    }

    /// Listens where an actor of this name does.
    pub fn moved(base: &str, name: &str) -> Self {
        Discovery { listener: Listener::instance(base, name), version: 1 }
    }

    /// Answers the call for the whole list.
    pub fn serves_list(&mut self, targets: &[String]) {
        let mut call = self.listener.accept();
        let asked = call.message();
        assert!(asked.head.starts_with("GET /api/targets HTTP/1.1"), "{asked:?}");
        let text = list(self.version, true, targets);
        call.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
    }

    /// Takes the call for a watch, which has not been answered then.
    pub fn takes_watch(&mut self) -> Watch {
        let mut connection = self.listener.accept();
        let asked = connection.message();
        let path = asked.head.split(' ').nth(1).expect("a path");
        let since = path.strip_prefix("/api/targets?follow=1&since=").expect("a watch");
        let since = since.to_owned();
        Watch { connection, since }
    }

    /// Answers the call for a watch, and says that nothing has changed.
    pub fn opens_watch(&mut self) -> Watch {
        let mut watch = self.takes_watch();
        watch.connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.send("\n");
        watch
    }
}

/// The configuration of a program at these addresses, with its settings changed by `settings`.
pub fn configuration(base: &str, settings: &[(&str, &str)]) -> PathBuf {
    let path = configured(base, 8_500);
    let mut text = std::fs::read_to_string(&path).expect("the file just written");
    for (old, new) in settings {
        assert!(text.contains(old), "no {old} in the settings");
        text = text.replace(old, new);
    }
    file(base, "config.json", &text)
}

/// Starts the program on a private set of addresses, told of these instances, with its settings changed by `settings`.
pub fn start(base: &str, instances: &[&str], settings: &[(&str, &str)]) -> (Program, Discovery, Watch) {
    start_with(base, instances, settings, &[])
}

/// The same, with more variables for the program.
pub fn start_with(
    base: &str, instances: &[&str], settings: &[(&str, &str)], variables: &[(&str, &Path)],
) -> (Program, Discovery, Watch) {
    let mut discovery = Discovery::start(base);
    let path = configuration(base, settings);
    let usual: [(&str, &Path); 2] = [("LB_CONFIG", &path), ("RUST_LOG", "debug".as_ref())];
    let mut program = Program::start(base, &[], &[&usual, variables].concat());
    let targets: Vec<_> = instances.iter().map(|name| target(base, name, "Ready")).collect();
    discovery.serves_list(&targets);
    let watch = discovery.opens_watch();
    program.logs("ready endpoint_list=\"discovery\"");
    (program, discovery, watch)
}

/// A client's connection to the program.
pub fn client(base: &str) -> Connection {
    Connection::open(&format!("{base}:8081"))
}

const BODY: &str = r#"{"stream":true}"#;

/// A request of a class, whose client waits so long.
pub fn request(id: &str, class: &str, timeout_ms: u32) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Request-Timeout-Ms: {timeout_ms}\r\nRequest-Info: prompt_len=200,max_out=100\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

/// A prefill server's answer to a prompt that it has read.
pub const READ: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
/// The head of a stream, and its first event.
pub const STREAM: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                          f\r\ndata: {\"n\":1}\n\n\r\n";
/// The last event of a stream, and its end.
pub const END: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
