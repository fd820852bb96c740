//! One client's connection, from its acceptance to its close.

use std::convert::Infallible;
use std::rc::Rc;

use http_body_util::Either;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;

use super::client_stream::{ClientIo, ClientStream};
use super::close_reason::CloseReason;
use super::connection_limits::ConnectionSlot;
use super::connection_state::ClientState;
use super::response::set_connection_close;
use super::{BUFFER, RequestHandler, ServerResponse};
use crate::shutdown::{CONNECT_GRACE, Shutdown, ShutdownGuard};

/// What holds a connection's place among the others and keeps the process from ending before it.
pub struct ConnectionGuard {
    /// Its share of the connection limit.
    pub slot: ConnectionSlot,
    /// Keeps the process from ending before it.
    pub shutdown: ShutdownGuard,
}

/// One request of a connection: how it arrived is added, and a connection that cannot go on is closed behind it.
async fn one_request(
    front: impl RequestHandler, client: Rc<ClientState>, mut request: Request<Incoming>,
) -> Result<ServerResponse, Infallible> {
    let arrival = client.taken(&request);
    request.extensions_mut().insert(arrival);
    let mut reply = front.handle(request).await;
    let unfit = reply.status().is_client_error() && reply.status() != StatusCode::TOO_MANY_REQUESTS;
    if !client.answered(unfit) {
        set_connection_close(&mut reply);
    }
    match reply.body_mut() {
        Either::Left(_) => client.answer_ends(),
        Either::Right(pieces) => pieces.report_end_to(client),
    }
    Ok(reply)
}

/// Serves a connection until its client leaves, it has stood idle, or the process ends.
pub async fn serve_connection(
    io: impl ClientIo, front: impl RequestHandler, shutdown: Shutdown, held: ConnectionGuard,
) {
    let (client, counters) = (held.slot.client.clone(), front.counters());
    let stream = ClientStream::new(io, client.clone());
    let last = stream.handle();
    let of_request = client.clone();
    let service = service_fn(move |request| one_request(front.clone(), of_request.clone(), request));
    let served = http1::Builder::new().max_buf_size(BUFFER).serve_connection(TokioIo::new(stream), service);
    // Its own box: what is left of the connection is let go of before the last bytes are read past.
    let mut served = Box::pin(served);
    let mut ending = Box::pin(async {
        shutdown.wait_begun().await;
        // The library closes a connection that waits for a request at once, also over half of a head.
        client.nothing_arriving(CONNECT_GRACE).await;
    });
    let mut overdue = Box::pin(client.overdue());
    let mut closed = Box::pin(last.closed_behind_request());
    let mut drains = false;
    let reason = loop {
        tokio::select! {
            biased;
            // First: a request that crosses this must not be begun and then dropped.
            () = client.evicted() => break CloseReason::Room,
            // A client that breaks off, or a stream that broke, is told by the request's own task.
            ended = &mut served => {
                if let Err(error) = ended {
                    tracing::debug!(connection = held.slot.number, %error, "client connection failed");
                }
                break CloseReason::Ended;
            }
            () = &mut overdue => break CloseReason::overdue(client.stage()),
            () = &mut closed => break CloseReason::ClosedBehindRequest,
            () = &mut ending, if !drains => {
                drains = true;
                served.as_mut().graceful_shutdown();
            }
        }
    };
    reason.record(&counters, held.slot.number, client.stage());
    if reason.at_once() {
        return;
    }
    drop((served, closed));
    // The process stays until the client has closed: its end would reset what the client has not read.
    last.leave().await;
    drop(held);
}
