//! Communication with endpoints: connections, attempts, event streams, and releases of reservations.

pub mod connect;
pub mod connection_pool;
pub mod control_call;
pub mod event_stream;
pub mod exchange;
pub mod release;
pub mod response_head;
pub mod response_limit;
pub mod response_scanner;
pub mod send_gate;
pub mod stream_error;
pub mod write_progress;

mod attempt;
mod event_framer;
mod idle_connections;
mod load_report;
pub mod request_body;
mod request_head;
mod response;
mod tracked_stream;
