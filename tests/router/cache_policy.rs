//! The maximum age of copies, purges and bursts.

use std::collections::BTreeSet;

use rustix::time::{ClockId, clock_gettime};
use sablecross::*;

use crate::support::*;

#[test]
fn no_answer_is_older_than_a_known_purge() {
    let fresh =
        RequestClass { fresh_for: 20 * SEC, stale_for: 30 * SEC, ..class_with_effect(Effect::Idempotent) };
    let case_settings = Settings { request_classes: vec![fresh], ..settings() };
    // (purged object, purged group, age of the purge, time from the purge's report to the request, expected maximum
    // age)
    let cases = [
        (Some(5), 9, SEC, 0, Some(SEC)),
        (Some(5), 9, 0, 0, Some(1)),
        (Some(5), 9, SEC, 2 * SEC, Some(3 * SEC)),
        // The purge counts beyond the propagation window too: a director that does not know it yet may have had an
        // outdated copy filled again.
        (Some(5), 9, SEC, 9 * SEC, Some(10 * SEC)),
        (Some(5), 9, SEC, 150 * SEC, None),
        (Some(6), 3, SEC, 0, None),
        (None, 3, SEC, 0, Some(SEC)),
        (None, 4, SEC, 0, None),
    ];
    for (object, group, age, elapsed, expected) in cases {
        let mut router = router_with(case_settings.clone(), &endpoint_list(3, 2));
        router.record_purge(START, object, group, age);
        router.record_purge(START, object, group, age + 3 * SEC);
        let now = START + elapsed;
        let mut request = new_request(5, now);
        let RouteDecision::Attempt(spec) = route_and_record(&mut router, now, &mut request) else {
            panic!("no attempt")
        };
        assert_eq!(spec.max_age, expected, "{object:?} {group} {age} {elapsed}");
        // A further attempt after a failed fill accepts a stale copy, but none from before the purge.
        finish_last(&mut router, now + 10 * MS, &mut request, Outcome::Overloaded);
        let RouteDecision::Attempt(spec) = route_and_record(&mut router, now + 10 * MS, &mut request) else {
            panic!("no second attempt")
        };
        assert_eq!(
            spec.max_age,
            expected
                .map(|age| (age + 10 * MS).max(10 * MS))
                .or(Some(50 * SEC))
                .map(|age| { if age == 10 * MS + 1 { 10 * MS } else { age } })
        );
    }
}

/// The processor time of this thread. Unlike wall-clock time, it does not advance while other threads run.
fn thread_cpu_time() -> Ns {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as Ns * SEC + time.tv_nsec as Ns
}

#[test]
fn cost_of_a_purge_does_not_grow_with_known_purges() {
    // Examining all known purges at each purge made 350 purges per second cost a hundred times as much as 35.
    let time = |known: u64| {
        let mut best = Ns::MAX;
        for _ in 0..3 {
            let mut router = router_with(settings(), &endpoint_list(3, 2));
            (0..known).for_each(|object| router.record_purge(START, Some(object), 0, 0));
            let start = thread_cpu_time();
            (0..2_000).for_each(|n| router.record_purge(START + n * 100_000, Some(n % known), 0, 0));
            best = best.min(thread_cpu_time() - start);
        }
        best
    };
    let (few, many) = (time(1_000), time(64_000));
    assert!(many < few * 16, "{few} ns among 1,000, {many} ns among 64,000");
}

#[test]
fn bursts_need_history_and_deviation_and_end() {
    // (a quarter of the requests for other objects in each window of about 2 s, whether the hot object is then in
    // burst)
    let varied = [40, 60, 50, 45, 55, 50, 62, 41, 50, 47, 53, 50];
    let cases: [(&[u64], bool); 3] = [(&varied, true), (&[50; 12], false), (&varied[..2], false)];
    for (windows, is_burst) in cases {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let mut now = START + MS;
        for &count in windows {
            for i in 0..count * 4 {
                route_and_finish(&mut router, now + i, 10_000 + i, MS, Outcome::Success);
            }
            now += 2 * SEC + 3 * MS;
        }
        router.take_log_lines();
        let mut nodes = BTreeSet::new();
        for i in 0..400 {
            if let Some(spec) = route_and_finish(&mut router, now + i * MS, 3, MS, Outcome::Success) {
                nodes.insert(spec.node);
            }
        }
        assert_eq!(count_log_lines(&mut router, "burst object=3"), usize::from(is_burst), "{windows:?}");
        assert_eq!(nodes.len(), if is_burst { 3 } else { 1 });
        now += 5 * SEC;
        route_and_finish(&mut router, now, 3, MS, Outcome::Success);
        route_and_finish(&mut router, now + 3 * SEC, 3, MS, Outcome::Success);
        assert_eq!(count_log_lines(&mut router, "burst over"), usize::from(is_burst), "{windows:?}");
    }
}
