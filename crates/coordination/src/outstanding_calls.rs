//! Calls to voters that have not been replied to.

use std::collections::BTreeMap;

use crate::Ns;

/// If more calls to a voter than this are outstanding, the oldest one is forgotten.
const MAX_OUTSTANDING: usize = 64;

/// Outstanding calls by voter. Calls to one voter are replied to in the order in which they were made.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingCalls {
    /// The time of each call, by call id.
    by_voter: Vec<BTreeMap<u64, Ns>>,
    next_id: u64,
}

impl OutstandingCalls {
    pub(crate) fn new(voter_count: u32) -> OutstandingCalls {
        OutstandingCalls { by_voter: vec![BTreeMap::new(); voter_count as usize], next_id: 0 }
    }

    /// Forgets all calls, because the voters have got other indexes. Call ids continue.
    pub(crate) fn reset(&mut self, voter_count: u32) {
        self.by_voter = vec![BTreeMap::new(); voter_count as usize];
    }

    /// The number of outstanding calls to a voter.
    pub(crate) fn count(&self, voter: u32) -> usize {
        self.by_voter.get(voter as usize).map_or(0, BTreeMap::len)
    }

    /// Begins a call and returns its id, or `None` if there is no such voter.
    pub(crate) fn begin(&mut self, now: Ns, voter: u32) -> Option<u64> {
        let id = self.next_id;
        self.next_id += 1;
        let outstanding = self.by_voter.get_mut(voter as usize)?;
        outstanding.insert(id, now);
        if outstanding.len() > MAX_OUTSTANDING {
            outstanding.pop_first();
        }
        Some(id)
    }

    /// Ends a call and returns when it was made, if it was outstanding. Earlier calls to the voter will no longer be
    /// replied to, so they are forgotten.
    pub(crate) fn end(&mut self, voter: u32, id: u64) -> Option<Ns> {
        let outstanding = self.by_voter.get_mut(voter as usize)?;
        let called_at = outstanding.remove(&id);
        outstanding.retain(|other, _| *other > id);
        called_at
    }
}
