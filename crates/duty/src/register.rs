//! What an owner must remember beyond its life, kept by a majority of the voters: a register that only the newest owner
//! writes, whole at each change.
//!
//! Terms are its ballots (Lamport 1998; Gafni and Lamport's disk synod): reading it with a token shuts out all older
//! owners at that voter, an owner reads from a majority before its first write, and writes again what it read.

use crate::word::Entry;
use crate::{Gate, Ns, Old, Token};

/// A voter's part. Without a disk one that begins anew has forgotten whom it shut out: it takes part again once a majority of
/// others, or all there are, have said what they know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    gate: Gate,
    entry: Entry,
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

impl Keeper {
    /// Voter `me` of so many, with no memory.
    pub fn begin(me: u32, voters: u32) -> Keeper {
        let learning = Learning { me, voters, heard: 1 << me.min(63), sure: 0 };
        let alone = voters <= 1;
        let learning = (!alone).then_some(learning);
        Keeper { gate: Gate::default(), entry: Entry::default(), whole: alone, learning }
    }

    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// The voters have changed: what it has not learned yet it asks anew.
    pub fn settles(&mut self, me: u32, voters: u32) {
        if self.learning.is_some() {
            *self = Keeper { gate: self.gate.clone(), ..Keeper::begin(me, voters) };
        }
    }

    /// The voters that it has to ask still.
    pub fn asks(&self) -> u64 {
        self.learning.map_or(0, |l| ((1u64 << l.voters.min(63)) - 1) & !l.heard)
    }

    /// What another asks that begins anew: the newest token met, and whether all that were met are known.
    pub fn tells(&self) -> (Token, bool) {
        (self.gate.highest(), self.learning.is_none())
    }

    pub fn learns(&mut self, voter: u32, newest: Token, sure: bool) {
        let Some(l) = self.learning.as_mut().filter(|l| voter < l.voters && voter != l.me) else { return };
        l.heard |= 1 << voter;
        l.sure |= u64::from(sure) << voter;
        let (heard, sure, voters) = (l.heard.count_ones(), l.sure.count_ones(), l.voters);
        if newest > self.gate.highest() {
            self.gate = Gate::with(newest);
        }
        if sure * 2 > voters || heard == voters {
            self.learning = None;
        }
    }

    /// None: it says nothing yet.
    pub fn read(&mut self, token: Token) -> Option<Result<(Entry, bool), Old>> {
        self.learning.is_none().then(|| {
            self.gate.pass(token)?;
            Ok((self.entry.clone(), self.whole))
        })
    }

    /// Takes what is newer than what it holds; a write that comes twice changes nothing.
    pub fn write(&mut self, entry: Entry) -> Option<Result<u64, Old>> {
        self.learning.is_none().then(|| {
            self.gate.pass(entry.by)?;
            let count = entry.count;
            if (entry.by, count) > (self.entry.by, self.entry.count) {
                self.entry = entry;
            }
            self.whole = true;
            Ok(count)
        })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reads { heard: u64, whole: u64, best: Entry },
    Writes { kept: u64 },
    Rests,
}

/// The owner's part, from its first read to the end of its ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Post {
    token: Token,
    voters: u32,
    round: Ns,
    next: Ns,
    phase: Phase,
    entry: Entry,
    /// What is to be written once the write under way is kept.
    waits: Option<Vec<u8>>,
}

/// What the owner is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// To the voters of this set of bits.
    Read(u64),
    Write(u64, Entry),
    /// It holds this, surely; with the count 0 nothing was ever written.
    Holds(Entry),
}

impl Post {
    pub fn new(token: Token, voters: u32, round: Ns, now: Ns) -> Post {
        let phase = Phase::Reads { heard: 0, whole: 0, best: Entry::default() };
        Post { token, voters, round, next: now, phase, entry: Entry::default(), waits: None }
    }

    pub fn token(&self) -> Token {
        self.token
    }

    pub fn next(&self) -> Ns {
        if matches!(self.phase, Phase::Rests) { Ns::MAX } else { self.next }
    }

    fn all(&self) -> u64 {
        (1u64 << self.voters.min(63)) - 1
    }

    fn majority(&self, of: u64) -> bool {
        of.count_ones() * 2 > self.voters
    }

    /// The voters have changed: what a majority of the old ones kept, most of the new ones have to keep.
    pub fn settles(&mut self, now: Ns, voters: u32) -> Vec<Do> {
        self.voters = voters;
        if matches!(self.phase, Phase::Reads { .. }) {
            self.phase = Phase::Reads { heard: 0, whole: 0, best: Entry::default() };
            self.next = now;
            return self.step(now);
        }
        self.begin(now)
    }

    /// Asks again whom it has not heard.
    pub fn step(&mut self, now: Ns) -> Vec<Do> {
        if now < self.next() {
            return Vec::new();
        }
        self.next = now + self.round;
        match &self.phase {
            Phase::Reads { heard, .. } => vec![Do::Read(self.all() & !heard)],
            Phase::Writes { kept } => vec![Do::Write(self.all() & !kept, self.entry.clone())],
            Phase::Rests => Vec::new(),
        }
    }

    /// What a voter holds. A majority that surely forgot nothing is enough; else all are needed, and the newest of
    /// what is left counts.
    pub fn read(&mut self, now: Ns, voter: u32, to: Token, entry: Entry, is_whole: bool) -> Vec<Do> {
        if to != self.token || voter >= self.voters {
            return Vec::new();
        }
        let Phase::Reads { heard, whole, best } = &mut self.phase else { return Vec::new() };
        *heard |= 1 << voter;
        *whole |= u64::from(is_whole) << voter;
        if (entry.by, entry.count) > (best.by, best.count) {
            *best = entry;
        }
        let (heard, whole, best) = (*heard, *whole, best.clone());
        if !self.majority(whole) && heard != self.all() {
            return Vec::new();
        }
        // Written again under its own token, what was kept by few is kept by most before it is built upon.
        self.entry = Entry { by: self.token, ..best };
        self.begin(now)
    }

    fn begin(&mut self, now: Ns) -> Vec<Do> {
        self.phase = Phase::Writes { kept: 0 };
        self.next = now;
        self.step(now)
    }

    /// Writes it whole; one that waits already is replaced.
    pub fn write(&mut self, now: Ns, bytes: Vec<u8>) -> Vec<Do> {
        if !matches!(self.phase, Phase::Rests) {
            self.waits = Some(bytes);
            return Vec::new();
        }
        self.entry = Entry { count: self.entry.count + 1, by: self.token, bytes };
        self.begin(now)
    }

    pub fn wrote(&mut self, now: Ns, voter: u32, by: Token, count: u64) -> Vec<Do> {
        if by != self.token || count != self.entry.count || voter >= self.voters {
            return Vec::new();
        }
        let Phase::Writes { kept } = &mut self.phase else { return Vec::new() };
        *kept |= 1 << voter;
        let kept = *kept;
        if !self.majority(kept) {
            return Vec::new();
        }
        self.phase = Phase::Rests;
        let mut acts = vec![Do::Holds(self.entry.clone())];
        if let Some(bytes) = self.waits.take() {
            acts.extend(self.write(now, bytes));
        }
        acts
    }
}
