//! Attempts: sending a request and handling the outcome.

use super::Scheduler;
use super::action::Action;
use super::endpoint::{EndpointState, Pool};
use super::estimates::{PREFILL_OVERHEAD_TOKENS, UNRESPONSIVE_ALLOWANCE_US};
use super::ids::{EndpointId, Micros, RequestId};
use super::outcome::Outcome;
use super::request::{ExecutionSite, LocallyUnreachable, PossibleExecution, Request, RequestState};
use super::reservation::CacheReservation;
use super::retry::ATTEMPTS_FOR_PREFILL_AND_DECODE;

/// Attempt timeout as a multiple of the expected time to the first response.
const TIMEOUT_MULTIPLE: f64 = 4.0;
/// Maximum fraction of the remaining time that one attempt may use, so that a retry still fits.
const MAX_ATTEMPT_FRACTION: f64 = 0.6;
/// That maximum applies only if it exceeds this multiple of the expected time. When all endpoints are slow, a
/// single attempt gets the whole remaining time.
const MIN_TIMEOUT_MULTIPLE: f64 = 1.5;
/// Number of decode endpoints that may fail to respond with the same KV cache before the prefill endpoint is
/// considered the cause.
const MAX_FAILED_TRANSFERS: u32 = 2;
/// How long a prefill endpoint receives no prefills after that; a congested link takes long to drain.
const TRANSFER_STALL_EJECTION_TIME: Micros = 4_000_000;
/// How long other endpoints are preferred after this replica could not send to one.
const LOCALLY_UNREACHABLE_DURATION: Micros = 100_000;

/// A finished attempt; see [`Event::AttemptFinished`](super::Event::AttemptFinished).
pub(super) struct AttemptResult {
    pub(super) request: RequestId,
    pub(super) endpoint: EndpointId,
    pub(super) outcome: Outcome,
    pub(super) is_final: bool,
    pub(super) cached_tokens: f64,
    pub(super) elapsed: Micros,
}

