//! Which prefill endpoint a prompt goes to, and with which decode endpoint it is paired.

use super::Scheduler;
use super::decode_capacity::FirstTokenTest;
use super::decode_selection::DecodeChoice;
use super::endpoint::{EndpointState, Pool};
use super::hashing::{rendezvous_score, unit_hash};
use super::ids::{CacheKey, EndpointId, Micros, RequestId};
use super::queue::Tier;
use super::request::Request;
use super::retry::ATTEMPTS_FOR_PREFILL_AND_DECODE;
use super::settings::Role;

/// Prefill endpoints that a prefix has an affinity to: it may outgrow one, yet each must prefill it once.
pub(super) const AFFINITY_ENDPOINTS: usize = 3;
/// Least weight of a prefill endpoint whose cell has few decode endpoints, against 1.
const MIN_AFFINITY_WEIGHT: f64 = 0.5;
/// Weight of a prefill endpoint for each unit of its cell's decode capacity.
const AFFINITY_WEIGHT_PER_CAPACITY: f64 = 2.0;
/// Multiple of the estimated prefill time that must fit: other replicas' prefills queue too, and the estimate
/// lags behind congestion.
const PREFILL_TIME_MARGIN: f64 = 1.5;

/// The endpoints of an admission.
#[derive(Clone, Copy)]
pub(super) struct EndpointPair {
    /// None if the decode endpoint prefills by itself.
    pub(super) prefill: Option<EndpointId>,
    pub(super) decode: EndpointId,
}

impl Scheduler {
    /// The endpoints for a waiting request, if any pass: of the prefill endpoints with an affinity the
    /// quickest that has a decode endpoint to go with it, else one endpoint for both. The upper tier is
    /// tested, the lower one not.
    pub(super) fn select_pair(&self, now: Micros, id: RequestId, tier: Tier) -> Option<EndpointPair> {
        let request = self.requests.get(&id)?;
        self.quickest_affinity_endpoints(now, request)
            .into_iter()
            .find_map(|prefill| self.pair_with(now, request, prefill, tier))
            .or_else(|| self.select_local_prefill(now, request, tier))
    }

    /// The prefill endpoints with an affinity that take the request, the quickest first.
    fn quickest_affinity_endpoints(&self, now: Micros, request: &Request) -> Vec<&EndpointState> {
        let max_attempts = self.settings.capabilities.max_attempts;
        let attempts_suffice = request.attempts() + ATTEMPTS_FOR_PREFILL_AND_DECODE <= max_attempts;
        let mut endpoints = self.prefix_affinity_order(request, |endpoint| {
            attempts_suffice && self.accepts(now, endpoint, request)
        });
        endpoints.sort_by(|a, b| {
            self.prefill_time(now, a, request).total_cmp(&self.prefill_time(now, b, request))
        });
        endpoints
    }

    /// The pair with this prefill endpoint. The part of its KV caches that is beyond the capacity of its
    /// cell's decode endpoints goes to another cell if possible, the other part to its own.
    fn pair_with(
        &self, now: Micros, request: &Request, prefill: &EndpointState, tier: Tier,
    ) -> Option<EndpointPair> {
        let test = match tier {
            Tier::Objective => {
                let ready_in = self.prefill_time(now, prefill, request) * PREFILL_TIME_MARGIN;
                Some(FirstTokenTest::new(request, ready_in))
            }
            Tier::BestEffort => None,
        };
        let choice = DecodeChoice { now, request, prefill: Some(prefill), test };
        let local = || self.choose_decode(&choice, |endpoint| endpoint.cell == prefill.cell);
        let remote = || self.choose_decode(&choice, |endpoint| endpoint.cell != prefill.cell);
        let beyond_local_capacity = unit_hash(prefill.id.0, request.id().0) > prefill.local_capacity_ratio;
        let decode = if beyond_local_capacity { remote().or_else(local) } else { local().or_else(remote) }?;
        Some(EndpointPair { prefill: Some(prefill.id), decode })
    }

    /// An endpoint that prefills and decodes by itself. Only where no prefill endpoint passes, as the prefill
    /// slows its streams.
    fn select_local_prefill(&self, now: Micros, request: &Request, tier: Tier) -> Option<EndpointPair> {
        let can_prefill = |role: Role| role == Role::Mixed || self.settings.capabilities.local_prefill;
        let in_time = |endpoint: &EndpointState| {
            let time_left = (request.objective_at - now) as f64;
            self.prefill_time(now, endpoint, request) * PREFILL_TIME_MARGIN <= time_left
        };
        let test = match tier {
            Tier::Objective => Some(FirstTokenTest::new(request, 0.0)),
            Tier::BestEffort => None,
        };
        let choice = DecodeChoice { now, request, prefill: None, test };
        let decode = self.choose_decode(&choice, |endpoint| {
            can_prefill(endpoint.role) && (tier == Tier::BestEffort || in_time(endpoint))
        })?;
        Some(EndpointPair { prefill: None, decode })
    }

    /// The prefill endpoints that a prefix (else a session) has an affinity to, by rendezvous hashing that is
    /// the same at every replica. They are few: a prefix that is prefilled elsewhere costs time there and
    /// evicts others.
    pub(super) fn prefix_affinity_order(
        &self, request: &Request, eligible: impl Fn(&EndpointState) -> bool,
    ) -> Vec<&EndpointState> {
        let spec = &request.spec;
        let key = spec.prefix.or(spec.session).unwrap_or(CacheKey(spec.id.0));
        // Fewer prefixes in cells without the decode endpoints for them: their KV caches would congest the
        // link.
        let score = |endpoint: &EndpointState| {
            let capacity = AFFINITY_WEIGHT_PER_CAPACITY * endpoint.local_capacity_ratio;
            rendezvous_score(endpoint.id.0, key.0, capacity.clamp(MIN_AFFINITY_WEIGHT, 1.0))
        };
        let candidates = self.endpoints.values();
        let mut endpoints: Vec<_> =
            candidates.filter(|endpoint| endpoint.pool() == Pool::Prefill && eligible(endpoint)).collect();
        endpoints.sort_by(|a, b| score(b).total_cmp(&score(a)));
        endpoints.truncate(AFFINITY_ENDPOINTS);
        endpoints
    }
}
