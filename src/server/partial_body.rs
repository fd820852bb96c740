//! The body of a request while it arrives.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::memory_budget::{MemoryBudget, MemoryLease, MemoryUse};
use crate::upstream::request_body::RequestBody;

/// Size of the pieces in which a body is stored, in bytes. Memory is taken for what has arrived, not for what the
/// head announces, and pieces of one size leave no gaps that only smaller ones fit into.
const PIECE_SIZE: usize = 4 * 1024;

/// Whether the bytes of a body are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Retention {
    /// All bytes received so far are in the buffer.
    Kept,
    /// The bytes are not needed, as the request is rejected for another reason.
    NotNeeded,
    /// The bytes were dropped for lack of memory.
    Dropped,
}

/// The body of a request while it arrives. Its connection has a handle to it, so that the bytes can be dropped
/// at once to make room for those of other connections.
pub(super) struct PartialBody {
    pieces: RefCell<Vec<Vec<u8>>>,
    lease: MemoryLease,
    retention: Cell<Retention>,
    last_received: Cell<Instant>,
    abandoned: Notify,
}

impl PartialBody {
    /// Creates an empty body.
    pub(super) fn new(budget: &Rc<MemoryBudget>, retention: Retention) -> Rc<Self> {
        Rc::new(PartialBody {
            pieces: RefCell::default(),
            lease: MemoryLease::new(budget, MemoryUse::Body),
            retention: Cell::new(retention),
            last_received: Cell::new(Instant::now()),
            abandoned: Notify::new(),
        })
    }

    /// Returns the memory of the pieces, in bytes.
    pub(super) fn size(&self) -> usize {
        self.lease.bytes()
    }

    /// Returns the time since bytes were last received.
    pub(super) fn idle_time(&self) -> Duration {
        self.last_received.get().elapsed()
    }

    /// Returns whether the bytes are kept.
    pub(super) fn retention(&self) -> Retention {
        self.retention.get()
    }

    /// Records that bytes were received.
    pub(super) fn record_received(&self) {
        self.last_received.set(Instant::now());
    }

    /// Returns the memory that is needed to append `more` bytes, in bytes.
    pub(super) fn size_with(&self, more: usize) -> usize {
        let free = self.pieces.borrow().last().map_or(0, |last| last.capacity() - last.len());
        self.size() + more.saturating_sub(free).next_multiple_of(PIECE_SIZE)
    }

    /// Leases memory of `size` bytes. Returns false if the budget has no room for it.
    pub(super) fn try_grow_to(&self, size: usize) -> bool {
        self.lease.try_grow_to(size)
    }

    /// Appends bytes, for which memory has been leased.
    pub(super) fn append(&self, mut data: &[u8]) {
        let mut pieces = self.pieces.borrow_mut();
        while !data.is_empty() {
            let free = pieces.last().map_or(0, |last| last.capacity() - last.len());
            if free == 0 {
                pieces.push(Vec::with_capacity(PIECE_SIZE));
                continue;
            }
            let (fitting, rest) = data.split_at(free.min(data.len()));
            if let Some(last) = pieces.last_mut() {
                last.extend_from_slice(fitting);
            }
            data = rest;
        }
    }

    /// Drops the bytes and returns their memory to the budget. The rest of the body is not kept either.
    pub(super) fn drop_bytes(&self) {
        if self.retention.get() == Retention::Kept {
            self.retention.set(Retention::Dropped);
        }
        self.pieces.take();
        self.lease.release();
    }

    /// Drops the bytes and ends the wait for the rest of the body.
    pub(super) fn abandon(&self) {
        self.drop_bytes();
        self.abandoned.notify_one();
    }

    /// Waits until the body is abandoned.
    pub(super) async fn abandoned(&self) {
        self.abandoned.notified().await;
    }

    /// Returns the complete body and the lease of its memory.
    pub(super) fn into_complete(self) -> (RequestBody, MemoryLease) {
        let pieces = self.pieces.into_inner().into_iter().map(Bytes::from);
        (pieces.collect(), self.lease)
    }
}
