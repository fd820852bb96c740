//! Connects a simulator to the scheduler: reads one batch of events per line from standard input, and writes
//! the resulting commands as one line to standard output.
#![warn(clippy::expect_used, clippy::unwrap_used)]

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use inference_router::simulator::{Adapter, BatchError};

/// The error that ended the adapter before the end of its input. Line numbers start at 1.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("line {line}: failed to read standard input: {source}")]
    Read { line: u64, source: io::Error },
    #[error("line {line}: {source}")]
    Batch { line: u64, source: BatchError },
    #[error("line {line}: failed to write standard output: {source}")]
    Write { line: u64, source: io::Error },
}

/// Processes `input` line by line until it ends, and writes one line of `output` for each.
fn process_lines(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
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

/// Writes one line and flushes it, because the simulator blocks until it has the reply.
fn write_line(output: &mut impl Write, text: &str) -> io::Result<()> {
    writeln!(output, "{text}")?;
    output.flush()
}

fn main() -> ExitCode {
    match process_lines(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
