//! What happened in a run, as all parties note it, and the list of servers.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use tokio::sync::watch;
use tokio::time::Instant;

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Prefill,
    Decode,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Unsafe,
}

/// How a server ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The prompt is read, and its state waits.
    Read,
    /// Turned away before it ran.
    NotStarted,
    /// It may have run: an error, a break, or a stream of any length.
    MayHaveRun,
    /// The router gave it up before an answer.
    GivenUp,
}

/// One attempt that arrived at a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub server: String,
    pub role: Role,
    pub arrived: Instant,
    pub told_ms: u64,
    pub ended: Option<(Instant, Ended)>,
}

/// The final answer that a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A whole stream.
    Served,
    /// A stream that broke.
    Broken,
    Refused,
    Failed,
    /// The connection ended with no answer.
    Closed,
    /// Nothing came in time.
    Missing,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct RequestLog {
    pub router: usize,
    pub effect: Effect,
    /// It is the first on its connection.
    pub fresh: bool,
    /// Its last byte was written.
    pub sent: Option<Instant>,
    pub timeout_ms: u64,
    /// Its client closed the connection before an answer.
    pub left: Option<Instant>,
    pub answer: Option<(Instant, Answer)>,
    /// Its router was killed while it was open.
    pub excused: bool,
    pub attempts: Vec<Attempt>,
    pub released: Vec<Instant>,
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: String,
    pub role: Role,
    pub state: &'static str,
    pub started_ms: u64,
}

#[derive(Default)]
pub struct Data {
    pub requests: BTreeMap<String, RequestLog>,
    /// States that wait, and at which prefill server.
    pub states: HashMap<String, String>,
    /// Since when each router has been told that a server wants nothing new.
    pub told: HashMap<(usize, String), Instant>,
    /// The list, by version of the last change.
    pub list: BTreeMap<String, (u64, Entry)>,
    pub version: u64,
    pub rng: fastrand::Rng,
    /// What troubles came, and how often.
    pub troubles: BTreeMap<&'static str, usize>,
}

/// The shared record of a run.
#[derive(Clone)]
pub struct RunState {
    pub data: Rc<RefCell<Data>>,
    pub changed: watch::Sender<u64>,
}

impl RunState {
    pub fn new(seed: u64) -> Self {
        let data = Data { rng: fastrand::Rng::with_seed(seed), ..Data::default() };
        RunState { data: Rc::new(RefCell::new(data)), changed: watch::Sender::new(0) }
    }

    /// A number within a range.
    pub fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.data.borrow_mut().rng.u64(range)
    }

    /// True so many times in a thousand.
    pub fn chance(&self, per_thousand: u64) -> bool {
        self.draw(0..1_000) < per_thousand
    }

    /// Changes an entry of the list.
    pub fn list(&self, entry: Entry) {
        let version = {
            let mut data = self.data.borrow_mut();
            data.version += 1;
            let version = data.version;
            data.list.insert(entry.id.clone(), (version, entry));
            version
        };
        self.changed.send_replace(version);
    }

    /// Notes an attempt that has arrived whole; its number among the request's, if the request is known.
    pub fn arrived(&self, id: &str, attempt: Attempt) -> Option<usize> {
        let mut data = self.data.borrow_mut();
        let attempts = &mut data.requests.get_mut(id)?.attempts;
        attempts.push(attempt);
        Some(attempts.len() - 1)
    }

    /// Notes how an attempt ended.
    pub fn ended(&self, id: &str, number: usize, ended: Ended) {
        let mut data = self.data.borrow_mut();
        if let Some(attempt) = data.requests.get_mut(id).and_then(|request| request.attempts.get_mut(number))
        {
            attempt.ended.get_or_insert((Instant::now(), ended));
        }
    }

    /// Changes what is noted of a request.
    pub fn request(&self, id: &str, change: impl FnOnce(&mut RequestLog)) {
        if let Some(request) = self.data.borrow_mut().requests.get_mut(id) {
            change(request);
        }
    }

    /// Notes that a trouble came.
    pub fn trouble(&self, name: &'static str) {
        *self.data.borrow_mut().troubles.entry(name).or_default() += 1;
    }
}
