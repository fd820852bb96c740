//! The log: lines on standard error, written by a thread of its own.
//!
//! Writing a line never blocks, delays or ends the router: if standard error is not read, is full or is closed,
//! lines are dropped and counted.

use std::io;
use std::time::Duration;

use tokio::time::sleep;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

/// Maximum number of lines that wait to be written. Further ones are dropped.
const MAX_WAITING_LINES: usize = 4_096;
/// Interval between checks for dropped lines.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The running log. Dropping it writes the waiting lines, for up to about a second.
pub struct Log {
    dropped_lines: ErrorCounter,
    _worker: WorkerGuard,
}

impl Log {
    /// Starts the log at the level given by `RUST_LOG`, or at `info` by default. `debug` adds the events of each
    /// request.
    pub fn start() -> Self {
        let level = std::env::var("RUST_LOG").ok().and_then(|level| level.parse().ok());
        let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_WAITING_LINES).lossy(true);
        let (writer, worker) = builder.finish(io::stderr());
        let dropped_lines = writer.error_counter();
        tracing_subscriber::fmt()
            .with_writer(writer)
            .log_internal_errors(false)
            .with_ansi(false)
            .with_target(false)
            .with_max_level(level.unwrap_or(LevelFilter::INFO))
            .init();
        Log { dropped_lines, _worker: worker }
    }

    /// Returns a counter of the lines that were dropped.
    pub fn dropped_lines(&self) -> ErrorCounter {
        self.dropped_lines.clone()
    }
}

/// Logs how many lines were dropped, whenever there were any, in an endless loop.
pub async fn report_dropped_lines(dropped_lines: ErrorCounter) {
    let mut reported = 0;
    loop {
        sleep(LOSS_CHECK_INTERVAL).await;
        let dropped = dropped_lines.dropped_lines();
        if dropped > reported {
            tracing::warn!(lines = dropped - reported, "log lines dropped: the log was not read fast enough");
            reported = dropped;
        }
    }
}
