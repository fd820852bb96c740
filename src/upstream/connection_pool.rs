//! Connections to endpoints: opened as needed, one request at a time on each, kept while fresh.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::metrics::Counters;
use crate::scheduler::{EndpointId, Role};

/// Longest that a connection stands idle before it is closed, whatever the settings say: machines have been seen to
/// close theirs after 4 s where the settings say 30, and a request that crosses the close ends as a reset.
const IDLE_LONGEST: Duration = Duration::from_secs(2);
/// For which a connection must have been quiet before it is used again: within this a close right after an answer, or
/// bytes behind it that belong to no request, have shown.
const SETTLED: Duration = Duration::from_millis(100);
/// For which a connection is trusted to reach its endpoint after the last answer on it. Machines vanish without a word,
/// and what is sent to them has not arrived.
const TRUSTED: Duration = Duration::from_millis(250);
/// Idle connections kept for each endpoint: a usual burst to one, far under its limit.
const IDLE_MOST: usize = 24;
/// Read buffer of a connection; events are far smaller. With the pieces that wait for a slow reader it bounds what
/// one stream may hold.
const BUFFER: usize = 16 * 1024;

/// Between tries of a connection that this machine fails to make.
const LOCAL_RETRY: Duration = Duration::from_millis(10);

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The endpoint refused it, or it did not come up in time.
    #[error("the endpoint cannot be reached")]
    Endpoint,
    /// This machine could not make it: it has no socket, no room or no route for it. The endpoint is not to blame.
    #[error("this machine cannot open a connection")]
    Local,
}

/// Whether a connect failed by an answer, or the want of one, from the other side.
fn by_other_side(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset, HostUnreachable, TimedOut};
    matches!(
        error.kind(),
        ConnectionAborted | ConnectionRefused | ConnectionReset | HostUnreachable | TimedOut
    )
}

/// What the pool may use.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// A connection not made within this is none.
    pub connect_timeout: Duration,
    /// A connection idle for longer is not used again: the endpoint is about to close it.
    pub idle_timeout: Duration,
    /// Most connections at once.
    pub max_connections: usize,
}

/// Where an endpoint listens and what it does.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointAddress {
    /// Its address.
    pub addr: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Whether it may be sent new work.
    pub ready: bool,
}

#[derive(Default)]
struct EndpointConnections {
    site: Option<EndpointAddress>,
    idle: Vec<Connection>,
    heard: Option<Instant>,
}

/// How far a request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Written {
    #[default]
    No,
    /// The last byte was handed to the connection's buffer.
    Handed,
    /// The buffer with the last byte was flushed to the socket.
    Yes,
}

/// Tells whether a request's last byte has been written to the socket.
#[derive(Clone, Default)]
pub struct WriteProgress(Rc<Cell<Written>>);

impl WriteProgress {
    /// Whether the last byte was written.
    pub fn written(&self) -> bool {
        self.0.get() == Written::Yes
    }
}

/// A request body in one piece that marks when it has been handed over.
pub struct TrackedBody {
    data: Option<Bytes>,
    mark: WriteProgress,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.mark.0.set(Written::Handed);
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |d| d.len() as u64))
    }
}

