//! State of a client connection: its stage, the deadline of the stage, and request framing.

use std::cell::{Cell, RefCell};
use std::future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

pub use super::connection_stage::ConnectionStage;
use super::connection_stage::StageEntry;
use super::eviction::EvictionCandidate;
use super::head_scanner::HeadScanner;
use super::memory_budget::MemoryBudget;
use super::output_queue::OutputQueue;
use super::partial_body::PartialBody;
use super::request_progress::RequestProgress;

/// Maximum size of a request head in bytes. This is the buffer size of hyper, which rejects larger heads.
pub(super) const MAX_HEAD_SIZE: usize = 32 * 1024;

/// Number of rejected requests (4xx other than 429) after which a connection is closed, as its client is
/// broken or hostile.
const MAX_REJECTED_REQUESTS: u32 = 8;

/// How a request arrived. Set as an extension on every request passed to a handler.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Earliest time at which the client could have started to send the request.
    pub earliest_start: Instant,
    /// Whether the head specified the body length in two ways. Part of the body may be intended as another
    /// request (request smuggling).
    pub conflicting_lengths: bool,
    /// Whether the connection was accepted beyond the limit, only for its requests to be rejected.
    pub beyond_limit: bool,
}

impl RequestArrival {
    /// Returns how a request arrived. Without the extension, it is taken to have arrived now.
    pub(super) fn of<B>(request: &Request<B>) -> Self {
        let now = RequestArrival {
            earliest_start: Instant::now(),
            conflicting_lengths: false,
            beyond_limit: false,
        };
        request.extensions().get().copied().unwrap_or(now)
    }
}

/// Framing of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// `Content-Length` in bytes, or 0 if the header is absent.
    Known(u64),
    /// Chunked transfer encoding.
    Chunked,
}

impl BodyLength {
    /// Returns the framing specified by a request head.
    pub fn of<B>(request: &Request<B>) -> Self {
        let headers = request.headers();
        if headers.contains_key(TRANSFER_ENCODING) {
            return BodyLength::Chunked;
        }
        let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        BodyLength::Known(length.unwrap_or(0))
    }
}

/// Whether a request counts as rejected for its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestValidity {
    /// Answered, or rejected for lack of capacity.
    Valid,
    /// Rejected as invalid.
    Invalid,
}

/// Whether a connection can be reused for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection stays open.
    KeepAlive,
    /// The connection is closed after the response.
    Close,
}

/// State of one client connection, shared by its task, its byte stream, its response bodies and the
/// connection limiter. Each stage transition is one method.
pub struct ClientState {
    stage: watch::Sender<StageEntry>,
    scanner: RefCell<HeadScanner>,
    /// Framing of the current request's body; `None` between requests.
    body_length: Cell<Option<BodyLength>>,
    progress: RequestProgress,
    rejected_requests: Cell<u32>,
    eviction: Notify,
    /// Whether the connection was accepted beyond the limit.
    beyond_limit: bool,
    budget: Rc<MemoryBudget>,
    output: OutputQueue,
    /// The body of the current request while it arrives.
    partial_body: RefCell<Option<Rc<PartialBody>>>,
}

impl ClientState {
    /// Creates the state of a newly accepted connection, which may be one beyond the limit.
    pub(super) fn new(budget: &Rc<MemoryBudget>, beyond_limit: bool) -> Rc<Self> {
        Rc::new(ClientState {
            stage: watch::Sender::new(StageEntry::now(ConnectionStage::Silent)),
            scanner: RefCell::new(HeadScanner::new()),
            body_length: Cell::new(None),
            progress: RequestProgress::new(),
            rejected_requests: Cell::new(0),
            eviction: Notify::new(),
            beyond_limit,
            budget: budget.clone(),
            output: OutputQueue::default(),
            partial_body: RefCell::default(),
        })
    }

    /// Returns the current stage.
    pub fn stage(&self) -> ConnectionStage {
        self.stage.borrow().stage
    }

    /// Returns the progress of the current request.
    pub(super) fn progress(&self) -> &RequestProgress {
        &self.progress
    }

    /// Returns what the eviction of this connection depends on.
    pub(super) fn eviction_candidate(&self) -> EvictionCandidate {
        let entry = *self.stage.borrow();
        let body_idle_time = self.partial_body.borrow().as_ref().map(|body| body.idle_time());
        EvictionCandidate { stage: entry.stage, timer_started: entry.timer_started, body_idle_time }
    }

    /// Returns the body of the current request while it arrives.
    pub(super) fn partial_body(&self) -> Option<Rc<PartialBody>> {
        self.partial_body.borrow().clone()
    }

    /// Sets the body of the current request, or `None` if it does not arrive any more.
    pub(super) fn set_partial_body(&self, body: Option<Rc<PartialBody>>) {
        self.partial_body.replace(body);
    }

    /// Returns whether a part of a head has been received.
    pub(super) fn is_head_incomplete(&self) -> bool {
        self.scanner.borrow().is_head_incomplete()
    }

    /// Returns what has been passed to hyper and is not written.
    pub(super) fn output(&self) -> &OutputQueue {
        &self.output
    }

