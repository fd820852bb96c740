//! Errors of the chat API, in the format of the public API's error object.

use std::rc::Rc;

use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use serde_json::json;

use super::completion::MAX_TOKENS_PER_REQUEST;
use super::json_response;
use crate::scheduler::Micros;
use crate::server::handler::ServerResponse;
use crate::server::request_body::BodyError;
use crate::server::response::set_retry_after;

/// Tells client libraries whether to retry automatically.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

const INVALID_REQUEST: &str = "invalid_request_error";

/// Why a request got no response from an endpoint.
#[derive(Debug, thiserror::Error)]
pub(super) enum ChatError {
    /// The body is not a valid chat completion request.
    #[error(transparent)]
    MalformedBody(serde_json::Error),
    /// The request has no messages.
    #[error("messages: must not be empty")]
    NoMessages,
    /// The requested number of tokens is out of range.
    #[error("max_tokens: must lie between 1 and {MAX_TOKENS_PER_REQUEST}")]
    MaxTokensOutOfRange,
    /// The head specifies the body length in two ways.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    ConflictingLengths,
    /// The client keeps sending bytes behind its request.
    #[error("a connection carries one request at a time")]
    ExcessBytes,
    /// The model is not configured.
    #[error("the model \"{0}\" does not exist")]
    UnknownModel(String),
    /// The body was not accepted.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The path does not exist.
    #[error("no such path: {0}")]
    UnknownPath(String),
    /// The path requires the given method.
    #[error("this path takes {0}")]
    MethodNotAllowed(&'static str),
    /// The client's identity is not allowed.
    #[error("the identity {0} may not use this service")]
    IdentityDenied(Rc<str>),
    /// There is no capacity. The request has not been executed.
    #[error("the fleet cannot take this request now; trying again is harmless")]
    Rejected {
        /// When the client should retry, in microseconds.
        retry_after: Option<Micros>,
    },
    /// The request failed and may have been executed.
    #[error("the request failed and may have run; it must not be repeated automatically")]
    Failed,
}

/// Representation of an error in the public API, without its message.
struct ErrorKind {
    status: StatusCode,
    /// The `type` of the error object.
    name: &'static str,
    code: Option<&'static str>,
}

impl ChatError {
    fn kind(&self) -> ErrorKind {
        let (status, name, code) = match self {
            ChatError::MalformedBody(_)
            | ChatError::NoMessages
            | ChatError::MaxTokensOutOfRange
            | ChatError::ConflictingLengths
            | ChatError::ExcessBytes => (StatusCode::BAD_REQUEST, INVALID_REQUEST, None),
            ChatError::UnknownModel(_) => (StatusCode::NOT_FOUND, INVALID_REQUEST, Some("model_not_found")),
            ChatError::Body(BodyError::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, INVALID_REQUEST, None),
            ChatError::Body(_) => (StatusCode::BAD_REQUEST, INVALID_REQUEST, None),
            ChatError::UnknownPath(_) => (StatusCode::NOT_FOUND, INVALID_REQUEST, Some("unknown_url")),
            ChatError::MethodNotAllowed(_) => (StatusCode::METHOD_NOT_ALLOWED, INVALID_REQUEST, None),
            ChatError::IdentityDenied(_) => {
                (StatusCode::FORBIDDEN, "permission_error", Some("identity_not_allowed"))
            }
            ChatError::Rejected { .. } => {
                (StatusCode::TOO_MANY_REQUESTS, "rate_limit_error", Some("rate_limit_exceeded"))
            }
            ChatError::Failed => (StatusCode::BAD_GATEWAY, "server_error", Some("may_have_run")),
        };
        ErrorKind { status, name, code }
    }

    /// Returns the status sent to the client.
    pub(super) fn status(&self) -> StatusCode {
        self.kind().status
    }

    /// Returns whether the request itself was invalid.
    pub(super) fn is_invalid_request(&self) -> bool {
        !matches!(self, ChatError::Rejected { .. } | ChatError::Failed)
    }

    /// Builds the response sent to the client.
    pub(super) fn to_response(&self) -> ServerResponse {
        let kind = self.kind();
        let object = json!({
            "error": {"message": self.to_string(), "type": kind.name, "param": null, "code": kind.code}
        });
        let mut response = json_response(kind.status, &object);
        let headers = response.headers_mut();
        if let ChatError::Rejected { retry_after } = self {
            set_retry_after(headers, *retry_after);
        } else {
            // Without this header, public client libraries automatically retry most error statuses.
            headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}
