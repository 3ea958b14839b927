//! All duties of one process: it tells the voters that it lives, keeps to the deal in force, claims and owns duties if it is a
//! voter itself, deals chores while it is the dealer, and probes the boxes that were dealt to it.
//!
//! Times and answers come in, `Do`s go out. What it says to its own voter goes the short way, by the same words.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use thiserror::Error;

use crate::messages::{
    ASSIGNMENT_ROLE, Assignment, AssignmentVersion, HealthObservation, HealthState, MemberStatus, Message,
    RegisterValue, Reply, RoleId, RoleStatus,
};
use crate::register::{self, RegisterWriter};
use crate::{
    CandidateAction, FencingToken, HealthCheckSchedule, HotObject, LeaseCandidate, LeaseConfig, LeaseEnd,
    LeaseRequest, Member, Ns, VoterNode,
};

/// The same at all members of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// Members that vote, claim and own, by their numbers.
    pub voters: Vec<u32>,
    /// Dealing first.
    pub roles: Vec<RoleId>,
    pub lease_duration: Ns,
    /// A round of asking voters, and how far apart claimants hold their claims.
    pub round_timeout: Ns,
    pub claim_spacing: Ns,
    /// How often a member says that it lives.
    pub heartbeat_interval: Ns,
    /// How often each box is probed, by whomever.
    pub check_interval: Ns,
    /// A probe without an answer is over after this.
    pub check_timeout: Ns,
}

/// Ten beats, two seconds at least, are a death (`Suspicion`).
const BEATS: Ns = 10;
const LEAST_SILENCE: Ns = 2_000_000_000;

impl CoordinationConfig {
    /// The silence that is a death.
    pub fn failure_timeout(&self) -> Ns {
        (BEATS * self.heartbeat_interval).max(LEAST_SILENCE)
    }

    /// How long a deal is good at a member, or at a voter, without word from further up. Twice that is less than the silence after
    /// which its shares go to others: whoever is cut off has stopped by then.
    pub fn assignment_validity(&self) -> Ns {
        self.failure_timeout() * 2 / 5
    }

    /// The place of a voter among the claimants of a duty: each has another first one, so that not all fall to one.
    fn order(&self, place: u32, duty: usize) -> u32 {
        let many = self.voters.len().max(1) as u32;
        (place + many - duty as u32 % many) % many
    }

    fn rules(&self) -> LeaseConfig {
        LeaseConfig {
            voter_count: self.voters.len() as u32,
            duration: self.lease_duration,
            round_timeout: self.round_timeout,
            claim_spacing: self.claim_spacing,
        }
    }
}

/// Why other settings are not taken while the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReconfigureError {
    #[error("{joined} voters more and {left} less at once: change one, and wait until all directors have it")]
    TooManyChanges { joined: usize, left: usize },
    #[error("more than the voters has changed, which takes a restart")]
    RestartRequired,
}

/// What the process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A call with these words to a voter; `answered` takes what comes back under its number, if anything does.
    Call {
        voter: u32,
        call_id: u64,
        messages: Vec<Message>,
    },
    /// A probe of a box, with the token that its gate is shown.
    CheckHealth {
        target: u64,
        token: FencingToken,
    },
    /// What a duty's owner has to tell all members: later than what was told before.
    Published(RoleId, Vec<u8>),
    /// What others found, to be told to the decision module.
    HealthObservations(Vec<HealthObservation>),
    /// From here on calls go by this order of the voters.
    VotersChanged(Vec<u32>),
    RoleAcquired(RoleId, FencingToken),
    RoleLost(RoleId, u64, LeaseEnd),
    /// What the register of an own duty surely holds.
    RegisterStored(RoleId, RegisterValue),
    Proposal(RoleId, Vec<u8>),
    /// A line for the log.
    Log(String),
}

#[derive(Clone, Debug)]
struct Dealing {
    token: FencingToken,
    number: u64,
    next: Ns,
    /// What each voter keeps: it is told whole once.
    kept: Vec<AssignmentVersion>,
}

/// Calls to a voter that are out, by number, with when they were made.
type Out = BTreeMap<u64, Ns>;

