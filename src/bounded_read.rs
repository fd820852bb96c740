//! Reads of a bounded size, which keep the read buffers of hyper small.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

/// Maximum number of bytes per read. hyper doubles the buffer of a connection after a read that fills it, and
/// keeps it for as long as the connection is open. Its first buffer has twice this size.
pub(crate) const MAX_READ_SIZE: usize = 4 * 1024;

/// Reads at most [`MAX_READ_SIZE`] bytes from `io` into `buf`.
pub(crate) fn poll_bounded_read(
    io: Pin<&mut impl AsyncRead>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let mut scratch = [MaybeUninit::uninit(); MAX_READ_SIZE];
    let size = MAX_READ_SIZE.min(buf.remaining());
    let mut bounded = ReadBuf::uninit(&mut scratch[..size]);
    ready!(io.poll_read(cx, &mut bounded))?;
    buf.put_slice(bounded.filled());
    Poll::Ready(Ok(()))
}
