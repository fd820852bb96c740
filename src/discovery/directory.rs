//! Applies endpoint lists to the scheduler and the connection pool.

use std::collections::HashSet;

use tokio::time::Instant;

use crate::clock::Clock;
use crate::config::settings::SettingNames;
use crate::discovery::endpoint_ids::EndpointIds;
use crate::discovery::endpoint_list::{DiscoveredEndpoint, DiscoveryState, EndpointList, EndpointRecord};
use crate::discovery::start_times::StartTimes;
use crate::routing_context::RoutingContext;
use crate::scheduler::{
    CellId, EndpointId, EndpointUpdate, KindId, Lifecycle, Micros, Role, Settings, ZoneId,
};
use crate::upstream::connection_pool::EndpointAddress;

/// The endpoints that discovery has reported to this replica.
pub struct EndpointDirectory {
    context: RoutingContext,
    /// Role of each endpoint kind, indexed by kind.
    roles: Vec<Role>,
    names: SettingNames,
    ids: EndpointIds,
    start_times: StartTimes,
    /// Version of the last applied list, or `None` if the next list must be a snapshot.
    version: Option<u64>,
    /// Last time at which all changes published by discovery had been applied, or `None` before the first
    /// list from discovery.
    last_synced_at: Option<Instant>,
}

impl EndpointDirectory {
    /// Creates an empty directory.
    pub fn new(context: RoutingContext, settings: &Settings, names: SettingNames, clock: Clock) -> Self {
        EndpointDirectory {
            context,
            roles: settings.kinds.iter().map(|kind| kind.role).collect(),
            names,
            ids: EndpointIds::default(),
            start_times: StartTimes::new(clock),
            version: None,
            last_synced_at: None,
        }
    }

    /// Applies a list immediately, as endpoints that are draining or removed must not receive further
    /// requests.
    pub fn apply(&mut self, list: &EndpointList) {
        self.context.counters.lists_received.increment();
        self.version = Some(list.version);
        let updates: Vec<EndpointUpdate> =
            list.endpoints.iter().filter_map(|record| self.apply_record(record, list.snapshot)).collect();
        let removed: HashSet<EndpointId> = updates
            .iter()
            .filter(|update| update.lifecycle == Lifecycle::Removed)
            .map(|update| update.endpoint)
            .collect();
        if list.snapshot {
            let listed: HashSet<EndpointId> = updates
                .iter()
                .map(|update| update.endpoint)
                .filter(|endpoint| !removed.contains(endpoint))
                .collect();
            self.retain(|endpoint| listed.contains(&endpoint));
        } else if !removed.is_empty() {
            self.retain(|endpoint| !removed.contains(&endpoint));
        }
        self.context.scheduler.report_endpoints(list.snapshot, updates);
    }

    /// Returns the version of the last applied list.
    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Clears the version so that the next watch starts with a snapshot. A different discovery service may
    /// not continue the version sequence of the previous one.
    pub(super) fn clear_version(&mut self) {
        self.version = None;
    }

    /// Records that all changes published by discovery up to this time have been applied.
    pub(super) fn mark_synced(&mut self, at: Instant) {
        self.last_synced_at = Some(at);
    }

    /// Returns the routing context that lists are applied to.
    pub(super) fn context(&self) -> &RoutingContext {
        &self.context
    }

    /// Applies one record. An endpoint with an invalid record is removed, as the record does not contain what
    /// is needed to use it.
    fn apply_record(&mut self, record: &EndpointRecord, in_snapshot: bool) -> Option<EndpointUpdate> {
        let name = match record {
            EndpointRecord::Valid(endpoint) => {
                let update = self.apply_endpoint(endpoint, in_snapshot);
                if update.is_some() {
                    return update;
                }
                &endpoint.id
            }
            EndpointRecord::Invalid { id } => id,
            EndpointRecord::Unidentified(_) => {
                tracing::warn!("ignoring endpoint record without an ID");
                return None;
            }
        };
        tracing::warn!(endpoint = %name, "invalid endpoint record; treating the endpoint as removed");
        Some(EndpointUpdate {
            endpoint: self.ids.id_for(name),
            lifecycle: Lifecycle::Removed,
            ..EndpointUpdate::default()
        })
    }

    /// Applies a valid record. Returns `None` if its zone or kind is not in the settings.
    fn apply_endpoint(&mut self, record: &DiscoveredEndpoint, in_snapshot: bool) -> Option<EndpointUpdate> {
        let zone = self.names.zones.iter().position(|zone| *zone == record.zone)?;
        let kind = self.names.kinds.iter().position(|kind| *kind == record.kind)?;
        let endpoint = self.ids.id_for(&record.id);
        let lifecycle = match record.state {
            DiscoveryState::Ready => Lifecycle::Ready,
            DiscoveryState::Terminating => Lifecycle::Draining,
            DiscoveryState::Gone => Lifecycle::Removed,
        };
        if !in_snapshot {
            tracing::info!(endpoint = %record.id, state = ?record.state, "endpoint state changed");
        }
        let address = match lifecycle {
            Lifecycle::Removed => None,
            Lifecycle::Ready | Lifecycle::Draining => Some(EndpointAddress {
                addr: record.addr,
                role: self.roles[kind],
                ready: lifecycle == Lifecycle::Ready,
            }),
        };
        self.context.upstream.pool().set_address(endpoint, address);
        Some(EndpointUpdate {
            endpoint,
            zone: ZoneId(zone),
            cell: CellId(record.cell),
            kind: KindId(kind),
            lifecycle,
            started_at: self.started_at(endpoint, record.started_ms),
        })
    }

    fn started_at(&mut self, endpoint: EndpointId, unix_ms: i64) -> Option<Micros> {
        let since_last_sync = self.last_synced_at.map(|at| at.elapsed());
        self.start_times.resolve(endpoint, unix_ms, since_last_sync)
    }

    /// Removes all endpoints that do not satisfy `is_known`.
    fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        let pool = self.context.upstream.pool();
        for endpoint in pool.endpoints() {
            if !is_known(endpoint) {
                pool.set_address(endpoint, None);
            }
        }
        self.ids.retain(&is_known);
        self.start_times.retain(&is_known);
    }
}