/// Past so many calls without an answer the oldest are forgotten.
const MOST_OUT: usize = 64;

#[derive(Debug)]
pub struct Coordinator {
    me: Member,
    terms: CoordinationConfig,
    station: Option<VoterNode>,
    seats: BTreeMap<RoleId, LeaseCandidate>,
    posts: BTreeMap<RoleId, RegisterWriter>,
    dealing: Option<Dealing>,
    roster: Assignment,
    holds_until: Ns,
    chores: HealthCheckSchedule,
    /// Numbers of facts that were heard, by voter.
    heard: Vec<u64>,
    findings: Vec<HealthObservation>,
    hot: Vec<(HotObject, f32)>,
    /// The latest term that a box's gate showed beyond the own deal's.
    behind: u64,
    out: Vec<Out>,
    next_call: u64,
    next_beat: Ns,
    next_learn: Ns,
    taken_in: bool,
    displaced: bool,
    leaving: bool,
    /// What was told last of each duty, by number, and what is in force of it here.
    told: BTreeMap<RoleId, u64>,
    in_force: BTreeMap<RoleId, (u64, u64)>,
    /// What the owner of a duty has to tell: by number.
    tells: BTreeMap<RoleId, (u64, Vec<u8>)>,
    status: BTreeMap<RoleId, String>,
    passed_over: u64,
    was_refused: u64,
    acts: VecDeque<Action>,
}

impl Coordinator {
    /// `chance`: any number, another at each member.
    pub fn new(me: Member, terms: CoordinationConfig, chance: u64, now: Ns) -> Coordinator {
        let place = terms.voters.iter().position(|v| *v == me.number).map(|p| p as u32);
        let seat = |(n, duty): (usize, &RoleId), place: u32| {
            (
                *duty,
                LeaseCandidate::new(
                    me,
                    terms.order(place, n),
                    terms.rules(),
                    chance.rotate_left(n as u32),
                    now,
                ),
            )
        };
        let seats = place
            .map(|place| terms.roles.iter().enumerate().map(|d| seat(d, place)).collect())
            .unwrap_or_default();
        Coordinator {
            me,
            station: place.map(|place| VoterNode::new(place, &terms, now)),
            seats,
            posts: BTreeMap::new(),
            dealing: None,
            roster: Assignment::default(),
            holds_until: 0,
            chores: HealthCheckSchedule::new(terms.check_interval, terms.check_timeout, chance),
            heard: vec![0; terms.voters.len()],
            findings: Vec::new(),
            hot: Vec::new(),
            behind: 0,
            out: vec![Out::new(); terms.voters.len()],
            next_call: 0,
            next_beat: now,
            next_learn: now,
            taken_in: false,
            displaced: false,
            leaving: false,
            told: BTreeMap::new(),
            in_force: BTreeMap::new(),
            tells: BTreeMap::new(),
            status: BTreeMap::new(),
            passed_over: 0,
            was_refused: 0,
            acts: VecDeque::new(),
            terms,
        }
    }

    pub fn me(&self) -> Member {
        self.me
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        self.acts.drain(..).collect()
    }

    /// When `step` is to be called next.
    pub fn next_wakeup(&self) -> Ns {
        let seats = self.seats.values().map(LeaseCandidate::next_wakeup);
        let posts = self.posts.values().map(RegisterWriter::next_wakeup);
        let dealing = self.dealing.as_ref().map(|d| d.next);
        let learn =
            self.station.as_ref().filter(|s| s.pending_queries().next().is_some()).map(|_| self.next_learn);
        let chores = Some(self.chores.next_wakeup()).filter(|_| self.holds_until > 0);
        let all = seats.chain(posts).chain(dealing).chain(learn).chain(chores);
        if self.displaced { Ns::MAX } else { all.fold(self.next_beat, Ns::min) }
    }

    /// The token of an own duty now; to be asked right before each effect.
    pub fn token(&self, now: Ns, duty: RoleId) -> Option<FencingToken> {
        self.seats.get(&duty)?.token(now)
    }

