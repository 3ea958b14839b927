//! How late this program's own threads are woken: a machine that is too busy makes the stand-ins late, and what they saw
//! then says nothing of the directors.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// The pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// The longest lateness that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
const PERCENTILE: f64 = 99.9;

/// How late the samples and the clients were, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lateness {
    /// The 99.9th percentile.
    pub p999: f64,
    /// The latest.
    pub worst: f64,
    /// The longest time that a client took to write the last piece of a request.
    pub longest_write: f64,
}

impl Lateness {
    /// The latest of all.
    pub fn latest(&self) -> f64 {
        self.worst.max(self.longest_write)
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p999, worst, write) = (self.p999 * 1e3, self.worst * 1e3, self.longest_write * 1e3);
        write!(
            f,
            "own threads late by {p999:.1} ms at the 99.9th percentile, {worst:.1} ms at most; longest write {write:.1} ms"
        )
    }
}

/// A thread that sleeps and notes how late it wakes.
pub(crate) struct LatenessSampler {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Lateness>,
}

impl LatenessSampler {
    /// Starts sampling.
    pub(crate) fn start() -> LatenessSampler {
        let over = Arc::new(AtomicBool::new(false));
        let is_over = Arc::clone(&over);
        LatenessSampler { over, thread: thread::spawn(move || sample(&is_over)) }
    }

    /// Ends sampling.
    pub(crate) fn finish(self) -> Lateness {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn sample(is_over: &AtomicBool) -> Lateness {
    // The bounds are valid; without a histogram nothing would be measured.
    let Ok(mut late) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3) else {
        return Lateness::default();
    };
    while !is_over.load(Ordering::Relaxed) {
        let due = Instant::now() + SAMPLE_INTERVAL;
        thread::sleep(SAMPLE_INTERVAL);
        let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(MAX_MICROS);
        late.saturating_record(micros);
    }
    let seconds = |micros: u64| micros as f64 / 1e6;
    let (p999, worst) = (seconds(late.value_at_percentile(PERCENTILE)), seconds(late.max()));
    Lateness { p999, worst, longest_write: 0.0 }
}
