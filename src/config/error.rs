//! Why a configuration cannot be used. Each error is shown as one line.

use std::error::Error;
use std::io;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("cannot read {}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why it could not be read.
        source: io::Error,
    },
    /// The platform's file was read and is invalid.
    #[error("{}: {source}", .path.display())]
    Platform {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: PlatformConfigError,
    },
    /// The chat API's file was read and is invalid.
    #[error("{}: {}", .path.display(), single_line(.source))]
    Chat {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ChatConfigError,
    },
}

impl ConfigError {
    /// Whether the same file may be readable in a moment: the system failed to read it, and it is there.
    pub fn is_transient(&self) -> bool {
        match self {
            ConfigError::Read { source, .. } => !matches!(
                source.kind(),
                io::ErrorKind::NotFound | io::ErrorKind::PermissionDenied | io::ErrorKind::IsADirectory
            ),
            ConfigError::Platform { .. } | ConfigError::Chat { .. } => false,
        }
    }
}

/// What is wrong with the platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// It is not JSON, or not the JSON of a configuration.
    #[error(transparent)]
    Format(#[from] serde_json::Error),
    /// The part of the settings that this process itself uses is invalid.
    #[error("settings: {0}")]
    ProcessSettings(#[source] serde_json::Error),
    /// The scheduler's settings are invalid.
    #[error("settings: {0}")]
    SchedulerSettings(#[source] Box<dyn Error + Send + Sync>),
    /// The seed is not a hexadecimal number.
    #[error("seed: \"{seed}\" is not a hexadecimal number")]
    Seed {
        /// The seed as it is written.
        seed: String,
        /// Why it is not a number.
        source: ParseIntError,
    },
}

/// What is wrong with the chat API's configuration.
#[derive(Debug, thiserror::Error)]
pub enum ChatConfigError {
    /// It is not TOML, or not the TOML of a configuration.
    #[error(transparent)]
    Format(#[from] toml::de::Error),
    /// There is no endpoint to send to.
    #[error("servers: at least one is needed")]
    NoEndpoints,
    /// There is no model to serve.
    #[error("models: at least one is needed")]
    NoModels,
    /// The number of attempts is out of range.
    #[error("max_attempts: must lie between 1 and 100")]
    MaxAttempts,
    /// A duration is negative or over one day.
    #[error("{setting}: {milliseconds} ms is out of range")]
    DurationOutOfRange {
        /// The setting that holds it.
        setting: String,
        /// The duration.
        milliseconds: f64,
    },
    /// A model has a class that is not defined.
    #[error("models: \"{model}\" has the unknown class \"{class}\"")]
    UnknownClass {
        /// The model.
        model: String,
        /// The class that it names.
        class: String,
    },
    /// A header's name or value is not allowed in HTTP.
    #[error("server_headers: \"{name}\" is not a header")]
    InvalidHeader {
        /// The header's name.
        name: String,
    },
}

/// An error's text on one line: the TOML parser shows the place of an error over several.
pub fn single_line(error: &dyn Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}
