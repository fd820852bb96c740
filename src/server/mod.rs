//! HTTP server: reads client requests and writes responses in the protocols of two APIs.
//!
//! [`serve`] accepts connections, [`connection`] runs each of them, and a [`RequestHandler`]
//! ([`platform_api`] or [`chat_api`]) handles its requests.

mod api_context;
pub mod chat_api;
mod client_body;
pub mod client_stream;
pub mod close_reason;
pub mod connection;
pub mod connection_limits;
mod connection_stage;
pub mod connection_state;
mod eviction;
mod forwarded_head;
mod handler;
mod head_buffer;
mod head_scanner;
mod header_name;
mod listener;
mod memory_budget;
mod output_queue;
mod partial_body;
pub mod platform_api;
mod request_body;
mod request_progress;
mod response;
pub mod spiffe;
mod stream_body;
mod usage;

pub use client_body::ClientBody;
pub use handler::{RequestHandler, ServerResponse};
pub use listener::serve;
pub use memory_budget::{CONNECTION_MEMORY, REQUEST_MEMORY};
pub use stream_body::StreamBody;
pub use usage::ConnectionUsage;
