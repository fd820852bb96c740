//! Minimal HTTP/1.1 message reader for the simulated clients and the stubs.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// The bytes that end the head of a message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// An HTTP message, whose body has the length given by `Content-Length`. A chunked body is not read.
pub(crate) struct Message {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// Whether a connection can be used for another message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persistence {
    KeepAlive,
    Close,
}

impl Persistence {
    /// Returns `KeepAlive` if the write succeeded and `Close` if it failed.
    pub(crate) fn after_write(result: &io::Result<()>) -> Self {
        if result.is_ok() { Persistence::KeepAlive } else { Persistence::Close }
    }
}

impl Message {
    /// Returns the value of a header; its name is matched case-insensitively.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Reads one message. Returns `None` if the connection ends before the message is complete. Bytes received
/// after the message stay in `unread`, which the caller passes in again for the next message.
///
/// # Errors
///
/// Returns an error if reading from the connection fails.
pub(crate) async fn read_message(
    reader: &mut (impl AsyncRead + Unpin), unread: &mut Vec<u8>,
) -> io::Result<Option<Message>> {
    let head_length = loop {
        if let Some(position) = unread.windows(HEAD_END.len()).position(|window| window == HEAD_END) {
            break position + HEAD_END.len();
        }
        if reader.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&unread[..head_length]).into_owned();
    unread.drain(..head_length);
    let mut message = Message { head, body: Vec::new() };
    let body_length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while unread.len() < body_length {
        if reader.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    }
    message.body = unread.drain(..body_length).collect();
    Ok(Some(message))
}

/// Waits until the peer closes or resets the connection; discards any data received before.
pub(crate) async fn wait_until_closed(reader: &mut (impl AsyncRead + Unpin)) {
    let mut discarded = [0; 1_024];
    while matches!(reader.read(&mut discarded).await, Ok(1..)) {}
}
