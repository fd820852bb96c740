//! Serving a client connection from accept to close.

use std::convert::Infallible;
use std::rc::Rc;

use http_body_util::Either;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;

use super::client_body::ClientBody;
use super::client_stream::{ClientIo, ClientStream};
use super::close_reason::CloseReason;
use super::connection_limits::ConnectionSlot;
use super::connection_state::{ClientState, MAX_HEAD_SIZE, Persistence, RequestValidity};
use super::handler::{RequestHandler, ServerResponse};
use super::response::set_connection_close;
use crate::shutdown::{CONNECT_GRACE, Shutdown, ShutdownGuard};

/// Resources held by an open connection until it is closed.
pub struct ConnectionGuard {
    /// The connection's slot in the connection limit.
    pub slot: ConnectionSlot,
    /// Delays the exit of the process until the connection is closed.
    pub shutdown: ShutdownGuard,
}

/// Serves a connection until the client closes it, its deadline expires, it is evicted or the process shuts
/// down.
pub async fn serve_connection(
    io: impl ClientIo, handler: impl RequestHandler, shutdown: Shutdown, guard: ConnectionGuard,
) {
    let client = guard.slot.client.clone();
    let counters = handler.counters();
    let stream = ClientStream::new(io, client.clone());
    let linger_stream = stream.handle();
    let service_client = client.clone();
    let service = service_fn(move |request| answer_request(handler.clone(), service_client.clone(), request));
    let http =
        http1::Builder::new().max_buf_size(MAX_HEAD_SIZE).serve_connection(TokioIo::new(stream), service);
    // Boxed so that it can be dropped before lingering.
    let mut http = Box::pin(http);
    let mut drain_ready = Box::pin(ready_to_drain(&shutdown, &client));
    let mut deadline = Box::pin(client.deadline_passed());
    let mut closed_after_request = Box::pin(linger_stream.closed_after_request());
    let mut is_draining = false;
    let reason = loop {
        tokio::select! {
            biased;
            // Checked first, so that a request that arrives during the eviction is not started and then
            // dropped.
            () = client.evicted() => break CloseReason::Room,
            // Client disconnects and broken streams are reported by the task of the request.
            finished = &mut http => {
                if let Err(error) = finished {
                    tracing::debug!(connection = guard.slot.number, %error, "client connection failed");
                }
                break CloseReason::Ended;
            }
            () = &mut deadline => break CloseReason::for_expired_deadline(client.stage()),
            () = &mut closed_after_request => break CloseReason::ClosedBehindRequest,
            () = &mut drain_ready, if !is_draining => {
                is_draining = true;
                http.as_mut().graceful_shutdown();
            }
        }
    };
    reason.record(&counters, guard.slot.number, client.stage());
    if reason.is_immediate() {
        return;
    }
    drop(http);
    drop(closed_after_request);
    // The guard is held until the client has closed: if the process exited earlier, the connection would be
    // reset and the client would lose bytes that it has not read.
    linger_stream.linger().await;
    drop(guard);
}

/// Handles one request. The request carries its [`RequestArrival`](super::connection_state::RequestArrival)
/// as an extension, and a connection that cannot be reused is closed after the response.
async fn answer_request(
    handler: impl RequestHandler, client: Rc<ClientState>, mut request: Request<Incoming>,
) -> Result<ServerResponse, Infallible> {
    let arrival = client.request_started(&request);
    request.extensions_mut().insert(arrival);
    let request = request.map(|incoming| ClientBody::new(incoming, client.clone()));
    let mut response = tokio::select! {
        biased;
        () = client.progress().excess_limit_exceeded() => handler.reject_excess_bytes(),
        response = handler.clone().handle(request) => response,
    };
    if client.request_answered(request_validity(response.status())) == Persistence::Close {
        set_connection_close(&mut response);
    }
    match response.body_mut() {
        Either::Left(_) => client.response_complete(),
        Either::Right(stream) => stream.report_end_to(client),
    }
    Ok(response)
}

/// Classifies a request by the status of its response.
fn request_validity(status: StatusCode) -> RequestValidity {
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        RequestValidity::Invalid
    } else {
        RequestValidity::Valid
    }
}

/// Waits until the process shuts down and no request is arriving. On a graceful shutdown, hyper immediately
/// closes a connection that is waiting for a request, even if part of a head has been read.
async fn ready_to_drain(shutdown: &Shutdown, client: &ClientState) {
    shutdown.wait_started().await;
    client.no_request_arriving(CONNECT_GRACE).await;
}
