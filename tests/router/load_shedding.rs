//! Concurrency limits, fill prices, overload and the limit on fetches at the origin.

use sablecross::*;

use crate::support::*;
use crate::targets;

#[test]
fn busy_parent_fills_only_high_priority_requests_and_recovers() {
    // (directors, the most large objects, one request in five, that are still filled while answers are late): of many
    // directors, each sees few answers.
    for (directors, max_filled) in [(1, 20), (4, 14), (300, 4)] {
        let case_settings = Settings { directors_per_zone: vec![0, 0, directors], ..settings() };
        let mut router = router_with(case_settings, &endpoint_list(1, 1));
        let mut send = |index: u64, latency: Ns| {
            let now = START + index * 250 * MS;
            let size_kb = if index.is_multiple_of(5) { 800.0 } else { 40.0 };
            let mut request = Request { size_kb, deadline: now + 9 * SEC, ..new_request(index, now) };
            let RouteDecision::Attempt(spec) = route_and_record(&mut router, now, &mut request) else {
                return (size_kb, false);
            };
            finish_last(&mut router, now + latency, &mut request, Outcome::Success);
            (size_kb, spec.source.is_some())
        };
        assert!((0..40).all(|index| send(index, 60 * MS).1), "all are filled while answers come in time");
        let first_unfilled = (40..80).position(|index| send(index, 4 * SEC) == (800.0, false));
        assert!(first_unfilled.is_some_and(|n| n <= 5 * max_filled), "{directors}: {first_unfilled:?}");
        let first_refilled = (80..400).position(|index| send(index, 60 * MS) == (800.0, true));
        assert!(first_refilled.is_some_and(|n| n < 100), "{directors}: {first_refilled:?}");
    }
}

