//! What is known of one endpoint.

use std::collections::{BTreeMap, BTreeSet};

use super::decaying_average::DecayingAverage;
use super::event::{EndpointUpdate, Lifecycle, RequestSpec};
use super::ids::{CacheKey, CellId, ClassId, EndpointId, KindId, Micros, RequestId, TenantId, ZoneId};
use super::settings::{EndpointKind, Role};
use super::slow_start::SlowStartBudget;

/// Most prefixes and sessions remembered for one endpoint: bounds the memory used.
const MAX_CACHED_PREFIXES: usize = 2_000;

/// The half of the fleet that an endpoint serves in. Mixed endpoints are in the decode pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    Prefill,
    Decode,
}

/// The requests that a rejection speaks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BackpressureKey {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
}

/// What this replica knows of one endpoint.
#[derive(Default)]
pub(super) struct EndpointState {
    pub(super) id: EndpointId,
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
    pub(super) kind: KindId,
    pub(super) role: Role,
    /// KV cache memory in tokens; infinite where it is not known.
    pub(super) memory_tokens: f64,
    pub(super) lifecycle: Lifecycle,
    /// When it last started, as the list says or its failures suggest; none for long ago.
    pub(super) started_at: Option<Micros>,
    pub(super) slow_start: SlowStartBudget,

    /// Share of its own KV caches that its cell's decode endpoints can take.
    pub(super) local_capacity_ratio: f64,
    /// Weight of a decode endpoint for KV caches from other cells.
    pub(super) remote_capacity_weight: f64,

    pub(super) consecutive_failures: u32,
    pub(super) failed_at: Micros,
    pub(super) ejected_until: Micros,
    /// Until when a prefill endpoint is not used, as decode endpoints could not fetch its KV caches.
    pub(super) transfer_stalled_until: Micros,
    /// Malformed responses in a row.
    pub(super) malformed_responses: u32,
    pub(super) backpressure_until: BTreeMap<BackpressureKey, Micros>,

    /// Attempts without a first response, by the time they were sent.
    pub(super) pending_attempts: BTreeMap<RequestId, Micros>,
    /// Requests that it decodes or has been chosen to decode.
    pub(super) streams: BTreeSet<RequestId>,
    /// Prompt tokens by session or prefix that should be in its cache.
    cached_prefixes: BTreeMap<CacheKey, f64>,
    /// Microseconds that a prefill takes beyond its own tokens: prefills of other replicas come first.
    pub(super) prefill_wait: DecayingAverage,
    /// Microseconds from a send to the first token.
    pub(super) first_token_latency: DecayingAverage,

    /// Tokens of other replicas' requests, by its reports.
    pub(super) external_tokens: Option<DecayingAverage>,
    /// Prompt tokens queued there, by its last report of them.
    pub(super) queued_prefill_tokens: f64,
    /// When it last reported these.
    pub(super) queue_reported_at: Micros,
    /// In the decode pool, when its next health check is due; of a prefill endpoint, when it was last
    /// checked.
    pub(super) health_check_at: Micros,
}

impl EndpointState {
    /// An endpoint that the list names for the first time.
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

    /// Whether it takes new work, as the list says.
    pub(super) fn is_ready(&self) -> bool {
        self.lifecycle == Lifecycle::Ready
    }

    /// Whether it has left the list and nothing of this replica's is in flight there.
    pub(super) fn is_forgettable(&self) -> bool {
        self.lifecycle == Lifecycle::Removed && self.streams.is_empty() && self.pending_attempts.is_empty()
    }

    /// Microseconds that the oldest attempt has waited for its first response.
    pub(super) fn oldest_pending(&self, now: Micros) -> f64 {
        self.pending_attempts.values().min().map_or(0.0, |&sent_at| (now - sent_at) as f64)
    }

    /// Tokens of the prompt that should be in its cache.
    pub(super) fn cached_tokens(&self, spec: &RequestSpec) -> f64 {
        let cached = |key: Option<CacheKey>| {
            key.and_then(|key| self.cached_prefixes.get(&key)).copied().unwrap_or(0.0)
        };
        let of_prefix = cached(spec.prefix).min(spec.prefix_tokens);
        let of_session = cached(spec.session).min(spec.prompt_tokens);
        of_prefix.max(of_session)
    }

    /// Records that the shared prefix is in its cache.
    pub(super) fn remember_prefix(&mut self, spec: &RequestSpec) {
        if let Some(prefix) = spec.prefix {
            self.cached_prefixes.insert(prefix, spec.prefix_tokens);
        }
    }

    /// Records what its cache has after a prefill that found `found_tokens` there. If that was far less than
    /// expected, the cache was lost or evicted, and nothing in it is relied on until it is prefilled again.
    pub(super) fn remember_prefill(&mut self, spec: &RequestSpec, found_tokens: f64) {
        let lost = found_tokens < self.cached_tokens(spec) / 2.0;
        if lost || self.cached_prefixes.len() >= MAX_CACHED_PREFIXES {
            self.forget_cache();
        }
        self.remember_prefix(spec);
        if let Some(session) = spec.session {
            self.cached_prefixes.insert(session, spec.prompt_tokens);
        }
    }

    /// Records that its cache is empty.
    pub(super) fn forget_cache(&mut self) {
        self.cached_prefixes.clear();
    }
}
