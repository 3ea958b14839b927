//! Tables of cases for the decision module, without the bench.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use sablecross::*;
use support::*;

/// Where each of many objects goes: the cache and the source.
fn homes(router: &mut Router, objects: u64) -> Vec<(usize, Option<usize>)> {
    let mut go =
        |o| route_and_finish(router, START, o, 10 * MS, Outcome::Success).map(|s| (s.node, s.source));
    (0..objects).map(|o| go(o).expect("sent")).collect()
}

#[test]
fn directors_and_restarts_agree_on_the_layout() {
    let mut turned = endpoint_list(5, 3);
    turned.reverse();
    let first = homes(&mut router_with(settings(), &endpoint_list(5, 3)), 400);
    let other = Settings { director_index: 3, ..settings() };
    assert_eq!(first, homes(&mut router_with(other, &turned), 400));
    let elsewhere = Settings { zone: 3, ..settings() };
    let mut theirs: Vec<EndpointUpdate> = endpoint_list(0, 3);
    theirs.extend((10..14).map(|n| EndpointUpdate { zone: 3, ..endpoint(n, 0) }));
    let far = homes(&mut router_with(elsewhere, &theirs), 400);
    assert!(first.iter().zip(&far).all(|(a, b)| a.1 == b.1), "fills of an object meet at one parent");
    for (n, share) in (0..5).map(|n| (n, first.iter().filter(|h| h.0 == n).count())) {
        assert!((40..130).contains(&share), "cache {n} has {share} of 400");
    }
}

#[test]
fn a_lost_members_slices_halve_to_their_neighbours() {
    // (lost of five caches, least of four heirs' shares of it): its small slices lie among all others.
    let cases: [(&[usize], usize); 4] = [(&[2], 7), (&[0], 7), (&[2, 3], 5), (&[1, 2, 3, 4], 1)];
    let before = homes(&mut router_with(settings(), &endpoint_list(5, 2)), 600);
    for (lost, parts) in cases {
        let mut lines = endpoint_list(5, 2);
        lines.iter_mut().filter(|l| lost.contains(&l.node)).for_each(|l| l.state = EndpointState::Draining);
        let after = homes(&mut router_with(settings(), &lines), 600);
        let mut taken: BTreeMap<usize, usize> = BTreeMap::new();
        for (b, a) in before.iter().zip(&after) {
            if lost.contains(&b.0) {
                *taken.entry(a.0).or_default() += 1;
            } else {
                assert_eq!(a.0, b.0, "positions of live members keep their owner");
            }
        }
        assert_eq!(taken.len(), 5 - lost.len());
        let total: usize = taken.values().sum();
        assert!(taken.values().all(|&t| parts * t >= total), "spread: {taken:?}");
        // Found once: a member that is gone from the list, or back and still cold, leaves them their owners.
        lines.retain(|l| !lost.contains(&l.node));
        assert_eq!(after, homes(&mut router_with(settings(), &lines), 600), "gone");
        let mut back = endpoint_list(5, 2);
        back.iter_mut().filter(|l| lost.contains(&l.node)).for_each(|l| l.started_at = START);
        let mut router = router_with(settings(), &back);
        let cold = homes(&mut router, 60);
        assert_eq!(after[..60].iter().filter(|s| cold.contains(s)).count(), 60);
    }
}

#[test]
fn a_change_of_the_list_moves_one_members_share() {
    let before = homes(&mut router_with(settings(), &endpoint_list(5, 2)), 600);
    let after = homes(&mut router_with(settings(), &endpoint_list(6, 2)), 600);
    let moved = before.iter().zip(&after).filter(|(b, a)| b.0 != a.0);
    assert!(moved.clone().all(|(_, a)| a.0 == 5));
    assert!((60..150).contains(&moved.count()));
    let mut router = router_with(settings(), &endpoint_list(5, 2));
    assert_eq!(count_log_lines(&mut router, "list"), 0, "no line for the first list");
    router.update_endpoints(START, &endpoint_list(5, 2), true);
    assert_eq!(count_log_lines(&mut router, "list"), 0, "no line without a change");
    router.update_endpoints(START, &endpoint_list(6, 2), true);
    assert_eq!(count_log_lines(&mut router, "list members=6 before=5"), 1);
}

#[test]
fn without_members_a_lookup_goes_on_or_is_nacked_at_once() {
    // (caches, parents, origin listed, node, source)
    let cases = [
        (2, 0, true, Some((true, Some(ORIGIN)))),
        (0, 1, true, Some((false, Some(ORIGIN)))),
        (0, 0, true, None),
        (0, 0, false, None),
        (2, 0, false, Some((true, None))),
    ];
    for (caches, parents, origin, want) in cases {
        let mut lines = endpoint_list(caches, parents);
        lines.retain(|l| origin || l.node != ORIGIN);
        let mut router = router_with(settings(), &lines);
        match (router.route(START, &new_request(5, START)), want) {
            (RouteDecision::Attempt(s), Some((cache, source))) => {
                assert_eq!((s.node < 50, s.source), (cache, source));
            }
            (RouteDecision::Reject { retry_after: pause }, None) => assert!(pause > 0),
            (got, want) => panic!("{caches} {parents} {origin}: {got:?}, not {want:?}"),
        }
    }
    let mut unlisted = Router::new(settings(), 1, START);
    assert!(matches!(unlisted.route(START, &new_request(5, START)), RouteDecision::Reject { .. }));
}

