//! One process of the tier: a voter, or a plain relay that follows another one. Both tell the same events on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::{Event, Fault, Kind, MOST_NUMBER};
use crate::group::{Group, Reply, Request, Rules};
use crate::horizon::Horizon;
use crate::log::{Base, Full, LONGEST_MARK, Log};
use crate::readers::{Readers, View};
use crate::upstream::{Freshness, Upstream};
use sablecross_duty::{Member, Ns, Token};

/// The same kind of settings for voters and plain relays.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Of this relay, as others know it as a reader.
    pub name: String,
    pub horizon: Horizon,
    /// The largest event in bytes.
    pub most_event: usize,
    /// Past so many bytes of log nothing more is taken from publishers.
    pub most_log: usize,
    /// A reader that said no word (called) for longer holds no number back.
    pub missed: Ns,
    /// And after so long it is not known any more.
    pub forgotten: Ns,
    /// So many moments are kept of when a number was in force everywhere.
    pub most_passed: usize,
}

/// Why an event is not taken from its publisher. It was not told to anybody, but for `Ended`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error("not the source: {}", whose(.0))]
    NotOwner(Option<Member>),
    #[error(
        "no longer the source: whether it will be told is not known; publish it again with the same mark"
    )]
    Ended,
    #[error(transparent)]
    Fault(#[from] Fault),
    #[error(transparent)]
    Full(#[from] Full),
    #[error("no whole list was published since the log began anew: publish that first")]
    Unlisted,
    #[error("the purge was made {0} ms ahead of this clock, more than {1}")]
    Ahead(u64, u64),
    #[error("the mark has {0} bytes, more than {LONGEST_MARK}")]
    Mark(usize),
}

fn whose(owner: &Option<Member>) -> String {
    owner.map_or("nobody is for now".into(), |m| format!("member {} is", m.number))
}

/// What the process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// A call to a voter, by its place among them; what comes back goes to `answered` with this number.
    Call {
        voter: u32,
        number: u64,
        request: Request,
    },
    /// To the publisher with this ticket: the number that its event was told under, or why not.
    Published {
        ticket: u64,
        result: Result<u64, Refusal>,
    },
    /// From here on it is the source, and from here on it is none.
    Begins(Token),
    Ends(Token),
    /// A line for the log.
    Note(String),
}

/// What became of an event of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Took {
    New,
    /// It was told before.
    Passed,
    /// Events are missing or can't be read: the call is to be ended and made anew with the number of
    /// `follows`.
    Again(String),
}

/// What operators see of a relay, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub unix_ms: u64,
    /// `owner`, `voter` or `plain`.
    pub role: String,
    /// The owner that was heard of last: number and term.
    #[serde(rename = "owner")]
    pub owner: Option<u32>,
    pub term: u64,
    /// Since the owner's last word came, along the chain.
    #[serde(rename = "fresh_ms")]
    pub fresh_ms: Option<u64>,
    /// The number of the base, the last that may be told, the last that is kept.
    #[serde(rename = "base")]
    pub base: u64,
    #[serde(rename = "last")]
    pub last: u64,
    #[serde(rename = "kept")]
    pub kept: u64,
    pub log_bytes: usize,
    /// Endpoints of the list; none: no whole list is known.
    pub endpoints: Option<usize>,
    pub floor: u64,
    /// At the owner: numbers and since when they are in force everywhere, Unix ms.
    #[serde(rename = "passed")]
    pub passed: Vec<(u64, u64)>,
    #[serde(rename = "readers")]
    pub readers: Vec<View>,
    /// A voter that has not learned yet what it kept before its start, and how long it waits.
    #[serde(rename = "learning_ms")]
    pub learning_ms: Option<u64>,
    /// When the log began anew with what was left, Unix ms; 0: never. Publish the list and the purges that
    /// bind once more.
    #[serde(rename = "anew_unix_ms")]
    pub anew_unix_ms: u64,
    /// Words of old owners that were refused here.
    #[serde(rename = "refused")]
    pub refused: u64,
}

#[derive(Debug)]
enum Part {
    Voter(Box<Group>),
    Plain(Box<Plain>),
}

#[derive(Debug)]
struct Plain {
    log: Log,
    upstream: Upstream,
    fresh: Freshness,
    /// The number after which events were missing or unreadable once already.
    gap: Option<u64>,
}

#[derive(Debug)]
pub struct Relay {
    set: Settings,
    part: Part,
    readers: Readers,
    acts: Vec<Do>,
}

impl Relay {
    /// A voter at this place among all of them, beginning without memory. `life`: a number of this start,
    /// later than of any start before (Unix ms will do). `chance`: any number, another at each.
    pub fn voter(set: Settings, me: Member, place: u32, rules: Rules, chance: u64, now: Ns) -> Relay {
        let log = Log::new(set.horizon);
        let group = Group::new(me, place, rules, log, chance, now);
        Relay::with(set, Part::Voter(Box::new(group)))
    }

