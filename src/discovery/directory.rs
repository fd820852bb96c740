//! Applies endpoint lists: endpoints go to the scheduler, their addresses to the connection pool.

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

/// What this replica knows of the endpoint list.
pub struct EndpointDirectory {
    context: RoutingContext,
    /// The role of each kind of endpoint, in the order of the settings.
    roles: Vec<Role>,
    names: SettingNames,
    ids: EndpointIds,
    start_times: StartTimes,
    /// The version of the list that was applied last; none if the next one must be a snapshot.
    version: Option<u64>,
    /// When everything that discovery had published was known last; none before the first list from
    /// discovery.
    last_event_at: Option<Instant>,
}

impl EndpointDirectory {
    /// An empty directory.
    pub fn new(context: RoutingContext, settings: &Settings, names: SettingNames, clock: Clock) -> Self {
        EndpointDirectory {
            context,
            roles: settings.kinds.iter().map(|kind| kind.role).collect(),
            names,
            ids: EndpointIds::default(),
            start_times: StartTimes::new(clock),
            version: None,
            last_event_at: None,
        }
    }

    /// Applies a list at once: an endpoint that drains or has been removed must get no further request.
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

    /// The version of the list that was applied last.
    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Makes the next watch begin with a snapshot: the versions of another discovery service may not continue
    /// those of the one before.
    pub(super) fn forget_version(&mut self) {
        self.version = None;
    }

    /// Records that everything that discovery had published at that time has been applied.
    pub(super) fn mark_current(&mut self, at: Instant) {
        self.last_event_at = Some(at);
    }

    /// What the directory applies its lists to.
    pub(super) fn context(&self) -> &RoutingContext {
        &self.context
    }

    /// Applies one record. A record that is invalid says nothing by which its endpoint could be used, so the
    /// endpoint is removed.
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
                tracing::warn!("endpoint record without an id ignored");
                return None;
            }
        };
        tracing::warn!(endpoint = %name, "endpoint record is invalid, endpoint taken as removed");
        Some(EndpointUpdate {
            endpoint: self.ids.id_for(name),
            lifecycle: Lifecycle::Removed,
            ..EndpointUpdate::default()
        })
    }

    /// Applies a valid record; none if the settings do not know its zone or kind.
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
        let since_last_event = self.last_event_at.map(|at| at.elapsed());
        self.start_times.resolve(endpoint, unix_ms, since_last_event)
    }

    /// Forgets every endpoint for which `is_known` is false.
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
