//! The subscribers of a relay, what each has applied, and the number that all have applied: a call with
//! `Last-Event-ID: n` says that n is applied there, so no other report is needed.

use std::collections::{BTreeMap, VecDeque};

use sablecross_coordination::Ns;

use crate::status::{AppliedSince, SubscriberStatus};

/// How often the floor is worked out: that goes through all subscribers.
const FLOOR_INTERVAL: Ns = 50_000_000;
const NS_PER_MS: Ns = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    /// What it has applied by its last report.
    applied: u64,
    /// When it last reported, or since when it is expected.
    last_seen: Ns,
    has_reported: bool,
    /// Streams that are open.
    streams: u32,
}

/// The subscribers of a relay by their names.
#[derive(Clone, Debug)]
pub struct Subscribers {
    by_name: BTreeMap<String, Subscriber>,
    missing_after: Ns,
    forget_after: Ns,
    floor: u64,
    next_floor_at: Ns,
    /// When the floor reached which number, the newest last.
    floor_history: VecDeque<AppliedSince>,
    max_floor_history: usize,
}

impl Subscribers {
    /// A subscriber that has not reported for `missing_after` doesn't hold the floor back, even with a stream;
    /// one without a stream is removed after `forget_after`. So many moments of the floor are kept.
    pub fn new(missing_after: Ns, forget_after: Ns, max_floor_history: usize) -> Subscribers {
        Subscribers {
            by_name: BTreeMap::new(),
            missing_after,
            forget_after,
            floor: 0,
            next_floor_at: 0,
            floor_history: VecDeque::new(),
            max_floor_history,
        }
    }

    /// Notes a call with this number, which is applied there. Its stream counts until `disconnected`.
    pub fn connected(&mut self, now: Ns, name: &str, applied: u64) {
        self.note_report(now, name, applied, 1);
    }

    /// Notes a report without a stream: a voter's answer.
    pub fn reported(&mut self, now: Ns, name: &str, applied: u64) {
        self.note_report(now, name, applied, 0);
    }

    fn note_report(&mut self, now: Ns, name: &str, applied: u64, new_streams: u32) {
        let streams = self.by_name.get(name).map_or(0, |known| known.streams) + new_streams;
        let subscriber = Subscriber { applied, last_seen: now, has_reported: true, streams };
        self.by_name.insert(name.to_owned(), subscriber);
    }

    /// Counts one that has yet to come as having applied nothing, unless it is known already.
    pub fn expect(&mut self, now: Ns, name: &str) {
        let expected = Subscriber { applied: 0, last_seen: now, has_reported: false, streams: 0 };
        self.by_name.entry(name.to_owned()).or_insert(expected);
    }

    /// Notes the end of a stream.
    pub fn disconnected(&mut self, name: &str) {
        if let Some(subscriber) = self.by_name.get_mut(name) {
            subscriber.streams = subscriber.streams.saturating_sub(1);
        }
    }

    fn is_missing(&self, now: Ns, subscriber: &Subscriber) -> bool {
        now.saturating_sub(subscriber.last_seen) > self.missing_after
    }

    /// What all subscribers that count have applied, and this relay itself up to `own`, as of up to 50 ms ago. It
    /// never falls: one that begins behind it is waited for before it rises again.
    pub fn floor(&mut self, now: Ns, own: u64) -> u64 {
        if now < self.next_floor_at {
            return self.floor;
        }
        self.next_floor_at = now + FLOOR_INTERVAL;
        let forget_after = self.forget_after;
        self.by_name.retain(|_, subscriber| {
            subscriber.streams > 0 || now.saturating_sub(subscriber.last_seen) <= forget_after
        });
        let counted = self.by_name.values().filter(|subscriber| !self.is_missing(now, subscriber));
        let lowest = counted.map(|subscriber| subscriber.applied).min().map_or(own, |min| min.min(own));
        self.floor = self.floor.max(lowest);
        self.floor
    }

    /// Lets the floor rise from 0 once more: from here on it stands for all relays, not for this one's own
    /// subscribers alone.
    pub fn reset_floor(&mut self) {
        self.floor = 0;
        self.next_floor_at = 0;
    }

    /// Notes that the floor is applied everywhere, at this Unix ms: it is the leader's.
    pub fn record_floor(&mut self, unix_ms: u64) {
        if self.floor > 0 && self.floor_history.back().is_none_or(|last| last.number < self.floor) {
            if self.floor_history.len() >= self.max_floor_history {
                self.floor_history.pop_front();
            }
            self.floor_history.push_back(AppliedSince { number: self.floor, unix_ms });
        }
    }

    /// Numbers that are applied everywhere, in rising order, as far back as is kept.
    pub fn floor_history(&self) -> Vec<AppliedSince> {
        self.floor_history.iter().copied().collect()
    }

    /// All subscribers by name.
    pub fn statuses(&self, now: Ns) -> Vec<SubscriberStatus> {
        let status = |(name, subscriber): (&String, &Subscriber)| SubscriberStatus {
            name: name.clone(),
            number: subscriber.applied,
            last_seen_age_ms: subscriber
                .has_reported
                .then(|| now.saturating_sub(subscriber.last_seen) / NS_PER_MS),
            connected: subscriber.streams > 0,
            missing: self.is_missing(now, subscriber),
        };
        self.by_name.iter().map(status).collect()
    }
}
