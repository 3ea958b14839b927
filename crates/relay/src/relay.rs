//! One process of the tier: a voter, or a plain relay that follows another one. Both tell the same events on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::{Event, EventError, EventKind, MAX_EVENT_NUMBER};
use crate::group::{GroupConfig, PeerReply, PeerRequest, ReplicaGroup};
use crate::log::{LONGEST_MARK, Log, LogFull, Snapshot};
use crate::retention::RetentionWindow;
use crate::subscribers::{SubscriberStatus, Subscribers};
use crate::upstream::{Staleness, UpstreamSelector};
use sablecross_coordination::{FencingToken, Member, Ns};

/// The same kind of settings for voters and plain relays.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Of this relay, as others know it as a reader.
    pub name: String,
    pub retention: RetentionWindow,
    /// The largest event in bytes.
    pub max_event_bytes: usize,
    /// Past so many bytes of log nothing more is taken from publishers.
    pub max_log_bytes: usize,
    /// A reader that said no word (called) for longer holds no number back.
    pub missing_after: Ns,
    /// And after so long it is not known any more.
    pub forget_after: Ns,
    /// So many moments are kept of when a number was in force everywhere.
    pub max_floor_history: usize,
}

/// Why an event is not taken from its publisher. It was not told to anybody, but for `Ended`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    #[error("not the source: {}", whose(.0))]
    NotLeader(Option<Member>),
    #[error(
        "no longer the source: whether it will be told is not known; publish it again with the same mark"
    )]
    LeadershipLost,
    #[error(transparent)]
    InvalidEvent(#[from] EventError),
    #[error(transparent)]
    LogFull(#[from] LogFull),
    #[error("no whole list was published since the log began anew: publish that first")]
    NoList,
    #[error("the purge was made {0} ms ahead of this clock, more than {1}")]
    PurgeInFuture(u64, u64),
    #[error("the mark has {0} bytes, more than {LONGEST_MARK}")]
    KeyTooLong(usize),
}

fn whose(owner: &Option<Member>) -> String {
    owner.map_or("nobody is for now".into(), |m| format!("member {} is", m.number))
}

/// What the process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A call to a voter, by its place among them; what comes back goes to `answered` with this number.
    Call {
        voter: u32,
        call_id: u64,
        request: PeerRequest,
    },
    /// To the publisher with this ticket: the number that its event was told under, or why not.
    Published {
        ticket: u64,
        result: Result<u64, PublishError>,
    },
    /// From here on it is the source, and from here on it is none.
    LeadershipGained(FencingToken),
    LeadershipLost(FencingToken),
    /// A line for the log.
    Log(String),
}

/// What became of an event of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    Applied,
    /// It was told before.
    Duplicate,
    /// Events are missing or can't be read: the call is to be ended and made anew with the number of
    /// `follows`.
    Resubscribe(String),
}

/// What operators see of a relay, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    pub name: String,
    pub unix_ms: u64,
    /// `owner`, `voter` or `plain`.
    pub role: String,
    /// The owner that was heard of last: number and term.
    #[serde(rename = "owner")]
    pub leader: Option<u32>,
    pub term: u64,
    /// Since the owner's last word came, along the chain.
    #[serde(rename = "fresh_ms")]
    pub staleness_ms: Option<u64>,
    /// The number of the base, the last that may be told, the last that is kept.
    #[serde(rename = "base")]
    pub snapshot_number: u64,
    #[serde(rename = "last")]
    pub last_number: u64,
    #[serde(rename = "kept")]
    pub last_stored: u64,
    pub log_bytes: usize,
    /// Endpoints of the list; none: no whole list is known.
    pub endpoints: Option<usize>,
    pub floor: u64,
    /// At the owner: numbers and since when they are in force everywhere, Unix ms.
    #[serde(rename = "passed")]
    pub floor_history: Vec<(u64, u64)>,
    #[serde(rename = "readers")]
    pub subscribers: Vec<SubscriberStatus>,
    /// A voter that has not learned yet what it kept before its start, and how long it waits.
    #[serde(rename = "learning_ms")]
    pub recovering_ms: Option<u64>,
    /// When the log began anew with what was left, Unix ms; 0: never. Publish the list and the purges that
    /// bind once more.
    #[serde(rename = "anew_unix_ms")]
    pub reset_unix_ms: u64,
    /// Words of old owners that were refused here.
    #[serde(rename = "refused")]
    pub rejected_tokens: u64,
}

