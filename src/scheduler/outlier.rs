//! Outlier detection: failures eject an endpoint for a while, rejections hold a class back from it.

use super::Scheduler;
use super::action::Action;
use super::attempt::AttemptResult;
use super::endpoint::BackpressureKey;
use super::ids::{EndpointId, Micros};

/// Microseconds of ejection after a failure; doubled with each further one.
const BASE_EJECTION: Micros = 250_000;
/// Longest ejection in microseconds, so that an endpoint that is back is soon found.
const MAX_EJECTION: Micros = 2_000_000;
/// Most doublings of the ejection: far above what [`MAX_EJECTION`] allows, and no overflow.
const MAX_EJECTION_DOUBLINGS: u32 = 10;
/// Failures in a row after which an endpoint that works again is taken to have restarted.
const FAILURES_FOR_RESTART: u32 = 3;
/// Malformed responses in a row that are passed over: a few come from any healthy endpoint.
const MAX_MALFORMED_RESPONSES: u32 = 2;
/// Shortest backpressure in microseconds after a rejection.
const MIN_BACKPRESSURE: Micros = 100_000;
/// Longest backpressure in microseconds: room comes back sooner than congestion is forgotten.
const MAX_BACKPRESSURE: Micros = 4_000_000;
/// Backpressure as a multiple of the time that the rejection took.
const BACKPRESSURE_MULTIPLE: Micros = 20;

impl Scheduler {
    /// Ejects an endpoint after a failure, longer each time. An attempt sent before the last failure does not
    /// count: one failure mostly ends many attempts.
    pub(super) fn record_failure(
        &mut self, now: Micros, id: EndpointId, sent_at: Micros, out: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if endpoint.consecutive_failures > 0 && sent_at < endpoint.failed_at {
            return;
        }
        endpoint.consecutive_failures += 1;
        endpoint.failed_at = now;
        let doublings = (endpoint.consecutive_failures - 1).min(MAX_EJECTION_DOUBLINGS);
        endpoint.ejected_until = now + (BASE_EJECTION << doublings).min(MAX_EJECTION);
        if endpoint.consecutive_failures == FAILURES_FOR_RESTART {
            out.push(Action::Log(format!("host {} fails again and again: single trials only", id.0)));
        }
    }

    /// Ends the ejection, as the endpoint gave a useful response. After repeated failures it has most likely
    /// restarted and begins a slow start, unless the endpoint list already said so.
    pub(super) fn record_success(&mut self, now: Micros, id: EndpointId) {
        let slow_start_duration = self.settings.rules.slow_start_duration;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let started_long_ago =
            endpoint.started_at.is_none_or(|at| at < endpoint.failed_at - slow_start_duration);
        let presumed_restarted = endpoint.consecutive_failures >= FAILURES_FOR_RESTART && started_long_ago;
        endpoint.consecutive_failures = 0;
        endpoint.malformed_responses = 0;
        endpoint.ejected_until = now;
        if presumed_restarted {
            endpoint.started_at = Some(now);
            self.begin_slow_start(now, id);
        }
    }

    /// Keeps requests of the same class and tenant from an endpoint that rejected one: it may be full for
    /// these alone. The longer the rejection took, the longer.
    pub(super) fn record_rejection(&mut self, now: Micros, result: &AttemptResult) {
        let Some(request) = self.requests.get(&result.request) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&result.endpoint) else { return };
        let backpressure =
            result.elapsed.saturating_mul(BACKPRESSURE_MULTIPLE).clamp(MIN_BACKPRESSURE, MAX_BACKPRESSURE);
        let key = BackpressureKey { class: request.spec.class, tenant: request.spec.tenant };
        endpoint.backpressure_until.insert(key, now.saturating_add(backpressure));
    }

    /// Counts a malformed response; only an endpoint that sends little else fails.
    pub(super) fn record_malformed_response(
        &mut self, now: Micros, id: EndpointId, sent_at: Micros, out: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if endpoint.malformed_responses < MAX_MALFORMED_RESPONSES {
            endpoint.malformed_responses += 1;
        } else {
            self.record_failure(now, id, sent_at, out);
        }
    }
}
