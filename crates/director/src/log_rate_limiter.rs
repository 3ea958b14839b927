//! Limits the number of log lines about faults of peers, so that a peer that sends many invalid messages can't fill the
//! log.

use sablecross::Ns;

const MAX_LINES_PER_WINDOW: u32 = 10;
const WINDOW: Ns = 1_000_000_000;

/// Admits ten lines per second, and counts the lines that it suppresses.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    window_start: Ns,
    /// Lines in the current window, whether admitted or suppressed.
    count: u32,
    /// Lines suppressed since the last admitted one.
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns how many lines were suppressed before this one, or `None` if this line must be suppressed as well.
    pub(crate) fn admit(&mut self, now: Ns) -> Option<u64> {
        if now >= self.window_start.saturating_add(WINDOW) {
            (self.window_start, self.count) = (now, 0);
        }
        self.count += 1;
        if self.count > MAX_LINES_PER_WINDOW {
            self.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Logs a warning, unless it must be suppressed.
    pub(crate) fn warn(&mut self, now: Ns, line: impl FnOnce() -> String) {
        match self.admit(now) {
            Some(0) => tracing::warn!("{}", line()),
            Some(suppressed) => tracing::warn!("{}; {suppressed} such lines left out before", line()),
            None => {}
        }
    }
}
