//! Eligibility: whether an endpoint may currently be sent a request.

use super::Scheduler;
use super::endpoint::{BackpressureKey, EndpointState};
use super::ids::Micros;
use super::request::Request;

impl Scheduler {
    /// Returns whether the endpoint may currently be sent the request, as far as this replica knows.
    pub(super) fn is_eligible(&self, now: Micros, endpoint: &EndpointState, request: &Request) -> bool {
        let reachable = request
            .locally_unreachable
            .is_none_or(|unreachable| unreachable.endpoint != endpoint.id || now >= unreachable.until);
        endpoint.is_ready()
            && self.may_execute_at(now, request, endpoint.id)
            && now >= endpoint.ejected_until.max(endpoint.transfer_stalled_until)
            && reachable
            && !has_trial_in_flight(endpoint)
            && !has_backpressure(now, endpoint, request)
            && self.has_slow_start_budget(now, endpoint)
    }

    fn has_slow_start_budget(&self, now: Micros, endpoint: &EndpointState) -> bool {
        let warm = endpoint.warmup_factor(now, &self.settings.rules) >= 1.0;
        warm || self.slow_start_budget(now, endpoint) >= 1.0
    }
}

/// Returns whether an attempt is in flight at an endpoint that has failed. Such an endpoint gets one attempt
/// at a time until one succeeds, like a half-open circuit breaker.
fn has_trial_in_flight(endpoint: &EndpointState) -> bool {
    endpoint.consecutive_failures > 0 && !endpoint.pending_attempts.is_empty()
}

fn has_backpressure(now: Micros, endpoint: &EndpointState, request: &Request) -> bool {
    let key = BackpressureKey { class: request.spec.class, tenant: request.spec.tenant };
    endpoint.backpressure_until.get(&key).is_some_and(|&until| now < until)
}