#[derive(Debug)]
enum Part {
    Voter(Box<ReplicaGroup>),
    Plain(Box<Plain>),
}

#[derive(Debug)]
struct Plain {
    log: Log,
    upstream: UpstreamSelector,
    fresh: Staleness,
    /// The number after which events were missing or unreadable once already.
    gap: Option<u64>,
}

#[derive(Debug)]
pub struct Relay {
    set: RelayConfig,
    part: Part,
    readers: Subscribers,
    acts: Vec<Action>,
}

impl Relay {
    /// A voter at this place among all of them, beginning without memory. `life`: a number of this start,
    /// later than of any start before (Unix ms will do). `chance`: any number, another at each.
    pub fn voter(
        set: RelayConfig,
        me: Member,
        place: u32,
        rules: GroupConfig,
        chance: u64,
        now: Ns,
    ) -> Relay {
        let log = Log::new(set.retention);
        let group = ReplicaGroup::new(me, place, rules, log, chance, now);
        Relay::with(set, Part::Voter(Box::new(group)))
    }

    /// A plain relay that follows one of so many upstreams, beginning without memory.
    pub fn plain(set: RelayConfig, upstream: UpstreamSelector) -> Relay {
        let (log, fresh) = (Log::new(set.retention), Staleness::unknown());
        Relay::with(set, Part::Plain(Box::new(Plain { log, upstream, fresh, gap: None })))
    }

    fn with(set: RelayConfig, part: Part) -> Relay {
        let readers = Subscribers::new(set.missing_after, set.forget_after, set.max_floor_history);
        Relay { set, part, readers, acts: Vec::new() }
    }

    pub fn config(&self) -> &RelayConfig {
        &self.set
    }

