//! Tracks the IDs of open and recently ended requests to detect duplicates.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Number of ended request IDs that are remembered. Exceeds what a client repeats by mistake, and needs
/// little memory.
const MAX_ENDED_IDS: usize = 512;

/// The request IDs that a new request must not reuse.
#[derive(Clone, Default)]
pub(super) struct OpenRequests {
    ids: Rc<RefCell<UsedIds>>,
}

#[derive(Default)]
struct UsedIds {
    /// IDs of open and of remembered ended requests.
    used: HashSet<Rc<str>>,
    /// IDs of ended requests, oldest first.
    ended: VecDeque<Rc<str>>,
}

impl OpenRequests {
    /// Registers a new request. Returns `None` if its ID is already in use.
    pub(super) fn register(&self, id: &Rc<str>) -> Option<OpenRequest> {
        if !self.ids.borrow_mut().used.insert(id.clone()) {
            return None;
        }
        Some(OpenRequest { ids: self.ids.clone(), id: id.clone() })
    }
}

/// An open request. On drop, its ID moves to the ended ones.
pub(super) struct OpenRequest {
    ids: Rc<RefCell<UsedIds>>,
    id: Rc<str>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut ids = self.ids.borrow_mut();
        ids.ended.push_back(self.id.clone());
        if ids.ended.len() > MAX_ENDED_IDS
            && let Some(oldest) = ids.ended.pop_front()
        {
            ids.used.remove(&oldest);
        }
    }
}
