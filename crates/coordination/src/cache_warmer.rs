//! Warming of fresh caches by one owner: what the fleet asks for most and what belongs to a cache is fetched into it, one object at
//! a time and within a part of what it bears.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Ns;

/// A part of an object that is wanted much.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HotObject {
    pub object: u64,
    pub part: u32,
    /// The object kind by its number.
    #[serde(rename = "kind")]
    pub class: u16,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingLimits {
    /// Requests a second that a warm cache bears, and the part of what a cold one bears that warming may take.
    pub warm_requests_per_second: f64,
    pub capacity_share: f64,
    /// A cache begins at this part of what it bears, and is warm after this time.
    pub initial_share: f64,
    pub warm_up_time: Ns,
    /// A request without an answer is over after this.
    pub fetch_timeout: Ns,
    /// Objects that a cache is warmed with at most.
    pub max_objects: usize,
}

/// How a request of warming ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    Fetched,
    /// The cache, or where it fills from, is busy or in trouble: it is left alone for longer each time.
    Busy,
    /// A newer owner warms it: nothing more.
    StaleToken,
}

#[derive(Clone, Debug, Default)]
struct Fresh {
    since: Ns,
    todo: VecDeque<HotObject>,
    done: BTreeSet<HotObject>,
    due: Ns,
    out: Option<(HotObject, Ns)>,
    held: u32,
}

/// Each time that a cache was busy its pause doubles, up to this many times.
const MOST_HELD: u32 = 6;

#[derive(Clone, Debug)]
pub struct CacheWarmer {
    pace: WarmingLimits,
    boxes: BTreeMap<u64, Fresh>,
    fetched: u64,
    stopped: bool,
}

impl CacheWarmer {
    pub fn new(pace: WarmingLimits) -> CacheWarmer {
        CacheWarmer { pace, boxes: BTreeMap::new(), fetched: 0, stopped: false }
    }

    pub fn fetched_count(&self) -> u64 {
        self.fetched
    }

    /// Caches that are cold still, each with when it began; those that are named no more are left alone.
    pub fn update_caches(&mut self, now: Ns, fresh: &BTreeMap<u64, Ns>) {
        self.boxes.retain(|b, f| fresh.get(b) == Some(&f.since));
        for (b, since) in
            fresh.iter().filter(|(_, since)| **since > 0 && now < **since + self.pace.warm_up_time)
        {
            self.boxes.entry(*b).or_insert_with(|| Fresh { since: *since, due: now, ..Fresh::default() });
        }
    }

