//! All duties of one process: it tells the voters that it lives, keeps to the deal in force, claims and owns duties if it is a
//! voter itself, deals chores while it is the dealer, and probes the boxes that were dealt to it.
//!
//! Times and answers come in, `Do`s go out. What it says to its own voter goes the short way, by the same words.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use thiserror::Error;

use crate::register::{self, Post};
use crate::word::{Answer, DEALING, Duty, Entry, Finding, Held, Roster, Shown, Stamp, State, Word};
use crate::{Act, Ask, Chores, End, Member, Ns, Rules, Seat, Station, Token, Want};

/// The same at all members of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Members that vote, claim and own, by their numbers.
    pub voters: Vec<u32>,
    /// Dealing first.
    pub duties: Vec<Duty>,
    pub lease: Ns,
    /// A round of asking voters, and how far apart claimants hold their claims.
    pub round: Ns,
    pub apart: Ns,
    /// How often a member says that it lives.
    pub beat: Ns,
    /// How often each box is probed, by whomever.
    pub probe: Ns,
    /// A probe without an answer is over after this.
    pub patience: Ns,
}

/// Ten beats, two seconds at least, are a death (`Suspicion`).
const BEATS: Ns = 10;
const LEAST_SILENCE: Ns = 2_000_000_000;

impl Terms {
    /// The silence that is a death.
    pub fn silence(&self) -> Ns {
        (BEATS * self.beat).max(LEAST_SILENCE)
    }

    /// How long a deal is good at a member, or at a voter, without word from further up. Twice that is less than the silence after
    /// which its shares go to others: whoever is cut off has stopped by then.
    pub fn holds(&self) -> Ns {
        self.silence() * 2 / 5
    }

    /// The place of a voter among the claimants of a duty: each has another first one, so that not all fall to one.
    fn order(&self, place: u32, duty: usize) -> u32 {
        let many = self.voters.len().max(1) as u32;
        (place + many - duty as u32 % many) % many
    }

    fn rules(&self) -> Rules {
        Rules { voters: self.voters.len() as u32, lease: self.lease, round: self.round, apart: self.apart }
    }
}

/// Why other settings are not taken while the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unsettled {
    #[error("{joined} voters more and {left} less at once: change one, and wait until all directors have it")]
    Many { joined: usize, left: usize },
    #[error("more than the voters has changed, which takes a restart")]
    Else,
}

/// What the process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// A call with these words to a voter; `answered` takes what comes back under its number, if anything does.
    Call {
        voter: u32,
        number: u64,
        words: Vec<Word>,
    },
    /// A probe of a box, with the token that its gate is shown.
    Probe {
        chore: u64,
        token: Token,
    },
    /// What a duty's owner has to tell all members: later than what was told before.
    Told(Duty, Vec<u8>),
    /// What others found, to be told to the decision module.
    Facts(Vec<Finding>),
    /// From here on calls go by this order of the voters.
    Settled(Vec<u32>),
    Begins(Duty, Token),
    Ends(Duty, u64, End),
    /// What the register of an own duty surely holds.
    Holds(Duty, Entry),
    Wish(Duty, Vec<u8>),
    /// A line for the log.
    Note(String),
}

#[derive(Clone, Debug)]
struct Dealing {
    token: Token,
    number: u64,
    next: Ns,
    /// What each voter keeps: it is told whole once.
    kept: Vec<Stamp>,
}

/// Calls to a voter that are out, by number, with when they were made.
type Out = BTreeMap<u64, Ns>;

/// Past so many calls without an answer the oldest are forgotten.
const MOST_OUT: usize = 64;

