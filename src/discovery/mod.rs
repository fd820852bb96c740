//! Service discovery: keeps the endpoint list up to date.
//!
//! [`watch`] keeps a watch on discovery open, [`endpoint_list`] reads the lists that arrive on it,
//! [`directory`] applies them to the scheduler and the connection pool, and [`backoff`] spreads out the calls
//! of a fleet.

pub mod backoff;
mod client;
pub mod directory;
mod endpoint_ids;
pub mod endpoint_list;
pub mod start_times;
pub mod watch;
