//! The endpoint list: updates, draining, removal, and the capacity of cells.

use std::collections::{BTreeMap, BTreeSet};

use super::Scheduler;
use super::endpoint::{EndpointState, Pool};
use super::event::{EndpointUpdate, Lifecycle};
use super::ids::{CellId, Micros};

/// Factor on the fraction of a cell's KV caches that its own decode endpoints take; the load need not be
/// even.
const LOCAL_CAPACITY_FACTOR: f64 = 1.15;
/// Minimum weight for KV caches from other cells; a cell without prefill endpoints has weight 1.
const MIN_REMOTE_CAPACITY_WEIGHT: f64 = 0.05;
/// Lower bound of a divisor, to avoid division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Number of ready endpoints in each pool.
#[derive(Clone, Copy, Default)]
pub(super) struct PoolSizes {
    prefill: usize,
    decode: usize,
}

impl PoolSizes {
    pub(super) fn of(&self, pool: Pool) -> usize {
        match pool {
            Pool::Prefill => self.prefill,
            Pool::Decode => self.decode,
        }
    }
}

/// Number of ready endpoints in each pool, of a cell or of the fleet.
#[derive(Clone, Copy, Default)]
struct PoolCapacity {
    prefill: f64,
    decode: f64,
}

impl PoolCapacity {
    /// Returns the ratio of this cell's part of the fleet's decode capacity to its part of the prefill
    /// capacity, assuming that all endpoints of a pool are equal.
    fn decode_to_prefill_ratio(self, fleet: PoolCapacity) -> f64 {
        (self.decode / f64::max(fleet.decode, 1.0))
            / (self.prefill / f64::max(fleet.prefill, 1.0)).max(MIN_DIVISOR)
    }
}

impl Scheduler {
    /// Applies a snapshot or a delta. Endpoints that drain or are removed are no longer selected.
    pub(super) fn update_endpoints(&mut self, now: Micros, snapshot: bool, updates: &[EndpointUpdate]) {
        if snapshot {
            self.remove_unlisted(updates);
        }
        for update in updates {
            self.apply_update(now, update);
        }
        // Drop removed endpoints that have nothing in flight; new IDs appear all day, so the map would
        // otherwise grow.
        self.endpoints.retain(|_, endpoint| !endpoint.is_removable());
        self.ready_endpoints = PoolSizes {
            prefill: self.ready_in(Pool::Prefill).count(),
            decode: self.ready_in(Pool::Decode).count(),
        };
        self.update_cell_capacities();
    }

    fn remove_unlisted(&mut self, updates: &[EndpointUpdate]) {
        let listed: BTreeSet<_> = updates.iter().map(|update| update.endpoint).collect();
        for (id, endpoint) in &mut self.endpoints {
            if !listed.contains(id) {
                endpoint.lifecycle = Lifecycle::Removed;
            }
        }
    }

    fn apply_update(&mut self, now: Micros, update: &EndpointUpdate) {
        let Some(kind) = self.settings.kinds.get(update.kind.0) else { return };
        let endpoint =
            self.endpoints.entry(update.endpoint).or_insert_with(|| EndpointState::new(update, kind));
        endpoint.lifecycle = update.lifecycle;
        if update.started_at > endpoint.started_at {
            endpoint.started_at = update.started_at;
            endpoint.clear_cached_prefixes();
            self.begin_slow_start(now, update.endpoint);
        }
    }

    /// Updates how much of its own and of other cells' KV caches the decode endpoints of each cell can take.
    fn update_cell_capacities(&mut self) {
        let mut cells: BTreeMap<CellId, PoolCapacity> = BTreeMap::new();
        let mut fleet = PoolCapacity::default();
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.is_ready()) {
            let cell = cells.entry(endpoint.cell).or_default();
            match endpoint.pool() {
                Pool::Prefill => {
                    cell.prefill += 1.0;
                    fleet.prefill += 1.0;
                }
                Pool::Decode => {
                    cell.decode += 1.0;
                    fleet.decode += 1.0;
                }
            }
        }
        for endpoint in self.endpoints.values_mut() {
            let cell = cells.get(&endpoint.cell).copied().unwrap_or_default();
            let ratio = cell.decode_to_prefill_ratio(fleet);
            endpoint.local_capacity_ratio = LOCAL_CAPACITY_FACTOR * ratio;
            endpoint.remote_capacity_weight =
                (1.0 - 1.0 / ratio.max(MIN_DIVISOR)).max(MIN_REMOTE_CAPACITY_WEIGHT);
        }
    }

    /// Returns the ready endpoints of a pool.
    pub(super) fn ready_in(&self, pool: Pool) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().filter(move |endpoint| endpoint.is_ready() && endpoint.pool() == pool)
    }

    /// Returns the minimum of `estimate` over the ready endpoints of a pool, or zero if there are none.
    pub(super) fn shortest_time(&self, pool: Pool, estimate: impl Fn(&EndpointState) -> f64) -> f64 {
        self.ready_in(pool).map(estimate).min_by(f64::total_cmp).unwrap_or(0.0)
    }
}
