//! Who reads here, what each has in force, and the number that all have: a call with `Last-Event-ID: n` says
//! that n is in force there, so no word is needed for it.

use std::collections::{BTreeMap, VecDeque};

use sablecross_coordination::Ns;
use serde::{Deserialize, Serialize};

use crate::relay::RelayStatus;

/// How often the floor is worked out.
const EVERY: Ns = 50_000_000;

#[derive(Clone, Copy, Debug)]
struct Reader {
    /// In force there, by its last word.
    number: u64,
    /// Its last word, or since when it is expected.
    heard: Ns,
    came: bool,
    streams: u32,
}

/// A reader as status shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriberStatus {
    pub name: String,
    /// In force there.
    pub number: u64,
    /// Since its last word; none: it never came.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_age_ms: Option<u64>,
    pub connected: bool,
    /// It said no word for so long that the floor does not wait for it any more.
    pub missing: bool,
}

#[derive(Clone, Debug)]
pub struct Subscribers {
    all: BTreeMap<String, Reader>,
    missed: Ns,
    forgotten: Ns,
    floor: u64,
    /// When the floor is worked out next: all readers are gone through.
    due: Ns,
    /// When the floor came to which number, Unix ms: the newest last.
    passed: VecDeque<(u64, u64)>,
    most_passed: usize,
}

impl Subscribers {
    /// `missed`: one that said no word for longer holds the floor no more, also if its stream is open still.
    /// `forgotten`: nor is one that is away known any more.
    pub fn new(missed: Ns, forgotten: Ns, most_passed: usize) -> Subscribers {
        let passed = VecDeque::new();
        Subscribers { all: BTreeMap::new(), missed, forgotten, floor: 0, due: 0, passed, most_passed }
    }

    /// A call with this number: what is in force there. The stream that begins counts until `went`.
    pub fn connected(&mut self, now: Ns, name: &str, number: u64) {
        let streams = self.all.get(name).map_or(0, |r| r.streams) + 1;
        self.all.insert(name.to_owned(), Reader { number, heard: now, came: true, streams });
    }

    /// One that is to come counts with nothing, unless it is known.
    pub fn expect(&mut self, now: Ns, name: &str) {
        let none = Reader { number: 0, heard: now, came: false, streams: 0 };
        self.all.entry(name.to_owned()).or_insert(none);
    }

    /// A word without a stream: a voter's answer.
    pub fn reported(&mut self, now: Ns, name: &str, number: u64) {
        let streams = self.all.get(name).map_or(0, |r| r.streams);
        self.all.insert(name.to_owned(), Reader { number, heard: now, came: true, streams });
    }

    /// A stream of it is over.
    pub fn disconnected(&mut self, name: &str) {
        if let Some(r) = self.all.get_mut(name) {
            r.streams = r.streams.saturating_sub(1);
        }
    }

    fn missing(&self, now: Ns, r: &Reader) -> bool {
        now.saturating_sub(r.heard) > self.missed
    }

    /// What all have that count, and this program itself up to `own`, as of up to 50 ms ago. It never falls:
    /// one that begins behind it is waited for before it rises again.
    pub fn floor(&mut self, now: Ns, own: u64) -> u64 {
        if now < self.due {
            return self.floor;
        }
        self.due = now + EVERY;
        let forgotten = self.forgotten;
        self.all.retain(|_, r| r.streams > 0 || now.saturating_sub(r.heard) <= forgotten);
        let counted = self.all.values().filter(|r| !self.missing(now, r)).map(|r| r.number);
        let least = counted.min().map_or(own, |n| n.min(own));
        self.floor = self.floor.max(least);
        self.floor
    }

    /// From here on the floor is everybody's, not that of its own readers alone: it rises from nothing.
    pub fn reset_floor(&mut self) {
        (self.floor, self.due) = (0, 0);
    }

    /// Notes that the floor stands for all there are, at this Unix ms: the owner's is.
    pub fn record_floor(&mut self, unix: u64) {
        if self.floor > 0 && self.passed.back().is_none_or(|(n, _)| *n < self.floor) {
            if self.passed.len() >= self.most_passed {
                self.passed.pop_front();
            }
            self.passed.push_back((self.floor, unix));
        }
    }

