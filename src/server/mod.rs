//! The HTTP server side: two APIs read clients' requests, each in its own protocol, and write the responses.
//!
//! [`serve`] accepts connections, [`connection`] runs one of them, and a [`RequestHandler`] ([`platform_api`]
//! or [`chat_api`]) answers its requests.

mod api_context;
pub mod chat_api;
pub mod client_stream;
pub mod close_reason;
pub mod connection;
pub mod connection_limits;
pub mod connection_state;
mod handler;
mod head_scanner;
mod listener;
pub mod platform_api;
mod request_body;
mod response;
pub mod spiffe;
mod stream_body;

use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::request::lifecycle::{Responder, RoutedResponse, run_request};
use crate::routing_context::RoutingContext;
use crate::scheduler::{Capabilities, Micros, RequestSpec};
use crate::shutdown::Shutdown;
use crate::upstream::exchange::RequestPayload;
use connection_limits::{BodyAllocation, ConnectionLimiter};

pub use handler::{RequestHandler, ServerResponse};
pub use listener::serve;
pub use stream_body::StreamBody;

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
