//! Warming of cold caches, with simulated fetches.

use sablecross_coordination::*;

const SEC: Ns = 1_000_000_000;
const LIMITS: WarmingLimits = WarmingLimits {
    warm_requests_per_second: 40.0,
    capacity_share: 0.25,
    initial_share: 0.25,
    warm_up_time: 10 * SEC,
    fetch_timeout: SEC / 2,
    max_objects: 100,
};

fn objects(n: u64) -> Vec<HotObject> {
    (0..n).map(|object| HotObject { object, part: 0, class: 0 }).collect()
}

/// Answers each fetch after `duration`. Returns the number of fetches by cache 7 in each second.
fn run_fetches(
    warmer: &mut CacheWarmer,
    seconds: u64,
    duration: Ns,
    outcome: impl Fn(u64) -> FetchOutcome,
) -> Vec<usize> {
    let mut fetches = vec![0; seconds as usize];
    let (mut now, mut outstanding, mut n) = (100 * SEC, None, 0);
    while now < (100 + seconds) * SEC {
        now += SEC / 1_000;
        if outstanding.is_some_and(|at| now >= at + duration) {
            outstanding = None;
            n += 1;
            warmer.on_fetch_ended(now, 7, outcome(n));
        }
        for _ in warmer.take_due(now) {
            assert!(outstanding.is_none() || duration > LIMITS.fetch_timeout, "one fetch at a time");
            outstanding = Some(now);
            fetches[((now / SEC) - 100) as usize] += 1;
        }
    }
    fetches
}

#[test]
fn cold_cache_is_warmed_within_its_capacity_until_it_is_warm() {
    let mut warmer = CacheWarmer::new(LIMITS);
    warmer.update_caches(100 * SEC, &[(7, 100 * SEC), (8, 0), (9, 80 * SEC)].into());
    assert_eq!(warmer.caches().collect::<Vec<_>>(), [7], "only the cold cache with a known start time");
    warmer.set_objects(7, &objects(1_000));
    let fetches = run_fetches(&mut warmer, 14, SEC / 50, |_| FetchOutcome::Fetched);
    // At most a quarter of 40 requests per second, times the warmth, which starts at a quarter and rises.
    for (second, n) in fetches.iter().enumerate() {
        let warmth = (0.25 + 0.075 * (second as f64 + 1.0)).min(1.0);
        assert!(*n as f64 <= 10.0 * warmth + 1.0, "second {second}: {n}");
    }
    assert!(fetches[8] > 2 * fetches[0] && fetches[0] >= 2, "{fetches:?}");
    assert_eq!(fetches[10..], [0; 4], "the cache is warm");
}

#[test]
fn pause_grows_while_a_cache_is_busy() {
    let mut warmer = CacheWarmer::new(LIMITS);
    warmer.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
    warmer.set_objects(7, &objects(1_000));
    let fetches: usize = run_fetches(&mut warmer, 9, SEC / 50, |_| FetchOutcome::Busy).iter().sum();
    assert!(fetches <= 4, "{fetches}");
    // A cache that never answers is treated in the same way.
    let mut warmer = CacheWarmer::new(LIMITS);
    warmer.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
    warmer.set_objects(7, &objects(1_000));
    let fetches: usize = run_fetches(&mut warmer, 9, 50 * SEC, |_| FetchOutcome::Fetched).iter().sum();
    assert!(fetches <= 4, "{fetches}");
}

#[test]
fn stale_token_stops_warming_and_no_object_is_fetched_twice() {
    let mut warmer = CacheWarmer::new(LIMITS);
    warmer.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
    warmer.set_objects(7, &objects(5));
    let fetches: usize = run_fetches(&mut warmer, 5, SEC / 50, |_| FetchOutcome::Fetched).iter().sum();
    warmer.set_objects(7, &objects(5));
    assert_eq!((fetches, warmer.take_due(106 * SEC)), (5, vec![]));
    warmer.set_objects(7, &objects(9));
    assert_eq!(warmer.take_due(107 * SEC).len(), 1);
    warmer.on_fetch_ended(107 * SEC, 7, FetchOutcome::StaleToken);
    warmer.set_objects(7, &objects(20));
    assert!(warmer.take_due(109 * SEC).is_empty() && warmer.next_wakeup() == Ns::MAX);
    // A restarted cache is warmed again.
    let mut warmer = CacheWarmer::new(LIMITS);
    warmer.update_caches(100 * SEC, &[(7, 100 * SEC)].into());
    warmer.set_objects(7, &objects(1));
    assert_eq!(warmer.take_due(100 * SEC).len(), 1);
    warmer.update_caches(101 * SEC, &[(7, 101 * SEC)].into());
    warmer.set_objects(7, &objects(1));
    assert_eq!(warmer.take_due(101 * SEC).len(), 1);
}
