//! Lets a simulator drive the scheduler: reads batches of events from standard input, one a line, and writes
//! one line of commands for each to standard output.
#![warn(clippy::expect_used, clippy::unwrap_used)]

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use inference_router::simulator::{Adapter, BatchError};

/// Why the adapter stopped before the end of its input. Lines count from 1.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("line {line}: cannot read: {source}")]
    Read { line: u64, source: io::Error },
    #[error("line {line}: {source}")]
    Batch { line: u64, source: BatchError },
    #[error("line {line}: cannot write: {source}")]
    Write { line: u64, source: io::Error },
}

/// Answers each line of `input` with one of `output`, until the input ends.
fn answer_lines(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut batch = Vec::new();
    for line in 1.. {
        batch.clear();
        let length =
            input.read_until(b'\n', &mut batch).map_err(|source| AdapterError::Read { line, source })?;
        if length == 0 {
            break;
        }
        let reply = adapter.handle_batch(&batch).map_err(|source| AdapterError::Batch { line, source })?;
        write_line(&mut output, &reply).map_err(|source| AdapterError::Write { line, source })?;
    }
    Ok(())
}

/// Writes one line, to the end: the simulator waits for it before it goes on.
fn write_line(output: &mut impl Write, text: &str) -> io::Result<()> {
    writeln!(output, "{text}")?;
    output.flush()
}

fn main() -> ExitCode {
    match answer_lines(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