#[test]
fn every_lookup_has_its_answer_before_the_deadline() {
    // The sending time is 100 ms: with less than most of that left it is given up at once.
    for left in [0, MS, 4 * MS, 60 * MS, 80 * MS, 400 * MS] {
        let mut router = router_with(settings(), &endpoint_list(3, 2));
        let mut request = Request { deadline: START + left, ..new_request(1, START) };
        match route_and_record(&mut router, START, &mut request) {
            RouteDecision::Attempt(s) => {
                assert!(s.timeout < left, "the last time-out leaves time to answer");
                let now = START + s.timeout;
                assert_eq!(finish_last(&mut router, now, &mut request, Outcome::TimedOut), NextStep::Retry);
                assert!(matches!(router.route(now, &request), RouteDecision::Reject { .. }));
            }
            route => {
                assert!(left <= 60 * MS && matches!(route, RouteDecision::Reject { .. }), "{left} {route:?}")
            }
        }
    }
    // Satisfied ends it, and what is still out is called off.
    let mut router = router_with(settings(), &endpoint_list(3, 2));
    let mut request = new_request(1, START);
    route_and_record(&mut router, START, &mut request);
    let wait = router.next_check(START, &request).expect("a second copy is possible");
    assert!(matches!(route_and_record(&mut router, START + wait, &mut request), RouteDecision::Attempt(_)));
    assert_ne!(request.attempts[0].node, request.attempts[1].node);
    assert_eq!(
        finish_last(&mut router, START + wait + MS, &mut request, Outcome::Success),
        NextStep::Done { cancel_outstanding: true }
    );
}

#[test]
fn effects_do_not_happen_twice() {
    use Outcome::*;
    let dedup = |within| Effect::Deduplicated { within, window: SEC };
    // (effect, outcome of the first send, when, another send, nack allowed once given up at the deadline, by
    // when the nodes have forgotten the mark: the client's repeat would run again)
    let cases = [
        (Effect::Idempotent, Error, MS, true, true),
        (Effect::SideEffecting, Error, MS, false, false),
        (Effect::SideEffecting, TimedOut, MS, false, false),
        (Effect::SideEffecting, ConnectionLost, MS, false, false),
        (Effect::SideEffecting, Cancelled, MS, false, false),
        (Effect::SideEffecting, Overloaded, MS, true, true),
        (Effect::SideEffecting, ConnectFailed, MS, true, true),
        (Effect::SideEffecting, Miss, MS, true, true),
        (Effect::SideEffecting, NotSent, MS, true, true),
        (dedup(DeduplicationScope::All), Error, MS, true, false),
        (dedup(DeduplicationScope::All), Error, 2 * SEC, false, false),
        (dedup(DeduplicationScope::All), Overloaded, 2 * SEC, true, true),
        (dedup(DeduplicationScope::Zone), Error, MS, true, false),
        (dedup(DeduplicationScope::Zone), Error, 2 * SEC, false, false),
        (dedup(DeduplicationScope::Cell), Error, 2 * SEC, false, false),
        (dedup(DeduplicationScope::Cell), Overloaded, MS, true, true),
    ];
    for (effect, outcome, after, again, nack) in cases {
        let set = Settings { request_classes: vec![class_with_effect(effect)], ..settings() };
        let mut router = router_with(set, &endpoint_list(4, 2));
        let mut request = new_request(8, START);
        route_and_record(&mut router, START, &mut request);
        if effect == Effect::SideEffecting {
            assert_eq!(router.route(START + SEC, &request), RouteDecision::Wait, "no second copy");
        }
        assert_eq!(finish_last(&mut router, START + after, &mut request, outcome), NextStep::Retry);
        let route = router.route(START + after, &request);
        assert_eq!(matches!(route, RouteDecision::Attempt(_)), again, "{effect:?} {outcome:?} {route:?}");
        let route = router.route(request.deadline, &request);
        assert_eq!(matches!(route, RouteDecision::Reject { .. }), nack, "{effect:?} {outcome:?}");
        assert_eq!(route == RouteDecision::Fail, !nack);
    }
    // A cell's repeats stay in the cell.
    for object in 0..50 {
        let set = Settings {
            request_classes: vec![class_with_effect(dedup(DeduplicationScope::Cell))],
            ..settings()
        };
        let mut router = router_with(set, &endpoint_list(4, 2));
        let mut request = new_request(object, START);
        route_and_record(&mut router, START, &mut request);
        finish_last(&mut router, START + MS, &mut request, Outcome::Error);
        if let RouteDecision::Attempt(s) = router.route(START + MS, &request) {
            assert_eq!(s.node / 2, request.attempts[0].node / 2);
        }
    }
}

