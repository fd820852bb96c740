//! The ids of open requests and of the last ones that ended, by which a repeated id is recognised.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Ids of ended requests that are still recognised: more than a client repeats by mistake, at little memory.
const MAX_ENDED_IDS: usize = 512;

/// The ids that a new request may not have.
#[derive(Clone, Default)]
pub(super) struct OpenRequests {
    ids: Rc<RefCell<UsedIds>>,
}

#[derive(Default)]
struct UsedIds {
    /// All of them, with those of ended requests.
    used: HashSet<Rc<str>>,
    /// Those of ended requests, in the order of their ends.
    ended: VecDeque<Rc<str>>,
}

impl OpenRequests {
    /// Registers a new request; none where its id is used already.
    pub(super) fn register(&self, id: &Rc<str>) -> Option<OpenRequest> {
        if !self.ids.borrow_mut().used.insert(id.clone()) {
            return None;
        }
        Some(OpenRequest { ids: self.ids.clone(), id: id.clone() })
    }
}

/// One open request; when dropped, its id is among those of ended requests.
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
