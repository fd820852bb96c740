//! Averages that decay over time.

use super::ids::Micros;

/// Half-life with which an endpoint's average decays towards the fleet average; long compared with one
/// attempt, short compared with changes in load.
pub(super) const HALF_LIFE: f64 = 6e6;
/// Microseconds without a sample after which the next sample has a weight of one half in a fleet average.
const FLEET_HALF_LIFE: f64 = 8e6;
/// Weight of a new sample in a fleet average, which gets samples from all endpoints; a lower bound where the
/// weight depends on the time since the last one.
pub(super) const FLEET_GAIN: f64 = 0.05;

/// An average that decays towards a baseline over time.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingAverage {
    value: f64,
    updated_at: Micros,
}

impl DecayingAverage {
    /// Creates an average from one sample.
    pub(super) fn new(now: Micros, value: f64) -> Self {
        DecayingAverage { value, updated_at: now }
    }

    /// Creates a fleet average with a default value that the first sample replaces.
    pub(super) fn initial(value: f64) -> Self {
        DecayingAverage { value, updated_at: Micros::MIN / 2 }
    }

    /// The value as of its last update.
    pub(super) fn last(self) -> f64 {
        self.value
    }

    /// The value at `now`, decayed towards `baseline`.
    pub(super) fn get(self, now: Micros, baseline: f64) -> f64 {
        baseline + (self.value - baseline) * 0.5f64.powf((now - self.updated_at) as f64 / HALF_LIFE)
    }

    /// Adds a sample with weight `gain` to an endpoint's average.
    pub(super) fn learn(&mut self, now: Micros, baseline: f64, sample: f64, gain: f64) {
        let old = self.get(now, baseline);
        *self = DecayingAverage { value: old + gain * (sample - old), updated_at: now };
    }

    /// Adds a sample to a fleet average. The weight grows with the time since the last sample, so that
    /// replicas with few requests adapt as quickly as those with many.
    pub(super) fn learn_fleet(&mut self, now: Micros, sample: f64) {
        let age = (now - self.updated_at) as f64;
        let gain = (1.0 - 0.5f64.powf(age / FLEET_HALF_LIFE)).max(FLEET_GAIN);
        *self = DecayingAverage { value: self.value + gain * (sample - self.value), updated_at: now };
    }

    /// Counts one occurrence; the value divided by [`HALF_LIFE`] is the rate per microsecond.
    pub(super) fn count(&mut self, now: Micros) {
        let value = self.get(now, 0.0) + std::f64::consts::LN_2;
        *self = DecayingAverage { value, updated_at: now };
    }
}