    /// A plain relay that follows one of so many upstreams, beginning without memory.
    pub fn plain(set: Settings, upstream: Upstream) -> Relay {
        let (log, fresh) = (Log::new(set.horizon), Freshness::never());
        Relay::with(set, Part::Plain(Box::new(Plain { log, upstream, fresh, gap: None })))
    }

    fn with(set: Settings, part: Part) -> Relay {
        let readers = Readers::new(set.missed, set.forgotten, set.most_passed);
        Relay { set, part, readers, acts: Vec::new() }
    }

    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// What is to be done since it was asked last.
    pub fn acts(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.acts)
    }

    /// A reader that is to come, as the settings name it: it counts as one with nothing until it does, and is
    /// missing after a while. Without that a relay that begins anew knows of no readers until they call.
    pub fn expects(&mut self, now: Ns, name: &str) {
        self.readers.expects(now, name);
    }

    /// What may be told.
    pub fn log(&self) -> &Log {
        match &self.part {
            Part::Voter(g) => g.log(),
            Part::Plain(p) => &p.log,
        }
    }

    /// The last number that may be told.
    pub fn last(&self) -> u64 {
        self.log().last()
    }

    /// When `step` is to be called next, at the latest a second from now.
    pub fn next(&self, now: Ns) -> Ns {
        let own = match &self.part {
            Part::Voter(g) => g.next(),
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
                if p.upstream.step(now, age) {
                    p.gap = None;
                    let at = p.upstream.at().unwrap_or_default();
                    self.acts.push(Do::Note(format!("upstream {at} is followed: the last one was stale")));
                }
                p.log.trim(unix);
            }
        }
        self.count(now, unix);
    }

    fn count(&mut self, now: Ns, unix: u64) {
        self.readers.floor(now, self.last());
        if let Part::Voter(g) = &self.part
            && g.token(now).is_some()
        {
            self.readers.everywhere(unix);
        }
    }

    /// What the group did. A new owner waits for the word of all voters.
    fn done(&mut self, now: Ns, acts: Vec<Do>) {
        if let Part::Voter(g) = &self.part
            && acts.iter().any(|a| matches!(a, Do::Begins(_)))
        {
            self.readers.begins();
            for name in g.names().iter().filter(|n| **n != self.set.name) {
                self.readers.expects(now, name);
            }
        }
        self.acts.extend(acts);
    }

    // Voters.

    /// A call of another voter, and what it is to be answered.
    pub fn called(&mut self, now: Ns, unix: u64, request: Request) -> Reply {
        let floor = self.readers.floor(now, self.last());
        match &mut self.part {
            Part::Voter(g) => {
                let (reply, acts) = g.called(now, unix, request, floor);
                self.acts.extend(acts);
                reply
            }
            Part::Plain(_) => Reply::default(),
        }
    }

    /// What came back of a call.
    pub fn answered(&mut self, now: Ns, unix: u64, voter: u32, number: u64, reply: Reply) {
        let Part::Voter(g) = &mut self.part else { return };
        let (floor, acts) = g.answered(now, unix, voter, number, reply);
        self.done(now, acts);
        if let Some((name, floor)) = floor {
            self.readers.says(now, &name, floor);
            self.count(now, unix);
        }
    }

    /// An event's JSON to be told, at best with a mark by which it is known again. The verdict comes as
    /// `Do::Published`.
    pub fn publish(&mut self, now: Ns, unix: u64, ticket: u64, mark: Option<&str>, text: &[u8]) {
        let refused = |result| Do::Published { ticket, result: Err(result) };
        let Part::Voter(g) = &mut self.part else {
            self.acts.push(refused(Refusal::NotOwner(None)));
            return;
        };
        let most = self.set.most_event;
        let read = g.sources(now).and_then(|_| Ok(Event::read(text, most)?));
        match read.and_then(|(_, event)| g.publish(now, unix, ticket, mark, event, self.set.most_log)) {
            Ok(acts) => self.acts.extend(acts),
            Err(e) => self.acts.push(refused(e)),
        }
    }

    /// The token under which it is the source now.
    pub fn source(&self, now: Ns) -> Option<Token> {
        if let Part::Voter(g) = &self.part { g.token(now) } else { None }
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
    pub fn follows(&mut self, now: Ns) -> Option<(usize, u64)> {
        let floor = self.readers.floor(now, self.last());
        let Part::Plain(p) = &self.part else { return None };
        let at = p.upstream.at()?;
        Some((at, floor.min(p.log.last())))
    }

    /// The call failed, or its stream was broken off. A clean end is none.
    pub fn failed(&mut self, now: Ns) {
        if let Part::Plain(p) = &mut self.part {
            p.upstream.failed(now);
        }
    }

    /// A comment of the upstream, without its ends of lines.
    pub fn commented(&mut self, now: Ns, comment: &str) {
        let Part::Plain(p) = &mut self.part else { return };
        match Freshness::read(comment) {
            Some((age, owner)) => p.fresh.heard(now, age, owner),
            // Not a relay's: it is the source itself.
            None => p.fresh.heard(now, 0, None),
        }
    }

    /// An event of the upstream: its data, and the number in its `id` if it has one.
    pub fn told(&mut self, now: Ns, unix: u64, id: Option<u64>, data: &[u8]) -> Took {
        let most = self.set.most_event.max(self.set.most_log);
        let Part::Plain(p) = &mut self.part else { return Took::Passed };
        let took = p.told(unix, id, data, most, &mut self.acts);
        if took == Took::New {
            p.log.trim(unix);
            self.count(now, unix);
        }
        took
    }

    // Readers.

    /// A reader calls with this number: its stream begins with what `after` gives for it.
    pub fn comes(&mut self, now: Ns, unix: u64, name: &str, number: u64) {
        self.readers.comes(now, name, number);
        if let Part::Voter(g) = &mut self.part {
            g.heard_of(number);
        }
        self.count(now, unix);
    }

    /// A stream of a reader is over.
    pub fn went(&mut self, name: &str) {
        self.readers.went(name);
    }

    /// As `Log::after`: what follows the cursor, appended to `out`; returns the new cursor.
    pub fn after(&mut self, cursor: u64, most: usize, out: &mut Vec<u8>) -> u64 {
        match &mut self.part {
            Part::Voter(g) => g.after(cursor, most, out),
            Part::Plain(p) => p.log.after(cursor, most, out),
        }
    }

    /// The comment for readers, with its empty line.
    pub fn comment(&self, now: Ns) -> String {
        self.fresh(now).comment(now)
    }

    fn fresh(&self, now: Ns) -> Freshness {
        match &self.part {
            Part::Voter(g) => g.fresh(now),
            Part::Plain(p) => p.fresh,
        }
    }

    pub fn status(&mut self, now: Ns, unix: u64) -> Status {
        let floor = self.readers.floor(now, self.last());
        let fresh = self.fresh(now);
        let age = fresh.age(now);
        let base = self.log().base();
        let mut status = Status {
            name: self.set.name.clone(),
            unix_ms: unix,
            role: "plain".into(),
            owner: fresh.owner.map(|t| t.owner.number),
            term: fresh.owner.map_or(0, |t| t.term),
            fresh_ms: (age < Ns::MAX).then_some(age / 1_000_000),
            base: base.number,
            last: self.last(),
            kept: self.last(),
            log_bytes: self.log().bytes(),
            endpoints: self.log().endpoints(),
            floor,
            passed: self.readers.passed(),
            readers: self.readers.views(now),
            ..Status::default()
        };
        if let Part::Voter(g) = &self.part {
            g.shows(now, &mut status);
        }
        status
    }
}

