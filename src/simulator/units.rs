//! Times: milliseconds with fractions on the wire, microseconds in the scheduler.

use crate::scheduler::Micros;

/// The nearest microsecond to a time in milliseconds.
pub(super) fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round() as Micros
}

/// A time in milliseconds.
pub(super) fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