    /// The boxes as the list names them, those that are to be probed.
    pub fn update_targets(&mut self, now: Ns, boxes: &BTreeSet<u64>) {
        self.chores.update_targets(now, boxes);
        self.share(now);
    }

    fn share(&mut self, now: Ns) {
        self.chores.assign(&self.roster.members, self.me, now + 2 * self.terms.heartbeat_interval);
    }

    /// What time brings.
    pub fn step(&mut self, now: Ns) {
        if self.displaced {
            return;
        }
        let duties: Vec<RoleId> = self.seats.keys().copied().collect();
        for duty in duties {
            let acts = self.seats.get_mut(&duty).map(|s| s.step(now)).unwrap_or_default();
            self.seat(now, duty, acts);
        }
        let posts: Vec<RoleId> = self.posts.keys().copied().collect();
        for duty in posts {
            let acts = self.posts.get_mut(&duty).map(|p| p.step(now)).unwrap_or_default();
            self.post(now, duty, acts);
        }
        if now >= self.next_learn {
            self.next_learn = now + self.terms.round_timeout;
            let asks: Vec<(u32, Message)> = self.station.iter().flat_map(|s| s.pending_queries()).collect();
            asks.into_iter().for_each(|(voter, word)| self.say(now, voter, vec![word]));
        }
        self.deals(now);
        if now >= self.next_beat {
            self.beats(now);
        }
        self.chores(now);
    }

    fn beats(&mut self, now: Ns) {
        self.next_beat = now + self.terms.heartbeat_interval;
        if self.leaving {
            return;
        }
        let findings = std::mem::take(&mut self.findings);
        let hot = std::mem::take(&mut self.hot);
        let many = self.terms.voters.len() as u32;
        // Facts are asked of one voter, of the next one while that one does not answer.
        let own = self.me.number % many.max(1);
        let asked = (0..many).map(|n| (own + n) % many).find(|v| self.out[*v as usize].len() < 4);
        for voter in 0..many {
            let mut words = vec![Message::Heartbeat(self.roster.version)];
            if !findings.is_empty() {
                words.push(Message::ReportHealth(findings.clone()));
            }
            if !hot.is_empty() {
                words.push(Message::ReportHotObjects(hot.clone()));
            }
            if asked == Some(voter) {
                words.push(Message::FetchHealth(self.heard[voter as usize]));
            }
            for duty in self.terms.roles.iter().filter(|d| **d != ASSIGNMENT_ROLE) {
                let told = self.told.get(duty).copied().unwrap_or(0);
                words.push(Message::ReportAppliedVersion(
                    *duty,
                    told,
                    self.in_force.get(duty).copied().unwrap_or_default(),
                ));
            }
            for (duty, (number, bytes)) in &self.tells {
                if let Some(by) = self.token(now, *duty) {
                    words.push(Message::Publish {
                        role: *duty,
                        token: by,
                        number: *number,
                        bytes: bytes.clone(),
                    });
                }
            }
            if self.behind > self.roster.version.term {
                words.push(Message::ReportNewerTerm(ASSIGNMENT_ROLE, self.behind));
            }
            self.say(now, voter, words);
        }
        let behind = self.behind;
        if self.dealing.as_ref().is_some_and(|d| d.token.term < behind) {
            let acts =
                self.seats.get_mut(&ASSIGNMENT_ROLE).map(|s| s.on_rejected(now, behind)).unwrap_or_default();
            self.seat(now, ASSIGNMENT_ROLE, acts);
        }
    }

    /// Words to a voter: to the own one at once, to another by a call.
    fn say(&mut self, now: Ns, voter: u32, words: Vec<Message>) {
        if self.station.as_ref().is_some_and(|s| s.index() == voter) {
            let me = self.me;
            let said = self.station.as_mut().map(|s| s.on_messages(now, me, &words)).unwrap_or_default();
            return self.take(now, now, voter, said);
        }
        let number = self.next_call;
        self.next_call += 1;
        let Some(out) = self.out.get_mut(voter as usize) else { return };
        out.insert(number, now);
        if out.len() > MOST_OUT {
            out.pop_first();
        }
        self.acts.push_back(Action::Call { voter, call_id: number, messages: words });
    }

