//! HTTP/1.1 messages as the parties of a run read them.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// A head and a body of the length that it tells; a body in chunks is left unread.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Reads one message; none at the end of the connection. What came behind it stays in `unread`.
pub async fn read(from: &mut (impl AsyncRead + Unpin), unread: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = unread.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if from.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&unread[..end]).into_owned();
    unread.drain(..end);
    let mut message = Message { head, body: Vec::new() };
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while unread.len() < length {
        if from.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    }
    message.body = unread.drain(..length).collect();
    Ok(Some(message))
}

/// Waits until the peer has closed or reset the connection.
pub async fn closed(from: &mut (impl AsyncRead + Unpin)) {
    let mut scratch = [0; 1_024];
    while matches!(from.read(&mut scratch).await, Ok(1..)) {}
}
