//! Cuts a stream into complete events, and finds the events that end it or report an error.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event, in bytes; what goes on for longer without an end is not an event.
const MAX_EVENT_SIZE: usize = 64 * 1024;

/// The data of the event that ends a stream of chat completions.
const DONE: &[u8] = b"[DONE]";

/// What the events of a stream say of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventFormat {
    /// Nothing: the end of the body ends the stream.
    Opaque,
    /// As public chat completions: `[DONE]` ends the stream, and an object with `error` reports an error.
    ChatCompletions,
}

/// What came is not a stream of events.
#[derive(Debug, thiserror::Error)]
#[error("the stream holds what is no event")]
pub(super) struct MalformedEvents;

/// Cuts a stream into complete events, however its transport has cut it; the bytes stay as they came.
pub(super) struct EventFramer {
    format: EventFormat,
    /// The beginning of an event whose end has not come.
    incomplete: BytesMut,
    done: bool,
    reported_error: bool,
}

impl EventFramer {
    /// A framer at the beginning of a stream.
    pub(super) fn new(format: EventFormat) -> Self {
        EventFramer { format, incomplete: BytesMut::new(), done: false, reported_error: false }
    }

    /// Whether an event reported an error.
    pub(super) fn reported_error(&self) -> bool {
        self.reported_error
    }

    /// Takes bytes in and gives all events that are complete now; nothing while there are none.
    pub(super) fn push(&mut self, bytes: Bytes) -> Result<Bytes, MalformedEvents> {
        if self.incomplete.is_empty() && complete_length(&bytes) == bytes.len() {
            self.check_events(&bytes)?;
            return Ok(bytes);
        }
        self.incomplete.extend_from_slice(&bytes);
        let complete = self.incomplete.split_to(complete_length(&self.incomplete)).freeze();
        self.check_events(&complete)?;
        self.check_incomplete()?;
        Ok(complete)
    }

    /// What came behind the last complete event of a stream that has ended.
    pub(super) fn take_remainder(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }

    /// Whether a stream that ends here is complete. The last event need not be closed by an empty line.
    pub(super) fn ends_complete(&mut self) -> bool {
        match self.format {
            EventFormat::Opaque => true,
            EventFormat::ChatCompletions => {
                let remainder = self.incomplete.clone();
                self.scan_lines(&remainder);
                self.done || self.reported_error
            }
        }
    }

    fn check_events(&mut self, events: &[u8]) -> Result<(), MalformedEvents> {
        if std::str::from_utf8(events).is_err() || events.iter().any(is_control) {
            return Err(MalformedEvents);
        }
        match self.format {
            EventFormat::Opaque => {}
            EventFormat::ChatCompletions => self.scan_lines(events),
        }
        Ok(())
    }

    /// Rejects noise at once, rather than when it has filled an event.
    fn check_incomplete(&self) -> Result<(), MalformedEvents> {
        let is_too_long = self.incomplete.len() > MAX_EVENT_SIZE;
        if !may_become_utf8(&self.incomplete) || self.incomplete.iter().any(is_control) || is_too_long {
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

/// How many of the bytes are complete events: up to and with the last empty line.
fn complete_length(bytes: &[u8]) -> usize {
    let ends_in_empty_line =
        |at: &usize| matches!(bytes[..=*at], [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n']);
    (0..bytes.len()).rev().find(ends_in_empty_line).map_or(0, |at| at + 1)
}

/// Whether the bytes are UTF-8, but for a last character that may be incomplete.
fn may_become_utf8(bytes: &[u8]) -> bool {
    match std::str::from_utf8(bytes) {
        Ok(_) => true,
        Err(error) => error.error_len().is_none(),
    }
}

fn is_control(byte: &u8) -> bool {
    byte.is_ascii_control() && !matches!(byte, b'\n' | b'\r' | b'\t')
}

/// Whether an event's data is an object with an `error` that is not null.
fn is_error(data: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct MaybeError {
        error: Option<serde::de::IgnoredAny>,
    }

    serde_json::from_slice(data).is_ok_and(|data: MaybeError| data.error.is_some())
}
