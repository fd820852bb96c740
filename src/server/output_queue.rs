//! Response data that hyper has taken and not written yet.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Number of bytes that hyper may hold for a slow client before it gets no more. hyper itself would take as many
/// as its read buffer may have.
const MAX_UNWRITTEN: usize = 4 * 1024;

/// The number of bytes that hyper holds of a streamed response, and who waits for it to write them.
#[derive(Default)]
pub(super) struct OutputQueue {
    unwritten: Cell<usize>,
    waiting: RefCell<Option<Waker>>,
}

impl OutputQueue {
    /// Waits until hyper may take more data.
    pub(super) fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.unwritten.get() < MAX_UNWRITTEN {
            return Poll::Ready(());
        }
        self.waiting.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Records data that hyper takes.
    pub(super) fn queued(&self, bytes: usize) {
        self.unwritten.set(self.unwritten.get() + bytes);
    }

    /// Records that hyper has written everything.
    pub(super) fn flushed(&self) {
        self.unwritten.set(0);
        if let Some(waiting) = self.waiting.take() {
            waiting.wake();
        }
    }
}
