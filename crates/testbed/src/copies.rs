//! The copies that a stub node keeps.

use std::collections::{HashMap, VecDeque};

/// Copies by object, with the time at which the origin issued them (Unix milliseconds). The copy that was inserted
/// first is evicted first.
#[derive(Default)]
pub(crate) struct Copies {
    pub(crate) issued_ms: HashMap<u64, u64>,
    insertion_order: VecDeque<u64>,
}

impl Copies {
    /// Adds or updates a copy, and evicts the oldest copies beyond `max_copies`.
    pub(crate) fn keep(&mut self, object: u64, issued_ms: u64, max_copies: usize) {
        if self.issued_ms.insert(object, issued_ms).is_none() {
            self.insertion_order.push_back(object);
        }
        while self.issued_ms.len() > max_copies {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            self.issued_ms.remove(&oldest);
        }
    }
}
