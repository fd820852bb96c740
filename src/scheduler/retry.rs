//! Retries: what idempotency allows, and the final answer where nothing is left to try.

use super::Scheduler;
use super::action::Action;
use super::endpoint::Pool;
use super::ids::{AttemptId, EndpointId, Micros, RequestId};
use super::request::{Request, RequestState};
use super::settings::{DeduplicationScope, Idempotency, Settings};

/// Attempts that a prompt needs which is prefilled at one endpoint and decoded at another.
pub(super) const ATTEMPTS_FOR_PREFILL_AND_DECODE: u32 = 2;
/// Attempts that a request with a reserved KV cache needs.
const ATTEMPTS_FOR_DECODE: u32 = 1;
/// Microseconds before the client's deadline at which a waiting request gets its final answer.
pub(super) const FINAL_ANSWER_MARGIN: Micros = 10_000;
/// Microseconds of a deduplication window that are left unused: a handshake and the way to the endpoint.
const DEDUPLICATION_MARGIN: Micros = 100_000;
/// Share of the reservation limit by which an attempt with a reserved KV cache must have begun.
const RESERVED_START_SHARE: f64 = 0.9;

impl Request {
    /// Until when the next attempt may begin; none where any time will do. A connection may take long to come
    /// up, and a reserved KV cache waits meanwhile.
    pub(super) fn start_limit(&self, settings: &Settings) -> Option<Micros> {
        let by_deduplication = self.deduplicated_until(settings);
        let by_reservation = self.reservation_start_limit(settings);
        match (by_deduplication, by_reservation) {
            (Some(deduplication), Some(reservation)) => Some(deduplication.min(reservation)),
            (limit, None) | (None, limit) => limit,
        }
    }

    /// Until when an attempt with the reserved KV cache may begin.
    fn reservation_start_limit(&self, settings: &Settings) -> Option<Micros> {
        let RequestState::Decoding(Some(reservation)) = self.state else { return None };
        let usable_for = (settings.rules.reservation_limit as f64 * RESERVED_START_SHARE) as Micros;
        Some(reservation.reserved_since.saturating_add(usable_for))
    }

    /// Until when an attempt may begin that could execute a keyed request a second time.
    fn deduplicated_until(&self, settings: &Settings) -> Option<Micros> {
        let first = self.possible_execution?;
        match settings.classes[self.spec.class.0].idempotency {
            Idempotency::Keyed { window, .. } => Some(first.sent_at + window - DEDUPLICATION_MARGIN),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

impl Scheduler {
    /// Whether no attempt at this endpoint, also not a prefill, can do harm by a second execution.
    pub(super) fn may_run_at(&self, now: Micros, request: &Request, at: EndpointId) -> bool {
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

    /// Whether the request has the attempts left that it needs, and an endpoint that may execute it.
    pub(super) fn may_run_anywhere(&self, now: Micros, id: RequestId) -> bool {
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
            || self.ready_in(Pool::Decode).any(|endpoint| self.may_run_at(now, request, endpoint.id))
    }

    /// Gives the final answer of a request that is not served, and releases everything that is reserved for
    /// it. It is rejected, so that the client may retry, unless a second execution could do harm.
    pub(super) fn finish_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.ordered_attempts > 0 {
            out.push(Action::ReleaseReservation(id));
        }
        let client_may_retry = match self.settings.classes[request.spec.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => request.possible_execution.is_none(),
        };
        out.push(if client_may_retry {
            Action::Reject { request: id, retry_after: self.settings.capabilities.max_retry_after }
        } else {
            Action::Fail(id)
        });
        self.remove_request(id);
    }

    /// Drops a request whose client has left, at once or, with an attempt in flight, when that ends.
    pub(super) fn client_disconnected(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_waiting() {
            out.push(Action::ReleaseReservation(id));
            self.remove_request(id);
            return;
        }
        request.disconnected = true;
        if self.settings.capabilities.cancellation && !request.is_streaming() {
            let attempt = AttemptId(request.ordered_attempts.max(1) - 1);
            out.push(Action::Cancel { request: id, attempt });
        }
    }

    /// Forgets a request.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        self.unassign_decode_endpoint(id);
        if let Some(request) = self.requests.remove(&id) {
            self.queue.remove_from_all(&request.queue_entry());
        }
    }
}
