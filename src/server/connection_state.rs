//! The state of a client's connection: its stage, the time that bounds it, and how its requests are
//! delimited.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};
use std::future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

use super::head_scanner::HeadScanner;

/// Largest head of a request, in bytes; it is the size of the HTTP library's buffer, which rejects longer
/// ones.
pub(super) const MAX_HEAD_SIZE: usize = 32 * 1024;

/// Time for a client to send a head, or to stay idle between requests. A connection without an open
/// request may be closed after 2 s, and must be within 3 s where its client sends nothing.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Least time that a head gets from its first byte on, however long its client sent nothing before: enough
/// for a head that crosses the timeout, and short enough for a close within the 3 s.
const MIN_HEAD_TIME: Duration = Duration::from_millis(300);
/// Rejected requests (4xx other than 429) after which a connection is closed: its client is broken or
/// hostile.
const MAX_REJECTED_REQUESTS: u32 = 8;

/// The stage of a client's connection, in the order in which connections are evicted.
///
/// ```text
/// Silent --first byte--> ReadingHead --head parsed--> InRequest --response produced--> Flushing
///                             ^                                                           |
///                             +------first byte-------- Idle <--------response written---+
/// ```
///
/// `Lingering` follows on any of them once the HTTP library is done with the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// It has had its last response and is kept until its client closes it.
    Lingering,
    /// No byte has come yet.
    Silent,
    /// All its requests are answered.
    Idle,
    /// A part of a head has come.
    ReadingHead,
    /// A request is open.
    InRequest,
    /// The response is complete, but may not have been written out.
    Flushing,
}

/// The words that the log has for the stages; operators search for these.
impl Display for ConnectionStage {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ConnectionStage::Lingering => "Leaving",
            ConnectionStage::Silent => "Silent",
            ConnectionStage::Idle => "Idle",
            ConnectionStage::ReadingHead => "Begun",
            ConnectionStage::InRequest => "Open",
            ConnectionStage::Flushing => "Answered",
        })
    }
}

/// A stage with the moments that bound it.
#[derive(Clone, Copy, Debug)]
struct StageEntry {
    stage: ConnectionStage,
    /// Since when the client's time runs: from when it could have begun to send its request, or the stage's
    /// begin.
    clock_started: Instant,
    entered: Instant,
}

impl StageEntry {
    /// A stage that begins now, as does the client's time for it.
    fn now(stage: ConnectionStage) -> Self {
        let now = Instant::now();
        StageEntry { stage, clock_started: now, entered: now }
    }

    /// When a client that has not sent a complete head is disconnected.
    fn deadline(&self) -> Option<Instant> {
        let head_deadline = self.clock_started + HEAD_TIMEOUT;
        match self.stage {
            ConnectionStage::Silent | ConnectionStage::Idle => Some(head_deadline),
            ConnectionStage::ReadingHead => Some(head_deadline.max(self.entered + MIN_HEAD_TIME)),
            ConnectionStage::Lingering | ConnectionStage::InRequest | ConnectionStage::Flushing => None,
        }
    }
}

/// How a request arrived; an extension of each request that a handler gets.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// When the client could have begun to send it.
    pub can_send_since: Instant,
    /// Its head gave the body's length in two ways; a part of the body may be meant as another request.
    pub conflicting_lengths: bool,
}

/// How a request's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// By `Content-Length`, in bytes; 0 without one.
    Known(u64),
    /// By its chunks.
    Chunked,
}

impl BodyLength {
    /// As a request's head says.
    pub fn of<B>(request: &Request<B>) -> Self {
        let headers = request.headers();
        if headers.contains_key(TRANSFER_ENCODING) {
            return BodyLength::Chunked;
        }
        let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        BodyLength::Known(length.unwrap_or(0))
    }
}

/// Whether a request was valid, as far as the connection counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It was answered, or rejected for want of capacity.
    Valid,
    /// It was rejected for its form.
    Invalid,
}

/// Whether a connection can take another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// It can.
    KeepAlive,
    /// It must be closed behind the response.
    Close,
}

/// The state of one client's connection. Its task, its byte stream, its response bodies and the connection
/// limiter share it; each change of stage is one method here.
pub struct ClientState {
    stage: watch::Sender<StageEntry>,
    scanner: RefCell<HeadScanner>,
    /// The length of the open request's body; none between requests.
    body_length: Cell<Option<BodyLength>>,
    rejected_requests: Cell<u32>,
    eviction: Notify,
}

impl ClientState {
    /// The state of a connection that has just been accepted.
    pub fn new() -> Rc<Self> {
        Rc::new(ClientState {
            stage: watch::Sender::new(StageEntry::now(ConnectionStage::Silent)),
            scanner: RefCell::new(HeadScanner::new()),
            body_length: Cell::new(None),
            rejected_requests: Cell::new(0),
            eviction: Notify::new(),
        })
    }

    /// The stage.
    pub fn stage(&self) -> ConnectionStage {
        self.stage.borrow().stage
    }

    /// How much time the client has used for what it does in this stage.
    pub fn time_used(&self) -> Duration {
        self.stage.borrow().clock_started.elapsed()
    }

