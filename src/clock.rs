//! The scheduler's clock: monotonic, set to Unix time once at the start of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::scheduler::Micros;

/// Unix time in microseconds, read once and advanced by the monotonic clock, so that it never jumps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// The scheduler's time, in microseconds.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}

/// A duration of the scheduler in the form that timers take; a negative one is zero.
pub fn duration_from_micros(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// The nearest microsecond to a time in milliseconds, which has fractions on the wire.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round() as Micros
}

/// A time in milliseconds, as the wire has it.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
