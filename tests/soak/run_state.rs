//! The state that all parties of a run share: the record of what happened, the endpoint list, and the random
//! numbers.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// The stage that an endpoint serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Prefill,
    Decode,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    Idempotent,
    NonIdempotent,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The prefill is done, and its state is reserved for the decode.
    Prefilled,
    /// Rejected before execution.
    NotStarted,
    /// It may have been executed: an error response, a broken connection, or a stream of any length.
    PossiblyExecuted,
    /// The replica closed the connection before the response was complete.
    Abandoned,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) at: Instant,
    pub(crate) outcome: AttemptOutcome,
}

/// One attempt that arrived at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: String,
    pub(crate) role: Role,
    pub(crate) arrived_at: Instant,
    /// The remaining time in milliseconds that the replica forwarded.
    pub(crate) timeout_ms: u64,
    pub(crate) end: Option<AttemptEnd>,
}

/// Names one attempt of a run.
#[derive(Clone, Debug)]
pub(crate) struct AttemptId {
    pub(crate) request_id: String,
    /// Position among the attempts of the request, from 0.
    pub(crate) index: usize,
}

/// The final response as a client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseOutcome {
    /// A complete stream.
    Completed,
    /// A stream that ended early or whose events were not all there, once each and in order.
    StreamBroken,
    /// 429 or 503: the request was not executed, and the client may retry.
    Rejected,
    /// Any other status.
    Failed,
    /// The connection ended without a response.
    ConnectionClosed,
    /// No response head came in time.
    TimedOut,
}

/// The final response of a request, and when it was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Response {
    pub(crate) at: Instant,
    pub(crate) outcome: ResponseOutcome,
}

/// What happened to one request of a client.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Number of the replica that the client is connected to.
    pub(crate) replica: usize,
    pub(crate) idempotency: Idempotency,
    pub(crate) first_on_connection: bool,
    /// When the client had written the last byte.
    pub(crate) sent_at: Option<Instant>,
    pub(crate) timeout_ms: u64,
    /// When the client closed the connection without waiting for the response.
    pub(crate) client_disconnected_at: Option<Instant>,
    pub(crate) response: Option<Response>,
    /// Its replica was killed, or close to the end of its termination, while the request was open.
    pub(crate) replica_terminated: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// When endpoints received a release of its reservation.
    pub(crate) released_at: Vec<Instant>,
}

/// What the endpoint list says of the life of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    Ready,
    Draining,
    Removed,
}

impl Lifecycle {
    /// The value of `state` in the endpoint list.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "Ready",
            Lifecycle::Draining => "Terminating",
            Lifecycle::Removed => "Gone",
        }
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    pub(crate) id: String,
    pub(crate) address: String,
    pub(crate) role: Role,
    pub(crate) lifecycle: Lifecycle,
    /// Milliseconds since 1970; 0 for an endpoint that started long before the run.
    pub(crate) started_ms: u64,
}

/// An entry of the endpoint list with the version of the list that changed it last.
#[derive(Clone, Debug)]
pub(crate) struct VersionedEndpoint {
    pub(crate) version: u64,
    pub(crate) endpoint: ListedEndpoint,
}

/// What happened in a run so far. The maps that the verifier reports from are sorted by their keys.
#[derive(Default)]
pub(crate) struct RunRecord {
    /// Requests by their ids.
    pub(crate) requests: BTreeMap<String, RequestRecord>,
    /// The name of the prefill endpoint that holds the state of a request, by the request's id.
    pub(crate) reservations: HashMap<String, String>,
    /// Since when each replica has known that an endpoint takes no new attempts, by replica number and
    /// endpoint id. An endpoint that is announced as ready again is removed.
    pub(crate) unavailable_since: HashMap<usize, HashMap<String, Instant>>,
    /// The endpoint list by endpoint id, with the removed endpoints.
    pub(crate) endpoints: BTreeMap<String, VersionedEndpoint>,
    pub(crate) list_version: u64,
    /// How often each kind of fault was injected.
    pub(crate) faults: BTreeMap<&'static str, usize>,
    /// How often a party of the run saw an invariant violated by itself.
    pub(crate) violations: BTreeMap<&'static str, usize>,
    random: fastrand::Rng,
}

/// A shared handle to the state of a run.
#[derive(Clone)]
pub(crate) struct RunState {
    pub(crate) record: Rc<RefCell<RunRecord>>,
    /// Sends the version of the endpoint list at each change.
    pub(crate) list_changed: watch::Sender<u64>,
}

impl RunState {
    /// The state at the start of a run; all random numbers are drawn from this seed.
    pub(crate) fn new(seed: u64) -> Self {
        let record = RunRecord { random: fastrand::Rng::with_seed(seed), ..RunRecord::default() };
        RunState { record: Rc::new(RefCell::new(record)), list_changed: watch::Sender::new(0) }
    }

    /// Draws a number from a range.
    pub(crate) fn draw(&self, range: Range<u64>) -> u64 {
        self.record.borrow_mut().random.u64(range)
    }

    /// Draws a duration from a range of milliseconds.
    pub(crate) fn draw_milliseconds(&self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.draw(range))
    }

    /// Draws the position of one of `count` elements.
    pub(crate) fn draw_index(&self, count: usize) -> usize {
        self.draw(0..count as u64) as usize
    }

    /// True with a probability of `per_thousand` in 1,000.
    pub(crate) fn chance(&self, per_thousand: u64) -> bool {
        self.draw(0..1_000) < per_thousand
    }

    /// Adds or changes an entry of the endpoint list, which becomes a new version.
    pub(crate) fn update_endpoint(&self, endpoint: ListedEndpoint) {
        let version = {
            let mut record = self.record.borrow_mut();
            record.list_version += 1;
            let version = record.list_version;
            record.endpoints.insert(endpoint.id.clone(), VersionedEndpoint { version, endpoint });
            version
        };
        self.list_changed.send_replace(version);
    }

    /// Records an attempt whose request has arrived completely, or returns `None` if no client sent this
    /// request.
    pub(crate) fn record_attempt(&self, request_id: &str, attempt: Attempt) -> Option<AttemptId> {
        let mut record = self.record.borrow_mut();
        let attempts = &mut record.requests.get_mut(request_id)?.attempts;
        attempts.push(attempt);
        Some(AttemptId { request_id: request_id.to_owned(), index: attempts.len() - 1 })
    }

    /// Records how an attempt ended; only the first end of an attempt counts.
    pub(crate) fn record_attempt_end(&self, id: &AttemptId, outcome: AttemptOutcome) {
        self.update_request(&id.request_id, |request| {
            if let Some(attempt) = request.attempts.get_mut(id.index) {
                attempt.end.get_or_insert(AttemptEnd { at: Instant::now(), outcome });
            }
        });
    }

    /// Changes the record of a request; does nothing if no client sent this request.
    pub(crate) fn update_request(&self, request_id: &str, update: impl FnOnce(&mut RequestRecord)) {
        if let Some(request) = self.record.borrow_mut().requests.get_mut(request_id) {
            update(request);
        }
    }

    /// Counts an injected fault.
    pub(crate) fn record_fault(&self, name: &'static str) {
        *self.record.borrow_mut().faults.entry(name).or_default() += 1;
    }

    /// Counts a violation, which fails the run.
    pub(crate) fn record_violation(&self, name: &'static str) {
        *self.record.borrow_mut().violations.entry(name).or_default() += 1;
    }
}
