//! Tracks the IDs of open and ended requests to detect duplicates.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_128;

use crate::request::Execution;
use crate::server::api_context::RequestGuard;

/// Number of IDs that are remembered of ended requests that were never sent to an endpoint. Exceeds what a
/// client repeats by mistake.
const MAX_UNSENT_IDS: usize = 512;
/// Number of IDs that are remembered of ended requests that may have been executed. The endpoints limit how fast
/// these follow each other, so that a flood of other requests does not displace them.
const MAX_EXECUTED_IDS: usize = 8_192;

/// Hash of a request ID, which needs less memory than the ID.
type IdHash = u128;

/// The request IDs that a new request must not reuse.
#[derive(Clone, Default)]
pub(super) struct OpenRequests {
    ids: Rc<RefCell<UsedIds>>,
}

#[derive(Default)]
struct UsedIds {
    /// IDs of open and of remembered ended requests.
    used: HashSet<IdHash>,
    /// IDs of ended requests that were never sent, oldest first.
    unsent: VecDeque<IdHash>,
    /// IDs of ended requests that may have been executed, oldest first.
    executed: VecDeque<IdHash>,
}

impl UsedIds {
    /// Remembers the ID of a request that has ended.
    fn remember(&mut self, id: IdHash, execution: Execution) {
        let (remembered, limit) = match execution {
            Execution::Excluded => (&mut self.unsent, MAX_UNSENT_IDS),
            Execution::Possible => (&mut self.executed, MAX_EXECUTED_IDS),
        };
        remembered.push_back(id);
        if remembered.len() > limit
            && let Some(oldest) = remembered.pop_front()
        {
            self.used.remove(&oldest);
        }
    }
}

impl OpenRequests {
    /// Registers a new request. Returns `None` if its ID is already in use.
    pub(super) fn register(&self, id: &str) -> Option<OpenRequest> {
        let id = xxh3_128(id.as_bytes());
        if !self.ids.borrow_mut().used.insert(id) {
            return None;
        }
        Some(OpenRequest { ids: self.ids.clone(), id, execution: Execution::Excluded })
    }
}

/// An open request. On drop, its ID moves to the ended ones.
pub(super) struct OpenRequest {
    ids: Rc<RefCell<UsedIds>>,
    id: IdHash,
    execution: Execution,
}

impl RequestGuard for OpenRequest {
    fn record_execution(&mut self, execution: Execution) {
        self.execution = execution;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.ids.borrow_mut().remember(self.id, self.execution);
    }
}