    /// The key by which connections are evicted, lowest first.
    pub fn eviction_order(&self) -> (ConnectionStage, Instant) {
        let entry = *self.stage.borrow();
        (entry.stage, entry.clock_started)
    }

    /// Enters a stage; the client's time for it starts now.
    fn enter(&self, stage: ConnectionStage) {
        self.stage.send_replace(StageEntry::now(stage));
    }

    /// Enters a stage in which the client's time of the stage before goes on.
    fn enter_keeping_clock(&self, stage: ConnectionStage) {
        self.stage.send_modify(|entry| {
            entry.stage = stage;
            entry.entered = Instant::now();
        });
    }

    /// Bytes were read. `Silent` and `Idle` become `ReadingHead` with the first byte of a head.
    pub fn bytes_received(&self, bytes: &[u8]) {
        let head_begins = self.scanner.borrow_mut().receive(bytes);
        if !head_begins {
            return;
        }
        match self.stage() {
            // The time for a first request runs since the connection was accepted.
            ConnectionStage::Silent => self.enter_keeping_clock(ConnectionStage::ReadingHead),
            ConnectionStage::Idle => self.enter(ConnectionStage::ReadingHead),
            _ => {}
        }
    }

    /// The HTTP library has parsed a request's head: the stage becomes `InRequest`, in which no deadline runs
    /// and the connection is not evicted.
    pub fn request_started(&self, request: &Request<Incoming>) -> RequestArrival {
        let can_send_since = self.stage.borrow().clock_started;
        self.enter(ConnectionStage::InRequest);
        let body_length = BodyLength::of(request);
        self.body_length.set(Some(body_length));
        let head = self.scanner.borrow_mut().take_head();
        let may_have_length = !head.is_complete || head.has_header(CONTENT_LENGTH.as_str());
        let conflicting_lengths = body_length == BodyLength::Chunked && may_have_length;
        RequestArrival { can_send_since, conflicting_lengths }
    }

    /// Whether more bytes have come than the open request has. The HTTP library reads past that only once it
    /// is answered.
    pub fn has_bytes_beyond_request(&self) -> bool {
        match self.body_length.get() {
            Some(BodyLength::Known(length)) => self.scanner.borrow().bytes_behind() > length,
            Some(BodyLength::Chunked) | None => false,
        }
    }

    /// The open request has its response, or the head of it; the stage changes only with the response's end.
    /// The connection is not kept where more or fewer bytes came than the request has, as the begin of the
    /// next one would be unknown, and behind too many rejected requests.
    pub fn request_answered(&self, verdict: RequestVerdict) -> Persistence {
        if verdict == RequestVerdict::Invalid {
            self.rejected_requests.set(self.rejected_requests.get() + 1);
        }
        let mut scanner = self.scanner.borrow_mut();
        let received = BodyLength::Known(scanner.bytes_behind());
        scanner.next_request();
        let is_delimited = self.body_length.take() == Some(received);
        if is_delimited && self.rejected_requests.get() < MAX_REJECTED_REQUESTS {
            Persistence::KeepAlive
        } else {
            Persistence::Close
        }
    }

    /// The response is complete and has still to be written out: `InRequest` becomes `Flushing`.
    pub fn response_complete(&self) {
        if self.stage() == ConnectionStage::InRequest {
            self.enter(ConnectionStage::Flushing);
        }
    }

    /// All that was to be written is written: `Flushing` becomes `Idle`, or `ReadingHead` where the next
    /// request has begun behind the last one.
    pub fn output_flushed(&self) {
        if self.stage() != ConnectionStage::Flushing {
            return;
        }
        if self.scanner.borrow().is_empty() {
            self.enter(ConnectionStage::Idle);
        } else {
            self.enter(ConnectionStage::ReadingHead);
        }
    }

    /// The HTTP library is done with the connection, which waits for its client's close.
    pub fn linger(&self) {
        self.enter(ConnectionStage::Lingering);
    }

    /// Evicts the connection for another one. The stage becomes `InRequest`, so that it is not chosen again.
    pub fn evict(&self) {
        self.enter(ConnectionStage::InRequest);
        self.eviction.notify_one();
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Waits until the client has been idle for too long, or takes too long for a head.
    pub async fn deadline_passed(&self) {
        let mut entries = self.stage.subscribe();
        loop {
            let deadline = entries.borrow_and_update().deadline();
            let passed = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // First: bytes that have come count, also at the last moment.
                _ = entries.changed() => {}
                () = passed => return,
            }
        }
    }

    /// Waits until no request is on its way: no head is incomplete, and a connection without any bytes has
    /// had `first_byte_grace` to send some.
    pub async fn no_request_arriving(&self, first_byte_grace: Duration) {
        let mut entries = self.stage.subscribe();
        let first_byte = entries.wait_for(|entry| entry.stage != ConnectionStage::Silent);
        let _ = timeout(first_byte_grace, first_byte).await;
        let _ = entries.wait_for(|entry| entry.stage != ConnectionStage::ReadingHead).await;
    }
}
