//! The HTTP messages that clients and endpoint stubs send.

const REQUEST_BODY: &str = r#"{"stream":true}"#;

/// A prefill endpoint's answer to a prompt that it has prefilled.
pub(crate) const PREFILLED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
/// The head of a stream, and its first event.
pub(crate) const STREAM_START: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
     f\r\ndata: {\"n\":1}\n\n\r\n";
/// The last event of a stream, and its end.
pub(crate) const STREAM_END: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
/// A request for the readiness of the router, which keeps the connection open.
pub(crate) const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";

/// A request of a class, whose client waits for `timeout_ms`.
pub(crate) fn request(id: &str, class: &str, timeout_ms: u32) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Request-Timeout-Ms: {timeout_ms}\r\nRequest-Info: prompt_len=200,max_out=100\r\n\
         Content-Length: {}\r\n\r\n{REQUEST_BODY}",
        REQUEST_BODY.len()
    )
}
