//! The limits on what clients bring: how many connections, and how many bytes of bodies.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::close_reason::may_be_evicted;
use super::connection_state::ClientState;

/// Connections past the limit that are still accepted, so that their clients get a 429 instead of silence.
const MAX_EXCESS_CONNECTIONS: usize = 16;
/// Pause between searches for a connection to evict while none may be: one may have become idle without
/// notice.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Counts clients' connections and the bytes of their bodies against the limits.
pub struct ConnectionLimiter {
    connections: RefCell<BTreeMap<u64, Rc<ClientState>>>,
    next_number: Cell<u64>,
    max_connections: usize,
    slot_released: Notify,
    body_bytes: Cell<usize>,
    max_body_bytes: usize,
}

/// One connection's share of the connection limit, released when dropped.
pub struct ConnectionSlot {
    limiter: Rc<ConnectionLimiter>,
    /// The connection's number since the start of the process, for the log.
    pub number: u64,
    /// The connection's state.
    pub client: Rc<ClientState>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limiter.connections.borrow_mut().remove(&self.number);
        self.limiter.slot_released.notify_one();
    }
}

/// One body's share of the limit on bytes, released when dropped.
pub struct BodyAllocation {
    limiter: Rc<ConnectionLimiter>,
    bytes: usize,
}

impl BodyAllocation {
    /// An allocation of no bytes.
    pub fn new(limiter: Rc<ConnectionLimiter>) -> Self {
        BodyAllocation { limiter, bytes: 0 }
    }

    /// Grows by so many bytes; false, and nothing changes, where they would exceed the limit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let total = self.limiter.body_bytes.get() + bytes;
        if total > self.limiter.max_body_bytes {
            return false;
        }
        self.limiter.body_bytes.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyAllocation {
    fn drop(&mut self) {
        self.limiter.body_bytes.set(self.limiter.body_bytes.get() - self.bytes);
    }
}

impl ConnectionLimiter {
    /// Limits to so many connections and so many bytes of bodies.
    pub fn new(max_connections: usize, max_body_bytes: usize) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            connections: RefCell::default(),
            next_number: Cell::new(0),
            max_connections,
            slot_released: Notify::new(),
            body_bytes: Cell::new(0),
            max_body_bytes,
        })
    }

    /// Whether more clients are connected than are served.
    pub fn over_limit(&self) -> bool {
        self.connections.borrow().len() > self.max_connections
    }

    /// Registers an accepted connection. At the limit another one is evicted for it, where one may be.
    pub fn register(self: &Rc<Self>) -> ConnectionSlot {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let client = ClientState::new();
        if self.connections.borrow().len() >= self.max_connections {
            self.evict_one();
        }
        self.connections.borrow_mut().insert(number, client.clone());
        ConnectionSlot { limiter: self.clone(), number, client }
    }

    /// Whether no more connections can be accepted, not even to be answered with a 429.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections + MAX_EXCESS_CONNECTIONS
    }

    /// Waits until one more connection can be accepted, if only to be answered with a 429.
    pub async fn wait_for_capacity(&self) {
        while self.is_full() {
            self.evict_one();
            let _ = timeout(EVICTION_RETRY_DELAY, self.slot_released.notified()).await;
        }
    }

    /// Evicts, of the connections that may be, the first by stage and time.
    fn evict_one(&self) {
        let connections = self.connections.borrow();
        let candidates =
            connections.values().filter(|client| may_be_evicted(client.stage(), client.time_used()));
        if let Some(client) = candidates.min_by_key(|client| client.eviction_order()) {
            client.evict();
        }
    }
}
