//! Endpoint lists published by discovery, and a reader for a stream that may be split at any byte.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Maximum size of a list in bytes. A watch that exceeds it is closed.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// An endpoint list published by discovery: either a snapshot or a delta.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list, which increases with every change.
    pub version: u64,
    /// Whether the list is a snapshot, in which case endpoints that it does not contain have been removed.
    #[serde(rename = "full")]
    pub snapshot: bool,
    /// The endpoint records, in order.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// An endpoint record. Records are parsed leniently so that an invalid one does not invalidate the rest of
/// the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum EndpointRecord {
    /// All fields are valid.
    Valid(DiscoveredEndpoint),
    /// Only the ID is valid.
    Invalid {
        /// Name of the endpoint.
        id: String,
    },
    /// The ID is missing or invalid.
    Unidentified(IgnoredAny),
}

/// An endpoint as published by discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Name of the endpoint, which is the same for all replicas.
    pub id: String,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    /// Name of the zone.
    pub zone: String,
    /// Name of the endpoint kind.
    pub kind: String,
    /// Number of the cell.
    #[serde(default)]
    pub cell: i64,
    /// Lifecycle state of the endpoint.
    pub state: DiscoveryState,
    /// Time of the last start in Unix milliseconds, or 0 if it was long ago.
    #[serde(default)]
    pub started_ms: i64,
}

/// Lifecycle state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum DiscoveryState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint only finishes its current requests.
    Terminating,
    /// The endpoint has been removed. Only deltas contain this state.
    Gone,
}

/// An error from reading endpoint lists.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is not valid JSON or does not match the list format.
    #[error("invalid endpoint list: {0}")]
    Format(#[from] serde_json::Error),
    /// A list does not start with `{`.
    #[error("invalid endpoint list: unexpected byte {0} at its start")]
    UnexpectedByte(u8),
    /// A list exceeds the maximum size.
    #[error("endpoint list exceeds {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// Incremental reader for a stream of lists, regardless of how it is split into lines and chunks. Every byte
/// is scanned only once before its list is complete, so a long list in many chunks costs no more than one in
/// a single chunk.
#[derive(Debug, Default)]
pub struct ListReader {
    /// Bytes of the incomplete list received so far.
    buffer: Vec<u8>,
    /// Current nesting depth of braces and brackets.
    depth: usize,
    /// Whether the next byte is inside a JSON string.
    in_string: bool,
    /// Whether the previous byte was a backslash that escapes the next one.
    escaped: bool,
}

impl ListReader {
    /// Reads the next bytes of the stream and returns the lists that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a list is malformed or too long, or if there is other data between lists. The
    /// reader must not be used afterward.
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
            self.buffer.push(byte);
            self.scan(byte);
            if self.depth == 0 {
                lists.push(serde_json::from_slice(&self.buffer)?);
                self.buffer.clear();
            } else if self.buffer.len() > MAX_LIST_BYTES {
                return Err(ListError::TooLong);
            }
        }
        Ok(lists)
    }

    /// Returns whether the reader is between lists, with no incomplete list buffered.
    pub fn between_lists(&self) -> bool {
        self.depth == 0
    }

    /// Tracks the nesting depth and whether the next byte is inside a string.
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

    /// Tracks escapes and the end of a JSON string.
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
