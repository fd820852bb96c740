//! Stub of the discovery service. Each discovery address in a replica's configuration has a stub of its own,
//! which sends endpoint list changes in chunks of random sizes, can stop sending, and can reset its watches.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::message::{read_message, wait_until_closed};
use super::run_state::{Lifecycle, ListedEndpoint, Role, RunState};

/// Interval of the empty lines that keep a watch alive while the list does not change.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a stub keeps its connections open after it has been replaced.
const CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Head of the response to a watch request.
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Whether a message contains the complete endpoint list or only its changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    Snapshot,
    Delta,
}

/// A discovery message and the endpoints that it contains.
struct ListMessage {
    text: String,
    endpoints: Vec<ListedEndpoint>,
}

/// A discovery stub that serves one replica.
pub(crate) struct DiscoveryStub {
    state: RunState,
    replica_index: usize,
    /// Responses and list changes are delayed until this time.
    silent_until: Cell<Option<Instant>>,
    /// Number of resets so far; a change closes all open watches.
    resets: watch::Sender<u64>,
    open_watches: Cell<usize>,
    task: Cell<Option<JoinHandle<()>>>,
}

/// Formats one line of the discovery protocol.
pub(crate) fn list_line(version: u64, kind: ListKind, endpoints: &[ListedEndpoint]) -> String {
    let endpoints: Vec<_> = endpoints.iter().map(endpoint_json).collect();
    let full = kind == ListKind::Snapshot;
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}\n", endpoints.join(","))
}

fn endpoint_json(endpoint: &ListedEndpoint) -> String {
    let kind = match endpoint.role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
    };
    format!(
        r#"{{"id":"{}","addr":"{}","zone":"sejong-1","kind":"{kind}","cell":1,"state":"{}","weight":1.0,"started_ms":{}}}"#,
        endpoint.id,
        endpoint.address,
        endpoint.lifecycle.wire_name(),
        endpoint.started_ms
    )
}

impl DiscoveryStub {
    /// Starts a stub for a replica at an address.
    pub(crate) async fn start(state: &RunState, replica_index: usize, address: &str) -> Rc<Self> {
        let listener = TcpListener::bind(address).await.expect("failed to bind the discovery address");
        let stub = Rc::new(DiscoveryStub {
            state: state.clone(),
            replica_index,
            silent_until: Cell::new(None),
            resets: watch::Sender::new(0),
            open_watches: Cell::new(0),
            task: Cell::new(None),
        });
        let acceptor = stub.clone();
        stub.task.set(Some(spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn_local(acceptor.clone().serve(socket));
            }
        })));
        stub
    }

    /// Delays responses and list changes for this long; connections stay open.
    pub(crate) fn silence(&self, duration: Duration) {
        self.silent_until.set(Some(Instant::now() + duration));
    }

    /// Closes all open watches; the replica has to open new ones.
    pub(crate) fn reset_watches(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Closes the listener and all connections [`CLOSE_DELAY`] after the stub has been replaced.
    pub(crate) async fn close(&self) {
        sleep(CLOSE_DELAY).await;
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    /// Whether the replica has an open watch on this stub.
    pub(crate) fn is_watched(&self) -> bool {
        self.open_watches.get() > 0
    }

    async fn wait_until_silence_ends(&self) {
        while let Some(until) = self.silent_until.get().filter(|until| *until > Instant::now()) {
            sleep_until(until).await;
        }
    }

    /// Serves the single request of a connection: a snapshot, or a watch of changes since a version.
    async fn serve(self: Rc<Self>, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (mut reader, mut writer) = socket.into_split();
        let mut resets = self.resets.subscribe();
        let Ok(Some(request)) = read_message(&mut reader, &mut Vec::new()).await else { return };
        self.wait_until_silence_ends().await;
        let since = request.head.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let Some(since) = since else {
            self.send_snapshot(&mut writer).await;
            return;
        };
        self.open_watches.set(self.open_watches.get() + 1);
        tokio::select! {
            _ = self.serve_watch(since, &mut writer) => {}
            _ = resets.changed() => {}
            () = wait_until_closed(&mut reader) => {}
        }
        self.open_watches.set(self.open_watches.get() - 1);
    }

    async fn send_snapshot(&self, writer: &mut OwnedWriteHalf) {
        let message = self.snapshot();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", message.text.len());
        let _ = writer.write_all((head + &message.text).as_bytes()).await;
        self.record_notified(&message.endpoints);
    }

    fn snapshot(&self) -> ListMessage {
        let record = self.state.record.borrow();
        let listed = record.endpoints.values().map(|versioned| &versioned.endpoint);
        let present = listed.filter(|endpoint| endpoint.lifecycle != Lifecycle::Removed);
        let endpoints: Vec<_> = present.cloned().collect();
        ListMessage { text: list_line(record.list_version, ListKind::Snapshot, &endpoints), endpoints }
    }

    /// Returns the entries that changed after version `since`.
    fn delta(&self, since: u64) -> ListMessage {
        let record = self.state.record.borrow();
        let changed = record.endpoints.values().filter(|versioned| versioned.version > since);
        let endpoints: Vec<_> = changed.map(|versioned| versioned.endpoint.clone()).collect();
        ListMessage { text: list_line(record.list_version, ListKind::Delta, &endpoints), endpoints }
    }

    async fn serve_watch(&self, mut since: u64, writer: &mut OwnedWriteHalf) -> io::Result<()> {
        let mut list_changed = self.state.list_changed.subscribe();
        writer.write_all(WATCH_HEAD.as_bytes()).await?;
        loop {
            let version = *list_changed.borrow_and_update();
            let message = self.delta(since);
            self.wait_until_silence_ends().await;
            let text = if message.endpoints.is_empty() { "\n" } else { &message.text };
            self.send_in_chunks(text, writer).await?;
            self.record_notified(&message.endpoints);
            since = since.max(version);
            let _ = timeout(KEEP_ALIVE_INTERVAL, list_changed.changed()).await;
        }
    }

    /// Sends the text in chunks of random sizes, with random pauses between some of them.
    async fn send_in_chunks(&self, text: &str, writer: &mut OwnedWriteHalf) -> io::Result<()> {
        let mut unsent = text;
        while !unsent.is_empty() {
            let length = self.state.draw(1..400) as usize;
            let (piece, rest) = unsent.split_at(length.min(unsent.len()));
            writer.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes()).await?;
            if !rest.is_empty() && self.state.chance_per_thousand(200) {
                sleep(self.state.draw_duration_ms(1..5)).await;
            }
            unsent = rest;
        }
        Ok(())
    }

    /// Records since when the replica has known which of these endpoints accept no new attempts.
    fn record_notified(&self, endpoints: &[ListedEndpoint]) {
        let mut record = self.state.record.borrow_mut();
        let unavailable_since = record.unavailable_since.entry(self.replica_index).or_default();
        for endpoint in endpoints {
            if endpoint.lifecycle == Lifecycle::Ready {
                unavailable_since.remove(&endpoint.id);
            } else {
                unavailable_since.entry(endpoint.id.clone()).or_insert(Instant::now());
            }
        }
    }
}
