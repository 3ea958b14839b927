//! Measures how late the threads of the soak run, and when: on a machine that is too busy the stubs run late, and the
//! times that they take then prove nothing about the directors.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::Seconds;
use super::evidence::{Evidence, TimeSpan};
use super::invariants::OBSERVER_TOLERANCE_SECONDS;

#[cfg(test)]
mod tests;

/// The pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// The longest lateness that the percentile distinguishes, in microseconds.
const MAX_LATENESS_MICROS: u64 = 60_000_000;
const REPORTED_PERCENTILE: f64 = 99.9;

/// The delays of one kind: the longest of all, and the spans of those that exceeded the tolerance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delays {
    longest: f64,
    past_tolerance: Vec<TimeSpan>,
}

impl Delays {
    /// Adds a delay that lasts from the time at which something was due to the time at which it was done.
    pub(crate) fn record(&mut self, delay: TimeSpan) {
        self.longest = self.longest.max(delay.duration());
        if delay.duration() > OBSERVER_TOLERANCE_SECONDS {
            self.past_tolerance.push(delay);
        }
    }

    /// Returns the longest delay in seconds.
    pub fn longest(&self) -> f64 {
        self.longest
    }
}

/// How late the sampling thread and the clients were.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lateness {
    /// The 99.9th percentile of the samples, in seconds.
    pub p999: f64,
    /// The delays of the sampling thread.
    pub samples: Delays,
    /// How long clients took to write the last piece of each request.
    pub writes: Delays,
}

impl Lateness {
    /// Returns the spans in which threads of the soak were late by more than the tolerance.
    pub fn past_tolerance(&self) -> impl Iterator<Item = &TimeSpan> {
        self.samples.past_tolerance.iter().chain(&self.writes.past_tolerance)
    }

    /// Whether threads of the soak were late by more than the tolerance at any time.
    pub fn is_past_tolerance(&self) -> bool {
        self.past_tolerance().next().is_some()
    }

    /// Returns the spans of lateness that make this evidence invalid.
    pub fn invalidating(&self, evidence: &Evidence) -> impl Iterator<Item = &TimeSpan> {
        self.past_tolerance().filter(|late| !evidence.holds_despite(late))
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p999, worst, write) =
            (self.p999 * 1e3, self.samples.longest() * 1e3, self.writes.longest() * 1e3);
        write!(
            f,
            "own threads late by {p999:.1} ms at the 99.9th percentile, {worst:.1} ms at most; longest write {write:.1} ms"
        )
    }
}

/// A thread that sleeps repeatedly and measures how late it wakes.
pub(crate) struct LatenessSampler {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Lateness>,
}

impl LatenessSampler {
    /// Starts the thread; `clock` returns the seconds since the soak began.
    pub(crate) fn start(clock: impl Fn() -> Seconds + Send + 'static) -> LatenessSampler {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        LatenessSampler { stop, thread: thread::spawn(move || sample(&clock, &stop_requested)) }
    }

    /// Stops the thread and returns its samples.
    pub(crate) fn finish(self) -> Lateness {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn sample(clock: &impl Fn() -> Seconds, stop_requested: &AtomicBool) -> Lateness {
    // The bounds are valid; without a histogram nothing would be measured.
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENESS_MICROS, 3) else {
        return Lateness::default();
    };
    let mut samples = Delays::default();
    while !stop_requested.load(Ordering::Relaxed) {
        let due = clock() + SAMPLE_INTERVAL.as_secs_f64();
        thread::sleep(SAMPLE_INTERVAL);
        let delay = TimeSpan { from: due, to: clock() };
        histogram.saturating_record((delay.duration() * 1e6) as u64);
        samples.record(delay);
    }
    let p999 = histogram.value_at_percentile(REPORTED_PERCENTILE) as f64 / 1e6;
    Lateness { p999, samples, writes: Delays::default() }
}
