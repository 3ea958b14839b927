//! Limits, fill prices, overload and the origin's limit.

use sablecross::*;

use crate::support::*;
use crate::targets;

#[test]
fn a_busy_parent_fills_only_what_is_worth_it_and_recovers() {
    // (directors, most answers past the objective until large copies get no fill): of many each sees little.
    for (directors, most) in [(1, 20), (4, 14), (300, 4)] {
        let set = Settings { directors_per_zone: vec![0, 0, directors], ..settings() };
        let mut router = router_with(set, &endpoint_list(1, 1));
        let mut ask = |i: u64, took: Ns| {
            let now = START + i * 250 * MS;
            let size_kb = if i.is_multiple_of(5) { 800.0 } else { 40.0 };
            let mut request = Request { size_kb, deadline: now + 9 * SEC, ..new_request(i, now) };
            let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) else {
                return (size_kb, false);
            };
            finish_last(&mut router, now + took, &mut request, Outcome::Success);
            (size_kb, s.source.is_some())
        };
        assert!((0..40).all(|i| ask(i, 60 * MS).1), "all are filled while answers come in time");
        let held = (40..80).position(|i| ask(i, 4 * SEC) == (800.0, false));
        assert!(held.is_some_and(|n| n <= 5 * most), "{directors}: {held:?}");
        let freed = (80..400).position(|i| ask(i, 60 * MS) == (800.0, true));
        assert!(freed.is_some_and(|n| n < 100), "{directors}: {freed:?}");
    }
}