#[derive(Debug)]
pub struct Office {
    me: Member,
    terms: Terms,
    station: Option<Station>,
    seats: BTreeMap<Duty, Seat>,
    posts: BTreeMap<Duty, Post>,
    dealing: Option<Dealing>,
    roster: Roster,
    holds_until: Ns,
    chores: Chores,
    /// Numbers of facts that were heard, by voter.
    heard: Vec<u64>,
    findings: Vec<Finding>,
    hot: Vec<(Want, f32)>,
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
    told: BTreeMap<Duty, u64>,
    in_force: BTreeMap<Duty, (u64, u64)>,
    /// What the owner of a duty has to tell: by number.
    tells: BTreeMap<Duty, (u64, Vec<u8>)>,
    status: BTreeMap<Duty, String>,
    passed_over: u64,
    was_refused: u64,
    acts: VecDeque<Do>,
}

impl Office {
    /// `chance`: any number, another at each member.
    pub fn new(me: Member, terms: Terms, chance: u64, now: Ns) -> Office {
        let place = terms.voters.iter().position(|v| *v == me.number).map(|p| p as u32);
        let seat = |(n, duty): (usize, &Duty), place: u32| {
            (*duty, Seat::new(me, terms.order(place, n), terms.rules(), chance.rotate_left(n as u32), now))
        };
        let seats = place
            .map(|place| terms.duties.iter().enumerate().map(|d| seat(d, place)).collect())
            .unwrap_or_default();
        Office {
            me,
            station: place.map(|place| Station::begin(place, &terms, now)),
            seats,
            posts: BTreeMap::new(),
            dealing: None,
            roster: Roster::default(),
            holds_until: 0,
            chores: Chores::new(terms.probe, terms.patience, chance),
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

    pub fn acts(&mut self) -> Vec<Do> {
        self.acts.drain(..).collect()
    }

    /// When `step` is to be called next.
    pub fn next(&self) -> Ns {
        let seats = self.seats.values().map(Seat::next);
        let posts = self.posts.values().map(Post::next);
        let dealing = self.dealing.as_ref().map(|d| d.next);
        let learn = self.station.as_ref().filter(|s| s.asks().next().is_some()).map(|_| self.next_learn);
        let chores = Some(self.chores.next()).filter(|_| self.holds_until > 0);
        let all = seats.chain(posts).chain(dealing).chain(learn).chain(chores);
        if self.displaced { Ns::MAX } else { all.fold(self.next_beat, Ns::min) }
    }

    /// The token of an own duty now; to be asked right before each effect.
    pub fn token(&self, now: Ns, duty: Duty) -> Option<Token> {
        self.seats.get(&duty)?.token(now)
    }

    /// The boxes as the list names them, those that are to be probed.
    pub fn listed(&mut self, now: Ns, boxes: &BTreeSet<u64>) {
        self.chores.listed(now, boxes);
        self.share(now);
    }

    fn share(&mut self, now: Ns) {
        self.chores.deal(&self.roster.members, self.me, now + 2 * self.terms.beat);
    }

    /// What time brings.
    pub fn step(&mut self, now: Ns) {
        if self.displaced {
            return;
        }
        let duties: Vec<Duty> = self.seats.keys().copied().collect();
        for duty in duties {
            let acts = self.seats.get_mut(&duty).map(|s| s.step(now)).unwrap_or_default();
            self.seat(now, duty, acts);
        }
        let posts: Vec<Duty> = self.posts.keys().copied().collect();
        for duty in posts {
            let acts = self.posts.get_mut(&duty).map(|p| p.step(now)).unwrap_or_default();
            self.post(now, duty, acts);
        }
        if now >= self.next_learn {
            self.next_learn = now + self.terms.round;
            let asks: Vec<(u32, Word)> = self.station.iter().flat_map(|s| s.asks()).collect();
            asks.into_iter().for_each(|(voter, word)| self.say(now, voter, vec![word]));
        }
        self.deals(now);
        if now >= self.next_beat {
            self.beats(now);
        }
        self.chores(now);
    }

    fn beats(&mut self, now: Ns) {
        self.next_beat = now + self.terms.beat;
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
            let mut words = vec![Word::Here(self.roster.stamp)];
            if !findings.is_empty() {
                words.push(Word::Found(findings.clone()));
            }
            if !hot.is_empty() {
                words.push(Word::Hot(hot.clone()));
            }
            if asked == Some(voter) {
                words.push(Word::Facts(self.heard[voter as usize]));
            }
            for duty in self.terms.duties.iter().filter(|d| **d != DEALING) {
                let told = self.told.get(duty).copied().unwrap_or(0);
                words.push(Word::Has(*duty, told, self.in_force.get(duty).copied().unwrap_or_default()));
            }
            for (duty, (number, bytes)) in &self.tells {
                if let Some(by) = self.token(now, *duty) {
                    words.push(Word::Tell { duty: *duty, by, number: *number, bytes: bytes.clone() });
                }
            }
            if self.behind > self.roster.stamp.term {
                words.push(Word::Behind(DEALING, self.behind));
            }
            self.say(now, voter, words);
        }
        let behind = self.behind;
        if self.dealing.as_ref().is_some_and(|d| d.token.term < behind) {
            let acts = self.seats.get_mut(&DEALING).map(|s| s.refused(now, behind)).unwrap_or_default();
            self.seat(now, DEALING, acts);
        }
    }

    /// Words to a voter: to the own one at once, to another by a call.
    fn say(&mut self, now: Ns, voter: u32, words: Vec<Word>) {
        if self.station.as_ref().is_some_and(|s| s.me() == voter) {
            let me = self.me;
            let said = self.station.as_mut().map(|s| s.hear(now, me, &words)).unwrap_or_default();
            return self.take(now, now, voter, said);
        }
        let number = self.next_call;
        self.next_call += 1;
        let Some(out) = self.out.get_mut(voter as usize) else { return };
        out.insert(number, now);
        if out.len() > MOST_OUT {
            out.pop_first();
        }
        self.acts.push_back(Do::Call { voter, number, words });
    }

    /// What a voter answered to a call.
    pub fn answered(&mut self, now: Ns, voter: u32, number: u64, said: Vec<Answer>) {
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

    fn take(&mut self, now: Ns, asked: Ns, voter: u32, said: Vec<Answer>) {
        for answer in said {
            if self.displaced {
                return;
            }
            match answer {
                Answer::Said(duty, reply) => {
                    let acts =
                        self.seats.get_mut(&duty).map(|s| s.hear(now, voter, reply)).unwrap_or_default();
                    self.seat(now, duty, acts);
                }
                Answer::Dealt(roster) => self.dealt(now, roster),
                Answer::Moved { since, stamp, dealer, joined, left } if since == self.roster.stamp => {
                    let mut members: Vec<Member> =
                        self.roster.members.iter().copied().filter(|m| !left.contains(m)).collect();
                    members.extend(joined);
                    members.sort_unstable();
                    self.dealt(now, Roster { stamp, dealer, members });
                }
                Answer::Keeps(stamp) => {
                    if let Some(kept) = self.dealing.as_mut().and_then(|d| d.kept.get_mut(voter as usize)) {
                        *kept = stamp;
                    }
                }
                Answer::Holds(stamp)
                    if stamp == self.roster.stamp && self.roster.members.contains(&self.me) =>
                {
                    self.holds_until = self.holds_until.max(asked + self.terms.holds());
                }
                Answer::Displaced(life) => self.displace(now, life),
                Answer::Facts { upto, findings } => {
                    if let Some(heard) = self.heard.get_mut(voter as usize) {
                        *heard = upto;
                    }
                    for f in &findings {
                        self.chores.found(f.chore, now.saturating_sub(f.age));
                    }
                    if !findings.is_empty() {
                        self.acts.push_back(Do::Facts(findings));
                    }
                }
                Answer::Old(duty, highest) => self.refused(now, duty, highest),
                Answer::Kept { duty, to, entry, whole } => {
                    let acts = self.posts.get_mut(&duty).map(|p| p.read(now, voter, to, entry, whole));
                    self.post(now, duty, acts.unwrap_or_default());
                }
                Answer::Wrote { duty, by, count } => {
                    let acts = self.posts.get_mut(&duty).map(|p| p.wrote(now, voter, by, count));
                    self.post(now, duty, acts.unwrap_or_default());
                }
                Answer::Told(duty, number, bytes) => {
                    let told = self.told.entry(duty).or_default();
                    if number > *told {
                        *told = number;
                        self.acts.push_back(Do::Told(duty, bytes));
                    }
                }
                Answer::Learnt(duty, newest, sure) => {
                    if let Some(station) = self.station.as_mut() {
                        station.learnt(voter, duty, newest, sure);
                    }
                }
                // Of a deal that was overtaken: the next beat asks again.
                Answer::Moved { .. } => {}
                Answer::Holds(_) | Answer::Shown(_) | Answer::HandsOver(..) | Answer::Wished(..) => {}
            }
        }
    }

    /// An earlier life that was never taken in had its clock set back: it goes on as a later one. One that was taken in has been
    /// replaced: it does nothing more.
    fn displace(&mut self, now: Ns, life: u64) {
        if life < self.me.life {
            return;
        }
        if !self.taken_in {
            self.note(format!("duty life={} raised past={life}", self.me.life));
            self.me.life = life + 1;
            let rules = self.terms.rules();
            let place = self.station.as_ref().map_or(0, Station::me);
            for (n, duty) in self.terms.duties.iter().enumerate() {
                if let Some(seat) = self.seats.get_mut(duty) {
                    let chance = self.me.life.rotate_left(n as u32);
                    *seat = Seat::new(self.me, self.terms.order(place, n), rules, chance, now);
                }
            }
            return;
        }
        self.note(format!("duty displaced number={} by_life={life}", self.me.number));
        self.displaced = true;
        self.holds_until = 0;
        let owned: Vec<Duty> =
            self.seats.iter().filter(|(_, s)| s.owns_until().is_some()).map(|(d, _)| *d).collect();
        for duty in owned {
            let term = self.seats.get(&duty).and_then(|s| s.token(now)).map_or(0, |t| t.term);
            self.ends(duty, term, End::Refused);
        }
        self.seats.clear();
        self.posts.clear();
        self.dealing = None;
    }

    pub fn displaced(&self) -> bool {
        self.displaced
    }

    fn dealt(&mut self, now: Ns, roster: Roster) {
        if roster.stamp <= self.roster.stamp {
            self.passed_over += u64::from(roster.stamp < self.roster.stamp);
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
                roster.stamp.term, roster.stamp.number, roster.dealer.number
            ));
        }
        self.taken_in |= took;
        // What was its own and still is goes on; what was confirmed is the earlier deal's.
        self.roster = roster;
        self.holds_until = self.holds_until.min(now + self.terms.holds());
        self.share(now);
    }

