//! Finds the end of each request head in the byte stream of a connection and counts the bytes after it.
//!
//! hyper exposes a head only after parsing, when one of two conflicting length headers has already been
//! removed, and does not report how many bytes follow it. The scanner therefore inspects the same bytes in
//! parallel. It keeps none of them, as a client can make a head as long as hyper accepts on each of its
//! connections.

use super::header_name::HeaderNameMatcher;

/// Position of a byte stream relative to the current request head.
enum Position {
    /// Before a head. A client may send empty lines there.
    Before,
    /// Within a head.
    Within { line: Line, has_content_length: bool },
    /// After a head.
    After {
        /// What is known of the head; `None` after it was taken.
        head: Option<ScannedHead>,
        /// Number of bytes received after the head: the body of the current request and anything that
        /// follows.
        bytes_after_head: u64,
    },
}

/// The current line of a head.
#[derive(Clone, Copy)]
enum Line {
    /// No byte so far.
    Empty,
    /// A carriage return and nothing else.
    CarriageReturn,
    /// Any other bytes.
    Header(HeaderNameMatcher),
}

impl Line {
    /// Whether the line is empty if it ends here, which ends the head.
    fn ends_head(self) -> bool {
        matches!(self, Line::Empty | Line::CarriageReturn)
    }

    fn name(self) -> HeaderNameMatcher {
        match self {
            Line::Empty | Line::CarriageReturn => HeaderNameMatcher::default(),
            Line::Header(name) => name,
        }
    }
}

/// What is known of a request head as sent by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ScannedHead {
    /// Whether the head may have a `Content-Length`. True as well if the end of the head was not found.
    pub(super) may_have_content_length: bool,
}

/// Scans the heads of a connection's requests.
pub(super) struct HeadScanner(Position);

impl HeadScanner {
    /// Creates a scanner positioned before the first head of a connection.
    pub(super) fn new() -> Self {
        HeadScanner(Position::Before)
    }

    /// Processes received bytes. Returns whether they start a new head.
    pub(super) fn receive(&mut self, bytes: &[u8]) -> bool {
        let was_before_head = matches!(self.0, Position::Before);
        let mut rest = bytes;
        while let Some((&byte, following)) = rest.split_first() {
            if let Position::After { bytes_after_head, .. } = &mut self.0 {
                *bytes_after_head += rest.len() as u64;
                break;
            }
            self.receive_head_byte(byte);
            rest = following;
        }
        was_before_head && !matches!(self.0, Position::Before)
    }

    fn receive_head_byte(&mut self, byte: u8) {
        if matches!(self.0, Position::Before) && !matches!(byte, b'\r' | b'\n') {
            self.0 = Position::Within { line: Line::Empty, has_content_length: false };
        }
        let Position::Within { line, has_content_length } = &mut self.0 else { return };
        match byte {
            b'\n' if line.ends_head() => {
                let head = ScannedHead { may_have_content_length: *has_content_length };
                self.0 = Position::After { head: Some(head), bytes_after_head: 0 };
            }
            b'\n' => *line = Line::Empty,
            b'\r' if matches!(line, Line::Empty) => *line = Line::CarriageReturn,
            _ => {
                let mut name = line.name();
                *has_content_length |= name.receive(byte);
                *line = Line::Header(name);
            }
        }
    }

    /// Takes what is known of the head of the request that hyper has parsed.
    pub(super) fn take_head(&mut self) -> ScannedHead {
        let unknown = ScannedHead { may_have_content_length: true };
        match &mut self.0 {
            Position::Before | Position::Within { .. } => {
                self.0 = Position::Before;
                unknown
            }
            Position::After { head, .. } => head.take().unwrap_or(unknown),
        }
    }

    /// Returns the number of bytes received after the head.
    pub(super) fn bytes_after_head(&self) -> u64 {
        match self.0 {
            Position::Before | Position::Within { .. } => 0,
            Position::After { bytes_after_head, .. } => bytes_after_head,
        }
    }

    /// Returns whether a part of a head has been received.
    pub(super) fn is_head_incomplete(&self) -> bool {
        matches!(self.0, Position::Within { .. })
    }

    /// Moves on to the next request head. None of its bytes can have been received, because a connection with
    /// excess bytes is closed.
    pub(super) fn next_request(&mut self) {
        if let Position::After { .. } = self.0 {
            self.0 = Position::Before;
        }
    }

    /// Returns whether no byte of a head that was not taken has been received.
    pub(super) fn is_empty(&self) -> bool {
        match self.0 {
            Position::Before => true,
            Position::Within { .. } => false,
            Position::After { head, .. } => head.is_none(),
        }
    }
}