#[test]
fn a_busy_primary_cache_spills_uncached_and_then_rejects() {
    let mut router = router_with(settings(), &endpoint_list(3, 2));
    let primary = route_and_finish(&mut router, START, 1, MS, Outcome::Success).expect("sent").node;
    let (mut at_primary, mut spilt, mut direct, mut rejected) = (0, 0, 0, 0);
    for _ in 0..200 {
        let mut request = Request { size_kb: 3_000.0, ..new_request(1, START + MS) };
        match route_and_record(&mut router, START + MS, &mut request) {
            RouteDecision::Attempt(s) if s.node == primary => at_primary += 1,
            RouteDecision::Attempt(s) if s.node < 50 => {
                assert_eq!(s.retention_rank, 0);
                spilt += 1;
            }
            RouteDecision::Attempt(_) => direct += 1,
            RouteDecision::Reject { retry_after: pause } => {
                assert!(pause > 0);
                rejected += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(
        at_primary > 0 && spilt > 0 && direct > 0 && rejected > 100,
        "{at_primary} {spilt} {direct} {rejected}"
    );
}

#[test]
fn unknown_sizes_and_reports_are_no_hindrance() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    for i in 0..300 {
        let mut request = Request { size_kb: 0.0, ..new_request(i % 20, START + i * 30 * MS) };
        let now = request.arrived_at;
        assert!(matches!(route_and_record(&mut router, now, &mut request), RouteDecision::Attempt(_)));
        assert!(router.next_check(now, &request).is_some_and(|w| w < 4 * SEC));
        finish_last(&mut router, now + 50 * MS, &mut request, Outcome::Success);
    }
}

#[test]
fn slow_answers_shrink_a_limit_only_where_the_cache_may_be_to_blame() {
    let (idle, full) = (
        LoadReport { cpu_utilization: Some(0.4), link_utilization: Some(0.2) },
        LoadReport { cpu_utilization: Some(1.0), link_utilization: None },
    );
    // (report, known hit, whether its limit shrinks)
    let cases = [
        (None, None, true),
        (None, Some(true), true),
        (None, Some(false), false),
        (Some(idle), None, false),
        (Some(full), None, true),
        (Some(LoadReport::default()), None, true),
        (Some(LoadReport { link_utilization: Some(3.0), ..idle }), None, true),
    ];
    for (load, hit, shrinks) in cases {
        let mut router = router_with(settings(), &endpoint_list(1, 0));
        for o in 0..40 {
            let now = START + o * 20 * MS;
            let mut request = Request { deadline: now + 9 * SEC, ..new_request(o, now) };
            let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            if let Some(load) = load {
                router.record_load(now + SEC, s.node, load);
            }
            request.attempts[0].outcome = Some(Outcome::Success);
            router.on_outcome(now + SEC, &request, 0, SEC, hit);
        }
        let mut taken = 0;
        let later = START + 2 * SEC;
        while let RouteDecision::Attempt(_) =
            route_and_record(&mut router, later, &mut new_request(1_000 + taken, later))
        {
            taken += 1;
        }
        assert_eq!(taken < 10, shrinks, "{load:?} {hit:?}: {taken}");
    }
}

#[test]
fn hedges_stop_while_all_are_slow() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    let mut overloads = Vec::new();
    let phases =
        [(START, 120 * MS, true), (START + 40 * SEC, 3 * SEC, false), (START + 90 * SEC, 120 * MS, true)];
    for (start, took, copies) in phases {
        for o in 0..200 {
            route_and_finish(&mut router, start + o * 40 * MS, o, took, Outcome::Success);
        }
        let mut request = new_request(3, start + 38 * SEC);
        route_and_record(&mut router, start + 38 * SEC, &mut request);
        let route = router.route(start + 39 * SEC, &request);
        assert_eq!(matches!(route, RouteDecision::Attempt(_)), copies, "{took}");
        overloads.push(count_log_lines(&mut router, "jam"));
    }
    assert_eq!(overloads, [0, 1, 1], "one line as it begins, one as it ends");
}

#[test]
fn fetches_at_the_origin_stay_bounded_and_back_off() {
    // (directors, caches, most outstanding of one director): hundreds share the one origin.
    for (directors, caches, most) in [(1, 4, 5), (4, 4, 3), (300, 4, 1), (300, 1, 1)] {
        let set = Settings { directors_per_zone: vec![0, 0, directors], ..settings() };
        let mut router = router_with(set, &endpoint_list(caches, 0));
        let mut out_at_once = Vec::new();
        for round in 0..2 {
            let mut held = Vec::new();
            for o in 0..200 {
                let now = START + round * SEC + o * MS;
                let mut request = new_request(o, now);
                match route_and_record(&mut router, now, &mut request) {
                    RouteDecision::Attempt(s) if s.source == Some(ORIGIN) => held.push(request),
                    RouteDecision::Attempt(_) => {
                        assert_eq!(
                            finish_last(&mut router, now, &mut request, Outcome::Miss),
                            NextStep::Retry
                        )
                    }
                    _ => {}
                }
            }
            out_at_once.push(held.len());
            for mut request in held {
                finish_last(&mut router, START + (round + 1) * SEC, &mut request, Outcome::Error);
            }
        }
        assert!((1..=most).contains(&out_at_once[0]), "{directors}: {out_at_once:?}");
        assert!(out_at_once[1] < out_at_once[0].max(2), "{directors}: {out_at_once:?}");
    }
}

/// What becomes of the fills of one parent's share of the ring over so many seconds, ten a second, if the parents in `late`
/// answer past the objective: how many kept their primary parent, went elsewhere, got none, in the last seconds.
fn fills_of_one_share(router: &mut Router, from: Ns, secs: u64, last: u64, late: &[usize]) -> [usize; 3] {
    let fills = targets(&mut router_with(settings(), &endpoint_list(3, 5)), 3_000);
    let mine: Vec<u64> = (0..3_000).filter(|o| fills[*o as usize].1 == Some(50)).collect();
    let mut came = [0; 3];
    for k in 0..10 * secs {
        let object = mine[k as usize % mine.len()];
        let now = from + k * 100 * MS;
        let mut request = new_request(object, now);
        let RouteDecision::Attempt(s) = route_and_record(router, now, &mut request) else { continue };
        let over = s.source.is_some_and(|p| late.contains(&p));
        let outcome = if s.source.is_some() { Outcome::Success } else { Outcome::Miss };
        finish_last(router, now + if over { 900 * MS } else { 90 * MS }, &mut request, outcome);
        if k >= 10 * (secs - last) {
            came[if s.source == Some(50) { 0 } else { 1 + usize::from(s.source.is_none()) }] += 1;
        }
    }
    came
}

#[test]
fn a_busy_share_is_offloaded_to_cheaper_parents_and_comes_back() {
    let mut router = router_with(settings(), &endpoint_list(3, 5));
    let [_, elsewhere, none] = fills_of_one_share(&mut router, START, 14, 6, &[50]);
    assert!(elsewhere >= 25 && none <= 10, "a hot share: {elsewhere} elsewhere, {none} without a fill");
    // Its parent is well again: what it is asked for shows that.
    let [primary, elsewhere, _] = fills_of_one_share(&mut router, START + 14 * SEC, 20, 4, &[]);
    assert!(primary >= 30, "back at the primary parent: {primary}, {elsewhere} elsewhere");
}

#[test]
fn nothing_is_offloaded_where_all_parents_are_busy_alike() {
    let mut router = router_with(settings(), &endpoint_list(3, 5));
    let [primary, elsewhere, none] = fills_of_one_share(&mut router, START, 30, 20, &[50, 51, 52, 53, 54]);
    assert!(elsewhere <= 20, "{primary} at the primary parent, {elsewhere} elsewhere, {none} without a fill");
}
