//! Latency estimates and the samples that update them.

use super::Scheduler;
use super::decaying_average::{DecayingAverage, FLEET_SAMPLE_WEIGHT};
use super::endpoint::EndpointState;
use super::ids::{EndpointId, Micros, RequestId};
use super::load_report::LOAD_REPORT_LIFETIME;
use super::prefill_selection::AFFINITY_ENDPOINTS;
use super::request::Request;

/// Tokens added to each prefill for its fixed cost.
pub(super) const PREFILL_OVERHEAD_TOKENS: f64 = 300.0;
/// Microseconds added in case an endpoint does not respond. Every timeout includes it, so that short
/// estimates leave time for a handshake and a retransmission. It is also added to the queue time of an
/// endpoint that has not answered a load query.
pub(super) const UNRESPONSIVE_ALLOWANCE_US: f64 = 300_000.0;
/// Microseconds to prefill one token, before the first sample.
const INITIAL_PREFILL_COST_US_PER_TOKEN: f64 = 80.0;
/// Microseconds from sending a request to its first token, before the first sample.
const INITIAL_FIRST_TOKEN_LATENCY_US: f64 = 100_000.0;
/// Expected fraction of a prefix in the cache of its first affinity endpoint, before the first sample.
const INITIAL_PRIMARY_CACHE_HIT_RATIO: f64 = 1.0;
/// Expected fraction of a prefix in the cache of its other affinity endpoints, before the first sample.
const INITIAL_SECONDARY_CACHE_HIT_RATIO: f64 = 0.5;
/// Weight of a new sample in an endpoint's average; a few requests suffice for it to converge.
const ENDPOINT_SAMPLE_WEIGHT: f64 = 0.25;
/// Maximum relative increase of the prefill cost per sample; most of a longer time was spent queued.
const MAX_PREFILL_COST_RISE: f64 = 0.1;

/// Estimates for the whole fleet.
pub(super) struct FleetEstimates {
    /// Microseconds to prefill one token at an endpoint with an empty queue.
    pub(super) prefill_cost_per_token: f64,
    /// Mean microseconds that a prefill spends queued.
    pub(super) prefill_wait: DecayingAverage,
    /// Mean microseconds from sending a request to its first token.
    pub(super) first_token_latency: DecayingAverage,
    /// Mean tokens per request, prompt and answer.
    pub(super) request_footprint: f64,
    /// Mean fraction of a decode endpoint's memory that other replicas' requests use.
    pub(super) external_fraction: f64,
    /// Mean fraction of a prefix found in the cache, by the endpoint's rank in the affinity order.
    pub(super) cache_hit_ratio: [f64; AFFINITY_ENDPOINTS],
}

impl Default for FleetEstimates {
    fn default() -> Self {
        let mut cache_hit_ratio = [INITIAL_SECONDARY_CACHE_HIT_RATIO; AFFINITY_ENDPOINTS];
        cache_hit_ratio[0] = INITIAL_PRIMARY_CACHE_HIT_RATIO;
        FleetEstimates {
            prefill_cost_per_token: INITIAL_PREFILL_COST_US_PER_TOKEN,
            prefill_wait: DecayingAverage::initial(0.0),
            first_token_latency: DecayingAverage::initial(INITIAL_FIRST_TOKEN_LATENCY_US),
            request_footprint: 0.0,
            external_fraction: 0.0,
            cache_hit_ratio,
        }
    }
}

impl Scheduler {
    /// Returns the expected microseconds until the first token of an attempt at a decode endpoint; at least
    /// as long as the oldest pending attempt there has waited.
    pub(super) fn first_token_time(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let fleet = self.estimates.first_token_latency.last_value();
        endpoint.first_token_latency.value_at(now, fleet).max(endpoint.oldest_pending_age(now))
    }

    /// Returns the expected microseconds until an endpoint has prefilled the prompt, including this replica's
    /// earlier prefills there; at least as long as the oldest pending attempt there has waited.
    pub(super) fn prefill_time(&self, now: Micros, endpoint: &EndpointState, request: &Request) -> f64 {
        let cost = self.estimates.prefill_cost_per_token / endpoint.warmup_factor(now, &self.settings.rules);
        let wait = self.prefill_queue_time(now, endpoint, cost);
        let own_tokens = self.own_prefill_tokens(endpoint);
        let tokens = own_tokens + self.uncached_tokens(endpoint, request) + PREFILL_OVERHEAD_TOKENS;
        (wait + tokens * cost).max(endpoint.oldest_pending_age(now))
    }

