//! Body of a client's request.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::connection_state::ClientState;

/// A request body that reports its end to the state of its connection. From then on the connection is watched
/// for a disconnect of the client.
pub struct ClientBody {
    incoming: Incoming,
    client: Rc<ClientState>,
}

impl ClientBody {
    /// Wraps the body of a request received on the connection of `client`.
    pub(super) fn new(incoming: Incoming, client: Rc<ClientState>) -> Self {
        ClientBody { incoming, client }
    }

    /// Returns the state of the connection.
    pub(super) fn client(&self) -> &Rc<ClientState> {
        &self.client
    }

    /// Waits, after the end of the body, until the connection was found to be open with no bytes left to
    /// read. A client that disconnected right behind its request is noticed here, which drops the caller's
    /// future.
    pub(super) async fn client_found_connected(&self) {
        self.client.progress().found_open().await;
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if frame.is_none() {
            self.client.body_received();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
