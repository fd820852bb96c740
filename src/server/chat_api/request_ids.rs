//! The ids that the chat API gives to its requests.

use std::cell::Cell;
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Makes ids that differ within this process and, by the seed, most likely from those of others.
pub(super) struct RequestIds {
    seed: u64,
    next_number: Cell<u64>,
}

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        RequestIds { seed, next_number: Cell::new(0) }
    }

    /// A new id: 16 hexadecimal digits.
    pub(super) fn next(&self) -> Rc<str> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        format!("{:016x}", xxh3_64_with_seed(&number.to_le_bytes(), self.seed)).into()
    }
}
