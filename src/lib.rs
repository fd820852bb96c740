//! A router that pairs prefill endpoints with decode endpoints of a language model.
//!
//! [`scheduler`] makes all decisions and performs no I/O. The other modules carry them out: [`server`]
//! accepts requests, [`request`] runs a task per request, [`upstream`] communicates with endpoints,
//! [`discovery`] watches the endpoint list, and [`config`] reads the configuration. [`simulator`] lets a
//! simulator drive the same scheduler.
#![warn(clippy::expect_used, clippy::unwrap_used)]

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;

mod bounded_read;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod logging;
pub mod memory_monitor;
pub mod metrics;
pub mod process_memory;
pub mod request;
pub mod routing_context;
pub mod scheduler;
pub mod scheduler_handle;
pub mod server;
pub mod shutdown;
pub mod simulator;
pub mod upstream;
