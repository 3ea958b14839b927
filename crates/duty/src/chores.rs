//! Probing of boxes at a steady rate: each by the member that it is dealt to, as often as all agreed, whoever did it before.

use std::collections::{BTreeMap, BTreeSet};

use sablecross::mix;

use crate::shares::Shares;
use crate::word::State;
use crate::{Member, Ns};

#[derive(Clone, Copy, Debug)]
struct Chore {
    mine: bool,
    /// When it was last found, by whomever, and when it is to be probed next.
    found: Option<Ns>,
    due: Ns,
    /// A probe that is out, since when.
    out: Option<Ns>,
}

#[derive(Clone, Debug)]
pub struct Chores {
    every: Ns,
    patience: Ns,
    chance: u64,
    all: BTreeMap<u64, Chore>,
    made: u64,
}

impl Chores {
    pub fn new(every: Ns, patience: Ns, chance: u64) -> Chores {
        Chores { every, patience, chance, all: BTreeMap::new(), made: 0 }
    }

    /// How many are its own by the deal.
    pub fn own(&self) -> usize {
        self.all.values().filter(|c| c.mine).count()
    }

    pub fn made(&self) -> u64 {
        self.made
    }

    pub fn next(&self) -> Ns {
        let at = |c: &Chore| {
            c.out.map_or(Ns::MAX, |out| out + self.patience).min(if c.mine { c.due } else { Ns::MAX })
        };
        self.all.values().map(at).min().unwrap_or(Ns::MAX)
    }

    pub fn listed(&mut self, now: Ns, boxes: &BTreeSet<u64>) {
        self.all.retain(|chore, _| boxes.contains(chore));
        for chore in boxes {
            // A fresh box, or all as the program starts: at a moment of its own, not all at once.
            let due = now + mix(chore ^ self.chance) % self.every.max(1);
            self.all.entry(*chore).or_insert(Chore { mine: false, found: None, due, out: None });
        }
    }

    /// Which are its own. One that comes to it is probed once its time has come since it was last found, and not before `heard`:
    /// by then it knows what others found, also if it was cut off from them.
    pub fn deal(&mut self, members: &[Member], me: Member, heard: Ns) {
        let shares = Shares::of(members.iter().map(|m| (*m, 1.0)));
        for (chore, c) in &mut self.all {
            let mine = shares.owner(*chore) == Some(me);
            if mine && !c.mine {
                c.due = c.found.map_or(c.due, |found| found + self.every).max(heard);
            }
            c.mine = mine;
        }
    }

    /// Another found it. What this member found itself comes back as well, a little later than it was: that moves nothing.
    pub fn found(&mut self, chore: u64, at: Ns) {
        let own = self.every / 4;
        if let Some(c) = self.all.get_mut(&chore).filter(|c| c.found.is_none_or(|f| f + own < at)) {
            c.found = Some(at);
            c.due = c.due.max(at + self.every);
        }
    }

    /// Those whose time has come; each counts as made. What was missed is not made up for.
    pub fn due(&mut self, now: Ns) -> Vec<u64> {
        let due = self.all.iter_mut().filter(|(_, c)| c.mine && c.out.is_none() && now >= c.due);
        let due: Vec<u64> = due
            .map(|(chore, c)| {
                c.out = Some(now);
                c.due = (c.due + self.every).max(now + self.every / 2);
                *chore
            })
            .collect();
        self.made += due.len() as u64;
        due
    }

    /// It has no deal that holds: what would be due waits, and is not made up for either.
    pub fn rest(&mut self, now: Ns) {
        for c in self.all.values_mut().filter(|c| now >= c.due) {
            c.due = now + self.every / 4;
        }
    }

    /// Whether the probe was out still.
    pub fn answered(&mut self, now: Ns, chore: u64) -> bool {
        let was = self.all.get_mut(&chore).is_some_and(|c| c.out.take().is_some());
        if was && let Some(c) = self.all.get_mut(&chore) {
            c.found = Some(now);
        }
        was
    }

    /// It came to nothing, and says nothing of the box.
    pub fn gone(&mut self, chore: u64) {
        if let Some(c) = self.all.get_mut(&chore) {
            c.out = None;
        }
    }

    /// Probes whose time is over: when they were made, and what that is called.
    pub fn silent(&mut self, now: Ns) -> Vec<(u64, Ns, State)> {
        let patience = self.patience;
        let over = self.all.iter_mut().filter(|(_, c)| c.out.is_some_and(|out| now >= out + patience));
        over.map(|(chore, c)| {
            let at = c.out.take().unwrap_or(now);
            c.found = Some(at);
            (*chore, at, State::Silent)
        })
        .collect()
    }
}
