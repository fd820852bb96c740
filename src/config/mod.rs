//! The configuration files, read at the start and, for the platform, again at each SIGHUP.
//!
//! [`platform`] and [`chat`] each turn one file into one configuration type, with its errors in [`error`];
//! [`reload`] reads the platform's file again.

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