    /// What a voter answered to a call.
    pub fn on_replies(&mut self, now: Ns, voter: u32, number: u64, said: Vec<Reply>) {
        let Some(asked) = self.out.get_mut(voter as usize).and_then(|out| {
            // Those before it on the same way have no answer any more.
            let asked = out.remove(&number);
            out.retain(|n, _| *n > number);
            asked
        }) else {
            return;
        };
        self.take(now, asked, voter, said);
    }

    fn take(&mut self, now: Ns, asked: Ns, voter: u32, said: Vec<Reply>) {
        for answer in said {
            if self.displaced {
                return;
            }
            match answer {
                Reply::Lease(duty, reply) => {
                    let acts =
                        self.seats.get_mut(&duty).map(|s| s.on_reply(now, voter, reply)).unwrap_or_default();
                    self.seat(now, duty, acts);
                }
                Reply::Assigned(roster) => self.dealt(now, roster),
                Reply::AssignmentChanged { since, version: stamp, assigner: dealer, joined, left }
                    if since == self.roster.version =>
                {
                    let mut members: Vec<Member> =
                        self.roster.members.iter().copied().filter(|m| !left.contains(m)).collect();
                    members.extend(joined);
                    members.sort_unstable();
                    self.dealt(now, Assignment { version: stamp, assigner: dealer, members });
                }
                Reply::AssignmentStored(stamp) => {
                    if let Some(kept) = self.dealing.as_mut().and_then(|d| d.kept.get_mut(voter as usize)) {
                        *kept = stamp;
                    }
                }
                Reply::AssignmentConfirmed(stamp)
                    if stamp == self.roster.version && self.roster.members.contains(&self.me) =>
                {
                    self.holds_until = self.holds_until.max(asked + self.terms.assignment_validity());
                }
                Reply::Displaced(life) => self.displace(now, life),
                Reply::HealthObservations { up_to: upto, observations: findings } => {
                    if let Some(heard) = self.heard.get_mut(voter as usize) {
                        *heard = upto;
                    }
                    for f in &findings {
                        self.chores.on_observation(f.target, now.saturating_sub(f.age));
                    }
                    if !findings.is_empty() {
                        self.acts.push_back(Action::HealthObservations(findings));
                    }
                }
                Reply::StaleToken(duty, highest) => self.refused(now, duty, highest),
                Reply::RegisterRead { role: duty, token: to, value: entry, is_complete: whole } => {
                    let acts = self.posts.get_mut(&duty).map(|p| p.on_read(now, voter, to, entry, whole));
                    self.post(now, duty, acts.unwrap_or_default());
                }
                Reply::RegisterWritten { role: duty, token: by, sequence: count } => {
                    let acts = self.posts.get_mut(&duty).map(|p| p.on_written(now, voter, by, count));
                    self.post(now, duty, acts.unwrap_or_default());
                }
                Reply::Published(duty, number, bytes) => {
                    let told = self.told.entry(duty).or_default();
                    if number > *told {
                        *told = number;
                        self.acts.push_back(Action::Published(duty, bytes));
                    }
                }
                Reply::NewestToken(duty, newest, sure) => {
                    if let Some(station) = self.station.as_mut() {
                        station.on_newest_token(voter, duty, newest, sure);
                    }
                }
                // Of a deal that was overtaken: the next beat asks again.
                Reply::AssignmentChanged { .. } => {}
                Reply::AssignmentConfirmed(_)
                | Reply::Status(_)
                | Reply::HandOverStarted(..)
                | Reply::ProposalResult(..) => {}
            }
        }
    }

