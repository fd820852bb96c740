//! The numeric ids by which the scheduler and the connection pool know the endpoints that discovery names.

use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::scheduler::EndpointId;

/// The numeric id of each known endpoint, by the name that discovery gives it.
#[derive(Debug, Default)]
pub(super) struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    in_use: HashSet<EndpointId>,
}

impl EndpointIds {
    /// The id for a name, assigned if the name is new. It is derived from the name, so that every replica
    /// assigns the same one whatever the order of the list; only a collision makes a replica take the next
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

    /// Forgets every endpoint for which `is_known` is false.
    pub(super) fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, endpoint| is_known(*endpoint));
        self.in_use.retain(|endpoint| is_known(*endpoint));
    }
}
