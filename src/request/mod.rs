//! One request's task, from intake to its one final answer.
//!
//! - `lifecycle`: the task's state, and how it ends.
//! - `attempt`: one attempt at an endpoint, up to its first event.
//! - `stream`: forwarding a response to the client once it has begun.
//! - `responder`: the way back to the client.
//! - `reservation`: what may be reserved for the request at the endpoints.

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

/// A request's payload with the allocation that it counts against.
pub struct AllocatedPayload<A> {
    /// What is sent to the endpoints.
    pub payload: RequestPayload,
    /// The memory that the payload takes up, returned to its budget when this is dropped.
    pub allocation: A,
}

/// Runs one request from its acceptance to its final answer.
///
/// The scheduler decides at each point of choice. Exactly one final answer goes to the responder, and when
/// this returns, nothing is reserved or in flight any more.
pub async fn run_request<A>(
    context: RoutingContext, spec: RequestSpec, allocated: AllocatedPayload<A>, responder: Responder,
) {
    let mut task = RequestTask::accept(context, spec, allocated.payload.id.clone(), responder);
    if let Some(stream) = task.run_until_stream(&allocated.payload).await {
        // A payload is never sent again once its stream has begun, and is far larger than the events that
        // wait for the client.
        drop(allocated);
        task.forward_stream(stream).await;
    }
    task.finish().await;
}
