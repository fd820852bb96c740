//! Why a response from an endpoint ended before it was complete.

use std::error::Error;
use std::io;

use bytes::Bytes;

use crate::scheduler::Outcome;

/// The stream ended before it was complete. The client must be able to detect this on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection was lost or the endpoint stopped sending.
    #[error("the stream was interrupted before its end")]
    Interrupted,
    /// The endpoint sent data that is not a valid event stream.
    #[error("the stream contains malformed data")]
    Malformed,
}

impl StreamError {
    /// Classifies the error with which reading a body failed: malformed HTTP, or a lost connection.
    pub(super) fn classify(error: &hyper::Error) -> Self {
        let io_kind =
            error.source().and_then(|source| source.downcast_ref::<io::Error>()).map(io::Error::kind);
        let is_invalid = matches!(io_kind, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData));
        if error.is_parse() || is_invalid { StreamError::Malformed } else { StreamError::Interrupted }
    }
}

impl From<StreamError> for Outcome {
    fn from(error: StreamError) -> Self {
        match error {
            StreamError::Interrupted => Outcome::ConnectionLost,
            StreamError::Malformed => Outcome::Malformed,
        }
    }
}

/// A chunk of a stream, or the error that ended the stream.
pub type StreamChunk = Result<Bytes, StreamError>;