#[test]
fn what_never_left_spends_no_further_send() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    for object in 0..40 {
        let mut request = new_request(object, START);
        route_and_record(&mut router, START, &mut request);
        finish_last(&mut router, START, &mut request, Outcome::NotSent);
        assert!(
            matches!(route_and_record(&mut router, START, &mut request), RouteDecision::Attempt(_)),
            "{object}"
        );
        finish_last(&mut router, START + MS, &mut request, Outcome::Success);
    }
}

#[test]
fn a_repeat_comes_while_nodes_know_it_or_not_at_all() {
    let effect = Effect::Deduplicated { within: DeduplicationScope::All, window: SEC };
    // (given up so long after the first send, outcome of that, nack)
    let cases = [
        (100 * MS, Outcome::Error, true),
        (600 * MS, Outcome::TimedOut, true),
        (970 * MS, Outcome::ConnectionLost, false),
        (2 * SEC, Outcome::Error, false),
        (2 * SEC, Outcome::Overloaded, true),
    ];
    for (after, outcome, nack) in cases {
        for pauses in [true, false] {
            let set = Settings {
                request_classes: vec![class_with_effect(effect)],
                may_send_retry_after: pauses,
                max_attempts: 2,
                ..settings()
            };
            let mut router = router_with(set, &endpoint_list(4, 2));
            let mut request = new_request(8, START);
            let RouteDecision::Attempt(first) = route_and_record(&mut router, START, &mut request) else {
                panic!("sent")
            };
            assert_eq!(first.begin_by, Ns::MAX);
            finish_last(&mut router, START + after, &mut request, outcome);
            if nack && outcome != Outcome::Overloaded {
                // A further send may wait for its connection: no longer than the nodes know it.
                let RouteDecision::Attempt(next) = router.route(START + after, &request) else {
                    panic!("sent again")
                };
                assert_eq!(next.begin_by, START + SEC);
            }
            request.deadline = START + after;
            let RouteDecision::Reject { retry_after: pause } = router.route(START + after, &request) else {
                assert!(!nack, "{after} {outcome:?}");
                assert_eq!(router.route(START + after, &request), RouteDecision::Fail);
                continue;
            };
            assert!(nack && (pause > 0) == pauses, "{after} {outcome:?}");
            assert!(outcome == Outcome::Overloaded || after + pause < SEC, "{after} {pause}");
        }
    }
}

#[test]
fn nothing_goes_to_a_drained_or_gone_node() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        for whole in [false, true] {
            let mut router = router_with(settings(), &endpoint_list(4, 3));
            let lost = |n: usize| n == 1 || n == 51;
            let mut lines = endpoint_list(4, 3);
            lines.retain(|l| {
                if whole && state == EndpointState::Gone { !lost(l.node) } else { whole || lost(l.node) }
            });
            lines.iter_mut().filter(|l| lost(l.node)).for_each(|l| l.state = state);
            router.update_endpoints(START, &lines, whole);
            for o in 0..300 {
                let s = route_and_finish(&mut router, START + o * 20 * MS, o, 10 * MS, Outcome::Success)
                    .expect("sent");
                assert!(!lost(s.node) && !s.source.is_some_and(lost), "{state:?} {s:?}");
            }
        }
    }
}

#[test]
fn cold_members_get_a_growing_part() {
    // (cold node, whether it is a parent, age in seconds, least and most of its full share in the 10 s after)
    let cases =
        [(1, 0, 0.3, 0.95), (1, 10, 0.7, 1.05), (1, 20, 0.9, 1.1), (51, 0, 0.02, 0.7), (51, 20, 0.9, 1.1)];
    for (cold, age, least, most) in cases {
        let names = |s: &AttemptSpec| s.node == cold || s.source == Some(cold);
        let mut counts = [0.0; 2];
        for (i, started) in [0, START - age * SEC].into_iter().enumerate() {
            let mut lines = endpoint_list(4, 2);
            lines.iter_mut().filter(|l| l.node == cold).for_each(|l| l.started_at = started);
            let mut router = router_with(settings(), &lines);
            for o in 0..1_000 {
                let s = route_and_finish(&mut router, START + o * 10 * MS, o, 5 * MS, Outcome::Success)
                    .expect("sent");
                counts[i] += f64::from(u8::from(names(&s)));
            }
        }
        let part = counts[1] / counts[0];
        assert!((least..=most).contains(&part), "node {cold} at {age} s: {part}");
    }
}

