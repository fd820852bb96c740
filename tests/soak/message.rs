//! Reads HTTP/1.1 messages for the clients and stubs of a run.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// What separates the head of a message from its body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A head and a body of the length that `Content-Length` gives. A chunked body is left unread.
pub(crate) struct Message {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// Whether a connection can carry another message after this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persistence {
    KeepAlive,
    Close,
}

impl Persistence {
    /// Keeps the connection alive if a write to it succeeded.
    pub(crate) fn after_write(result: &io::Result<()>) -> Self {
        if result.is_ok() { Persistence::KeepAlive } else { Persistence::Close }
    }
}

impl Message {
    /// The value of a header, whose name is matched without regard to case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Reads one message, or `None` if the connection ends before the message is complete. Bytes that follow the
/// message stay in `unread`, which is to be handed in again for the next one.
///
/// # Errors
///
/// Returns the error of a read that fails.
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

/// Waits until the peer has closed or reset the connection; discards what it sends until then.
pub(crate) async fn wait_until_closed(reader: &mut (impl AsyncRead + Unpin)) {
    let mut discarded = [0; 1_024];
    while matches!(reader.read(&mut discarded).await, Ok(1..)) {}
}
