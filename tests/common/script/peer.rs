//! A peer of the router in a script (a client, an endpoint stub or discovery) with all its connections.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

use super::parse::PeerAction;
use super::pattern::matches_pattern;
use crate::common::router_process::WAIT_TIMEOUT;

enum PeerEvent {
    Opened(TcpStream),
    Received { connection: usize, bytes: Vec<u8> },
    Closed { connection: usize },
}

#[derive(Default)]
struct PeerConnection {
    socket: Option<TcpStream>,
    unread: Vec<u8>,
    closed: bool,
}

/// A client that connects to the router, or a stub that accepts connections.
pub(super) struct ScriptPeer {
    events: Receiver<PeerEvent>,
    sender: Sender<PeerEvent>,
    connections: Vec<PeerConnection>,
    /// Index of the current connection.
    current: usize,
}

fn spawn_reader(mut socket: TcpStream, connection: usize, sender: Sender<PeerEvent>) {
    std::thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while let Ok(length @ 1..) = socket.read(&mut buffer) {
            let bytes = buffer[..length].to_vec();
            if sender.send(PeerEvent::Received { connection, bytes }).is_err() {
                return;
            }
        }
        let _ = sender.send(PeerEvent::Closed { connection });
    });
}

impl ScriptPeer {
    /// Creates a client without connections.
    pub(super) fn client() -> Self {
        let (sender, events) = channel();
        ScriptPeer { events, sender, connections: Vec::new(), current: 0 }
    }

    /// Starts a stub that listens on an address.
    pub(super) fn listening(address: &str) -> Self {
        let peer = ScriptPeer::client();
        let listener = TcpListener::bind(address).expect("failed to bind");
        let sender = peer.sender.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if sender.send(PeerEvent::Opened(socket)).is_err() {
                    return;
                }
            }
        });
        peer
    }

    /// Performs the action of a step. The first message of a client opens a connection to `router_address`.
    pub(super) fn perform(&mut self, action: &PeerAction, router_address: &str, title: &str) {
        match action {
            PeerAction::Send(bytes) => {
                if self.connections.is_empty() {
                    self.open(TcpStream::connect(router_address).expect("failed to connect to the router"));
                }
                self.send(bytes);
            }
            PeerAction::Expect(pattern) => self.expect(pattern, title),
            PeerAction::Close => self.close(),
            PeerAction::SwitchTo(connection) => self.current = *connection,
            PeerAction::ExpectClosed => {
                while !self.connections[self.current].closed {
                    assert!(self.wait_for_event(), "{title}: the connection is still open");
                }
            }
        }
    }

    /// Checks after the exit of the router that all connections are closed and that all received bytes were
    /// expected.
    pub(super) fn assert_finished(&mut self, name: &str) {
        while let Ok(event) = self.events.try_recv() {
            self.handle(event);
        }
        while self.connections.iter().any(|connection| !connection.closed) {
            assert!(self.wait_for_event(), "{name}: a connection is still open after the exit of the router");
        }
        let nothing_unread = self.connections.iter().all(|connection| connection.unread.is_empty());
        assert!(nothing_unread, "{name}: unexpected bytes\n{}", self.unread_text());
    }

    fn open(&mut self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let index = self.connections.len();
        spawn_reader(socket.try_clone().expect("failed to clone the socket"), index, self.sender.clone());
        self.current = index;
        self.connections.push(PeerConnection { socket: Some(socket), ..PeerConnection::default() });
    }

    /// Waits for one event and handles it. Returns false on a timeout.
    fn wait_for_event(&mut self) -> bool {
        let Ok(event) = self.events.recv_timeout(WAIT_TIMEOUT) else { return false };
        self.handle(event);
        true
    }

    fn handle(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened(socket) => self.open(socket),
            PeerEvent::Received { connection, bytes } => self.connections[connection].unread.extend(bytes),
            PeerEvent::Closed { connection } => self.connections[connection].closed = true,
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        let socket = self.connections[self.current].socket.as_mut().expect("the connection is closed");
        socket.write_all(bytes).expect("failed to write");
    }

    fn expect(&mut self, pattern: &[u8], title: &str) {
        while self.connection_matching(pattern).is_none() {
            let expected = String::from_utf8_lossy(pattern);
            assert!(self.wait_for_event(), "{title}: expected\n{expected}\nfound\n{}", self.unread_text());
        }
        self.current = self.connection_matching(pattern).expect("the loop ends on a match");
        self.connections[self.current].unread.clear();
    }

    fn connection_matching(&self, pattern: &[u8]) -> Option<usize> {
        self.connections.iter().position(|connection| matches_pattern(pattern, &connection.unread))
    }

    fn close(&mut self) {
        if let Some(socket) = self.connections[self.current].socket.take() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn unread_text(&self) -> String {
        let texts = self.connections.iter().map(|connection| String::from_utf8_lossy(&connection.unread));
        texts.collect::<Vec<_>>().join("\n--- next connection\n")
    }
}