/// A socket that notes when a handed-over body has left the library's buffer: hyper flushes the socket only
/// once its own buffer is empty. An attempt whose last byte was never written is known never to have run.
struct TrackedStream {
    socket: TcpStream,
    mark: WriteProgress,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
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
        if matches!(flushed, Poll::Ready(Ok(()))) && self.mark.0.get() == Written::Handed {
            self.mark.0.set(Written::Yes);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// One connection to an endpoint. Dropping it closes the socket at once.
pub struct Connection {
    sender: SendRequest<TrackedBody>,
    mark: WriteProgress,
    driver: AbortHandle,
    since: Instant,
    fresh: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// A body for the next request on this connection, and the mark that tells when it is written.
    pub fn body(&self, data: Bytes) -> (TrackedBody, WriteProgress) {
        self.mark.0.set(Written::No);
        (
            TrackedBody { data: Some(data).filter(|d| !d.is_empty()), mark: self.mark.clone() },
            self.mark.clone(),
        )
    }

    /// The sending half.
    pub fn sender(&mut self) -> &mut SendRequest<TrackedBody> {
        &mut self.sender
    }

    /// Whether it was opened for the present request.
    pub fn fresh(&self) -> bool {
        self.fresh
    }
}

/// Connects; what this machine fails to do for a moment is tried again.
async fn connect(addr: SocketAddr, waits_for: &Cell<ConnectError>) -> Result<TcpStream, ConnectError> {
    loop {
        waits_for.set(ConnectError::Endpoint);
        match TcpStream::connect(addr).await {
            Ok(socket) => return Ok(socket),
            Err(error) if by_other_side(&error) => return Err(ConnectError::Endpoint),
            Err(error) => {
                tracing::debug!(address = %addr, %error, "cannot open a connection from this machine");
                waits_for.set(ConnectError::Local);
                sleep(LOCAL_RETRY).await;
            }
        }
    }
}

/// All connections to one fleet.
pub struct ConnectionPool {
    by_endpoint: RefCell<BTreeMap<EndpointId, EndpointConnections>>,
    limits: PoolLimits,
    room: Arc<Semaphore>,
    counters: Rc<Counters>,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(mut limits: PoolLimits, counters: Rc<Counters>) -> Self {
        limits.idle_timeout = limits.idle_timeout.min(IDLE_LONGEST);
        let room = Arc::new(Semaphore::new(limits.max_connections));
        ConnectionPool { by_endpoint: RefCell::default(), limits, room, counters }
    }

    /// Takes in where an endpoint listens, or that it is gone. A new address makes old connections useless.
    pub fn set_address(&self, endpoint: EndpointId, site: Option<EndpointAddress>) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let Some(site) = site else { return drop(by_endpoint.remove(&endpoint)) };
        let entry = by_endpoint.entry(endpoint).or_default();
        if entry.site.as_ref().is_none_or(|old| old.addr != site.addr) {
            entry.idle.clear();
        }
        entry.site = Some(site);
    }

    /// Where an endpoint listens.
    pub fn address(&self, endpoint: EndpointId) -> Option<EndpointAddress> {
        self.by_endpoint.borrow().get(&endpoint)?.site.clone()
    }

    /// The endpoints known.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        self.by_endpoint.borrow().keys().copied().collect()
    }

    /// Ready endpoints, the by_reachability to answer first: those with a connection at hand, last heard from first.
    pub fn by_reachability(&self) -> Vec<EndpointId> {
        let by_endpoint = self.by_endpoint.borrow();
        let ready = by_endpoint.iter().filter(|(_, s)| s.site.as_ref().is_some_and(|site| site.ready));
        let mut endpoints: Vec<_> = ready.map(|(&id, s)| (s.idle.is_empty(), s.heard, id)).collect();
        endpoints.sort_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
        endpoints.into_iter().map(|(_, _, id)| id).collect()
    }

    /// A connection to the endpoint: an idle one that still stands, else a new one.
    pub async fn connection(&self, endpoint: EndpointId) -> Result<Connection, ConnectError> {
        self.connection_heard_within(endpoint, self.limits.idle_timeout).await
    }

    /// A connection on which what is sent arrives, as far as can be known: one that answered just now, else a new one,
    /// whose handshake is an answer too.
    pub async fn verified_connection(&self, endpoint: EndpointId) -> Result<Connection, ConnectError> {
        self.connection_heard_within(endpoint, TRUSTED).await
    }

