//! What is to be done at its time, and whom it strikes.

use rand::RngExt;
use rand_pcg::Pcg32;

/// Takes the earliest one whose time has come.
pub fn take_due<T>(acts: &mut Vec<(f64, T)>, now: f64) -> Option<T> {
    let all = acts.iter().enumerate().filter(|(_, (at, _))| *at <= now);
    let first = all.min_by(|a, b| a.1.0.total_cmp(&b.1.0)).map(|(n, _)| n)?;
    Some(acts.remove(first).1)
}

/// Some of so many, by chance: the part of them, and one at least.
pub fn sample(rng: &mut Pcg32, of: usize, part: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    let n = ((of as f64 * part).round() as usize).clamp(1, of);
    for i in 0..n {
        let other = rng.random_range(i..of);
        all.swap(i, other);
    }
    all.truncate(n);
    all
}

/// Seconds until the next of so many a second.
pub fn exponential_interval(rng: &mut Pcg32, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}
