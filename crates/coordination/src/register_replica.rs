//! A voter's replica of the register of a role.

use crate::messages::RegisterValue;
use crate::voter_set::VoterSet;
use crate::{FencingGuard, FencingToken, StaleToken};

/// The result of a read from one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReadValue {
    /// The newest value that the replica stores.
    pub(crate) value: RegisterValue,
    /// Whether the replica can't have forgotten a value that was written before.
    pub(crate) is_complete: bool,
}

/// One voter's replica of a register. After a read or a write with a token, it rejects all older tokens.
///
/// A voter keeps nothing on disk, so after a restart it no longer knows which tokens it has to reject. It handles
/// reads and writes again once it has received the newest known token from a majority of the voters, counting only
/// voters that are not recovering themselves, or from all other voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RegisterReplica {
    guard: FencingGuard,
    value: RegisterValue,
    is_complete: bool,
    recovery: Option<Recovery>,
}

/// The replies of other voters during the recovery from a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Recovery {
    own_index: u32,
    voter_count: u32,
    replied: VoterSet,
    /// Those voters that replied and were not recovering themselves.
    certain: VoterSet,
}

impl RegisterReplica {
    /// Creates the replica of the voter with index `own_index` after a start; nothing is stored.
    pub(crate) fn new(own_index: u32, voter_count: u32) -> RegisterReplica {
        let is_single_voter = voter_count <= 1;
        let mut replied = VoterSet::default();
        replied.insert(own_index);
        let recovery = Recovery { own_index, voter_count, replied, certain: VoterSet::default() };
        RegisterReplica {
            guard: FencingGuard::default(),
            value: RegisterValue::default(),
            is_complete: is_single_voter,
            recovery: (!is_single_voter).then_some(recovery),
        }
    }

    /// The guard that rejects tokens of former holders.
    pub(crate) fn guard(&self) -> &FencingGuard {
        &self.guard
    }

    /// Applies a change of the voters. An unfinished recovery starts over.
    pub(crate) fn on_voters_changed(&mut self, own_index: u32, voter_count: u32) {
        if self.recovery.is_some() {
            *self =
                RegisterReplica { guard: self.guard.clone(), ..RegisterReplica::new(own_index, voter_count) };
        }
    }

    /// The voters that have not sent their newest token yet.
    pub(crate) fn unqueried_voters(&self) -> VoterSet {
        self.recovery.map_or(VoterSet::default(), |recovery| {
            VoterSet::first(recovery.voter_count).without(recovery.replied)
        })
    }

    /// The newest token that the replica knows, for another voter that recovers.
    pub(crate) fn newest_token(&self) -> FencingToken {
        self.guard.highest()
    }

    /// Whether the replica is recovering from a restart: it may have forgotten newer tokens.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Handles another voter's newest token. `is_certain` means that the other voter is not recovering itself.
    pub(crate) fn on_newest_token(&mut self, voter: u32, newest: FencingToken, is_certain: bool) {
        let is_other_voter =
            |recovery: &&mut Recovery| voter < recovery.voter_count && voter != recovery.own_index;
        let Some(recovery) = self.recovery.as_mut().filter(is_other_voter) else { return };
        recovery.replied.insert(voter);
        if is_certain {
            recovery.certain.insert(voter);
        }
        let is_recovered = recovery.certain.is_majority_of(recovery.voter_count)
            || recovery.replied.len() == recovery.voter_count;
        if newest > self.guard.highest() {
            self.guard = FencingGuard::with_highest(newest);
        }
        if is_recovered {
            self.recovery = None;
        }
    }

    /// Returns the value and rejects older tokens from then on. Returns `None` while the replica recovers.
    ///
    /// # Errors
    ///
    /// Returns [`StaleToken`] if the guard rejects the token; see [`FencingGuard::admit`].
    pub(crate) fn read(&mut self, token: FencingToken) -> Option<Result<ReadValue, StaleToken>> {
        if self.is_recovering() {
            return None;
        }
        let admitted = self.guard.admit(token);
        Some(admitted.map(|()| ReadValue { value: self.value.clone(), is_complete: self.is_complete }))
    }

    /// Stores a value that is newer than the stored one, and returns the sequence number of the given value. Returns
    /// `None` while the replica recovers. Writes are idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`StaleToken`] if the guard rejects the token; see [`FencingGuard::admit`].
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
