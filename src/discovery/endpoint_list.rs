//! Lists of targets as discovery writes them, read from a stream that may be cut anywhere.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Longest list that is read, in bytes.
const LIST_MOST: usize = 4 * 1024 * 1024;

/// A list of targets, whole or only its changes.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Grows with each change.
    pub version: u64,
    /// Targets that it does not name are gone.
    #[serde(rename = "full")]
    pub snapshot: bool,
    /// Its entries, in order.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One entry; what cannot be read of it must not cost the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum EndpointRecord {
    /// Read whole.
    Readable(DiscoveredEndpoint),
    /// Its id alone could be read.
    Unreadable {
        /// The target's id.
        id: String,
    },
    /// Nothing of it could be read.
    Nameless(IgnoredAny),
}

/// A target as discovery tells it.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveredEndpoint {
    /// The same at every router.
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
    /// Whether it takes new work.
    pub state: DiscoveryState,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_ms: i64,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum DiscoveryState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It is gone; only among changes.
    Gone,
}

/// Why what came is no list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not in the form of a list.
    #[error("not a list: {0}")]
    Form(#[from] serde_json::Error),
    /// Something other than a list stands between lists.
    #[error("not a list: it begins with byte {0}")]
    Begin(u8),
    /// It does not end.
    #[error("a list of over {LIST_MOST} bytes")]
    TooLong,
}

/// Takes lists out of a stream, however they are broken into lines and pieces. Each byte is looked at once until its
/// list is whole, so that a long list in many pieces costs no more than one that comes at once.
#[derive(Debug, Default)]
pub struct ListReader {
    text: Vec<u8>,
    /// Open braces and brackets of the list that has begun.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ListReader {
    /// Takes bytes in and gives the lists that are whole with them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<EndpointList>, ListError> {
        let mut lists = Vec::new();
        for &byte in bytes {
            if self.between_lists() {
                match byte {
                    b' ' | b'\t' | b'\r' | b'\n' => continue,
                    b'{' => {}
                    other => return Err(ListError::Begin(other)),
                }
            }
            self.text.push(byte);
            self.scan(byte);
            if self.depth == 0 {
                lists.push(serde_json::from_slice(&self.text)?);
                self.text.clear();
            } else if self.text.len() > LIST_MOST {
                return Err(ListError::TooLong);
            }
        }
        Ok(lists)
    }

    /// Whether no list has begun that is not whole.
    pub fn between_lists(&self) -> bool {
        self.depth == 0
    }

    fn scan(&mut self, byte: u8) {
        if self.in_string {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
