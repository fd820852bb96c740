//! Malformed chunks, with which an endpoint goes on after some events of a stream.

use super::run_state::RunState;

/// Content of malformed chunks.
const CONTENTS: [&str; 4] = ["data: {\"more\":1}\n\n", ": comment\n\n", "\n\n", "text"];
/// Size lines of more bytes than the endpoint sends, or of no number.
const SIZE_LINES: [&str; 4] = ["b2d05e00\r\n", "ffff\r\n", "1000000;name=value\r\n", "size\r\n"];

/// A chunk whose size cannot be read or does not fit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MalformedChunk {
    pub(crate) size_line: &'static str,
    /// Text that the endpoint sends again and again.
    pub(crate) content: &'static str,
}

impl MalformedChunk {
    /// Draws a random chunk.
    pub(crate) fn draw(state: &RunState) -> Self {
        MalformedChunk {
            size_line: SIZE_LINES[state.draw_index(SIZE_LINES.len())],
            content: CONTENTS[state.draw_index(CONTENTS.len())],
        }
    }
}
