//! The timers of requests in flight.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sablecross::Ns;

use crate::events::RequestKey;

/// What a timer is for. Timers that are due at the same time fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt has reached its timeout.
    AttemptTimeout { key: RequestKey, attempt: usize },
    /// The router has asked for the request to be checked again.
    Check { key: RequestKey, generation: u32 },
}

impl Timer {
    fn key(&self) -> RequestKey {
        match self {
            Timer::AttemptTimeout { key, .. } | Timer::Check { key, .. } => *key,
        }
    }
}

/// A queue of timers, ordered by the time at which they are due. Timers of requests that are no longer in flight are
/// removed when the queue has grown too long, so that its length is bounded by the requests in flight.
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(Ns, Timer)>>,
    /// How far the queue may grow beyond twice the timers in use.
    slack: usize,
    /// The length at which timers that are no longer in use are removed.
    compact_at: usize,
}

impl TimerQueue {
    pub(super) fn new(slack: usize) -> TimerQueue {
        TimerQueue { timers: BinaryHeap::new(), slack, compact_at: 0 }
    }

    /// Adds a timer that is due at `at`. `is_in_flight` tells whether the request of a timer is still in flight.
    pub(super) fn schedule(&mut self, at: Ns, timer: Timer, is_in_flight: impl Fn(RequestKey) -> bool) {
        if self.timers.len() >= self.compact_at {
            self.timers.retain(|Reverse((_, timer))| is_in_flight(timer.key()));
            self.compact_at = self.slack + 2 * self.timers.len();
        }
        self.timers.push(Reverse((at, timer)));
    }

    /// Returns when the next timer is due.
    pub(super) fn next_deadline(&self) -> Option<Ns> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the next timer that is due.
    pub(super) fn pop_due(&mut self, now: Ns) -> Option<Timer> {
        if self.next_deadline()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }
}
