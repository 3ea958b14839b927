//! Probing of boxes at a steady rate: each by the member that it is dealt to, as often as all agreed, whoever did it before.

use std::collections::{BTreeMap, BTreeSet};

use sablecross::mix;

use crate::membership::RendezvousShares;
use crate::messages::HealthState;
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
pub struct HealthCheckSchedule {
    every: Ns,
    patience: Ns,
    chance: u64,
    all: BTreeMap<u64, Chore>,
    made: u64,
}

impl HealthCheckSchedule {
    pub fn new(every: Ns, patience: Ns, chance: u64) -> HealthCheckSchedule {
        HealthCheckSchedule { every, patience, chance, all: BTreeMap::new(), made: 0 }
    }

    /// How many are its own by the deal.
    pub fn own_count(&self) -> usize {
        self.all.values().filter(|c| c.mine).count()
    }

    pub fn checks_sent(&self) -> u64 {
        self.made
    }

    pub fn next_wakeup(&self) -> Ns {
        let at = |c: &Chore| {
            c.out.map_or(Ns::MAX, |out| out + self.patience).min(if c.mine { c.due } else { Ns::MAX })
        };
        self.all.values().map(at).min().unwrap_or(Ns::MAX)
    }

    pub fn update_targets(&mut self, now: Ns, boxes: &BTreeSet<u64>) {
        self.all.retain(|chore, _| boxes.contains(chore));
        for chore in boxes {
            // A fresh box, or all as the program starts: at a moment of its own, not all at once.
            let due = now + mix(chore ^ self.chance) % self.every.max(1);
            self.all.entry(*chore).or_insert(Chore { mine: false, found: None, due, out: None });
        }
    }

    /// Which are its own. One that comes to it is probed once its time has come since it was last found, and not before `heard`:
    /// by then it knows what others found, also if it was cut off from them.
    pub fn assign(&mut self, members: &[Member], me: Member, heard: Ns) {
        let shares = RendezvousShares::from_weights(members.iter().map(|m| (*m, 1.0)));
        for (chore, c) in &mut self.all {
            let mine = shares.owner(*chore) == Some(me);
            if mine && !c.mine {
                c.due = c.found.map_or(c.due, |found| found + self.every).max(heard);
            }
            c.mine = mine;
        }
    }

    /// Another found it. What this member found itself comes back as well, a little later than it was: that moves nothing.
    pub fn on_observation(&mut self, chore: u64, at: Ns) {
        let own = self.every / 4;
        if let Some(c) = self.all.get_mut(&chore).filter(|c| c.found.is_none_or(|f| f + own < at)) {
            c.found = Some(at);
            c.due = c.due.max(at + self.every);
        }
    }

    /// Those whose time has come; each counts as made. What was missed is not made up for.
    pub fn take_due(&mut self, now: Ns) -> Vec<u64> {
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
    pub fn postpone_due(&mut self, now: Ns) {
        for c in self.all.values_mut().filter(|c| now >= c.due) {
            c.due = now + self.every / 4;
        }
    }

    /// Whether the probe was out still.
    pub fn on_answer(&mut self, now: Ns, chore: u64) -> bool {
        let was = self.all.get_mut(&chore).is_some_and(|c| c.out.take().is_some());
        if was && let Some(c) = self.all.get_mut(&chore) {
            c.found = Some(now);
        }
        was
    }

    /// It came to nothing, and says nothing of the box.
    pub fn on_rejected(&mut self, chore: u64) {
        if let Some(c) = self.all.get_mut(&chore) {
            c.out = None;
        }
    }

    /// Probes whose time is over: when they were made, and what that is called.
    pub fn take_timed_out(&mut self, now: Ns) -> Vec<(u64, Ns, HealthState)> {
        let patience = self.patience;
        let over = self.all.iter_mut().filter(|(_, c)| c.out.is_some_and(|out| now >= out + patience));
        over.map(|(chore, c)| {
            let at = c.out.take().unwrap_or(now);
            c.found = Some(at);
            (*chore, at, HealthState::TimedOut)
        })
        .collect()
    }
}