#[test]
fn all_directors_together_stay_under_a_cold_nodes_fall() {
    let mut lines = endpoint_list(3, 2);
    lines.iter_mut().for_each(|l| l.started_at = if l.node == ORIGIN { 0 } else { START });
    let mut team = routers_sharing_zone(3, &lines);
    let mut work = [0.0; 3];
    for o in 0..1_500_u64 {
        let now = START + o * 2 * MS;
        let d = (o % 3) as usize;
        let send = route_and_finish(&mut team[d], now, o, 5 * MS, Outcome::Success);
        if let Some(s) = send.filter(|s| s.node < 3) {
            work[s.node] += 100.0 * MS as f64;
        }
    }
    // 500 lookups a second of 100 ms each: 50 at once, about 17 a cache; a full cache would do them all.
    for w in work {
        assert!(w / (3.0 * SEC as f64) < 17.0 * 3.0 * 0.3, "{w}");
    }
}

#[test]
fn what_is_left_after_a_loss_does_not_push_a_cold_member() {
    // (caches and parents left, the fresh one, one in how many is served, most sends a second that name it).
    // Before, one of seven caches bore 114 lookups a second and one of two parents 400. In its first three
    // seconds a cache falls at three times 0.26 of that, a parent at twice 0.17. Clients repeat unmarked.
    for (caches, parents, fresh, served, most) in [(2, 2, 1, 28, 89), (7, 1, 50, 1, 134), (7, 2, 50, 1, 134)]
    {
        let mut team = routers_sharing_zone(4, &endpoint_list(7, 2));
        for o in 0..8_000 {
            route_and_finish(&mut team[o as usize % 4], START + o * SEC / 800, o, 50 * MS, Outcome::Success);
        }
        let then = START + 10 * SEC;
        let mut lines = endpoint_list(caches, parents);
        lines.iter_mut().filter(|l| l.node == fresh).for_each(|l| l.started_at = then);
        team.iter_mut().for_each(|router| router.update_endpoints(then, &lines, true));
        let mut pushed = 0;
        for o in 0..9_600 {
            let now = then + o * SEC / 3_200;
            let outcome = if o % served == 0 { Outcome::Success } else { Outcome::Overloaded };
            let sent = route_and_finish(&mut team[o as usize % 4], now, o / 4, 50 * MS, outcome);
            let names = |s: &AttemptSpec| s.node == fresh || s.source == Some(fresh);
            pushed += usize::from(sent.as_ref().is_some_and(names));
        }
        assert!((5..3 * most).contains(&pushed), "{fresh}: {pushed} in three seconds");
    }
}

/// Beyond what settings allow a cold member only 2 x root of N + 2 calls are chance, however many directors send.
#[test]
fn the_ramp_of_a_cold_member_holds_for_the_sum_of_all_directors() {
    // (directors, the fresh member, seconds of quiet before a surge of four times the load begins)
    let cases = [4, 20, 30].into_iter().flat_map(|n| [1, 50].map(|m| [(n, m, 0), (n, m, 5)])).flatten();
    for (size, fresh, quiet) in cases {
        let mut team = routers_sharing_zone(size, &endpoint_list(7, 3));
        for o in 0..16_000 {
            route_and_finish(
                &mut team[o as usize % size],
                START + o * SEC / 800,
                o,
                50 * MS,
                Outcome::Success,
            );
        }
        let then = START + 20 * SEC;
        let mut lines = endpoint_list(7, 3);
        lines.iter_mut().filter(|l| l.node == fresh).for_each(|l| l.started_at = then);
        team.iter_mut().for_each(|router| router.update_endpoints(then, &lines, true));
        let surge = then + quiet * SEC;
        let mut calls = Vec::new();
        for o in 0..16_000 {
            let now = surge + o * SEC / 3_200;
            let outcome = if o % 4 == 0 { Outcome::Success } else { Outcome::Overloaded };
            let sent = route_and_finish(&mut team[o as usize % size], now, 20_000 + o / 4, 50 * MS, outcome);
            if sent.is_some_and(|s| s.node == fresh || s.source == Some(fresh)) {
                calls.push(now);
            }
        }
        assert!(calls.len() > 20, "{size} {fresh} {quiet}: {} calls", calls.len());
        // Before, one of seven caches bore 114 lookups a second and one of three parents 267.
        let (bears, multiple, cold) = if fresh == 50 { (267.0, 2.0, 0.1) } else { (114.0, 3.0, 0.2) };
        for (i, &from) in calls.iter().enumerate() {
            let count = calls[i..].iter().take_while(|&&at| at < from + SEC).count() as f64;
            let age = (from - then) as f64 / (20 * SEC) as f64;
            let n = multiple * bears * (cold + (1.0 - cold) * age);
            let most = n + 2.0 * n.sqrt() + 2.0;
            assert!(count <= most, "{size} {fresh} {quiet}: {count} of {most:.0} at {:.2}", age * 20.0);
        }
    }
}

