//! Stubs of prefill and decode endpoints, which reject requests, hang, crash, and lose their KV caches at a
//! restart.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::malformed_chunk::MalformedChunk;
use super::message::{Message, Persistence, read_message, wait_until_closed};
use super::run_state::{Attempt, AttemptId, AttemptOutcome, Lifecycle, ListedEndpoint, Role, RunState};

/// Response that rejects a request before its execution.
const NOT_STARTED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
/// Response of a decode endpoint if the request's KV cache is missing.
const KV_CACHE_MISSING_RESPONSE: &str = "HTTP/1.1 410 Gone\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
/// Error response after which the request may have been executed.
const ERROR_RESPONSE: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// Response that is cut off within its status line.
const TRUNCATED_RESPONSE: &str = "HTTP/1.1 2";
/// Response of a prefill endpoint after a prefill, whose KV cache stays reserved for the decode attempt.
const PREFILLED_RESPONSE: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
/// Response to the release of a reservation.
const RELEASED_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// Head of a decode endpoint's response, an event stream.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The last event of a stream, followed by the last chunk.
const STREAM_END: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
/// Interval at which the content of a malformed chunk is sent.
const MALFORMED_CONTENT_INTERVAL: Duration = Duration::from_millis(30);
/// Time after which idle connections are closed; real endpoints do so too.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Length of the queue of connections to accept.
const LISTEN_BACKLOG: u32 = 1_024;

/// An endpoint stub, which can be restarted at the same address.
pub(crate) struct EndpointStub {
    state: RunState,
    name: String,
    address: String,
    role: Role,
    /// Requests are accepted but get no response until this time.
    hangs_until: Cell<Option<Instant>>,
    task: RefCell<Option<JoinHandle<()>>>,
    /// Unix time of the last start, in milliseconds; 0 for an endpoint that started long before the run.
    started_ms: Cell<u64>,
    /// Whether a fault that restarts the endpoint is in progress.
    restarting: Cell<bool>,
}

/// Guard that records the end of an attempt when it is dropped, so that the end is also recorded if the task
/// is aborted with its endpoint. Has no effect if an end is already recorded.
struct AttemptGuard {
    state: RunState,
    id: AttemptId,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.state.record_attempt_end(&self.id, AttemptOutcome::PossiblyExecuted);
    }
}

/// How an attempt ended, and whether its connection can be reused.
struct AttemptResult {
    outcome: AttemptOutcome,
    persistence: Persistence,
}

impl AttemptResult {
    /// Sends a complete response, or the end of one, that ends the attempt with this outcome.
    async fn respond(writer: &mut OwnedWriteHalf, response: &str, outcome: AttemptOutcome) -> Self {
        let written = writer.write_all(response.as_bytes()).await;
        AttemptResult { outcome, persistence: Persistence::after_write(&written) }
    }

    /// The connection is lost, and the request may have been executed.
    fn connection_lost() -> Self {
        AttemptResult { outcome: AttemptOutcome::PossiblyExecuted, persistence: Persistence::Close }
    }
}

fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970").as_millis() as u64
}

/// Listens at an address even if connections of an earlier listener there are still open.
fn listen(address: &str) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("failed to create a socket");
    socket.set_reuseaddr(true).expect("failed to set SO_REUSEADDR");
    socket
        .bind(address.parse().expect("invalid endpoint address"))
        .expect("failed to bind the endpoint address");
    socket.listen(LISTEN_BACKLOG).expect("failed to listen")
}

impl EndpointStub {
    /// Starts an endpoint whose reported start time is long past, and adds it to the endpoint list.
    pub(crate) fn start(state: &RunState, role: Role, name: &str, address: String) -> Rc<Self> {
        let endpoint = Rc::new(EndpointStub {
            state: state.clone(),
            name: name.to_owned(),
            address,
            role,
            hangs_until: Cell::new(None),
            task: RefCell::default(),
            started_ms: Cell::new(0),
            restarting: Cell::new(false),
        });
        endpoint.spawn();
        endpoint.publish_lifecycle(Lifecycle::Ready);
        endpoint
    }

    /// Accepts requests for this long without responding to any.
    pub(crate) fn hang(&self, duration: Duration) {
        self.hangs_until.set(Some(Instant::now() + duration));
    }

