//! Lines on what others do wrong: ten a second at most, so that nobody fills the log.

use sablecross_coordination::Ns;

const SPAN: Ns = 1_000_000_000;
const MOST: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
pub struct LogRateLimiter {
    since: Ns,
    said: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Whether one may be said now: with how many were left out since the last.
    pub fn next(&mut self, now: Ns) -> Option<u64> {
        if now >= self.since + SPAN {
            (self.since, self.said) = (now, 0);
        }
        if self.said >= MOST {
            self.left_out += 1;
            return None;
        }
        self.said += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
