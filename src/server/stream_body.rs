//! Body of a streamed response.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use super::connection_state::ClientState;
use crate::upstream::stream_error::{StreamChunk, StreamError};

/// A response body that forwards chunks as they arrive. If the stream breaks, the body fails, which closes
/// the connection.
pub struct StreamBody {
    chunks: mpsc::Receiver<StreamChunk>,
    /// State of the connection that the body is written to; `None` until the response is handed to the
    /// connection.
    client: Option<Rc<ClientState>>,
}

impl StreamBody {
    /// Creates a body that forwards `chunks`.
    pub fn new(chunks: mpsc::Receiver<StreamChunk>) -> Self {
        StreamBody { chunks, client: None }
    }

    /// Reports the end of this body to the state of the connection that it is written to.
    pub(super) fn report_end_to(&mut self, client: Rc<ClientState>) {
        self.client = Some(client);
    }

    /// Collects all chunks into one buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream broke before its end.
    pub async fn collect(mut self) -> Result<Bytes, StreamError> {
        let mut collected = BytesMut::new();
        while let Some(chunk) = self.chunks.recv().await {
            collected.extend_from_slice(&chunk?);
        }
        Ok(collected.freeze())
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        if let Some(client) = &self.client {
            client.response_complete();
        }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if let Some(client) = &self.client {
            ready!(client.output().poll_ready(cx));
        }
        let next = ready!(self.chunks.poll_recv(cx));
        if let (Some(client), Some(Ok(chunk))) = (&self.client, &next) {
            client.output().queued(chunk.len());
        }
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }
}
