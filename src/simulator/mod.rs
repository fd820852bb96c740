//! An adapter that lets a simulator drive the scheduler. Each batch of events is a line of JSON, and the
//! reply is a line of JSON with the scheduler's actions. The adapter makes no decisions of its own.
//!
//! `messages` defines the JSON messages, `translate` converts them to the scheduler's events and its actions
//! to commands, and `adapter` keeps one scheduler per simulated replica. The settings object in the first
//! message has the same format as in a replica's configuration file, so [`crate::config::settings`] parses
//! both.

mod adapter;
mod error;
mod messages;
mod translate;

pub use adapter::Adapter;
pub use error::{BatchError, EventError};
pub use translate::action_to_json;