impl Plain {
    fn told(&mut self, unix: u64, id: Option<u64>, data: &[u8], most: usize, acts: &mut Vec<Do>) -> Took {
        let last = self.log.last();
        if id.is_some_and(|n| n <= last) {
            return Took::Passed;
        }
        let read = Event::read(data, most);
        let n = id.or(read.as_ref().ok().and_then(|(n, _)| *n));
        let Some(n) = n else { return Took::Again("an event has no number".into()) };
        if n <= last {
            return Took::Passed;
        }
        if n >= MOST_NUMBER {
            return Took::Again(Fault::Number(n).to_string());
        }
        let fault = read.as_ref().err().map(ToString::to_string);
        if n == last + 1 && fault.is_none() {
            if let Ok((_, event)) = read {
                self.log.push(&event, Token::default(), None, unix);
            }
            self.gap = None;
            return Took::New;
        }
        if self.gap != Some(last) {
            // Lost or cut on the way, most likely: it is asked for once more.
            self.gap = Some(last);
            let why = fault.unwrap_or_else(|| format!("event {n} follows {last}"));
            return Took::Again(why);
        }
        match read {
            Err(e) if n == last + 1 => {
                // Nobody can read it; the numbers stay the same everywhere.
                acts.push(Do::Note(format!("event {n} of the upstream is passed on as an empty one: {e}")));
                self.log.push(&Event::nothing(), Token::default(), None, unix);
                self.gap = None;
                Took::New
            }
            Err(e) => Took::Again(e.to_string()),
            Ok((_, event)) if event.kind() == (Kind::Members { whole: true }) => {
                let mut base = Base { members: BTreeMap::new(), ..self.log.folded(n) };
                (base.listed, base.index) = (true, event.index().unwrap_or(0));
                let endpoints = event.endpoints().map(|(_, all)| all).unwrap_or_default();
                let here = endpoints.into_iter().filter(|e| !e.gone);
                base.members = here.map(|e| (e.name, e.raw)).collect();
                acts.push(Do::Note(format!("events {} to {n} are over: the whole list is taken", last + 1)));
                self.log = Log::with(self.log.horizon(), base);
                self.gap = None;
                Took::New
            }
            Ok(_) => Took::Again(format!("event {n} follows {last}, and is no whole list")),
        }
    }
}
