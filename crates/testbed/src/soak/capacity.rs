//! How many calls stand-in caches bear: what a cache serves at once, what waits for its turn, what is turned away.

use super::Seconds;
use super::invariants::{SLOW_START_INITIAL_SHARE, SLOW_START_SECONDS};

#[cfg(test)]
mod tests;

/// The calls a second that a warm cache bears.
pub(crate) const CACHE_CAPACITY: f64 = 100.0;
/// The longest time, in seconds, that a call waits for its turn; what would wait longer is turned away.
pub(crate) const MAX_QUEUE_SECONDS: f64 = 0.1;

/// The share of its capacity that a node bears so many seconds after its cold start.
pub(crate) fn slow_start_share(age: f64) -> f64 {
    let progress = (age / SLOW_START_SECONDS).clamp(0.0, 1.0);
    SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * progress
}

/// The capacity of a node over its life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Capacity {
    /// Calls a second that it bears once it is warm.
    pub(crate) warm: f64,
    /// When it started cold; none if it was warm from the start.
    pub(crate) cold_since: Option<Seconds>,
}

impl Capacity {
    /// Calls a second that it bears at this time.
    pub(crate) fn at(&self, now: Seconds) -> f64 {
        self.cold_since.map_or(self.warm, |since| self.warm * slow_start_share(now - since))
    }
}

/// What a node does with a call that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    /// It is begun at this time.
    BeginsAt(Seconds),
    /// It is turned away.
    Full,
}

/// The calls that a node has accepted, each of which takes one call's part of a second of its capacity.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionQueue {
    capacity: Capacity,
    /// When the last accepted call ends.
    free_at: Seconds,
}

impl AdmissionQueue {
    /// A queue without calls.
    pub(crate) fn new(capacity: Capacity) -> AdmissionQueue {
        AdmissionQueue { capacity, free_at: 0.0 }
    }

    /// Accepts a call that comes now, or turns it away.
    pub(crate) fn admit(&mut self, now: Seconds) -> Admission {
        let begins_at = self.free_at.max(now);
        if begins_at - now > MAX_QUEUE_SECONDS {
            return Admission::Full;
        }
        self.free_at = begins_at + 1.0 / self.capacity.at(now);
        Admission::BeginsAt(begins_at)
    }
}
