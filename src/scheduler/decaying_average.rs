//! Averages that decay with age.

use super::FLEET_GAIN;
use super::ids::Micros;

/// In which what is known of one endpoint fades by half towards what is known of all.
pub(super) const HALF_LIFE: f64 = 6e6;
const FLEET_HALF_LIFE: f64 = 8e6; // and in which a mean over all endpoints turns half towards a new sample

/// A mean that fades towards another with age.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingAverage {
    pub(super) value: f64,
    pub(super) at: Micros,
}

impl DecayingAverage {
    pub(super) fn get(self, now: Micros, towards: f64) -> f64 {
        towards + (self.value - towards) * 0.5f64.powf((now - self.at) as f64 / HALF_LIFE)
    }

    pub(super) fn learn(&mut self, now: Micros, towards: f64, sample: f64, gain: f64) {
        let old = self.get(now, towards);
        *self = DecayingAverage { value: old + gain * (sample - old), at: now };
    }

    /// A mean over all endpoints follows as quickly where a router seldom hears of any as where it often
    /// does.
    pub(super) fn follow(&mut self, now: Micros, sample: f64) {
        let gain = (1.0 - 0.5f64.powf((now - self.at) as f64 / FLEET_HALF_LIFE)).max(FLEET_GAIN);
        *self = DecayingAverage { value: self.value + gain * (sample - self.value), at: now };
    }

    /// Counts an event: the value over `HALF_LIFE` is their rate.
    pub(super) fn count(&mut self, now: Micros) {
        *self = DecayingAverage { value: self.get(now, 0.0) + std::f64::consts::LN_2, at: now };
    }
}
