//! Finds the end of each request's head in a connection's bytes and counts the bytes behind it.
//!
//! The HTTP library shows a head only after parsing, where one of two contradicting headers is already gone,
//! and not how many bytes came behind it. Both are needed here, so the bytes are followed beside it.

use std::mem;

use super::connection_state::MAX_HEAD_SIZE;

/// Bytes kept of a head without an end; the library has rejected it long before.
const MAX_KEPT_HEAD: usize = 2 * MAX_HEAD_SIZE;

/// Where in a request the bytes of a connection stand, with what is kept of them.
pub(super) enum HeadScanner {
    /// In front of or within a head, with its bytes so far.
    InHead {
        /// The head's bytes as they came; empty before the first one.
        head: Vec<u8>,
    },
    /// Behind a head.
    PastHead {
        /// The head; empty once it was taken.
        head: Vec<u8>,
        /// Bytes that came behind it: the open request's body, and whatever follows.
        bytes_behind: u64,
    },
}

/// A request's head as its client sent it.
pub(super) struct RawHead {
    bytes: Vec<u8>,
    /// Whether its end was found; otherwise it may have headers that are not in `bytes`.
    pub(super) is_complete: bool,
}

impl RawHead {
    /// Whether one of its lines is a header of this name.
    pub(super) fn has_header(&self, name: &str) -> bool {
        let mut line_names = self
            .bytes
            .split(|&byte| byte == b'\n')
            .filter_map(|line| line.split(|&byte| byte == b':').next());
        line_names.any(|line_name| line_name.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    }
}

impl HeadScanner {
    /// In front of a connection's first head.
    pub(super) fn new() -> Self {
        HeadScanner::InHead { head: Vec::new() }
    }

    /// Follows received bytes; true if a head begins with them.
    pub(super) fn receive(&mut self, bytes: &[u8]) -> bool {
        let head = match self {
            HeadScanner::PastHead { bytes_behind, .. } => {
                *bytes_behind += bytes.len() as u64;
                return false;
            }
            HeadScanner::InHead { head } => head,
        };
        let begins = head.is_empty();
        let head_bytes = if begins { skip_empty_lines(bytes) } else { bytes };
        if begins && head_bytes.is_empty() {
            return false;
        }
        // An end may lie across the bytes that came before and these.
        let search_from = head.len().saturating_sub(3);
        head.extend_from_slice(head_bytes);
        if let Some(end) = find_head_end(head, search_from) {
            let bytes_behind = (head.len() - end) as u64;
            head.truncate(end);
            *self = HeadScanner::PastHead { head: mem::take(head), bytes_behind };
        } else if head.len() > MAX_KEPT_HEAD {
            *self = HeadScanner::PastHead { head: mem::take(head), bytes_behind: 0 };
        }
        begins
    }

    /// Takes the head of the request that the library has parsed.
    pub(super) fn take_head(&mut self) -> RawHead {
        match self {
            HeadScanner::InHead { head } => RawHead { bytes: mem::take(head), is_complete: false },
            HeadScanner::PastHead { head, .. } => RawHead { bytes: mem::take(head), is_complete: true },
        }
    }

    /// Bytes that have come behind the head.
    pub(super) fn bytes_behind(&self) -> u64 {
        match self {
            HeadScanner::InHead { .. } => 0,
            HeadScanner::PastHead { bytes_behind, .. } => *bytes_behind,
        }
    }

    /// Goes on to the next request's head, of which nothing may have come yet: a connection with bytes beyond
    /// its request is closed.
    pub(super) fn next_request(&mut self) {
        if let HeadScanner::PastHead { head, .. } = self {
            *self = HeadScanner::InHead { head: mem::take(head) };
        }
    }

    /// Whether no byte of a head is kept.
    pub(super) fn is_empty(&self) -> bool {
        match self {
            HeadScanner::InHead { head } | HeadScanner::PastHead { head, .. } => head.is_empty(),
        }
    }
}

/// Without the empty lines that a client may send in front of a request.
fn skip_empty_lines(bytes: &[u8]) -> &[u8] {
    let begin = bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n')).unwrap_or(bytes.len());
    &bytes[begin..]
}

/// Where the first empty line at or after `from` ends: there the body begins.
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
