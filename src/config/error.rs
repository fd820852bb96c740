//! Configuration errors. Each error message is a single line.

use std::error::Error;
use std::io;
use std::num::ParseIntError;
use std::path::PathBuf;

/// An error from reading a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("cannot read {}: {source}", .path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The platform configuration is invalid.
    #[error("{}: {source}", .path.display())]
    Platform {
        /// Path of the file.
        path: PathBuf,
        /// The validation error.
        source: PlatformConfigError,
    },
    /// The chat configuration is invalid.
    #[error("{}: {}", .path.display(), single_line(.source))]
    Chat {
        /// Path of the file.
        path: PathBuf,
        /// The validation error.
        source: ChatConfigError,
    },
}

/// What caused a configuration error, on which it depends whether reading again may help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCause {
    /// There is no such file, or it must not be read.
    File,
    /// The file exists, and a system call failed.
    System,
    /// The file was read and is not valid. It may still be being written.
    Content,
}

impl ConfigError {
    /// Returns what caused the error.
    pub fn cause(&self) -> ErrorCause {
        match self {
            ConfigError::Read { source, .. } => match source.kind() {
                io::ErrorKind::NotFound | io::ErrorKind::PermissionDenied | io::ErrorKind::IsADirectory => {
                    ErrorCause::File
                }
                _ => ErrorCause::System,
            },
            ConfigError::Platform { .. } | ConfigError::Chat { .. } => ErrorCause::Content,
        }
    }
}

/// A validation error in the platform configuration.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The file is not valid JSON or does not match the configuration format.
    #[error(transparent)]
    Format(#[from] serde_json::Error),
    /// The connection settings, which this process uses itself, are invalid.
    #[error("settings: {0}")]
    ProcessSettings(#[source] serde_json::Error),
    /// The scheduler settings are invalid.
    #[error("settings: {0}")]
    SchedulerSettings(#[source] Box<dyn Error + Send + Sync>),
    /// The seed is not a hexadecimal number.
    #[error("seed: \"{seed}\" is not a hexadecimal number")]
    Seed {
        /// The value in the file.
        seed: String,
        /// The parse error.
        source: ParseIntError,
    },
}

/// A validation error in the chat configuration.
#[derive(Debug, thiserror::Error)]
pub enum ChatConfigError {
    /// The file is not valid TOML or does not match the configuration format.
    #[error(transparent)]
    Format(#[from] toml::de::Error),
    /// No endpoints are configured.
    #[error("servers: at least one server is required")]
    NoEndpoints,
    /// No models are configured.
    #[error("models: at least one model is required")]
    NoModels,
    /// The number of attempts is out of range.
    #[error("max_attempts: must be between 1 and 100")]
    MaxAttempts,
    /// A duration is negative or longer than one day.
    #[error("{setting}: {milliseconds} ms is out of range")]
    DurationOutOfRange {
        /// Name of the setting.
        setting: String,
        /// The configured value, in milliseconds.
        milliseconds: f64,
    },
    /// A model refers to a class that is not defined.
    #[error("models: \"{model}\" refers to unknown class \"{class}\"")]
    UnknownClass {
        /// Name of the model.
        model: String,
        /// The class that the model refers to.
        class: String,
    },
    /// The name or value of a header is not valid in HTTP.
    #[error("server_headers: header \"{name}\" has an invalid name or value")]
    InvalidHeader {
        /// Name of the header.
        name: String,
    },
}

/// Formats an error message on a single line, as the TOML parser's messages span several lines.
pub fn single_line(error: &dyn Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}
