//! A router that pairs prefill endpoints with decode endpoints of a language model.
//!
//! [`scheduler`] makes every decision and does no I/O. The other modules carry its decisions out: [`server`]
//! reads requests, [`request`] runs each request's task, [`upstream`] talks to endpoints, [`discovery`]
//! watches the endpoint list, and [`config`] reads the configuration. [`simulator`] lets a simulator drive
//! the same decisions.
#![warn(clippy::expect_used, clippy::unwrap_used)]

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;

pub mod clock;
pub mod config;
pub mod discovery;
pub mod metrics;
pub mod request;
pub mod routing_context;
pub mod scheduler;
pub mod scheduler_handle;
pub mod server;
pub mod shutdown;
pub mod simulator;
pub mod upstream;
