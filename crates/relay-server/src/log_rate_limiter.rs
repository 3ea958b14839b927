//! Limits log lines on what others do wrong, so that nobody fills the log.

use sablecross_coordination::Ns;

const PERIOD: Ns = 1_000_000_000;
const MAX_LINES_PER_PERIOD: u32 = 10;

/// Admits a few lines a second and counts the rest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogRateLimiter {
    period_start: Ns,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Whether a line may be logged now: if so, how many were suppressed since the last.
    pub(crate) fn admit(&mut self, now: Ns) -> Option<u64> {
        if now >= self.period_start + PERIOD {
            self.period_start = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_PERIOD {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
