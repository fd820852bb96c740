//! The state of a client's connection: where it stands between requests, and what its bytes have told so far.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

use super::BUFFER;

/// For a client to send a head, or to stay idle between requests. After 2 s a connection without an open request may
/// be closed, and one that says nothing is owed a close within 3 s.
pub const HEAD_TIME: Duration = Duration::from_millis(2_100);
/// What a head gets at least from its first byte on, however long its client was silent before.
const HEAD_LEAST: Duration = Duration::from_millis(300);
/// Unfit requests after which a connection is closed.
const UNFIT_MOST: u32 = 8;

/// Where a client's connection stands, in the order in which they make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// It has its last answer and is only read.
    Leaving,
    /// It has said nothing yet.
    Silent,
    /// Its requests are answered.
    Idle,
    /// A head has begun.
    Begun,
    /// A request is open.
    Open,
    /// The request's answer is complete, but may not have been written out.
    Answered,
}

/// A stage, and the moments that bound it.
#[derive(Clone, Copy, Debug)]
struct StageEntry {
    stage: ConnectionStage,
    /// When the client could have begun to send its request, or this stage began.
    since: Instant,
    entered: Instant,
}

impl StageEntry {
    /// When a client that sends no whole head is given up.
    fn due(&self) -> Option<Instant> {
        match self.stage {
            ConnectionStage::Silent | ConnectionStage::Idle => Some(self.since + HEAD_TIME),
            ConnectionStage::Begun => Some((self.since + HEAD_TIME).max(self.entered + HEAD_LEAST)),
            ConnectionStage::Leaving | ConnectionStage::Open | ConnectionStage::Answered => None,
        }
    }
}

/// How a request arrived, for the fronts.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the client could have begun to send it.
    pub since: Instant,
    /// Its head gave the body's length in two ways; a part of it may be meant as another request.
    pub conflicting: bool,
}

/// How long a request's body is, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunks,
}

impl BodyLength {
    /// As a request's head says.
    pub fn of<B>(request: &Request<B>) -> Self {
        if request.headers().contains_key(TRANSFER_ENCODING) {
            return BodyLength::Chunks;
        }
        let length = request.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        BodyLength::Length(length.unwrap_or(0))
    }
}

/// A client's connection, as its task, its byte stream and the intake see it.
pub struct ClientState {
    phase: watch::Sender<StageEntry>,
    head: RefCell<Vec<u8>>,
    head_whole: Cell<bool>,
    /// Bytes that came behind the head, and how many of them are the open request's.
    behind: Cell<u64>,
    framed: Cell<Option<BodyLength>>,
    unfit: Cell<u32>,
    evicted: Notify,
}

