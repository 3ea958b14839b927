//! The subscribers of a relay, the number that each has applied, and the floor: the number that all have applied. A
//! call with `Last-Event-ID: n` reports that the subscriber has applied n, so no other report is needed. Other relays
//! report their own floors instead: plain relays in a header of the call, voters in their answers to the leader.

use std::collections::{BTreeMap, VecDeque};

use sablecross_coordination::Ns;

use crate::status::{AppliedSince, SubscriberStatus};

/// The shortest time between two computations of the floor, each of which visits all subscribers.
const FLOOR_INTERVAL: Ns = 50_000_000;
const NS_PER_MS: Ns = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    /// The number that the subscriber had applied at its last report.
    applied: u64,
    /// When the subscriber last reported, or since when it is expected.
    last_seen: Ns,
    has_reported: bool,
    /// Number of open streams.
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
    /// Numbers that the floor has reached and when, the newest last.
    floor_history: VecDeque<AppliedSince>,
    max_floor_history: usize,
}

impl Subscribers {
    /// Creates an empty set. A subscriber that has not reported for `missing_after` doesn't hold the floor back,
    /// even if it has a stream; one without a stream is removed after `forget_after`. At most `max_floor_history`
    /// entries of the floor history are kept.
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

    /// Records a call of a subscriber that has applied this number. Its stream counts until `disconnected` is called.
    pub fn connected(&mut self, now: Ns, name: &str, applied: u64) {
        self.record_report(now, name, applied, 1);
    }

    /// Records a report without a stream, such as a voter's answer.
    pub fn reported(&mut self, now: Ns, name: &str, applied: u64) {
        self.record_report(now, name, applied, 0);
    }

    fn record_report(&mut self, now: Ns, name: &str, applied: u64, new_streams: u32) {
        let streams = self.by_name.get(name).map_or(0, |known| known.streams) + new_streams;
        let subscriber = Subscriber { applied, last_seen: now, has_reported: true, streams };
        self.by_name.insert(name.to_owned(), subscriber);
    }

    /// Counts a subscriber that has not reported yet as having applied nothing, unless it is already known.
    pub fn expect(&mut self, now: Ns, name: &str) {
        let expected = Subscriber { applied: 0, last_seen: now, has_reported: false, streams: 0 };
        self.by_name.entry(name.to_owned()).or_insert(expected);
    }

    /// Records the end of a stream.
    pub fn disconnected(&mut self, name: &str) {
        if let Some(subscriber) = self.by_name.get_mut(name) {
            subscriber.streams = subscriber.streams.saturating_sub(1);
        }
    }

    fn is_missing(&self, now: Ns, subscriber: &Subscriber) -> bool {
        now.saturating_sub(subscriber.last_seen) > self.missing_after
    }

    /// Returns the highest number that all subscribers that are not missing and this relay have applied;
    /// `own_number` is what this relay has applied. The result may be up to 50 ms old. It decreases only through
    /// `reset_floor`: if a new subscriber is behind the floor, the floor doesn't rise until that subscriber has
    /// caught up.
    pub fn floor(&mut self, now: Ns, own_number: u64) -> u64 {
        if now < self.next_floor_at {
            return self.floor;
        }
        self.next_floor_at = now + FLOOR_INTERVAL;
        let forget_after = self.forget_after;
        self.by_name.retain(|_, subscriber| {
            subscriber.streams > 0 || now.saturating_sub(subscriber.last_seen) <= forget_after
        });
        let counted = self.by_name.values().filter(|subscriber| !self.is_missing(now, subscriber));
        let lowest =
            counted.map(|subscriber| subscriber.applied).min().map_or(own_number, |min| min.min(own_number));
        self.floor = self.floor.max(lowest);
        self.floor
    }

    /// Resets the floor to 0. From then on, the floor stands for all relays and not only for this relay's own
    /// subscribers.
    pub fn reset_floor(&mut self) {
        self.floor = 0;
        self.next_floor_at = 0;
    }

    /// Adds the floor to the history, as applied everywhere at `unix_ms`. Only the leader's floor has this meaning.
    pub fn record_floor(&mut self, unix_ms: u64) {
        if self.floor > 0 && self.floor_history.back().is_none_or(|last| last.number < self.floor) {
            if self.floor_history.len() >= self.max_floor_history {
                self.floor_history.pop_front();
            }
            self.floor_history.push_back(AppliedSince { number: self.floor, unix_ms });
        }
    }

    /// Returns the kept numbers that were applied everywhere, in increasing order.
    pub fn floor_history(&self) -> Vec<AppliedSince> {
        self.floor_history.iter().copied().collect()
    }

    /// Returns the status of all subscribers in the order of their names.
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
