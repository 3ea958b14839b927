//! Log lines about what others do wrong, so many in a second: who sends much that is faulty must not fill the log.

use sablecross::Ns;

const MOST: u32 = 10;
const SPAN: Ns = 1_000_000_000;

#[derive(Debug, Default)]
pub struct LogRateLimiter {
    since: Ns,
    said: u32,
    /// Lines left out since the last one.
    held: u64,
}

impl LogRateLimiter {
    /// Whether a line may be written now, and how many were left out before it.
    pub fn admit(&mut self, now: Ns) -> Option<u64> {
        if now >= self.since.saturating_add(SPAN) {
            (self.since, self.said) = (now, 0);
        }
        self.said += 1;
        if self.said > MOST {
            self.held += 1;
            return None;
        }
        Some(std::mem::take(&mut self.held))
    }

    pub fn warn(&mut self, now: Ns, line: impl FnOnce() -> String) {
        match self.admit(now) {
            Some(0) => tracing::warn!("{}", line()),
            Some(held) => tracing::warn!("{}; {held} such lines left out before", line()),
            None => {}
        }
    }
}
