//! Detects how long input may have lain unread because this process was stopped, or limited to a part of a core.

use std::time::Duration;

use sablecross::Ns;

use crate::clock::NS_PER_MS;

#[cfg(test)]
mod tests;

/// Delays up to this length are usual while the program works, and are not reported.
const STALL_THRESHOLD: Ns = 20 * NS_PER_MS;

/// Observes the waits of one thread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallDetector {
    last_wakeup: Ns,
    /// How long input may have lain unread at the last wakeup, if the wait before it may not have reported all input;
    /// otherwise 0.
    carried_over: Ns,
}

impl StallDetector {
    /// Creates a detector for a thread that is awake at `now`.
    pub(crate) fn new(now: Ns) -> StallDetector {
        StallDetector { last_wakeup: now, carried_over: 0 }
    }

    /// Records the end of a wait that began at `wait_began` and was to last `max_wait` at most. Returns how long, at
    /// most, the input that is found now may have lain unread, not counting the wait itself if it ended in time. The
    /// result is 0 if that is no more than the stall threshold.
    ///
    /// A wait may not have reported all input if it was interrupted, if it found more than it could report, or if it
    /// ended late, so that more input arrived after it had found something. The next wait finds that input, so the time
    /// is carried over to it.
    pub(crate) fn on_wakeup(
        &mut self,
        wait_began: Ns,
        max_wait: Duration,
        now: Ns,
        has_reported_all: bool,
    ) -> Ns {
        let busy = wait_began.saturating_sub(self.last_wakeup);
        self.last_wakeup = now;
        let waited = now.saturating_sub(wait_began);
        let planned = u64::try_from(max_wait.as_nanos()).unwrap_or(Ns::MAX);
        // A wait that lasted longer than its maximum ended late, and the input may have arrived at its beginning.
        let overrun = if waited > planned.saturating_add(STALL_THRESHOLD) { waited } else { 0 };
        let unread = self.carried_over + busy + overrun;
        let may_have_missed = !has_reported_all || overrun > 0;
        self.carried_over = if may_have_missed { unread } else { 0 };
        if unread > STALL_THRESHOLD { unread } else { 0 }
    }

    /// Whether the next wait must return at once, to find the input that the last one may have missed. The time that was
    /// carried over is added to the age of all input that the next wait finds, so no other input may arrive during it.
    pub(crate) fn must_poll_again(&self) -> bool {
        self.carried_over > 0
    }
}
