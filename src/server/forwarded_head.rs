//! The parts of a request head that are forwarded to endpoints.

use std::rc::Rc;

use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;

use crate::upstream::exchange::{IDEMPOTENCY_KEY, RequestPayload};
use crate::upstream::request_body::RequestBody;

/// Copies of the parts of a request head that are forwarded.
///
/// Values of a parsed head refer to the buffer that the whole head was read into. A copy lets that buffer go
/// while the request is open.
#[derive(Clone, Debug)]
pub(super) struct ForwardedHead {
    target: PathAndQuery,
    content_type: Option<HeaderValue>,
    idempotency_key: Option<HeaderValue>,
}

impl ForwardedHead {
    /// Copies the forwarded parts of a head. Returns `None` if it has no path.
    pub(super) fn copy_of(head: &Parts) -> Option<Self> {
        let target = PathAndQuery::try_from(head.uri.path_and_query()?.as_str()).ok()?;
        let content_type = copy_header(&head.headers, &CONTENT_TYPE);
        let idempotency_key = copy_header(&head.headers, &HeaderName::from_static(IDEMPOTENCY_KEY));
        Some(ForwardedHead { target, content_type, idempotency_key })
    }

    /// Replaces the content type.
    pub(super) fn with_content_type(self, content_type: HeaderValue) -> Self {
        ForwardedHead { content_type: Some(content_type), ..self }
    }

    /// Builds the payload of a request with this head.
    pub(super) fn into_payload(
        self, id: Rc<str>, body: RequestBody, max_response_size: u64,
    ) -> RequestPayload {
        let ForwardedHead { target, content_type, idempotency_key } = self;
        RequestPayload { id, target, content_type, idempotency_key, body, max_response_size }
    }
}

fn copy_header(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    HeaderValue::from_bytes(headers.get(name)?.as_bytes()).ok()
}
