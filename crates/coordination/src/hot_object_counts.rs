//! A voter's counts of the objects that the fleet requests most.

use std::collections::BTreeMap;

use crate::messages::HotObjectCount;
use crate::{HotObject, Ns};

/// The counts are halved after this time, or earlier when more than twice [`MAX_OBJECTS`] objects are counted.
const HALF_LIFE: Ns = 5_000_000_000;
/// At most this many objects are returned, or kept when the counts are halved.
const MAX_OBJECTS: usize = 512;
/// The most that one report adds to the count of an object.
const MAX_REPORTED_COUNT: f32 = 1e6;

/// Sums of the request counts that members report, with exponential decay.
#[derive(Clone, Debug)]
pub(crate) struct HotObjectCounts {
    counts: BTreeMap<HotObject, f32>,
    halved_at: Ns,
}

impl HotObjectCounts {
    pub(crate) fn new(now: Ns) -> HotObjectCounts {
        HotObjectCounts { counts: BTreeMap::new(), halved_at: now }
    }

    /// Adds the counts that a member reports.
    pub(crate) fn add(&mut self, now: Ns, reported: &[HotObjectCount]) {
        for HotObjectCount { object, count } in reported {
            if count.is_finite() && *count > 0.0 {
                *self.counts.entry(*object).or_default() += count.min(MAX_REPORTED_COUNT);
            }
        }
        if now >= self.halved_at + HALF_LIFE || self.counts.len() > 2 * MAX_OBJECTS {
            self.halved_at = now;
            self.halve();
        }
    }

    /// Halves all counts, and removes the objects with the lowest counts if there are more than [`MAX_OBJECTS`]. If
    /// several objects tie for the last place, all of them are removed.
    fn halve(&mut self) {
        let mut descending: Vec<f32> = self.counts.values().copied().collect();
        descending.sort_by(|a, b| b.total_cmp(a));
        let drop_threshold = descending.get(MAX_OBJECTS).copied().unwrap_or(0.0);
        self.counts.retain(|_, count| {
            let is_kept = *count > drop_threshold;
            *count /= 2.0;
            is_kept
        });
    }

    /// Returns the most requested objects, in descending order.
    pub(crate) fn hottest(&self) -> Vec<HotObject> {
        let mut all: Vec<(HotObject, f32)> =
            self.counts.iter().map(|(object, count)| (*object, *count)).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.into_iter().take(MAX_OBJECTS).map(|(object, _)| object).collect()
    }
}
