//! State of one endpoint as known to this replica.

use std::collections::{BTreeMap, BTreeSet};

use super::decaying_average::DecayingAverage;
use super::event::{EndpointUpdate, Lifecycle, RequestSpec};
use super::ids::{CacheKey, CellId, ClassId, EndpointId, KindId, Micros, RequestId, TenantId, ZoneId};
use super::settings::{EndpointKind, Role};
use super::slow_start::SlowStartBudget;

/// Maximum number of prefixes and sessions tracked per endpoint; bounds the memory used.
const MAX_CACHED_PREFIXES: usize = 2_000;

/// The pool that an endpoint belongs to. Mixed endpoints belong to the decode pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    Prefill,
    Decode,
}

/// The class and tenant that a rejection applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BackpressureKey {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
}

/// State of one endpoint as known to this replica.
#[derive(Default)]
pub(super) struct EndpointState {
    pub(super) id: EndpointId,
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
    pub(super) kind: KindId,
    pub(super) role: Role,
    /// KV cache capacity in tokens; infinite if unknown.
    pub(super) memory_tokens: f64,
    pub(super) lifecycle: Lifecycle,
    /// Last start, from the endpoint list or inferred from failures; `None` if long ago.
    pub(super) started_at: Option<Micros>,
    pub(super) slow_start: SlowStartBudget,

    /// Fraction of the endpoint's KV caches that the decode endpoints of its cell can take.
    pub(super) local_capacity_ratio: f64,
    /// Weight of a decode endpoint for KV caches from other cells.
    pub(super) remote_capacity_weight: f64,

    pub(super) consecutive_failures: u32,
    pub(super) failed_at: Micros,
    pub(super) ejected_until: Micros,
    /// For a prefill endpoint, the end of its ejection after several decode endpoints failed to fetch a KV
    /// cache from it.
    pub(super) transfer_stalled_until: Micros,
    /// Consecutive malformed responses.
    pub(super) malformed_responses: u32,
    pub(super) backpressure_until: BTreeMap<BackpressureKey, Micros>,

    /// Attempts that wait for a first response, and when they were sent.
    pub(super) pending_attempts: BTreeMap<RequestId, Micros>,
    /// Requests that are being decoded at this endpoint or are assigned to it for decoding.
    pub(super) streams: BTreeSet<RequestId>,
    /// Prompt tokens expected in the endpoint's cache, by session or prefix.
    cached_prefixes: BTreeMap<CacheKey, f64>,
    /// Microseconds that a prefill takes in addition to its own tokens, because prefills of other replicas
    /// are queued before it.
    pub(super) prefill_wait: DecayingAverage,
    /// Microseconds from sending a request to its first token.
    pub(super) first_token_latency: DecayingAverage,

    /// Tokens of other replicas' requests, derived from load reports.
    pub(super) external_tokens: Option<DecayingAverage>,
    /// Prompt tokens queued, from the last load report that contained them.
    pub(super) queued_prefill_tokens: f64,
    /// When the queued tokens were last reported.
    pub(super) queue_reported_at: Micros,
    /// For a decode endpoint, when the next health check is due; for a prefill endpoint, when it was last
    /// checked.
    pub(super) health_check_at: Micros,
}

impl EndpointState {
    /// Creates the state of an endpoint that is new in the list.
    pub(super) fn new(update: &EndpointUpdate, kind: &EndpointKind) -> Self {
        EndpointState {
            id: update.endpoint,
            zone: update.zone,
            cell: update.cell,
            kind: update.kind,
            role: kind.role,
            memory_tokens: kind.memory_tokens.unwrap_or(f64::INFINITY),
            ..EndpointState::default()
        }
    }

    pub(super) fn pool(&self) -> Pool {
        match self.role {
            Role::Prefill => Pool::Prefill,
            Role::Decode | Role::Mixed => Pool::Decode,
        }
    }

    /// Returns whether the endpoint accepts new work according to the endpoint list.
    pub(super) fn is_ready(&self) -> bool {
        self.lifecycle == Lifecycle::Ready
    }

    /// Returns whether the endpoint was removed from the list and this replica has nothing in flight there.
    pub(super) fn is_removable(&self) -> bool {
        self.lifecycle == Lifecycle::Removed && self.streams.is_empty() && self.pending_attempts.is_empty()
    }

    /// Returns the age in microseconds of the oldest attempt that still waits for its first response, or zero
    /// if there is none.
    pub(super) fn oldest_pending_age(&self, now: Micros) -> f64 {
        self.pending_attempts.values().min().map_or(0.0, |&sent_at| (now - sent_at) as f64)
    }

    /// Returns the number of the request's prompt tokens that are expected in the endpoint's cache.
    pub(super) fn cached_tokens(&self, spec: &RequestSpec) -> f64 {
        let cached = |key: Option<CacheKey>| {
            key.and_then(|key| self.cached_prefixes.get(&key)).copied().unwrap_or(0.0)
        };
        let of_prefix = cached(spec.prefix).min(spec.prefix_tokens);
        let of_session = cached(spec.session).min(spec.prompt_tokens);
        of_prefix.max(of_session)
    }

    /// Records that the request's shared prefix is cached.
    pub(super) fn record_cached_prefix(&mut self, spec: &RequestSpec) {
        if let Some(prefix) = spec.prefix {
            self.insert_cached(prefix, spec.prefix_tokens);
        }
    }

    /// Records that tokens are cached under this key. All earlier entries are discarded if there are too
    /// many.
    fn insert_cached(&mut self, key: CacheKey, tokens: f64) {
        let is_full = self.cached_prefixes.len() >= MAX_CACHED_PREFIXES;
        if is_full && !self.cached_prefixes.contains_key(&key) {
            self.clear_cached_prefixes();
        }
        self.cached_prefixes.insert(key, tokens);
    }

    /// Records the cache contents after a prefill that found `found_tokens` in the cache. If that is less
    /// than half of the expected tokens, the cache was lost or evicted, so all earlier entries are discarded.
    pub(super) fn record_cached_prefill(&mut self, spec: &RequestSpec, found_tokens: f64) {
        let lost = found_tokens < self.cached_tokens(spec) / 2.0;
        if lost || self.cached_prefixes.len() >= MAX_CACHED_PREFIXES {
            self.clear_cached_prefixes();
        }
        self.record_cached_prefix(spec);
        if let Some(session) = spec.session {
            self.cached_prefixes.insert(session, spec.prompt_tokens);
        }
    }

    /// Discards all expected cache contents.
    pub(super) fn clear_cached_prefixes(&mut self) {
        self.cached_prefixes.clear();
    }
}
