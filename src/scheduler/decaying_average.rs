//! Averages that decay over time.

use super::ids::Micros;

/// Half-life with which an endpoint's average decays toward the fleet average; long compared with one
/// attempt, short compared with changes in load.
pub(super) const HALF_LIFE_US: f64 = 6e6;
/// Microseconds without a sample after which the next sample has a weight of one half in a fleet average.
const FLEET_HALF_LIFE_US: f64 = 8e6;
/// Weight of a new sample in a fleet average, which gets samples from all endpoints; a lower bound where the
/// weight depends on the time since the last one.
pub(super) const FLEET_SAMPLE_WEIGHT: f64 = 0.05;

/// An average that decays toward a baseline over time.
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

    /// Returns the value as of the last update.
    pub(super) fn last_value(self) -> f64 {
        self.value
    }

    /// Returns the value at `now`, decayed toward `baseline`.
    pub(super) fn value_at(self, now: Micros, baseline: f64) -> f64 {
        baseline + (self.value - baseline) * 0.5f64.powf((now - self.updated_at) as f64 / HALF_LIFE_US)
    }

    /// Adds a sample with weight `sample_weight` to an endpoint's average.
    pub(super) fn add_sample(&mut self, now: Micros, baseline: f64, sample: f64, sample_weight: f64) {
        let old = self.value_at(now, baseline);
        *self = DecayingAverage { value: old + sample_weight * (sample - old), updated_at: now };
    }

    /// Adds a sample to a fleet average. The weight grows with the time since the last sample, so that
    /// replicas with few requests adapt as quickly as those with many.
    pub(super) fn add_fleet_sample(&mut self, now: Micros, sample: f64) {
        let age = (now - self.updated_at) as f64;
        let sample_weight = (1.0 - 0.5f64.powf(age / FLEET_HALF_LIFE_US)).max(FLEET_SAMPLE_WEIGHT);
        *self =
            DecayingAverage { value: self.value + sample_weight * (sample - self.value), updated_at: now };
    }

    /// Counts one occurrence; the value divided by [`HALF_LIFE_US`] is the rate per microsecond.
    pub(super) fn add_occurrence(&mut self, now: Micros) {
        let value = self.value_at(now, 0.0) + std::f64::consts::LN_2;
        *self = DecayingAverage { value, updated_at: now };
    }
}
