//! Closing the listener: the kernel must not accept connections that the process will never serve.

use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{Request, Response};
use inference_router::metrics::Counters;
use inference_router::server::connection_limits::ConnectionLimiter;
use inference_router::server::{ClientBody, RequestHandler, ServerResponse, serve};
use inference_router::shutdown::{Shutdown, TerminationSignals};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Handler that answers every request with the same text.
#[derive(Clone)]
struct FixedResponse;

impl RequestHandler for FixedResponse {
    fn counters(&self) -> Rc<Counters> {
        Rc::default()
    }

    async fn handle(self, _: Request<ClientBody>) -> ServerResponse {
        Response::new(Either::Left(Full::new(Bytes::from_static(b"answer"))))
    }

    fn reject_excess_bytes(&self) -> ServerResponse {
        Response::new(Either::Left(Full::new(Bytes::new())))
    }
}

/// Serves until a shutdown by SIGTERM is complete, and returns the listen address.
async fn serve_until_sigterm() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind the listener");
    let address = listener.local_addr().expect("failed to get the listener address");
    let signals = TerminationSignals::register().expect("failed to register signal handlers");
    let shutdown = Shutdown::default();
    let limiter: Rc<ConnectionLimiter> = ConnectionLimiter::new(8, 1_024);
    spawn_local(serve(listener, None, limiter, shutdown.clone(), |_| FixedResponse));
    let own_pid = std::process::id().to_string();
    assert!(Command::new("kill").args(["-TERM", &own_pid]).status().expect("failed to run kill").success());
    shutdown.run(signals).await;
    address
}

#[test]
fn the_system_accepts_no_connection_once_the_process_is_about_to_exit() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build the runtime");
    let tasks = LocalSet::new();
    let address = tasks.block_on(&runtime, serve_until_sigterm());
    // No task has run since the last connection was closed, which is the state in which the process would
    // exit.
    assert!(TcpStream::connect(address).is_err(), "a connection was accepted that would be reset at exit");
}