    /// Numbers in force everywhere, each with since when (Unix ms), as far back as is kept.
    pub fn floor_history(&self) -> Vec<(u64, u64)> {
        self.passed.iter().copied().collect()
    }

    pub fn statuses(&self, now: Ns) -> Vec<SubscriberStatus> {
        let view = |(name, r): (&String, &Reader)| SubscriberStatus {
            name: name.clone(),
            number: r.number,
            last_seen_age_ms: r.came.then(|| now.saturating_sub(r.heard) / 1_000_000),
            connected: r.streams > 0,
            missing: self.missing(now, r),
        };
        self.all.iter().map(view).collect()
    }

    /// How many read here now.
    pub fn connected_count(&self) -> usize {
        self.all.values().filter(|r| r.streams > 0).count()
    }
}

/// A reader as all relays together know it: where it was heard last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergedSubscriber {
    pub name: String,
    pub number: u64,
    /// Its last word; none: it never came.
    #[serde(rename = "heard_unix_ms")]
    pub last_seen_unix_ms: Option<u64>,
    pub connected: bool,
    pub relay: String,
}

/// What several relays know together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    /// By name.
    #[serde(rename = "readers")]
    pub subscribers: Vec<MergedSubscriber>,
    /// Numbers in force at all that counted, each with since when (Unix ms), by number.
    #[serde(rename = "passed")]
    pub floor_history: Vec<(u64, u64)>,
    /// The highest number told anywhere.
    #[serde(rename = "last")]
    pub last_number: u64,
}

/// Where a number is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedStatus {
    pub number: u64,
    /// Since this Unix ms, at the latest, at all that counted then; none: not yet, or too long ago to be
    /// known.
    pub since_unix_ms: Option<u64>,
    /// Who has a lower number, each with when it was heard last: those that did not count among them.
    pub missing: Vec<MergedSubscriber>,
}

/// Each reader by its name, as the relay knows it that heard it last. What a relay says of itself counts, not
/// what others heard of it.
pub fn merge_statuses(all: &[RelayStatus]) -> FleetView {
    let mut readers: BTreeMap<String, MergedSubscriber> = BTreeMap::new();
    for s in all {
        let (name, relay) = (s.name.clone(), s.name.clone());
        let own = MergedSubscriber {
            name,
            number: s.last_number,
            last_seen_unix_ms: Some(s.unix_ms),
            connected: true,
            relay,
        };
        readers.insert(s.name.clone(), own);
    }
    for s in all {
        for v in s.subscribers.iter().filter(|v| all.iter().all(|o| o.name != v.name)) {
            let one = MergedSubscriber {
                name: v.name.clone(),
                number: v.number,
                last_seen_unix_ms: v.last_seen_age_ms.map(|ago| s.unix_ms.saturating_sub(ago)),
                connected: v.connected,
                relay: s.name.clone(),
            };
            let of = |m: &MergedSubscriber| (m.last_seen_unix_ms, m.number);
            if readers.get(&v.name).is_none_or(|known| of(&one) > of(known)) {
                readers.insert(v.name.clone(), one);
            }
        }
    }
    let mut passed: BTreeMap<u64, u64> = BTreeMap::new();
    for (n, unix) in all.iter().flat_map(|s| &s.floor_history) {
        let since = passed.entry(*n).or_insert(*unix);
        *since = (*since).min(*unix);
    }
    let last = all.iter().map(|s| s.last_number).max().unwrap_or(0);
    FleetView {
        subscribers: readers.into_values().collect(),
        floor_history: passed.into_iter().collect(),
        last_number: last,
    }
}

impl FleetView {
    pub fn applied_status(&self, number: u64) -> AppliedStatus {
        let since = self.floor_history.iter().filter(|(n, _)| *n >= number).map(|(_, unix)| *unix).min();
        let missing = self.subscribers.iter().filter(|r| r.number < number).cloned().collect();
        AppliedStatus { number, since_unix_ms: since, missing }
    }
}