    /// What is to be done since it was asked last.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.acts)
    }

    /// A reader that is to come, as the settings name it: it counts as one with nothing until it does, and is
    /// missing after a while. Without that a relay that begins anew knows of no readers until they call.
    pub fn expect_subscriber(&mut self, now: Ns, name: &str) {
        self.readers.expect(now, name);
    }

    /// What may be told.
    pub fn log(&self) -> &Log {
        match &self.part {
            Part::Voter(g) => g.log(),
            Part::Plain(p) => &p.log,
        }
    }

    /// The last number that may be told.
    pub fn last_number(&self) -> u64 {
        self.log().last_number()
    }

    /// When `step` is to be called next, at the latest a second from now.
    pub fn next_wakeup(&self, now: Ns) -> Ns {
        let own = match &self.part {
            Part::Voter(g) => g.next_deadline(),
            Part::Plain(_) => Ns::MAX,
        };
        own.min(now + 1_000_000_000)
    }

    /// What time brings. `unix` in milliseconds.
    pub fn step(&mut self, now: Ns, unix: u64) {
        match &mut self.part {
            Part::Voter(g) => {
                let acts = g.step(now, unix);
                self.done(now, acts);
            }
            Part::Plain(p) => {
                let age = p.fresh.age(now);
                if p.upstream.check(now, age) {
                    p.gap = None;
                    let at = p.upstream.current().unwrap_or_default();
                    self.acts.push(Action::Log(format!("upstream {at} is followed: the last one was stale")));
                }
                p.log.compact(unix);
            }
        }
        self.count(now, unix);
    }

    fn count(&mut self, now: Ns, unix: u64) {
        self.readers.floor(now, self.last_number());
        if let Part::Voter(g) = &self.part
            && g.leader_token(now).is_some()
        {
            self.readers.record_floor(unix);
        }
    }

    /// What the group did. A new owner waits for the word of all voters.
    fn done(&mut self, now: Ns, acts: Vec<Action>) {
        if let Part::Voter(g) = &self.part
            && acts.iter().any(|a| matches!(a, Action::LeadershipGained(_)))
        {
            self.readers.reset_floor();
            for name in g.voter_names().iter().filter(|n| **n != self.set.name) {
                self.readers.expect(now, name);
            }
        }
        self.acts.extend(acts);
    }

    // Voters.

    /// A call of another voter, and what it is to be answered.
    pub fn on_peer_request(&mut self, now: Ns, unix: u64, request: PeerRequest) -> PeerReply {
        let floor = self.readers.floor(now, self.last_number());
        match &mut self.part {
            Part::Voter(g) => {
                let (reply, acts) = g.on_request(now, unix, request, floor);
                self.acts.extend(acts);
                reply
            }
            Part::Plain(_) => PeerReply::default(),
        }
    }

    /// What came back of a call.
    pub fn on_peer_reply(&mut self, now: Ns, unix: u64, voter: u32, number: u64, reply: PeerReply) {
        let Part::Voter(g) = &mut self.part else { return };
        let (floor, acts) = g.on_reply(now, unix, voter, number, reply);
        self.done(now, acts);
        if let Some((name, floor)) = floor {
            self.readers.reported(now, &name, floor);
            self.count(now, unix);
        }
    }

    /// An event's JSON to be told, at best with a mark by which it is known again. The verdict comes as
    /// `Do::Published`.
    pub fn publish(&mut self, now: Ns, unix: u64, ticket: u64, mark: Option<&str>, text: &[u8]) {
        let refused = |result| Action::Published { ticket, result: Err(result) };
        let Part::Voter(g) = &mut self.part else {
            self.acts.push(refused(PublishError::NotLeader(None)));
            return;
        };
        let most = self.set.max_event_bytes;
        let read = g.require_leader(now).and_then(|_| Ok(Event::parse(text, most)?));
        match read.and_then(|(_, event)| g.publish(now, unix, ticket, mark, event, self.set.max_log_bytes)) {
            Ok(acts) => self.acts.extend(acts),
            Err(e) => self.acts.push(refused(e)),
        }
    }

    /// The token under which it is the source now.
    pub fn leader_token(&self, now: Ns) -> Option<FencingToken> {
        if let Part::Voter(g) = &self.part { g.leader_token(now) } else { None }
    }

    /// Gives the source up, as at a planned stop.
    pub fn hand_over(&mut self, now: Ns) {
        if let Part::Voter(g) = &mut self.part {
            self.acts.extend(g.hand_over(now));
        }
    }

    // Plain relays.

    /// The upstream to follow now by its place, and the number to call it with: what is in force here and at
    /// all that count here. To be asked before each call, and whether it is still the same one while a stream
    /// is open.
    pub fn upstream_to_follow(&mut self, now: Ns) -> Option<(usize, u64)> {
        let floor = self.readers.floor(now, self.last_number());
        let Part::Plain(p) = &self.part else { return None };
        let at = p.upstream.current()?;
        Some((at, floor.min(p.log.last_number())))
    }

    /// The call failed, or its stream was broken off. A clean end is none.
    pub fn on_upstream_failed(&mut self, now: Ns) {
        if let Part::Plain(p) = &mut self.part {
            p.upstream.on_failed(now);
        }
    }

    /// A comment of the upstream, without its ends of lines.
    pub fn on_upstream_comment(&mut self, now: Ns, comment: &str) {
        let Part::Plain(p) = &mut self.part else { return };
        match Staleness::parse_comment(comment) {
            Some((age, owner)) => p.fresh.record(now, age, owner),
            // Not a relay's: it is the source itself.
            None => p.fresh.record(now, 0, None),
        }
    }

    /// An event of the upstream: its data, and the number in its `id` if it has one.
    pub fn on_upstream_event(&mut self, now: Ns, unix: u64, id: Option<u64>, data: &[u8]) -> ApplyOutcome {
        let most = self.set.max_event_bytes.max(self.set.max_log_bytes);
        let Part::Plain(p) = &mut self.part else { return ApplyOutcome::Duplicate };
        let took = p.told(unix, id, data, most, &mut self.acts);
        if took == ApplyOutcome::Applied {
            p.log.compact(unix);
            self.count(now, unix);
        }
        took
    }

    // Readers.

    /// A reader calls with this number: its stream begins with what `after` gives for it.
    pub fn on_subscriber_connected(&mut self, now: Ns, unix: u64, name: &str, number: u64) {
        self.readers.connected(now, name, number);
        if let Part::Voter(g) = &mut self.part {
            g.observe_number(number);
        }
        self.count(now, unix);
    }

    /// A stream of a reader is over.
    pub fn on_subscriber_disconnected(&mut self, name: &str) {
        self.readers.disconnected(name);
    }

    /// As `Log::after`: what follows the cursor, appended to `out`; returns the new cursor.
    pub fn encode_after(&mut self, cursor: u64, most: usize, out: &mut Vec<u8>) -> u64 {
        match &mut self.part {
            Part::Voter(g) => g.encode_after(cursor, most, out),
            Part::Plain(p) => p.log.encode_after(cursor, most, out),
        }
    }

    /// The comment for readers, with its empty line.
    pub fn staleness_comment(&self, now: Ns) -> String {
        self.fresh(now).to_comment(now)
    }

    fn fresh(&self, now: Ns) -> Staleness {
        match &self.part {
            Part::Voter(g) => g.staleness(now),
            Part::Plain(p) => p.fresh,
        }
    }

    pub fn status(&mut self, now: Ns, unix: u64) -> RelayStatus {
        let floor = self.readers.floor(now, self.last_number());
        let fresh = self.fresh(now);
        let age = fresh.age(now);
        let base = self.log().snapshot();
        let mut status = RelayStatus {
            name: self.set.name.clone(),
            unix_ms: unix,
            role: "plain".into(),
            leader: fresh.leader.map(|t| t.holder.number),
            term: fresh.leader.map_or(0, |t| t.term),
            staleness_ms: (age < Ns::MAX).then_some(age / 1_000_000),
            snapshot_number: base.number,
            last_number: self.last_number(),
            last_stored: self.last_number(),
            log_bytes: self.log().size_bytes(),
            endpoints: self.log().endpoint_count(),
            floor,
            floor_history: self.readers.floor_history(),
            subscribers: self.readers.statuses(now),
            ..RelayStatus::default()
        };
        if let Part::Voter(g) = &self.part {
            g.fill_status(now, &mut status);
        }
        status
    }
}

