//! Slow start: how little an endpoint that has just started is sent.

use super::Scheduler;
use super::endpoint::{EndpointState, Pool};
use super::hashing::unit_hash;
use super::ids::{EndpointId, Micros};
use super::settings::Rules;

/// Share of a warming endpoint's budget that is used: sends of many replicas bunch up by chance.
const SLOW_START_SHARE: f64 = 0.65;

/// What this replica has not yet used of a warming endpoint's capacity.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStartBudget {
    /// When the budget was last reset.
    reset_at: Micros,
    /// The replica's credit at that moment.
    credit_at_reset: f64,
    /// Sends, mostly a part of one, that were there at the reset.
    saved_sends: f64,
}

/// Sends that this replica's arrivals have earned since its start, for each ready endpoint of a pool.
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
    /// Share of its capacity that an endpoint has after its start, taken to grow evenly up to 1.
    pub(super) fn warmup_factor(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at) as f64 / rules.slow_start_duration.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age.max(0.0)).min(1.0)
    }
}

impl Scheduler {
    /// Adds the credit of the time since the last call at the present arrival rate. Later arrivals, as in a
    /// burst that reaches all replicas at once, earn nothing for the time before them.
    pub(super) fn accrue_slow_start_credit(&mut self, now: Micros) {
        let passed = (now - self.slow_start_credit.accrued_at).max(0) as f64;
        let prefill = self.arrival_rate_per_endpoint(now, Pool::Prefill) * passed;
        let decode = self.arrival_rate_per_endpoint(now, Pool::Decode) * passed;
        let credit = &mut self.slow_start_credit;
        credit.accrued_at = now;
        credit.prefill += prefill;
        credit.decode += decode;
    }

    /// Sends that a warming endpoint bears from this replica since its last one: the replica's part of a
    /// capacity that grows, by its arrivals.
    pub(super) fn slow_start_budget(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let rules = &self.settings.rules;
        let budget = endpoint.slow_start;
        let warmup_factor = endpoint.warmup_factor(now - (now - budget.reset_at) / 2, rules);
        let earned = self.slow_start_credit.of(endpoint.pool()) - budget.credit_at_reset;
        budget.saved_sends + earned * rules.overload_multiple * warmup_factor * SLOW_START_SHARE
    }

    /// Resets an endpoint's budget, as a send has used it up or the endpoint has started.
    pub(super) fn reset_slow_start_budget(&mut self, now: Micros, id: EndpointId, saved_sends: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let credit_at_reset = self.slow_start_credit.of(endpoint.pool());
        endpoint.slow_start = SlowStartBudget { reset_at: now, credit_at_reset, saved_sends };
    }

    /// Begins the slow start of an endpoint. All replicas learn of a start at once, so each has a random part
    /// of a send saved, and their first sends spread out; this holds for a replica without arrivals too.
    pub(super) fn begin_slow_start(&mut self, now: Micros, id: EndpointId) {
        let saved_sends = unit_hash(id.0, now as u64 ^ self.salt);
        self.reset_slow_start_budget(now, id, saved_sends);
    }
}
