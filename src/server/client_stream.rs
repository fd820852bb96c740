//! The byte stream of a client connection: reports traffic to the connection state and detects when the
//! client closes.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_rustls::server::TlsStream;

use super::connection_state::ClientState;
use super::head_buffer::HeadBuffer;
use crate::bounded_read::MAX_READ_SIZE;

/// Maximum time to wait for the client to close the connection after the last response. Closing a socket that
/// has unread bytes resets the connection, and the client would lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks for a client close while unread bytes keep the socket readable.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of bytes discarded per read.
const DISCARD_BUFFER_SIZE: usize = 32 * 1024;
/// Number of reads of discarded bytes after which other tasks run.
const MAX_DISCARDING_READS: u32 = 2;

/// A byte stream that can detect a client close without consuming unread bytes.
pub trait ClientIo: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Waits until the client has closed its side, as far as the stream can detect this.
    fn client_closed(&mut self) -> impl Future<Output = ()>;
}

impl ClientIo for TcpStream {
    async fn client_closed(&mut self) {
        loop {
            let Ok(ready) = self.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() || matches!(self.peek(&mut [0]).await, Ok(0) | Err(_)) {
                return;
            }
            sleep(CLOSE_POLL_INTERVAL).await;
        }
    }
}

impl ClientIo for TlsStream<TcpStream> {
    async fn client_closed(&mut self) {
        self.get_mut().0.client_closed().await;
    }
}

impl ClientIo for DuplexStream {
    /// Waits for the close. An in-memory pipe reports it only after its last byte, so unread bytes are
    /// consumed.
    async fn client_closed(&mut self) {
        let mut scratch = [0; 1_024];
        while self.read(&mut scratch).await.is_ok_and(|read| read > 0) {}
    }
}

/// The byte stream of a client connection, which reports its traffic to the connection state and holds
/// incomplete heads back.
pub struct ClientStream<I> {
    io: Rc<RefCell<I>>,
    state: Rc<ClientState>,
    head: HeadBuffer,
}

impl<I: ClientIo> ClientStream<I> {
    /// Wraps a byte stream.
    pub fn new(io: I, state: Rc<ClientState>) -> Self {
        let head = HeadBuffer::new(state.budget());
        ClientStream { io: Rc::new(RefCell::new(io)), state, head }
    }

    /// Returns a handle to the same connection, which remains usable after the stream was dropped.
    pub fn handle(&self) -> ClientHandle<I> {
        ClientHandle { io: self.io.clone(), state: self.state.clone() }
    }
}

/// A handle to a client connection, for what does not go through hyper.
pub struct ClientHandle<I> {
    io: Rc<RefCell<I>>,
    state: Rc<ClientState>,
}

impl<I: ClientIo> ClientHandle<I> {
    /// Waits for the client to close the connection between the end of its request and the response. hyper
    /// does not detect a close while it holds bytes that it has not parsed. The connection is closed after a
    /// response to a request with bytes behind it, so these are discarded. Must be polled in the task of the
    /// connection, as the end of the request does not wake it.
    pub async fn closed_after_request(&self) {
        poll_fn(|cx| self.poll_closed_after_request(cx)).await;
    }

    fn poll_closed_after_request(&self, cx: &mut Context<'_>) -> Poll<()> {
        let progress = self.state.progress();
        for _ in 0..MAX_DISCARDING_READS {
            if !progress.discards_bytes() {
                return Poll::Pending;
            }
            match self.poll_discard(cx) {
                Poll::Pending => {
                    progress.record_found_open();
                    return Poll::Pending;
                }
                Poll::Ready(0) => return Poll::Ready(()),
                Poll::Ready(discarded) => progress.record_discarded(discarded),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Shuts down the write side and waits until the client closes, the connection is evicted or a timeout
    /// expires. Nothing more is read: a request that arrives during the shutdown gets no response, so its
    /// client must be able to tell that it was never received. Must be called on the last remaining handle.
    pub async fn linger(self) {
        self.state.linger();
        let Some(io) = Rc::into_inner(self.io) else { return };
        let mut io = io.into_inner();
        let closed = async {
            let _ = io.shutdown().await;
            io.client_closed().await;
        };
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, closed) => {}
            () = self.state.evicted() => {}
        }
    }

    /// Reads and discards available bytes. Returns their number, which is 0 if the stream has ended or
    /// failed.
    fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<usize> {
        let mut scratch = [MaybeUninit::uninit(); DISCARD_BUFFER_SIZE];
        let mut buffer = ReadBuf::uninit(&mut scratch);
        let read = ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(if read.is_ok() { buffer.filled().len() } else { 0 })
    }
}

impl<I: AsyncRead + Unpin> ClientStream<I> {
    /// Reads bytes and passes them on, or holds them back if they belong to an incomplete head.
    fn poll_receive(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [MaybeUninit::uninit(); MAX_READ_SIZE];
        let size = MAX_READ_SIZE.min(buf.remaining());
        let mut received = ReadBuf::uninit(&mut scratch[..size]);
        ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut received))?;
        let bytes = received.filled();
        self.state.bytes_received(bytes);
        if self.state.is_head_incomplete() {
            self.head.append(bytes);
        } else if self.head.is_empty() {
            buf.put_slice(bytes);
            self.head.end_head();
        } else {
            self.head.append_rest(bytes);
            self.head.end_head();
        }
        Poll::Ready(Ok(()))
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for ClientStream<I> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        loop {
            if ready!(self.head.poll_pass_on(cx, buf)) {
                return Poll::Ready(Ok(()));
            }
            ready!(self.head.poll_reserve(cx));
            let held_back = self.head.length();
            ready!(self.poll_receive(cx, buf))?;
            let is_end = self.head.length() == held_back;
            if buf.filled().len() > before || is_end {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for ClientStream<I> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_write(cx, data)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream only when its own buffer is empty.
        let flushed = ready!(Pin::new(&mut *self.io.borrow_mut()).poll_flush(cx));
        if flushed.is_ok() {
            self.state.output_flushed();
        }
        Poll::Ready(flushed)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_shutdown(cx)
    }
}
