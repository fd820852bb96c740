//! Splits a stream into complete events, and detects events that end the stream or report an error.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Maximum size of an event, in bytes. A longer sequence without an event boundary is malformed.
const MAX_EVENT_SIZE: usize = 64 * 1024;

/// Data of the event that ends a chat completions stream.
const DONE: &[u8] = b"[DONE]";

/// How events are interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventFormat {
    /// Events are not interpreted: the stream ends with the body.
    Opaque,
    /// Chat completions: `[DONE]` ends the stream, and an object with an `error` field reports an error.
    ChatCompletions,
}

/// The stream contains data that is not an event.
#[derive(Debug, thiserror::Error)]
#[error("the stream contains data that is not an event")]
pub(super) struct MalformedEvents;

/// Splits a stream into complete events regardless of the transport's chunk boundaries. The bytes are not
/// changed.
pub(super) struct EventFramer {
    format: EventFormat,
    /// The start of an event whose end has not been received.
    buffer: BytesMut,
    done: bool,
    reported_error: bool,
}

impl EventFramer {
    /// Creates a framer for a new stream.
    pub(super) fn new(format: EventFormat) -> Self {
        EventFramer { format, buffer: BytesMut::new(), done: false, reported_error: false }
    }

    /// Returns whether an event reported an error.
    pub(super) fn reported_error(&self) -> bool {
        self.reported_error
    }

    /// Adds received bytes and returns a copy of all events that are now complete. The result may be empty.
    ///
    /// The bytes refer to the connection's read buffer, which is reused only after they are dropped. A copy lets
    /// it go while events wait for a slow client.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, MalformedEvents> {
        if self.buffer.is_empty() && complete_events_len(bytes) == bytes.len() {
            self.check_events(bytes)?;
            return Ok(Bytes::copy_from_slice(bytes));
        }
        self.buffer.extend_from_slice(bytes);
        let length = complete_events_len(&self.buffer);
        let complete = Bytes::copy_from_slice(&self.buffer[..length]);
        self.check_events(&complete)?;
        self.buffer = BytesMut::from(&self.buffer[length..]);
        self.check_buffer()?;
        Ok(complete)
    }

    /// Removes and returns the bytes after the last complete event. Called at the end of the stream.
    pub(super) fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Returns whether a stream that ends here is complete. The last event need not be followed by an empty
    /// line.
    pub(super) fn is_complete_at_end(&mut self) -> bool {
        match self.format {
            EventFormat::Opaque => true,
            EventFormat::ChatCompletions => {
                let remainder = self.buffer.clone();
                self.scan_lines(&remainder);
                self.done || self.reported_error
            }
        }
    }

    fn check_events(&mut self, events: &[u8]) -> Result<(), MalformedEvents> {
        let is_text = std::str::from_utf8(events).is_ok() && !events.iter().any(is_invalid_control);
        if !is_text || has_chunk_size_line(events) {
            return Err(MalformedEvents);
        }
        match self.format {
            EventFormat::Opaque => {}
            EventFormat::ChatCompletions => self.scan_lines(events),
        }
        Ok(())
    }

    /// Rejects malformed data as soon as it arrives instead of waiting for the maximum event size.
    fn check_buffer(&self) -> Result<(), MalformedEvents> {
        let is_too_long = self.buffer.len() > MAX_EVENT_SIZE;
        let is_text = is_utf8_prefix(&self.buffer) && !self.buffer.iter().any(is_invalid_control);
        if !is_text || has_chunk_size_line(&self.buffer) || is_too_long {
            return Err(MalformedEvents);
        }
        Ok(())
    }

    fn scan_lines(&mut self, events: &[u8]) {
        for line in events.split(|&byte| byte == b'\n') {
            self.scan_line(line.trim_ascii());
        }
    }

    fn scan_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else { return };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
        } else if is_error(data) {
            self.reported_error = true;
        }
    }
}

/// Returns the length of the complete events in `bytes`, up to and including the last empty line.
fn complete_events_len(bytes: &[u8]) -> usize {
    let ends_in_empty_line =
        |at: &usize| matches!(bytes[..=*at], [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n']);
    (0..bytes.len()).rev().find(ends_in_empty_line).map_or(0, |at| at + 1)
}

/// Returns whether the bytes are valid UTF-8, except that the last character may be incomplete.
fn is_utf8_prefix(bytes: &[u8]) -> bool {
    match std::str::from_utf8(bytes) {
        Ok(_) => true,
        Err(error) => error.error_len().is_none(),
    }
}

/// Returns whether a complete line is the size of a chunk. No line of an event stream is: each has a colon, or
/// is the name of a field. Such a line shows that the stream goes on in chunks within a chunk whose size is too
/// large.
fn has_chunk_size_line(events: &[u8]) -> bool {
    let mut lines = events.split(|&byte| byte == b'\n');
    // The last line has no end.
    lines.next_back();
    lines.any(is_chunk_size)
}

fn is_chunk_size(line: &[u8]) -> bool {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let rest = line[digits..].trim_ascii();
    digits > 0 && (rest.is_empty() || rest.starts_with(b";"))
}

/// Returns whether the byte is a control character that JSON requires to be escaped and that is no white space
/// of an event stream. U+007F and all further characters may stand in a text as they are.
fn is_invalid_control(byte: &u8) -> bool {
    *byte < b' ' && !matches!(byte, b'\n' | b'\r' | b'\t')
}

/// Returns whether an event's data is an object with a non-null `error` field.
fn is_error(data: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct MaybeError {
        error: Option<serde::de::IgnoredAny>,
    }

    serde_json::from_slice(data).is_ok_and(|data: MaybeError| data.error.is_some())
}
