//! The ids of requests that have ended and may have taken effect.

use std::collections::{HashSet, VecDeque};

use sablecross::Ns;

use crate::events::RequestId;

/// Remembers ids for a limited time. If there are too many, the oldest are forgotten first.
pub(super) struct ExecutedIds {
    ids: HashSet<RequestId>,
    /// The same ids with the times at which they were recorded, oldest first.
    by_age: VecDeque<(Ns, RequestId)>,
    max_ids: usize,
    lifetime: Ns,
}

impl ExecutedIds {
    pub(super) fn new(max_ids: usize, lifetime: Ns) -> ExecutedIds {
        ExecutedIds { ids: HashSet::new(), by_age: VecDeque::new(), max_ids, lifetime }
    }

    /// Records the id of a request that may have been executed.
    pub(super) fn record(&mut self, id: RequestId, now: Ns) {
        while let Some((recorded_at, oldest)) = self.by_age.front().copied()
            && (self.by_age.len() >= self.max_ids || now >= recorded_at + self.lifetime)
        {
            self.by_age.pop_front();
            self.ids.remove(&oldest);
        }
        if self.ids.insert(id) {
            self.by_age.push_back((now, id));
        }
    }

    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.ids.contains(id)
    }
}
