//! Outlier detection: failures eject an endpoint temporarily, and a rejection applies backpressure to its
//! class and tenant.

use super::Scheduler;
use super::action::Action;
use super::attempt::AttemptResult;
use super::endpoint::BackpressureKey;
use super::ids::{EndpointId, Micros};

/// Ejection time after the first failure; doubled by each further consecutive failure.
const BASE_EJECTION_TIME: Micros = 250_000;
/// Maximum ejection time, so that an endpoint that has recovered is used again soon.
const MAX_EJECTION_TIME: Micros = 2_000_000;
/// Maximum number of doublings; high enough to reach [`MAX_EJECTION_TIME`], low enough to avoid overflow.
const MAX_EJECTION_DOUBLINGS: u32 = 10;
/// Consecutive failures after which an endpoint that recovers is assumed to have restarted.
const FAILURES_FOR_RESTART: u32 = 3;
/// Consecutive malformed responses that are tolerated; healthy endpoints send one occasionally.
const MAX_MALFORMED_RESPONSES: u32 = 2;
/// Minimum backpressure after a rejection.
const MIN_BACKPRESSURE_TIME: Micros = 100_000;
/// Maximum backpressure. Endpoints have capacity again sooner than a longer value, derived from a rejection
/// that congestion delayed, would expire.
const MAX_BACKPRESSURE_TIME: Micros = 4_000_000;
/// Backpressure as a multiple of the time that the rejection took.
const BACKPRESSURE_MULTIPLE: Micros = 20;

impl Scheduler {
    /// Ejects an endpoint after a failure, with exponential backoff. Attempts sent before the last failure
    /// are ignored, because one failure usually ends many attempts at once.
    pub(super) fn record_failure(
        &mut self, now: Micros, id: EndpointId, sent_at: Micros, actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if endpoint.consecutive_failures > 0 && sent_at < endpoint.failed_at {
            return;
        }
        endpoint.consecutive_failures += 1;
        endpoint.failed_at = now;
        let doublings = (endpoint.consecutive_failures - 1).min(MAX_EJECTION_DOUBLINGS);
        endpoint.ejected_until = now + (BASE_EJECTION_TIME << doublings).min(MAX_EJECTION_TIME);
        if endpoint.consecutive_failures == FAILURES_FOR_RESTART {
            actions.push(Action::Log(format!("host {} fails again and again: single trials only", id.0)));
        }
    }

    /// Ends the ejection after a successful response. After repeated failures the endpoint has most likely
    /// restarted, so it enters slow start unless the endpoint list already reported the restart.
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

    /// Applies backpressure to requests of the same class and tenant, because the endpoint may be full only
    /// for these. Slower rejections cause longer backpressure.
    pub(super) fn record_rejection(&mut self, now: Micros, result: &AttemptResult) {
        let Some(request) = self.requests.get(&result.request) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&result.endpoint) else { return };
        let backpressure = result
            .elapsed
            .saturating_mul(BACKPRESSURE_MULTIPLE)
            .clamp(MIN_BACKPRESSURE_TIME, MAX_BACKPRESSURE_TIME);
        let key = BackpressureKey { class: request.spec.class, tenant: request.spec.tenant };
        endpoint.backpressure_until.insert(key, now.saturating_add(backpressure));
    }

    /// Counts a malformed response. It is treated as a failure only after several in a row.
    pub(super) fn record_malformed_response(
        &mut self, now: Micros, id: EndpointId, sent_at: Micros, actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if endpoint.malformed_responses < MAX_MALFORMED_RESPONSES {
            endpoint.malformed_responses += 1;
        } else {
            self.record_failure(now, id, sent_at, actions);
        }
    }
}
