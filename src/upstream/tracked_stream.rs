//! The socket of a connection to an endpoint, which follows what is written to it and read from it.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::bounded_read::poll_bounded_read;
use crate::upstream::response_scanner::{ResponseScanner, ResponseTooLarge};
use crate::upstream::write_progress::WriteProgress;

/// A socket that records when a body passed to hyper has been flushed, and fails when a response is too
/// large.
pub(super) struct TrackedStream {
    socket: TcpStream,
    progress: WriteProgress,
    scanner: Rc<RefCell<ResponseScanner>>,
}

impl TrackedStream {
    /// Creates a stream that records the flushes of `socket` in `progress` and checks what it receives with
    /// `scanner`.
    pub(super) fn new(
        socket: TcpStream, progress: WriteProgress, scanner: Rc<RefCell<ResponseScanner>>,
    ) -> Self {
        TrackedStream { socket, progress, scanner }
    }
}

impl AsyncRead for TrackedStream {
    /// Reads bytes without chunk extensions, up to the first byte that shows that the response is too large,
    /// where the stream fails.
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.scanner.borrow().is_too_large() {
            return Poll::Ready(Err(too_large()));
        }
        let before = buf.filled().len();
        loop {
            ready!(poll_bounded_read(Pin::new(&mut self.socket), cx, buf))?;
            let received = &mut buf.filled_mut()[before..];
            if received.is_empty() {
                return Poll::Ready(Ok(()));
            }
            let left = match self.scanner.borrow_mut().scan(received) {
                Err(ResponseTooLarge { valid_bytes: 0 }) => return Poll::Ready(Err(too_large())),
                Ok(left) | Err(ResponseTooLarge { valid_bytes: left }) => left,
            };
            buf.set_filled(before + left);
            // Without any byte left, the read would be taken for the end of the stream.
            if left > 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.progress.mark_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

fn too_large() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, ResponseTooLarge { valid_bytes: 0 })
}
