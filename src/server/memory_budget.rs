//! The memory that the clients of one API may fill.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

/// Memory of an open connection, in bytes: its task, hyper's first two buffers and the buffer of a short head.
pub const CONNECTION_MEMORY: usize = 24 * 1024;
/// Memory of an accepted request, in bytes: its task, a connection to an endpoint and the part of an answer that
/// waits for a slow client.
pub const REQUEST_MEMORY: usize = 40 * 1024;
/// Percentage of the budget that long heads may use.
const HEADS_PERCENT: usize = 25;

/// What a part of the budget is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryUse {
    /// Open connections.
    Connection,
    /// Buffers of long request heads.
    Head,
    /// Request bodies, from their first byte until their request is answered or its stream has started.
    Body,
    /// Accepted requests, until their answers end.
    Request,
}

/// A limit on the memory that clients may fill, in bytes, and what is used of it.
#[derive(Debug, Default)]
pub(super) struct MemoryBudget {
    limit: usize,
    connections: Cell<usize>,
    heads: Cell<usize>,
    bodies: Cell<usize>,
    requests: Cell<usize>,
    /// Tasks that wait for memory.
    waiting: RefCell<Vec<Waker>>,
}

impl MemoryBudget {
    /// Creates an unused budget.
    pub(super) fn new(limit: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { limit, ..MemoryBudget::default() })
    }

    /// Returns the number of bytes used.
    pub(super) fn used(&self, memory_use: MemoryUse) -> usize {
        self.counter(memory_use).get()
    }

    /// Wakes a task when memory is next returned to the budget.
    pub(super) fn wake_on_release(&self, waker: &Waker) {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waiter| waiter.will_wake(waker)) {
            waiting.push(waker.clone());
        }
    }

    fn wake_waiting(&self) {
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    fn has_room(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        let counters = [&self.connections, &self.heads, &self.bodies, &self.requests];
        let total = counters.into_iter().map(Cell::get).sum::<usize>() + bytes;
        let fits_heads = self.heads.get() + bytes <= self.limit * HEADS_PERCENT / 100;
        total <= self.limit && (memory_use != MemoryUse::Head || fits_heads)
    }

    fn counter(&self, memory_use: MemoryUse) -> &Cell<usize> {
        match memory_use {
            MemoryUse::Connection => &self.connections,
            MemoryUse::Head => &self.heads,
            MemoryUse::Body => &self.bodies,
            MemoryUse::Request => &self.requests,
        }
    }
}

/// A part of the budget, returned on drop.
#[derive(Debug)]
pub(super) struct MemoryLease {
    budget: Rc<MemoryBudget>,
    memory_use: MemoryUse,
    bytes: Cell<usize>,
}

impl MemoryLease {
    /// Creates a lease of no bytes.
    pub(super) fn new(budget: &Rc<MemoryBudget>, memory_use: MemoryUse) -> Self {
        MemoryLease { budget: budget.clone(), memory_use, bytes: Cell::new(0) }
    }

    /// Returns the number of bytes leased.
    pub(super) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Grows the lease to `bytes`. Returns false and leases nothing more if the budget has no room for it.
    pub(super) fn try_grow_to(&self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes.get());
        if more > 0 && !self.budget.has_room(self.memory_use, more) {
            return false;
        }
        self.add(more);
        true
    }

    /// Leases the memory of a connection that was accepted, which may exceed the budget.
    pub(super) fn of_connection(budget: &Rc<MemoryBudget>) -> Self {
        let lease = MemoryLease::new(budget, MemoryUse::Connection);
        lease.add(CONNECTION_MEMORY);
        lease
    }

    fn add(&self, bytes: usize) {
        let counter = self.budget.counter(self.memory_use);
        counter.set(counter.get() + bytes);
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Returns all bytes to the budget.
    pub(super) fn release(&self) {
        let counter = self.budget.counter(self.memory_use);
        let released = self.bytes.take();
        if released > 0 {
            counter.set(counter.get() - released);
            self.budget.wake_waiting();
        }
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.release();
    }
}
