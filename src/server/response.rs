//! Protocol-independent helpers that build responses for both APIs.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::handler::ServerResponse;
use super::stream_body::StreamBody;
use crate::scheduler::Micros;
use crate::upstream::stream_error::StreamChunk;

/// Builds a response with a complete body.
pub(super) fn complete_response(
    status: StatusCode, content_type: Option<HeaderValue>, body: impl Into<Bytes>,
) -> ServerResponse {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    set_content_type(&mut response, content_type);
    response
}

/// Builds a response that streams `chunks`.
pub(super) fn stream_response(
    content_type: Option<HeaderValue>, chunks: mpsc::Receiver<StreamChunk>,
) -> ServerResponse {
    let mut response = Response::new(Either::Right(StreamBody::new(chunks)));
    set_content_type(&mut response, content_type);
    response
}

fn set_content_type(response: &mut ServerResponse, content_type: Option<HeaderValue>) {
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
}

/// Sets `Retry-After` in fractional seconds, if there is a value.
pub(super) fn set_retry_after(headers: &mut HeaderMap, retry_after: Option<Micros>) {
    let Some(micros) = retry_after else { return };
    let seconds = micros as f64 / 1e6;
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        headers.insert(RETRY_AFTER, value);
    }
}

/// Announces that the connection is closed after this response.
pub(super) fn set_connection_close(response: &mut ServerResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
