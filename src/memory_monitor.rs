//! Logs the memory of the process beside what its client connections hold.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::process_memory::ProcessMemory;
use crate::server::connection_limits::ConnectionLimiter;

/// Interval between two measurements. Clients can fill buffers within less than a second.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum interval between two warnings.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);
/// Percentage of the limit above which a warning is logged.
const WARNING_PERCENT: u64 = 80;
const BYTES_PER_KIB: u64 = 1024;

/// Measures the memory of the process and logs it with what the clients of one API hold.
pub struct MemoryMonitor {
    /// Name of the API in the log.
    api: &'static str,
    limiter: Rc<ConnectionLimiter>,
    /// Limit of the process's own memory, in bytes; `None` if unknown.
    limit: Option<u64>,
    /// Highest value of the process's own memory since the last log line, in bytes.
    peak: u64,
    logged_at: Instant,
    warned_at: Option<Instant>,
}

impl MemoryMonitor {
    /// Creates a monitor. `limit` is the limit of the process's own memory, in bytes.
    pub fn new(api: &'static str, limiter: Rc<ConnectionLimiter>, limit: Option<u64>) -> Self {
        MemoryMonitor { api, limiter, limit, peak: 0, logged_at: Instant::now(), warned_at: None }
    }

    /// Measures at regular intervals, in an endless loop. Measurements that fail are skipped.
    pub async fn run(mut self) {
        loop {
            if let Ok(memory) = ProcessMemory::read() {
                self.record(memory);
            }
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn record(&mut self, memory: ProcessMemory) {
        self.peak = self.peak.max(memory.own);
        if self.should_warn(memory) {
            self.warned_at = Some(Instant::now());
            self.log_warning(memory);
        }
        if self.logged_at.elapsed() >= LOG_INTERVAL {
            self.logged_at = Instant::now();
            self.log(memory);
            self.peak = 0;
        }
    }

    fn should_warn(&self, memory: ProcessMemory) -> bool {
        let is_high = self.limit.is_some_and(|limit| memory.own * 100 > limit * WARNING_PERCENT);
        is_high && self.warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL)
    }

    fn log(&self, memory: ProcessMemory) {
        tracing::info!(
            api = self.api,
            own_kib = memory.own / BYTES_PER_KIB,
            peak_kib = self.peak / BYTES_PER_KIB,
            resident_kib = memory.resident / BYTES_PER_KIB,
            limit_kib = self.limit.map(|limit| limit / BYTES_PER_KIB),
            clients = %self.limiter.usage().to_json(),
            "memory"
        );
    }

    fn log_warning(&self, memory: ProcessMemory) {
        tracing::warn!(
            api = self.api,
            own_kib = memory.own / BYTES_PER_KIB,
            limit_kib = self.limit.map(|limit| limit / BYTES_PER_KIB),
            clients = %self.limiter.usage().to_json(),
            "memory is close to its limit"
        );
    }
}
