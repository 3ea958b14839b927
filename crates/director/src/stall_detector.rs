//! How long bytes may have lain unread as this process was stopped, or held to a part of a core.

use std::time::Duration;

use sablecross::Ns;

use crate::clock::NS_PER_MS;

#[cfg(test)]
mod tests;

/// What is no longer than this is the usual way through the program.
const THRESHOLD: Ns = 20 * NS_PER_MS;

/// Watches the waits of one thread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallDetector {
    last_wakeup: Ns,
    /// Found at a wait that may not have reported all that came before its end.
    carried_over: Ns,
}

impl StallDetector {
    /// The thread is awake now.
    pub(crate) fn new(now: Ns) -> StallDetector {
        StallDetector { last_wakeup: now, carried_over: 0 }
    }

    /// A wait of at most so long that began at `entered` is over. Returns how long before now, at most, what is found
    /// then may have come, beside the length of the wait itself; 0 if that is no more than usual. What a wait has not
    /// reported the next one finds: it was interrupted, or ended late, so that more may have come since it found something.
    pub(crate) fn on_wakeup(&mut self, entered: Ns, wait: Duration, now: Ns, has_reported_all: bool) -> Ns {
        let busy = entered.saturating_sub(self.last_wakeup);
        self.last_wakeup = now;
        let waited = now.saturating_sub(entered);
        let planned = u64::try_from(wait.as_nanos()).unwrap_or(Ns::MAX);
        // A wait that lasted longer than it could has ended late: what came may have come at its beginning.
        let overslept = if waited > planned.saturating_add(THRESHOLD) { waited } else { 0 };
        let unread = self.carried_over + busy + overslept;
        let may_have_missed = !has_reported_all || overslept > 0;
        self.carried_over = if may_have_missed { unread } else { 0 };
        if unread > THRESHOLD { unread } else { 0 }
    }

    /// Whether the next wait is to look at once for what the last one may have missed. What it finds counts from the last
    /// one's begin, so that nothing may come while it waits.
    pub(crate) fn must_look_again(&self) -> bool {
        self.carried_over > 0
    }
}
