//! A voter's station: all that it keeps for the fleet. It votes, hears who is alive, keeps the deal in force, what probes
//! found and the registers, and answers each call at once from what it has.

use std::collections::{BTreeMap, BTreeSet};

use crate::messages::{
    ASSIGNMENT_ROLE, Assignment, AssignmentVersion, HealthObservation, HealthState, Message, Reply, RoleId,
    RoleStatus,
};
use crate::{
    CoordinationConfig, FailureDetector, FencingGuard, FencingToken, HotObject, Member, Ns, RegisterReplica,
    Voter,
};

/// Findings of one box are worth telling for so long.
const STALE: Ns = 10_000_000_000;

/// Half of what is wanted is forgotten in this time; so many objects are kept.
const HALF: Ns = 5_000_000_000;
const MOST_HOT: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Told {
    number: u64,
    at: Ns,
    state: HealthState,
}

#[derive(Clone, Debug)]
pub struct VoterNode {
    me: u32,
    voters: BTreeMap<RoleId, Voter>,
    keepers: BTreeMap<RoleId, RegisterReplica>,
    suspicion: FailureDetector,
    lives: BTreeMap<u32, u64>,
    listens_since: Ns,
    roster: Assignment,
    /// The deal before it, and what has changed since.
    before: Option<(AssignmentVersion, Vec<Member>, Vec<Member>)>,
    gate: FencingGuard,
    /// Until when the deal is confirmed to members: the dealer was heard of.
    fresh_until: Ns,
    holds: Ns,
    silence: Ns,
    facts: BTreeMap<u64, Told>,
    by_number: BTreeMap<u64, u64>,
    next_fact: u64,
    /// What the fleet asks for most, and when that was halved last.
    hot: BTreeMap<HotObject, f32>,
    hot_halved: Ns,
    /// What owners have to tell, by duty: the gate, the number, and what.
    board: BTreeMap<RoleId, (FencingGuard, u64, Vec<u8>)>,
    /// What members have in force, by duty and member's number.
    in_force: BTreeMap<(RoleId, u32), (Member, u64, u64)>,
}

impl VoterNode {
    /// Voter `me` in the order of the settings, without memory.
    pub fn new(me: u32, terms: &CoordinationConfig, now: Ns) -> VoterNode {
        let many = terms.voters.len() as u32;
        VoterNode {
            me,
            voters: terms
                .roles
                .iter()
                .map(|d| (*d, Voter::without_memory(now, terms.lease_duration)))
                .collect(),
            keepers: terms.roles.iter().map(|d| (*d, RegisterReplica::new(me, many))).collect(),
            suspicion: FailureDetector::default(),
            lives: BTreeMap::new(),
            listens_since: now,
            roster: Assignment::default(),
            before: None,
            gate: FencingGuard::default(),
            fresh_until: 0,
            holds: terms.assignment_validity(),
            silence: terms.failure_timeout(),
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
    pub fn reconfigure(&mut self, me: u32, terms: &CoordinationConfig) {
        self.me = me;
        self.keepers.values_mut().for_each(|k| k.on_voters_changed(me, terms.voters.len() as u32));
    }

    pub fn index(&self) -> u32 {
        self.me
    }

    pub fn assignment(&self) -> &Assignment {
        &self.roster
    }

    /// Old dealers, and old owners at the registers, that were refused here.
    pub fn rejected_count(&self) -> u64 {
        let board: u64 = self.board.values().map(|(gate, ..)| gate.rejected_count()).sum();
        board
            + self.gate.rejected_count()
            + self.keepers.values().map(|k| k.guard().rejected_count()).sum::<u64>()
    }

    pub fn silent_for(&self, now: Ns) -> Ns {
        self.voters.values().filter_map(|v| v.silent_for(now)).max().unwrap_or(0)
    }

    pub fn role_status(&self, now: Ns) -> impl Iterator<Item = RoleStatus> + '_ {
        let of = move |(duty, v): (&RoleId, &Voter)| RoleStatus {
            role: *duty,
            highest_term: v.highest_term(),
            holder: v.holder(now),
            own_lease: None,
        };
        self.voters.iter().map(of)
    }

    /// Members and what they have in force of a duty, by number and digest.
    pub fn applied_versions(&self, duty: RoleId) -> impl Iterator<Item = (Member, u64, u64)> + '_ {
        self.in_force.range((duty, 0)..=(duty, u32::MAX)).map(|(_, said)| *said)
    }