    /// Returns the expected microseconds of queued prefills from other replicas, from a recent load report or
    /// otherwise from earlier prefills.
    fn prefill_queue_time(&self, now: Micros, endpoint: &EndpointState, cost: f64) -> f64 {
        let report_age = now - endpoint.queue_reported_at;
        let wait = if report_age < LOAD_REPORT_LIFETIME {
            (endpoint.queued_prefill_tokens * cost - report_age as f64).max(0.0)
        } else {
            endpoint.prefill_wait.value_at(now, self.estimates.prefill_wait.last_value())
        };
        // The endpoint has not answered the last query and may be unresponsive.
        let query_age = now - endpoint.health_check_at;
        let query_unanswered =
            report_age > query_age && now < endpoint.health_check_at + LOAD_REPORT_LIFETIME;
        wait + if query_unanswered { UNRESPONSIVE_ALLOWANCE_US } else { 0.0 }
    }

    /// Returns the tokens of this replica's prefills in flight at an endpoint.
    pub(super) fn own_prefill_tokens(&self, endpoint: &EndpointState) -> f64 {
        let pending = endpoint.pending_attempts.keys().filter_map(|id| self.requests.get(id));
        let prefills = pending.filter(|request| request.is_prefilling());
        prefills.map(|request| request.uncached_tokens + PREFILL_OVERHEAD_TOKENS).sum()
    }

    /// Returns the number of prompt tokens that an endpoint has to prefill. At the affinity endpoints of a
    /// prefix, another replica has usually prefilled it already.
    pub(super) fn uncached_tokens(&self, endpoint: &EndpointState, request: &Request) -> f64 {
        let expected = request
            .affinity_rank(endpoint.id)
            .map_or(0.0, |rank| self.estimates.cache_hit_ratio[rank] * request.spec.prefix_tokens);
        request.spec.prompt_tokens - endpoint.cached_tokens(&request.spec).max(expected)
    }

    /// Records the latency of a first token, or the duration of a timed-out attempt as a lower bound of it.
    pub(super) fn record_first_token_latency(&mut self, now: Micros, id: EndpointId, elapsed: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let fleet = &mut self.estimates.first_token_latency;
        endpoint.first_token_latency.add_sample(
            now,
            fleet.last_value(),
            elapsed as f64,
            ENDPOINT_SAMPLE_WEIGHT,
        );
        fleet.add_fleet_sample(now, elapsed as f64);
    }

    /// Records the duration of a prefill of `uncached_tokens`, or of a timed-out one as a lower bound. The
    /// duration covers these tokens and this replica's earlier prefills at the endpoint.
    pub(super) fn record_own_prefill(
        &mut self, now: Micros, id: RequestId, at: EndpointId, uncached_tokens: f64, elapsed: Micros,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let tokens = request.prefill_load_tokens - request.uncached_tokens + uncached_tokens;
        self.record_prefill_time(now, at, tokens.max(PREFILL_OVERHEAD_TOKENS), elapsed as f64);
    }

    /// Records the duration of a prefill. Time beyond the cost of its tokens is queueing behind other
    /// replicas' prefills, which does not depend on the prompt.
    pub(super) fn record_prefill_time(&mut self, now: Micros, id: EndpointId, tokens: f64, elapsed: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let fleet = &mut self.estimates;
        let warmup_factor = endpoint.warmup_factor(now, &self.settings.rules);
        let cost = elapsed * warmup_factor / tokens;
        let max_rise = MAX_PREFILL_COST_RISE * fleet.prefill_cost_per_token;
        fleet.prefill_cost_per_token +=
            ENDPOINT_SAMPLE_WEIGHT * (cost - fleet.prefill_cost_per_token).min(max_rise);
        let wait = (elapsed - tokens * fleet.prefill_cost_per_token / warmup_factor).max(0.0);
        endpoint.prefill_wait.add_sample(now, fleet.prefill_wait.last_value(), wait, ENDPOINT_SAMPLE_WEIGHT);
        fleet.prefill_wait.add_fleet_sample(now, wait);
    }

    /// Records the fraction of a prefix that an affinity endpoint had in its cache.
    pub(super) fn record_cache_hit_ratio(&mut self, id: RequestId, at: EndpointId, cached_tokens: f64) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.spec.prefix.is_none() {
            return;
        }
        if let Some(rank) = request.affinity_rank(at) {
            let sample = (cached_tokens / request.spec.prefix_tokens.max(1.0)).min(1.0);
            let mean = &mut self.estimates.cache_hit_ratio[rank];
            *mean += FLEET_SAMPLE_WEIGHT * (sample - *mean);
        }
    }

    /// Updates the speed curve of the endpoint's kind from a completed stream.
    pub(super) fn record_decode_speed(&mut self, now: Micros, id: RequestId, at: EndpointId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_streaming()) else { return };
        let Some(endpoint) = self.endpoints.get(&at) else { return };
        let streams = self.stream_count(now, endpoint);
        let duration = (now - request.last_progress_at) as f64;
        self.speed_curves[endpoint.kind.0].add_sample(streams, request.expected_output_tokens, duration);
    }
}
