//! A voter's station: all that it keeps for the fleet. It votes, hears who is alive, keeps the deal in force, what probes
//! found and the registers, and answers each call at once from what it has.

use std::collections::{BTreeMap, BTreeSet};

use crate::word::{Answer, DEALING, Duty, Finding, Held, Roster, Stamp, State, Word};
use crate::{Gate, Keeper, Member, Ns, Suspicion, Terms, Token, Voter, Want};

/// Findings of one box are worth telling for so long.
const STALE: Ns = 10_000_000_000;

/// Half of what is wanted is forgotten in this time; so many objects are kept.
const HALF: Ns = 5_000_000_000;
const MOST_HOT: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Told {
    number: u64,
    at: Ns,
    state: State,
}

#[derive(Clone, Debug)]
pub struct Station {
    me: u32,
    voters: BTreeMap<Duty, Voter>,
    keepers: BTreeMap<Duty, Keeper>,
    suspicion: Suspicion,
    lives: BTreeMap<u32, u64>,
    listens_since: Ns,
    roster: Roster,
    /// The deal before it, and what has changed since.
    before: Option<(Stamp, Vec<Member>, Vec<Member>)>,
    gate: Gate,
    /// Until when the deal is confirmed to members: the dealer was heard of.
    fresh_until: Ns,
    holds: Ns,
    silence: Ns,
    facts: BTreeMap<u64, Told>,
    by_number: BTreeMap<u64, u64>,
    next_fact: u64,
    /// What the fleet asks for most, and when that was halved last.
    hot: BTreeMap<Want, f32>,
    hot_halved: Ns,
    /// What owners have to tell, by duty: the gate, the number, and what.
    board: BTreeMap<Duty, (Gate, u64, Vec<u8>)>,
    /// What members have in force, by duty and member's number.
    in_force: BTreeMap<(Duty, u32), (Member, u64, u64)>,
}

impl Station {
    /// Voter `me` in the order of the settings, without memory.
    pub fn begin(me: u32, terms: &Terms, now: Ns) -> Station {
        let many = terms.voters.len() as u32;
        Station {
            me,
            voters: terms.duties.iter().map(|d| (*d, Voter::begin(now, terms.lease))).collect(),
            keepers: terms.duties.iter().map(|d| (*d, Keeper::begin(me, many))).collect(),
            suspicion: Suspicion::default(),
            lives: BTreeMap::new(),
            listens_since: now,
            roster: Roster::default(),
            before: None,
            gate: Gate::default(),
            fresh_until: 0,
            holds: terms.holds(),
            silence: terms.silence(),
            facts: BTreeMap::new(),
            by_number: BTreeMap::new(),
            next_fact: 1,
            hot: BTreeMap::new(),
            hot_halved: now,
            board: BTreeMap::new(),
            in_force: BTreeMap::new(),
        }
    }

    /// The voters have changed; this one is `me` in their new order.
    pub fn settles(&mut self, me: u32, terms: &Terms) {
        self.me = me;
        self.keepers.values_mut().for_each(|k| k.settles(me, terms.voters.len() as u32));
    }

    pub fn me(&self) -> u32 {
        self.me
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Old dealers, and old owners at the registers, that were refused here.
    pub fn refused(&self) -> u64 {
        let board: u64 = self.board.values().map(|(gate, ..)| gate.refused()).sum();
        board + self.gate.refused() + self.keepers.values().map(|k| k.gate().refused()).sum::<u64>()
    }

    pub fn silent(&self, now: Ns) -> Ns {
        self.voters.values().filter_map(|v| v.silent(now)).max().unwrap_or(0)
    }

    pub fn held(&self, now: Ns) -> impl Iterator<Item = Held> + '_ {
        let of = move |(duty, v): (&Duty, &Voter)| Held {
            duty: *duty,
            highest: v.highest(),
            owner: v.owner(now),
            own: None,
        };
        self.voters.iter().map(of)
    }

