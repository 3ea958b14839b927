//! One Unix base, taken at the start, plus monotonic time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sablecross::Ns;

pub const MS: Ns = 1_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Ns,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: ns(base), start: Instant::now() }
    }

    /// Unix time in nanoseconds.
    pub fn now(&self) -> Ns {
        self.base + ns(self.start.elapsed())
    }

    pub fn until(&self, at: Ns) -> Duration {
        Duration::from_nanos(at.saturating_sub(self.now()))
    }
}

fn ns(d: Duration) -> Ns {
    u64::try_from(d.as_nanos()).unwrap_or(u64::MAX)
}
