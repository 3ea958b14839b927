//! The group of voters: one of them at a time takes events in and numbers them; what a majority keeps is
//! told.
//!
//! Owners come and go by `sablecross_coordination`; the log is kept as Raft keeps its own (Ongaro, Ousterhout 2014),
//! with tokens for terms: a new owner shuts out older ones at a majority, goes on from the furthest log
//! there, and tells nothing before an entry of its own is kept by a majority.
//!
//! Voters have no disk. One that begins anew has forgotten what it promised and kept: it answers neither
//! reads nor keeps until a majority of others have said what they hold. What it said in its earlier life must
//! not be counted beside what others say after they told it: all answers carry the latest lives that the
//! speaker knows, and one of an earlier life drops out (crash vectors: Michael, Ports, Sharma, Szekeres
//! 2017). When no majority remembers, the log begins anew past every number that may have been told (`era`).

use std::collections::{BTreeMap, VecDeque};

use sablecross_coordination::{
    CandidateAction, FencingGuard, FencingToken, LeaseCandidate, LeaseConfig as SeatRules,
    LeaseReply as Said, LeaseRequest, Member, Ns, Voter,
};
use serde::{Deserialize, Serialize};

use crate::event::{Event, EventError, EventKind, MAX_EVENT_NUMBER};
use crate::log::{LONGEST_MARK, Log, LogEntry, Snapshot};
use crate::relay::{Action, PublishError, RelayStatus};
use crate::upstream::Staleness;

/// The same at all voters.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupConfig {
    /// The names of the voters' relays, by their places.
    pub voter_names: Vec<String>,
    pub lease: SeatRules,
    /// A call to a voter without an answer is over after this.
    pub call_timeout: Ns,
    /// The owner speaks to each voter at least this often.
    pub heartbeat_interval: Ns,
    /// And at most so often, so that events gather: 0 is at once.
    pub batch_interval: Ns,
    /// Most bytes of entries in one call.
    pub max_call_bytes: usize,
    /// Voters that all, or most, began anew go on with what is left once all have spoken, or a majority after
    /// this time.
    pub reset_timeout: Ns,
    /// A purge may be made so far ahead of the owner's clock.
    pub max_purge_lead: Ns,
    pub safety_checks: SafetyChecks,
}

/// What may be left out, to see that the trials find it. All true, but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// Voters refuse older tokens.
    pub fencing: bool,
    /// Entries are kept only behind the one that the owner had before them.
    pub previous_entry: bool,
    /// Only what a majority keeps is told.
    pub quorum: bool,
    /// A voter that began anew asks others before it speaks.
    pub recovery: bool,
    /// Answers of a voter's earlier life do not count beside those that know of a later one.
    pub incarnations: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { fencing: true, previous_entry: true, quorum: true, recovery: true, incarnations: true }
    }
}

/// What a voter holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaState {
    /// When the log began anew, Unix ms: what was numbered before that is another log.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Its last entry, with its owner's token, and the last that may be told.
    #[serde(rename = "last")]
    pub last_entry: (u64, FencingToken),
    pub committed: u64,
    /// Where what was asked for begins before the entries that are left.
    #[serde(rename = "base")]
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<LogEntry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Of the duty of feeding.
    #[serde(rename = "Duty")]
    Lease(LeaseRequest),
    /// By a voter that begins anew: what do you hold?
    #[serde(rename = "Learn")]
    Recover,
    /// By a new owner: older ones are shut out from here on; what do you hold after this number of this era?
    Read {
        #[serde(rename = "by")]
        token: FencingToken,
        #[serde(rename = "era")]
        epoch: u64,
        #[serde(rename = "after")]
        after_number: u64,
    },
    /// By the owner: keep these behind the previous one, and tell up to `committed`.
    #[serde(rename = "Keep")]
    Append {
        #[serde(rename = "by")]
        token: FencingToken,
        #[serde(rename = "era")]
        epoch: u64,
        #[serde(rename = "previous")]
        previous_entry: (u64, FencingToken),
        #[serde(rename = "base")]
        snapshot: Option<Snapshot>,
        entries: Vec<LogEntry>,
        committed: u64,
    },
}

/// The body of a call between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// The place of the caller, and the latest lives of all that it knows of.
    #[serde(rename = "from")]
    pub sender: u32,
    #[serde(rename = "lives")]
    pub incarnations: Vec<u64>,
    pub call: PeerCall,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    #[serde(rename = "lives")]
    pub incarnations: Vec<u64>,
    pub answer: PeerAnswer,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// It says nothing yet.
    #[default]
    #[serde(rename = "Nothing")]
    NotReady,
    #[serde(rename = "Duty")]
    Lease(Said),
    /// To one that begins anew: the newest token met, and whether all that was kept is known here.
    #[serde(rename = "Learnt")]
    Recovered {
        #[serde(rename = "promised")]
        highest_token: FencingToken,
        #[serde(rename = "sure")]
        is_complete: bool,
        #[serde(rename = "held")]
        state: ReplicaState,
    },
    /// To a new owner.
    #[serde(rename = "Held")]
    State {
        #[serde(rename = "by")]
        token: FencingToken,
        #[serde(rename = "sure")]
        is_complete: bool,
        #[serde(rename = "held")]
        state: ReplicaState,
    },
    /// Kept up to this number; all that count here have the floor in force.
    #[serde(rename = "Kept")]
    Appended {
        #[serde(rename = "by")]
        token: FencingToken,
        #[serde(rename = "era")]
        epoch: u64,
        #[serde(rename = "upto")]
        last_number: u64,
        #[serde(rename = "floor")]
        applied_number: u64,
    },
    /// It began anew when too few remembered, and keeps nothing but a log that begins anew as well.
    #[serde(rename = "Unsure")]
    NeedsReset {
        #[serde(rename = "by")]
        token: FencingToken,
    },
    /// What is before that is not as the owner has it: what it has in common ends here at the latest.
    #[serde(rename = "Has")]
    Mismatch {
        #[serde(rename = "by")]
        token: FencingToken,
        #[serde(rename = "era")]
        epoch: u64,
        committed: u64,
    },
    /// A newer owner was met.
    #[serde(rename = "Old")]
    StaleToken(FencingToken),
}

