//! A client's byte stream, whose traffic the connection's state follows.

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

/// How long a connection stays after its last answer: closed over unread bytes, it would be reset and the answer lost.
const LINGER: Duration = Duration::from_secs(2);
/// Between looks for the client's close behind bytes that are left unread.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Between reads of what nobody wants, so that it does not use up the core.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);
/// Read at once of what nobody wants.
const SCRATCH: usize = 32 * 1024;

/// A byte stream that shows its client's close without taking what is unread.
pub trait ClientIo: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Waits until the client has closed its side, as far as that shows.
    fn client_closed(&mut self) -> impl Future<Output = ()>;
}

impl ClientIo for TcpStream {
    async fn client_closed(&mut self) {
        loop {
            let Ok(ready) = self.ready(Interest::READABLE).await else { return };
            if ready.is_read_closed() || matches!(self.peek(&mut [0]).await, Ok(0) | Err(_)) {
                return;
            }
            sleep(LOOK_AGAIN).await;
        }
    }
}

impl ClientIo for TlsStream<TcpStream> {
    async fn client_closed(&mut self) {
        self.get_mut().0.client_closed().await;
    }
}

impl ClientIo for DuplexStream {
    /// A pipe in memory shows its end only behind its last byte.
    async fn client_closed(&mut self) {
        let mut scratch = [0; 1_024];
        while self.read(&mut scratch).await.is_ok_and(|read| read > 0) {}
    }
}

/// A client's byte stream; it outlives the library's use of it.
pub struct ClientStream<I> {
    io: Rc<RefCell<I>>,
    state: Rc<ClientState>,
}

impl<I: ClientIo> ClientStream<I> {
    /// Follows a stream.
    pub fn new(io: I, state: Rc<ClientState>) -> Self {
        ClientStream { io: Rc::new(RefCell::new(io)), state }
    }

    /// A second handle.
    pub fn handle(&self) -> Self {
        ClientStream { io: self.io.clone(), state: self.state.clone() }
    }

    /// Waits for the client's close behind what it sent beyond its open request. The library reads no further there,
    /// and the connection ends with the answer, so the bytes are discarded.
    pub async fn closed_behind_request(&self) {
        let next = |cx: &mut Context<'_>| {
            if self.state.overran() { self.poll_discard(cx) } else { Poll::Pending }
        };
        while poll_fn(next).await {
            sleep(DISCARD_PAUSE).await;
        }
    }

    /// Ends the sending side and stays for a while, until the client closes or others need the room. Nothing more is
    /// read: what crosses the end gets no answer, so its client has to see that it was not taken. This has to be the
    /// last handle.
    pub async fn leave(self) {
        self.state.leaves();
        let Some(io) = Rc::into_inner(self.io) else { return };
        let mut io = io.into_inner();
        let last = async {
            let _ = io.shutdown().await;
            io.client_closed().await;
        };
        tokio::select! {
            _ = timeout(LINGER, last) => {}
            () = self.state.evicted() => {}
        }
    }

    /// Reads past what came; false at the end.
    fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<bool> {
        let mut scratch = [MaybeUninit::uninit(); SCRATCH];
        let mut buffer = ReadBuf::uninit(&mut scratch);
        let read = ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(read.is_ok() && !buffer.filled().is_empty())
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for ClientStream<I> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, buf))?;
        self.state.received(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
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
        // The library gets here only once its own buffer is empty.
        let flushed = ready!(Pin::new(&mut *self.io.borrow_mut()).poll_flush(cx));
        if flushed.is_ok() {
            self.state.flushed();
        }
        Poll::Ready(flushed)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_shutdown(cx)
    }
}
