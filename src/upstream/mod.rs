//! Calls to endpoints: connections, attempts, event streams and releases.

pub mod connect;
pub mod connection_pool;
pub mod event_stream;
pub mod exchange;
pub mod release;
pub mod send_gate;
pub mod write_progress;

mod event_framer;
mod idle_connections;
