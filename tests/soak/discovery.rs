//! Discovery agents: one for each address that a router's configuration names. They push the list as it changes, in
//! pieces; they can be silent, and they can reset their watches.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::message;
use super::run_state::{Entry, Role, RunState};

/// Between empty lines while nothing changes.
const EMPTY_LINE: Duration = Duration::from_secs(2);
/// A moved agent closes what is open after this.
const CLOSES_AFTER: Duration = Duration::from_millis(1_500);
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One agent.
pub struct DiscoveryStub {
    world: RunState,
    router: usize,
    silent_until: Cell<Option<Instant>>,
    resets: watch::Sender<u64>,
    /// Watches that are open.
    watches: Cell<usize>,
    task: Cell<Option<JoinHandle<()>>>,
}

/// One list, whole or only its changes.
pub fn line(version: u64, full: bool, entries: &[Entry]) -> String {
    let entry = |e: &Entry| {
        let kind = if e.role == Role::Prefill { "prefill" } else { "decode" };
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"sejong-1","kind":"{kind}","cell":1,"state":"{}","weight":1.0,"started_ms":{}}}"#,
            e.id, e.address, e.state, e.started_ms
        )
    };
    let entries: Vec<_> = entries.iter().map(entry).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}\n", entries.join(","))
}

impl DiscoveryStub {
    /// Starts an agent of a router at an address.
    pub async fn start(world: &RunState, router: usize, address: &str) -> Rc<Self> {
        let listener = TcpListener::bind(address).await.expect("a free address");
        let agent = Rc::new(DiscoveryStub {
            world: world.clone(),
            router,
            silent_until: Cell::new(None),
            resets: watch::Sender::new(0),
            watches: Cell::new(0),
            task: Cell::new(None),
        });
        let serving = agent.clone();
        agent.task.set(Some(spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn_local(serving.clone().serve(socket));
            }
        })));
        agent
    }

    /// Says nothing for so long.
    pub fn silence(&self, time: Duration) {
        self.silent_until.set(Some(Instant::now() + time));
    }

    /// Ends all open watches.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Ends it in a while, as another one has taken its place.
    pub async fn close(&self) {
        sleep(CLOSES_AFTER).await;
        self.task.take().iter().for_each(JoinHandle::abort);
    }

    async fn spoken(&self) {
        while let Some(until) = self.silent_until.get().filter(|until| *until > Instant::now()) {
            sleep_until(until).await;
        }
    }

    async fn serve(self: Rc<Self>, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (mut reader, mut writer) = socket.into_split();
        let mut resets = self.resets.subscribe();
        let Ok(Some(asked)) = message::read(&mut reader, &mut Vec::new()).await else { return };
        self.spoken().await;
        let since = asked.head.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let Some(since) = since else {
            let (text, entries) = self.text(None);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            let _ = writer.write_all((head + &text).as_bytes()).await;
            return self.note_told(&entries);
        };
        self.watches.set(self.watches.get() + 1);
        tokio::select! {
            _ = self.watch(since, &mut writer) => {}
            _ = resets.changed() => {}
            () = message::closed(&mut reader) => {}
        }
        self.watches.set(self.watches.get() - 1);
    }

    /// Whether somebody follows the list here.
    pub fn is_followed(&self) -> bool {
        self.watches.get() > 0
    }

    /// What changed after a version, or the whole list.
    fn text(&self, since: Option<u64>) -> (String, Vec<Entry>) {
        let data = self.world.data.borrow();
        let entries = data.list.values().filter(|(version, _)| since.is_none_or(|since| *version > since));
        let entries: Vec<_> = entries.map(|(_, entry)| entry.clone()).collect();
        let named = |entry: &Entry| since.is_some() || entry.state != "Gone";
        let entries: Vec<_> = entries.into_iter().filter(named).collect();
        (line(data.version, since.is_none(), &entries), entries)
    }

    async fn watch(&self, mut since: u64, writer: &mut OwnedWriteHalf) -> std::io::Result<()> {
        let mut changed = self.world.changed.subscribe();
        writer.write_all(WATCH_HEAD.as_bytes()).await?;
        loop {
            let version = *changed.borrow_and_update();
            let (text, entries) = self.text(Some(since));
            self.spoken().await;
            self.send(if entries.is_empty() { "\n" } else { &text }, writer).await?;
            self.note_told(&entries);
            since = since.max(version);
            let _ = timeout(EMPTY_LINE, changed.changed()).await;
        }
    }

    /// Sends a text cut anywhere.
    async fn send(&self, text: &str, writer: &mut OwnedWriteHalf) -> std::io::Result<()> {
        let mut rest = text;
        while !rest.is_empty() {
            let cut = self.world.draw(1..400) as usize;
            let (piece, behind) = rest.split_at(cut.min(rest.len()));
            writer.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes()).await?;
            if !behind.is_empty() && self.world.chance(200) {
                sleep(Duration::from_millis(self.world.draw(1..5))).await;
            }
            rest = behind;
        }
        Ok(())
    }

    fn note_told(&self, entries: &[Entry]) {
        let mut data = self.world.data.borrow_mut();
        for entry in entries {
            let key = (self.router, entry.id.clone());
            if entry.state == "Ready" {
                data.told.remove(&key);
            } else {
                data.told.entry(key).or_insert(Instant::now());
            }
        }
    }
}
