//! The local clock: monotonic time alone. The wall clock may step at any time, so nothing is measured by it.

use std::time::{Duration, Instant};

use sablecross::Ns;

/// Nanoseconds in a millisecond.
pub const NS_PER_MS: Ns = 1_000_000;

/// The local time at which the program starts, two years: times before the start stay in range.
const START: Ns = 2 * 366 * 86_400 * 1_000 * NS_PER_MS;

/// A clock that begins with the program.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The local time in nanoseconds.
    pub fn now(&self) -> Ns {
        let elapsed = u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        START.saturating_add(elapsed)
    }

    /// The time that is left until then.
    pub fn until(&self, at: Ns) -> Duration {
        Duration::from_nanos(at.saturating_sub(self.now()))
    }
}
