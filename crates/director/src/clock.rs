//! The local clock. It uses monotonic time only, because the wall clock may step at any time.

use std::time::{Duration, Instant};

use sablecross::Ns;

/// The number of nanoseconds in a millisecond.
pub const NS_PER_MS: Ns = 1_000_000;

/// The number of nanoseconds in a second.
pub const NS_PER_S: Ns = 1_000 * NS_PER_MS;

/// The local time at which the program starts: two years, so that times before the start stay in range.
const START: Ns = 2 * 366 * 86_400 * 1_000 * NS_PER_MS;

/// A monotonic clock that starts with the program.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the local time in nanoseconds.
    pub fn now(&self) -> Ns {
        let elapsed = u64::try_from(self.start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        START.saturating_add(elapsed)
    }

    /// Returns the time left until `at`, or zero if `at` has passed.
    pub fn until(&self, at: Ns) -> Duration {
        Duration::from_nanos(at.saturating_sub(self.now()))
    }
}