    /// The caches that are being warmed.
    pub fn caches(&self) -> impl Iterator<Item = u64> + '_ {
        self.boxes.keys().copied()
    }

    /// What belongs to a cache of what is wanted most, the most first.
    pub fn set_objects(&mut self, of: u64, wants: &[HotObject]) {
        let most = self.pace.max_objects;
        if let Some(f) = self.boxes.get_mut(&of) {
            let done = &f.done;
            let left = most.saturating_sub(done.len());
            f.todo = wants.iter().copied().filter(|w| !done.contains(w)).take(left).collect();
        }
    }

    fn warmth(&self, since: Ns, now: Ns) -> f64 {
        let age = now.saturating_sub(since) as f64 / self.pace.warm_up_time.max(1) as f64;
        (self.pace.initial_share + (1.0 - self.pace.initial_share) * age).clamp(1e-3, 1.0)
    }

    /// What is to be fetched now, and by which cache: one object at a time each.
    pub fn take_due(&mut self, now: Ns) -> Vec<(u64, HotObject)> {
        let pace = self.pace;
        if self.stopped {
            return Vec::new();
        }
        self.boxes.retain(|_, f| now < f.since + pace.warm_up_time);
        let mut due = Vec::new();
        for (b, f) in &mut self.boxes {
            if f.out.is_some_and(|(_, at)| now >= at + pace.fetch_timeout) {
                f.out = None;
                f.held = (f.held + 1).min(MOST_HELD);
                f.due = now + pace.fetch_timeout * (1 << f.held);
            }
            if f.out.is_none()
                && now >= f.due
                && let Some(want) = f.todo.pop_front()
            {
                f.out = Some((want, now));
                f.done.insert(want);
                due.push((*b, want));
            }
        }
        due
    }

    pub fn next_wakeup(&self) -> Ns {
        let at = |f: &Fresh| match f.out {
            Some((_, at)) => at + self.pace.fetch_timeout,
            None if f.todo.is_empty() => Ns::MAX,
            None => f.due,
        };
        if self.stopped { Ns::MAX } else { self.boxes.values().map(at).min().unwrap_or(Ns::MAX) }
    }

    pub fn on_fetch_ended(&mut self, now: Ns, of: u64, how: FetchOutcome) {
        if how == FetchOutcome::StaleToken {
            self.stopped = true;
        }
        let Some(f) = self.boxes.get(&of) else { return };
        let a_second =
            self.pace.warm_requests_per_second * self.pace.capacity_share * self.warmth(f.since, now);
        let gap = (1e9 / a_second.max(1e-3)) as Ns;
        let patience = self.pace.fetch_timeout;
        let Some(f) = self.boxes.get_mut(&of).filter(|f| f.out.is_some()) else { return };
        let began = f.out.take().map_or(now, |(_, at)| at);
        match how {
            FetchOutcome::Fetched => {
                self.fetched += 1;
                f.held = 0;
                // An answer that took longer than its share of time is a cache that is busy: the next one waits as long again.
                f.due = (began + gap).max(now + (now - began).min(gap));
            }
            FetchOutcome::Busy | FetchOutcome::StaleToken => {
                f.held = (f.held + 1).min(MOST_HELD);
                f.due = now + patience * (1 << f.held);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEC: Ns = 1_000_000_000;
    const PACE: WarmingLimits = WarmingLimits {
        warm_requests_per_second: 40.0,
        capacity_share: 0.25,
        initial_share: 0.25,
        warm_up_time: 10 * SEC,
        fetch_timeout: SEC / 2,
        max_objects: 100,
    };

    fn wants(n: u64) -> Vec<HotObject> {
        (0..n).map(|object| HotObject { object, part: 0, class: 0 }).collect()
    }

    /// Answers each request after `took`; how many there were in each second, by cache 7.
    fn run(w: &mut CacheWarmer, seconds: u64, took: Ns, how: impl Fn(u64) -> FetchOutcome) -> Vec<usize> {
        let mut came = vec![0; seconds as usize];
        let (mut now, mut out, mut n) = (100 * SEC, None, 0);
        while now < (100 + seconds) * SEC {
            now += SEC / 1_000;
            if out.is_some_and(|at| now >= at + took) {
                out = None;
                n += 1;
                w.on_fetch_ended(now, 7, how(n));
            }
            for _ in w.take_due(now) {
                assert!(out.is_none() || took > PACE.fetch_timeout, "one at a time");
                out = Some(now);
                came[((now / SEC) - 100) as usize] += 1;
            }
        }
        came
    }

    #[test]
    fn a_cold_cache_gets_a_part_of_what_it_bears_and_no_more_once_it_is_warm() {
        let mut w = CacheWarmer::new(PACE);
        w.update_caches(100 * SEC, &[(7, 100 * SEC), (8, 0), (9, 80 * SEC)].into());
        assert_eq!(
            w.caches().collect::<Vec<_>>(),
            [7],
            "neither one that runs for long nor one that is warm"
        );
        w.set_objects(7, &wants(1_000));
        let came = run(&mut w, 14, SEC / 50, |_| FetchOutcome::Fetched);
        // A quarter of 40 a second at a quarter of its warmth, then rising.
        for (second, n) in came.iter().enumerate() {
            let warmth = (0.25 + 0.075 * (second as f64 + 1.0)).min(1.0);
            assert!(*n as f64 <= 10.0 * warmth + 1.0, "second {second}: {n}");
        }
        assert!(came[8] > 2 * came[0] && came[0] >= 2, "{came:?}");
        assert_eq!(came[10..], [0; 4], "it is warm");
    }

    #[test]
    fn a_busy_cache_is_left_alone_for_longer_each_time() {
        let mut w = CacheWarmer::new(PACE);
        w.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
        w.set_objects(7, &wants(1_000));
        let came: usize = run(&mut w, 9, SEC / 50, |_| FetchOutcome::Busy).iter().sum();
        assert!(came <= 4, "{came}");
        // One that never answers: the same.
        let mut w = CacheWarmer::new(PACE);
        w.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
        w.set_objects(7, &wants(1_000));
        let came: usize = run(&mut w, 9, 50 * SEC, |_| FetchOutcome::Fetched).iter().sum();
        assert!(came <= 4, "{came}");
    }

    #[test]
    fn an_old_owner_stops_and_nothing_is_fetched_twice() {
        let mut w = CacheWarmer::new(PACE);
        w.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
        w.set_objects(7, &wants(5));
        let came: usize = run(&mut w, 5, SEC / 50, |_| FetchOutcome::Fetched).iter().sum();
        w.set_objects(7, &wants(5));
        assert_eq!((came, w.take_due(106 * SEC)), (5, vec![]));
        w.set_objects(7, &wants(9));
        assert_eq!(w.take_due(107 * SEC).len(), 1);
        w.on_fetch_ended(107 * SEC, 7, FetchOutcome::StaleToken);
        w.set_objects(7, &wants(20));
        assert!(w.take_due(109 * SEC).is_empty() && w.next_wakeup() == Ns::MAX);
        // A cache that began anew is another one.
        let mut w = CacheWarmer::new(PACE);
        w.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
        w.set_objects(7, &wants(1));
        assert_eq!(w.take_due(100 * SEC).len(), 1);
        w.update_caches(101 * SEC, &[(7, 101 * SEC)].into());
        w.set_objects(7, &wants(1));
        assert_eq!(w.take_due(101 * SEC).len(), 1);
    }
}
