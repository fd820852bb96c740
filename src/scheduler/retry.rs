//! Retries: restrictions due to idempotency, and the final answer when no retry is possible.

use super::Scheduler;
use super::action::Action;
use super::endpoint::Pool;
use super::ids::{AttemptId, EndpointId, Micros, RequestId};
use super::request::{Request, RequestState};
use super::settings::{DeduplicationScope, Idempotency, Settings};

/// Attempts needed to prefill at one endpoint and decode at another.
pub(super) const ATTEMPTS_FOR_PREFILL_AND_DECODE: u32 = 2;
/// Attempts needed if the KV cache is already reserved.
const ATTEMPTS_FOR_DECODE: u32 = 1;
/// Time before the client's deadline at which a waiting request gets its final answer.
pub(super) const FINAL_ANSWER_MARGIN: Micros = 10_000;
/// Safety margin at the end of a deduplication window: time for a handshake and for the request to reach the
/// endpoint.
const DEDUPLICATION_MARGIN: Micros = 100_000;

impl Request {
    /// Returns the latest start of the next attempt, or `None` if unlimited. Needed because a connection may
    /// take long to open while the KV cache stays reserved.
    pub(super) fn start_deadline(&self, settings: &Settings) -> Option<Micros> {
        let deduplication_deadline = self.deduplicated_until(settings);
        let reservation_deadline = self.reservation_start_deadline(settings);
        match (deduplication_deadline, reservation_deadline) {
            (Some(deduplication), Some(reservation)) => Some(deduplication.min(reservation)),
            (limit, None) | (None, limit) => limit,
        }
    }

    /// Returns the latest start of an attempt that uses the reserved KV cache.
    fn reservation_start_deadline(&self, settings: &Settings) -> Option<Micros> {
        let RequestState::Decoding(Some(reservation)) = self.state else { return None };
        Some(reservation.start_deadline(settings.rules.reservation_limit))
    }

    /// Returns when an attempt that uses the reserved KV cache must have been answered.
    pub(super) fn reservation_response_deadline(&self, settings: &Settings) -> Option<Micros> {
        let RequestState::Decoding(Some(reservation)) = self.state else { return None };
        Some(reservation.response_deadline(settings.rules.reservation_limit))
    }

    /// Returns the latest start of an attempt that could execute a keyed request a second time.
    fn deduplicated_until(&self, settings: &Settings) -> Option<Micros> {
        let first = self.possible_execution?;
        match settings.classes[self.spec.class.0].idempotency {
            Idempotency::Keyed { window, .. } => Some(first.sent_at + window - DEDUPLICATION_MARGIN),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

impl Scheduler {
    /// Returns whether an attempt at this endpoint is safe with respect to a second execution. Applies to
    /// prefill attempts as well.
    pub(super) fn may_execute_at(&self, now: Micros, request: &Request, at: EndpointId) -> bool {
        let Some(first) = request.possible_execution else { return true };
        let scope = match self.settings.classes[request.spec.class.0].idempotency {
            Idempotency::Idempotent => return true,
            Idempotency::NonIdempotent => return false,
            Idempotency::Keyed { scope, .. } => scope,
        };
        if request.deduplicated_until(&self.settings).is_none_or(|until| now >= until) {
            return false;
        }
        let (Some(site), Some(endpoint)) = (first.site, self.endpoints.get(&at)) else {
            return scope == DeduplicationScope::All;
        };
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => site.zone == endpoint.zone || site.cell == endpoint.cell,
            DeduplicationScope::Cell => site.cell == endpoint.cell,
        }
    }

    /// Returns whether the request has enough attempts left and some endpoint may execute it.
    pub(super) fn may_execute_anywhere(&self, now: Micros, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let needed = if request.prefill_endpoint().is_some() {
            ATTEMPTS_FOR_DECODE
        } else {
            ATTEMPTS_FOR_PREFILL_AND_DECODE
        };
        if request.attempts() + needed > self.settings.capabilities.max_attempts {
            return false;
        }
        request.possible_execution.is_none()
            || self.ready_in(Pool::Decode).any(|endpoint| self.may_execute_at(now, request, endpoint.id))
    }

    /// Gives the final answer to a request that cannot be served and releases its reservations. The request
    /// is rejected, so that the client may retry, unless a second execution could do harm.
    pub(super) fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.requested_attempts > 0 {
            actions.push(Action::ReleaseReservation(id));
        }
        let client_may_retry = match self.settings.classes[request.spec.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => request.possible_execution.is_none(),
        };
        actions.push(if client_may_retry {
            Action::Reject { request: id, retry_after: self.settings.capabilities.max_retry_after }
        } else {
            Action::Fail(id)
        });
        self.remove_request(id);
    }

    /// Removes a request whose client disconnected: immediately, or when the attempt in flight ends.
    pub(super) fn handle_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_waiting() {
            actions.push(Action::ReleaseReservation(id));
            self.remove_request(id);
            return;
        }
        request.client_disconnected = true;
        if self.settings.capabilities.cancellation && !request.is_streaming() {
            let attempt = AttemptId(request.requested_attempts.max(1) - 1);
            actions.push(Action::Cancel { request: id, attempt });
        }
    }

    pub(super) fn remove_request(&mut self, id: RequestId) {
        self.unassign_decode_endpoint(id);
        if let Some(request) = self.requests.remove(&id) {
            self.queue.remove_from_all(&request.queue_entry());
        }
    }
}
