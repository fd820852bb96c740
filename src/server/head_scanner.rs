//! Finds the end of each request head in the byte stream of a connection and counts the bytes after it.
//!
//! hyper exposes a head only after parsing, when one of two conflicting length headers has already been
//! removed, and does not report how many bytes follow it. The scanner therefore inspects the same bytes in
//! parallel.

use std::mem;

use super::connection_state::MAX_HEAD_SIZE;

/// Maximum number of bytes kept of an unterminated head. hyper rejects such a head long before.
const MAX_RETAINED_HEAD_SIZE: usize = 2 * MAX_HEAD_SIZE;

/// Position of a byte stream relative to the current request head, with the bytes kept of that head.
pub(super) enum HeadScanner {
    /// Before or within a head.
    InHead {
        /// Head bytes received so far; empty before the first one.
        head: Vec<u8>,
    },
    /// After a head.
    AfterHead {
        /// The head; empty after it was taken.
        head: Vec<u8>,
        /// Number of bytes received after the head: the body of the current request and anything that
        /// follows.
        bytes_after_head: u64,
    },
}

/// A request head as sent by the client.
pub(super) struct RawHead {
    bytes: Vec<u8>,
    /// Whether the end of the head was found. If not, it may have headers that are not in `bytes`.
    pub(super) is_complete: bool,
}

impl RawHead {
    /// Returns whether the head has a header with this name.
    pub(super) fn has_header(&self, name: &str) -> bool {
        let mut line_names = self
            .bytes
            .split(|&byte| byte == b'\n')
            .filter_map(|line| line.split(|&byte| byte == b':').next());
        line_names.any(|line_name| line_name.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    }
}

impl HeadScanner {
    /// Creates a scanner positioned before the first head of a connection.
    pub(super) fn new() -> Self {
        HeadScanner::InHead { head: Vec::new() }
    }

    /// Processes received bytes. Returns whether they start a new head.
    pub(super) fn receive(&mut self, bytes: &[u8]) -> bool {
        let head = match self {
            HeadScanner::AfterHead { bytes_after_head, .. } => {
                *bytes_after_head += bytes.len() as u64;
                return false;
            }
            HeadScanner::InHead { head } => head,
        };
        let starts_head = head.is_empty();
        let head_bytes = if starts_head { skip_empty_lines(bytes) } else { bytes };
        if starts_head && head_bytes.is_empty() {
            return false;
        }
        // The terminator may span the previous bytes and these.
        let search_from = head.len().saturating_sub(3);
        head.extend_from_slice(head_bytes);
        if let Some(end) = find_head_end(head, search_from) {
            let bytes_after_head = (head.len() - end) as u64;
            head.truncate(end);
            *self = HeadScanner::AfterHead { head: mem::take(head), bytes_after_head };
        } else if head.len() > MAX_RETAINED_HEAD_SIZE {
            *self = HeadScanner::AfterHead { head: mem::take(head), bytes_after_head: 0 };
        }
        starts_head
    }

    /// Takes the head of the request that hyper has parsed.
    pub(super) fn take_head(&mut self) -> RawHead {
        match self {
            HeadScanner::InHead { head } => RawHead { bytes: mem::take(head), is_complete: false },
            HeadScanner::AfterHead { head, .. } => RawHead { bytes: mem::take(head), is_complete: true },
        }
    }

    /// Returns the number of bytes received after the head.
    pub(super) fn bytes_after_head(&self) -> u64 {
        match self {
            HeadScanner::InHead { .. } => 0,
            HeadScanner::AfterHead { bytes_after_head, .. } => *bytes_after_head,
        }
    }

    /// Moves on to the next request head. None of its bytes can have been received, because a connection with
    /// excess bytes is closed.
    pub(super) fn next_request(&mut self) {
        if let HeadScanner::AfterHead { head, .. } = self {
            *self = HeadScanner::InHead { head: mem::take(head) };
        }
    }

    /// Returns whether no head bytes are stored.
    pub(super) fn is_empty(&self) -> bool {
        match self {
            HeadScanner::InHead { head } | HeadScanner::AfterHead { head, .. } => head.is_empty(),
        }
    }
}

/// Strips the empty lines that a client may send before a request.
fn skip_empty_lines(bytes: &[u8]) -> &[u8] {
    let start = bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n')).unwrap_or(bytes.len());
    &bytes[start..]
}

/// Returns the offset just after the first empty line at or after `from`, where the body starts.
fn find_head_end(head: &[u8], from: usize) -> Option<usize> {
    for at in from..head.len() {
        if head[at..].starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if head[at..].starts_with(b"\n\r\n") {
            return Some(at + 3);
        }
    }
    None
}
