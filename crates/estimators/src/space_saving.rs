//! The most frequent keys of a stream, within a fixed memory.

use std::collections::HashMap;
use std::hash::Hash;

/// Keys whose count has decayed below this are dropped.
const MIN_COUNT: f64 = 1e-3;
/// Floor of the total, which is a divisor.
const MIN_TOTAL: f64 = 1e-9;

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: f64,
    /// How much of the count may belong to keys that had the counter before.
    max_error: f64,
}

/// The Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005). Every key with more than `total / counters` of everything
/// counted has a counter, and no counter exceeds the true count by more than that.
#[derive(Clone, Debug)]
pub struct SpaceSaving<K = u64> {
    capacity: usize,
    counters: HashMap<K, Counter>,
    total: f64,
}

impl<K: Copy + Ord + Hash> SpaceSaving<K> {
    /// A sketch with so many counters, one at least.
    pub fn new(capacity: usize) -> SpaceSaving<K> {
        SpaceSaving { capacity: capacity.max(1), counters: HashMap::new(), total: 0.0 }
    }

    /// Counts a key; a weight that is not positive is ignored.
    pub fn add(&mut self, key: K, weight: f64) {
        if weight.is_nan() || weight <= 0.0 {
            return;
        }
        self.total += weight;
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.count += weight;
        } else if self.counters.len() < self.capacity {
            self.counters.insert(key, Counter { count: weight, max_error: 0.0 });
        } else if let Some((replaced, Counter { count, .. })) = self.lowest() {
            self.counters.remove(&replaced);
            self.counters.insert(key, Counter { count: count + weight, max_error: count });
        }
    }

    /// The counter with the lowest count; of equal ones that of the lowest key, so that replays agree.
    fn lowest(&self) -> Option<(K, Counter)> {
        let all = self.counters.iter();
        let lowest = all.min_by(|a, b| a.1.count.total_cmp(&b.1.count).then(a.0.cmp(b.0)));
        lowest.map(|(key, counter)| (*key, *counter))
    }

    /// The keys with the highest counts, in descending order, with their counts.
    pub fn top(&self, max_keys: usize) -> Vec<(K, f64)> {
        let mut all: Vec<(K, f64)> =
            self.counters.iter().map(|(key, counter)| (*key, counter.count)).collect();
        sort_descending(&mut all);
        all.truncate(max_keys);
        all
    }

    /// Multiplies all counts by a factor between 0 and 1, to be called at the end of a time window.
    pub fn decay(&mut self, factor: f64) {
        let factor = factor.clamp(0.0, 1.0);
        self.total *= factor;
        self.counters.retain(|_, counter| {
            counter.count *= factor;
            counter.max_error *= factor;
            counter.count > MIN_COUNT
        });
    }

    /// The keys that surely have more than this share of the total, in descending order, with their shares.
    pub fn above_share(&self, min_share: f64) -> Vec<(K, f64)> {
        let total = self.total.max(MIN_TOTAL);
        let shares =
            self.counters.iter().map(|(key, counter)| (*key, (counter.count - counter.max_error) / total));
        let mut above: Vec<_> = shares.filter(|(_, share)| *share > min_share).collect();
        sort_descending(&mut above);
        above
    }
}

/// By value in descending order, then by key.
fn sort_descending<K: Ord>(values: &mut [(K, f64)]) {
    values.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
}
