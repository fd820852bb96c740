//! The HTTP server side: two APIs read clients' requests, each in its own protocol, and write the responses.
//!
//! [`serve`] accepts connections, [`connection`] runs one of them, and a [`RequestHandler`] ([`platform_api`]
//! or [`chat_api`]) answers its requests.

mod api_context;
pub mod chat_api;
pub mod client_stream;
pub mod close_reason;
pub mod connection;
pub mod connection_limits;
pub mod connection_state;
mod handler;
mod head_scanner;
mod listener;
pub mod platform_api;
mod request_body;
mod response;
pub mod spiffe;
mod stream_body;

pub use handler::{RequestHandler, ServerResponse};
pub use listener::serve;
pub use stream_body::StreamBody;