/// What a voter that begins anew has heard: of which life, the newest token, whether that one is sure, what
/// it holds.
type Heard = BTreeMap<u32, (u64, FencingToken, bool, ReplicaState)>;

/// One that is unsure asks so much more seldom: answers are whole logs.
const UNSURE: Ns = 8;

#[derive(Debug)]
struct Learning {
    since: Ns,
    next: Ns,
    heard: Heard,
    /// Too few remembered: it speaks, says so, and goes on asking.
    unsure: bool,
}

/// How far a voter is, as the owner knows it.
#[derive(Clone, Debug, Default)]
struct Progress {
    life: u64,
    matched: Option<u64>,
    /// The next entry for it; none: the base first.
    next: Option<u64>,
    told: u64,
    out: Option<u64>,
    spoken: Option<Ns>,
    unsure: bool,
}

#[derive(Debug)]
enum Phase {
    Reads { since: Ns, next: Ns, heard: Heard },
    Feeds,
}

/// The owner's part.
#[derive(Debug)]
struct Post {
    token: FencingToken,
    phase: Phase,
    progress: Vec<Progress>,
    /// Publishers that wait for a number to be kept.
    tickets: BTreeMap<u64, Vec<u64>>,
    begun: bool,
}

#[derive(Debug)]
struct Uncommitted {
    by: FencingToken,
    event: Event,
    mark: Option<String>,
}

#[derive(Debug)]
pub struct ReplicaGroup {
    place: u32,
    rules: GroupConfig,
    voter: Voter,
    seat: LeaseCandidate,
    gate: FencingGuard,
    /// What may be told.
    log: Log,
    /// What is kept after that, and may be cut still.
    tail: VecDeque<Uncommitted>,
    tail_bytes: usize,
    era: u64,
    /// By whom this era was confirmed last.
    era_by: FencingToken,
    sure: bool,
    learning: Option<Learning>,
    /// The latest life of each that is known.
    lives: Vec<u64>,
    fresh: Staleness,
    post: Option<Post>,
    next_call: u64,
    /// The highest number that a reader here called with.
    highest: u64,
    acts: Vec<Action>,
}

