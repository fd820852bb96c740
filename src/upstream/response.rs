//! What the status of a response means in each protocol, and the reading of responses that do not stream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde::Deserialize;

use crate::scheduler::Outcome;
use crate::upstream::exchange::UpstreamProtocol;

/// Largest body of a response that does not stream, in bytes: far above any that endpoints send, and little
/// memory.
const MAX_BODY_SIZE: usize = 256 * 1024;

/// Longest wait for the body of a rejection or an error. It mostly comes with the head, and says nothing that
/// is used: it is read only to keep the connection.
pub(super) const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Header by which the platform's endpoints say that a rejected request was not executed.
const NOT_STARTED: &str = "not-started";

/// What is to be done with a response.
pub(super) enum ResponseClass {
    /// It is the client's response.
    Forwarded,
    /// Its body says what was done.
    Accepted,
    /// The attempt has failed, whatever the body says.
    Failed(Outcome),
}

/// What the head of a response means.
pub(super) fn classify(
    protocol: &UpstreamProtocol, status: StatusCode, headers: &HeaderMap,
) -> ResponseClass {
    if status == StatusCode::OK || is_final_error(protocol, status) {
        ResponseClass::Forwarded
    } else if status == StatusCode::ACCEPTED {
        ResponseClass::Accepted
    } else {
        ResponseClass::Failed(failure_outcome(protocol, status, headers))
    }
}

/// Whether a status is a public endpoint's verdict on the request itself, such as on a field that it does not
/// support. That is the client's response, as another endpoint would say the same.
fn is_final_error(protocol: &UpstreamProtocol, status: StatusCode) -> bool {
    let is_about_endpoint = matches!(
        status,
        StatusCode::UNAUTHORIZED
            | StatusCode::FORBIDDEN
            | StatusCode::PROXY_AUTHENTICATION_REQUIRED
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::CONFLICT
            | StatusCode::TOO_EARLY
            | StatusCode::TOO_MANY_REQUESTS
    );
    match protocol {
        UpstreamProtocol::Platform => false,
        UpstreamProtocol::Chat(_) => status.is_client_error() && !is_about_endpoint,
    }
}

fn failure_outcome(protocol: &UpstreamProtocol, status: StatusCode, headers: &HeaderMap) -> Outcome {
    if !excludes_execution(protocol, status, headers) {
        return Outcome::Error;
    }
    match status {
        StatusCode::GONE => Outcome::StateMissing,
        _ => Outcome::Rejected,
    }
}

fn excludes_execution(protocol: &UpstreamProtocol, status: StatusCode, headers: &HeaderMap) -> bool {
    match protocol {
        UpstreamProtocol::Platform => headers.get(NOT_STARTED).is_some_and(|value| value == "1"),
        // Public endpoints reject a request before its execution with 429 only; a 503 may come after a start.
        UpstreamProtocol::Chat(_) => status == StatusCode::TOO_MANY_REQUESTS,
    }
}

/// Reads a body to its end; none if it is too large or breaks.
pub(super) async fn read_body(body: Incoming) -> Option<Bytes> {
    let collected = Limited::new(body, MAX_BODY_SIZE).collect().await;
    Some(collected.ok()?.to_bytes())
}

/// How many of a prompt's tokens a prefill endpoint found cached; 0 if it does not say so.
pub(super) fn parse_cached_tokens(text: &[u8]) -> f64 {
    #[derive(Deserialize)]
    struct PrefillResult {
        #[serde(default)]
        cached_tokens: f64,
    }

    serde_json::from_slice(text).map_or(0.0, |result: PrefillResult| result.cached_tokens)
}
