//! Tracks how much of a request has been written. If the last byte was not written, the endpoint cannot have
//! executed the request.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::upstream::request_body::RequestBody;

/// How far the last byte of a request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteState {
    /// The body has not been passed to hyper.
    #[default]
    Pending,
    /// The last byte is in hyper's write buffer.
    Buffered,
    /// The buffer with the last byte has been flushed to the socket.
    Flushed,
}

/// Tracks whether the last byte of a connection's current request has been written to the socket.
///
/// Clones share the same state, which the request body and the socket update and the attempt reads.
#[derive(Clone, Default)]
pub struct WriteProgress(Rc<Cell<WriteState>>);

impl WriteProgress {
    /// Returns whether the last byte has been written to the socket.
    pub fn is_flushed(&self) -> bool {
        self.0.get() == WriteState::Flushed
    }

    /// Resets the state for the next request on the same connection.
    fn reset(&self) {
        self.0.set(WriteState::Pending);
    }

    fn mark_buffered(&self) {
        self.0.set(WriteState::Buffered);
    }

    /// Records a flush of the socket. hyper flushes the socket only when its own buffer is empty, so a flush
    /// after the body was passed to it means that the last byte has been written.
    pub(super) fn mark_flushed(&self) {
        if self.0.get() == WriteState::Buffered {
            self.0.set(WriteState::Flushed);
        }
    }
}

/// A request body that records when all of it has been passed to hyper.
pub struct TrackedBody {
    body: RequestBody,
    /// Number of pieces that have been passed to hyper.
    passed: usize,
    /// Number of bytes that have not been passed to hyper.
    remaining: usize,
    progress: WriteProgress,
}

impl TrackedBody {
    /// Creates the body of the next request on the connection that `progress` belongs to.
    pub(super) fn new(body: RequestBody, progress: WriteProgress) -> Self {
        progress.reset();
        let remaining = body.length();
        TrackedBody { body, passed: 0, remaining, progress }
    }

    /// Returns the write progress of this body.
    pub fn progress(&self) -> WriteProgress {
        self.progress.clone()
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.body.piece(self.passed).cloned();
        self.passed += 1;
        self.remaining -= piece.as_ref().map_or(0, Bytes::len);
        if self.remaining == 0 {
            self.progress.mark_buffered();
        }
        Poll::Ready(piece.map(|data| Ok(Frame::data(data))))
    }

    /// hyper asks this when it writes the head, and asks an empty body for nothing else: the request then ends
    /// with its head.
    fn is_end_stream(&self) -> bool {
        let is_end = self.remaining == 0;
        if is_end {
            self.progress.mark_buffered();
        }
        is_end
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}
