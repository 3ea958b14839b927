//! The timers of requests in flight.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sablecross::Ns;

use crate::events::RequestKey;

/// What a timer is for. Timers of the same time go off in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt has had its time.
    AttemptTimeout { key: RequestKey, attempt: usize },
    /// The router wants to be asked again.
    Check { key: RequestKey, generation: u32 },
}

impl Timer {
    fn key(&self) -> RequestKey {
        match self {
            Timer::AttemptTimeout { key, .. } | Timer::Check { key, .. } => *key,
        }
    }
}

/// Timers by their time. Those of requests that are no longer in flight are removed once they are too many, so that
/// the queue is bounded by the requests in flight.
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(Ns, Timer)>>,
    /// How many timers may be kept beside twice those in use.
    slack: usize,
    /// At this length timers that are no longer in use are removed.
    compact_at: usize,
}

impl TimerQueue {
    pub(super) fn new(slack: usize) -> TimerQueue {
        TimerQueue { timers: BinaryHeap::new(), slack, compact_at: 0 }
    }

    /// Adds a timer.
    pub(super) fn schedule(&mut self, at: Ns, timer: Timer, is_in_flight: impl Fn(RequestKey) -> bool) {
        if self.timers.len() >= self.compact_at {
            self.timers.retain(|Reverse((_, timer))| is_in_flight(timer.key()));
            self.compact_at = self.slack + 2 * self.timers.len();
        }
        self.timers.push(Reverse((at, timer)));
    }

    /// When the next timer goes off.
    pub(super) fn next_deadline(&self) -> Option<Ns> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// The next timer whose time has come.
    pub(super) fn pop_due(&mut self, now: Ns) -> Option<Timer> {
        if self.next_deadline()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }
}
