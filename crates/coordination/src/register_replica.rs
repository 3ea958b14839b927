//! A voter's replica of a role's register.

use crate::messages::RegisterValue;
use crate::voter_set::VoterSet;
use crate::{FencingGuard, FencingToken, StaleToken};

/// What a replica returns to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReadValue {
    /// The newest value that it holds.
    pub(crate) value: RegisterValue,
    /// Whether it can't have forgotten a value that was written before.
    pub(crate) is_complete: bool,
}

/// One of the replicas of a register, at a voter. A read or a write with a token shuts out all older tokens.
///
/// A voter without a disk forgets at a restart whom it had shut out. It takes part again once a majority of the other
/// voters, or all of them, have sent the newest token that they know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RegisterReplica {
    guard: FencingGuard,
    value: RegisterValue,
    is_complete: bool,
    recovery: Option<Recovery>,
}

/// The replies of other voters after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Recovery {
    me: u32,
    voter_count: u32,
    replied: VoterSet,
    /// Of those, the ones that have not forgotten themselves.
    certain: VoterSet,
}

impl RegisterReplica {
    /// The replica of voter `me` after a start without memory.
    pub(crate) fn new(me: u32, voter_count: u32) -> RegisterReplica {
        let is_alone = voter_count <= 1;
        let mut replied = VoterSet::default();
        replied.insert(me);
        let recovery = Recovery { me, voter_count, replied, certain: VoterSet::default() };
        RegisterReplica {
            guard: FencingGuard::default(),
            value: RegisterValue::default(),
            is_complete: is_alone,
            recovery: (!is_alone).then_some(recovery),
        }
    }

    /// The guard that rejects former holders.
    pub(crate) fn guard(&self) -> &FencingGuard {
        &self.guard
    }

    /// The voters have changed: a recovery under way begins again.
    pub(crate) fn on_voters_changed(&mut self, me: u32, voter_count: u32) {
        if self.recovery.is_some() {
            *self = RegisterReplica { guard: self.guard.clone(), ..RegisterReplica::new(me, voter_count) };
        }
    }

    /// The voters that it still has to ask for their newest token.
    pub(crate) fn unqueried_voters(&self) -> VoterSet {
        self.recovery.map_or(VoterSet::default(), |recovery| {
            VoterSet::first(recovery.voter_count).without(recovery.replied)
        })
    }

    /// The newest token it knows, for another voter that recovers.
    pub(crate) fn newest_token(&self) -> FencingToken {
        self.guard.highest()
    }

    /// Whether it still recovers from a restart: it may have forgotten newer tokens.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Another voter's newest token; `is_certain` if that voter does not recover itself.
    pub(crate) fn on_newest_token(&mut self, voter: u32, newest: FencingToken, is_certain: bool) {
        let is_other = |recovery: &&mut Recovery| voter < recovery.voter_count && voter != recovery.me;
        let Some(recovery) = self.recovery.as_mut().filter(is_other) else { return };
        recovery.replied.insert(voter);
        if is_certain {
            recovery.certain.insert(voter);
        }
        let is_over = recovery.certain.is_majority_of(recovery.voter_count)
            || recovery.replied.len() == recovery.voter_count;
        if newest > self.guard.highest() {
            self.guard = FencingGuard::with_highest(newest);
        }
        if is_over {
            self.recovery = None;
        }
    }

    /// Reads the value and shuts out older tokens; no result while it recovers.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] if a newer token has read or written before.
    pub(crate) fn read(&mut self, token: FencingToken) -> Option<Result<ReadValue, StaleToken>> {
        if self.is_recovering() {
            return None;
        }
        let admitted = self.guard.admit(token);
        Some(admitted.map(|()| ReadValue { value: self.value.clone(), is_complete: self.is_complete }))
    }

    /// Takes a value that is newer than its own, and returns the sequence number that was written; no result while it
    /// recovers. Writing a value twice changes nothing.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] if a newer token has read or written before.
    pub(crate) fn write(&mut self, value: RegisterValue) -> Option<Result<u64, StaleToken>> {
        if self.is_recovering() {
            return None;
        }
        let sequence = value.sequence;
        let admitted = self.guard.admit(value.token);
        if admitted.is_ok() {
            if (value.token, sequence) > (self.value.token, self.value.sequence) {
                self.value = value;
            }
            self.is_complete = true;
        }
        Some(admitted.map(|()| sequence))
    }
}
