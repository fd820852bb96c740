//! The rate at which requests arrive at this replica.

use super::Scheduler;
use super::decaying_average::{DecayingAverage, HALF_LIFE_US};
use super::endpoint::Pool;
use super::ids::Micros;

/// Lower bound of the observed fraction of the averaging window, by which a rate is scaled up; reached after
/// about one second.
const MIN_OBSERVED_FRACTION: f64 = 0.1;

/// A decaying count of arrivals, excluding retries.
#[derive(Clone, Copy, Default)]
pub(super) struct ArrivalRate {
    count: DecayingAverage,
    /// When counting started.
    started_at: Option<Micros>,
}

impl ArrivalRate {
    /// Starts counting; later calls have no effect.
    pub(super) fn start_counting(&mut self, now: Micros) {
        self.started_at.get_or_insert(now);
    }

    /// Counts the arrival of a request. Not called for retries by the client.
    pub(super) fn record_arrival(&mut self, now: Micros) {
        self.count.add_occurrence(now);
    }

    /// Returns the arrivals per microsecond, scaled up while the averaging window is only partly covered.
    fn per_microsecond(&self, now: Micros) -> f64 {
        let started_at = self.started_at.unwrap_or(now);
        let observed_fraction = 1.0 - 0.5f64.powf((now - started_at) as f64 / HALF_LIFE_US);
        self.count.value_at(now, 0.0) / observed_fraction.max(MIN_OBSERVED_FRACTION) / HALF_LIFE_US
    }
}

impl Scheduler {
    /// Returns the arrivals per microsecond at this replica, divided by the number of ready endpoints in the
    /// pool.
    pub(super) fn arrival_rate_per_endpoint(&self, now: Micros, pool: Pool) -> f64 {
        self.arrivals.per_microsecond(now) / self.ready_endpoints.of(pool).max(1) as f64
    }
}
