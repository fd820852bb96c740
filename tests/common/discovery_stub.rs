//! Stubs of discovery: one that a test plays step by step, and one that answers by itself.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::config_files::endpoint_list;
use super::connection::Connection;
use super::stub_listener::StubListener;

/// Between two empty lines on a watch while nothing changes.
const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The line that makes [`serve_endpoint_list`] end the watch.
const CLOSE_WATCH: &str = "close";

/// Discovery, from which the router fetches a snapshot of the endpoint list and then watches its changes.
pub(crate) struct DiscoveryStub {
    listener: StubListener,
    version: u64,
}

/// An open watch on the endpoint list.
pub(crate) struct Watch {
    /// The connection that carries it.
    pub(crate) connection: Connection,
    /// The version from which on the router wants changes.
    pub(crate) since: String,
}

impl Watch {
    /// Sends one chunk.
    pub(crate) fn send(&mut self, text: &str) {
        self.connection.send(&format!("{:x}\r\n{text}\r\n", text.len()));
    }
}

impl DiscoveryStub {
    /// Listens at the usual port of these addresses.
    pub(crate) fn start(base: &str) -> Self {
        DiscoveryStub { listener: StubListener::bind(&format!("{base}:8500")), version: 1 }
    }

    /// Listens at the port that belongs to this name.
    pub(crate) fn start_at(base: &str, name: &str) -> Self {
        DiscoveryStub { listener: StubListener::endpoint(base, name), version: 1 }
    }

    /// Answers the request for a snapshot of the endpoint list.
    pub(crate) fn serve_snapshot(&mut self, entries: &[String]) {
        let mut connection = self.listener.accept();
        let received = connection.read_message();
        assert!(received.head.starts_with("GET /api/targets HTTP/1.1"), "{received:?}");
        let text = endpoint_list(self.version, true, entries);
        connection.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
    }

    /// Accepts the request for a watch without answering it.
    pub(crate) fn accept_watch(&mut self) -> Watch {
        let mut connection = self.listener.accept();
        let received = connection.read_message();
        let path = received.head.split(' ').nth(1).expect("a path");
        let since = path.strip_prefix("/api/targets?follow=1&since=").expect("a watch");
        let since = since.to_owned();
        Watch { connection, since }
    }

    /// Answers the request for a watch, and reports that nothing has changed.
    pub(crate) fn open_watch(&mut self) -> Watch {
        let mut watch = self.accept_watch();
        watch.connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.send("\n");
        watch
    }
}

/// Serves a snapshot of the endpoint list, then a watch on which it sends the lines that come through the result.
pub(crate) fn serve_endpoint_list(base: &str, entries: &[String]) -> Sender<String> {
    let listener = TcpListener::bind(format!("{base}:8500")).expect("a free address");
    let (sender, changes) = channel::<String>();
    let snapshot = endpoint_list(1, true, entries);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            answer_discovery_request(socket, &snapshot, &changes);
        }
    });
    sender
}

fn answer_discovery_request(mut socket: TcpStream, snapshot: &str, changes: &Receiver<String>) {
    let mut head = String::new();
    let mut lines = BufReader::new(socket.try_clone().expect("a second handle"));
    while lines.read_line(&mut head).is_ok_and(|length| length > 2) {}
    if !head.contains("follow=1") {
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{snapshot}", snapshot.len());
        return;
    }
    let _ = write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    loop {
        let line = match changes.recv_timeout(WATCH_HEARTBEAT_INTERVAL) {
            Ok(line) if line == CLOSE_WATCH => return,
            Ok(line) => line,
            Err(_) => String::new(),
        };
        if write!(socket, "{:x}\r\n{line}\n\r\n", line.len() + 1).is_err() {
            return;
        }
    }
}
