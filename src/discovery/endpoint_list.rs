//! Endpoint lists as discovery publishes them, read from a stream that may be cut anywhere.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Longest list that is read, in bytes; the watch on a discovery service that sends more is lost.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A list of endpoints as discovery publishes it: a snapshot, or a delta.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Grows with each change.
    pub version: u64,
    /// Whether endpoints that it does not name have been removed.
    #[serde(rename = "full")]
    pub snapshot: bool,
    /// Its records, in order.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One record of a list. An invalid record must not cost the others, so it is kept as far as it can be read.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum EndpointRecord {
    /// Every field could be read.
    Valid(DiscoveredEndpoint),
    /// Only the id could be read.
    Invalid {
        /// The endpoint's id.
        id: String,
    },
    /// Not even an id could be read.
    Unidentified(IgnoredAny),
}

/// An endpoint as discovery describes it.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Its name, the same for every replica.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: i64,
    /// Whether it takes new requests.
    pub state: DiscoveryState,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_ms: i64,
}

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum DiscoveryState {
    /// It does.
    Ready,
    /// It finishes those that it has.
    Terminating,
    /// It has been removed; only deltas say so.
    Gone,
}

/// Why bytes are not an endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The JSON is not that of a list.
    #[error("not a list: {0}")]
    Format(#[from] serde_json::Error),
    /// Something other than a list stands between lists.
    #[error("not a list: it begins with byte {0}")]
    UnexpectedByte(u8),
    /// It is longer than any list that is read.
    #[error("a list of over {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// Reads lists from a stream, however it is cut into lines and chunks. Each byte is looked at once until its
/// list is complete, so that a long list in many chunks costs no more than one that arrives at once.
#[derive(Debug, Default)]
pub struct ListReader {
    /// The bytes so far of the list that has begun.
    text: Vec<u8>,
    /// Open braces and brackets of the list that has begun.
    depth: usize,
    /// Whether the next byte belongs to a JSON string.
    in_string: bool,
    /// Whether the byte before, in a JSON string, was a backslash that escapes the next one.
    escaped: bool,
}

impl ListReader {
    /// Reads the next bytes of the stream and gives the lists that they complete.
    ///
    /// # Errors
    ///
    /// Fails where a list is malformed or too long, or where something else stands between lists. The stream
    /// cannot be read any further then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<EndpointList>, ListError> {
        let mut lists = Vec::new();
        for &byte in bytes {
            if self.between_lists() {
                match byte {
                    b' ' | b'\t' | b'\r' | b'\n' => continue,
                    b'{' => {}
                    other => return Err(ListError::UnexpectedByte(other)),
                }
            }
            self.text.push(byte);
            self.scan(byte);
            if self.depth == 0 {
                lists.push(serde_json::from_slice(&self.text)?);
                self.text.clear();
            } else if self.text.len() > MAX_LIST_BYTES {
                return Err(ListError::TooLong);
            }
        }
        Ok(lists)
    }

    /// Whether no list has begun that is not complete.
    pub fn between_lists(&self) -> bool {
        self.depth == 0
    }

    /// Follows the nesting of the JSON text.
    fn scan(&mut self, byte: u8) {
        if self.in_string {
            self.scan_string(byte);
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Follows a JSON string to its closing quote.
    fn scan_string(&mut self, byte: u8) {
        if self.escaped {
            self.escaped = false;
            return;
        }
        match byte {
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }
}
