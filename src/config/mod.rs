//! Configuration files. They are read at startup, and the platform's again on SIGHUP.
//!
//! [`platform`] and [`chat`] each parse and validate one file, [`reload`] handles SIGHUP, and [`error`]
//! defines the errors.

pub mod chat;
pub mod error;
pub mod platform;
mod pool;
pub mod reload;
pub mod settings;
mod tls;

pub use chat::ChatConfig;
pub use error::ConfigError;
pub use platform::PlatformConfig;
pub use tls::TlsSettings;
