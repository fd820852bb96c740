//! The way back to the client: one final answer, or the news that the client has disconnected.

use tokio::sync::{mpsc, oneshot};

use crate::scheduler::Micros;
use crate::upstream::event_stream::{ContentKind, StreamChunk};

/// A request's answer, which the API puts into its own protocol.
pub enum RoutedResponse {
    /// The response of one endpoint, a stream or a single body.
    Body {
        /// Its status and content type.
        kind: ContentKind,
        /// Its bytes as they come.
        chunks: mpsc::Receiver<StreamChunk>,
    },
    /// Rejected: a retry is harmless.
    Rejected {
        /// When the client should retry, in microseconds.
        retry_after: Option<Micros>,
    },
    /// Failed: the request may have been executed.
    Failed,
}

/// Gives a request's final answer to its client, at most once, and shows when the client disconnects.
///
/// The API waits on the other end, and drops it when the client disconnects.
pub struct Responder {
    /// None once the answer has been given.
    sender: Option<oneshot::Sender<RoutedResponse>>,
}

impl Responder {
    /// A responder, and the receiver on which the API waits for the answer.
    pub fn new() -> (Self, oneshot::Receiver<RoutedResponse>) {
        let (sender, receiver) = oneshot::channel();
        (Responder { sender: Some(sender) }, receiver)
    }

    /// Waits until the client disconnects; never completes once it has its answer.
    pub(super) async fn client_disconnected(&mut self) {
        match &mut self.sender {
            Some(sender) => sender.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the client is connected and has no answer.
    pub(super) fn client_waits(&self) -> bool {
        self.sender.as_ref().is_some_and(|sender| !sender.is_closed())
    }

    /// Gives the final answer; false when the client has disconnected or has an answer already.
    pub(super) fn respond(&mut self, response: RoutedResponse) -> bool {
        let Some(sender) = self.sender.take() else { return false };
        sender.send(response).is_ok()
    }
}
