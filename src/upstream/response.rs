//! Classification of responses by status, and reading of response bodies that are not streamed.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use serde::Deserialize;
use tokio::time::timeout;

use crate::scheduler::{EndpointId, Outcome};
use crate::upstream::connect::Connection;
use crate::upstream::exchange::{Upstream, UpstreamProtocol};
use crate::upstream::response_limit::MAX_CONTROL_BODY_SIZE;
use crate::upstream::stream_error::StreamError;

/// Maximum wait for a body whose content is not used, such as that of a rejection or an error. It usually
/// arrives with the head, and it is read only so that the connection can be reused.
const DISCARDED_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Header with which the platform's endpoints declare that a rejected request was not executed.
const NOT_STARTED_HEADER: &str = "not-started";

/// How a response is handled.
pub(super) enum ResponseClass {
    /// Forwarded to the client.
    Forwarded,
    /// Its body reports the result.
    Accepted,
    /// The attempt has failed, regardless of the body.
    Failed(Outcome),
}

/// Classifies a response by its head.
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

/// Returns whether the status is a public endpoint's final error for the request itself, such as an
/// unsupported field. It is forwarded to the client because another endpoint would respond in the same way.
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
        UpstreamProtocol::Platform => headers.get(NOT_STARTED_HEADER).is_some_and(|value| value == "1"),
        // Public endpoints guarantee only for a 429 that the request was not executed. A 503 may be sent
        // after execution has started.
        UpstreamProtocol::Chat(_) => status == StatusCode::TOO_MANY_REQUESTS,
    }
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns an error if the body is malformed, too large or incomplete.
async fn read_body(body: Incoming) -> Result<Bytes, StreamError> {
    if body.size_hint().lower() > MAX_CONTROL_BODY_SIZE as u64 {
        return Err(StreamError::Malformed);
    }
    match Limited::new(body, MAX_CONTROL_BODY_SIZE).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        // Any other error is that of `Limited`.
        Err(error) => Err(error.downcast_ref().map_or(StreamError::Malformed, StreamError::classify)),
    }
}

impl Upstream {
    /// Reads a complete body and returns its connection to the pool. Otherwise, the connection is closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, too large or incomplete.
    pub(super) async fn receive_body(
        &self, endpoint: EndpointId, connection: Connection, body: Incoming,
    ) -> Result<Bytes, StreamError> {
        let text = read_body(body).await?;
        self.pool().put_back(endpoint, connection);
        Ok(text)
    }

    /// Reads and discards a body so that its connection can be reused.
    pub(super) async fn discard_body(&self, endpoint: EndpointId, connection: Connection, body: Incoming) {
        let _ = timeout(DISCARDED_BODY_TIMEOUT, self.receive_body(endpoint, connection, body)).await;
    }
}

/// Parses how many of the prompt's tokens were found in a prefill endpoint's cache. Returns 0 if the endpoint
/// does not report it.
pub(super) fn parse_cached_tokens(text: &[u8]) -> f64 {
    #[derive(Deserialize)]
    struct PrefillResult {
        #[serde(default)]
        cached_tokens: f64,
    }

    serde_json::from_slice(text).map_or(0.0, |result: PrefillResult| result.cached_tokens)
}
