//! Selection of the decode endpoint for a request.

use super::Scheduler;
use super::action::Action;
use super::decode_capacity::CapacityCheck;
use super::endpoint::{EndpointState, Pool};
use super::hashing::rendezvous_score;
use super::ids::{EndpointId, Micros, RequestId};
use super::request::{Request, RequestState};
use super::reservation::CacheReservation;
use super::retry::FINAL_ANSWER_MARGIN;

/// Exponent of the headroom in a decode endpoint's weight. Favors the endpoint with the most headroom
/// without sending all replicas to it.
const HEADROOM_EXPONENT: f64 = 4.0;
/// Weight of a decode endpoint in another zone, relative to 1 in the same zone; transfers between zones cost
/// more.
const OTHER_ZONE_WEIGHT: f64 = 0.25;
/// Fraction of the reservation limit after which a KV cache may go to a decode endpoint that fails the check.
const UNCHECKED_DECODE_FRACTION: f64 = 0.4;

/// Criteria for selecting a decode endpoint.
#[derive(Clone, Copy)]
pub(super) struct DecodeCriteria<'a> {
    pub(super) now: Micros,
    pub(super) request: &'a Request,
    /// The endpoint that has or will have the KV cache; `None` if the decode endpoint also prefills.
    pub(super) prefill: Option<&'a EndpointState>,
    /// The check to pass; `None` to allow any eligible endpoint.
    pub(super) check: Option<CapacityCheck>,
}

/// Whether a decode endpoint must be in the same cell as the KV cache.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CellConstraint {
    SameCell,
    AnyCell,
}

