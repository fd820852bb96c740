//! Capacity check for decode endpoints: whether one more stream fits into the memory and keeps all streams
//! within their inter-token objectives.

use super::Scheduler;
use super::endpoint::EndpointState;
use super::ids::Micros;
use super::queue::Tier;
use super::request::{Request, RequestState};

/// Target fraction of the inter-token objective; below 1 because output lengths are estimates and the speed
/// curve lags behind the load.
const TARGET_LATENCY_UTILIZATION: f64 = 0.9;
/// Target fraction of a decode endpoint's KV cache memory. When the memory is full, the endpoint evicts the
/// newest stream, which must then be prefilled again.
const TARGET_MEMORY_UTILIZATION: f64 = 0.9;
/// Upper bound on a utilization, so that the headroom stays finite.
const MAX_UTILIZATION: f64 = 1e6;

/// Limits that a decode endpoint must meet for a request to be admitted to it.
#[derive(Clone, Copy)]
pub(super) struct CapacityCheck {
    /// Microseconds until the KV cache is ready.
    pub(super) cache_ready_in: f64,
    /// Latest time for the first token.
    pub(super) first_token_due_at: Micros,
}

impl CapacityCheck {
    /// Creates the check for a waiting request. The first token is due at the objective or, for a best-effort
    /// request, at the deadline.
    pub(super) fn new(request: &Request, cache_ready_in: f64) -> Self {
        let best_effort = matches!(request.state, RequestState::Queued(Tier::BestEffort));
        let first_token_due_at = if best_effort { request.deadline } else { request.objective_at };
        CapacityCheck { cache_ready_in, first_token_due_at }
    }
}

impl Scheduler {
    /// Returns the fraction of capacity that would remain at a decode endpoint with this request added. With
    /// a check, returns `None` unless the endpoint meets the objectives of all its streams, has enough memory
    /// and can produce the first token in time.
    pub(super) fn headroom(
        &self, now: Micros, request: &Request, endpoint: &EndpointState, check: Option<CapacityCheck>,
    ) -> Option<f64> {
        let latency_utilization = self.latency_utilization(now, request, endpoint);
        let memory_utilization = self.memory_utilization(now, request, endpoint);
        if let Some(check) = check {
            let time_needed = check.cache_ready_in + self.first_token_time(now, endpoint);
            let first_token_at = now.saturating_add(time_needed as Micros);
            if latency_utilization > 1.0
                || memory_utilization > 1.0
                || first_token_at > check.first_token_due_at
            {
                return None;
            }
        }
        Some(1.0 - latency_utilization.max(memory_utilization).min(MAX_UTILIZATION))
    }

    /// Returns the expected inter-token latency with this request added, relative to the strictest objective
    /// among the endpoint's streams.
    fn latency_utilization(&self, now: Micros, request: &Request, endpoint: &EndpointState) -> f64 {
        let is_new_stream = !endpoint.streams.contains(&request.id());
        let streams = self.stream_count(now, endpoint) + if is_new_stream { 1.0 } else { 0.0 };
        let warmup_factor = endpoint.warmup_factor(now, &self.settings.rules);
        let latency = self.speed_curves[endpoint.kind.0].inter_token_latency(streams) / warmup_factor;
        let objectives = self.own_streams(endpoint).map(|stream| stream.inter_token_objective);
        latency / (objectives.fold(request.inter_token_objective, f64::min) * TARGET_LATENCY_UTILIZATION)
    }

    /// Returns the KV cache memory in use with this request added, as a fraction of the target.
    fn memory_utilization(&self, now: Micros, request: &Request, endpoint: &EndpointState) -> f64 {
        let is_new_stream = !endpoint.streams.contains(&request.id());
        let added_tokens = if is_new_stream { request.footprint_tokens } else { 0.0 };
        let own_tokens: f64 = self.own_streams(endpoint).map(|stream| stream.footprint_tokens).sum();
        let tokens = own_tokens + added_tokens + self.external_tokens(now, endpoint);
        tokens / (endpoint.memory_tokens * TARGET_MEMORY_UTILIZATION).max(1.0)
    }

    /// Returns the number of streams at a decode endpoint: this replica's own, plus an estimate of the other
    /// replicas' streams from the memory that they use.
    pub(super) fn stream_count(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let external = self.external_tokens(now, endpoint) / self.estimates.request_footprint.max(1.0);
        endpoint.streams.len() as f64 + external
    }

    /// Returns this replica's requests that are assigned to a decode endpoint.
    pub(super) fn own_streams(&self, endpoint: &EndpointState) -> impl Iterator<Item = &Request> {
        endpoint.streams.iter().filter_map(|id| self.requests.get(id))
    }

    /// Returns the estimated tokens of other replicas' requests at a decode endpoint: the last reported
    /// value, decaying toward the fleet mean.
    fn external_tokens(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let mean = if endpoint.memory_tokens.is_finite() {
            self.estimates.external_fraction * endpoint.memory_tokens
        } else {
            0.0
        };
        endpoint.external_tokens.map_or(mean, |reported| reported.value_at(now, mean))
    }
}
