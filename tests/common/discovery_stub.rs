//! Discovery stubs: one that a test controls step by step, and one that answers in the background.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::config_files::endpoint_list;
use super::connection::Connection;
use super::stub_listener::StubListener;

/// Interval between the empty lines on a watch without changes.
const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The text that makes [`serve_endpoint_list`] close the watch.
const CLOSE_WATCH: &str = "close";

/// A discovery stub, which serves a snapshot of the endpoint list and then a watch on its changes.
pub(crate) struct DiscoveryStub {
    listener: StubListener,
    version: u64,
}

/// An open watch on the endpoint list.
pub(crate) struct Watch {
    pub(crate) connection: Connection,
    /// The version of the endpoint list that the router already has.
    pub(crate) since: String,
}

impl Watch {
    /// Sends one chunk of the response body.
    pub(crate) fn send(&mut self, text: &str) {
        self.connection.send(&format!("{:x}\r\n{text}\r\n", text.len()));
    }
}

impl DiscoveryStub {
    /// Listens at the default port of discovery.
    pub(crate) fn start(base: &str) -> Self {
        DiscoveryStub { listener: StubListener::bind(&format!("{base}:8500")), version: 1 }
    }

    /// Listens at the port for this name.
    pub(crate) fn start_at(base: &str, name: &str) -> Self {
        DiscoveryStub { listener: StubListener::endpoint(base, name), version: 1 }
    }

    /// Accepts the request for a snapshot of the endpoint list and answers it.
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
        let path = received.head.split(' ').nth(1).expect("no path in the request line");
        let since = path.strip_prefix("/api/targets?follow=1&since=").expect("not a request for a watch");
        let since = since.to_owned();
        Watch { connection, since }
    }

    /// Accepts the request for a watch, and answers it with an empty line, which means no changes.
    pub(crate) fn open_watch(&mut self) -> Watch {
        let mut watch = self.accept_watch();
        watch.connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.send("\n");
        watch
    }
}

/// Serves a snapshot of the endpoint list and a watch in the background. Lines sent to the returned channel
/// are written to the watch.
pub(crate) fn serve_endpoint_list(base: &str, entries: &[String]) -> Sender<String> {
    let listener = TcpListener::bind(format!("{base}:8500")).expect("failed to bind");
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
    let mut lines = BufReader::new(socket.try_clone().expect("failed to clone the socket"));
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
