//! Limits on the number of client connections and on the memory that clients may fill.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::connection_state::ClientState;
use super::eviction::BodyPressure;
use super::memory_budget::{MemoryBudget, MemoryLease, MemoryUse, REQUEST_MEMORY};
use super::partial_body::{PartialBody, Retention};
use super::usage::ConnectionUsage;

/// Connections accepted beyond the limit, so that their clients get a 429 instead of no response.
const MAX_EXCESS_CONNECTIONS: usize = 16;
/// Interval between searches for a connection to evict while none is eligible. A connection that becomes idle
/// does not notify the limiter.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Tracks client connections and the memory that they use against their limits.
pub struct ConnectionLimiter {
    connections: RefCell<BTreeMap<u64, Rc<ClientState>>>,
    next_number: Cell<u64>,
    max_connections: usize,
    slot_released: Notify,
    budget: Rc<MemoryBudget>,
}

/// A connection's slot in the connection limit, released on drop.
pub struct ConnectionSlot {
    limiter: Rc<ConnectionLimiter>,
    /// Sequence number of the connection within this process, used in the log.
    pub number: u64,
    /// The state of the connection.
    pub client: Rc<ClientState>,
    _memory: MemoryLease,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limiter.connections.borrow_mut().remove(&self.number);
        self.limiter.slot_released.notify_one();
    }
}

impl ConnectionLimiter {
    /// Creates a limiter with these limits. `max_memory` is that of all connections with their requests, in
    /// bytes.
    pub fn new(max_connections: usize, max_memory: usize) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            connections: RefCell::default(),
            next_number: Cell::new(0),
            max_connections,
            slot_released: Notify::new(),
            budget: MemoryBudget::new(max_memory),
        })
    }

    /// Returns what the connections hold at this moment.
    pub fn usage(&self) -> ConnectionUsage {
        let mut usage = ConnectionUsage {
            connection_bytes: self.budget.used(MemoryUse::Connection),
            request_bytes: self.budget.used(MemoryUse::Request),
            head_bytes: self.budget.used(MemoryUse::Head),
            body_bytes: self.budget.used(MemoryUse::Body),
            ..ConnectionUsage::default()
        };
        for client in self.connections.borrow().values() {
            usage.count(client.stage());
        }
        usage
    }

    /// Returns whether more clients are connected than the limit allows.
    pub fn over_limit(&self) -> bool {
        self.connections.borrow().len() > self.max_connections
    }

    /// Registers an accepted connection. At the limit, another connection is evicted if one is eligible.
    pub fn register(self: &Rc<Self>) -> ConnectionSlot {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let beyond_limit = self.connections.borrow().len() >= self.max_connections;
        if beyond_limit {
            self.evict_one();
        }
        let client = ClientState::new(&self.budget, beyond_limit);
        self.connections.borrow_mut().insert(number, client.clone());
        let memory = MemoryLease::of_connection(&self.budget);
        ConnectionSlot { limiter: self.clone(), number, client, _memory: memory }
    }

    /// Returns whether no further connection can be accepted, not even to be answered with a 429.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections + MAX_EXCESS_CONNECTIONS
    }

    /// Waits until another connection can be accepted, possibly only to be answered with a 429.
    pub async fn wait_for_capacity(&self) {
        while self.is_full() {
            self.evict_one();
            let _ = timeout(EVICTION_RETRY_DELAY, self.slot_released.notified()).await;
        }
    }

    /// Evicts the eligible connection that is first in eviction order. None is evicted that has just served a
    /// request while others, which have not, will be eligible soon.
    fn evict_one(&self) {
        let connections = self.connections.borrow();
        let candidates = || connections.values().map(|client| (client.eviction_candidate(), client));
        let eligible =
            candidates().filter_map(|(candidate, client)| candidate.order().map(|order| (order, client)));
        let Some((order, client)) = eligible.min_by_key(|(order, _)| *order) else { return };
        if order.is_recently_active() && candidates().any(|(candidate, _)| candidate.is_unproven()) {
            return;
        }
        client.evict();
    }

    /// Creates the body of a request that starts to arrive.
    pub(super) fn start_body(&self, retention: Retention) -> Rc<PartialBody> {
        PartialBody::new(&self.budget, retention)
    }

    /// Grows the buffer of an arriving body to `size` bytes. Other incomplete bodies are dropped if the budget
    /// has no room and they have less of a claim to it. Returns false if there is still none.
    pub(super) fn grow_body(&self, body: &PartialBody, size: usize) -> bool {
        let claim = BodyPressure::new(size, Duration::ZERO);
        while !body.try_grow_to(size) {
            if !self.drop_body(|candidate, pressure| !std::ptr::eq(candidate, body) && pressure > claim) {
                return false;
            }
        }
        true
    }

    /// Leases the memory of a request that was received. Incomplete bodies are dropped if the budget has no
    /// room. Returns `None` if there is still none.
    pub(super) fn reserve_request(&self) -> Option<MemoryLease> {
        let lease = MemoryLease::new(&self.budget, MemoryUse::Request);
        while !lease.try_grow_to(REQUEST_MEMORY) {
            if !self.drop_body(|_, _| true) {
                return None;
            }
        }
        Some(lease)
    }

    /// Drops the incomplete body with the highest pressure. Returns false if there is none that may be dropped.
    fn drop_body(&self, may_drop: impl Fn(&PartialBody, BodyPressure) -> bool) -> bool {
        let connections = self.connections.borrow();
        let bodies = connections.values().filter_map(|client| client.partial_body());
        let candidates = bodies
            .filter(|body| body.size() > 0)
            .map(|body| (BodyPressure::new(body.size(), body.idle_time()), body))
            .filter(|(pressure, body)| may_drop(body, *pressure));
        let Some((_, body)) = candidates.max_by_key(|(pressure, _)| *pressure) else { return false };
        body.drop_bytes();
        true
    }
}
