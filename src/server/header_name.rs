//! Recognizes the name of a header while its bytes arrive.

/// The name that is searched for, in lower case.
const CONTENT_LENGTH: &[u8] = b"content-length";

/// Compares the name of a line's header with `Content-Length`, regardless of case and of white space around
/// the name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HeaderNameMatcher {
    /// Only white space so far.
    #[default]
    Before,
    /// This many bytes of the name have matched.
    Matched(usize),
    /// The whole name has matched; white space may follow before the colon.
    Whole,
    /// The line has another name, or its name has ended.
    Decided,
}

impl HeaderNameMatcher {
    /// Processes the next byte of the line. Returns true at the colon behind the name.
    pub(super) fn receive(&mut self, byte: u8) -> bool {
        let is_found = *self == HeaderNameMatcher::Whole && byte == b':';
        *self = self.next(byte);
        is_found
    }

    fn next(self, byte: u8) -> Self {
        match self {
            HeaderNameMatcher::Before | HeaderNameMatcher::Whole if byte.is_ascii_whitespace() => self,
            HeaderNameMatcher::Before => HeaderNameMatcher::Matched(0).next(byte),
            HeaderNameMatcher::Matched(length) if CONTENT_LENGTH[length].eq_ignore_ascii_case(&byte) => {
                match length + 1 {
                    matched if matched == CONTENT_LENGTH.len() => HeaderNameMatcher::Whole,
                    matched => HeaderNameMatcher::Matched(matched),
                }
            }
            HeaderNameMatcher::Matched(_) | HeaderNameMatcher::Whole | HeaderNameMatcher::Decided => {
                HeaderNameMatcher::Decided
            }
        }
    }
}
