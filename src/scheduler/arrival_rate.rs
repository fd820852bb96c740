//! How many requests arrive at this replica.

use super::Scheduler;
use super::decaying_average::{DecayingAverage, HALF_LIFE};
use super::endpoint::Pool;
use super::ids::Micros;

/// Least part of the averaging window that a rate is scaled up from: about the arrivals of a second.
const MIN_OBSERVED_SHARE: f64 = 0.1;

/// The decaying count of arrivals, retries left out.
#[derive(Clone, Copy, Default)]
pub(super) struct ArrivalRate {
    count: DecayingAverage,
    /// When this replica began to count.
    started_at: Option<Micros>,
}

impl ArrivalRate {
    /// Starts the count at the first call.
    pub(super) fn start(&mut self, now: Micros) {
        self.started_at.get_or_insert(now);
    }

    /// Counts a client's first try.
    pub(super) fn count(&mut self, now: Micros) {
        self.count.count(now);
    }

    /// Arrivals a microsecond; a count that began a short while ago is scaled up.
    fn per_microsecond(&self, now: Micros) -> f64 {
        let started_at = self.started_at.unwrap_or(now);
        let observed_share = 1.0 - 0.5f64.powf((now - started_at) as f64 / HALF_LIFE);
        self.count.get(now, 0.0) / observed_share.max(MIN_OBSERVED_SHARE) / HALF_LIFE
    }
}

impl Scheduler {
    /// This replica's arrivals a microsecond for each ready endpoint of the pool.
    pub(super) fn arrival_rate_per_endpoint(&self, now: Micros, pool: Pool) -> f64 {
        self.arrivals.per_microsecond(now) / self.ready_endpoints.of(pool).max(1) as f64
    }
}
