//! Admission: decides when a queued request is sent to its endpoints.

use super::Scheduler;
use super::action::Action;
use super::decaying_average::FLEET_SAMPLE_WEIGHT;
use super::estimates::PREFILL_OVERHEAD_TOKENS;
use super::event::RequestSpec;
use super::hashing::unit_hash;
use super::ids::{EndpointId, Micros, RequestId};
use super::prefill_selection::EndpointPair;
use super::queue::{QueueEntry, Tier};
use super::request::{Request, RequestState};
use super::retry::ATTEMPTS_FOR_PREFILL_AND_DECODE;
use super::settings::Role;

/// Number of requests at the head of the objective tier that compete for admission; more than one, so that a
/// request that does not fit does not block the others.
const ADMISSION_WINDOW: usize = 4;

/// A queued request that can be admitted, and the endpoints selected for it.
struct Admission {
    entry: QueueEntry,
    pair: EndpointPair,
}

impl Scheduler {
    /// Queues a new request, or rejects one that the deployment cannot serve.
    pub(super) fn handle_request_received(
        &mut self, now: Micros, spec: &RequestSpec, actions: &mut Vec<Action>,
    ) {
        if !self.can_serve_requests() || self.settings.classes.get(spec.class.0).is_none() {
            actions.push(Action::Reject { request: spec.id, retry_after: None });
            return;
        }
        if !spec.is_retry {
            self.arrivals.record_arrival(now);
        }
        let over_quota = self.exceeds_quota(now, spec.tenant);
        let request = Request::new(now, spec, &self.settings.classes[spec.class.0], over_quota);
        self.record_request_footprint(request.footprint_tokens);
        self.requests.insert(spec.id, request);
        self.enqueue(spec.id);
        self.query_prefill_queues(now, spec.id, actions);
    }

    /// Returns whether the deployment allows enough attempts for a separate prefill and decode, or has a kind
    /// of endpoint that does both in one attempt.
    fn can_serve_requests(&self) -> bool {
        let capabilities = &self.settings.capabilities;
        let mut roles = self.settings.kinds.iter().map(|kind| kind.role);
        capabilities.max_attempts >= ATTEMPTS_FOR_PREFILL_AND_DECODE
            || roles.any(|role| match role {
                Role::Prefill => false,
                Role::Decode => capabilities.local_prefill,
                Role::Mixed => true,
            })
    }

    fn record_request_footprint(&mut self, footprint_tokens: f64) {
        let mean = &mut self.estimates.request_footprint;
        let sample_weight = if *mean > 0.0 { FLEET_SAMPLE_WEIGHT } else { 1.0 };
        *mean += sample_weight * (footprint_tokens - *mean);
    }

    /// Admits requests of the objective tier until none in the admission window passes the check. If the tier
    /// is then empty, admits one best-effort request.
    pub(super) fn admit_queued(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(admission) = self.next_within_objective(now) {
            self.queue.remove(Tier::Objective, &admission.entry);
            self.dispatch(now, admission.entry.request, admission.pair, actions);
        }
        if let Some(admission) = self.next_best_effort(now) {
            self.queue.remove(Tier::BestEffort, &admission.entry);
            self.dispatch(now, admission.entry.request, admission.pair, actions);
        }
    }

    /// Returns the first request in the admission window that passes the check. The order is random so that
    /// replicas with the same state do not all favor the same request.
    fn next_within_objective(&self, now: Micros) -> Option<Admission> {
        let mut window: Vec<_> =
            self.queue.tier(Tier::Objective).iter().take(ADMISSION_WINDOW).copied().collect();
        let draw = |entry: &QueueEntry| unit_hash(now as u32, entry.request.0 ^ self.seed);
        window.sort_by(|a, b| draw(a).total_cmp(&draw(b)));
        window.retain(|entry| now >= self.requests[&entry.request].load_reports_awaited_until);
        window.into_iter().find_map(|entry| {
            let pair = self.select_pair(now, entry.request, Tier::Objective)?;
            Some(Admission { entry, pair })
        })
    }

    /// Returns the first best-effort request. Only one of them is in progress at a time, because a late
    /// prefill delays the prefills behind it.
    fn next_best_effort(&self, now: Micros) -> Option<Admission> {
        let in_progress = |request: &Request| {
            let before_first_token =
                matches!(request.state, RequestState::Prefilling { .. } | RequestState::Decoding(_));
            request.admitted_from == Tier::BestEffort && before_first_token
        };
        if !self.queue.tier(Tier::Objective).is_empty() || self.requests.values().any(in_progress) {
            return None;
        }
        let entry = *self.queue.tier(Tier::BestEffort).first()?;
        let pair = self.select_pair(now, entry.request, Tier::BestEffort)?;
        Some(Admission { entry, pair })
    }

    /// Sends an admitted request to its prefill endpoint, or to a decode endpoint that also prefills it. The
    /// decode endpoint counts the request as a stream from now on.
    fn dispatch(&mut self, now: Micros, id: RequestId, pair: EndpointPair, actions: &mut Vec<Action>) {
        self.assign_decode_endpoint(id, pair.decode);
        let prefill_endpoint = pair.prefill.unwrap_or(pair.decode);
        let uncached_tokens = self.uncached_tokens(&self.endpoints[&prefill_endpoint], &self.requests[&id]);
        if let Some(request) = self.requests.get_mut(&id) {
            request.uncached_tokens = uncached_tokens;
            request.admitted_from = match request.state {
                RequestState::Queued(tier) => tier,
                _ => Tier::Objective,
            };
        }
        match pair.prefill {
            Some(prefill) => self.send_to_prefill(now, id, prefill, actions),
            None => self.send_to_decode(now, id, pair.decode, actions),
        }
    }

    fn send_to_prefill(
        &mut self, now: Micros, id: RequestId, prefill: EndpointId, actions: &mut Vec<Action>,
    ) {
        let expected = self.expected_prefill_time(now, id, prefill);
        let own_load = self.own_prefill_tokens(&self.endpoints[&prefill]);
        if let Some(request) = self.requests.get_mut(&id) {
            request.prefill_load_tokens = own_load + request.uncached_tokens + PREFILL_OVERHEAD_TOKENS;
            request.state = RequestState::Prefilling { prefill_endpoint: prefill };
        }
        self.send(now, id, prefill, expected, actions);
    }

    /// Returns the expected prefill time in microseconds if none of the prompt is cached. A cache miss alone
    /// must not make the attempt time out.
    fn expected_prefill_time(&self, now: Micros, id: RequestId, prefill: EndpointId) -> f64 {
        let request = &self.requests[&id];
        let cached_tokens = (request.spec.prompt_tokens - request.uncached_tokens).max(0.0);
        let without_cache = cached_tokens * self.estimates.prefill_cost_per_token;
        self.prefill_time(now, &self.endpoints[&prefill], request) + without_cache
    }
}
