//! Holds an incomplete request head back from hyper.

use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::ReadBuf;

use super::connection_state::MAX_HEAD_SIZE;
use super::memory_budget::{MemoryBudget, MemoryLease, MemoryUse};
use crate::bounded_read::MAX_READ_SIZE;

/// Step in which the buffer grows, in bytes.
const GROWTH_STEP: usize = 1024;
/// Size of hyper's first read buffer, in bytes. hyper doubles it when less than this size is left. A buffer of
/// this size is part of the memory of any connection and is not taken from the budget.
const HYPER_BUFFER_SIZE: usize = 8 * 1024;

/// What happens to the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The head is incomplete.
    Held,
    /// The bytes are passed on as soon as there is memory for hyper's buffer.
    Complete,
    /// The bytes are being passed on.
    PassedOn,
}

/// The bytes of an incomplete head.
///
/// hyper doubles its first buffer for an incomplete head of any length. A head is therefore passed on to hyper
/// only when it is complete, and the memory for a long one is taken from the budget.
pub(super) struct HeadBuffer {
    budget: Rc<MemoryBudget>,
    /// Memory of `bytes` and, once they are passed on, of hyper's buffer for them. hyper keeps its buffer while
    /// the connection is open.
    lease: MemoryLease,
    bytes: Vec<u8>,
    /// Number of `bytes` that hyper has read.
    passed_on: usize,
    /// Number of bytes of the current head, with those that are not in `bytes` any more.
    head_length: usize,
    /// Whether hyper rejects the current head, which is therefore not held back.
    is_rejected: bool,
    stage: Stage,
}

impl HeadBuffer {
    /// Creates an empty buffer.
    pub(super) fn new(budget: &Rc<MemoryBudget>) -> Self {
        HeadBuffer {
            budget: budget.clone(),
            lease: MemoryLease::new(budget, MemoryUse::Head),
            bytes: Vec::new(),
            passed_on: 0,
            head_length: 0,
            is_rejected: false,
            stage: Stage::Held,
        }
    }

    /// Returns the number of bytes that are held back.
    pub(super) fn length(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Waits, if the head is incomplete, until there is memory for one more read.
    pub(super) fn poll_reserve(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_empty() {
            return Poll::Ready(());
        }
        let capacity = (self.bytes.len() + MAX_READ_SIZE).next_multiple_of(GROWTH_STEP);
        self.poll_grow_lease(cx, capacity)
    }

    /// Appends bytes of an incomplete head. They are passed on at once if hyper rejects the head wherever it
    /// ends.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        self.push(bytes);
        self.is_rejected |= self.is_invalid(bytes);
        if self.is_rejected {
            self.stage = Stage::Complete;
        }
    }

    /// Appends the rest of a head, with which it is passed on. The next bytes belong to another head.
    pub(super) fn append_rest(&mut self, bytes: &[u8]) {
        self.push(bytes);
        self.stage = Stage::Complete;
    }

    /// Records that the current head ended without bytes in this buffer.
    pub(super) fn end_head(&mut self) {
        self.head_length = 0;
        self.is_rejected = false;
    }

    fn push(&mut self, bytes: &[u8]) {
        let length = self.bytes.len() + bytes.len();
        if length > self.bytes.capacity() {
            let additional = length.next_multiple_of(GROWTH_STEP) - self.bytes.len();
            self.bytes.reserve_exact(additional);
        }
        self.bytes.extend_from_slice(bytes);
        self.head_length += bytes.len();
    }

    /// Returns whether hyper rejects the head wherever it ends, given the bytes that were appended last: because
    /// it is too long, or because it has bytes that no head has.
    fn is_invalid(&self, last: &[u8]) -> bool {
        let has_start = self.head_length == self.bytes.len();
        let starts_with_method = self.bytes.first().is_some_and(u8::is_ascii_alphabetic);
        let is_text = |byte: &u8| !byte.is_ascii_control() || byte.is_ascii_whitespace();
        self.head_length >= MAX_HEAD_SIZE || (has_start && !starts_with_method) || !last.iter().all(is_text)
    }

    /// Passes bytes on to hyper. Returns false if there are none to pass on.
    pub(super) fn poll_pass_on(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<bool> {
        if self.stage == Stage::Complete {
            let length = self.head_length.max(self.bytes.len());
            ready!(self.poll_grow_lease(cx, hyper_buffer_size(length)));
            self.stage = Stage::PassedOn;
        }
        if self.stage == Stage::Held {
            return Poll::Ready(false);
        }
        let rest = &self.bytes[self.passed_on..];
        let length = rest.len().min(buf.remaining()).min(MAX_READ_SIZE);
        buf.put_slice(&rest[..length]);
        self.passed_on += length;
        if self.passed_on == self.bytes.len() {
            self.bytes = Vec::new();
            self.passed_on = 0;
            self.stage = Stage::Held;
        }
        Poll::Ready(true)
    }

    fn poll_grow_lease(&self, cx: &mut Context<'_>, size: usize) -> Poll<()> {
        if size <= HYPER_BUFFER_SIZE || self.lease.try_grow_to(size) {
            return Poll::Ready(());
        }
        self.budget.wake_on_release(cx.waker());
        Poll::Pending
    }
}

/// Returns the size of hyper's buffer for a head of this length.
fn hyper_buffer_size(length: usize) -> usize {
    if length <= HYPER_BUFFER_SIZE {
        return HYPER_BUFFER_SIZE;
    }
    (length + HYPER_BUFFER_SIZE).next_power_of_two().min(MAX_HEAD_SIZE)
}
