//! Tenant quotas. Requests beyond this replica's part of a quota are served as best effort.

use super::Scheduler;
use super::ids::{Micros, TenantId};

/// Factor on an even split of a quota among replicas, because traffic is not evenly distributed.
const REPLICA_QUOTA_FACTOR: f64 = 1.25;
/// Microseconds' worth of quota that can be used in a burst.
const BURST_DURATION_US: f64 = 2e6;

/// A token bucket. The refill rate is passed to each call.
#[derive(Clone, Copy)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket; its first use limits it to its capacity.
    pub(super) fn full() -> Self {
        TokenBucket { tokens: f64::MAX, refilled_at: 0 }
    }

    /// Refills at `rate` tokens per microsecond and takes a token if one is available.
    fn take(&mut self, now: Micros, rate: f64) -> bool {
        let capacity = (rate * BURST_DURATION_US).max(1.0);
        self.tokens = (self.tokens + rate * (now - self.refilled_at) as f64).min(capacity);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

impl Scheduler {
    /// Charges the request to its tenant. Returns whether this replica's part of the quota is exceeded.
    pub(super) fn exceeds_quota(&mut self, now: Micros, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant else { return false };
        let Some(bucket) = self.quotas.get_mut(tenant.0) else { return false };
        let quota_per_s = self.settings.tenants[tenant.0].quota_per_s;
        let rate = quota_per_s * REPLICA_QUOTA_FACTOR / f64::from(self.settings.replicas) / 1e6;
        !bucket.take(now, rate)
    }
}
