//! What can be wrong with the simulator's input.

use serde_json::Value;

use crate::config::settings::{SettingsError, UnknownName};

/// Why one event of a batch cannot be translated.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// It is for a replica that has not been launched.
    #[error("not launched")]
    NotLaunched,
    /// It launches a replica with settings that cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// It names something that the replica's settings do not list.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// A key of a cache is neither a text nor absent.
    #[error("{key}: expected a text, found {found}")]
    NotText {
        /// The key on the wire.
        key: &'static str,
        /// Its value.
        found: Value,
    },
    /// The tenant is neither a name nor absent.
    #[error("clientGroup: expected a name, found {found}")]
    NotTenantName {
        /// The value in its place.
        found: Value,
    },
    /// The result of a reservation is neither success nor failure.
    #[error("holdResult: unknown kind {result}")]
    UnknownReservationResult {
        /// The result's number on the wire.
        result: i64,
    },
}

/// Why a batch could not be played.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is not a batch, or the reply could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// One of its events is at fault.
    #[error("dispatcher {replica}: event {index}: {source}")]
    Event {
        /// The replica that the event is for.
        replica: u64,
        /// The event's place among those of this replica in this batch, from 0.
        index: usize,
        /// What is wrong with it.
        source: EventError,
    },
}
