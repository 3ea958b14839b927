//! Limits the log lines about what others do wrong: who sends much that is faulty must not fill the log.

use sablecross::Ns;

const MAX_LINES: u32 = 10;
const WINDOW: Ns = 1_000_000_000;

/// Admits ten lines a second and counts those it leaves out.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    window_start: Ns,
    /// Lines that came in this window.
    count: u32,
    /// Lines left out since the last one that was admitted.
    suppressed: u64,
}

impl LogRateLimiter {
    /// Whether a line may be written now, and how many were left out before it.
    pub(crate) fn admit(&mut self, now: Ns) -> Option<u64> {
        if now >= self.window_start.saturating_add(WINDOW) {
            (self.window_start, self.count) = (now, 0);
        }
        self.count += 1;
        if self.count > MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Writes a warning, if it may be written now.
    pub(crate) fn warn(&mut self, now: Ns, line: impl FnOnce() -> String) {
        match self.admit(now) {
            Some(0) => tracing::warn!("{}", line()),
            Some(suppressed) => tracing::warn!("{}; {suppressed} such lines left out before", line()),
            None => {}
        }
    }
}
