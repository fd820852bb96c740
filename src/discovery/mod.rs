//! The endpoint list: the watch on discovery, what it reads, and how it retries.

pub mod backoff;
pub mod endpoint_list;
pub mod start_times;
pub mod watch;
