//! Accept loop, TLS handshake and the start of connection tasks.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::connection::{ConnectionGuard, serve_connection};
use super::connection_limits::ConnectionLimiter;
use super::connection_stage::HEAD_TIMEOUT;
use super::handler::RequestHandler;
use super::spiffe::{ClientIdentity, IdentityVerifier};
use crate::shutdown::Shutdown;

/// Delay before accepting again after a failure. A resource shortage, for example of file descriptors, may be
/// over by then, and a persistent failure does not use up the CPU.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves connections until the shutdown closes the listener. With a verifier, each client must prove its
/// identity before its first request. `make_handler` creates the handler of each connection.
pub async fn serve<H, M>(
    listener: TcpListener, verifier: Option<IdentityVerifier>, limiter: Rc<ConnectionLimiter>,
    shutdown: Shutdown, make_handler: M,
) where
    H: RequestHandler,
    M: Fn(ClientIdentity) -> H + Clone + 'static,
{
    let listener_guard = shutdown.guard();
    let starter = ConnectionStarter { verifier, limiter, shutdown, make_handler };
    starter.accept_until_closed(&listener).await;
    starter.accept_backlog(listener);
    drop(listener_guard);
}

/// Starts the tasks of accepted connections.
struct ConnectionStarter<M> {
    verifier: Option<IdentityVerifier>,
    limiter: Rc<ConnectionLimiter>,
    shutdown: Shutdown,
    make_handler: M,
}

impl<H, M> ConnectionStarter<M>
where
    H: RequestHandler,
    M: Fn(ClientIdentity) -> H + Clone + 'static,
{
    async fn accept_until_closed(&self, listener: &TcpListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.shutdown.wait_listeners_closed() => return,
                accepted = self.accept(listener) => accepted,
            };
            match accepted {
                Ok(socket) => self.start(socket),
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the next connection once there is capacity for it. Until then, clients wait in the backlog.
    async fn accept(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        self.limiter.wait_for_capacity().await;
        let (socket, _) = listener.accept().await?;
        Ok(socket)
    }

    /// Closes the listener. Connections in the backlog are still served as far as there is capacity; closing
    /// the listener resets the others.
    fn accept_backlog(&self, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        while !self.limiter.is_full()
            && let Ok((socket, _)) = listener.accept()
        {
            let converted = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
            if let Ok(stream) = converted {
                self.start(stream);
            }
        }
    }

    /// Spawns the task of a connection, which counts toward the limits from now on.
    fn start(&self, socket: TcpStream) {
        // Best effort: a failure only adds latency.
        let _ = socket.set_nodelay(true);
        let guard = ConnectionGuard { slot: self.limiter.register(), shutdown: self.shutdown.guard() };
        let shutdown = self.shutdown.clone();
        match &self.verifier {
            None => {
                let handler = (self.make_handler)(ClientIdentity::Unverified);
                spawn_local(serve_connection(socket, handler, shutdown, guard));
            }
            Some(verifier) => {
                let make_handler = self.make_handler.clone();
                spawn_local(verify_and_serve(socket, verifier.clone(), make_handler, shutdown, guard));
            }
        }
    }
}

/// Serves a connection after its client has proved its identity. The handshake has the same timeout as a
/// request head.
async fn verify_and_serve<H: RequestHandler>(
    socket: TcpStream, verifier: IdentityVerifier, make_handler: impl Fn(ClientIdentity) -> H,
    shutdown: Shutdown, guard: ConnectionGuard,
) {
    let result = tokio::select! {
        result = timeout(HEAD_TIMEOUT, verifier.verify(socket)) => result,
        () = guard.slot.client.evicted() => return,
    };
    match result {
        Ok(Ok(client)) => {
            serve_connection(client.stream, make_handler(client.identity), shutdown, guard).await;
        }
        Ok(Err(error)) => tracing::warn!(%error, "client identity verification failed"),
        Err(_) => tracing::warn!("client identity verification timed out"),
    }
}
