//! Maps the endpoint names of discovery to the numeric IDs used by the scheduler and the connection pool.

use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::scheduler::EndpointId;

/// Numeric IDs of the known endpoints, keyed by name.
#[derive(Debug, Default)]
pub(super) struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    in_use: HashSet<EndpointId>,
}

impl EndpointIds {
    /// Returns the ID of an endpoint, assigning one to a new name. IDs are hashes of the name, so all
    /// replicas assign the same ID regardless of list order. Only on a collision does a replica use the next
    /// hash.
    pub(super) fn id_for(&mut self, name: &str) -> EndpointId {
        if let Some(&endpoint) = self.by_name.get(name) {
            return endpoint;
        }
        let mut candidates = (0..).map(|seed| EndpointId(xxh3_64_with_seed(name.as_bytes(), seed) as u32));
        let endpoint = candidates.find(|candidate| !self.in_use.contains(candidate)).unwrap_or_default();
        self.in_use.insert(endpoint);
        self.by_name.insert(name.to_owned(), endpoint);
        endpoint
    }

    /// Removes all endpoints that do not satisfy `is_known`.
    pub(super) fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, endpoint| is_known(*endpoint));
        self.in_use.retain(|endpoint| is_known(*endpoint));
    }
}
