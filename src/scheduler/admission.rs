//! Admission: when a waiting request goes to its endpoints.

use super::Scheduler;
use super::action::Action;
use super::decaying_average::FLEET_GAIN;
use super::estimates::PREFILL_OVERHEAD_TOKENS;
use super::event::RequestSpec;
use super::hashing::unit_hash;
use super::ids::{EndpointId, Micros, RequestId};
use super::prefill_selection::EndpointPair;
use super::queue::{QueueEntry, Tier};
use super::request::{Request, RequestState};
use super::retry::ATTEMPTS_FOR_PREFILL_AND_DECODE;
use super::settings::Role;

/// First requests of the upper tier that an admission draws from: enough to pass one that does not fit.
const ADMISSION_WINDOW: usize = 4;

/// A waiting request that can go, and its endpoints.
struct Admission {
    entry: QueueEntry,
    pair: EndpointPair,
}

impl Scheduler {
    /// Takes in a new request, or rejects one that the deployment cannot serve.
    pub(super) fn request_received(&mut self, now: Micros, spec: &RequestSpec, out: &mut Vec<Action>) {
        if !self.can_serve_any() || self.settings.classes.get(spec.class.0).is_none() {
            out.push(Action::Reject { request: spec.id, retry_after: None });
            return;
        }
        if !spec.is_retry {
            self.arrivals.count(now);
        }
        let over_quota = self.exceeds_quota(now, spec.tenant);
        let request = Request::new(now, spec, &self.settings.classes[spec.class.0], over_quota);
        self.learn_request_footprint(request.footprint_tokens);
        self.requests.insert(spec.id, request);
        self.enqueue(spec.id);
        self.query_prefill_queues(now, spec.id, out);
    }

    /// Whether there are attempts for a prefill and a decode, or an endpoint that does both at once.
    fn can_serve_any(&self) -> bool {
        let capabilities = &self.settings.capabilities;
        let mut roles = self.settings.kinds.iter().map(|kind| kind.role);
        capabilities.max_attempts >= ATTEMPTS_FOR_PREFILL_AND_DECODE
            || roles.any(|role| match role {
                Role::Prefill => false,
                Role::Decode => capabilities.local_prefill,
                Role::Mixed => true,
            })
    }

    fn learn_request_footprint(&mut self, footprint_tokens: f64) {
        let mean = &mut self.estimates.request_footprint;
        let gain = if *mean > 0.0 { FLEET_GAIN } else { 1.0 };
        *mean += gain * (footprint_tokens - *mean);
    }

    /// Admits from the upper tier while any of its first requests passes the test, then one from the lower
    /// tier if the upper one is empty.
    pub(super) fn admit_queued(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(admission) = self.next_within_objective(now) {
            self.queue.remove(Tier::Objective, &admission.entry);
            self.start(now, admission.entry.request, admission.pair, out);
        }
        if let Some(admission) = self.next_best_effort(now) {
            self.queue.remove(Tier::BestEffort, &admission.entry);
            self.start(now, admission.entry.request, admission.pair, out);
        }
    }

    /// The first that passes the test of the upper tier's window, in a random order: replicas with the same
    /// knowledge should not all favour the same request.
    fn next_within_objective(&self, now: Micros) -> Option<Admission> {
        let mut window: Vec<_> =
            self.queue.tier(Tier::Objective).iter().take(ADMISSION_WINDOW).copied().collect();
        let draw = |entry: &QueueEntry| unit_hash(now as u32, entry.request.0 ^ self.salt);
        window.sort_by(|a, b| draw(a).total_cmp(&draw(b)));
        window.retain(|entry| now >= self.requests[&entry.request].load_reports_awaited_until);
        window.into_iter().find_map(|entry| {
            let pair = self.select_pair(now, entry.request, Tier::Objective)?;
            Some(Admission { entry, pair })
        })
    }

    /// The first of the lower tier. One of its requests is in progress at a time, as late prefills make the
    /// next ones late.
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

    /// Sends an admitted request to be prefilled, or to be prefilled and decoded at one endpoint. The decode
    /// endpoint counts it from now on.
    fn start(&mut self, now: Micros, id: RequestId, pair: EndpointPair, out: &mut Vec<Action>) {
        self.assign_decode_endpoint(id, pair.decode);
        let prefilled_at = pair.prefill.unwrap_or(pair.decode);
        let uncached_tokens = self.uncached_tokens(&self.endpoints[&prefilled_at], &self.requests[&id]);
        if let Some(request) = self.requests.get_mut(&id) {
            request.uncached_tokens = uncached_tokens;
            request.admitted_from = match request.state {
                RequestState::Queued(tier) => tier,
                _ => Tier::Objective,
            };
        }
        match pair.prefill {
            Some(prefill) => self.send_to_prefill(now, id, prefill, out),
            None => self.send_to_decode(now, id, pair.decode, out),
        }
    }

    fn send_to_prefill(&mut self, now: Micros, id: RequestId, prefill: EndpointId, out: &mut Vec<Action>) {
        let expected = self.expected_prefill_time(now, id, prefill);
        let own_load = self.own_prefill_tokens(&self.endpoints[&prefill]);
        if let Some(request) = self.requests.get_mut(&id) {
            request.prefill_load_tokens = own_load + request.uncached_tokens + PREFILL_OVERHEAD_TOKENS;
            request.state = RequestState::Prefilling { prefill_endpoint: prefill };
        }
        self.send(now, id, prefill, expected, out);
    }

    /// Microseconds that a prefill takes if nothing of the prompt is cached there after all: that it then
    /// takes longer is no sign of a failure.
    fn expected_prefill_time(&self, now: Micros, id: RequestId, prefill: EndpointId) -> f64 {
        let request = &self.requests[&id];
        let cached_tokens = (request.spec.prompt_tokens - request.uncached_tokens).max(0.0);
        let without_cache = cached_tokens * self.estimates.prefill_cost_per_token;
        self.prefill_time(now, &self.endpoints[&prefill], request) + without_cache
    }
}
