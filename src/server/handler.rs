//! The interface between a client's connection and the API that answers its requests.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::stream_body::StreamBody;
use crate::metrics::Counters;

/// An API's response: complete, or a stream.
pub type ServerResponse = Response<Either<Full<Bytes>, StreamBody>>;

/// Answers the requests of one connection in an API's own protocol.
pub trait RequestHandler: Clone + 'static {
    /// The metrics of this API.
    fn counters(&self) -> Rc<Counters>;

    /// Answers one request. The future is dropped when the client disconnects.
    fn handle(self, request: Request<Incoming>) -> impl Future<Output = ServerResponse>;
}
