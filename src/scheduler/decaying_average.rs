//! Averages that decay with age.

use super::ids::Micros;

/// Microseconds in which what is known of one endpoint decays by half towards what is known of the fleet:
/// long against one attempt, short against a change of load.
pub(super) const HALF_LIFE: f64 = 6e6;
/// Microseconds without a sample after which the next one counts for half of a fleet average.
const FLEET_HALF_LIFE: f64 = 8e6;
/// Least weight of a new sample in a fleet average, which has samples from every endpoint.
pub(super) const FLEET_GAIN: f64 = 0.05;

/// An average that decays towards another value with age.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingAverage {
    value: f64,
    updated_at: Micros,
}

impl DecayingAverage {
    /// An average of one sample.
    pub(super) fn new(now: Micros, value: f64) -> Self {
        DecayingAverage { value, updated_at: now }
    }

    /// A fleet average that the first sample replaces.
    pub(super) fn initial(value: f64) -> Self {
        DecayingAverage { value, updated_at: Micros::MIN / 2 }
    }

    /// The value at its last update.
    pub(super) fn last(self) -> f64 {
        self.value
    }

    /// The value now, decayed towards `baseline`.
    pub(super) fn get(self, now: Micros, baseline: f64) -> f64 {
        baseline + (self.value - baseline) * 0.5f64.powf((now - self.updated_at) as f64 / HALF_LIFE)
    }

    /// Adds a sample with the weight `gain` to an endpoint's average.
    pub(super) fn learn(&mut self, now: Micros, baseline: f64, sample: f64, gain: f64) {
        let old = self.get(now, baseline);
        *self = DecayingAverage { value: old + gain * (sample - old), updated_at: now };
    }

    /// Adds a sample to a fleet average. Its weight grows with the time since the last one, so that a replica
    /// with few requests follows a change as quickly as one with many.
    pub(super) fn learn_fleet(&mut self, now: Micros, sample: f64) {
        let age = (now - self.updated_at) as f64;
        let gain = (1.0 - 0.5f64.powf(age / FLEET_HALF_LIFE)).max(FLEET_GAIN);
        *self = DecayingAverage { value: self.value + gain * (sample - self.value), updated_at: now };
    }

    /// Counts an occurrence: the value divided by [`HALF_LIFE`] is their rate.
    pub(super) fn count(&mut self, now: Micros) {
        let value = self.get(now, 0.0) + std::f64::consts::LN_2;
        *self = DecayingAverage { value, updated_at: now };
    }
}
