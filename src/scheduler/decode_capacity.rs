//! The test of a decode endpoint: whether one more stream keeps the pace of all and fits into its memory.

use super::Scheduler;
use super::endpoint::EndpointState;
use super::ids::Micros;
use super::queue::Tier;
use super::request::{Request, RequestState};

/// Share of the wanted pace that is used: answer lengths are estimates and the speed curve lags behind.
const PACE_HEADROOM: f64 = 0.9;
/// Share of a decode endpoint's memory that is used: beyond it, the newest stream is evicted and prefilled
/// anew.
const MEMORY_HEADROOM: f64 = 0.9;
/// Bound of a utilization, so that the room stays a finite number.
const MAX_UTILIZATION: f64 = 1e6;

/// What the first token must keep for a decode endpoint to pass.
#[derive(Clone, Copy)]
pub(super) struct FirstTokenTest {
    /// Microseconds until the KV cache is ready.
    pub(super) ready_in: f64,
    /// By when the first token must come.
    pub(super) limit: Micros,
}

impl FirstTokenTest {
    /// The test of a waiting request, by its objective or, where that does not count any more, its deadline.
    pub(super) fn new(request: &Request, ready_in: f64) -> Self {
        let best_effort = matches!(request.state, RequestState::Queued(Tier::BestEffort));
        let limit = if best_effort { request.deadline } else { request.objective_at };
        FirstTokenTest { ready_in, limit }
    }
}

impl Scheduler {
    /// The room that would be left at a decode endpoint, as a share. With a test, none unless the endpoint
    /// keeps the pace of all its streams, has the memory, and gives the first token in time.
    pub(super) fn room(
        &self, now: Micros, request: &Request, endpoint: &EndpointState, test: Option<FirstTokenTest>,
    ) -> Option<f64> {
        let pace_utilization = self.pace_utilization(now, request, endpoint);
        let memory_utilization = self.memory_utilization(now, request, endpoint);
        if let Some(test) = test {
            let time_needed = test.ready_in + self.first_token_time(now, endpoint);
            let first_token_at = now.saturating_add(time_needed as Micros);
            if pace_utilization > 1.0 || memory_utilization > 1.0 || first_token_at > test.limit {
                return None;
            }
        }
        Some(1.0 - pace_utilization.max(memory_utilization).min(MAX_UTILIZATION))
    }

    /// Time for each token with this request, against the strictest objective there.
    fn pace_utilization(&self, now: Micros, request: &Request, endpoint: &EndpointState) -> f64 {
        let joins = !endpoint.streams.contains(&request.id());
        let streams = self.stream_count(now, endpoint) + if joins { 1.0 } else { 0.0 };
        let warmup_factor = endpoint.warmup_factor(now, &self.settings.rules);
        let pace = self.speed_curves[endpoint.kind.0].pace(streams) / warmup_factor;
        let objectives = self.own_streams(endpoint).map(|stream| stream.inter_token_objective);
        pace / (objectives.fold(request.inter_token_objective, f64::min) * PACE_HEADROOM)
    }

    /// Memory in use with this request, as a share of what may be used.
    fn memory_utilization(&self, now: Micros, request: &Request, endpoint: &EndpointState) -> f64 {
        let joins = !endpoint.streams.contains(&request.id());
        let added_tokens = if joins { request.footprint_tokens } else { 0.0 };
        let own_tokens: f64 = self.own_streams(endpoint).map(|stream| stream.footprint_tokens).sum();
        let tokens = own_tokens + added_tokens + self.external_tokens(now, endpoint);
        tokens / (endpoint.memory_tokens * MEMORY_HEADROOM).max(1.0)
    }

    /// All streams at a decode endpoint: this replica's, and the others' by the memory that they use.
    pub(super) fn stream_count(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let external = self.external_tokens(now, endpoint) / self.estimates.request_footprint.max(1.0);
        endpoint.streams.len() as f64 + external
    }

    /// This replica's requests that a decode endpoint counts.
    pub(super) fn own_streams(&self, endpoint: &EndpointState) -> impl Iterator<Item = &Request> {
        endpoint.streams.iter().filter_map(|id| self.requests.get(id))
    }

    /// Tokens of other replicas' requests at a decode endpoint: its last report, decaying towards the fleet's
    /// mean.
    fn external_tokens(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let mean = if endpoint.memory_tokens.is_finite() {
            self.estimates.external_share * endpoint.memory_tokens
        } else {
            0.0
        };
        endpoint.external_tokens.map_or(mean, |reported| reported.get(now, mean))
    }
}
