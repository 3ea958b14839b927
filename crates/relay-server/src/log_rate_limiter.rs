//! Limits the rate of log lines about faults of other programs, so that none of them can flood the log.

use sablecross_coordination::Ns;

const PERIOD_NS: Ns = 1_000_000_000;
const MAX_LINES_PER_PERIOD: u32 = 10;

/// Admits a limited number of lines each second and counts the suppressed ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogRateLimiter {
    period_start: Ns,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns `None` if a line must be suppressed now. Otherwise returns how many lines were suppressed since the last
    /// admitted one.
    pub(crate) fn admit(&mut self, now: Ns) -> Option<u64> {
        if now >= self.period_start + PERIOD_NS {
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
