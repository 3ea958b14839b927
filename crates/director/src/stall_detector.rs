//! How long bytes may have lain unread, as this process stood still: stopped, or held to a part of a core.

use std::time::Duration;

use sablecross::Ns;

use crate::clock::NS_PER_MS;

/// What is no longer than this is the way through the program.
const NOTICED: Ns = 20 * NS_PER_MS;

/// Watches the waits of one thread.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// When its last wait ended.
    woke: Ns,
    /// Found at waits that ended without telling what has come.
    carried: Ns,
}

impl StallDetector {
    pub fn new(now: Ns) -> StallDetector {
        StallDetector { woke: now, carried: 0 }
    }

    /// A wait of at most so long that began at `entered` is over. How long before now at most what is found then may
    /// have come, beside the length of the wait itself. One that was interrupted has not told what has come.
    pub fn on_wakeup(&mut self, entered: Ns, wait: Duration, now: Ns, interrupted: bool) -> Ns {
        let busy = entered.saturating_sub(self.woke);
        self.woke = now;
        let waited = now.saturating_sub(entered);
        let planned = u64::try_from(wait.as_nanos()).unwrap_or(Ns::MAX);
        // A wait that lasted longer than it could has ended late: what came may have come at its beginning.
        let overslept = if waited > planned.saturating_add(NOTICED) { waited } else { 0 };
        let unread = self.carried + busy + overslept;
        self.carried = if interrupted { unread } else { 0 };
        if unread > NOTICED { unread } else { 0 }
    }
}