    /// An earlier life that was never taken in had its clock set back: it goes on as a later one. One that was taken in has been
    /// replaced: it does nothing more.
    fn displace(&mut self, now: Ns, life: u64) {
        if life < self.me.incarnation {
            return;
        }
        if !self.taken_in {
            self.note(format!("duty life={} raised past={life}", self.me.incarnation));
            self.me.incarnation = life + 1;
            let rules = self.terms.rules();
            let place = self.station.as_ref().map_or(0, VoterNode::index);
            for (n, duty) in self.terms.roles.iter().enumerate() {
                if let Some(seat) = self.seats.get_mut(duty) {
                    let chance = self.me.incarnation.rotate_left(n as u32);
                    *seat = LeaseCandidate::new(self.me, self.terms.order(place, n), rules, chance, now);
                }
            }
            return;
        }
        self.note(format!("duty displaced number={} by_life={life}", self.me.number));
        self.displaced = true;
        self.holds_until = 0;
        let owned: Vec<RoleId> =
            self.seats.iter().filter(|(_, s)| s.lease_until().is_some()).map(|(d, _)| *d).collect();
        for duty in owned {
            let term = self.seats.get(&duty).and_then(|s| s.token(now)).map_or(0, |t| t.term);
            self.ends(duty, term, LeaseEnd::Rejected);
        }
        self.seats.clear();
        self.posts.clear();
        self.dealing = None;
    }

    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    fn dealt(&mut self, now: Ns, roster: Assignment) {
        if roster.version <= self.roster.version {
            self.passed_over += u64::from(roster.version < self.roster.version);
            return;
        }
        let took = roster.members.contains(&self.me);
        if !took {
            self.holds_until = 0;
        }
        let (before, now_in) = (self.roster.members.len(), roster.members.len());
        if before != now_in || self.taken_in != took {
            self.note(format!(
                "duty roster term={} number={} dealer={} members={now_in} before={before}",
                roster.version.term, roster.version.number, roster.assigner.number
            ));
        }
        self.taken_in |= took;
        // What was its own and still is goes on; what was confirmed is the earlier deal's.
        self.roster = roster;
        self.holds_until = self.holds_until.min(now + self.terms.assignment_validity());
        self.share(now);
    }

    fn note(&mut self, line: String) {
        self.acts.push_back(Action::Log(line));
    }

    // ---- seats ----

    fn seat(&mut self, now: Ns, duty: RoleId, acts: Vec<CandidateAction>) {
        // What is for the own voter is heard at once, which may bring more.
        for act in acts {
            match act {
                CandidateAction::Send(voter, ask) => self.say(now, voter, vec![Message::Lease(duty, ask)]),
                CandidateAction::Acquired(token) => self.begins(now, duty, token),
                CandidateAction::Ended { term, reason: by } => self.ends(duty, term, by),
            }
        }
    }

    fn begins(&mut self, now: Ns, duty: RoleId, token: FencingToken) {
        self.note(format!("duty begins duty={duty} term={} at_ms={}", token.term, now / 1_000_000));
        self.acts.push_back(Action::RoleAcquired(duty, token));
        if duty == ASSIGNMENT_ROLE {
            if let Some(station) = self.station.as_mut() {
                station.adopt_assignment(&self.roster);
            }
            let kept = vec![AssignmentVersion::default(); self.terms.voters.len()];
            self.dealing = Some(Dealing { token, number: 0, next: now, kept });
        } else {
            let many = self.terms.voters.len() as u32;
            self.posts.insert(duty, RegisterWriter::new(token, many, self.terms.round_timeout, now));
        }
    }

    fn ends(&mut self, duty: RoleId, term: u64, by: LeaseEnd) {
        self.note(format!("duty ends duty={duty} term={term} by={by:?}"));
        self.acts.push_back(Action::RoleLost(duty, term, by));
        self.posts.remove(&duty);
        self.tells.remove(&duty);
        self.status.remove(&duty);
        if duty == ASSIGNMENT_ROLE {
            self.dealing = None;
        }
    }

    fn refused(&mut self, now: Ns, duty: RoleId, highest: FencingToken) {
        self.was_refused += 1;
        // A word of an earlier ownership that came late says nothing of this one.
        let own = self.seats.get(&duty).and_then(|s| s.token(now));
        if own.is_some_and(|own| highest > own) {
            let acts =
                self.seats.get_mut(&duty).map(|s| s.on_rejected(now, highest.term)).unwrap_or_default();
            self.seat(now, duty, acts);
        }
    }

    // ---- dealing ----