#[test]
fn the_parent_that_serves_all_is_no_measure_for_a_fresh_one() {
    let mut team = routers_sharing_zone(4, &endpoint_list(7, 3));
    let then = START + 10 * SEC;
    let mut lines = endpoint_list(7, 2);
    lines.iter_mut().filter(|l| l.node == 51).for_each(|l| l.started_at = then);
    let mut asked = 0;
    for o in 0..20 * 800 {
        let now = START + o * SEC / 800;
        if now == then {
            team.iter_mut().for_each(|router| router.update_endpoints(then, &lines, true));
        }
        let sent = route_and_finish(&mut team[o as usize % 4], now, o, 50 * MS, Outcome::Success);
        asked += usize::from(now >= START + 18 * SEC && sent.is_some_and(|s| s.source == Some(51)));
    }
    // Three parents bore 267 lookups a second each. A fresh one, in its ninth and tenth second at half its
    // warmth, falls at 534; a purge then makes fills of what were hits.
    assert!((50..400).contains(&asked), "three quarters of that at the most: {asked}");
}

#[test]
fn no_answer_is_older_than_a_known_purge() {
    let fresh =
        RequestClass { fresh_for: 20 * SEC, stale_for: 30 * SEC, ..class_with_effect(Effect::Idempotent) };
    let set = Settings { request_classes: vec![fresh], ..settings() };
    // (object purged, group purged, made how long ago, asked how long after, oldest copy)
    let cases = [
        (Some(5), 9, SEC, 0, Some(SEC)),
        (Some(5), 9, 0, 0, Some(1)),
        (Some(5), 9, SEC, 2 * SEC, Some(3 * SEC)),
        // Past the clearing too: a director not told yet may have had an old copy filled again.
        (Some(5), 9, SEC, 9 * SEC, Some(10 * SEC)),
        (Some(5), 9, SEC, 150 * SEC, None),
        (Some(6), 3, SEC, 0, None),
        (None, 3, SEC, 0, Some(SEC)),
        (None, 4, SEC, 0, None),
    ];
    for (object, group, ago, later, oldest) in cases {
        let mut router = router_with(set.clone(), &endpoint_list(3, 2));
        router.record_purge(START, object, group, ago);
        router.record_purge(START, object, group, ago + 3 * SEC);
        let now = START + later;
        let mut request = new_request(5, now);
        let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) else {
            panic!("sent")
        };
        assert_eq!(s.max_age, oldest, "{object:?} {group} {ago} {later}");
        // A further send after a failed fill takes a grace copy, but none from before the purge.
        finish_last(&mut router, now + 10 * MS, &mut request, Outcome::Overloaded);
        let RouteDecision::Attempt(s) = route_and_record(&mut router, now + 10 * MS, &mut request) else {
            panic!("sent again")
        };
        assert_eq!(
            s.max_age,
            oldest
                .map(|a| (a + 10 * MS).max(10 * MS))
                .or(Some(50 * SEC))
                .map(|a| { if a == 10 * MS + 1 { 10 * MS } else { a } })
        );
    }
}

#[test]
fn bursts_need_history_and_sigma_and_end() {
    // (lookups of other objects in each 2 s window, whether the hot object is then in burst)
    let varied = [40, 60, 50, 45, 55, 50, 62, 41, 50, 47, 53, 50];
    let cases: [(&[u64], bool); 3] = [(&varied, true), (&[50; 12], false), (&varied[..2], false)];
    for (windows, burst) in cases {
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
            if let Some(s) = route_and_finish(&mut router, now + i * MS, 3, MS, Outcome::Success) {
                nodes.insert(s.node);
            }
        }
        assert_eq!(count_log_lines(&mut router, "burst object=3"), usize::from(burst), "{windows:?}");
        assert_eq!(nodes.len(), if burst { 3 } else { 1 });
        now += 5 * SEC;
        route_and_finish(&mut router, now, 3, MS, Outcome::Success);
        route_and_finish(&mut router, now + 3 * SEC, 3, MS, Outcome::Success);
        assert_eq!(count_log_lines(&mut router, "burst over"), usize::from(burst), "{windows:?}");
    }
}

#[test]
fn a_failing_cache_gets_only_trials_until_it_is_well() {
    for outcome in [Outcome::Error, Outcome::ConnectionLost, Outcome::ConnectFailed] {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let mut now = START;
        let mut hits = 0;
        for o in 0..2_000_u64 {
            now += 5 * MS;
            let mut request = new_request(o, now);
            let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            let ill = s.node == 2;
            hits += u32::from(ill && o > 400);
            finish_last(
                &mut router,
                now + 2 * MS,
                &mut request,
                if ill { outcome } else { Outcome::Success },
            );
        }
        assert_eq!(count_log_lines(&mut router, "down node=2"), 1, "{outcome:?}");
        assert!(hits < 10, "{hits} sends to a failing cache");
        for o in 0..2_000 {
            now += 5 * MS;
            route_and_finish(&mut router, now, o, 2 * MS, Outcome::Success);
        }
        assert_eq!(count_log_lines(&mut router, "up node=2"), 1);
    }
}