    async fn connection_heard_within(
        &self, endpoint: EndpointId, within: Duration,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut kept) = self.take_idle(endpoint, within) {
            // Guards against a connection that the endpoint has closed: the driver knows at once.
            if kept.sender.ready().await.is_ok() {
                self.counters.connections_reused.increment();
                kept.fresh = false;
                return Ok(kept);
            }
        }
        let addr = self.address(endpoint).ok_or(ConnectError::Endpoint)?.addr;
        // Whom it waits for, and so who is to blame if the wait takes too long.
        let waits_for = Cell::new(ConnectError::Local);
        let opened = timeout(self.limits.connect_timeout, self.open(addr, &waits_for)).await;
        opened.unwrap_or(Err(waits_for.get()))
    }

    fn take_idle(&self, endpoint: EndpointId, within: Duration) -> Option<Connection> {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let idle = &mut by_endpoint.get_mut(&endpoint)?.idle;
        idle.retain(|c| c.since.elapsed() < self.limits.idle_timeout && !c.sender.is_closed());
        let settled = idle.iter().rposition(|c| (SETTLED..=within).contains(&c.since.elapsed()))?;
        Some(idle.remove(settled))
    }

    async fn open(
        &self, addr: SocketAddr, waits_for: &Cell<ConnectError>,
    ) -> Result<Connection, ConnectError> {
        let permit = self.permit().await?;
        let socket = connect(addr, waits_for).await?;
        let _ = socket.set_nodelay(true);
        let mark = WriteProgress::default();
        let io = TokioIo::new(TrackedStream { socket, mark: mark.clone() });
        let made = http1::Builder::new().max_buf_size(BUFFER).handshake(io).await;
        let (sender, connection) = made.map_err(|_| ConnectError::Endpoint)?;
        self.counters.connections_opened.increment();
        let driver = tokio::task::spawn_local(async move {
            let _permit: OwnedSemaphorePermit = permit;
            // Its end shows at the request that used it.
            let _ = connection.await;
        });
        Ok(Connection { sender, mark, driver: driver.abort_handle(), since: Instant::now(), fresh: true })
    }

    /// Room for one more connection, made by closing the oldest idle one if need be.
    async fn permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if let Ok(permit) = self.room.clone().try_acquire_owned() {
            return Ok(permit);
        }
        let oldest = {
            let mut by_endpoint = self.by_endpoint.borrow_mut();
            let idle = by_endpoint.values_mut().filter(|s| !s.idle.is_empty());
            idle.min_by_key(|s| s.idle[0].since).map(|s| s.idle.remove(0))
        };
        drop(oldest);
        self.room.clone().acquire_owned().await.map_err(|_| ConnectError::Local)
    }

    /// Keeps a connection on which an exchange has ended whole.
    pub fn put_back(&self, endpoint: EndpointId, mut connection: Connection) {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let Some(entry) = by_endpoint.get_mut(&endpoint) else { return };
        let now = Instant::now();
        entry.heard = Some(now);
        if !connection.sender.is_closed() && entry.site.is_some() && entry.idle.len() < IDLE_MOST {
            connection.since = now;
            entry.idle.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(entry) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            entry.idle.clear();
        }
    }

    /// Forgets when the endpoint was last heard: something there went silent, and its idle connections may be dead.
    pub fn invalidate(&self, endpoint: EndpointId) {
        if let Some(entry) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            entry.idle.clear();
            entry.heard = None;
        }
    }

    /// Something at the endpoint has been silent since then. Unless another exchange was heard meanwhile, its idle
    /// connections may be as dead.
    pub fn invalidate_if_unheard_since(&self, endpoint: EndpointId, since: Instant) {
        let heard = self.by_endpoint.borrow().get(&endpoint).and_then(|s| s.heard);
        if heard.is_none_or(|at| at < since) {
            self.invalidate(endpoint);
        }
    }

    /// Closes what has stood idle too long, for ever.
    pub async fn run_idle_eviction(&self) {
        loop {
            tokio::time::sleep(self.limits.idle_timeout / 8).await;
            for entry in self.by_endpoint.borrow_mut().values_mut() {
                entry.idle.retain(|c| c.since.elapsed() < self.limits.idle_timeout && !c.sender.is_closed());
            }
        }
    }
}
