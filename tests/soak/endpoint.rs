//! Servers of a run: prefill and decode servers that err, hang, fall silent, die and come back cold.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::message::{self, Message};
use super::run_state::{Attempt, Ended, Entry, Role, RunState};

const NOT_STARTED: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
const NO_STATE: &str = "HTTP/1.1 410 Gone\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal EndpointStub Error\r\nContent-Length: 0\r\n\r\n";
const READ: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Connections that stand idle are closed after this, as machines have been seen to do.
const IDLE: Duration = Duration::from_secs(4);

/// One server, which may be started anew at its address.
pub struct EndpointStub {
    world: RunState,
    name: String,
    address: String,
    role: Role,
    /// Until when it takes requests and answers none.
    hangs_until: Cell<Option<Instant>>,
    task: RefCell<Option<JoinHandle<()>>>,
    started_ms: Cell<u64>,
    /// A change of its life is under way.
    busy: Cell<bool>,
}

/// An attempt that ends with its server, if not before.
struct OpenAttempt {
    world: RunState,
    id: String,
    number: usize,
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.world.ended(&self.id, self.number, Ended::MayHaveRun);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

fn listen(address: &str) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option");
    socket.bind(address.parse().expect("an address")).expect("a free address");
    socket.listen(1_024).expect("it listens")
}

impl EndpointStub {
    /// Starts a server that has run for long.
    pub fn start(world: &RunState, role: Role, name: &str, address: String) -> Rc<Self> {
        let server = Rc::new(EndpointStub {
            world: world.clone(),
            name: name.to_owned(),
            address,
            role,
            hangs_until: Cell::new(None),
            task: RefCell::default(),
            started_ms: Cell::new(0),
            busy: Cell::new(false),
        });
        server.run();
        server.list("Ready");
        server
    }

    fn run(self: &Rc<Self>) {
        let (server, listener) = (self.clone(), listen(&self.address));
        *self.task.borrow_mut() = Some(spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn_local(server.clone().serve(socket));
            }
        }));
    }

    /// Tells the list what state it is in.
    pub fn list(&self, state: &'static str) {
        self.world.list(Entry {
            id: self.name.clone(),
            address: self.address.clone(),
            role: self.role,
            state,
            started_ms: self.started_ms.get(),
        });
    }

    /// Takes requests for so long and answers none.
    pub fn hang(&self, time: Duration) {
        self.hangs_until.set(Some(Instant::now() + time));
    }

    /// Drains, leaves the list, and comes back cold some time later.
    pub async fn drain_and_return(self: &Rc<Self>, drains_for: Duration, after: Duration) {
        if self.busy.replace(true) {
            return;
        }
        self.list("Terminating");
        sleep(drains_for).await;
        self.list("Gone");
        self.restart(after).await;
        self.busy.set(false);
    }

    /// Dies without a word, and comes back cold.
    pub async fn die_and_return(self: &Rc<Self>, after: Duration) {
        if self.busy.replace(true) {
            return;
        }
        self.restart(after).await;
        self.busy.set(false);
    }

    /// Ends all its connections, and starts anew; states that waited are gone.
    async fn restart(self: &Rc<Self>, after: Duration) {
        let task = self.task.borrow_mut().take();
        task.iter().for_each(JoinHandle::abort);
        self.world.data.borrow_mut().states.retain(|_, at| *at != self.name);
        sleep(after).await;
        self.started_ms.set(unix_ms());
        self.run();
        self.list("Ready");
    }

    async fn serve(self: Rc<Self>, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (mut reader, mut writer) = socket.into_split();
        let mut unread = Vec::new();
        loop {
            let asked = tokio::time::timeout(IDLE, message::read(&mut reader, &mut unread)).await;
            let Ok(Ok(Some(asked))) = asked else { return };
            let goes_on = if asked.head.starts_with("DELETE /kv/leases/") {
                self.release(&asked, &mut writer).await
            } else if asked.head.starts_with("POST /v1/chat/completions ") {
                self.answer(&asked, &mut reader, &mut writer).await
            } else {
                false
            };
            if !goes_on {
                return;
            }
        }
    }

    async fn hung(&self) {
        while let Some(until) = self.hangs_until.get().filter(|until| *until > Instant::now()) {
            tokio::time::sleep_until(until).await;
        }
    }

    async fn release(&self, asked: &Message, writer: &mut OwnedWriteHalf) -> bool {
        self.hung().await;
        let id = asked.head.split([' ', '/']).nth(4).unwrap_or_default().to_owned();
        self.world.data.borrow_mut().states.remove(&id);
        self.world.request(&id, |request| request.released.push(Instant::now()));
        writer.write_all(RELEASED.as_bytes()).await.is_ok()
    }

    /// Answers a request; whether the connection goes on. It ends at once if the router closes it.
    async fn answer(&self, asked: &Message, reader: &mut OwnedReadHalf, writer: &mut OwnedWriteHalf) -> bool {
        let id = asked.header("request-id").unwrap_or_default().to_owned();
        let told_ms = asked.header("request-timeout-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
        let attempt = Attempt {
            server: self.name.clone(),
            role: self.role,
            arrived: Instant::now(),
            told_ms,
            ended: None,
        };
        let Some(number) = self.world.arrived(&id, attempt) else {
            panic!("no client sent a request {id:?}");
        };
        let open = OpenAttempt { world: self.world.clone(), id: id.clone(), number };
        tokio::select! {
            (ended, goes_on) = self.work(&id, writer) => {
                self.world.ended(&id, number, ended);
                drop(open);
                goes_on
            }
            () = message::closed(reader) => {
                self.world.ended(&id, number, Ended::GivenUp);
                false
            }
        }
    }

    /// Does the work of one request: how it ended, and whether the connection goes on.
    async fn work(&self, id: &str, writer: &mut OwnedWriteHalf) -> (Ended, bool) {
        let world = &self.world;
        sleep(Duration::from_millis(world.draw(5..60))).await;
        self.hung().await;
        match world.draw(0..100) {
            0 => return (Ended::MayHaveRun, writer.write_all(ERROR.as_bytes()).await.is_ok()),
            1 => return (Ended::NotStarted, writer.write_all(NOT_STARTED.as_bytes()).await.is_ok()),
            2 => {
                let _ = writer.write_all(b"HTTP/1.1 2").await;
                return (Ended::MayHaveRun, false);
            }
            _ => {}
        }
        match self.role {
            Role::Prefill => {
                world.data.borrow_mut().states.insert(id.to_owned(), self.name.clone());
                (Ended::Read, writer.write_all(READ.as_bytes()).await.is_ok())
            }
            Role::Decode if world.data.borrow_mut().states.remove(id).is_none() => {
                (Ended::NotStarted, writer.write_all(NO_STATE.as_bytes()).await.is_ok())
            }
            Role::Decode => self.stream(writer).await,
        }
    }

    async fn stream(&self, writer: &mut OwnedWriteHalf) -> (Ended, bool) {
        let events = self.world.draw(2..20);
        let breaks = self.world.chance(10);
        if writer.write_all(STREAM.as_bytes()).await.is_err() {
            return (Ended::MayHaveRun, false);
        }
        for number in 0..events {
            let event = format!("data: {{\"n\":{number},\"of\":{events}}}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).await.is_err() || (breaks && number == events / 2) {
                return (Ended::MayHaveRun, false);
            }
            sleep(Duration::from_millis(self.world.draw(5..60))).await;
            self.hung().await;
        }
        (Ended::MayHaveRun, writer.write_all(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n").await.is_ok())
    }
}