#[test]
fn a_parents_fault_is_told_from_its_way_and_from_the_origin() {
    // (whether the parent itself fails, whose fills fail): only looks at the parent judge it down.
    let cases: [(bool, &[usize]); 3] = [(true, &[51]), (false, &[51]), (false, &[50, 51])];
    for (ill, cut) in cases {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let (mut looks, mut lines) = (0, Vec::new());
        for o in 0..3_000_u64 {
            let now = START + o * 10 * MS;
            let mut request = new_request(o, now);
            let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) else {
                continue;
            };
            let at_parent = s.node >= 50;
            looks += u32::from(at_parent && s.source.is_none());
            let outcome = match (at_parent, s.source) {
                (true, _) if ill => Outcome::Error,
                (true, _) => Outcome::Miss,
                (false, Some(p)) if cut.contains(&p) => Outcome::Error,
                _ => Outcome::Success,
            };
            if finish_last(&mut router, now + 60 * MS, &mut request, outcome) == NextStep::Retry
                && let RouteDecision::Attempt(again) =
                    route_and_record(&mut router, now + 60 * MS, &mut request)
                && cut == [51]
                && s.source == Some(51)
            {
                assert_ne!(again.source, Some(51), "a failed fill is asked of the other parent");
            }
            lines.extend(router.take_log_lines().into_iter().filter(|l| l.starts_with("down")));
        }
        assert!(looks > 0);
        assert_eq!(lines.iter().any(|l| l.contains("node=51")), ill, "{lines:?}");
    }
}

