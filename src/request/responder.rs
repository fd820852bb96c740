//! Delivers the final answer to the API that received the request, and detects a client disconnect.

use tokio::sync::{mpsc, oneshot};

use crate::scheduler::Micros;
use crate::upstream::response_head::ResponseHead;
use crate::upstream::stream_error::StreamChunk;

/// A request's final answer, which the API encodes in its own protocol.
pub enum RoutedResponse {
    /// The response of an endpoint: a stream or a single body.
    Body {
        /// The status and content type.
        head: ResponseHead,
        /// The body's bytes as they arrive.
        chunks: mpsc::Receiver<StreamChunk>,
    },
    /// Rejected: the request was not executed, so a retry is harmless.
    Rejected {
        /// Time after which the client should retry, in microseconds.
        retry_after: Option<Micros>,
    },
    /// Failed: the request may have been executed.
    Failed,
}

/// Sends a request's final answer to its client, at most once, and detects a client disconnect.
///
/// The API holds the receiver and drops it when the client disconnects.
pub struct Responder {
    /// `None` once the final answer has been sent.
    sender: Option<oneshot::Sender<RoutedResponse>>,
}

impl Responder {
    /// Creates a responder and the receiver on which the API waits for the final answer.
    pub fn new() -> (Self, oneshot::Receiver<RoutedResponse>) {
        let (sender, receiver) = oneshot::channel();
        (Responder { sender: Some(sender) }, receiver)
    }

    /// Waits until the client disconnects. Never completes once the final answer has been sent.
    pub(super) async fn wait_for_disconnect(&mut self) {
        match &mut self.sender {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether the client is connected and has received no answer.
    pub(super) fn client_is_waiting(&self) -> bool {
        self.sender.as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Sends the final answer. Returns `false` if the client has disconnected or has already been answered.
    pub(super) fn respond(&mut self, response: RoutedResponse) -> bool {
        let Some(sender) = self.sender.take() else { return false };
        sender.send(response).is_ok()
    }
}
