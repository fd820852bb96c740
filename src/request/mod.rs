//! The task of a single request, from acceptance to its final answer.
//!
//! - `lifecycle`: the task's state and its main loop.
//! - `attempt`: one attempt at an endpoint, up to its first event.
//! - `stream`: forwarding a started response to the client.
//! - `responder`: delivery of the final answer, and detection of a client disconnect.
//! - `reservation`: the KV cache reserved for the request at endpoints, and its release.

mod attempt;
mod lifecycle;
mod reservation;
mod responder;
mod stream;

pub use responder::{Responder, RoutedResponse};

use crate::routing_context::RoutingContext;
use crate::scheduler::RequestSpec;
use crate::upstream::exchange::RequestPayload;
use lifecycle::RequestTask;

/// A request payload with the memory allocation that accounts for it.
pub struct AllocatedPayload<A> {
    /// The payload sent to endpoints.
    pub payload: RequestPayload,
    /// The payload's share of the memory budget, returned when this is dropped.
    pub allocation: A,
}

/// Whether a request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It was never sent to an endpoint.
    Excluded,
    /// It was sent.
    Possible,
}

/// Runs one request from its acceptance to its final answer.
///
/// The scheduler makes every routing decision. The responder receives exactly one final answer, and when this
/// function returns, nothing is reserved or in flight for the request. Returns whether any endpoint may have
/// executed it.
pub async fn run_request<A>(
    context: RoutingContext, spec: RequestSpec, allocated: AllocatedPayload<A>, responder: Responder,
) -> Execution {
    let mut task = RequestTask::accept(context, spec, allocated.payload.id.clone(), responder);
    if let Some(stream) = task.run_until_stream(&allocated.payload).await {
        // A payload is never resent after its stream has started, and it is far larger than the events
        // buffered for the client.
        drop(allocated);
        task.forward_stream(stream).await;
    }
    task.finish().await
}
