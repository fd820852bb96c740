//! Invalid requests, with the status and message sent to the client.

use hyper::StatusCode;

use crate::server::request_body::BodyError;

/// Why a request was rejected as invalid before it reached the scheduler.
#[derive(Debug, thiserror::Error)]
pub(super) enum InvalidRequest {
    /// A required header is missing.
    #[error("the header {0} is missing")]
    MissingHeader(&'static str),
    /// A header is malformed.
    #[error("the header {name} must be {expected}")]
    MalformedHeader {
        /// Name of the header.
        name: &'static str,
        /// Description of the expected format.
        expected: &'static str,
    },
    /// The class is not defined in the settings.
    #[error("unknown class \"{0}\"")]
    UnknownClass(String),
    /// The tenant is not defined in the settings.
    #[error("unknown tenant \"{0}\"")]
    UnknownTenant(String),
    /// The ID belongs to an open or recently ended request.
    #[error("the request id \"{0}\" was used before")]
    DuplicateId(String),
    /// The body was not accepted.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The head specifies the body length in two ways.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    ConflictingLengths,
    /// The client keeps sending bytes behind its request.
    #[error("a connection carries one request at a time")]
    ExcessBytes,
    /// The path does not exist.
    #[error("no such path")]
    UnknownPath,
    /// The path requires the given method.
    #[error("this path takes {0}")]
    MethodNotAllowed(&'static str),
}

impl InvalidRequest {
    /// Returns the status sent to the client.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            InvalidRequest::DuplicateId(_) => StatusCode::CONFLICT,
            InvalidRequest::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::Body(BodyError::TimedOut) => StatusCode::REQUEST_TIMEOUT,
            InvalidRequest::UnknownPath => StatusCode::NOT_FOUND,
            InvalidRequest::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            InvalidRequest::MissingHeader(_)
            | InvalidRequest::MalformedHeader { .. }
            | InvalidRequest::UnknownClass(_)
            | InvalidRequest::UnknownTenant(_)
            | InvalidRequest::Body(BodyError::MemoryLimit | BodyError::Evicted | BodyError::ReadFailed(_))
            | InvalidRequest::ConflictingLengths
            | InvalidRequest::ExcessBytes => StatusCode::BAD_REQUEST,
        }
    }
}
