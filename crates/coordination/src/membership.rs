//! Many small chores dealt to those who are alive, and who that is.

use std::collections::{BTreeMap, BTreeSet};

use sablecross::mix;

use crate::{Member, Ns};

/// Who is alive, by how long it has been silent beside how often it speaks (Hayashibara 2004, with an exponential tail:
/// silences of a stalled program are no bell curve). Ten means of its pauses, two seconds at least, are a death: at one
/// message lost in ten a false one comes once in 10^10.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    heard: BTreeMap<Member, (Ns, f64)>,
    /// Those that said that they end.
    left: BTreeSet<Member>,
}

const DEAD_AT: f64 = 10.0;
const LEAST: f64 = 2e9;
const LONGEST_MEAN: f64 = 5e8;

impl FailureDetector {
    /// A word of a member. A new life takes the place of the earlier ones of its number.
    pub fn record_heartbeat(&mut self, now: Ns, from: Member) {
        let lives = Member { incarnation: 0, ..from }..=Member { incarnation: u64::MAX, ..from };
        let latest = self.heard.range(lives.clone()).next_back();
        if latest.is_some_and(|(m, _)| m.incarnation > from.incarnation) || self.left.contains(&from) {
            return;
        }
        while let Some(earlier) = self.left.range(lives.clone()).next().copied() {
            self.left.remove(&earlier);
        }
        while let Some((earlier, _)) = self.heard.range(lives.clone()).next().filter(|(m, _)| **m != from) {
            let earlier = *earlier;
            self.heard.remove(&earlier);
        }
        let entry = self.heard.entry(from).or_insert((now, LONGEST_MEAN / 2.0));
        let pause = now.saturating_sub(entry.0) as f64;
        entry.1 = (entry.1 + 0.1 * (pause - entry.1)).clamp(1e6, LONGEST_MEAN);
        entry.0 = now;
    }

    /// One that said that it ends; what comes of it later was on its way.
    pub fn record_leave(&mut self, member: Member) {
        if self.heard.remove(&member).is_some() {
            self.left.insert(member);
        }
    }

    pub fn has_left(&self, member: Member) -> bool {
        self.left.contains(&member)
    }

    /// How sure it is that a member is dead: 1 and more is a verdict.
    pub fn suspicion_level(&self, now: Ns, member: Member) -> f64 {
        let Some((at, mean)) = self.heard.get(&member) else { return f64::INFINITY };
        now.saturating_sub(*at) as f64 / (DEAD_AT * mean).max(LEAST)
    }

    pub fn alive_members(&self, now: Ns) -> Vec<Member> {
        self.heard.keys().copied().filter(|m| self.suspicion_level(now, *m) < 1.0).collect()
    }
}

/// Deals chores by rendezvous hashing (Thaler, Ravishankar 1998): of a change of one member only its own move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RendezvousShares {
    /// By weight: how many parts a member takes.
    members: Vec<(Member, f64)>,
}

impl RendezvousShares {
    /// Members with no weight, or one that is no number, take nothing.
    pub fn from_weights(members: impl IntoIterator<Item = (Member, f64)>) -> RendezvousShares {
        let mut members: Vec<_> = members.into_iter().filter(|(_, w)| w.is_finite() && *w > 0.0).collect();
        members.sort_by_key(|(m, _)| *m);
        members.dedup_by_key(|(m, _)| m.number);
        RendezvousShares { members }
    }

    /// Whose a chore is. Lives do not count: one that begins anew takes its own again.
    pub fn owner(&self, chore: u64) -> Option<Member> {
        let score = |(m, w): &(Member, f64)| {
            let drawn = (mix(chore ^ mix(u64::from(m.number))) >> 11) as f64 / (1u64 << 53) as f64;
            -w / drawn.max(f64::MIN_POSITIVE).ln()
        };
        let best = self.members.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(m, _)| *m)
    }
}
