//! The local clock: monotonic time alone. The wall clock may step at any time, so nothing is measured by it.

use std::time::{Duration, Instant};

use sablecross::Ns;

pub const NS_PER_MS: Ns = 1_000_000;

/// What the clock tells at the start of the program. Spans that reach back before it stay in range.
const START: Ns = 2 * 366 * 86_400 * 1_000 * NS_PER_MS;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Nanoseconds of local time.
    pub fn now(&self) -> Ns {
        let elapsed = u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        START.saturating_add(elapsed)
    }

    pub fn until(&self, at: Ns) -> Duration {
        Duration::from_nanos(at.saturating_sub(self.now()))
    }
}
