//! How an attempt ended, and what that proves.

use super::ids::Micros;

/// Time from which a lost connection is that of an attempt in progress, and no longer one that its endpoint
/// had closed before it was used.
const MIN_IN_PROGRESS: Micros = 100_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Completed,
    /// The prompt is prefilled and its KV cache waits at the prefill endpoint.
    Prefilled,
    /// Rejected by a full or draining endpoint; it was not executed.
    Rejected,
    /// Rejected as there is no KV cache to fetch; it was not executed.
    StateMissing,
    /// The endpoint returned an error; it may have been executed.
    Error,
    /// No response in time; it may have been executed, or still be.
    TimedOut,
    /// No connection; it was not executed.
    ConnectFailed,
    /// The connection was lost; it may have been executed.
    ConnectionLost,
    /// The response could not be parsed, though the endpoint responds; it may have been executed.
    Malformed,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never sent, through no fault of the endpoint: this replica had no connection for it in time, or the
    /// endpoint began to drain.
    NotSent,
    /// Never sent, as the request had ended.
    Abandoned,
}

impl Outcome {
    /// Whether an attempt that ended like this after `elapsed` proves that it had reached its endpoint.
    pub fn reached_endpoint(self, elapsed: Micros) -> bool {
        match self {
            Outcome::Rejected
            | Outcome::StateMissing
            | Outcome::Error
            | Outcome::TimedOut
            | Outcome::Malformed => true,
            Outcome::ConnectionLost => elapsed >= MIN_IN_PROGRESS,
            _ => false,
        }
    }

    /// Whether the endpoint certainly executed nothing of the request.
    pub fn excludes_execution(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Abandoned)
    }
}