    fn deals(&mut self, now: Ns) {
        let Some(dealing) = self.dealing.as_mut().filter(|d| now >= d.next) else { return };
        dealing.next = now + self.terms.heartbeat_interval;
        let token = dealing.token;
        let Some(station) = self.station.as_ref() else { return };
        // Not past the lease; a gate would refuse it all the same.
        if self.seats.get(&ASSIGNMENT_ROLE).and_then(|s| s.token(now)) != Some(token) {
            return;
        }
        let living = station.alive_members(now);
        let before = station.assignment();
        let same = before.version.term == token.term && before.members == living;
        if !same {
            dealing.number += 1;
        }
        let stamp = AssignmentVersion { term: token.term, number: dealing.number };
        let roster = Assignment { version: stamp, assigner: token.holder, members: living };
        let kept = dealing.kept.clone();
        for (voter, kept) in kept.into_iter().enumerate() {
            let word = if kept == stamp {
                Message::ConfirmAssignment(token, stamp)
            } else {
                Message::Assign(roster.clone())
            };
            self.say(now, voter as u32, vec![word]);
        }
    }

    // ---- chores ----

    fn chores(&mut self, now: Ns) {
        for finding in self.chores.take_timed_out(now) {
            self.finds(now, finding);
        }
        if now >= self.holds_until || self.leaving {
            self.chores.postpone_due(now);
            return;
        }
        let token = self.roster.version.token(self.me);
        for chore in self.chores.take_due(now) {
            self.acts.push_back(Action::CheckHealth { target: chore, token });
        }
    }

    fn finds(&mut self, now: Ns, (chore, at, state): (u64, Ns, HealthState)) {
        let finding = HealthObservation { target: chore, age: now.saturating_sub(at), state };
        self.findings.push(finding);
        self.acts.push_back(Action::HealthObservations(vec![finding]));
    }

    /// A probe was answered. `old`: the box's gate was passed by this token, a newer one.
    pub fn on_check_result(
        &mut self,
        now: Ns,
        chore: u64,
        by: FencingToken,
        state: Result<HealthState, FencingToken>,
    ) {
        match state {
            Ok(state) => {
                if self.chores.on_answer(now, chore) {
                    self.finds(now, (chore, now, state));
                }
            }
            Err(newest) => {
                self.was_refused += 1;
                self.chores.on_rejected(chore);
                if AssignmentVersion::from_token(newest) > self.roster.version
                    && by == self.roster.version.token(self.me)
                {
                    // There is a newer deal than this one: nothing more by the old.
                    self.holds_until = 0;
                    self.behind = self.behind.max(AssignmentVersion::from_token(newest).term);
                }
            }
        }
    }

    // ---- calls of others ----

    /// What others, or an operator, say to this member; what it answers.
    pub fn on_request(&mut self, now: Ns, from: Member, words: &[Message]) -> Vec<Reply> {
        let mut said = Vec::new();
        for word in words {
            match word {
                Message::ShowStatus => said.push(Reply::Status(self.shown(now))),
                Message::HandOver(duty, to) => {
                    said.push(Reply::HandOverStarted(*duty, self.hand_over(now, *duty, *to)))
                }
                Message::Propose(duty, bytes) => {
                    let owned = self.token(now, *duty).is_some();
                    if owned {
                        self.acts.push_back(Action::Proposal(*duty, bytes.clone()));
                    }
                    let owner = self.shown(now).roles.iter().find(|h| h.role == *duty).and_then(|h| h.holder);
                    said.push(Reply::ProposalResult(
                        *duty,
                        match (owned, owner) {
                            (true, _) => Ok(()),
                            (false, Some((owner, _))) => {
                                Err(format!("member {} owns it: ask there", owner.number))
                            }
                            (false, None) => Err("nobody owns it now: ask again".into()),
                        },
                    ));
                }
                _ => {}
            }
        }
        let for_voter =
            |w: &&Message| !matches!(w, Message::ShowStatus | Message::HandOver(..) | Message::Propose(..));
        let words: Vec<Message> = words.iter().filter(for_voter).cloned().collect();
        if let Some(station) = self.station.as_mut().filter(|_| !self.displaced && !words.is_empty()) {
            said.extend(station.on_messages(now, from, &words));
        }
        for word in &words {
            // The other voters hear of it in about the same moment.
            if let Message::Lease(duty, LeaseRequest::Release { to: Some(to), .. }) = word
                && *to == self.me
                && let Some(seat) = self.seats.get_mut(duty)
            {
                seat.schedule_claim(now + self.terms.round_timeout / 5);
            }
        }
        said
    }

