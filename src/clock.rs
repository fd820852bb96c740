//! The scheduler's clock: it starts at Unix time and then follows the monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::scheduler::Micros;

/// Unix time in microseconds, sampled once and advanced by the monotonic clock so that adjustments of the
/// wall clock never make it jump.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// Returns the current time in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}

/// Converts a duration of the scheduler for use with timers. Negative durations become zero.
pub fn duration_from_micros(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// Converts milliseconds, which are fractional on the wire, to the nearest microsecond.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round() as Micros
}

/// Converts microseconds to fractional milliseconds, as used on the wire.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
