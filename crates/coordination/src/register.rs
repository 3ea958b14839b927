//! What an owner must remember beyond its life, kept by a majority of the voters: a register that only the newest owner
//! writes, whole at each change.
//!
//! Terms are its ballots (Lamport 1998; Gafni and Lamport's disk synod): reading it with a token shuts out all older
//! owners at that voter, an owner reads from a majority before its first write, and writes again what it read.

use crate::messages::RegisterValue;
use crate::{FencingGuard, FencingToken, Ns, StaleToken};

/// A voter's part. Without a disk one that begins anew has forgotten whom it shut out: it takes part again once a majority of
/// others, or all there are, have said what they know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RegisterReplica {
    gate: FencingGuard,
    entry: RegisterValue,
    /// Nothing that was written before can have been forgotten here.
    whole: bool,
    learning: Option<Learning>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Learning {
    me: u32,
    voters: u32,
    heard: u64,
    /// Of those, the ones that know what they shut out.
    sure: u64,
}

impl RegisterReplica {
    /// Voter `me` of so many, with no memory.
    pub fn new(me: u32, voters: u32) -> RegisterReplica {
        let learning = Learning { me, voters, heard: 1 << me.min(63), sure: 0 };
        let alone = voters <= 1;
        let learning = (!alone).then_some(learning);
        RegisterReplica {
            gate: FencingGuard::default(),
            entry: RegisterValue::default(),
            whole: alone,
            learning,
        }
    }

    pub fn guard(&self) -> &FencingGuard {
        &self.gate
    }

    /// The voters have changed: what it has not learned yet it asks anew.
    pub fn on_voters_changed(&mut self, me: u32, voters: u32) {
        if self.learning.is_some() {
            *self = RegisterReplica { gate: self.gate.clone(), ..RegisterReplica::new(me, voters) };
        }
    }

    /// The voters that it has to ask still.
    pub fn unqueried_voters(&self) -> u64 {
        self.learning.map_or(0, |l| ((1u64 << l.voters.min(63)) - 1) & !l.heard)
    }

    /// What another asks that begins anew: the newest token met, and whether all that were met are known.
    pub fn newest_token(&self) -> (FencingToken, bool) {
        (self.gate.highest(), self.learning.is_none())
    }

    pub fn on_newest_token(&mut self, voter: u32, newest: FencingToken, sure: bool) {
        let Some(l) = self.learning.as_mut().filter(|l| voter < l.voters && voter != l.me) else { return };
        l.heard |= 1 << voter;
        l.sure |= u64::from(sure) << voter;
        let (heard, sure, voters) = (l.heard.count_ones(), l.sure.count_ones(), l.voters);
        if newest > self.gate.highest() {
            self.gate = FencingGuard::with_highest(newest);
        }
        if sure * 2 > voters || heard == voters {
            self.learning = None;
        }
    }

    /// None: it says nothing yet.
    pub fn read(&mut self, token: FencingToken) -> Option<Result<(RegisterValue, bool), StaleToken>> {
        self.learning.is_none().then(|| {
            self.gate.admit(token)?;
            Ok((self.entry.clone(), self.whole))
        })
    }

    /// Takes what is newer than what it holds; a write that comes twice changes nothing.
    pub fn write(&mut self, entry: RegisterValue) -> Option<Result<u64, StaleToken>> {
        self.learning.is_none().then(|| {
            self.gate.admit(entry.token)?;
            let count = entry.sequence;
            if (entry.token, count) > (self.entry.token, self.entry.sequence) {
                self.entry = entry;
            }
            self.whole = true;
            Ok(count)
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reads { heard: u64, whole: u64, best: RegisterValue },
    Writes { kept: u64 },
    Rests,
}

/// The owner's part, from its first read to the end of its ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RegisterWriter {
    token: FencingToken,
    voters: u32,
    round: Ns,
    next: Ns,
    phase: Phase,
    entry: RegisterValue,
    /// What is to be written once the write under way is kept.
    waits: Option<Vec<u8>>,
}

/// What the owner is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterAction {
    /// To the voters of this set of bits.
    Read(u64),
    Write(u64, RegisterValue),
    /// It holds this, surely; with the count 0 nothing was ever written.
    Stored(RegisterValue),
}

impl RegisterWriter {
    pub fn new(token: FencingToken, voters: u32, round: Ns, now: Ns) -> RegisterWriter {
        let phase = Phase::Reads { heard: 0, whole: 0, best: RegisterValue::default() };
        RegisterWriter {
            token,
            voters,
            round,
            next: now,
            phase,
            entry: RegisterValue::default(),
            waits: None,
        }
    }

