//! Entry point of the router: command-line arguments, logging and the exit code. [`startup`] starts and runs
//! the router.
#![warn(clippy::expect_used, clippy::unwrap_used)]

mod startup;

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use inference_router::logging::{Log, report_dropped_lines};
use tokio::task::LocalSet;

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

/// Runs the router on the current thread until it is asked to shut down.
fn run(log: &Log) -> Result<(), ProgramError> {
    let paths = config_paths()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ProgramError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.spawn_local(report_dropped_lines(log.dropped_lines()));
    tasks.block_on(&runtime, startup::run(&paths))?;
    Ok(())
}

fn main() -> ExitCode {
    let log = Log::start();
    match run(&log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Standard error may be closed.
            let _ = writeln!(io::stderr(), "inference-router: {error}");
            ExitCode::FAILURE
        }
    }
}