    fn shown(&self, now: Ns) -> MemberStatus {
        let held = |mut h: RoleStatus| {
            let seat = self.seats.get(&h.role);
            h.own_lease = seat.and_then(|s| Some((s.token(now)?, s.lease_until()?.saturating_sub(now))));
            h
        };
        MemberStatus {
            member: self.me,
            voter: self.station.as_ref().map(VoterNode::index),
            silent_for: self.station.as_ref().map_or(0, |s| s.silent_for(now)),
            roles: self.station.iter().flat_map(|s| s.role_status(now)).map(held).collect(),
            assignment: self.roster.clone(),
            assignment_valid_for: self.holds_until.saturating_sub(now),
            target_count: self.chores.own_count() as u32,
            checks_sent: self.chores.checks_sent(),
            rejected_here: self.station.as_ref().map_or(0, VoterNode::rejected_count),
            stale_assignments_ignored: self.passed_over,
            own_rejections: self.was_refused,
            role_status: self.status.iter().map(|(d, s)| (*d, s.clone())).collect(),
        }
    }

    /// Other voters by the settings, one more or one less: two majorities of sets that differ by one have a voter in common. The next
    /// change is to come when all members have this one; what gates refuse does not depend on it.
    pub fn reconfigure(&mut self, now: Ns, terms: CoordinationConfig) -> Result<(), ReconfigureError> {
        let (old, new) = (&self.terms.voters, &terms.voters);
        let left: Vec<u32> = old.iter().copied().filter(|v| !new.contains(v)).collect();
        let joined: Vec<u32> = new.iter().copied().filter(|v| !old.contains(v)).collect();
        if left.len() + joined.len() > 1 {
            return Err(ReconfigureError::TooManyChanges { joined: joined.len(), left: left.len() });
        }
        let with_old = CoordinationConfig { voters: self.terms.voters.clone(), ..terms.clone() };
        if with_old != self.terms {
            return Err(ReconfigureError::RestartRequired);
        }
        if left.is_empty() && joined.is_empty() && old == new {
            return Ok(());
        }
        self.note(format!("duty voters={} joined={joined:?} left={left:?}", terms.voters.len()));
        if left.contains(&self.me.number) {
            // It gives up what it owns by the voters that granted it.
            let duties: Vec<RoleId> = self.seats.keys().copied().collect();
            for duty in duties {
                self.hand_over(now, duty, None);
            }
            (self.seats, self.station) = (BTreeMap::new(), None);
        }
        self.acts.push_back(Action::VotersChanged(terms.voters.clone()));
        self.terms = terms;
        let many = self.terms.voters.len();
        self.heard = vec![0; many];
        self.out = vec![Out::new(); many];
        if let Some(dealing) = self.dealing.as_mut() {
            dealing.kept = vec![AssignmentVersion::default(); many];
        }
        if let Some(place) = self.terms.voters.iter().position(|v| *v == self.me.number) {
            let (place, rules) = (place as u32, self.terms.rules());
            match self.station.as_mut() {
                Some(station) => station.reconfigure(place, &self.terms),
                None => self.station = Some(VoterNode::new(place, &self.terms, now)),
            }
            for (n, duty) in self.terms.roles.iter().enumerate() {
                let order = self.terms.order(place, n);
                let chance = self.me.incarnation.rotate_left(n as u32);
                let seat = self.seats.entry(*duty);
                let seat = seat.or_insert_with(|| LeaseCandidate::new(self.me, order, rules, chance, now));
                seat.reconfigure(now, order, rules);
            }
        }
        let duties: Vec<RoleId> = self.posts.keys().copied().collect();
        for duty in duties {
            let acts =
                self.posts.get_mut(&duty).map(|p| p.on_voters_changed(now, many as u32)).unwrap_or_default();
            self.post(now, duty, acts);
        }
        self.next_beat = now;
        Ok(())
    }