impl ReplicaGroup {
    pub fn new(me: Member, place: u32, rules: GroupConfig, log: Log, chance: u64, now: Ns) -> ReplicaGroup {
        let voters = rules.voter_names.len();
        let mut lives = vec![0; voters];
        if let Some(own) = lives.get_mut(place as usize) {
            *own = me.incarnation;
        }
        let alone = voters <= 1;
        let learns = !alone && rules.safety_checks.recovery;
        let learning = learns.then(|| Learning { since: now, next: now, heard: Heard::new(), unsure: false });
        ReplicaGroup {
            place,
            voter: Voter::without_memory(now, rules.lease.duration),
            seat: LeaseCandidate::new(me, place, rules.lease, chance, now),
            gate: FencingGuard::default(),
            log,
            tail: VecDeque::new(),
            tail_bytes: 0,
            era: 0,
            era_by: FencingToken::default(),
            sure: !alone && !rules.safety_checks.recovery,
            learning,
            lives,
            fresh: Staleness::unknown(),
            post: None,
            next_call: 0,
            highest: 0,
            acts: Vec::new(),
            rules,
        }
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// As `Log::after`, of what may be told.
    pub fn encode_after(&mut self, cursor: u64, most: usize, out: &mut Vec<u8>) -> u64 {
        if self.log.last_number() <= self.log.snapshot().epoch_start {
            cursor
        } else {
            self.log.encode_after(cursor, most, out)
        }
    }

    /// A reader called with this number.
    pub fn observe_number(&mut self, number: u64) {
        if number < MAX_EVENT_NUMBER {
            self.highest = self.highest.max(number);
        }
    }

    /// The token under which it is the source now.
    pub fn leader_token(&self, now: Ns) -> Option<FencingToken> {
        let feeds = self.post.as_ref().is_some_and(|p| matches!(p.phase, Phase::Feeds));
        self.seat.token(now).filter(|_| feeds)
    }

    /// The same, or who is the source. One that owns the duty and reads still is none either.
    pub fn require_leader(&self, now: Ns) -> Result<FencingToken, PublishError> {
        let other = self.leader(now).filter(|_| self.seat.token(now).is_none());
        self.leader_token(now).ok_or(PublishError::NotLeader(other))
    }

    /// The names of all voters.
    pub fn voter_names(&self) -> &[String] {
        &self.rules.voter_names
    }

    /// The owner that was heard of last.
    pub fn leader(&self, now: Ns) -> Option<Member> {
        let own = self.seat.token(now).map(|t| t.holder);
        own.or_else(|| self.voter.holder(now).map(|holder| holder.member))
    }

    pub fn staleness(&self, now: Ns) -> Staleness {
        let mut fresh = self.fresh;
        if let Some(token) = self.leader_token(now) {
            fresh.record(now, 0, Some(token));
        }
        fresh
    }

    /// The last number that is kept here, told or not, and the token of its owner.
    fn last(&self) -> (u64, FencingToken) {
        let by = self.tail.back().map_or(self.log.last_token(), |u| u.by);
        (self.log.last_number() + self.tail.len() as u64, by)
    }

    /// It has not heard enough yet to speak of the log.
    fn silent(&self) -> bool {
        self.learning.as_ref().is_some_and(|l| !l.unsure)
    }

    fn voters(&self) -> u32 {
        self.rules.voter_names.len() as u32
    }

    fn others(&self) -> impl Iterator<Item = u32> + use<> {
        let me = self.place;
        (0..self.voters()).filter(move |v| *v != me)
    }

    fn majority(&self, of: usize) -> bool {
        of * 2 > self.rules.voter_names.len()
    }

    fn life(&self, voter: u32) -> u64 {
        self.lives.get(voter as usize).copied().unwrap_or(0)
    }

    /// Whether what was said in this life counts beside all else that is known.
    fn counts(&self, voter: u32, life: u64) -> bool {
        !self.rules.safety_checks.incarnations || life == self.life(voter)
    }

    fn note(&mut self, line: String) {
        self.acts.push(Action::Log(line));
    }

    fn call(&mut self, voter: u32, call: PeerCall) -> u64 {
        self.next_call += 1;
        let request = PeerRequest { sender: self.place, incarnations: self.lives.clone(), call };
        self.acts.push(Action::Call { voter, call_id: self.next_call, request });
        self.next_call
    }

    /// Lives that another knows of. Its own must be the latest: one whose clock was set back counts on past
    /// what is known.
    fn lives(&mut self, now: Ns, lives: &[u64]) {
        let me = self.place as usize;
        for (voter, life) in lives.iter().enumerate().take(self.lives.len()) {
            if voter != me {
                self.lives[voter] = self.lives[voter].max(*life);
            } else if *life > self.lives[me] {
                self.lives[me] = life.saturating_add(1);
                if let Some(l) = &mut self.learning {
                    (l.next, l.heard) = (now, Heard::new());
                }
            }
        }
    }

    // Time.

    pub fn next_deadline(&self) -> Ns {
        let learning = self.learning.as_ref().map_or(Ns::MAX, |l| l.next);
        let post = match &self.post {
            None => Ns::MAX,
            Some(Post { phase: Phase::Reads { next, .. }, .. }) => *next,
            Some(p) => self.others().map(|v| self.due(&p.progress[v as usize])).min().unwrap_or(Ns::MAX),
        };
        self.seat.next_wakeup().min(learning).min(post)
    }

    /// When the owner speaks to a voter next.
    fn due(&self, p: &Progress) -> Ns {
        let Some(spoken) = p.spoken else { return 0 };
        let news = p.next.is_none_or(|n| n <= self.last().0) || p.told < self.log.last_number();
        match (p.out.is_some(), news) {
            (true, _) => spoken + self.rules.call_timeout,
            (false, true) => spoken + self.rules.batch_interval,
            (false, false) => spoken + self.rules.heartbeat_interval,
        }
    }

    pub fn step(&mut self, now: Ns, unix: u64) -> Vec<Action> {
        let acts = self.seat.step(now);
        self.seated(now, acts);
        self.learn(now, unix);
        self.read(now, unix);
        self.feed(now);
        self.log.compact(unix);
        std::mem::take(&mut self.acts)
    }

    fn seated(&mut self, now: Ns, acts: Vec<CandidateAction>) {
        let mut acts = VecDeque::from(acts);
        while let Some(act) = acts.pop_front() {
            match act {
                CandidateAction::Send(voter, ask) if voter == self.place => {
                    if let Some(said) = self.voter.on_request(now, ask) {
                        acts.extend(self.seat.on_reply(now, voter, said));
                    }
                }
                CandidateAction::Send(voter, ask) => {
                    self.call(voter, PeerCall::Lease(ask));
                }
                CandidateAction::Acquired(token) => {
                    if let Err(old) = self.pass(token) {
                        acts.extend(self.seat.on_rejected(now, old.term));
                        continue;
                    }
                    let phase = Phase::Reads { since: now, next: now, heard: Heard::new() };
                    let progress = vec![Progress::default(); self.rules.voter_names.len()];
                    let tickets = BTreeMap::new();
                    self.post = Some(Post { token, phase, progress, tickets, begun: false });
                }
                CandidateAction::Ended { .. } => self.ends(),
            }
        }
    }

    fn ends(&mut self) {
        let Some(post) = self.post.take() else { return };
        for ticket in post.tickets.into_values().flatten() {
            self.acts.push(Action::Published { ticket, result: Err(PublishError::LeadershipLost) });
        }
        if post.begun {
            self.acts.push(Action::LeadershipLost(post.token));
        }
    }

    /// Another owner is newer.
    fn refused(&mut self, now: Ns, newer: FencingToken) {
        self.voter.observe_term(newer.term);
        let acts = self.seat.on_rejected(now, newer.term);
        self.seated(now, acts);
        self.ends();
    }

    fn pass(&mut self, token: FencingToken) -> Result<(), FencingToken> {
        let passed = self.gate.admit(token).map_err(|old| old.highest);
        self.voter.observe_term(self.gate.highest().term);
        if self.rules.safety_checks.fencing { passed } else { Ok(()) }
    }

    // Beginning anew.

    fn learn(&mut self, now: Ns, unix: u64) {
        let patience = self.rules.call_timeout;
        let Some(l) = self.learning.as_mut().filter(|l| now >= l.next) else { return };
        l.next = now + if l.unsure { UNSURE * patience } else { patience };
        for voter in self.others() {
            self.call(voter, PeerCall::Recover);
        }
        self.learnt(now, unix);
    }

    /// Whether it has heard enough: a majority of others that are sure, or else what there is.
    fn learnt(&mut self, now: Ns, unix: u64) {
        let Some(l) = &self.learning else { return };
        let heard: Vec<_> = l.heard.iter().filter(|(v, (life, ..))| self.counts(**v, *life)).collect();
        let sure = self.majority(heard.iter().filter(|(_, h)| h.2).count());
        let all = heard.len() + 1 == self.rules.voter_names.len();
        let waited = now.saturating_sub(l.since) >= self.rules.reset_timeout;
        let some = !l.unsure && (all || waited && self.majority(heard.len() + 1));
        if !sure && !some {
            return;
        }
        let promised = heard.iter().map(|(_, h)| h.1).max().unwrap_or_default();
        let heard: Vec<ReplicaState> = heard.into_iter().map(|(_, h)| h.3.clone()).collect();
        self.sure = sure;
        match &mut self.learning {
            Some(l) if !sure => l.unsure = true,
            _ => self.learning = None,
        }
        if promised > self.gate.highest() {
            self.gate = FencingGuard::with_highest(promised);
            self.voter.observe_term(promised.term);
        }
        self.adopt(unix, heard);
        let (kept, told) = (self.last().0, self.log.last_number());
        let how = if sure { "from most" } else { "from what is left, as too few remember" };
        self.note(format!("begun anew: learnt {how}: {told} told, {kept} kept"));
    }

    /// The furthest of these logs and its own.
    fn adopt(&mut self, unix: u64, all: Vec<ReplicaState>) {
        let rank = |h: &ReplicaState| (h.epoch, h.last_entry.1, h.last_entry.0);
        let own = (self.era, self.last().1, self.last().0);
        let best = all.iter().max_by_key(|h| rank(h)).cloned().filter(|h| rank(h) > own);
        let era = best.as_ref().map_or(self.era, |b| b.epoch);
        let committed = all.iter().filter(|h| h.epoch == era).map(|h| h.committed).max().unwrap_or(0);
        if let Some(held) = best {
            if let Some(base) =
                held.snapshot.filter(|b| held.epoch != self.era || b.number > self.log.last_number())
            {
                self.log = Log::from_snapshot(self.log.retention(), base);
            }
            if held.epoch != self.era {
                // Calls of the same owner from before that are late.
                (self.era, self.era_by) = (held.epoch, self.era_by.max(self.gate.highest()));
            }
            self.cut(0);
            let told = self.log.last_number();
            for entry in held.entries.iter().filter(|e| e.number > told) {
                if let Err(e) = self.append(entry) {
                    self.note(format!("entry {} that was read is refused: {e}", entry.number));
                    break;
                }
            }
        }
        self.commit(unix, committed);
    }

    // What is kept.

    /// Keeps so many of the tail.
    fn cut(&mut self, keep: usize) {
        for u in self.tail.drain(keep.min(self.tail.len())..) {
            self.tail_bytes -= u.event.body().len();
        }
    }

    fn append(&mut self, entry: &LogEntry) -> Result<(), EventError> {
        let (_, event) = Event::parse(entry.body.as_bytes(), usize::MAX)?;
        self.tail_bytes += event.body().len();
        self.tail.push_back(Uncommitted { by: entry.token, event, mark: entry.idempotency_key.clone() });
        Ok(())
    }

    /// What is kept up to this number may be told from here on.
    fn commit(&mut self, unix: u64, upto: u64) {
        while self.log.last_number() < upto {
            let Some(u) = self.tail.pop_front() else { break };
            self.tail_bytes -= u.event.body().len();
            let number = self.log.append(&u.event, u.by, u.mark.as_deref(), unix);
            let waiting = self.post.as_mut().and_then(|p| p.tickets.remove(&number));
            for ticket in waiting.unwrap_or_default() {
                self.acts.push(Action::Published { ticket, result: Ok(number) });
            }
        }
    }

    fn entries(&self, after: u64, most: usize) -> Vec<LogEntry> {
        let mut entries = self.log.entries_after(after, most);
        let mut bytes: usize = entries.iter().map(|e| e.body.len()).sum();
        if entries.last().map_or(after.max(self.log.snapshot().number), |e| e.number) < self.log.last_number()
        {
            return entries;
        }
        let first = self.log.last_number() + 1;
        for (i, u) in self.tail.iter().enumerate().filter(|(i, _)| first + *i as u64 > after) {
            bytes += u.event.body().len();
            if bytes > most && !entries.is_empty() {
                break;
            }
            let (number, body) = (first + i as u64, u.event.body().to_owned());
            entries.push(LogEntry { number, token: u.by, body, idempotency_key: u.mark.clone() });
        }
        entries
    }

    /// What it holds after this number of this era; of another one, all.
    fn held(&self, after: Option<(u64, u64)>) -> ReplicaState {
        let from = after.filter(|(era, n)| *era == self.era && *n >= self.log.snapshot().number);
        let base = from.is_none().then(|| self.log.snapshot().clone());
        let entries = self.entries(from.map_or(0, |(_, n)| n), usize::MAX);
        ReplicaState {
            epoch: self.era,
            last_entry: self.last(),
            committed: self.log.last_number(),
            snapshot: base,
            entries,
        }
    }

    /// The token of a number that is kept.
    fn by(&self, number: u64) -> Option<FencingToken> {
        let in_tail = number.checked_sub(self.log.last_number() + 1);
        match in_tail {
            Some(i) => self.tail.get(usize::try_from(i).ok()?).map(|u| u.by),
            None => self.log.token_at(number),
        }
    }

    // Calls.

    /// What it answers another voter. `floor`: what all that read here have in force.
    pub fn on_request(
        &mut self,
        now: Ns,
        unix: u64,
        request: PeerRequest,
        floor: u64,
    ) -> (PeerReply, Vec<Action>) {
        if request.sender >= self.voters() || request.sender == self.place {
            return (PeerReply::default(), Vec::new());
        }
        self.lives(now, &request.incarnations);
        let answer = self.answer(now, unix, request.call, floor);
        (PeerReply { incarnations: self.lives.clone(), answer }, std::mem::take(&mut self.acts))
    }

    fn answer(&mut self, now: Ns, unix: u64, call: PeerCall, floor: u64) -> PeerAnswer {
        match call {
            PeerCall::Lease(ask) => {
                self.voter.on_request(now, ask).map_or(PeerAnswer::NotReady, PeerAnswer::Lease)
            }
            PeerCall::Recover => PeerAnswer::Recovered {
                highest_token: self.gate.highest(),
                is_complete: self.sure,
                state: self.held(None),
            },
            _ if self.silent() => PeerAnswer::NotReady,
            PeerCall::Read { token: by, epoch: era, after_number: after } => match self.let_in(now, by) {
                Err(newer) => PeerAnswer::StaleToken(newer),
                Ok(()) => PeerAnswer::State {
                    token: by,
                    is_complete: self.sure,
                    state: self.held(Some((era, after))),
                },
            },
            PeerCall::Append { token: by, .. } if self.let_in(now, by).is_err() => {
                PeerAnswer::StaleToken(self.gate.highest())
            }
            PeerCall::Append {
                token: by,
                epoch: era,
                previous_entry: previous,
                snapshot: base,
                entries,
                committed,
            } => {
                if !self.install(by, era, base) {
                    return if self.sure {
                        PeerAnswer::Mismatch { token: by, epoch: self.era, committed: self.log.last_number() }
                    } else {
                        PeerAnswer::NeedsReset { token: by }
                    };
                }
                self.fresh.record(now, 0, Some(by));
                match self.keep(by, previous, &entries) {
                    None => {
                        PeerAnswer::Mismatch { token: by, epoch: self.era, committed: self.log.last_number() }
                    }
                    Some(upto) => {
                        self.commit(unix, committed.min(upto));
                        PeerAnswer::Appended {
                            token: by,
                            epoch: era,
                            last_number: upto,
                            applied_number: floor.min(self.log.last_number()),
                        }
                    }
                }
            }
        }
    }

    /// An owner's token at the gate; if it is newer than its own, its own is over.
    fn let_in(&mut self, now: Ns, by: FencingToken) -> Result<(), FencingToken> {
        self.pass(by)?;
        if self.rules.safety_checks.fencing && self.post.as_ref().is_some_and(|p| p.token != by) {
            self.refused(now, by);
        }
        Ok(())
    }

    /// Whether its log is of the owner's era, after it took the base if that is one or further on.
    fn install(&mut self, by: FencingToken, era: u64, base: Option<Snapshot>) -> bool {
        let base = base.filter(|b| b.number < MAX_EVENT_NUMBER);
        if era != self.era {
            // A late call of the same owner from before it began anew changes nothing.
            let later = (by, era) > (self.era_by, self.era);
            let Some(base) = base.filter(|_| later) else { return false };
            self.cut(0);
            self.log = Log::from_snapshot(self.log.retention(), base);
            (self.sure, self.learning) = (true, None);
            self.note(format!(
                "the log begins anew, era {era}: {} is the first number",
                self.log.last_number()
            ));
        } else if !self.sure {
            return false;
        } else if let Some(base) = base.filter(|b| b.number > self.log.last_number()) {
            // What it kept behind the base stays, if it is the same log: it may have been counted.
            let same = self.by(base.number) == Some(base.token);
            let drop = usize::try_from(base.number - self.log.last_number()).unwrap_or(usize::MAX);
            if same {
                for u in self.tail.drain(..drop.min(self.tail.len())) {
                    self.tail_bytes -= u.event.body().len();
                }
            } else {
                self.cut(0);
            }
            self.log = Log::from_snapshot(self.log.retention(), base);
        }
        (self.era, self.era_by) = (era, by.max(self.era_by));
        true
    }

    /// Keeps entries behind the previous one. Up to which number its log is now the owner's; none: the
    /// previous is another.
    fn keep(&mut self, by: FencingToken, previous: (u64, FencingToken), entries: &[LogEntry]) -> Option<u64> {
        let told = self.log.last_number();
        let matches = previous.0 <= told || self.by(previous.0) == Some(previous.1);
        if !matches && self.rules.safety_checks.previous_entry {
            return None;
        }
        let mut upto = previous.0;
        for entry in entries {
            if entry.number.checked_sub(1) != Some(upto) || entry.number >= MAX_EVENT_NUMBER {
                break;
            }
            upto = entry.number;
            if entry.number <= told || self.by(entry.number) == Some(entry.token) {
                continue;
            }
            // Another owner's, which no majority kept.
            self.cut(usize::try_from(entry.number - told - 1).unwrap_or(usize::MAX));
            if let Err(e) = self.append(entry) {
                self.note(format!("entry {upto} of the owner of term {} is refused: {e}", by.term));
                return Some(upto - 1);
            }
        }
        Some(upto)
    }

    /// What came back of a call; the name and the floor of the voter, where it said so.
    pub fn on_reply(
        &mut self,
        now: Ns,
        unix: u64,
        voter: u32,
        number: u64,
        reply: PeerReply,
    ) -> (Option<(String, u64)>, Vec<Action>) {
        if voter >= self.voters() || voter == self.place {
            return (None, Vec::new());
        }
        self.lives(now, &reply.incarnations);
        let life = reply.incarnations.get(voter as usize).copied().unwrap_or(0);
        if let Some(p) = self.post.as_mut().and_then(|p| p.progress.get_mut(voter as usize))
            && p.out == Some(number)
        {
            p.out = None;
        }
        let floor = self.heard(now, unix, voter, life, reply.answer);
        let name = self.rules.voter_names.get(voter as usize).cloned();
        (name.zip(floor), std::mem::take(&mut self.acts))
    }

    fn heard(&mut self, now: Ns, unix: u64, voter: u32, life: u64, answer: PeerAnswer) -> Option<u64> {
        let token = self.post.as_ref().map(|p| p.token);
        match answer {
            PeerAnswer::NotReady => {}
            PeerAnswer::Lease(said) => {
                let acts = self.seat.on_reply(now, voter, said);
                self.seated(now, acts);
                self.read(now, unix);
            }
            PeerAnswer::Recovered { highest_token: promised, is_complete: sure, state: held } => {
                if let Some(l) = &mut self.learning {
                    l.heard.insert(voter, (life, promised, sure, held));
                    self.learnt(now, unix);
                    self.read(now, unix);
                }
            }
            PeerAnswer::State { token: by, is_complete: sure, state: held } if token == Some(by) => {
                if let Some(Post { phase: Phase::Reads { heard, .. }, .. }) = &mut self.post {
                    heard.insert(voter, (life, by, sure, held));
                    self.enough(now, unix);
                }
            }
            PeerAnswer::Appended { token: by, epoch: era, last_number: upto, applied_number: floor }
                if token == Some(by) && era == self.era =>
            {
                if !self.counts(voter, life) {
                    return None;
                }
                let p = self.post.as_mut()?.progress.get_mut(voter as usize)?;
                if p.life != life {
                    *p = Progress { life, out: p.out, spoken: p.spoken, ..Progress::default() };
                }
                p.matched = p.matched.max(Some(upto));
                p.next = p.next.max(Some(upto + 1));
                p.unsure = false;
                self.most_keep(unix);
                self.feed(now);
                return Some(floor);
            }
            PeerAnswer::Mismatch { token: by, epoch: era, committed } if token == Some(by) => {
                let same = era == self.era && committed >= self.log.snapshot().number;
                let p = self.post.as_mut()?.progress.get_mut(voter as usize)?;
                p.next = same.then_some(committed + 1);
                self.feed(now);
            }
            PeerAnswer::NeedsReset { token: by } if token == Some(by) => self.unsure(now, voter),
            PeerAnswer::StaleToken(newer) if token.is_some_and(|t| t != newer && newer.term >= t.term) => {
                self.refused(now, newer);
            }
            _ => {}
        }
        None
    }

    /// A voter keeps nothing but a log that begins anew. If no majority is left without such voters, the
    /// owner reads again.
    fn unsure(&mut self, now: Ns, voter: u32) {
        let Some(post) = self.post.as_mut() else { return };
        if let Some(p) = post.progress.get_mut(voter as usize) {
            p.unsure = true;
        }
        let left = post.progress.iter().filter(|p| !p.unsure).count();
        if matches!(post.phase, Phase::Feeds) && left * 2 <= post.progress.len() {
            post.phase = Phase::Reads { since: now, next: now, heard: Heard::new() };
        }
    }

    // The owner.

    /// Asks those whom it has not heard, or not in the life that they live now.
    fn read(&mut self, now: Ns, unix: u64) {
        let patience = self.rules.call_timeout;
        let (era, after) = (self.era, self.log.last_number());
        let Some(Post { token, phase: Phase::Reads { next, heard, .. }, .. }) = &mut self.post else {
            return;
        };
        if now < *next {
            return;
        }
        *next = now + patience;
        let (by, heard) = (*token, heard.iter().map(|(v, h)| (*v, h.0)).collect::<Vec<_>>());
        let heard: Vec<u32> = heard.into_iter().filter(|(v, l)| self.counts(*v, *l)).map(|h| h.0).collect();
        for voter in self.others().filter(|v| !heard.contains(v)) {
            self.call(voter, PeerCall::Read { token: by, epoch: era, after_number: after });
        }
        self.enough(now, unix);
    }

    /// Goes on once a majority that forgot nothing has spoken; else with what is left, once all have, or most
    /// for long.
    fn enough(&mut self, now: Ns, unix: u64) {
        let Some(Post { phase: Phase::Reads { since, heard, .. }, token, .. }) = &self.post else { return };
        if self.silent() {
            return;
        }
        let token = *token;
        let own = (self.life(self.place), token, self.sure, self.held(None));
        let waited = now.saturating_sub(*since) >= self.rules.reset_timeout;
        let mut heard: Vec<_> = heard.iter().filter(|(v, h)| self.counts(**v, h.0)).map(|(_, h)| h).collect();
        heard.push(&own);
        let sure = self.majority(heard.iter().filter(|h| h.2).count());
        let all = heard.len() == self.rules.voter_names.len();
        if !(sure || all || waited && self.majority(heard.len())) {
            return;
        }
        let heard: Vec<ReplicaState> = heard.into_iter().map(|h| h.3.clone()).collect();
        self.adopt(unix, heard);
        self.era_by = token;
        if !sure {
            self.anew(unix, token);
        } else {
            // It knows by now what it may have forgotten.
            (self.sure, self.learning) = (true, None);
            let event = Event::empty_update();
            self.tail_bytes += event.body().len();
            self.tail.push_back(Uncommitted { by: token, event, mark: None });
        }
        let next = sure.then_some(self.last().0);
        let Some(post) = &mut self.post else { return };
        post.phase = Phase::Feeds;
        for p in &mut post.progress {
            *p = Progress { next, ..Progress::default() };
        }
        if !post.begun {
            post.begun = true;
            self.acts.push(Action::LeadershipGained(token));
        }
        self.most_keep(unix);
        self.feed(now);
    }

    /// The log begins anew: the list and the purges that bind as far as they are left, under numbers that
    /// nobody was told yet.
    fn anew(&mut self, unix: u64, by: FencingToken) {
        let waiting = self.post.as_mut().map(|p| std::mem::take(&mut p.tickets)).unwrap_or_default();
        for ticket in waiting.into_values().flatten() {
            self.acts.push(Action::Published { ticket, result: Err(PublishError::LeadershipLost) });
        }
        let last = self.last().0;
        self.commit(unix, last);
        let purges = self.log.active_purges(unix);
        // Its hierarchy gets this number, and the number before is free for the list (`Base`).
        let number = (last + 2).max(unix).max(self.highest + 2);
        let mut base = Snapshot { token: by, epoch_start: number, ..self.log.snapshot_at(number) };
        base.hierarchy = base.hierarchy.map(|(_, body)| (number, body));
        let listed = base.has_list;
        self.log = Log::from_snapshot(self.log.retention(), base);
        self.era = unix.max(self.era + 1);
        (self.sure, self.learning) = (true, None);
        self.cut(0);
        let opening = LogEntry { body: Event::empty_update().body().to_owned(), ..LogEntry::default() };
        let purges = purges.into_iter().filter(|_| listed);
        let entries =
            purges.map(|(body, mark)| LogEntry { body, idempotency_key: mark, ..LogEntry::default() });
        for entry in [opening].into_iter().chain(entries) {
            if let Err(e) = self.append(&LogEntry { token: by, ..entry }) {
                self.note(format!("an entry that was left is refused: {e}"));
            }
        }
        self.note(format!(
            "too few voters remember: the log begins anew at {number}, whole list {}, {} purges that bind; \
             publish the list and the purges that bind once more",
            if listed { "known" } else { "unknown" },
            self.tail.len() - 1
        ));
    }

    /// Commits what a majority keeps, once that is an entry of its own.
    fn most_keep(&mut self, unix: u64) {
        let (last, by) = self.last();
        let Some(post) = &self.post else { return };
        if !matches!(post.phase, Phase::Feeds) {
            return;
        }
        let others = self.others().filter_map(|v| {
            let p = post.progress.get(v as usize)?;
            p.matched.filter(|_| self.counts(v, p.life))
        });
        let mut kept: Vec<u64> = others.chain([last]).collect();
        kept.sort_unstable_by(|a, b| b.cmp(a));
        let most = kept.get(self.rules.voter_names.len() / 2).copied().unwrap_or(0).min(last);
        let most = if self.rules.safety_checks.quorum { most } else { last };
        let token = post.token;
        if most > self.log.last_number()
            && (self.by(most) == Some(token) || by == token && !self.rules.safety_checks.quorum)
        {
            self.commit(unix, most);
        }
    }

    /// Speaks to each voter whose time has come.
    fn feed(&mut self, now: Ns) {
        let Some(post) = &self.post else { return };
        if !matches!(post.phase, Phase::Feeds) {
            return;
        }
        let token = post.token;
        let due: Vec<u32> = self
            .others()
            .filter(|v| post.progress.get(*v as usize).is_some_and(|p| now >= self.due(p)))
            .collect();
        for voter in due {
            let next = self.post.as_ref().and_then(|p| p.progress.get(voter as usize)).and_then(|p| p.next);
            let next = next.filter(|n| *n > self.log.snapshot().number && self.by(n - 1).is_some());
            let base = next.is_none().then(|| self.log.snapshot().clone());
            let after = next.map_or(self.log.snapshot().number, |n| n - 1);
            let previous = (after, self.by(after).unwrap_or_default());
            let entries = self.entries(after, self.rules.max_call_bytes);
            let upto = after + entries.len() as u64;
            let (era, committed) = (self.era, self.log.last_number());
            let number = self.call(
                voter,
                PeerCall::Append {
                    token,
                    epoch: era,
                    previous_entry: previous,
                    snapshot: base,
                    entries,
                    committed,
                },
            );
            if let Some(p) = self.post.as_mut().and_then(|p| p.progress.get_mut(voter as usize)) {
                p.out = Some(number);
                p.spoken = Some(now);
                p.told = committed.min(upto);
            }
        }
    }

    /// Takes an event in. The verdict comes as `Do::Published` once most keep it; at once if its mark was
    /// published before.
    pub fn publish(
        &mut self,
        now: Ns,
        unix: u64,
        ticket: u64,
        mark: Option<&str>,
        event: Event,
        most_log: usize,
    ) -> Result<Vec<Action>, PublishError> {
        let token = self.require_leader(now)?;
        if let Some(long) = mark.map(str::len).filter(|l| *l > LONGEST_MARK) {
            return Err(PublishError::KeyTooLong(long));
        }
        if let Some(number) = mark.and_then(|m| self.log.number_of_key(m)) {
            return Ok(vec![Action::Published { ticket, result: Ok(number) }]);
        }
        let waits = self.tail.iter().position(|u| u.mark.is_some() && u.mark.as_deref() == mark);
        let number = match waits {
            Some(i) => self.log.last_number() + 1 + i as u64,
            None => {
                self.may_take(unix, &event, most_log)?;
                self.tail_bytes += event.body().len();
                self.tail.push_back(Uncommitted { by: token, event, mark: mark.map(str::to_owned) });
                self.last().0
            }
        };
        if let Some(post) = &mut self.post {
            post.tickets.entry(number).or_default().push(ticket);
        }
        self.most_keep(unix);
        self.feed(now);
        Ok(std::mem::take(&mut self.acts))
    }

    fn may_take(&self, unix: u64, event: &Event, most_log: usize) -> Result<(), PublishError> {
        let whole = |u: &Uncommitted| u.event.kind() == EventKind::Members { is_snapshot: true };
        let listed = self.log.has_list() || self.tail.iter().any(whole);
        match event.kind() {
            EventKind::Members { is_snapshot: true } => {}
            _ if !listed => return Err(PublishError::NoList),
            EventKind::Purge { created_unix_ms: at } => {
                let ahead = self.rules.max_purge_lead / 1_000_000;
                let by = at.saturating_sub(unix);
                if by > ahead {
                    return Err(PublishError::PurgeInFuture(by, ahead));
                }
            }
            _ => {}
        }
        // Its head on the wire comes to it.
        Ok(self.log.check_capacity(self.tail_bytes + event.body().len() + 64, most_log)?)
    }

    pub fn hand_over(&mut self, now: Ns) -> Vec<Action> {
        let acts = self.seat.hand_over(now, None);
        self.seated(now, acts);
        std::mem::take(&mut self.acts)
    }

    pub fn fill_status(&self, now: Ns, status: &mut RelayStatus) {
        let owns = self.leader_token(now);
        status.role = if owns.is_some() { "owner" } else { "voter" }.into();
        if let Some(owner) = self.leader(now) {
            status.leader = Some(owner.number);
        }
        status.term = owns.map_or(self.gate.highest().term, |t| t.term);
        status.last_stored = self.last().0;
        status.recovering_ms = self.learning.as_ref().map(|l| now.saturating_sub(l.since) / 1_000_000);
        status.reset_unix_ms = self.era;
        status.rejected_tokens = self.gate.rejected_count();
    }
}
