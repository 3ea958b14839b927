//! Calls to voters that wait for their reply.

use std::collections::BTreeMap;

use crate::Ns;

/// Past so many calls to a voter without a reply the oldest are forgotten.
const MAX_OUTSTANDING: usize = 64;

/// Calls that wait for their reply, by voter. Calls to one voter are answered in their order.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingCalls {
    /// When each call was made, by its id.
    by_voter: Vec<BTreeMap<u64, Ns>>,
    next_id: u64,
}

impl OutstandingCalls {
    pub(crate) fn new(voter_count: u32) -> OutstandingCalls {
        OutstandingCalls { by_voter: vec![BTreeMap::new(); voter_count as usize], next_id: 0 }
    }

    /// Forgets all calls, as voters have other indexes now. Ids go on.
    pub(crate) fn reset(&mut self, voter_count: u32) {
        self.by_voter = vec![BTreeMap::new(); voter_count as usize];
    }

    /// How many calls to a voter are outstanding.
    pub(crate) fn count(&self, voter: u32) -> usize {
        self.by_voter.get(voter as usize).map_or(0, BTreeMap::len)
    }

    /// Begins a call and returns its id; there is none if there is no such voter.
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

    /// Ends a call and returns when it was made, if it was outstanding. Earlier calls to the voter will not be answered any
    /// more.
    pub(crate) fn end(&mut self, voter: u32, id: u64) -> Option<Ns> {
        let outstanding = self.by_voter.get_mut(voter as usize)?;
        let made_at = outstanding.remove(&id);
        outstanding.retain(|other, _| *other > id);
        made_at
    }
}
