//! Requests that are rejected for their form, with the status and the text that their clients get.

use hyper::StatusCode;

use crate::server::request_body::BodyError;

/// Why a request was rejected before it reached the scheduler.
#[derive(Debug, thiserror::Error)]
pub(super) enum InvalidRequest {
    /// A required header is missing.
    #[error("the header {0} is missing")]
    MissingHeader(&'static str),
    /// A header does not have its form.
    #[error("the header {name} must be {expected}")]
    MalformedHeader {
        /// Which header.
        name: &'static str,
        /// Its form, in words.
        expected: &'static str,
    },
    /// The settings have no such class.
    #[error("unknown class \"{0}\"")]
    UnknownClass(String),
    /// The settings have no such tenant.
    #[error("unknown tenant \"{0}\"")]
    UnknownTenant(String),
    /// A request with this id is open, or was lately.
    #[error("the request id \"{0}\" was used before")]
    DuplicateId(String),
    /// The body was not accepted.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body's length is given in two ways.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    ConflictingLengths,
    /// The API has no such path.
    #[error("no such path")]
    UnknownPath,
    /// The path takes another method, which is named.
    #[error("this path takes {0}")]
    Method(&'static str),
}

impl InvalidRequest {
    /// The status that the client gets.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            InvalidRequest::DuplicateId(_) => StatusCode::CONFLICT,
            InvalidRequest::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::Body(BodyError::Slow) => StatusCode::REQUEST_TIMEOUT,
            InvalidRequest::UnknownPath => StatusCode::NOT_FOUND,
            InvalidRequest::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            InvalidRequest::MissingHeader(_)
            | InvalidRequest::MalformedHeader { .. }
            | InvalidRequest::UnknownClass(_)
            | InvalidRequest::UnknownTenant(_)
            | InvalidRequest::Body(BodyError::NoRoom | BodyError::Broken(_))
            | InvalidRequest::ConflictingLengths => StatusCode::BAD_REQUEST,
        }
    }
}