    fn note(&mut self, line: String) {
        self.acts.push_back(Do::Note(line));
    }

    // ---- seats ----

    fn seat(&mut self, now: Ns, duty: Duty, acts: Vec<Act>) {
        // What is for the own voter is heard at once, which may bring more.
        for act in acts {
            match act {
                Act::Tell(voter, ask) => self.say(now, voter, vec![Word::Ask(duty, ask)]),
                Act::Begins(token) => self.begins(now, duty, token),
                Act::Ends { term, by } => self.ends(duty, term, by),
            }
        }
    }

    fn begins(&mut self, now: Ns, duty: Duty, token: Token) {
        self.note(format!("duty begins duty={duty} term={} at_ms={}", token.term, now / 1_000_000));
        self.acts.push_back(Do::Begins(duty, token));
        if duty == DEALING {
            if let Some(station) = self.station.as_mut() {
                station.adopt(&self.roster);
            }
            let kept = vec![Stamp::default(); self.terms.voters.len()];
            self.dealing = Some(Dealing { token, number: 0, next: now, kept });
        } else {
            let many = self.terms.voters.len() as u32;
            self.posts.insert(duty, Post::new(token, many, self.terms.round, now));
        }
    }

    fn ends(&mut self, duty: Duty, term: u64, by: End) {
        self.note(format!("duty ends duty={duty} term={term} by={by:?}"));
        self.acts.push_back(Do::Ends(duty, term, by));
        self.posts.remove(&duty);
        self.tells.remove(&duty);
        self.status.remove(&duty);
        if duty == DEALING {
            self.dealing = None;
        }
    }

