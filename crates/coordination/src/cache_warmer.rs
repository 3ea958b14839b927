//! Warming of cold caches: what the fleet requests most is fetched into the cache it belongs to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Ns;

/// Each time that a cache is busy the pause before its next fetch doubles, up to this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Floors of a cache's warmth and of the rate of fetches, so that nothing is divided by zero.
const MIN_WARMTH: f64 = 1e-3;
const MIN_FETCHES_PER_SECOND: f64 = 1e-3;

/// A part of an object that is requested often.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HotObject {
    /// The object's key.
    pub object: u64,
    /// Which part of the object.
    pub part: u32,
    /// The request class by its number in the settings.
    #[serde(rename = "kind")]
    pub class: u16,
}

/// How fast and how far caches are warmed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingLimits {
    /// Requests a second that a warm cache can serve.
    pub warm_requests_per_second: f64,
    /// The part of a cold cache's capacity that warming may use.
    pub capacity_share: f64,
    /// The part of its warm capacity that a cache has at its start; it grows to all of it over `warm_up_time`.
    pub initial_share: f64,
    /// A cache counts as warm at this age.
    pub warm_up_time: Ns,
    /// A fetch without an answer is over after this.
    pub fetch_timeout: Ns,
    /// A cache is warmed with this many objects at most.
    pub max_objects: usize,
}

/// A fetch that is due: the caller has the cache fetch the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The cache to be warmed.
    pub cache: u64,
    /// What it fetches.
    pub object: HotObject,
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The cache holds the object.
    Fetched,
    /// The cache, or the node it fills from, is overloaded or failing: the next fetch waits longer each time.
    Busy,
    /// The cache has admitted a newer holder of the role: no more fetches by this one.
    StaleToken,
}

#[derive(Clone, Debug, Default)]
struct ColdCache {
    started_at: Ns,
    queue: VecDeque<HotObject>,
    taken: BTreeSet<HotObject>,
    next_fetch_at: Ns,
    /// When the outstanding fetch was taken.
    fetching_since: Option<Ns>,
    /// How often in a row it was busy.
    busy_count: u32,
}

impl ColdCache {
    fn new(started_at: Ns, now: Ns) -> ColdCache {
        ColdCache { started_at, next_fetch_at: now, ..ColdCache::default() }
    }

    fn back_off(&mut self, now: Ns, pause: Ns) {
        self.busy_count = (self.busy_count + 1).min(MAX_BACKOFF_DOUBLINGS);
        self.next_fetch_at = now + pause * (1 << self.busy_count);
    }

    fn next_wakeup(&self, fetch_timeout: Ns) -> Ns {
        match self.fetching_since {
            Some(since) => since + fetch_timeout,
            None if self.queue.is_empty() => Ns::MAX,
            None => self.next_fetch_at,
        }
    }
}

/// Warms cold caches with one object at a time each, within a part of what a cold cache can serve. Used by the holder of
/// the warming role, for the duration of one lease.
#[derive(Clone, Debug)]
pub struct CacheWarmer {
    limits: WarmingLimits,
    caches: BTreeMap<u64, ColdCache>,
    is_stopped: bool,
}

impl CacheWarmer {
    /// A warmer that knows of no caches yet.
    pub fn new(limits: WarmingLimits) -> CacheWarmer {
        CacheWarmer { limits, caches: BTreeMap::new(), is_stopped: false }
    }

    /// Replaces the set of caches, each with when it started (0: not known, taken for warm). A cache that has restarted is
    /// warmed again from the beginning.
    pub fn update_caches(&mut self, now: Ns, started_at: &BTreeMap<u64, Ns>) {
        self.caches.retain(|cache, cold| started_at.get(cache) == Some(&cold.started_at));
        for (cache, started_at) in started_at {
            if *started_at > 0 && now < *started_at + self.limits.warm_up_time {
                self.caches.entry(*cache).or_insert_with(|| ColdCache::new(*started_at, now));
            }
        }
    }

    /// The caches that are being warmed.
    pub fn caches(&self) -> impl Iterator<Item = u64> + '_ {
        self.caches.keys().copied()
    }

    /// Sets what is to be fetched into a cache, the most requested first. Objects that were fetched before are skipped.
    pub fn set_objects(&mut self, cache: u64, objects: &[HotObject]) {
        if let Some(cold) = self.caches.get_mut(&cache) {
            let remaining = self.limits.max_objects.saturating_sub(cold.taken.len());
            let taken = &cold.taken;
            let new = objects.iter().copied().filter(|object| !taken.contains(object));
            cold.queue = new.take(remaining).collect();
        }
    }

    /// Takes the fetches that are due: at most one at a time for each cache.
    pub fn take_due(&mut self, now: Ns) -> Vec<Fetch> {
        if self.is_stopped {
            return Vec::new();
        }
        let limits = self.limits;
        self.caches.retain(|_, cold| now < cold.started_at + limits.warm_up_time);
        let mut due = Vec::new();
        for (cache, cold) in &mut self.caches {
            if cold.fetching_since.is_some_and(|since| now >= since + limits.fetch_timeout) {
                cold.fetching_since = None;
                cold.back_off(now, limits.fetch_timeout);
            }
            if cold.fetching_since.is_none()
                && now >= cold.next_fetch_at
                && let Some(object) = cold.queue.pop_front()
            {
                cold.fetching_since = Some(now);
                cold.taken.insert(object);
                due.push(Fetch { cache: *cache, object });
            }
        }
        due
    }

    /// When [`take_due`](Self::take_due) is to be called next.
    pub fn next_wakeup(&self) -> Ns {
        if self.is_stopped {
            return Ns::MAX;
        }
        let timeout = self.limits.fetch_timeout;
        self.caches.values().map(|cold| cold.next_wakeup(timeout)).min().unwrap_or(Ns::MAX)
    }

    /// The outstanding fetch of a cache has ended.
    pub fn on_fetch_ended(&mut self, now: Ns, cache: u64, outcome: FetchOutcome) {
        if outcome == FetchOutcome::StaleToken {
            self.is_stopped = true;
        }
        let gap = self.caches.get(&cache).map(|cold| self.fetch_interval(cold, now));
        let (Some(gap), Some(cold)) = (gap, self.caches.get_mut(&cache)) else { return };
        let Some(since) = cold.fetching_since.take() else { return };
        match outcome {
            FetchOutcome::Fetched => {
                cold.busy_count = 0;
                // An answer that took longer than its share of time shows a busy cache: the next fetch waits as long again.
                cold.next_fetch_at = (since + gap).max(now + (now - since).min(gap));
            }
            FetchOutcome::Busy | FetchOutcome::StaleToken => {
                cold.back_off(now, self.limits.fetch_timeout);
            }
        }
    }

    /// The time between two fetches by a cache as warm as it is now.
    fn fetch_interval(&self, cold: &ColdCache, now: Ns) -> Ns {
        let capacity = self.limits.warm_requests_per_second * self.limits.capacity_share;
        let fetches_per_second = capacity * self.warmth(cold.started_at, now);
        (1e9 / fetches_per_second.max(MIN_FETCHES_PER_SECOND)) as Ns
    }

    /// The part of its warm capacity that a cache has: grows linearly with its age.
    fn warmth(&self, started_at: Ns, now: Ns) -> f64 {
        let initial = self.limits.initial_share;
        let age = now.saturating_sub(started_at) as f64 / self.limits.warm_up_time.max(1) as f64;
        (initial + (1.0 - initial) * age).clamp(MIN_WARMTH, 1.0)
    }
}