    /// Returns the memory that clients may fill.
    pub(super) fn budget(&self) -> &Rc<MemoryBudget> {
        &self.budget
    }

    /// Enters a stage and restarts the client's timer.
    fn enter(&self, stage: ConnectionStage) {
        self.stage.send_replace(StageEntry::now(stage));
    }

    /// Enters a stage without restarting the client's timer.
    fn enter_keeping_timer(&self, stage: ConnectionStage) {
        self.stage.send_modify(|entry| {
            entry.stage = stage;
            entry.entered = Instant::now();
        });
    }

    /// Records received bytes. The first byte of a head changes `Silent` and `Idle` to `ReadingHead`.
    pub fn bytes_received(&self, bytes: &[u8]) {
        let head_started = self.scanner.borrow_mut().receive(bytes);
        if !head_started {
            return;
        }
        match self.stage() {
            // The timer of the first request starts when the connection is accepted.
            ConnectionStage::Silent => self.enter_keeping_timer(ConnectionStage::ReadingHead),
            ConnectionStage::Idle => self.enter(ConnectionStage::ReadingHead),
            _ => {}
        }
    }

    /// Records that hyper has parsed a request head. Enters `ReadingBody`, in which the reader of the body has
    /// its own deadline.
    pub fn request_started(&self, request: &Request<Incoming>) -> RequestArrival {
        let earliest_start = self.stage.borrow().timer_started;
        self.enter(ConnectionStage::ReadingBody);
        self.progress.start();
        let body_length = BodyLength::of(request);
        self.body_length.set(Some(body_length));
        let head = self.scanner.borrow_mut().take_head();
        let conflicting_lengths = body_length == BodyLength::Chunked && head.may_have_content_length;
        RequestArrival { earliest_start, conflicting_lengths, beyond_limit: self.beyond_limit }
    }

    /// Records that the current request has a response, or at least the head of one; the stage changes only
    /// when the response is complete. The connection is not reused unless the number of received bytes is
    /// known to match the length of the request, as the start of the next request would be unknown otherwise,
    /// nor after too many rejected requests.
    pub fn request_answered(&self, validity: RequestValidity) -> Persistence {
        if validity == RequestValidity::Invalid {
            self.rejected_requests.set(self.rejected_requests.get() + 1);
        }
        let discarded = self.progress.finish();
        let mut scanner = self.scanner.borrow_mut();
        let received = BodyLength::Known(scanner.bytes_after_head());
        scanner.next_request();
        let is_delimited = self.body_length.take() == Some(received) && discarded == 0;
        if is_delimited && self.rejected_requests.get() < MAX_REJECTED_REQUESTS {
            Persistence::KeepAlive
        } else {
            Persistence::Close
        }
    }

    /// Records that the body was read to its end. Enters `InRequest`, in which no deadline applies and the
    /// connection is not evicted.
    pub(super) fn body_received(&self) {
        self.progress.body_received();
        if self.stage() == ConnectionStage::ReadingBody {
            self.enter(ConnectionStage::InRequest);
        }
    }

    /// Records that the response is complete but not yet written. Enters `Flushing`.
    pub fn response_complete(&self) {
        if matches!(self.stage(), ConnectionStage::ReadingBody | ConnectionStage::InRequest) {
            self.enter(ConnectionStage::Flushing);
        }
    }

    /// Records that all pending output is written. Changes `Flushing` to `Idle`, or to `ReadingHead` if the
    /// next request has started to arrive.
    pub fn output_flushed(&self) {
        self.output.flushed();
        if self.stage() != ConnectionStage::Flushing {
            return;
        }
        if self.scanner.borrow().is_empty() {
            self.enter(ConnectionStage::Idle);
        } else {
            self.enter(ConnectionStage::ReadingHead);
        }
    }

    /// Records that hyper has finished with the connection, which now waits for the client to close.
    pub fn linger(&self) {
        self.enter(ConnectionStage::Lingering);
    }

    /// Evicts the connection in favor of another one. The client gets a response if the body of its request is
    /// arriving. Enters `InRequest`, so that the connection is not selected again.
    pub fn evict(&self) {
        self.enter(ConnectionStage::InRequest);
        match self.partial_body() {
            Some(body) => body.abandon(),
            None => self.eviction.notify_one(),
        }
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Waits until the client exceeds the idle timeout or the time for a head.
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
                // Checked first, so that bytes received at the last moment still count.
                _ = entries.changed() => {}
                () = passed => return,
            }
        }
    }

    /// Waits until no request is arriving: no head is incomplete, and a connection without any received bytes
    /// has had `first_byte_grace` to send some.
    pub async fn no_request_arriving(&self, first_byte_grace: Duration) {
        let mut entries = self.stage.subscribe();
        let first_byte = entries.wait_for(|entry| entry.stage != ConnectionStage::Silent);
        let _ = timeout(first_byte_grace, first_byte).await;
        let _ = entries.wait_for(|entry| entry.stage != ConnectionStage::ReadingHead).await;
    }
}