impl Scheduler {
    /// Selects an eligible decode endpoint that passes the check. The draw is random and weighted by
    /// headroom, so that replicas with the same state do not all select the same endpoint.
    pub(super) fn select_decode(
        &self, criteria: &DecodeCriteria<'_>, predicate: impl Fn(&EndpointState) -> bool,
    ) -> Option<EndpointId> {
        let candidates = self.endpoints.values().filter(|endpoint| {
            endpoint.pool() == Pool::Decode
                && self.is_eligible(criteria.now, endpoint, criteria.request)
                && predicate(endpoint)
        });
        let scored = candidates
            .filter_map(|endpoint| self.decode_score(criteria, endpoint).map(|score| (score, endpoint.id)));
        scored.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// Returns the endpoint's score in the weighted draw, or `None` if it fails the check. An endpoint
    /// without headroom scores below every endpoint that has some.
    fn decode_score(&self, criteria: &DecodeCriteria<'_>, endpoint: &EndpointState) -> Option<f64> {
        let request = criteria.request;
        let headroom = self.headroom(criteria.now, request, endpoint, criteria.check)?;
        if headroom > 0.0 {
            let locality = criteria.prefill.map_or(1.0, |prefill| locality_weight(prefill, endpoint));
            let weight = headroom.powf(HEADROOM_EXPONENT) * locality;
            Some(rendezvous_score(endpoint.id.0, self.seed ^ request.id().0, weight))
        } else {
            Some(headroom)
        }
    }

    /// Sends prefilled requests to decode endpoints and releases KV caches that no decode endpoint can take
    /// in time.
    pub(super) fn send_prefilled(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_prefilled = |request: &&Request| matches!(request.state, RequestState::Prefilled(_));
        let prefilled: Vec<_> = self.requests.values().filter(is_prefilled).map(Request::id).collect();
        let first_token_time =
            self.shortest_time(Pool::Decode, |endpoint| self.first_token_time(now, endpoint));
        let earliest_first_token = now.saturating_add(first_token_time as Micros);
        for id in prefilled {
            self.send_or_release(now, id, earliest_first_token, actions);
        }
    }

    fn send_or_release(
        &mut self, now: Micros, id: RequestId, earliest_first_token: Micros, actions: &mut Vec<Action>,
    ) {
        let request = &self.requests[&id];
        let RequestState::Prefilled(reservation) = request.state else { return };
        if self.must_release(now, request, reservation) {
            actions.push(Action::ReleaseReservation(id));
            self.enqueue(id);
            return;
        }
        let decode = self.decode_for_reservation(now, request, reservation, earliest_first_token);
        if let Some(decode) = decode {
            self.assign_decode_endpoint(id, decode);
            self.send_to_decode(now, id, decode, actions);
        }
    }

    /// Returns whether a KV cache must be released because no further attempt could use it in time.
    fn must_release(&self, now: Micros, request: &Request, reservation: CacheReservation) -> bool {
        request.attempts() >= self.settings.capabilities.max_attempts
            || now >= request.deadline - FINAL_ANSWER_MARGIN
            || now >= reservation.release_at(self.settings.rules.reservation_limit)
    }

    /// Selects the decode endpoint for a reserved KV cache. In order of preference: the endpoint assigned at
    /// admission, one outside the cell of an unresponsive endpoint, the nearest one and, after a while, the
    /// nearest one even if it fails the check.
    fn decode_for_reservation(
        &self, now: Micros, request: &Request, reservation: CacheReservation, earliest_first_token: Micros,
    ) -> Option<EndpointId> {
        let mut check = CapacityCheck::new(request, 0.0);
        if earliest_first_token > request.objective_at {
            // The objective can no longer be met, so there is no benefit in waiting for it.
            check.first_token_due_at = request.deadline;
        }
        let prefill = self.endpoints.get(&reservation.prefill_endpoint);
        let checked = DecodeCriteria { now, request, prefill, check: Some(check) };
        let unchecked = DecodeCriteria { check: None, ..checked };
        let limit = self.settings.rules.reservation_limit;
        self.select_decode(&checked, |endpoint| endpoint.streams.contains(&request.id()))
            .or_else(|| self.select_outside_unresponsive_cell(&checked))
            .or_else(|| self.select_nearest(&checked))
            .or_else(|| {
                let may_skip_check = reservation.reserved_fraction(now, limit) >= UNCHECKED_DECODE_FRACTION;
                if may_skip_check { self.select_nearest(&unchecked) } else { None }
            })
    }

    /// Selects an endpoint outside the cell of the last unresponsive one, because congestion and packet loss
    /// mostly affect the whole cell.
    fn select_outside_unresponsive_cell(&self, criteria: &DecodeCriteria<'_>) -> Option<EndpointId> {
        let unresponsive_cell = criteria.request.unresponsive_cell?;
        self.select_decode(criteria, |endpoint| endpoint.cell != unresponsive_cell)
    }

    /// Selects an endpoint in the same cell as the KV cache, otherwise in any cell.
    fn select_nearest(&self, criteria: &DecodeCriteria<'_>) -> Option<EndpointId> {
        let select = |constraint: CellConstraint| {
            self.select_decode(criteria, |endpoint| {
                constraint == CellConstraint::AnyCell
                    || criteria.prefill.is_none_or(|prefill| prefill.cell == endpoint.cell)
            })
        };
        select(CellConstraint::SameCell).or_else(|| select(CellConstraint::AnyCell))
    }

    /// Assigns the request to a decode endpoint, which counts it as one of its streams.
    pub(super) fn assign_decode_endpoint(&mut self, id: RequestId, decode: EndpointId) {
        self.unassign_decode_endpoint(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&decode) else { return };
        request.decode_endpoint = Some(decode);
        endpoint.streams.insert(id);
    }

    /// Reverses [`assign_decode_endpoint`](Self::assign_decode_endpoint).
    pub(super) fn unassign_decode_endpoint(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(decode) = request.decode_endpoint.take() else { return };
        if let Some(endpoint) = self.endpoints.get_mut(&decode) {
            endpoint.streams.remove(&id);
        }
    }
}

/// Returns the weight of a decode endpoint by its distance from the KV cache. Transfers to other cells favor
/// cells with spare decode capacity, mostly in the same zone.
fn locality_weight(prefill: &EndpointState, decode: &EndpointState) -> f64 {
    if prefill.cell == decode.cell {
        1.0
    } else if prefill.zone == decode.zone {
        decode.remote_capacity_weight
    } else {
        decode.remote_capacity_weight * OTHER_ZONE_WEIGHT
    }
}