    /// Gives a duty up to a voter, by its member's number, or to the next one; whether it was this member's to give.
    pub fn hand_over(&mut self, now: Ns, duty: RoleId, to: Option<u32>) -> bool {
        let next = || {
            let place = self.station.as_ref().map_or(0, |s| s.index() as usize);
            let many = self.terms.voters.len();
            (1..many)
                .map(|n| self.terms.voters[(place + n) % many])
                .find(|v| self.roster.members.iter().any(|m| m.number == *v))
        };
        let number = to.or_else(next);
        let to = self.roster.members.iter().copied().find(|m| Some(m.number) == number);
        let Some(seat) = self.seats.get_mut(&duty).filter(|s| s.token(now).is_some()) else { return false };
        let acts = seat.hand_over(now, to);
        self.seat(now, duty, acts);
        true
    }

    /// The process ends soon: duties go to others now, and so do the shares.
    pub fn leave(&mut self, now: Ns) {
        let duties: Vec<RoleId> = self.seats.keys().copied().collect();
        for duty in duties {
            self.hand_over(now, duty, None);
        }
        self.leaving = true;
        self.seats.clear();
        for voter in 0..self.terms.voters.len() as u32 {
            self.say(now, voter, vec![Message::Leave]);
        }
    }

    // ---- registers ----

    fn post(&mut self, now: Ns, duty: RoleId, acts: Vec<register::RegisterAction>) {
        let Some(token) = self.posts.get(&duty).map(RegisterWriter::token) else { return };
        for act in acts {
            let (to, word) = match act {
                register::RegisterAction::Read(to) => (to, Message::ReadRegister(duty, token)),
                register::RegisterAction::Write(to, entry) => (to, Message::WriteRegister(duty, entry)),
                register::RegisterAction::Stored(entry) => {
                    self.acts.push_back(Action::RegisterStored(duty, entry));
                    continue;
                }
            };
            for voter in (0..self.terms.voters.len() as u32).filter(|v| to >> v & 1 == 1) {
                self.say(now, voter, vec![word.clone()]);
            }
        }
    }

    /// What is in force here of what a duty's owner told, by number and digest.
    pub fn set_applied_version(&mut self, now: Ns, duty: RoleId, in_force: (u64, u64)) {
        self.in_force.insert(duty, in_force);
        // The owner waits for it.
        self.next_beat = self.next_beat.min(now);
    }

    /// Members and what they have in force of a duty, as this voter heard it.
    pub fn applied_versions(&self, duty: RoleId) -> Vec<(Member, u64, u64)> {
        self.station.iter().flat_map(|s| s.applied_versions(duty)).collect()
    }

    /// Who has chores by the deal in force here.
    pub fn assignment(&self) -> &Assignment {
        &self.roster
    }

    /// Has the voters pass this on to all members, as the owner of the duty.
    pub fn publish(&mut self, now: Ns, duty: RoleId, number: u64, bytes: Vec<u8>) {
        self.tells.insert(duty, (number, bytes));
        self.next_beat = self.next_beat.min(now);
    }

    /// What this member is asked for most, to be said with the next beat.
    pub fn report_hot_objects(&mut self, hot: Vec<(HotObject, f32)>) {
        self.hot = hot;
    }

    /// What the fleet asks for most, as this voter heard it.
    pub fn hottest_objects(&self) -> Vec<HotObject> {
        self.station.as_ref().map(VoterNode::hottest_objects).unwrap_or_default()
    }

    /// What operators are to see of an own duty.
    pub fn set_role_status(&mut self, duty: RoleId, line: String) {
        self.status.insert(duty, line);
    }

    /// Writes the register of an own duty whole; `Do::Holds` says when it is kept.
    pub fn write_register(&mut self, now: Ns, duty: RoleId, bytes: Vec<u8>) {
        let acts = self.posts.get_mut(&duty).map(|p| p.write(now, bytes)).unwrap_or_default();
        self.post(now, duty, acts);
    }
}
