//! Method, target and headers of requests to endpoints.

use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request};
use tokio::time::Instant;

use crate::upstream::connection_pool::EndpointAddress;
use crate::upstream::exchange::{IDEMPOTENCY_KEY, RequestPayload, UpstreamProtocol};

/// Header with the ID that identifies the request to endpoints.
const REQUEST_ID_HEADER: &str = "request-id";

/// Header with the time in milliseconds for which the router waits for the response.
const REQUEST_TIMEOUT_HEADER: &str = "request-timeout-ms";

/// Sets the head of an attempt's request, except for the timeout header.
pub(super) fn fill<B>(
    request: &mut Request<B>, protocol: &UpstreamProtocol, address: Option<&EndpointAddress>,
    payload: &RequestPayload,
) {
    *request.method_mut() = Method::POST;
    *request.uri_mut() = payload.target.clone().into();
    let headers = request.headers_mut();
    if let UpstreamProtocol::Chat(extra_headers) = protocol {
        headers.extend(extra_headers.clone());
    }
    insert_host(headers, address);
    insert_if_present(headers, REQUEST_ID_HEADER, HeaderValue::from_str(&payload.id).ok());
    insert_if_present(headers, CONTENT_TYPE.as_str(), payload.content_type.clone());
    insert_if_present(headers, IDEMPOTENCY_KEY, payload.idempotency_key.clone());
}

/// Sets the timeout header to the time remaining until the deadline, with a minimum of 1 ms.
pub(super) fn insert_timeout(headers: &mut HeaderMap, response_deadline: Instant) {
    let remaining = response_deadline.saturating_duration_since(Instant::now());
    let remaining_ms = remaining.as_millis() as u64;
    headers.insert(REQUEST_TIMEOUT_HEADER, remaining_ms.max(1).into());
}

/// Sets the `Host` header to the endpoint's address.
pub(super) fn insert_host(headers: &mut HeaderMap, address: Option<&EndpointAddress>) {
    let host = address.and_then(|address| HeaderValue::from_str(&address.addr.to_string()).ok());
    insert_if_present(headers, HOST.as_str(), host);
}

fn insert_if_present(headers: &mut HeaderMap, name: &'static str, value: Option<HeaderValue>) {
    if let Some(value) = value {
        headers.insert(name, value);
    }
}
