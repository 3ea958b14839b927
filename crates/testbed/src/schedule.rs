//! Scheduling of actions, and random choice of their targets and times.

use rand::RngExt;
use rand_pcg::Pcg32;

/// Removes and returns the earliest action that is due. Times are in seconds.
pub(crate) fn take_due<T>(actions: &mut Vec<(f64, T)>, now: f64) -> Option<T> {
    let due = actions.iter().enumerate().filter(|(_, (at, _))| *at <= now);
    let (earliest, _) = due.min_by(|a, b| a.1.0.total_cmp(&b.1.0))?;
    Some(actions.remove(earliest).1)
}

/// Draws a random sample of this share of the numbers below `count`, with at least one number. `count` must not be 0.
pub(crate) fn sample(rng: &mut Pcg32, count: usize, share: f64) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..count).collect();
    let drawn = ((count as f64 * share).round() as usize).clamp(1, count);
    for i in 0..drawn {
        let other = rng.random_range(i..count);
        numbers.swap(i, other);
    }
    numbers.truncate(drawn);
    numbers
}

/// Draws the time in seconds until the next event of a Poisson process with `rate` events per second.
pub(crate) fn exponential_interval(rng: &mut Pcg32, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}
