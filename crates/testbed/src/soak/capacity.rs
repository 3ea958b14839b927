//! The capacity of stub caches: which calls begin at once, which wait, and which are rejected.

use super::Seconds;
use super::invariants::{SLOW_START_INITIAL_SHARE, SLOW_START_SECONDS};

#[cfg(test)]
mod tests;

/// The capacity of a warm cache in calls per second.
pub(crate) const CACHE_CAPACITY: f64 = 100.0;
/// The longest time that a call waits to begin; a call that would wait longer is rejected.
pub(crate) const MAX_QUEUE_SECONDS: f64 = 0.1;

/// Returns the share of its warm capacity that a node has `age` seconds after its cold start.
pub(crate) fn slow_start_share(age: f64) -> f64 {
    let progress = (age / SLOW_START_SECONDS).clamp(0.0, 1.0);
    SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * progress
}

/// The capacity of a node, which grows after a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Capacity {
    /// The capacity in calls per second once the node is warm.
    pub(crate) warm: f64,
    /// When the node started cold; none if it was warm from the start.
    pub(crate) cold_since: Option<Seconds>,
}

impl Capacity {
    /// Returns the capacity in calls per second at this time.
    pub(crate) fn at(&self, now: Seconds) -> f64 {
        self.cold_since.map_or(self.warm, |since| self.warm * slow_start_share(now - since))
    }
}

/// How a node handles a call that it received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    /// The call begins at this time.
    BeginsAt(Seconds),
    /// The call is rejected as overload.
    Full,
}

/// A queue of the calls that a node has accepted. Each call takes 1 / capacity seconds.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionQueue {
    capacity: Capacity,
    /// When the last accepted call ends.
    free_at: Seconds,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub(crate) fn new(capacity: Capacity) -> AdmissionQueue {
        AdmissionQueue { capacity, free_at: 0.0 }
    }

    /// Accepts a call that arrives now, or rejects it if it would wait longer than `MAX_QUEUE_SECONDS`.
    pub(crate) fn admit(&mut self, now: Seconds) -> Admission {
        let begins_at = self.free_at.max(now);
        if begins_at - now > MAX_QUEUE_SECONDS {
            return Admission::Full;
        }
        self.free_at = begins_at + 1.0 / self.capacity.at(now);
        Admission::BeginsAt(begins_at)
    }
}
