//! Finds the most frequent keys of a stream in bounded memory.

use std::collections::HashMap;
use std::hash::Hash;

/// Keys whose count decays to this value or below are dropped.
const MIN_COUNT: f64 = 1e-3;
/// A lower bound that keeps the total above zero where it is a divisor.
const MIN_TOTAL: f64 = 1e-9;

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: f64,
    /// The largest part of the count that may belong to keys that used the counter before.
    max_error: f64,
}

/// The Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005).
///
/// Every key whose weight exceeds `total / counters` has a counter, and no counter exceeds the true weight of its key
/// by more than `total / counters`.
#[derive(Clone, Debug)]
pub struct SpaceSaving<K = u64> {
    capacity: usize,
    counters: HashMap<K, Counter>,
    total: f64,
}

impl<K: Copy + Ord + Hash> SpaceSaving<K> {
    /// Creates a sketch with `capacity` counters, at least one.
    pub fn new(capacity: usize) -> SpaceSaving<K> {
        SpaceSaving { capacity: capacity.max(1), counters: HashMap::new(), total: 0.0 }
    }

    /// Adds weight to the count of a key. A weight that is not positive is ignored.
    pub fn add(&mut self, key: K, weight: f64) {
        if weight.is_nan() || weight <= 0.0 {
            return;
        }
        self.total += weight;
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.count += weight;
        } else if self.counters.len() < self.capacity {
            self.counters.insert(key, Counter { count: weight, max_error: 0.0 });
        } else if let Some((replaced, Counter { count, .. })) = self.min_counter() {
            self.counters.remove(&replaced);
            self.counters.insert(key, Counter { count: count + weight, max_error: count });
        }
    }

    /// Returns the counter with the lowest count. Ties go to the lowest key, so that replays are deterministic.
    fn min_counter(&self) -> Option<(K, Counter)> {
        let all = self.counters.iter();
        let lowest = all.min_by(|a, b| a.1.count.total_cmp(&b.1.count).then(a.0.cmp(b.0)));
        lowest.map(|(key, counter)| (*key, *counter))
    }

    /// Returns up to `max_keys` keys with the highest counts, and their counts, in descending order.
    pub fn top(&self, max_keys: usize) -> Vec<(K, f64)> {
        let mut all: Vec<(K, f64)> =
            self.counters.iter().map(|(key, counter)| (*key, counter.count)).collect();
        sort_descending(&mut all);
        all.truncate(max_keys);
        all
    }

    /// Multiplies all counts by a factor between 0 and 1, and drops those that become negligible. Callers do this
    /// at the end of each time window.
    pub fn decay(&mut self, factor: f64) {
        let factor = factor.clamp(0.0, 1.0);
        self.total *= factor;
        self.counters.retain(|_, counter| {
            counter.count *= factor;
            counter.max_error *= factor;
            counter.count > MIN_COUNT
        });
    }

    /// Returns the keys that are guaranteed to have more than `min_share` of the total, and the lower bounds of their
    /// shares, in descending order.
    pub fn heavy_hitters(&self, min_share: f64) -> Vec<(K, f64)> {
        let total = self.total.max(MIN_TOTAL);
        let shares =
            self.counters.iter().map(|(key, counter)| (*key, (counter.count - counter.max_error) / total));
        let mut heavy_hitters: Vec<_> = shares.filter(|(_, share)| *share > min_share).collect();
        sort_descending(&mut heavy_hitters);
        heavy_hitters
    }
}

/// Sorts by value in descending order, then by key in ascending order.
fn sort_descending<K: Ord>(values: &mut [(K, f64)]) {
    values.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
}