impl Plain {
    fn told(
        &mut self,
        unix: u64,
        id: Option<u64>,
        data: &[u8],
        most: usize,
        acts: &mut Vec<Action>,
    ) -> ApplyOutcome {
        let last = self.log.last_number();
        if id.is_some_and(|n| n <= last) {
            return ApplyOutcome::Duplicate;
        }
        let read = Event::parse(data, most);
        let n = id.or(read.as_ref().ok().and_then(|(n, _)| *n));
        let Some(n) = n else { return ApplyOutcome::Resubscribe("an event has no number".into()) };
        if n <= last {
            return ApplyOutcome::Duplicate;
        }
        if n >= MAX_EVENT_NUMBER {
            return ApplyOutcome::Resubscribe(EventError::NumberTooLarge(n).to_string());
        }
        let fault = read.as_ref().err().map(ToString::to_string);
        if n == last + 1 && fault.is_none() {
            if let Ok((_, event)) = read {
                self.log.append(&event, FencingToken::default(), None, unix);
            }
            self.gap = None;
            return ApplyOutcome::Applied;
        }
        if self.gap != Some(last) {
            // Lost or cut on the way, most likely: it is asked for once more.
            self.gap = Some(last);
            let why = fault.unwrap_or_else(|| format!("event {n} follows {last}"));
            return ApplyOutcome::Resubscribe(why);
        }
        match read {
            Err(e) if n == last + 1 => {
                // Nobody can read it; the numbers stay the same everywhere.
                acts.push(Action::Log(format!(
                    "event {n} of the upstream is passed on as an empty one: {e}"
                )));
                self.log.append(&Event::empty_update(), FencingToken::default(), None, unix);
                self.gap = None;
                ApplyOutcome::Applied
            }
            Err(e) => ApplyOutcome::Resubscribe(e.to_string()),
            Ok((_, event)) if event.kind() == (EventKind::Members { is_snapshot: true }) => {
                let mut base = Snapshot { members: BTreeMap::new(), ..self.log.snapshot_at(n) };
                (base.has_list, base.list_index) = (true, event.index().unwrap_or(0));
                let endpoints = event.endpoints().map(|(_, all)| all).unwrap_or_default();
                let here = endpoints.into_iter().filter(|e| !e.is_gone);
                base.members = here.map(|e| (e.name, e.json)).collect();
                acts.push(Action::Log(format!(
                    "events {} to {n} are over: the whole list is taken",
                    last + 1
                )));
                self.log = Log::from_snapshot(self.log.retention(), base);
                self.gap = None;
                ApplyOutcome::Applied
            }
            Ok(_) => ApplyOutcome::Resubscribe(format!("event {n} follows {last}, and is no whole list")),
        }
    }
}