    fn refused(&mut self, now: Ns, duty: Duty, highest: Token) {
        self.was_refused += 1;
        // A word of an earlier ownership that came late says nothing of this one.
        let own = self.seats.get(&duty).and_then(|s| s.token(now));
        if own.is_some_and(|own| highest > own) {
            let acts = self.seats.get_mut(&duty).map(|s| s.refused(now, highest.term)).unwrap_or_default();
            self.seat(now, duty, acts);
        }
    }

    // ---- dealing ----

    fn deals(&mut self, now: Ns) {
        let Some(dealing) = self.dealing.as_mut().filter(|d| now >= d.next) else { return };
        dealing.next = now + self.terms.beat;
        let token = dealing.token;
        let Some(station) = self.station.as_ref() else { return };
        // Not past the lease; a gate would refuse it all the same.
        if self.seats.get(&DEALING).and_then(|s| s.token(now)) != Some(token) {
            return;
        }
        let living = station.living(now);
        let before = station.roster();
        let same = before.stamp.term == token.term && before.members == living;
        if !same {
            dealing.number += 1;
        }
        let stamp = Stamp { term: token.term, number: dealing.number };
        let roster = Roster { stamp, dealer: token.owner, members: living };
        let kept = dealing.kept.clone();
        for (voter, kept) in kept.into_iter().enumerate() {
            let word = if kept == stamp { Word::Deals(token, stamp) } else { Word::Deal(roster.clone()) };
            self.say(now, voter as u32, vec![word]);
        }
    }

