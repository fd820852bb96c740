//! Slow start: limits what is sent to an endpoint that has recently started.

use super::Scheduler;
use super::endpoint::{EndpointState, Pool};
use super::hashing::unit_hash;
use super::ids::{EndpointId, Micros};
use super::settings::Rules;

/// Fraction of a warming endpoint's budget that is used. Leaves a margin for sends of several replicas that
/// happen to coincide.
const SLOW_START_FRACTION: f64 = 0.65;

/// This replica's unused part of a warming endpoint's capacity.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStartBudget {
    /// When the budget was last reset.
    reset_at: Micros,
    /// The replica's credit when the budget was last reset.
    credit_at_reset: f64,
    /// Initial budget at the reset; usually a fraction of one send.
    initial_sends: f64,
}

/// Credit accrued from this replica's arrivals since it started, in sends per ready endpoint of each pool.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStartCredit {
    accrued_at: Micros,
    prefill: f64,
    decode: f64,
}

impl SlowStartCredit {
    fn of(&self, pool: Pool) -> f64 {
        match pool {
            Pool::Prefill => self.prefill,
            Pool::Decode => self.decode,
        }
    }
}

impl EndpointState {
    /// Returns the fraction of its capacity that an endpoint has, assumed to grow linearly to 1 after its
    /// start.
    pub(super) fn warmup_factor(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at) as f64 / rules.slow_start_duration.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age.max(0.0)).min(1.0)
    }
}

impl Scheduler {
    /// Adds credit for the time since the last call, at the current arrival rate. A later burst of arrivals,
    /// which may reach all replicas at once, adds no credit for earlier time.
    pub(super) fn accrue_slow_start_credit(&mut self, now: Micros) {
        let passed = (now - self.slow_start_credit.accrued_at).max(0) as f64;
        let prefill = self.arrival_rate_per_endpoint(now, Pool::Prefill) * passed;
        let decode = self.arrival_rate_per_endpoint(now, Pool::Decode) * passed;
        let credit = &mut self.slow_start_credit;
        credit.accrued_at = now;
        credit.prefill += prefill;
        credit.decode += decode;
    }

    /// Returns the number of sends that this replica may currently make to a warming endpoint: the endpoint's
    /// growing capacity since the last send, in proportion to this replica's arrivals.
    pub(super) fn slow_start_budget(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let rules = &self.settings.rules;
        let budget = endpoint.slow_start;
        let warmup_factor = endpoint.warmup_factor(now - (now - budget.reset_at) / 2, rules);
        let accrued = self.slow_start_credit.of(endpoint.pool()) - budget.credit_at_reset;
        budget.initial_sends + accrued * rules.overload_multiple * warmup_factor * SLOW_START_FRACTION
    }

    /// Resets an endpoint's budget after a send or a start of the endpoint.
    pub(super) fn reset_slow_start_budget(&mut self, now: Micros, id: EndpointId, initial_sends: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let credit_at_reset = self.slow_start_credit.of(endpoint.pool());
        endpoint.slow_start = SlowStartBudget { reset_at: now, credit_at_reset, initial_sends };
    }

    /// Starts the slow start of an endpoint. All replicas learn of a start at the same time, so each gets a
    /// random fraction of a send as its initial budget to spread their first sends. Replicas without arrivals
    /// get it as well.
    pub(super) fn begin_slow_start(&mut self, now: Micros, id: EndpointId) {
        let initial_sends = unit_hash(id.0, now as u64 ^ self.seed);
        self.reset_slow_start_budget(now, id, initial_sends);
    }
}