    pub fn token(&self) -> FencingToken {
        self.token
    }

    pub fn next_wakeup(&self) -> Ns {
        if matches!(self.phase, Phase::Rests) { Ns::MAX } else { self.next }
    }

    fn all(&self) -> u64 {
        (1u64 << self.voters.min(63)) - 1
    }

    fn majority(&self, of: u64) -> bool {
        of.count_ones() * 2 > self.voters
    }

    /// The voters have changed: what a majority of the old ones kept, most of the new ones have to keep.
    pub fn on_voters_changed(&mut self, now: Ns, voters: u32) -> Vec<RegisterAction> {
        self.voters = voters;
        if matches!(self.phase, Phase::Reads { .. }) {
            self.phase = Phase::Reads { heard: 0, whole: 0, best: RegisterValue::default() };
            self.next = now;
            return self.step(now);
        }
        self.begin(now)
    }

    /// Asks again whom it has not heard.
    pub fn step(&mut self, now: Ns) -> Vec<RegisterAction> {
        if now < self.next_wakeup() {
            return Vec::new();
        }
        self.next = now + self.round;
        match &self.phase {
            Phase::Reads { heard, .. } => vec![RegisterAction::Read(self.all() & !heard)],
            Phase::Writes { kept } => vec![RegisterAction::Write(self.all() & !kept, self.entry.clone())],
            Phase::Rests => Vec::new(),
        }
    }

    /// What a voter holds. A majority that surely forgot nothing is enough; else all are needed, and the newest of
    /// what is left counts.
    pub fn on_read(
        &mut self,
        now: Ns,
        voter: u32,
        to: FencingToken,
        entry: RegisterValue,
        is_whole: bool,
    ) -> Vec<RegisterAction> {
        if to != self.token || voter >= self.voters {
            return Vec::new();
        }
        let Phase::Reads { heard, whole, best } = &mut self.phase else { return Vec::new() };
        *heard |= 1 << voter;
        *whole |= u64::from(is_whole) << voter;
        if (entry.token, entry.sequence) > (best.token, best.sequence) {
            *best = entry;
        }
        let (heard, whole, best) = (*heard, *whole, best.clone());
        if !self.majority(whole) && heard != self.all() {
            return Vec::new();
        }
        // Written again under its own token, what was kept by few is kept by most before it is built upon.
        self.entry = RegisterValue { token: self.token, ..best };
        self.begin(now)
    }

    fn begin(&mut self, now: Ns) -> Vec<RegisterAction> {
        self.phase = Phase::Writes { kept: 0 };
        self.next = now;
        self.step(now)
    }

    /// Writes it whole; one that waits already is replaced.
    pub fn write(&mut self, now: Ns, bytes: Vec<u8>) -> Vec<RegisterAction> {
        if !matches!(self.phase, Phase::Rests) {
            self.waits = Some(bytes);
            return Vec::new();
        }
        self.entry = RegisterValue { sequence: self.entry.sequence + 1, token: self.token, bytes };
        self.begin(now)
    }

    pub fn on_written(&mut self, now: Ns, voter: u32, by: FencingToken, count: u64) -> Vec<RegisterAction> {
        if by != self.token || count != self.entry.sequence || voter >= self.voters {
            return Vec::new();
        }
        let Phase::Writes { kept } = &mut self.phase else { return Vec::new() };
        *kept |= 1 << voter;
        let kept = *kept;
        if !self.majority(kept) {
            return Vec::new();
        }
        self.phase = Phase::Rests;
        let mut acts = vec![RegisterAction::Stored(self.entry.clone())];
        if let Some(bytes) = self.waits.take() {
            acts.extend(self.write(now, bytes));
        }
        acts
    }
}
