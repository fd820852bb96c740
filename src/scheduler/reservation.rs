//! The reservation of a KV cache: how long it may wait for an attempt, and an attempt for its answer.

use super::ids::{EndpointId, Micros};
use super::outcome::Outcome;

/// Fraction of the reservation limit after which a KV cache is released; an attempt sent later could not
/// start in time.
const RELEASE_FRACTION: f64 = 0.8;
/// Fraction of the reservation limit within which an attempt with a reserved KV cache must start.
const START_FRACTION: f64 = 0.9;
/// Fraction of the reservation limit after an unanswered attempt within which the next one can be requested.
const RETRY_RELEASE_FRACTION: f64 = 0.05;
/// Fraction of the reservation limit after an unanswered attempt within which the next one must start.
const RETRY_START_FRACTION: f64 = 0.1;

/// A KV cache reserved at a prefill endpoint.
#[derive(Clone, Copy)]
pub(super) struct CacheReservation {
    pub(super) prefill_endpoint: EndpointId,
    /// When the KV cache started to wait without an attempt in flight: at the end of the prefill, or of the
    /// last attempt that its endpoint answered.
    reserved_since: Micros,
    /// End of the last attempt since then that timed out. The request may never have reached its endpoint.
    unanswered_until: Option<Micros>,
    /// Number of decode endpoints that did not respond when sent this KV cache.
    pub(super) failed_transfers: u32,
}

impl CacheReservation {
    /// Creates a reservation that starts now.
    pub(super) fn new(prefill_endpoint: EndpointId, now: Micros) -> Self {
        CacheReservation {
            prefill_endpoint,
            reserved_since: now,
            unanswered_until: None,
            failed_transfers: 0,
        }
    }

    /// Records that an attempt ended. Its outcome shows whether it reached its endpoint.
    pub(super) fn record_attempt(&mut self, now: Micros, outcome: Outcome, elapsed: Micros) {
        if outcome.reached_endpoint(elapsed) {
            self.reserved_since = now;
            self.unanswered_until = None;
        } else if outcome == Outcome::TimedOut {
            self.unanswered_until = Some(now);
        }
    }

    /// Returns the time for which the KV cache has been reserved, as a fraction of the reservation limit.
    pub(super) fn reserved_fraction(&self, now: Micros, limit: Micros) -> f64 {
        (now - self.reserved_since) as f64 / limit.max(1) as f64
    }

    /// Returns when the KV cache must be released unless an attempt is in flight. A retry after an unanswered
    /// attempt is possible for a moment, however long that attempt took.
    pub(super) fn release_at(&self, limit: Micros) -> Micros {
        self.limit_with_retry(limit, RELEASE_FRACTION, RETRY_RELEASE_FRACTION)
    }

    /// Returns the latest start of the next attempt.
    pub(super) fn start_deadline(&self, limit: Micros) -> Micros {
        self.limit_with_retry(limit, START_FRACTION, RETRY_START_FRACTION)
    }

    fn limit_with_retry(&self, limit: Micros, fraction: f64, retry_fraction: f64) -> Micros {
        let regular = self.reserved_since.saturating_add(fraction_of(limit, fraction));
        let for_retry = self.unanswered_until.map(|at| at.saturating_add(fraction_of(limit, retry_fraction)));
        for_retry.map_or(regular, |for_retry| for_retry.max(regular))
    }

    /// Returns when an unanswered attempt must end for the KV cache to be released in time even if the
    /// request never arrived. An earlier unanswered attempt is taken to have arrived: two lost in a row are
    /// unlikely, as each is sent over a new connection.
    pub(super) fn response_deadline(&self, limit: Micros) -> Micros {
        let waiting_since = self.unanswered_until.unwrap_or(self.reserved_since);
        waiting_since.saturating_add(fraction_of(limit, START_FRACTION))
    }
}

fn fraction_of(limit: Micros, fraction: f64) -> Micros {
    (limit as f64 * fraction) as Micros
}