impl ClientState {
    /// A connection that has just been accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(ClientState {
            phase: watch::Sender::new(StageEntry {
                stage: ConnectionStage::Silent,
                since: now,
                entered: now,
            }),
            head: RefCell::default(),
            head_whole: Cell::new(false),
            behind: Cell::new(0),
            framed: Cell::new(None),
            unfit: Cell::new(0),
            evicted: Notify::new(),
        })
    }

    /// Where it stands.
    pub fn stage(&self) -> ConnectionStage {
        self.phase.borrow().stage
    }

    /// How long the client has had for what it does.
    pub fn age(&self) -> Duration {
        self.phase.borrow().since.elapsed()
    }

    /// Its place in the order in which connections make room for others.
    pub fn order(&self) -> (ConnectionStage, Instant) {
        let phase = *self.phase.borrow();
        (phase.stage, phase.since)
    }

    /// Enters a stage; the client's time for it starts now.
    fn enter(&self, stage: ConnectionStage) {
        let now = Instant::now();
        self.phase.send_replace(StageEntry { stage, since: now, entered: now });
    }

    /// Enters a stage in the time that the client had for the one before.
    fn enter_within(&self, stage: ConnectionStage) {
        self.phase.send_modify(|phase| (phase.stage, phase.entered) = (stage, Instant::now()));
    }

    /// Bytes came. A head is kept as it came until its request is taken: the library shows only one of two
    /// headers that contradict each other.
    pub fn received(&self, mut bytes: &[u8]) {
        if self.head_whole.get() {
            return self.behind.set(self.behind.get() + bytes.len() as u64);
        }
        let mut head = self.head.borrow_mut();
        if head.is_empty() {
            let begin = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
            bytes = &bytes[begin..];
            if bytes.is_empty() {
                return;
            }
            self.head_begins();
        }
        let from = head.len().saturating_sub(3);
        head.extend_from_slice(bytes);
        let ends = |at: &usize| head[*at..].starts_with(b"\n\r\n") || head[*at..].starts_with(b"\n\n");
        if let Some(at) = (from..head.len()).find(ends) {
            let end = at + if head[at + 1] == b'\n' { 2 } else { 3 };
            self.behind.set((head.len() - end) as u64);
            head.truncate(end);
            self.head_whole.set(true);
        } else if head.len() > 2 * BUFFER {
            // The library has refused it by now.
            self.head_whole.set(true);
        }
    }

    fn head_begins(&self) {
        match self.stage() {
            // A first request has had its time since the connection came up.
            ConnectionStage::Silent => self.enter_within(ConnectionStage::Begun),
            ConnectionStage::Idle => self.enter(ConnectionStage::Begun),
            _ => {}
        }
    }

    /// A request's head was taken.
    pub fn taken(&self, request: &Request<Incoming>) -> Arrival {
        let since = self.phase.borrow().since;
        self.enter(ConnectionStage::Open);
        self.framed.set(Some(BodyLength::of(request)));
        let head = self.head.take();
        let has = |name: &str| {
            let mut names = head.split(|&b| b == b'\n').filter_map(|l| l.split(|&b| b == b':').next());
            names.any(|n| n.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
        };
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let unsure = !self.head_whole.get() || has(CONTENT_LENGTH.as_str());
        Arrival { since, conflicting: chunked && unsure }
    }

    /// Whether more has come than the open request, which the library does not read past before it is answered.
    pub fn overran(&self) -> bool {
        matches!(self.framed.get(), Some(BodyLength::Length(length)) if self.behind.get() > length)
    }

    /// A request has its answer, or the head of it; whether the connection can go on. One that brought more, or
    /// less, than its request cannot: where the next one begins would not be known.
    pub fn answered(&self, unfit: bool) -> bool {
        self.unfit.set(self.unfit.get() + u32::from(unfit));
        self.head_whole.set(false);
        let behind = self.behind.replace(0);
        self.framed.take() == Some(BodyLength::Length(behind)) && self.unfit.get() < UNFIT_MOST
    }

    /// Its answer is complete and has still to be written out.
    pub fn answer_ends(&self) {
        if self.stage() == ConnectionStage::Open {
            self.enter(ConnectionStage::Answered);
        }
    }

    /// All that was to be written is out.
    pub fn flushed(&self) {
        if self.stage() == ConnectionStage::Answered {
            // The next request may have begun behind the last one.
            self.enter(if self.head.borrow().is_empty() {
                ConnectionStage::Idle
            } else {
                ConnectionStage::Begun
            });
        }
    }

    /// The last answer is out; what still comes is only read past.
    pub fn leaves(&self) {
        self.enter(ConnectionStage::Leaving);
    }

    /// Makes it go, for the room that it takes.
    pub fn evict(&self) {
        // Not to be chosen again.
        self.enter(ConnectionStage::Open);
        self.evicted.notify_one();
    }

    /// Waits until it has to make room for others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Waits until its client has been idle for too long, or takes too long for a head.
    pub async fn overdue(&self) {
        let mut phases = self.phase.subscribe();
        loop {
            let due = phases.borrow_and_update().due();
            let past = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // First: bytes that have come count, also at the last moment.
                _ = phases.changed() => {}
                () = past => return,
            }
        }
    }

    /// Waits until no request is on its way: none may have begun, and one that begins within `patience` has been taken.
    pub async fn nothing_arriving(&self, patience: Duration) {
        let mut phases = self.phase.subscribe();
        let _ = timeout(patience, phases.wait_for(|phase| phase.stage != ConnectionStage::Silent)).await;
        let _ = phases.wait_for(|phase| phase.stage != ConnectionStage::Begun).await;
    }
}
