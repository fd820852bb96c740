//! A stub of discovery: one for each discovery address that a replica's configuration names. It pushes
//! changes of the endpoint list in pieces of random sizes, can be silent, and can reset its watches.

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

/// Time between empty lines on a watch while the list does not change.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a stub keeps its connections open after another one has replaced it.
const CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// The head of the response to a watch.
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Whether a message has the complete endpoint list or only changes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    Snapshot,
    Delta,
}

/// A message of discovery, and the endpoints that it tells a replica about.
struct ListMessage {
    text: String,
    endpoints: Vec<ListedEndpoint>,
}

/// One discovery stub, which serves one replica.
pub(crate) struct DiscoveryStub {
    state: RunState,
    replica: usize,
    silent_until: Cell<Option<Instant>>,
    /// Changes whenever all open watches are to be reset.
    resets: watch::Sender<u64>,
    open_watches: Cell<usize>,
    task: Cell<Option<JoinHandle<()>>>,
}

/// One line of the discovery protocol.
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
    pub(crate) async fn start(state: &RunState, replica: usize, address: &str) -> Rc<Self> {
        let listener = TcpListener::bind(address).await.expect("the address is free");
        let stub = Rc::new(DiscoveryStub {
            state: state.clone(),
            replica,
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

    /// Sends nothing for this time.
    pub(crate) fn silence(&self, duration: Duration) {
        self.silent_until.set(Some(Instant::now() + duration));
    }

    /// Closes all open watches.
    pub(crate) fn reset_watches(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Closes the stub and its connections after [`CLOSE_DELAY`], as another one has replaced it.
    pub(crate) async fn close(&self) {
        sleep(CLOSE_DELAY).await;
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    /// Whether the replica has a watch open here.
    pub(crate) fn is_watched(&self) -> bool {
        self.open_watches.get() > 0
    }

    async fn wait_out_silence(&self) {
        while let Some(until) = self.silent_until.get().filter(|until| *until > Instant::now()) {
            sleep_until(until).await;
        }
    }

    /// Serves one connection, which has one request: for a snapshot, or for a watch from a version on.
    async fn serve(self: Rc<Self>, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (mut reader, mut writer) = socket.into_split();
        let mut resets = self.resets.subscribe();
        let Ok(Some(request)) = read_message(&mut reader, &mut Vec::new()).await else { return };
        self.wait_out_silence().await;
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

    /// What changed after a version.
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
            self.wait_out_silence().await;
            let text = if message.endpoints.is_empty() { "\n" } else { &message.text };
            self.send_in_pieces(text, writer).await?;
            self.record_notified(&message.endpoints);
            since = since.max(version);
            let _ = timeout(KEEP_ALIVE_INTERVAL, list_changed.changed()).await;
        }
    }

    /// Sends a text in chunks of random sizes, with pauses between some of them.
    async fn send_in_pieces(&self, text: &str, writer: &mut OwnedWriteHalf) -> io::Result<()> {
        let mut unsent = text;
        while !unsent.is_empty() {
            let length = self.state.draw(1..400) as usize;
            let (piece, rest) = unsent.split_at(length.min(unsent.len()));
            writer.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes()).await?;
            if !rest.is_empty() && self.state.chance(200) {
                sleep(self.state.draw_milliseconds(1..5)).await;
            }
            unsent = rest;
        }
        Ok(())
    }

    /// Records from when on the replica knows which of these endpoints take no new attempts.
    fn record_notified(&self, endpoints: &[ListedEndpoint]) {
        let mut record = self.state.record.borrow_mut();
        let unavailable_since = record.unavailable_since.entry(self.replica).or_default();
        for endpoint in endpoints {
            if endpoint.lifecycle == Lifecycle::Ready {
                unavailable_since.remove(&endpoint.id);
            } else {
                unavailable_since.entry(endpoint.id.clone()).or_insert(Instant::now());
            }
        }
    }
}
