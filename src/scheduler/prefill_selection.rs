//! Selection of the prefill endpoint for a prompt and of the decode endpoint to pair it with.

use super::Scheduler;
use super::decode_capacity::CapacityCheck;
use super::decode_selection::DecodeCriteria;
use super::endpoint::{EndpointState, Pool};
use super::hashing::{rendezvous_score, unit_hash};
use super::ids::{CacheKey, EndpointId, Micros, RequestId};
use super::queue::Tier;
use super::request::Request;
use super::retry::ATTEMPTS_FOR_PREFILL_AND_DECODE;
use super::settings::Role;

/// Number of affinity endpoints per prefix. One endpoint may be too few for a popular prefix, but each
/// additional one has to prefill it once.
pub(super) const AFFINITY_ENDPOINTS: usize = 3;
/// Minimum weight of a prefill endpoint whose cell has few decode endpoints; the maximum is 1.
const MIN_AFFINITY_WEIGHT: f64 = 0.5;
/// Weight of a prefill endpoint per unit of the decode capacity ratio of its cell.
const AFFINITY_WEIGHT_PER_CAPACITY: f64 = 2.0;
/// Safety factor on the estimated prefill time: other replicas' prefills queue as well, and the estimate lags
/// behind congestion.
const PREFILL_TIME_MARGIN: f64 = 1.5;

/// The endpoints selected for a request.
#[derive(Clone, Copy)]
pub(super) struct EndpointPair {
    /// `None` if the decode endpoint also prefills.
    pub(super) prefill: Option<EndpointId>,
    pub(super) decode: EndpointId,
}

impl Scheduler {
    /// Selects the endpoints for a queued request, if any are suitable: the fastest affinity prefill endpoint
    /// that can be paired with a decode endpoint, otherwise one endpoint that does both. The capacity check
    /// applies to the objective tier only.
    pub(super) fn select_pair(&self, now: Micros, id: RequestId, tier: Tier) -> Option<EndpointPair> {
        let request = self.requests.get(&id)?;
        self.fastest_affinity_endpoints(now, request)
            .into_iter()
            .find_map(|prefill| self.pair_with(now, request, prefill, tier))
            .or_else(|| self.select_local_prefill(now, request, tier))
    }

    /// Returns the eligible affinity prefill endpoints, sorted by estimated prefill time.
    fn fastest_affinity_endpoints(&self, now: Micros, request: &Request) -> Vec<&EndpointState> {
        let max_attempts = self.settings.capabilities.max_attempts;
        let attempts_suffice = request.attempts() + ATTEMPTS_FOR_PREFILL_AND_DECODE <= max_attempts;
        let mut endpoints = self.prefix_affinity_order(request, |endpoint| {
            attempts_suffice && self.is_eligible(now, endpoint, request)
        });
        endpoints.sort_by(|a, b| {
            self.prefill_time(now, a, request).total_cmp(&self.prefill_time(now, b, request))
        });
        endpoints
    }

    /// Pairs a prefill endpoint with a decode endpoint. Requests beyond the decode capacity of the prefill
    /// endpoint's cell prefer another cell; all others prefer the same cell.
    fn pair_with(
        &self, now: Micros, request: &Request, prefill: &EndpointState, tier: Tier,
    ) -> Option<EndpointPair> {
        let check = match tier {
            Tier::Objective => {
                let cache_ready_in = self.prefill_time(now, prefill, request) * PREFILL_TIME_MARGIN;
                Some(CapacityCheck::new(request, cache_ready_in))
            }
            Tier::BestEffort => None,
        };
        let criteria = DecodeCriteria { now, request, prefill: Some(prefill), check };
        let local = || self.select_decode(&criteria, |endpoint| endpoint.cell == prefill.cell);
        let remote = || self.select_decode(&criteria, |endpoint| endpoint.cell != prefill.cell);
        let beyond_local_capacity = unit_hash(prefill.id.0, request.id().0) > prefill.local_capacity_ratio;
        let decode = if beyond_local_capacity { remote().or_else(local) } else { local().or_else(remote) }?;
        Some(EndpointPair { prefill: Some(prefill.id), decode })
    }

    /// Selects an endpoint that both prefills and decodes. Used only if no prefill endpoint is suitable,
    /// because the prefill slows down the endpoint's running streams.
    fn select_local_prefill(&self, now: Micros, request: &Request, tier: Tier) -> Option<EndpointPair> {
        let can_prefill = |role: Role| role == Role::Mixed || self.settings.capabilities.local_prefill;
        let in_time = |endpoint: &EndpointState| {
            let time_left = (request.objective_at - now) as f64;
            self.prefill_time(now, endpoint, request) * PREFILL_TIME_MARGIN <= time_left
        };
        let check = match tier {
            Tier::Objective => Some(CapacityCheck::new(request, 0.0)),
            Tier::BestEffort => None,
        };
        let criteria = DecodeCriteria { now, request, prefill: None, check };
        let decode = self.select_decode(&criteria, |endpoint| {
            can_prefill(endpoint.role) && (tier == Tier::BestEffort || in_time(endpoint))
        })?;
        Some(EndpointPair { prefill: None, decode })
    }

    /// Returns the prefill endpoints with affinity to the request's prefix, or else its session, by
    /// rendezvous hashing that is identical on all replicas. Their number is small because each additional
    /// endpoint has to prefill the prefix and evicts others from its cache.
    pub(super) fn prefix_affinity_order(
        &self, request: &Request, predicate: impl Fn(&EndpointState) -> bool,
    ) -> Vec<&EndpointState> {
        let spec = &request.spec;
        let key = spec.prefix.or(spec.session).unwrap_or(CacheKey(spec.id.0));
        // Cells with few decode endpoints get fewer prefixes, because KV caches sent to other cells would
        // congest the link.
        let score = |endpoint: &EndpointState| {
            let capacity = AFFINITY_WEIGHT_PER_CAPACITY * endpoint.local_capacity_ratio;
            rendezvous_score(endpoint.id.0, key.0, capacity.clamp(MIN_AFFINITY_WEIGHT, 1.0))
        };
        let candidates = self.endpoints.values();
        let mut endpoints: Vec<_> =
            candidates.filter(|endpoint| endpoint.pool() == Pool::Prefill && predicate(endpoint)).collect();
        endpoints.sort_by(|a, b| score(b).total_cmp(&score(a)));
        endpoints.truncate(AFFINITY_ENDPOINTS);
        endpoints
    }
}