    /// What it has to ask other voters as it begins anew: by voter.
    pub fn pending_queries(&self) -> impl Iterator<Item = (u32, Message)> + '_ {
        self.keepers.iter().flat_map(|(duty, keeper)| {
            let asked = keeper.unqueried_voters();
            (0..64).filter(move |v| asked >> v & 1 == 1).map(move |v| (v, Message::FetchNewestToken(*duty)))
        })
    }

    pub fn on_newest_token(&mut self, voter: u32, duty: RoleId, newest: FencingToken, sure: bool) {
        if let Some(keeper) = self.keepers.get_mut(&duty) {
            keeper.on_newest_token(voter, newest, sure);
        }
    }

    /// Whether a word comes of an earlier life of its number than was heard before.
    fn displaced(&mut self, from: Member) -> Option<u64> {
        let known = self.lives.entry(from.number).or_insert(from.incarnation);
        *known = (*known).max(from.incarnation);
        (*known > from.incarnation).then_some(*known)
    }

    /// Words of a member, and what they are answered.
    pub fn on_messages(&mut self, now: Ns, from: Member, words: &[Message]) -> Vec<Reply> {
        let mut said = Vec::new();
        if let Some(life) = self.displaced(from) {
            // What it claims or writes is an old life's; it may read what it likes of facts another time.
            said.push(Reply::Displaced(life));
            return said;
        }
        for word in words {
            self.word(now, from, word, &mut said);
        }
        said
    }

    fn word(&mut self, now: Ns, from: Member, word: &Message, said: &mut Vec<Reply>) {
        match word {
            Message::Heartbeat(stamp) => {
                self.suspicion.record_heartbeat(now, from);
                if *stamp < self.roster.version {
                    said.push(match &self.before {
                        Some((since, joined, left)) if since == stamp => Reply::AssignmentChanged {
                            since: *since,
                            version: self.roster.version,
                            assigner: self.roster.assigner,
                            joined: joined.clone(),
                            left: left.clone(),
                        },
                        _ => Reply::Assigned(self.roster.clone()),
                    });
                }
                if now < self.fresh_until {
                    said.push(Reply::AssignmentConfirmed(self.roster.version));
                }
            }
            Message::Leave => self.suspicion.record_leave(from),
            Message::Lease(duty, ask) => {
                if let Some(reply) = self.voters.get_mut(duty).and_then(|v| v.on_request(now, *ask)) {
                    said.push(Reply::Lease(*duty, reply));
                }
            }
            Message::Assign(roster) => self.deal(now, roster, said),
            Message::ConfirmAssignment(by, stamp) => match self.gate.admit(*by) {
                Ok(()) => {
                    if *stamp == self.roster.version {
                        self.fresh_until = now + self.holds;
                    }
                    said.push(Reply::AssignmentStored(self.roster.version));
                }
                Err(old) => said.push(Reply::StaleToken(ASSIGNMENT_ROLE, old.highest)),
            },
            Message::ReportHealth(findings) => findings.iter().for_each(|f| self.found(now, *f)),
            Message::ReportHotObjects(hot) => self.wanted(now, hot),
            Message::FetchHealth(after) => said.push(self.facts(now, *after)),
            Message::ReportNewerTerm(duty, term) => {
                if let Some(voter) = self.voters.get_mut(duty) {
                    voter.observe_term(*term);
                }
            }
            Message::ReadRegister(duty, token) => {
                let Some(kept) = self.keepers.get_mut(duty).and_then(|k| k.read(*token)) else { return };
                said.push(match kept {
                    Ok((entry, whole)) => {
                        Reply::RegisterRead { role: *duty, token: *token, value: entry, is_complete: whole }
                    }
                    Err(old) => Reply::StaleToken(*duty, old.highest),
                });
            }
            Message::WriteRegister(duty, entry) => {
                let by = entry.token;
                let Some(wrote) = self.keepers.get_mut(duty).and_then(|k| k.write(entry.clone())) else {
                    return;
                };
                said.push(match wrote {
                    Ok(count) => Reply::RegisterWritten { role: *duty, token: by, sequence: count },
                    Err(old) => Reply::StaleToken(*duty, old.highest),
                });
            }
            Message::Publish { role: duty, token: by, number, bytes } => {
                let (gate, told, kept) = self.board.entry(*duty).or_default();
                if let Err(old) = gate.admit(*by) {
                    said.push(Reply::StaleToken(*duty, old.highest));
                } else if number > told {
                    (*told, *kept) = (*number, bytes.clone());
                }
            }
            Message::ReportAppliedVersion(duty, number, (in_force, digest)) => {
                self.in_force.insert((*duty, from.number), (from, *in_force, *digest));
                if let Some((_, told, bytes)) = self.board.get(duty).filter(|(_, told, _)| told > number) {
                    said.push(Reply::Published(*duty, *told, bytes.clone()));
                }
            }
            Message::FetchNewestToken(duty) => {
                if let Some(keeper) = self.keepers.get(duty) {
                    let (newest, sure) = keeper.newest_token();
                    said.push(Reply::NewestToken(*duty, newest, sure));
                }
            }
            // Answered by the office, which sees more.
            Message::ShowStatus | Message::HandOver(..) | Message::Propose(..) => {}
        }
    }

    /// The check and the keeping are one step; the same deal again only shows that its dealer lives.
    fn deal(&mut self, now: Ns, roster: &Assignment, said: &mut Vec<Reply>) {
        let token = FencingToken { term: roster.version.term, holder: roster.assigner };
        if let Err(old) = self.gate.admit(token) {
            said.push(Reply::StaleToken(ASSIGNMENT_ROLE, old.highest));
            return;
        }
        if roster.version >= self.roster.version {
            if roster.version > self.roster.version {
                let (old, new) = (&self.roster.members, &roster.members);
                let not_in = |all: &[Member], m: &Member| all.binary_search(m).is_err();
                let joined = new.iter().copied().filter(|m| not_in(old, m)).collect();
                let left = old.iter().copied().filter(|m| not_in(new, m)).collect();
                self.before = Some((self.roster.version, joined, left));
                self.roster = roster.clone();
            }
            self.fresh_until = now + self.holds;
        }
        said.push(Reply::AssignmentStored(self.roster.version));
    }

    fn found(&mut self, now: Ns, f: HealthObservation) {
        let at = now.saturating_sub(f.age);
        if self.facts.get(&f.target).is_some_and(|known| known.at >= at) {
            return;
        }
        let number = self.next_fact;
        self.next_fact += 1;
        if let Some(before) = self.facts.insert(f.target, Told { number, at, state: f.state }) {
            self.by_number.remove(&before.number);
        }
        self.by_number.insert(number, f.target);
    }

    /// Adds up what members are asked for; half of it is forgotten in each span, and what is wanted least.
    fn wanted(&mut self, now: Ns, hot: &[(HotObject, f32)]) {
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
    pub fn hottest_objects(&self) -> Vec<HotObject> {
        let mut all: Vec<(HotObject, f32)> = self.hot.iter().map(|(w, c)| (*w, *c)).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.into_iter().take(MOST_HOT).map(|(w, _)| w).collect()
    }

    /// What was found after that number. One past all numbers here is of an earlier life of this voter: all is told.
    fn facts(&self, now: Ns, after: u64) -> Reply {
        let from = if after >= self.next_fact { 0 } else { after + 1 };
        let told =
            self.by_number.range(from..).filter_map(|(_, chore)| Some((chore, self.facts.get(chore)?)));
        let findings = told
            .map(|(&chore, t)| HealthObservation {
                target: chore,
                age: now.saturating_sub(t.at),
                state: t.state,
            })
            .filter(|f| f.age < STALE)
            .collect();
        Reply::HealthObservations { up_to: self.next_fact - 1, observations: findings }
    }

    /// Who is to have chores, by what this voter hears. Until it has listened for as long as a silence is a death it takes nobody
    /// out who was in before: one that begins to deal has heard of few.
    pub fn alive_members(&self, now: Ns) -> Vec<Member> {
        let mut living: BTreeSet<Member> = self.suspicion.alive_members(now).into_iter().collect();
        if now < self.listens_since + self.silence {
            let known = |m: &Member| living.iter().any(|l| l.number == m.number);
            let before: Vec<Member> = self.roster.members.iter().copied().filter(|m| !known(m)).collect();
            living.extend(before.into_iter().filter(|m| !self.suspicion.has_left(*m)));
        }
        living.into_iter().collect()
    }

    /// What the dealer took from elsewhere before its first deal.
    pub fn adopt_assignment(&mut self, roster: &Assignment) {
        if roster.version > self.roster.version {
            self.roster = roster.clone();
            self.before = None;
        }
    }
}
