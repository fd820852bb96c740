//! Fronts: each reads requests in its own protocol and puts answers into its own words.

pub mod chat_api;
pub mod client_stream;
pub mod close_reason;
pub mod connection;
pub mod connection_limits;
pub mod connection_state;
pub mod platform_api;
pub mod request_body;
pub mod spiffe;

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::metrics::Counters;
use crate::request::lifecycle::{Responder, RoutedResponse, run_request};
use crate::request::relay::{StreamBroken, StreamChunk};
use crate::routing_context::RoutingContext;
use crate::scheduler::{Capabilities, Micros, RequestSpec};
use crate::shutdown::Shutdown;
use crate::upstream::exchange::RequestPayload;
use connection::serve_connection;
use connection_limits::{BodyAllocation, ConnectionLimiter};
use connection_state::{ClientState, HEAD_TIME};
use spiffe::{ClientIdentity, IdentityVerifier};

/// Buffer of a client's connection; heads that are longer are refused.
pub const BUFFER: usize = 32 * 1024;

/// Between tries to accept a connection that the system fails to hand over.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// When a client that found no room should come back, where the settings name no shorter time.
const SHED_WAIT: Micros = 1_000_000;

/// What a client that found no room is told: a time to come back only where the settings allow one.
fn shed_wait(limits: &Capabilities) -> Option<Micros> {
    limits.max_retry_after.map(|longest| longest.min(SHED_WAIT))
}

/// Whether a request that has just been read must be refused: more clients are connected than are served, or the
/// process
/// is about to end.
fn takes_nothing_new(intake: &ConnectionLimiter, shutdown: &Shutdown) -> bool {
    intake.over_limit() || shutdown.rejects_requests()
}

/// Tells a client when to come back, in seconds, if it is to be told at all.
fn set_retry_after(headers: &mut HeaderMap, retry_after: Option<Micros>) {
    let seconds = retry_after.map(|micros| (micros as f64 / 1e6).to_string());
    if let Some(seconds) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        headers.insert(RETRY_AFTER, seconds);
    }
}

/// A front's answer: whole, or a stream.
pub type ServerResponse = Response<Either<Full<Bytes>, StreamBody>>;

/// Answers the requests of one connection in a protocol of its own.
pub trait RequestHandler: Clone + 'static {
    /// What is counted for this front.
    fn counters(&self) -> Rc<Counters>;

    /// Answers one request. Dropping the future means that the client has left.
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = ServerResponse>;
}

/// A stream's body: pieces as they come, cut off where the stream broke.
pub struct StreamBody {
    pieces: mpsc::Receiver<StreamChunk>,
    client: Option<Rc<ClientState>>,
}

impl StreamBody {
    /// The body for a stream.
    pub fn new(pieces: mpsc::Receiver<StreamChunk>) -> Self {
        StreamBody { pieces, client: None }
    }

    /// The whole of it in one piece.
    pub async fn whole(mut self) -> Result<Bytes, StreamBroken> {
        let mut text = BytesMut::new();
        while let Some(piece) = self.pieces.recv().await {
            text.extend_from_slice(&piece?);
        }
        Ok(text.freeze())
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.client.iter().for_each(|client| client.answer_ends());
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        self.pieces.poll_recv(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
    }
}

/// Starts a request's life, with the room of its body and what it keeps until its end. It has a task of its own: a
/// front's future is dropped when the client leaves, and the request still has to be withdrawn and let go of.
pub fn begin<K: 'static>(
    core: &RoutingContext, ask: RequestSpec, payload: (RequestPayload, BodyAllocation), keep: K,
) -> oneshot::Receiver<RoutedResponse> {
    let (caller, answer) = Responder::new();
    let core = core.clone();
    spawn_local(async move {
        run_request(core, ask, payload, caller).await;
        drop(keep);
    });
    answer
}

/// Serves connections until no more are to be taken. With `tls` each client must prove its identity first.
pub async fn serve<F: RequestHandler>(
    listener: TcpListener, tls: Option<IdentityVerifier>, intake: Rc<ConnectionLimiter>, shutdown: Shutdown,
    front: impl Fn(ClientIdentity) -> F + Clone + 'static,
) {
    let open = shutdown.guard();
    let start = |socket| start_connection(socket, &tls, &intake, &shutdown, &front);
    loop {
        let accepted = tokio::select! {
            biased;
            () = shutdown.wait_closed() => break,
            accepted = next_connection(&listener, &intake) => accepted,
        };
        match accepted {
            Ok(socket) => start(socket),
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
    // What the system has taken so far is served too; its close refuses the rest.
    let Ok(listener) = listener.into_std() else { return };
    while !intake.is_full()
        && let Ok((socket, _)) = listener.accept()
    {
        let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
        socket.into_iter().for_each(start);
    }
    drop(listener);
    drop(open);
}

/// The next connection, once there is room to take one.
async fn next_connection(listener: &TcpListener, intake: &ConnectionLimiter) -> io::Result<TcpStream> {
    // Past all limits clients wait in the system's queue.
    intake.wait_for_capacity().await;
    listener.accept().await.map(|(socket, _)| socket)
}

/// Starts to serve a connection; it has a place among the others from now on.
fn start_connection<F: RequestHandler>(
    socket: TcpStream, tls: &Option<IdentityVerifier>, intake: &Rc<ConnectionLimiter>, shutdown: &Shutdown,
    front: &(impl Fn(ClientIdentity) -> F + Clone + 'static),
) {
    let _ = socket.set_nodelay(true);
    let (place, pending) = (intake.register(), shutdown.guard());
    let Some(identities) = tls else {
        let front = front(ClientIdentity::Unverified);
        spawn_local(serve_connection(socket, front, shutdown.clone(), (place, pending)));
        return;
    };
    let (identities, front, shutdown) = (identities.clone(), front.clone(), shutdown.clone());
    spawn_local(async move {
        let proven = tokio::select! {
            proven = timeout(HEAD_TIME, identities.verify(socket)) => proven,
            () = place.client.evicted() => return,
        };
        match proven {
            Ok(Ok(client)) => {
                serve_connection(client.stream, front(client.identity), shutdown, (place, pending)).await;
            }
            Ok(Err(error)) => {
                tracing::warn!(%error, "client did not prove its identity");
            }
            Err(_) => tracing::warn!("client did not prove its identity in time"),
        }
    });
}
