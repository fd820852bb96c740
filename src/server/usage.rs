//! What the client connections of one API hold, for the log.

use serde::Serialize;

use super::connection_state::ConnectionStage;

/// A snapshot of the client connections and of the memory accounted to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConnectionUsage {
    /// Connections that wait for their client to close.
    pub lingering: usize,
    /// Connections on which no byte has been received.
    pub silent: usize,
    /// Connections between two requests.
    pub idle: usize,
    /// Connections with a partial head.
    pub reading_head: usize,
    /// Connections with a partial body.
    pub reading_body: usize,
    /// Connections with a request whose response is not complete.
    pub in_request: usize,
    /// Connections with a complete response that is not fully written.
    pub flushing: usize,
    /// Memory accounted to open connections, in bytes.
    pub connection_bytes: usize,
    /// Memory accounted to accepted requests, in bytes.
    pub request_bytes: usize,
    /// Memory accounted to long request heads, in bytes.
    pub head_bytes: usize,
    /// Memory accounted to request bodies, in bytes.
    pub body_bytes: usize,
}

impl ConnectionUsage {
    /// Counts a connection in this stage.
    pub(super) fn count(&mut self, stage: ConnectionStage) {
        let connections = match stage {
            ConnectionStage::Lingering => &mut self.lingering,
            ConnectionStage::Silent => &mut self.silent,
            ConnectionStage::Idle => &mut self.idle,
            ConnectionStage::ReadingHead => &mut self.reading_head,
            ConnectionStage::ReadingBody => &mut self.reading_body,
            ConnectionStage::InRequest => &mut self.in_request,
            ConnectionStage::Flushing => &mut self.flushing,
        };
        *connections += 1;
    }

    /// Returns the snapshot as a single line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