    // ---- chores ----

    fn chores(&mut self, now: Ns) {
        for finding in self.chores.silent(now) {
            self.finds(now, finding);
        }
        if now >= self.holds_until || self.leaving {
            self.chores.rest(now);
            return;
        }
        let token = self.roster.stamp.token(self.me);
        for chore in self.chores.due(now) {
            self.acts.push_back(Do::Probe { chore, token });
        }
    }

    fn finds(&mut self, now: Ns, (chore, at, state): (u64, Ns, State)) {
        let finding = Finding { chore, age: now.saturating_sub(at), state };
        self.findings.push(finding);
        self.acts.push_back(Do::Facts(vec![finding]));
    }

    /// A probe was answered. `old`: the box's gate was passed by this token, a newer one.
    pub fn probed(&mut self, now: Ns, chore: u64, by: Token, state: Result<State, Token>) {
        match state {
            Ok(state) => {
                if self.chores.answered(now, chore) {
                    self.finds(now, (chore, now, state));
                }
            }
            Err(newest) => {
                self.was_refused += 1;
                self.chores.gone(chore);
                if Stamp::of(newest) > self.roster.stamp && by == self.roster.stamp.token(self.me) {
                    // There is a newer deal than this one: nothing more by the old.
                    self.holds_until = 0;
                    self.behind = self.behind.max(Stamp::of(newest).term);
                }
            }
        }
    }

    // ---- calls of others ----

