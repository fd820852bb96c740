//! Interface between a client connection and the API that handles its requests.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{Request, Response};

use super::client_body::ClientBody;
use super::stream_body::StreamBody;
use crate::metrics::Counters;

/// The response of an API, with a complete or a streamed body.
pub type ServerResponse = Response<Either<Full<Bytes>, StreamBody>>;

/// Handles the requests of one connection in the protocol of an API.
pub trait RequestHandler: Clone + 'static {
    /// Returns the counters of this API.
    fn counters(&self) -> Rc<Counters>;

    /// Handles one request. The future is dropped when the client disconnects.
    fn handle(self, request: Request<ClientBody>) -> impl Future<Output = ServerResponse>;

    /// Returns the error response to a client that keeps sending bytes behind its request.
    fn reject_excess_bytes(&self) -> ServerResponse;
}
