//! Lets a simulator drive the scheduler: batches of events come in as JSON lines, and each is answered by a
//! line with the scheduler's actions. Decides nothing.
//!
//! `messages` holds the wire's types, `translate` turns them into the scheduler's events and its actions into
//! commands, and `adapter` keeps a scheduler for each simulated replica. The settings object of the first
//! message is also what a replica's configuration file holds, so [`crate::config::settings`] reads it.

mod adapter;
mod error;
mod messages;
mod translate;

pub use adapter::Adapter;
pub use error::{BatchError, EventError};
pub use translate::action_text;
