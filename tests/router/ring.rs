//! Which members own which objects, and what a change of the endpoint list moves.

use std::collections::BTreeMap;

use sablecross::*;

use crate::support::*;
use crate::targets;

#[test]
fn directors_and_restarts_agree_on_the_layout() {
    let mut turned = endpoint_list(5, 3);
    turned.reverse();
    let first = targets(&mut router_with(settings(), &endpoint_list(5, 3)), 400);
    let other = Settings { director_index: 3, ..settings() };
    assert_eq!(first, targets(&mut router_with(other, &turned), 400));
    let elsewhere = Settings { zone: 3, ..settings() };
    let mut theirs: Vec<EndpointUpdate> = endpoint_list(0, 3);
    theirs.extend((10..14).map(|n| EndpointUpdate { zone: 3, ..endpoint(n, 0) }));
    let far = targets(&mut router_with(elsewhere, &theirs), 400);
    assert!(first.iter().zip(&far).all(|(a, b)| a.1 == b.1), "fills of an object meet at one parent");
    for (n, share) in (0..5).map(|n| (n, first.iter().filter(|h| h.0 == n).count())) {
        assert!((40..130).contains(&share), "cache {n} has {share} of 400");
    }
}

#[test]
fn a_lost_members_share_halves_to_its_neighbours() {
    // (lost of five caches, least of four heirs' shares of it): its small segments lie among all others.
    let cases: [(&[usize], usize); 4] = [(&[2], 7), (&[0], 7), (&[2, 3], 5), (&[1, 2, 3, 4], 1)];
    let before = targets(&mut router_with(settings(), &endpoint_list(5, 2)), 600);
    for (lost, parts) in cases {
        let mut lines = endpoint_list(5, 2);
        lines.iter_mut().filter(|l| lost.contains(&l.node)).for_each(|l| l.state = EndpointState::Draining);
        let after = targets(&mut router_with(settings(), &lines), 600);
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
        assert_eq!(after, targets(&mut router_with(settings(), &lines), 600), "gone");
        let mut back = endpoint_list(5, 2);
        back.iter_mut().filter(|l| lost.contains(&l.node)).for_each(|l| l.started_at = START);
        let mut router = router_with(settings(), &back);
        let cold = targets(&mut router, 60);
        assert_eq!(after[..60].iter().filter(|s| cold.contains(s)).count(), 60);
    }
}

#[test]
fn a_change_of_the_list_moves_one_members_share() {
    let before = targets(&mut router_with(settings(), &endpoint_list(5, 2)), 600);
    let after = targets(&mut router_with(settings(), &endpoint_list(6, 2)), 600);
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
fn a_parent_that_withholds_virtual_nodes_gets_that_part_of_its_share() {
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
    // With the next update the ring is built anew; all withheld, the origin fills.
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

#[test]
fn odd_lists_and_numbers_find_their_way_or_are_rejected() {
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
    // (lists in turn, snapshots or changes, the director's index, whether a request is attempted)
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
