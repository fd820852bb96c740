//! Errors in the simulator's input.

use serde_json::Value;

use crate::config::settings::{SettingsError, UnknownName};

/// An error in one event of a batch.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The event is for a replica that has not been launched.
    #[error("replica has not been launched")]
    NotLaunched,
    /// The settings in a launch event are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The event refers to a name that is not in the replica's settings.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The session or the prompt prefix is neither a string nor absent.
    #[error("{key}: expected a string or 0, found {found}")]
    InvalidCacheKey {
        /// The JSON key.
        key: &'static str,
        /// The value of that key.
        found: Value,
    },
    /// The tenant is neither a string nor absent.
    #[error("clientGroup: expected a string or 0, found {found}")]
    InvalidTenant {
        /// The value of `clientGroup`.
        found: Value,
    },
    /// The result of a reservation has an unknown code.
    #[error("holdResult: expected kind 1 or 2, found {result}")]
    UnknownReservationResult {
        /// The code in the message.
        result: i64,
    },
}

/// An error in processing a batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is not a valid batch, or the reply could not be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// One of the events is invalid.
    #[error("dispatcher {replica}: event {index}: {source}")]
    Event {
        /// The replica that the event is for.
        replica: u64,
        /// The index of the event among those of this replica in the batch, starting at 0.
        index: usize,
        /// The cause.
        source: EventError,
    },
}