impl Scheduler {
    /// Sends a request to a decode endpoint, with its reserved KV cache or to be prefilled there as well.
    pub(super) fn send_to_decode(
        &mut self, now: Micros, id: RequestId, decode: EndpointId, actions: &mut Vec<Action>,
    ) {
        let expected = self.expected_first_token_time(now, &self.requests[&id], &self.endpoints[&decode]);
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = RequestState::Decoding(request.reservation());
        }
        self.send(now, id, decode, expected, actions);
    }

    /// Returns the expected microseconds until the first token at a decode endpoint, including the prefill if
    /// it has to be done there.
    fn expected_first_token_time(&self, now: Micros, request: &Request, decode: &EndpointState) -> f64 {
        let prefill_time = match request.reservation() {
            Some(_) => 0.0,
            None => self.prefill_time(now, decode, request),
        };
        self.first_token_time(now, decode) + prefill_time
    }

    /// Sends a request whose first response is expected after `expected` microseconds.
    pub(super) fn send(
        &mut self, now: Micros, id: RequestId, to: EndpointId, expected: f64, actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&to) else { return };
        request.requested_attempts += 1;
        request.last_progress_at = now;
        let time_left = (request.deadline - now).max(1) as f64;
        let reservation_left =
            request.reservation_response_deadline(&self.settings).map(|until| (until - now) as f64);
        let timeout = if request.spec.unary && endpoint.pool() == Pool::Decode {
            // A unary response gives no intermediate progress, so its attempt may use all of the remaining
            // time.
            time_left as Micros
        } else {
            endpoint.pending_attempts.insert(id, now);
            attempt_timeout(expected, time_left, reservation_left)
        };
        let start_within = request.start_deadline(&self.settings).map(|until| until - now);
        self.reset_slow_start_budget(now, to, 0.0);
        actions.push(Action::Send { request: id, endpoint: to, timeout: timeout.max(1), start_within });
    }

    /// Handles the first token of an answer.
    pub(super) fn handle_first_token(&mut self, now: Micros, id: RequestId, at: EndpointId, elapsed: Micros) {
        self.record_success(now, at);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&at) else { return };
        endpoint.pending_attempts.remove(&id);
        request.start_streaming(now);
        if request.reservation().is_some() {
            self.record_first_token_latency(now, at, elapsed);
        } else {
            endpoint.record_cached_prefix(&request.spec);
            let tokens = request.uncached_tokens + PREFILL_OVERHEAD_TOKENS;
            self.record_prefill_time(now, at, tokens, elapsed as f64);
        }
    }

    /// Updates the estimates from a finished attempt and advances its request to the next state.
    pub(super) fn handle_attempt_finished(
        &mut self, now: Micros, result: &AttemptResult, actions: &mut Vec<Action>,
    ) {
        let sent_at = self.take_pending_attempt(now, result);
        if result.outcome == Outcome::TimedOut {
            self.record_timeout(now, result);
        }
        self.record_outcome(now, result, sent_at, actions);
        let id = result.request;
        let Some(request) = self.requests.get_mut(&id) else {
            actions.push(Action::ReleaseReservation(id));
            return;
        };
        if result.is_final || request.client_disconnected {
            actions.push(Action::ReleaseReservation(id));
            self.remove_request(id);
            return;
        }
        if result.outcome == Outcome::NotSent {
            request.unsent_attempts += 1;
            let until = now + LOCALLY_UNREACHABLE_DURATION;
            request.locally_unreachable = Some(LocallyUnreachable { endpoint: result.endpoint, until });
        }
        self.advance_request(now, result, sent_at, actions);
        let deadline_passed = self.requests.get(&id).is_some_and(|open| now >= open.deadline);
        if deadline_passed || !self.may_execute_anywhere(now, id) {
            self.finish_unserved(id, actions);
        }
    }

    /// Removes the attempt from the pending ones. Returns when it was sent or, if it had already produced a
    /// first token, when that arrived.
    fn take_pending_attempt(&mut self, now: Micros, result: &AttemptResult) -> Micros {
        let endpoint = self.endpoints.get_mut(&result.endpoint);
        let sent_at = endpoint.and_then(|endpoint| endpoint.pending_attempts.remove(&result.request));
        let last_progress_at = self.requests.get(&result.request).map(|request| request.last_progress_at);
        sent_at.or(last_progress_at).unwrap_or(now)
    }

    /// Records a timeout as a latency sample. Estimates from successful attempts alone are too low under
    /// congestion.
    fn record_timeout(&mut self, now: Micros, result: &AttemptResult) {
        let Some(request) = self.requests.get(&result.request) else { return };
        match request.state {
            RequestState::Prefilling { .. } => {
                let tokens = request.uncached_tokens;
                self.record_own_prefill(now, result.request, result.endpoint, tokens, result.elapsed);
            }
            RequestState::Decoding(_) => {
                self.record_first_token_latency(now, result.endpoint, result.elapsed);
            }
            RequestState::Queued(_) | RequestState::Prefilled(_) | RequestState::Streaming(_) => {}
        }
    }

    /// Updates the endpoint's health and the estimates according to the outcome.
    fn record_outcome(
        &mut self, now: Micros, result: &AttemptResult, sent_at: Micros, actions: &mut Vec<Action>,
    ) {
        match result.outcome {
            Outcome::Completed => {
                self.record_success(now, result.endpoint);
                self.record_decode_speed(now, result.request, result.endpoint);
            }
            Outcome::Prefilled => self.record_prefill(now, result),
            Outcome::Rejected => self.record_rejection(now, result),
            Outcome::Malformed => self.record_malformed_response(now, result.endpoint, sent_at, actions),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionLost => {
                self.record_failure(now, result.endpoint, sent_at, actions);
            }
            Outcome::StateMissing | Outcome::Cancelled | Outcome::Abandoned | Outcome::NotSent => {}
        }
    }

    fn record_prefill(&mut self, now: Micros, result: &AttemptResult) {
        self.record_success(now, result.endpoint);
        self.record_cache_hit_ratio(result.request, result.endpoint, result.cached_tokens);
        let prompt_tokens = self.requests.get(&result.request).map(|request| request.spec.prompt_tokens);
        let Some(prompt_tokens) = prompt_tokens else { return };
        let uncached_tokens = (prompt_tokens - result.cached_tokens).max(0.0);
        self.record_own_prefill(now, result.request, result.endpoint, uncached_tokens, result.elapsed);
        let Some(request) = self.requests.get(&result.request) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&result.endpoint) else { return };
        endpoint.record_cached_prefill(&request.spec, result.cached_tokens);
    }

    /// Advances the request to its next state.
    fn advance_request(
        &mut self, now: Micros, result: &AttemptResult, sent_at: Micros, actions: &mut Vec<Action>,
    ) {
        let id = result.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match (request.state, result.outcome) {
            (RequestState::Prefilling { prefill_endpoint }, Outcome::Prefilled) => {
                request.state = RequestState::Prefilled(CacheReservation::new(prefill_endpoint, now));
            }
            (RequestState::Prefilling { .. }, _) => self.enqueue(id),
            // A decode endpoint that did not respond in time may nevertheless have fetched the KV cache.
            (_, Outcome::StateMissing) => self.release_and_enqueue(id, actions),
            (_, Outcome::Abandoned) => self.finish_unserved(id, actions),
            _ => self.handle_decode_failure(now, result, sent_at, actions),
        }
    }

    /// Handles a failed decode attempt. The KV cache is kept for the next attempt if it is still usable.
    fn handle_decode_failure(
        &mut self, now: Micros, result: &AttemptResult, sent_at: Micros, actions: &mut Vec<Action>,
    ) {
        let id = result.request;
        if result.outcome == Outcome::TimedOut {
            self.record_unresponsive_endpoint(id, result.endpoint);
        }
        let transfer_stalled = self.eject_stalled_prefill_endpoint(now, id);
        self.record_possible_execution(result, sent_at);
        let Some(request) = self.requests.get_mut(&id) else { return };
        // A malformed response means that decoding had started, so the KV cache has already been transferred.
        let unusable = transfer_stalled || result.outcome == Outcome::Malformed;
        match request.reservation() {
            Some(mut reservation) if !unusable => {
                reservation.record_attempt(now, result.outcome, result.elapsed);
                request.state = RequestState::Prefilled(reservation);
            }
            _ => self.release_and_enqueue(id, actions),
        }
    }

    fn release_and_enqueue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::ReleaseReservation(id));
        self.enqueue(id);
    }

    /// Records that a decode endpoint did not respond, so that the next attempt goes elsewhere.
    fn record_unresponsive_endpoint(&mut self, id: RequestId, decode: EndpointId) {
        let unresponsive_cell = self.endpoints.get(&decode).map(|endpoint| endpoint.cell);
        if let Some(request) = self.requests.get_mut(&id) {
            request.unresponsive_cell = unresponsive_cell;
            if let Some(reservation) = request.reservation_mut() {
                reservation.failed_transfers += 1;
            }
        }
        self.unassign_decode_endpoint(id);
    }

    /// Ejects a prefill endpoint whose KV cache several decode endpoints failed to fetch, provided that the
    /// request has enough attempts left for another prefill. Returns whether it was ejected.
    fn eject_stalled_prefill_endpoint(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(reservation) = request.reservation() else { return false };
        let attempts_needed = request.attempts() + ATTEMPTS_FOR_PREFILL_AND_DECODE;
        let stalled = reservation.failed_transfers >= MAX_FAILED_TRANSFERS
            && attempts_needed <= self.settings.capabilities.max_attempts;
        if stalled && let Some(prefill) = self.endpoints.get_mut(&reservation.prefill_endpoint) {
            prefill.transfer_stalled_until = now + TRANSFER_STALL_EJECTION_TIME;
        }
        stalled
    }

    /// Records the first attempt that may have executed the request.
    fn record_possible_execution(&mut self, result: &AttemptResult, sent_at: Micros) {
        let endpoint = self.endpoints.get(&result.endpoint);
        let site = endpoint.map(|endpoint| ExecutionSite { zone: endpoint.zone, cell: endpoint.cell });
        let Some(request) = self.requests.get_mut(&result.request) else { return };
        if request.possible_execution.is_none() && !result.outcome.excludes_execution() {
            request.possible_execution = Some(PossibleExecution { site, sent_at });
        }
    }
}

/// Returns the attempt's timeout in microseconds. It leaves time for another attempt after an unresponsive
/// endpoint, and ends while a reserved KV cache can still be released in time if the request never arrived.
/// Neither maximum applies if the expected time is too long for it; see [`MIN_TIMEOUT_MULTIPLE`].
fn attempt_timeout(expected: f64, time_left: f64, reservation_left: Option<f64>) -> Micros {
    let maxima = [Some(time_left * MAX_ATTEMPT_FRACTION), reservation_left];
    let applicable = maxima.into_iter().flatten().filter(|max| *max > expected * MIN_TIMEOUT_MULTIPLE);
    let max_timeout = applicable.fold(time_left, f64::min);
    (expected * TIMEOUT_MULTIPLE + UNRESPONSIVE_ALLOWANCE_US).min(max_timeout) as Micros
}
