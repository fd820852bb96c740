//! The endpoint list: the watch on discovery, what it reads, and how it retries.
//!
//! [`watch`] keeps a watch open, [`endpoint_list`] reads the lists that come on it, and [`directory`] applies
//! them to the scheduler and to the connection pool. [`backoff`] spaces the calls of a fleet.

pub mod backoff;
mod client;
pub mod directory;
mod endpoint_ids;
pub mod endpoint_list;
pub mod start_times;
pub mod watch;
