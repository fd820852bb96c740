//! Request IDs assigned by the chat API.

use std::cell::Cell;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Generates IDs that are unique within this process and, because of the seed, very likely unique across
/// processes.
pub(super) struct RequestIds {
    seed: u64,
    next_number: Cell<u64>,
}

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        RequestIds { seed, next_number: Cell::new(0) }
    }

    /// Returns a new ID of 16 hexadecimal digits.
    pub(super) fn next(&self) -> Rc<str> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        format!("{:016x}", xxh3_64_with_seed(&number.to_le_bytes(), self.seed)).into()
    }
}
