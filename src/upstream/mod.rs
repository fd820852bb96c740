//! Calls to endpoints: connections, attempts, event streams and releases.

pub mod connection_pool;
pub mod event_stream;
pub mod exchange;
pub mod release;
pub mod send_gate;
