//! Entry point of the router: command-line arguments, logging and the exit code. [`startup`] starts and runs
//! the router.
#![warn(clippy::expect_used, clippy::unwrap_used)]

mod startup;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use tokio::task::LocalSet;
use tracing_subscriber::filter::LevelFilter;

use crate::startup::{ConfigPaths, StartError};

/// An error that terminates the program.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    /// The command-line arguments are invalid.
    #[error("usage: inference-router [--chat FILE]")]
    Usage,
    /// The async runtime cannot be created.
    #[error(transparent)]
    Runtime(io::Error),
    /// The router failed to start.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Returns the configuration paths: `LB_CONFIG` for the platform API and the `--chat FILE` argument for the
/// chat API.
fn config_paths() -> Result<ConfigPaths, ProgramError> {
    let mut arguments = std::env::args_os().skip(1);
    let chat = match (arguments.next(), arguments.next(), arguments.next()) {
        (None, ..) => None,
        (Some(flag), Some(file), None) if flag == "--chat" => Some(PathBuf::from(file)),
        _ => return Err(ProgramError::Usage),
    };
    let platform = std::env::var_os("LB_CONFIG").map(PathBuf::from);
    Ok(ConfigPaths { platform, chat })
}

/// Logs to standard error at the level given by `RUST_LOG`, or at `info` by default. `debug` adds the events
/// of each request.
fn init_logging() {
    let level = std::env::var("RUST_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .init();
}

/// Runs the router on the current thread until it is asked to shut down.
fn run() -> Result<(), ProgramError> {
    let paths = config_paths()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ProgramError::Runtime)?;
    LocalSet::new().block_on(&runtime, startup::run(&paths))?;
    Ok(())
}

fn main() -> ExitCode {
    init_logging();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("inference-router: {error}");
            ExitCode::FAILURE
        }
    }
}