    /// What others, or an operator, say to this member; what it answers.
    pub fn called(&mut self, now: Ns, from: Member, words: &[Word]) -> Vec<Answer> {
        let mut said = Vec::new();
        for word in words {
            match word {
                Word::Show => said.push(Answer::Shown(self.shown(now))),
                Word::HandOver(duty, to) => {
                    said.push(Answer::HandsOver(*duty, self.hand_over(now, *duty, *to)))
                }
                Word::Wish(duty, bytes) => {
                    let owned = self.token(now, *duty).is_some();
                    if owned {
                        self.acts.push_back(Do::Wish(*duty, bytes.clone()));
                    }
                    let owner = self.shown(now).duties.iter().find(|h| h.duty == *duty).and_then(|h| h.owner);
                    said.push(Answer::Wished(
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
        let for_voter = |w: &&Word| !matches!(w, Word::Show | Word::HandOver(..) | Word::Wish(..));
        let words: Vec<Word> = words.iter().filter(for_voter).cloned().collect();
        if let Some(station) = self.station.as_mut().filter(|_| !self.displaced && !words.is_empty()) {
            said.extend(station.hear(now, from, &words));
        }
        for word in &words {
            // The other voters hear of it in about the same moment.
            if let Word::Ask(duty, Ask::Release { to: Some(to), .. }) = word
                && *to == self.me
                && let Some(seat) = self.seats.get_mut(duty)
            {
                seat.called(now + self.terms.round / 5);
            }
        }
        said
    }

    fn shown(&self, now: Ns) -> Shown {
        let held = |mut h: Held| {
            let seat = self.seats.get(&h.duty);
            h.own = seat.and_then(|s| Some((s.token(now)?, s.owns_until()?.saturating_sub(now))));
            h
        };
        Shown {
            me: self.me,
            voter: self.station.as_ref().map(Station::me),
            silent: self.station.as_ref().map_or(0, |s| s.silent(now)),
            duties: self.station.iter().flat_map(|s| s.held(now)).map(held).collect(),
            roster: self.roster.clone(),
            holds: self.holds_until.saturating_sub(now),
            chores: self.chores.own() as u32,
            probes: self.chores.made(),
            refused: self.station.as_ref().map_or(0, Station::refused),
            passed_over: self.passed_over,
            was_refused: self.was_refused,
            status: self.status.iter().map(|(d, s)| (*d, s.clone())).collect(),
        }
    }

    /// Other voters by the settings, one more or one less: two majorities of sets that differ by one have a voter in common. The next
    /// change is to come when all members have this one; what gates refuse does not depend on it.
    pub fn settle(&mut self, now: Ns, terms: Terms) -> Result<(), Unsettled> {
        let (old, new) = (&self.terms.voters, &terms.voters);
        let left: Vec<u32> = old.iter().copied().filter(|v| !new.contains(v)).collect();
        let joined: Vec<u32> = new.iter().copied().filter(|v| !old.contains(v)).collect();
        if left.len() + joined.len() > 1 {
            return Err(Unsettled::Many { joined: joined.len(), left: left.len() });
        }
        let with_old = Terms { voters: self.terms.voters.clone(), ..terms.clone() };
        if with_old != self.terms {
            return Err(Unsettled::Else);
        }
        if left.is_empty() && joined.is_empty() && old == new {
            return Ok(());
        }
        self.note(format!("duty voters={} joined={joined:?} left={left:?}", terms.voters.len()));
        if left.contains(&self.me.number) {
            // It gives up what it owns by the voters that granted it.
            let duties: Vec<Duty> = self.seats.keys().copied().collect();
            for duty in duties {
                self.hand_over(now, duty, None);
            }
            (self.seats, self.station) = (BTreeMap::new(), None);
        }
        self.acts.push_back(Do::Settled(terms.voters.clone()));
        self.terms = terms;
        let many = self.terms.voters.len();
        self.heard = vec![0; many];
        self.out = vec![Out::new(); many];
        if let Some(dealing) = self.dealing.as_mut() {
            dealing.kept = vec![Stamp::default(); many];
        }
        if let Some(place) = self.terms.voters.iter().position(|v| *v == self.me.number) {
            let (place, rules) = (place as u32, self.terms.rules());
            match self.station.as_mut() {
                Some(station) => station.settles(place, &self.terms),
                None => self.station = Some(Station::begin(place, &self.terms, now)),
            }
            for (n, duty) in self.terms.duties.iter().enumerate() {
                let order = self.terms.order(place, n);
                let chance = self.me.life.rotate_left(n as u32);
                let seat = self.seats.entry(*duty);
                let seat = seat.or_insert_with(|| Seat::new(self.me, order, rules, chance, now));
                seat.settles(now, order, rules);
            }
        }
        let duties: Vec<Duty> = self.posts.keys().copied().collect();
        for duty in duties {
            let acts = self.posts.get_mut(&duty).map(|p| p.settles(now, many as u32)).unwrap_or_default();
            self.post(now, duty, acts);
        }
        self.next_beat = now;
        Ok(())
    }

    /// Gives a duty up to a voter, by its member's number, or to the next one; whether it was this member's to give.
    pub fn hand_over(&mut self, now: Ns, duty: Duty, to: Option<u32>) -> bool {
        let next = || {
            let place = self.station.as_ref().map_or(0, |s| s.me() as usize);
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
        let duties: Vec<Duty> = self.seats.keys().copied().collect();
        for duty in duties {
            self.hand_over(now, duty, None);
        }
        self.leaving = true;
        self.seats.clear();
        for voter in 0..self.terms.voters.len() as u32 {
            self.say(now, voter, vec![Word::Leaves]);
        }
    }

    // ---- registers ----

    fn post(&mut self, now: Ns, duty: Duty, acts: Vec<register::Do>) {
        let Some(token) = self.posts.get(&duty).map(Post::token) else { return };
        for act in acts {
            let (to, word) = match act {
                register::Do::Read(to) => (to, Word::Read(duty, token)),
                register::Do::Write(to, entry) => (to, Word::Write(duty, entry)),
                register::Do::Holds(entry) => {
                    self.acts.push_back(Do::Holds(duty, entry));
                    continue;
                }
            };
            for voter in (0..self.terms.voters.len() as u32).filter(|v| to >> v & 1 == 1) {
                self.say(now, voter, vec![word.clone()]);
            }
        }
    }

    /// What is in force here of what a duty's owner told, by number and digest.
    pub fn has(&mut self, now: Ns, duty: Duty, in_force: (u64, u64)) {
        self.in_force.insert(duty, in_force);
        // The owner waits for it.
        self.next_beat = self.next_beat.min(now);
    }

    /// Members and what they have in force of a duty, as this voter heard it.
    pub fn members_have(&self, duty: Duty) -> Vec<(Member, u64, u64)> {
        self.station.iter().flat_map(|s| s.in_force(duty)).collect()
    }

    /// Who has chores by the deal in force here.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Has the voters pass this on to all members, as the owner of the duty.
    pub fn tell(&mut self, now: Ns, duty: Duty, number: u64, bytes: Vec<u8>) {
        self.tells.insert(duty, (number, bytes));
        self.next_beat = self.next_beat.min(now);
    }

    /// What this member is asked for most, to be said with the next beat.
    pub fn hot(&mut self, hot: Vec<(Want, f32)>) {
        self.hot = hot;
    }

    /// What the fleet asks for most, as this voter heard it.
    pub fn hottest(&self) -> Vec<Want> {
        self.station.as_ref().map(Station::hottest).unwrap_or_default()
    }

    /// What operators are to see of an own duty.
    pub fn status(&mut self, duty: Duty, line: String) {
        self.status.insert(duty, line);
    }

    /// Writes the register of an own duty whole; `Do::Holds` says when it is kept.
    pub fn write(&mut self, now: Ns, duty: Duty, bytes: Vec<u8>) {
        let acts = self.posts.get_mut(&duty).map(|p| p.write(now, bytes)).unwrap_or_default();
        self.post(now, duty, acts);
    }
}