    /// Members and what they have in force of a duty, by number and digest.
    pub fn in_force(&self, duty: Duty) -> impl Iterator<Item = (Member, u64, u64)> + '_ {
        self.in_force.range((duty, 0)..=(duty, u32::MAX)).map(|(_, said)| *said)
    }

    /// What it has to ask other voters as it begins anew: by voter.
    pub fn asks(&self) -> impl Iterator<Item = (u32, Word)> + '_ {
        self.keepers.iter().flat_map(|(duty, keeper)| {
            let asked = keeper.asks();
            (0..64).filter(move |v| asked >> v & 1 == 1).map(move |v| (v, Word::Learn(*duty)))
        })
    }

    pub fn learnt(&mut self, voter: u32, duty: Duty, newest: Token, sure: bool) {
        if let Some(keeper) = self.keepers.get_mut(&duty) {
            keeper.learns(voter, newest, sure);
        }
    }

    /// Whether a word comes of an earlier life of its number than was heard before.
    fn displaced(&mut self, from: Member) -> Option<u64> {
        let known = self.lives.entry(from.number).or_insert(from.life);
        *known = (*known).max(from.life);
        (*known > from.life).then_some(*known)
    }

    /// Words of a member, and what they are answered.
    pub fn hear(&mut self, now: Ns, from: Member, words: &[Word]) -> Vec<Answer> {
        let mut said = Vec::new();
        if let Some(life) = self.displaced(from) {
            // What it claims or writes is an old life's; it may read what it likes of facts another time.
            said.push(Answer::Displaced(life));
            return said;
        }
        for word in words {
            self.word(now, from, word, &mut said);
        }
        said
    }

    fn word(&mut self, now: Ns, from: Member, word: &Word, said: &mut Vec<Answer>) {
        match word {
            Word::Here(stamp) => {
                self.suspicion.heard(now, from);
                if *stamp < self.roster.stamp {
                    said.push(match &self.before {
                        Some((since, joined, left)) if since == stamp => Answer::Moved {
                            since: *since,
                            stamp: self.roster.stamp,
                            dealer: self.roster.dealer,
                            joined: joined.clone(),
                            left: left.clone(),
                        },
                        _ => Answer::Dealt(self.roster.clone()),
                    });
                }
                if now < self.fresh_until {
                    said.push(Answer::Holds(self.roster.stamp));
                }
            }
            Word::Leaves => self.suspicion.left(from),
            Word::Ask(duty, ask) => {
                if let Some(reply) = self.voters.get_mut(duty).and_then(|v| v.hear(now, *ask)) {
                    said.push(Answer::Said(*duty, reply));
                }
            }
            Word::Deal(roster) => self.deal(now, roster, said),
            Word::Deals(by, stamp) => match self.gate.pass(*by) {
                Ok(()) => {
                    if *stamp == self.roster.stamp {
                        self.fresh_until = now + self.holds;
                    }
                    said.push(Answer::Keeps(self.roster.stamp));
                }
                Err(old) => said.push(Answer::Old(DEALING, old.highest)),
            },
            Word::Found(findings) => findings.iter().for_each(|f| self.found(now, *f)),
            Word::Hot(hot) => self.wanted(now, hot),
            Word::Facts(after) => said.push(self.facts(now, *after)),
            Word::Behind(duty, term) => {
                if let Some(voter) = self.voters.get_mut(duty) {
                    voter.learn(*term);
                }
            }
            Word::Read(duty, token) => {
                let Some(kept) = self.keepers.get_mut(duty).and_then(|k| k.read(*token)) else { return };
                said.push(match kept {
                    Ok((entry, whole)) => Answer::Kept { duty: *duty, to: *token, entry, whole },
                    Err(old) => Answer::Old(*duty, old.highest),
                });
            }
            Word::Write(duty, entry) => {
                let by = entry.by;
                let Some(wrote) = self.keepers.get_mut(duty).and_then(|k| k.write(entry.clone())) else {
                    return;
                };
                said.push(match wrote {
                    Ok(count) => Answer::Wrote { duty: *duty, by, count },
                    Err(old) => Answer::Old(*duty, old.highest),
                });
            }
            Word::Tell { duty, by, number, bytes } => {
                let (gate, told, kept) = self.board.entry(*duty).or_default();
                if let Err(old) = gate.pass(*by) {
                    said.push(Answer::Old(*duty, old.highest));
                } else if number > told {
                    (*told, *kept) = (*number, bytes.clone());
                }
            }
            Word::Has(duty, number, (in_force, digest)) => {
                self.in_force.insert((*duty, from.number), (from, *in_force, *digest));
                if let Some((_, told, bytes)) = self.board.get(duty).filter(|(_, told, _)| told > number) {
                    said.push(Answer::Told(*duty, *told, bytes.clone()));
                }
            }
            Word::Learn(duty) => {
                if let Some(keeper) = self.keepers.get(duty) {
                    let (newest, sure) = keeper.tells();
                    said.push(Answer::Learnt(*duty, newest, sure));
                }
            }
            // Answered by the office, which sees more.
            Word::Show | Word::HandOver(..) | Word::Wish(..) => {}
        }
    }

    /// The check and the keeping are one step; the same deal again only shows that its dealer lives.
    fn deal(&mut self, now: Ns, roster: &Roster, said: &mut Vec<Answer>) {
        let token = Token { term: roster.stamp.term, owner: roster.dealer };
        if let Err(old) = self.gate.pass(token) {
            said.push(Answer::Old(DEALING, old.highest));
            return;
        }
        if roster.stamp >= self.roster.stamp {
            if roster.stamp > self.roster.stamp {
                let (old, new) = (&self.roster.members, &roster.members);
                let not_in = |all: &[Member], m: &Member| all.binary_search(m).is_err();
                let joined = new.iter().copied().filter(|m| not_in(old, m)).collect();
                let left = old.iter().copied().filter(|m| not_in(new, m)).collect();
                self.before = Some((self.roster.stamp, joined, left));
                self.roster = roster.clone();
            }
            self.fresh_until = now + self.holds;
        }
        said.push(Answer::Keeps(self.roster.stamp));
    }

    fn found(&mut self, now: Ns, f: Finding) {
        let at = now.saturating_sub(f.age);
        if self.facts.get(&f.chore).is_some_and(|known| known.at >= at) {
            return;
        }
        let number = self.next_fact;
        self.next_fact += 1;
        if let Some(before) = self.facts.insert(f.chore, Told { number, at, state: f.state }) {
            self.by_number.remove(&before.number);
        }
        self.by_number.insert(number, f.chore);
    }

    /// Adds up what members are asked for; half of it is forgotten in each span, and what is wanted least.
    fn wanted(&mut self, now: Ns, hot: &[(Want, f32)]) {
        for (want, count) in hot.iter().filter(|(_, c)| c.is_finite() && *c > 0.0) {
            *self.hot.entry(*want).or_default() += count.min(1e6);
        }
        if now >= self.hot_halved + HALF || self.hot.len() > 2 * MOST_HOT {
            self.hot_halved = now;
            let mut counts: Vec<f32> = self.hot.values().copied().collect();
            counts.sort_by(|a, b| b.total_cmp(a));
            let least = counts.get(MOST_HOT).copied().unwrap_or(0.0);
            self.hot.retain(|_, count| {
                let kept = *count > least;
                *count /= 2.0;
                kept
            });
        }
    }

    /// What the fleet asks for most, the most first.
    pub fn hottest(&self) -> Vec<Want> {
        let mut all: Vec<(Want, f32)> = self.hot.iter().map(|(w, c)| (*w, *c)).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.into_iter().take(MOST_HOT).map(|(w, _)| w).collect()
    }

    /// What was found after that number. One past all numbers here is of an earlier life of this voter: all is told.
    fn facts(&self, now: Ns, after: u64) -> Answer {
        let from = if after >= self.next_fact { 0 } else { after + 1 };
        let told =
            self.by_number.range(from..).filter_map(|(_, chore)| Some((chore, self.facts.get(chore)?)));
        let findings = told
            .map(|(&chore, t)| Finding { chore, age: now.saturating_sub(t.at), state: t.state })
            .filter(|f| f.age < STALE)
            .collect();
        Answer::Facts { upto: self.next_fact - 1, findings }
    }

    /// Who is to have chores, by what this voter hears. Until it has listened for as long as a silence is a death it takes nobody
    /// out who was in before: one that begins to deal has heard of few.
    pub fn living(&self, now: Ns) -> Vec<Member> {
        let mut living: BTreeSet<Member> = self.suspicion.alive(now).into_iter().collect();
        if now < self.listens_since + self.silence {
            let known = |m: &Member| living.iter().any(|l| l.number == m.number);
            let before: Vec<Member> = self.roster.members.iter().copied().filter(|m| !known(m)).collect();
            living.extend(before.into_iter().filter(|m| !self.suspicion.has_left(*m)));
        }
        living.into_iter().collect()
    }

    /// What the dealer took from elsewhere before its first deal.
    pub fn adopt(&mut self, roster: &Roster) {
        if roster.stamp > self.roster.stamp {
            self.roster = roster.clone();
            self.before = None;
        }
    }
}
