//! What is asked for most, within a fixed memory.

use std::collections::HashMap;
use std::hash::Hash;

/// So many counters: any object with more than `total / counters` of what was counted has one, and its count is over
/// the truth by that much at most.
#[derive(Clone, Debug)]
pub struct SpaceSaving<K = u64> {
    counters: usize,
    /// Count, and how much of it may be another's.
    held: HashMap<K, (f64, f64)>,
    total: f64,
}

impl<K: Copy + Ord + Hash> SpaceSaving<K> {
    pub fn new(counters: usize) -> SpaceSaving<K> {
        SpaceSaving { counters: counters.max(1), held: HashMap::new(), total: 0.0 }
    }

    pub fn add(&mut self, object: K, weight: f64) {
        if weight.is_nan() || weight <= 0.0 {
            return;
        }
        self.total += weight;
        if let Some((count, _)) = self.held.get_mut(&object) {
            *count += weight;
            return;
        }
        if self.held.len() < self.counters {
            self.held.insert(object, (weight, 0.0));
            return;
        }
        // The least one gives way; of equals the one with the least number, so that replays agree.
        let least = self.held.iter().min_by(|a, b| a.1.0.total_cmp(&b.1.0).then(a.0.cmp(b.0)));
        if let Some((gone, least)) = least.map(|(object, (count, _))| (*object, *count)) {
            self.held.remove(&gone);
            self.held.insert(object, (least + weight, least));
        }
    }

    /// What has been counted most of late, the most first, with its count.
    pub fn top(&self, most: usize) -> Vec<(K, f64)> {
        let mut all: Vec<(K, f64)> = self.held.iter().map(|(k, (count, _))| (*k, *count)).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(most);
        all
    }

    /// All counts become this part of themselves: called at the end of a window.
    pub fn decay(&mut self, part: f64) {
        let part = part.clamp(0.0, 1.0);
        self.total *= part;
        self.held.retain(|_, (count, over)| {
            (*count, *over) = (*count * part, *over * part);
            *count > 1e-3
        });
    }

    /// Objects that surely have more than this part of all, the most first.
    pub fn above_share(&self, part: f64) -> Vec<(K, f64)> {
        let sure =
            |(object, (count, over)): (&K, &(f64, f64))| (*object, (count - over) / self.total.max(1e-9));
        let mut found: Vec<_> = self.held.iter().map(sure).filter(|(_, share)| *share > part).collect();
        found.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        found
    }
}
