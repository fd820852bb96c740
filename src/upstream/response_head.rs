//! The head of an endpoint's response, as far as the client gets it.

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};

/// Media type of an event stream, without parameters.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// The status and content type of an endpoint's response, passed to the client unchanged.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The content type.
    pub content_type: Option<HeaderValue>,
}

impl ResponseHead {
    /// Extracts the status and content type from a response head.
    pub(super) fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        ResponseHead { status, content_type: headers.get(CONTENT_TYPE).cloned() }
    }

    /// Returns whether the response is an event stream.
    pub fn is_event_stream(&self) -> bool {
        let Some(content_type) = &self.content_type else { return false };
        let media_type = content_type.as_bytes().get(..EVENT_STREAM_TYPE.len());
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM_TYPE))
    }
}
