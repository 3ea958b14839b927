//! Reads and writes the register of a role on behalf of its holder. The register stores the state that has to outlive
//! the holder's process.
//!
//! The register is a single value that is replicated to the voters; each write replaces it. The terms of leases serve
//! as ballots (Lamport's single-decree Paxos, 1998; Gafni and Lamport's Disk Paxos). A new holder reads from a
//! majority of the voters, after which those voters reject all older holders. It writes the newest value that it read
//! back under its own token, and only then writes its own values.

use crate::messages::RegisterValue;
use crate::register_replica::ReadValue;
use crate::voter_set::VoterSet;
use crate::{FencingToken, Ns};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reading { replied: VoterSet, complete: VoterSet, newest: RegisterValue },
    Writing { stored: VoterSet },
    Idle,
}

impl Phase {
    fn first_read() -> Phase {
        Phase::Reading {
            replied: VoterSet::default(),
            complete: VoterSet::default(),
            newest: RegisterValue::default(),
        }
    }
}

/// An action that the caller has to carry out for a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RegisterAction {
    /// Send a read to these voters.
    Read(VoterSet),
    /// Send a write to these voters.
    Write(VoterSet, RegisterValue),
    /// A majority of the voters stores this value. Sequence number 0 means that nothing was ever written.
    Stored(RegisterValue),
}

/// Reads and writes the register of one role, from when its lease is acquired until it ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RegisterWriter {
    token: FencingToken,
    voter_count: u32,
    round_timeout: Ns,
    next_attempt: Ns,
    phase: Phase,
    value: RegisterValue,
    /// The next value to write, once the current write is stored.
    queued: Option<Vec<u8>>,
}

impl RegisterWriter {
    /// Creates a writer that starts reading at the next [`step`](Self::step).
    pub(crate) fn new(token: FencingToken, voter_count: u32, round_timeout: Ns, now: Ns) -> RegisterWriter {
        RegisterWriter {
            token,
            voter_count,
            round_timeout,
            next_attempt: now,
            phase: Phase::first_read(),
            value: RegisterValue::default(),
            queued: None,
        }
    }

    /// The token that accompanies its reads and writes.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns when to call [`step`](Self::step) next.
    pub(crate) fn next_wakeup(&self) -> Ns {
        if matches!(self.phase, Phase::Idle) { Ns::MAX } else { self.next_attempt }
    }

    /// The voters have changed. Writes the value again, because a majority of the new voters has to store what a
    /// majority of the old ones stores; an unfinished read starts over.
    pub(crate) fn on_voters_changed(&mut self, now: Ns, voter_count: u32) -> Vec<RegisterAction> {
        self.voter_count = voter_count;
        if matches!(self.phase, Phase::Reading { .. }) {
            self.phase = Phase::first_read();
            self.next_attempt = now;
            return self.step(now);
        }
        self.begin_write(now)
    }

    /// Sends the read or write to the voters that have not replied, if it is due.
    pub(crate) fn step(&mut self, now: Ns) -> Vec<RegisterAction> {
        if now < self.next_wakeup() {
            return Vec::new();
        }
        self.next_attempt = now + self.round_timeout;
        let all = VoterSet::first(self.voter_count);
        match &self.phase {
            Phase::Reading { replied, .. } => vec![RegisterAction::Read(all.without(*replied))],
            Phase::Writing { stored } => {
                vec![RegisterAction::Write(all.without(*stored), self.value.clone())]
            }
            Phase::Idle => Vec::new(),
        }
    }

    /// Handles a voter's reply to a read with `token`. A reply is complete if the voter can't have forgotten a value.
    /// The read ends once a majority of the voters has sent complete replies, or once all voters have replied. The
    /// newest value read counts.
    pub(crate) fn on_read(
        &mut self,
        now: Ns,
        voter: u32,
        token: FencingToken,
        read: ReadValue,
    ) -> Vec<RegisterAction> {
        if token != self.token || voter >= self.voter_count {
            return Vec::new();
        }
        let Phase::Reading { replied, complete, newest } = &mut self.phase else { return Vec::new() };
        replied.insert(voter);
        if read.is_complete {
            complete.insert(voter);
        }
        if (read.value.token, read.value.sequence) > (newest.token, newest.sequence) {
            *newest = read.value;
        }
        let all_replied = *replied == VoterSet::first(self.voter_count);
        if !complete.is_majority_of(self.voter_count) && !all_replied {
            return Vec::new();
        }
        // The value may be stored by a minority only: a majority has to store it before the holder builds on it.
        self.value = RegisterValue { token: self.token, ..std::mem::take(newest) };
        self.begin_write(now)
    }

    /// Replaces the value. Only the latest value is kept while an earlier write is unfinished.
    pub(crate) fn write(&mut self, now: Ns, bytes: Vec<u8>) -> Vec<RegisterAction> {
        if !matches!(self.phase, Phase::Idle) {
            self.queued = Some(bytes);
            return Vec::new();
        }
        self.value = RegisterValue { sequence: self.value.sequence + 1, token: self.token, bytes };
        self.begin_write(now)
    }

    /// A voter has stored the value with this token and sequence number.
    pub(crate) fn on_written(
        &mut self,
        now: Ns,
        voter: u32,
        token: FencingToken,
        sequence: u64,
    ) -> Vec<RegisterAction> {
        if token != self.token || sequence != self.value.sequence || voter >= self.voter_count {
            return Vec::new();
        }
        let Phase::Writing { stored } = &mut self.phase else { return Vec::new() };
        stored.insert(voter);
        if !stored.is_majority_of(self.voter_count) {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        let mut actions = vec![RegisterAction::Stored(self.value.clone())];
        if let Some(bytes) = self.queued.take() {
            actions.extend(self.write(now, bytes));
        }
        actions
    }

    fn begin_write(&mut self, now: Ns) -> Vec<RegisterAction> {
        self.phase = Phase::Writing { stored: VoterSet::default() };
        self.next_attempt = now;
        self.step(now)
    }
}
