//! Warms cold caches: fetches the objects that the fleet requests most into the cache that each belongs to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Ns;

/// Each fetch in a row that ends as busy or times out doubles the pause before the next one, up to this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Lower bounds of a cache's warmth and of the fetch rate, which prevent a division by zero.
const MIN_WARMTH: f64 = 1e-3;
const MIN_FETCHES_PER_SECOND: f64 = 1e-3;

/// A part of a frequently requested object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HotObject {
    /// The object's key.
    pub object: u64,
    /// The index of the part within the object.
    pub part: u32,
    /// The number of the request class in the settings.
    #[serde(rename = "kind")]
    pub class: u16,
}

/// Limits on how fast and how much caches are warmed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingLimits {
    /// The rate of requests that a warm cache can serve.
    pub warm_requests_per_second: f64,
    /// The share of a cold cache's capacity that warming may use, from 0 to 1.
    pub capacity_share: f64,
    /// The share of its warm capacity that a cache has when it starts, from 0 to 1. It grows linearly to 1 over
    /// `warm_up_time`.
    pub initial_share: f64,
    /// The age at which a cache counts as warm.
    pub warm_up_time: Ns,
    /// A fetch that is not answered within this time has failed.
    pub fetch_timeout: Ns,
    /// The largest number of objects fetched into one cache.
    pub max_objects: usize,
}

/// A fetch that is due: the caller makes the cache fetch the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The cache to be warmed.
    pub cache: u64,
    /// The object to fetch.
    pub object: HotObject,
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The cache holds the object.
    Fetched,
    /// The cache, or the node that it fills from, is overloaded or failing. Each such outcome in a row doubles the
    /// pause.
    Busy,
    /// The cache has admitted a newer holder of the role, so this holder stops all fetches.
    StaleToken,
}

#[derive(Clone, Debug, Default)]
struct ColdCache {
    started_at: Ns,
    queue: VecDeque<HotObject>,
    requested: BTreeSet<HotObject>,
    next_fetch_at: Ns,
    /// When the outstanding fetch was started, if there is one.
    fetch_started_at: Option<Ns>,
    /// The number of fetches in a row that ended as busy or timed out.
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
        match self.fetch_started_at {
            Some(fetch_started_at) => fetch_started_at + fetch_timeout,
            None if self.queue.is_empty() => Ns::MAX,
            None => self.next_fetch_at,
        }
    }
}

/// Warms each cold cache with one object at a time, using only a share of what the cold cache can serve. The holder
/// of the warming role uses one warmer for the duration of one lease.
#[derive(Clone, Debug)]
pub struct CacheWarmer {
    limits: WarmingLimits,
    caches: BTreeMap<u64, ColdCache>,
    is_stopped: bool,
}

impl CacheWarmer {
    /// Creates a warmer without caches.
    pub fn new(limits: WarmingLimits) -> CacheWarmer {
        CacheWarmer { limits, caches: BTreeMap::new(), is_stopped: false }
    }

    /// Replaces the set of caches, each with its start time. A start time of 0 is unknown, and the cache counts as
    /// warm. A restarted cache is warmed from the beginning again.
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

    /// Sets the objects to fetch into a cache, in descending order of requests. Objects that were already requested
    /// from it are skipped.
    pub fn set_objects(&mut self, cache: u64, objects: &[HotObject]) {
        if let Some(cold) = self.caches.get_mut(&cache) {
            let remaining = self.limits.max_objects.saturating_sub(cold.requested.len());
            let requested = &cold.requested;
            let new = objects.iter().copied().filter(|object| !requested.contains(object));
            cold.queue = new.take(remaining).collect();
        }
    }

    /// Takes the fetches that are due, at most one at a time per cache.
    pub fn take_due(&mut self, now: Ns) -> Vec<Fetch> {
        if self.is_stopped {
            return Vec::new();
        }
        let limits = self.limits;
        self.caches.retain(|_, cold| now < cold.started_at + limits.warm_up_time);
        let mut due = Vec::new();
        for (cache, cold) in &mut self.caches {
            if cold
                .fetch_started_at
                .is_some_and(|fetch_started_at| now >= fetch_started_at + limits.fetch_timeout)
            {
                cold.fetch_started_at = None;
                cold.back_off(now, limits.fetch_timeout);
            }
            if cold.fetch_started_at.is_none()
                && now >= cold.next_fetch_at
                && let Some(object) = cold.queue.pop_front()
            {
                cold.fetch_started_at = Some(now);
                cold.requested.insert(object);
                due.push(Fetch { cache: *cache, object });
            }
        }
        due
    }

    /// Returns when to call [`take_due`](Self::take_due) next.
    pub fn next_wakeup(&self) -> Ns {
        if self.is_stopped {
            return Ns::MAX;
        }
        let timeout = self.limits.fetch_timeout;
        self.caches.values().map(|cold| cold.next_wakeup(timeout)).min().unwrap_or(Ns::MAX)
    }

    /// Handles the end of a cache's outstanding fetch.
    pub fn on_fetch_ended(&mut self, now: Ns, cache: u64, outcome: FetchOutcome) {
        if outcome == FetchOutcome::StaleToken {
            self.is_stopped = true;
        }
        let interval = self.caches.get(&cache).map(|cold| self.fetch_interval(cold, now));
        let (Some(interval), Some(cold)) = (interval, self.caches.get_mut(&cache)) else { return };
        let Some(fetch_started_at) = cold.fetch_started_at.take() else { return };
        match outcome {
            FetchOutcome::Fetched => {
                cold.busy_count = 0;
                // A slow answer indicates a busy cache: the next fetch waits as long again as the answer took, up to
                // one interval.
                cold.next_fetch_at =
                    (fetch_started_at + interval).max(now + (now - fetch_started_at).min(interval));
            }
            FetchOutcome::Busy | FetchOutcome::StaleToken => {
                cold.back_off(now, self.limits.fetch_timeout);
            }
        }
    }

    /// Returns the time between two fetches at the cache's current warmth.
    fn fetch_interval(&self, cold: &ColdCache, now: Ns) -> Ns {
        let capacity = self.limits.warm_requests_per_second * self.limits.capacity_share;
        let fetches_per_second = capacity * self.warmth(cold.started_at, now);
        (1e9 / fetches_per_second.max(MIN_FETCHES_PER_SECOND)) as Ns
    }

    /// Returns the share of its warm capacity that a cache has, which grows linearly with its age.
    fn warmth(&self, started_at: Ns, now: Ns) -> f64 {
        let initial = self.limits.initial_share;
        let age = now.saturating_sub(started_at) as f64 / self.limits.warm_up_time.max(1) as f64;
        (initial + (1.0 - initial) * age).clamp(MIN_WARMTH, 1.0)
    }
}