#[test]
fn busy_primary_cache_spills_uncached_and_then_rejects() {
    let mut router = router_with(settings(), &endpoint_list(3, 2));
    let primary =
        route_and_finish(&mut router, START, 1, MS, Outcome::Success).expect("the request is attempted").node;
    let (mut at_primary, mut spilled, mut direct, mut rejected) = (0, 0, 0, 0);
    for _ in 0..200 {
        let mut request = Request { size_kb: 3_000.0, ..new_request(1, START + MS) };
        match route_and_record(&mut router, START + MS, &mut request) {
            RouteDecision::Attempt(spec) if spec.node == primary => at_primary += 1,
            RouteDecision::Attempt(spec) if spec.node < 50 => {
                assert_eq!(spec.retention_rank, 0);
                spilled += 1;
            }
            RouteDecision::Attempt(_) => direct += 1,
            RouteDecision::Reject { retry_after } => {
                assert!(retry_after > 0);
                rejected += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(
        at_primary > 0 && spilled > 0 && direct > 0 && rejected > 100,
        "{at_primary} {spilled} {direct} {rejected}"
    );
}

#[test]
fn requests_of_unknown_size_are_attempted_and_checked() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    for object in 0..300 {
        let mut request = Request { size_kb: 0.0, ..new_request(object % 20, START + object * 30 * MS) };
        let now = request.arrived_at;
        assert!(matches!(route_and_record(&mut router, now, &mut request), RouteDecision::Attempt(_)));
        assert!(router.next_check(now, &request).is_some_and(|wait| wait < 4 * SEC));
        finish_last(&mut router, now + 50 * MS, &mut request, Outcome::Success);
    }
}

#[test]
fn late_answers_shrink_the_limit_only_if_the_cache_may_be_the_cause() {
    let (idle, busy) = (
        LoadReport { cpu_utilization: Some(0.4), link_utilization: Some(0.2) },
        LoadReport { cpu_utilization: Some(1.0), link_utilization: None },
    );
    // (load report, whether the answer was a cache hit if that is known, whether the limit shrinks)
    let cases = [
        (None, None, true),
        (None, Some(true), true),
        (None, Some(false), false),
        (Some(idle), None, false),
        (Some(busy), None, true),
        (Some(LoadReport::default()), None, true),
        (Some(LoadReport { link_utilization: Some(3.0), ..idle }), None, true),
    ];
    for (load, is_cache_hit, is_shrunk) in cases {
        let mut router = router_with(settings(), &endpoint_list(1, 0));
        for object in 0..40 {
            let now = START + object * 20 * MS;
            let mut request = Request { deadline: now + 9 * SEC, ..new_request(object, now) };
            let RouteDecision::Attempt(spec) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            if let Some(load) = load {
                router.record_load(now + SEC, spec.node, load);
            }
            request.attempts[0].outcome = Some(Outcome::Success);
            router.on_outcome(now + SEC, &request, 0, SEC, is_cache_hit);
        }
        let mut admitted = 0;
        let later = START + 2 * SEC;
        while let RouteDecision::Attempt(_) =
            route_and_record(&mut router, later, &mut new_request(1_000 + admitted, later))
        {
            admitted += 1;
        }
        assert_eq!(admitted < 10, is_shrunk, "{load:?} {is_cache_hit:?}: {admitted}");
    }
}

#[test]
fn hedges_stop_during_an_overload() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    let mut changes = Vec::new();
    let phases =
        [(START, 120 * MS, true), (START + 40 * SEC, 3 * SEC, false), (START + 90 * SEC, 120 * MS, true)];
    for (start, latency, is_hedged) in phases {
        for object in 0..200 {
            route_and_finish(&mut router, start + object * 40 * MS, object, latency, Outcome::Success);
        }
        let mut request = new_request(3, start + 38 * SEC);
        route_and_record(&mut router, start + 38 * SEC, &mut request);
        let decision = router.route(start + 39 * SEC, &request);
        assert_eq!(matches!(decision, RouteDecision::Attempt(_)), is_hedged, "{latency}");
        changes.push(count_log_lines(&mut router, "jam"));
    }
    assert_eq!(changes, [0, 1, 1], "one line as it begins, one as it ends");
}

#[test]
fn fetches_at_the_origin_are_limited_and_back_off() {
    // (directors, caches, the most outstanding fetches of one director): hundreds of directors share the one origin.
    for (directors, caches, max_outstanding) in [(1, 4, 5), (4, 4, 3), (300, 4, 1), (300, 1, 1)] {
        let case_settings = Settings { directors_per_zone: vec![0, 0, directors], ..settings() };
        let mut router = router_with(case_settings, &endpoint_list(caches, 0));
        let mut outstanding_per_round = Vec::new();
        for round in 0..2 {
            let mut outstanding = Vec::new();
            for object in 0..200 {
                let now = START + round * SEC + object * MS;
                let mut request = new_request(object, now);
                match route_and_record(&mut router, now, &mut request) {
                    RouteDecision::Attempt(spec) if spec.source == Some(ORIGIN) => outstanding.push(request),
                    RouteDecision::Attempt(_) => {
                        assert_eq!(
                            finish_last(&mut router, now, &mut request, Outcome::Miss),
                            NextStep::Retry
                        )
                    }
                    _ => {}
                }
            }
            outstanding_per_round.push(outstanding.len());
            for mut request in outstanding {
                finish_last(&mut router, START + (round + 1) * SEC, &mut request, Outcome::Error);
            }
        }
        assert!(
            (1..=max_outstanding).contains(&outstanding_per_round[0]),
            "{directors}: {outstanding_per_round:?}"
        );
        assert!(
            outstanding_per_round[1] < outstanding_per_round[0].max(2),
            "{directors}: {outstanding_per_round:?}"
        );
    }
}

/// Counts the fills of one parent's share of the ring, at ten requests per second, while the parents in
/// `late_parents` answer past the latency objective. Returns how many kept their primary parent, went to another
/// parent and were sent without a fill during the last `counted_seconds`.
fn count_fills_of_one_share(
    router: &mut Router,
    from: Ns,
    seconds: u64,
    counted_seconds: u64,
    late_parents: &[usize],
) -> [usize; 3] {
    let fills = targets(&mut router_with(settings(), &endpoint_list(3, 5)), 3_000);
    let objects: Vec<u64> = (0..3_000).filter(|object| fills[*object as usize].1 == Some(50)).collect();
    let mut counts = [0; 3];
    for index in 0..10 * seconds {
        let object = objects[index as usize % objects.len()];
        let now = from + index * 100 * MS;
        let mut request = new_request(object, now);
        let RouteDecision::Attempt(spec) = route_and_record(router, now, &mut request) else { continue };
        let is_late = spec.source.is_some_and(|source| late_parents.contains(&source));
        let outcome = if spec.source.is_some() { Outcome::Success } else { Outcome::Miss };
        finish_last(router, now + if is_late { 900 * MS } else { 90 * MS }, &mut request, outcome);
        if index >= 10 * (seconds - counted_seconds) {
            counts[if spec.source == Some(50) { 0 } else { 1 + usize::from(spec.source.is_none()) }] += 1;
        }
    }
    counts
}

#[test]
fn fills_of_a_busy_parent_are_offloaded_and_return() {
    let mut router = router_with(settings(), &endpoint_list(3, 5));
    let [_, elsewhere, unfilled] = count_fills_of_one_share(&mut router, START, 14, 6, &[50]);
    assert!(
        elsewhere >= 25 && unfilled <= 10,
        "a hot share: {elsewhere} elsewhere, {unfilled} without a fill"
    );
    // The parent answers in time again, and the fills that still reach it show that.
    let [primary, elsewhere, _] = count_fills_of_one_share(&mut router, START + 14 * SEC, 20, 4, &[]);
    assert!(primary >= 30, "back at the primary parent: {primary}, {elsewhere} elsewhere");
}

#[test]
fn fills_are_not_offloaded_while_all_parents_are_busy() {
    let mut router = router_with(settings(), &endpoint_list(3, 5));
    let [primary, elsewhere, unfilled] =
        count_fills_of_one_share(&mut router, START, 30, 20, &[50, 51, 52, 53, 54]);
    assert!(
        elsewhere <= 20,
        "{primary} at the primary parent, {elsewhere} elsewhere, {unfilled} without a fill"
    );
}
