//! Outcomes of attempts and what they imply about execution.

use super::ids::Micros;

/// A connection lost sooner than this after the send may have been an idle one that the endpoint had already
/// closed; one lost later had an attempt in progress.
const STALE_CONNECTION_WINDOW: Micros = 100_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was completed.
    Completed,
    /// The prompt was prefilled and its KV cache is held at the prefill endpoint.
    Prefilled,
    /// Rejected by an endpoint that is full or draining. The request was not executed.
    Rejected,
    /// Rejected because there was no KV cache to fetch. The request was not executed.
    StateMissing,
    /// The endpoint returned an error. The request may have been executed.
    Error,
    /// No response in time. The request may have been executed, or execution may still be in progress.
    TimedOut,
    /// No connection could be established. The request was not executed.
    ConnectFailed,
    /// The connection was lost. The request may have been executed.
    ConnectionLost,
    /// The endpoint responded, but the response could not be parsed. The request may have been executed.
    Malformed,
    /// The attempt was cancelled. The request may have been executed.
    Cancelled,
    /// Not sent for a reason other than an endpoint failure: this replica had no connection available in
    /// time, or the endpoint started to drain.
    NotSent,
    /// Not sent because the request had ended.
    Abandoned,
}

impl Outcome {
    /// Returns whether this outcome, `elapsed` after the send, shows that the attempt reached its endpoint. A
    /// timeout does not: the connection may have fallen silent before the request arrived.
    pub fn reached_endpoint(self, elapsed: Micros) -> bool {
        match self {
            Outcome::Rejected | Outcome::StateMissing | Outcome::Error | Outcome::Malformed => true,
            Outcome::ConnectionLost => elapsed >= STALE_CONNECTION_WINDOW,
            _ => false,
        }
    }

    /// Returns whether this outcome rules out that the endpoint executed any of the request.
    pub fn excludes_execution(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Abandoned)
    }
}