#[test]
fn a_crowded_parent_fills_only_what_pays_and_recovers() {
    // (directors, most answers past the budget until large copies get no fill): of many each sees little.
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
fn a_crowded_home_spills_unkept_and_then_nacks() {
    let mut router = router_with(settings(), &endpoint_list(3, 2));
    let home = route_and_finish(&mut router, START, 1, MS, Outcome::Success).expect("sent").node;
    let (mut at_home, mut spilt, mut straight, mut nacked) = (0, 0, 0, 0);
    for _ in 0..200 {
        let mut request = Request { size_kb: 3_000.0, ..new_request(1, START + MS) };
        match route_and_record(&mut router, START + MS, &mut request) {
            RouteDecision::Attempt(s) if s.node == home => at_home += 1,
            RouteDecision::Attempt(s) if s.node < 50 => {
                assert_eq!(s.retention_rank, 0);
                spilt += 1;
            }
            RouteDecision::Attempt(_) => straight += 1,
            RouteDecision::Reject { retry_after: pause } => {
                assert!(pause > 0);
                nacked += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(
        at_home > 0 && spilt > 0 && straight > 0 && nacked > 100,
        "{at_home} {spilt} {straight} {nacked}"
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
fn slow_answers_shrink_a_bound_only_where_the_cache_may_be_to_blame() {
    let (idle, full) = (
        LoadReport { cpu_utilization: Some(0.4), link_utilization: Some(0.2) },
        LoadReport { cpu_utilization: Some(1.0), link_utilization: None },
    );
    // (report, told hit, whether its bound shrinks)
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
fn second_copies_stop_while_all_are_slow() {
    let mut router = router_with(settings(), &endpoint_list(4, 2));
    let mut jams = Vec::new();
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
        jams.push(count_log_lines(&mut router, "jam"));
    }
    assert_eq!(jams, [0, 1, 1], "one line as it begins, one as it ends");
}

#[test]
fn fetches_at_the_origin_stay_bounded_and_back_off() {
    // (directors, caches, most out at once of one director): hundreds share the one origin.
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

#[test]
fn a_silent_cache_is_found_sooner_than_a_slow_one() {
    // (whether the cache answers other lookups meanwhile, most time-outs until it is down)
    for (answers, least, most) in [(false, 2, 2), (true, 4, 20)] {
        let mut router = router_with(settings(), &endpoint_list(1, 2));
        let mut times = 0;
        while count_log_lines(&mut router, "down node=0") == 0 && times < 30 {
            let now = START + times * 10 * SEC;
            let (mut request, mut other) = (new_request(times, now), new_request(900 + times, now));
            route_and_record(&mut router, now, &mut request);
            route_and_record(&mut router, now, &mut other);
            if answers {
                finish_last(&mut router, now + SEC, &mut other, Outcome::Success);
            }
            request.attempts[0].outcome = Some(Outcome::TimedOut);
            router.on_outcome(now + 3 * SEC, &request, 0, 3 * SEC, None);
            times += 1;
        }
        assert!((least..=most).contains(&times), "{answers}: {times}");
    }
}

/// Clients that give less than a send takes: what came of it says nothing of caches, parents or the pace of all.
#[test]
fn clients_that_give_too_little_time_take_no_member_down() {
    let run = |given: Ns| {
        let set = Settings { directors_per_zone: vec![0, 0, 8], ..settings() };
        let mut router = router_with(set, &endpoint_list(4, 2));
        for n in 0..200 {
            let now = START + n * 50 * MS;
            let mut request = Request { deadline: now + given, ..new_request(n % 7, now) };
            if let RouteDecision::Attempt(_) = route_and_record(&mut router, now, &mut request) {
                finish_last(&mut router, now + given - 4 * MS, &mut request, Outcome::TimedOut);
            }
        }
        let now = START + 11 * SEC;
        let mut sent = 0;
        for n in 0..20 {
            sent += usize::from(matches!(
                route_and_record(&mut router, now, &mut new_request(n, now)),
                RouteDecision::Attempt(_)
            ));
        }
        (count_log_lines(&mut router, "down "), sent)
    };
    // A transfer of 100 ms in 90 or 150 ms; in four seconds a time-out is a node's own.
    assert_eq!(run(90 * MS), (0, 20));
    assert_eq!(run(150 * MS), (0, 20));
    assert!(run(4 * SEC).0 > 0);
}

#[test]
fn a_broken_answer_is_asked_of_its_home_once_more() {
    // (outcome of the first send, whether the second goes to the same cache)
    let cases = [
        (Outcome::ConnectionLost, true),
        (Outcome::Error, true),
        (Outcome::Overloaded, false),
        (Outcome::ConnectFailed, false),
    ];
    for (outcome, same) in cases {
        let mut router = router_with(settings(), &endpoint_list(4, 2));
        let mut request = new_request(5, START);
        for _ in 0..2 {
            assert!(matches!(
                route_and_record(&mut router, START + MS, &mut request),
                RouteDecision::Attempt(_)
            ));
            finish_last(&mut router, START + 2 * MS, &mut request, outcome);
        }
        assert_eq!(request.attempts[0].node == request.attempts[1].node, same, "{outcome:?}");
        assert!(
            !matches!(router.route(START + 3 * MS, &request), RouteDecision::Attempt(s) if s.node == request.attempts[0].node)
        );
    }
}

#[test]
fn repeats_and_fresh_directors_do_not_push_a_cold_node() {
    // (lookups of each object, marked as repeats after the first, most part of the cold node's full share)
    for (tries, marked, most) in [(1, true, 0.75), (3, true, 0.3), (3, false, 0.3)] {
        let mut counts = [0.0; 2];
        for (i, started) in [0, START].into_iter().enumerate() {
            let mut lines = endpoint_list(4, 2);
            lines[1].started_at = started;
            let mut router = router_with(settings(), &lines);
            for o in 0..900_u64 {
                let now = START + o * 3 * MS;
                let mut request = new_request(o / tries, now);
                request.is_client_retry = marked && o % tries > 0;
                if let RouteDecision::Attempt(s) = route_and_record(&mut router, now, &mut request) {
                    counts[i] += f64::from(u8::from(s.node == 1));
                    // Slow, and given up in the end: no proof that the fleet is on pace.
                    finish_last(
                        &mut router,
                        now + MS,
                        &mut request,
                        if tries > 1 { Outcome::Overloaded } else { Outcome::Success },
                    );
                    router.route(request.deadline - MS, &request);
                }
            }
        }
        let part = counts[1] / counts[0];
        assert!(part < most, "{tries} {marked}: {part}");
    }
}

#[test]
fn odd_lists_and_numbers_find_their_way_or_are_nacked() {
    let other = |n: usize, zone| EndpointUpdate { zone, ..endpoint(n, 0) };
    let hundreds: Vec<EndpointUpdate> =
        endpoint_list(5, 8).into_iter().chain((100..400).map(|n| other(n, 3))).collect();
    let twice: Vec<EndpointUpdate> = endpoint_list(3, 2).into_iter().chain(endpoint_list(3, 2)).collect();
    let same_rank: Vec<EndpointUpdate> =
        endpoint_list(3, 2).into_iter().map(|l| EndpointUpdate { rank: 7, ..l }).collect();
    let state = |state| move |l: EndpointUpdate| EndpointUpdate { state, ..l };
    let drained: Vec<EndpointUpdate> =
        endpoint_list(1, 0).into_iter().map(state(EndpointState::Draining)).collect();
    let gone: Vec<EndpointUpdate> = endpoint_list(1, 0).into_iter().map(state(EndpointState::Gone)).collect();
    // (lists in turn, whole or changes, the director's number, whether a lookup is sent)
    let cases = [
        ("hundreds of members", vec![(hundreds.clone(), true)], 0, true),
        ("a number beyond the count", vec![(hundreds, true)], 999, true),
        ("each member twice", vec![(twice, true)], 0, true),
        ("members of one rank", vec![(same_rank, true)], 0, true),
        ("drains and is gone in one message", vec![([drained, gone.clone()].concat(), true)], 0, false),
        ("unknown nodes are gone", vec![(endpoint_list(2, 1), true), (gone, false)], 0, true),
        ("all vanish", vec![(endpoint_list(2, 1), true), (vec![], true)], 0, false),
        ("caches of other locations only", vec![(vec![other(1, 3), endpoint(ORIGIN, 2)], true)], 0, false),
    ];
    for (what, lists, number, sends) in cases {
        let fresh = |l: &EndpointUpdate| EndpointUpdate { started_at: START, ..*l };
        for cold in [false, true] {
            let set = Settings { director_index: number, directors_per_zone: vec![0, 0, 9], ..settings() };
            let mut router = Router::new(set, 1, START);
            for (lines, whole) in &lists {
                let lines: Vec<EndpointUpdate> =
                    lines.iter().map(|l| if cold { fresh(l) } else { *l }).collect();
                router.update_endpoints(START, &lines, *whole);
            }
            router.record_purge(START, Some(77), 9_999, u64::MAX);
            router.record_load(START, 5_000, LoadReport::default());
            let route = router.route(START + MS, &new_request(1, START + MS));
            assert!(cold || matches!(route, RouteDecision::Attempt(_)) == sends, "{what}: {route:?}");
            assert!(
                matches!(route, RouteDecision::Attempt(_) | RouteDecision::Reject { .. }),
                "{what}: {route:?}"
            );
        }
    }
}

#[test]
fn a_parent_that_withholds_places_gets_that_part_of_its_slice() {
    let fills = |withheld: u16| {
        let mut lines = endpoint_list(4, 2);
        lines.iter_mut().find(|l| l.node == 50).unwrap().withheld_virtual_nodes = withheld;
        let mut router = router_with(settings(), &lines);
        let sources = (0..400)
            .filter_map(|o| route_and_finish(&mut router, START + o * 20 * MS, o, 10 * MS, Outcome::Success));
        sources.filter(|s| s.source == Some(50)).count()
    };
    let [full, quarter, none] = [0, 192, 256].map(fills);
    assert!(none == 0 && quarter > 20 && quarter * 2 < full && full > 120, "{full} {quarter} {none}");
    // Told again, the pie is dealt anew; all withheld, the origin fills.
    let mut lines = endpoint_list(4, 1);
    let mut router = router_with(settings(), &lines);
    assert_eq!(route_and_finish(&mut router, START, 1, 10 * MS, Outcome::Success).unwrap().source, Some(50));
    lines[4].withheld_virtual_nodes = 256;
    router.update_endpoints(START + SEC, &lines[4..5], false);
    assert_eq!(count_log_lines(&mut router, "list members=1 before=1"), 1);
    assert_eq!(
        route_and_finish(&mut router, START + SEC, 1, 10 * MS, Outcome::Success).unwrap().source,
        Some(ORIGIN)
    );
}

/// What becomes of the fills of one parent's slice over so many seconds, ten a second, if the parents in `late` answer
/// past the budget: the parts that kept their home, went elsewhere, got none, in the last seconds.
fn slice(router: &mut Router, from: Ns, secs: u64, last: u64, late: &[usize]) -> [usize; 3] {
    let fills = homes(&mut router_with(settings(), &endpoint_list(3, 5)), 3_000);
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
fn a_crowded_slice_passes_on_to_cheaper_parents_and_comes_back() {
    let mut router = router_with(settings(), &endpoint_list(3, 5));
    let [_, elsewhere, none] = slice(&mut router, START, 14, 6, &[50]);
    assert!(elsewhere >= 25 && none <= 10, "a hot slice: {elsewhere} elsewhere, {none} without a fill");
    // Its parent is well again: what it is asked for shows that.
    let [home, elsewhere, _] = slice(&mut router, START + 14 * SEC, 20, 4, &[]);
    assert!(home >= 30, "back home: {home}, {elsewhere} elsewhere");
}

#[test]
fn nothing_passes_on_where_all_parents_are_crowded_alike() {
    let mut router = router_with(settings(), &endpoint_list(3, 5));
    let [home, elsewhere, none] = slice(&mut router, START, 30, 20, &[50, 51, 52, 53, 54]);
    assert!(elsewhere <= 20, "{home} at home, {elsewhere} elsewhere, {none} without a fill");
}

#[test]
fn a_purge_costs_the_same_however_many_are_known() {
    // A look at all that are known at each purge made 350 a second cost a hundred times what 35 do.
    let time = |known: u64| {
        let mut best = std::time::Duration::MAX;
        for _ in 0..3 {
            let mut router = router_with(settings(), &endpoint_list(3, 2));
            (0..known).for_each(|object| router.record_purge(START, Some(object), 0, 0));
            let start = std::time::Instant::now();
            (0..2_000).for_each(|n| router.record_purge(START + n * 100_000, Some(n % known), 0, 0));
            best = best.min(start.elapsed());
        }
        best
    };
    let (few, many) = (time(1_000), time(64_000));
    assert!(many < few * 16, "{few:?} among 1,000, {many:?} among 64,000");
}
