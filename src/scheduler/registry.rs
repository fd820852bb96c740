//! The endpoint list: updates, draining, removal, and the capacities of cells.

use std::collections::{BTreeMap, BTreeSet};

use super::Scheduler;
use super::endpoint::{EndpointState, Pool};
use super::event::{EndpointUpdate, Lifecycle};
use super::ids::{CellId, Micros};

/// Multiple of a cell's share of the KV caches that its decode endpoints take by themselves: shares need not
/// be even.
const LOCAL_CAPACITY_SLACK: f64 = 1.15;
/// Least weight for other cells' KV caches, against 1 for a cell without prefill endpoints.
const MIN_REMOTE_CAPACITY_WEIGHT: f64 = 0.05;
/// Least divisor of a share.
const MIN_SHARE: f64 = 1e-9;

/// Ready endpoints of each pool.
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

/// Ready endpoints of a cell or of all cells.
#[derive(Clone, Copy, Default)]
struct PoolShares {
    prefill: f64,
    decode: f64,
}

impl PoolShares {
    /// What the decode endpoints here can take of the KV caches from the prefill endpoints here, as a ratio,
    /// if each endpoint of the fleet has an even part.
    fn decode_to_prefill_ratio(self, fleet: PoolShares) -> f64 {
        (self.decode / f64::max(fleet.decode, 1.0))
            / (self.prefill / f64::max(fleet.prefill, 1.0)).max(MIN_SHARE)
    }
}

impl Scheduler {
    /// Applies a snapshot or a delta. An endpoint that drains or is removed is out of all choices from now
    /// on.
    pub(super) fn endpoints_changed(&mut self, now: Micros, snapshot: bool, updates: &[EndpointUpdate]) {
        if snapshot {
            self.remove_unnamed(updates);
        }
        for update in updates {
            self.apply_update(now, update);
        }
        // A removed endpoint is forgotten once nothing is in flight there: the list names ever new ones over
        // a day.
        self.endpoints.retain(|_, endpoint| !endpoint.is_forgettable());
        self.ready_endpoints = PoolSizes {
            prefill: self.ready_in(Pool::Prefill).count(),
            decode: self.ready_in(Pool::Decode).count(),
        };
        self.update_cell_capacities();
    }

    fn remove_unnamed(&mut self, updates: &[EndpointUpdate]) {
        let named: BTreeSet<_> = updates.iter().map(|update| update.endpoint).collect();
        for (id, endpoint) in &mut self.endpoints {
            if !named.contains(id) {
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
            endpoint.forget_cache();
            self.begin_slow_start(now, update.endpoint);
        }
    }

    /// Works out what each cell's decode endpoints can take of the cell's own KV caches and of other cells'.
    fn update_cell_capacities(&mut self) {
        let mut cells: BTreeMap<CellId, PoolShares> = BTreeMap::new();
        let mut fleet = PoolShares::default();
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
            endpoint.local_capacity_ratio = LOCAL_CAPACITY_SLACK * ratio;
            endpoint.remote_capacity_weight =
                (1.0 - 1.0 / ratio.max(MIN_SHARE)).max(MIN_REMOTE_CAPACITY_WEIGHT);
        }
    }

    /// The ready endpoints of a pool.
    pub(super) fn ready_in(&self, pool: Pool) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().filter(move |endpoint| endpoint.is_ready() && endpoint.pool() == pool)
    }

    /// The shortest of the times that `estimate` gives for the ready endpoints of a pool; zero if there are
    /// none.
    pub(super) fn shortest_time(&self, pool: Pool, estimate: impl Fn(&EndpointState) -> f64) -> f64 {
        self.ready_in(pool).map(estimate).min_by(f64::total_cmp).unwrap_or(0.0)
    }
}