    /// Drains, leaves the endpoint list, and restarts after `downtime`. Does nothing if a restart is already
    /// in progress.
    pub(crate) async fn drain_and_restart(self: &Rc<Self>, drain_time: Duration, downtime: Duration) {
        if self.restarting.replace(true) {
            return;
        }
        self.publish_lifecycle(Lifecycle::Draining);
        sleep(drain_time).await;
        self.publish_lifecycle(Lifecycle::Removed);
        self.restart(downtime).await;
        self.restarting.set(false);
    }

    /// Crashes without a change to the endpoint list, and restarts after `downtime`. Does nothing if a
    /// restart is already in progress.
    pub(crate) async fn crash_and_restart(self: &Rc<Self>, downtime: Duration) {
        if self.restarting.replace(true) {
            return;
        }
        self.restart(downtime).await;
        self.restarting.set(false);
    }

    fn spawn(self: &Rc<Self>) {
        let endpoint = self.clone();
        let listener = listen(&self.address);
        *self.task.borrow_mut() = Some(spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn_local(endpoint.clone().serve(socket));
            }
        }));
    }

    /// Publishes the endpoint's lifecycle in the endpoint list.
    fn publish_lifecycle(&self, lifecycle: Lifecycle) {
        self.state.update_endpoint(ListedEndpoint {
            id: self.name.clone(),
            address: self.address.clone(),
            role: self.role,
            lifecycle,
            started_ms: self.started_ms.get(),
        });
    }

    /// Closes all connections, drops all reserved KV caches, and starts again after `downtime`.
    async fn restart(self: &Rc<Self>, downtime: Duration) {
        let task = self.task.borrow_mut().take();
        if let Some(task) = task {
            task.abort();
        }
        self.state.record.borrow_mut().reservations.retain(|_, endpoint| *endpoint != self.name);
        sleep(downtime).await;
        self.started_ms.set(unix_milliseconds());
        self.spawn();
        self.publish_lifecycle(Lifecycle::Ready);
    }

    /// Serves the requests of one connection sequentially.
    async fn serve(self: Rc<Self>, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let (mut reader, mut writer) = socket.into_split();
        let mut unread = Vec::new();
        loop {
            let received = timeout(IDLE_TIMEOUT, read_message(&mut reader, &mut unread)).await;
            let Ok(Ok(Some(request))) = received else { return };
            let persistence = if request.head.starts_with("DELETE /kv/leases/") {
                self.release(&request, &mut writer).await
            } else if request.head.starts_with("POST /v1/chat/completions ") {
                self.serve_attempt(&request, &mut reader, &mut writer).await
            } else {
                Persistence::Close
            };
            if persistence == Persistence::Close {
                return;
            }
        }
    }

    async fn wait_until_hang_ends(&self) {
        while let Some(until) = self.hangs_until.get().filter(|until| *until > Instant::now()) {
            sleep_until(until).await;
        }
    }

    /// Releases the reservation of request ID, given in the path `/kv/leases/ID`.
    async fn release(&self, request: &Message, writer: &mut OwnedWriteHalf) -> Persistence {
        self.wait_until_hang_ends().await;
        let request_id = request.head.split([' ', '/']).nth(4).unwrap_or_default();
        self.state.record.borrow_mut().reservations.remove(request_id);
        self.state.update_request(request_id, |record| record.released_at.push(Instant::now()));
        let written = writer.write_all(RELEASED_RESPONSE.as_bytes()).await;
        Persistence::after_write(&written)
    }

    /// Serves one attempt; aborts it as soon as the replica closes the connection.
    async fn serve_attempt(
        &self, request: &Message, reader: &mut OwnedReadHalf, writer: &mut OwnedWriteHalf,
    ) -> Persistence {
        let request_id = request.header("request-id").unwrap_or_default();
        let forwarded_timeout = request.header("request-timeout-ms").and_then(|value| value.parse().ok());
        let attempt = Attempt {
            endpoint: self.name.clone(),
            role: self.role,
            arrived_at: Instant::now(),
            timeout_ms: forwarded_timeout.unwrap_or(u64::MAX),
            end: None,
        };
        let Some(id) = self.state.record_attempt(request_id, attempt) else {
            panic!("attempt for a request that no client sent: {request_id:?}");
        };
        let guard = AttemptGuard { state: self.state.clone(), id: id.clone() };
        tokio::select! {
            result = self.execute(request_id, writer) => {
                self.state.record_attempt_end(&id, result.outcome);
                drop(guard);
                result.persistence
            }
            () = wait_until_closed(reader) => {
                self.state.record_attempt_end(&id, AttemptOutcome::Abandoned);
                Persistence::Close
            }
        }
    }

    /// Executes a request after a random delay. 3 requests in 100 fail: with an error response, a rejection
    /// or a truncated response.
    async fn execute(&self, request_id: &str, writer: &mut OwnedWriteHalf) -> AttemptResult {
        sleep(self.state.draw_duration_ms(5..60)).await;
        self.wait_until_hang_ends().await;
        match self.state.draw(0..100) {
            0 => {
                return AttemptResult::respond(writer, ERROR_RESPONSE, AttemptOutcome::PossiblyExecuted)
                    .await;
            }
            1 => {
                return AttemptResult::respond(writer, NOT_STARTED_RESPONSE, AttemptOutcome::NotStarted)
                    .await;
            }
            2 => {
                let _ = writer.write_all(TRUNCATED_RESPONSE.as_bytes()).await;
                return AttemptResult::connection_lost();
            }
            _ => {}
        }
        match self.role {
            Role::Prefill => self.prefill(request_id, writer).await,
            Role::Decode => self.decode(request_id, writer).await,
        }
    }

    async fn prefill(&self, request_id: &str, writer: &mut OwnedWriteHalf) -> AttemptResult {
        self.state.record.borrow_mut().reservations.insert(request_id.to_owned(), self.name.clone());
        AttemptResult::respond(writer, PREFILLED_RESPONSE, AttemptOutcome::Prefilled).await
    }

    async fn decode(&self, request_id: &str, writer: &mut OwnedWriteHalf) -> AttemptResult {
        let reservation = self.state.record.borrow_mut().reservations.remove(request_id);
        if reservation.is_none() {
            return AttemptResult::respond(writer, KV_CACHE_MISSING_RESPONSE, AttemptOutcome::NotStarted)
                .await;
        }
        self.stream(request_id, writer).await
    }

    /// Sends a random number of events, each with its own number and the total. 10 streams in 1,000 are cut
    /// off after about half of the events, and 20 go on with a malformed chunk there.
    async fn stream(&self, request_id: &str, writer: &mut OwnedWriteHalf) -> AttemptResult {
        let event_count = self.state.draw(2..20);
        let is_cut_off = self.state.chance_per_thousand(10);
        let is_malformed = self.state.chance_per_thousand(20);
        if writer.write_all(STREAM_HEAD.as_bytes()).await.is_err() {
            return AttemptResult::connection_lost();
        }
        for number in 0..event_count {
            let event = format!("data: {{\"n\":{number},\"of\":{event_count}}}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let written = writer.write_all(chunk.as_bytes()).await;
            if written.is_err() || (is_cut_off && number == event_count / 2) {
                return AttemptResult::connection_lost();
            }
            if is_malformed && number == event_count / 2 {
                return self.send_malformed_chunk(request_id, writer).await;
            }
            sleep(self.state.draw_duration_ms(5..60)).await;
            self.wait_until_hang_ends().await;
        }
        AttemptResult::respond(writer, STREAM_END, AttemptOutcome::PossiblyExecuted).await
    }

    /// Sends a malformed chunk until the replica closes the connection.
    async fn send_malformed_chunk(&self, request_id: &str, writer: &mut OwnedWriteHalf) -> AttemptResult {
        self.state.record_fault("malformed chunk");
        let chunk = MalformedChunk::draw(&self.state);
        let malformed_at = Instant::now();
        self.state.update_request(request_id, |record| record.stream_malformed_at = Some(malformed_at));
        let mut written = writer.write_all(chunk.size_line.as_bytes()).await;
        while written.is_ok() {
            sleep(MALFORMED_CONTENT_INTERVAL).await;
            written = writer.write_all(chunk.content.as_bytes()).await;
        }
        AttemptResult::connection_lost()
    }
}
