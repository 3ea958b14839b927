//! The owners of objects on the rings, and what moves when the endpoint list changes.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross::*;

use crate::support::*;
use crate::{targets, thread_cpu_time};

#[test]
fn directors_agree_on_owners_across_restarts_and_zones() {
    let mut reversed = endpoint_list(5, 3);
    reversed.reverse();
    let first = targets(&mut router_with(settings(), &endpoint_list(5, 3)), 400);
    let other_director_settings = Settings { director_index: 3, ..settings() };
    assert_eq!(first, targets(&mut router_with(other_director_settings, &reversed), 400));
    let other_zone_settings = Settings { zone: 3, ..settings() };
    let mut other_zone_list: Vec<EndpointUpdate> = endpoint_list(0, 3);
    other_zone_list.extend((10..14).map(|n| EndpointUpdate { zone: 3, ..endpoint(n, 0) }));
    let other_zone = targets(&mut router_with(other_zone_settings, &other_zone_list), 400);
    assert!(first.iter().zip(&other_zone).all(|(a, b)| a.1 == b.1), "fills of an object meet at one parent");
    for (n, share) in (0..5).map(|n| (n, first.iter().filter(|target| target.0 == n).count())) {
        assert!((40..130).contains(&share), "cache {n} has {share} of 400");
    }
}

#[test]
fn share_of_a_lost_member_is_divided_among_its_neighbours() {
    // (lost caches of five, a divisor: each remaining cache inherits at least the lost share divided by it). The
    // small segments of a lost cache lie among those of all others.
    let cases: [(&[usize], usize); 4] = [(&[2], 7), (&[0], 7), (&[2, 3], 5), (&[1, 2, 3, 4], 1)];
    let before = targets(&mut router_with(settings(), &endpoint_list(5, 2)), 600);
    for (lost, divisor) in cases {
        let mut list = endpoint_list(5, 2);
        list.iter_mut()
            .filter(|listing| lost.contains(&listing.node))
            .for_each(|listing| listing.state = EndpointState::Draining);
        let after = targets(&mut router_with(settings(), &list), 600);
        let mut inherited: BTreeMap<usize, usize> = BTreeMap::new();
        for (old, new) in before.iter().zip(&after) {
            if lost.contains(&old.0) {
                *inherited.entry(new.0).or_default() += 1;
            } else {
                assert_eq!(new.0, old.0, "positions of live members keep their owner");
            }
        }
        assert_eq!(inherited.len(), 5 - lost.len());
        let total: usize = inherited.values().sum();
        assert!(inherited.values().all(|&count| divisor * count >= total), "spread: {inherited:?}");
        // The lost share moves only once: the owners stay the same when the lost member leaves the list, and when it
        // is back but still cold.
        list.retain(|listing| !lost.contains(&listing.node));
        assert_eq!(after, targets(&mut router_with(settings(), &list), 600), "gone");
        let mut back = endpoint_list(5, 2);
        back.iter_mut()
            .filter(|listing| lost.contains(&listing.node))
            .for_each(|listing| listing.started_at = START);
        let mut router = router_with(settings(), &back);
        let cold = targets(&mut router, 60);
        assert_eq!(after[..60].iter().filter(|target| cold.contains(target)).count(), 60);
    }
}

#[test]
fn adding_a_member_moves_only_its_share() {
    let before = targets(&mut router_with(settings(), &endpoint_list(5, 2)), 600);
    let after = targets(&mut router_with(settings(), &endpoint_list(6, 2)), 600);
    let moved = before.iter().zip(&after).filter(|(old, new)| old.0 != new.0);
    assert!(moved.clone().all(|(_, new)| new.0 == 5));
    assert!((60..150).contains(&moved.count()));
    let mut router = router_with(settings(), &endpoint_list(5, 2));
    assert_eq!(count_log_lines(&mut router, "list"), 0, "no line for the first list");
    router.update_endpoints(START, &endpoint_list(5, 2), true);
    assert_eq!(count_log_lines(&mut router, "list"), 0, "no line without a change");
    router.update_endpoints(START, &endpoint_list(6, 2), true);
    assert_eq!(count_log_lines(&mut router, "list members=6 before=5"), 1);
}

#[test]
fn parent_that_withholds_virtual_nodes_gets_a_smaller_share() {
    let fills = |withheld: u16| {
        let mut list = endpoint_list(4, 2);
        list.iter_mut().find(|listing| listing.node == 50).unwrap().withheld_virtual_nodes = withheld;
        let mut router = router_with(settings(), &list);
        let sources = (0..400)
            .filter_map(|o| route_and_finish(&mut router, START + o * 20 * MS, o, 10 * MS, Outcome::Success));
        sources.filter(|spec| spec.source == Some(50)).count()
    };
    let [full, quarter, none] = [0, 192, 256].map(fills);
    assert!(none == 0 && quarter > 20 && quarter * 2 < full && full > 120, "{full} {quarter} {none}");
    // The ring is rebuilt with the next update. If the only parent withholds all its virtual nodes, the origin fills.
    let mut list = endpoint_list(4, 1);
    let mut router = router_with(settings(), &list);
    assert_eq!(route_and_finish(&mut router, START, 1, 10 * MS, Outcome::Success).unwrap().source, Some(50));
    list[4].withheld_virtual_nodes = 256;
    router.update_endpoints(START + SEC, &list[4..5], false);
    assert_eq!(count_log_lines(&mut router, "list members=1 before=1"), 1);
    assert_eq!(
        route_and_finish(&mut router, START + SEC, 1, 10 * MS, Outcome::Success).unwrap().source,
        Some(ORIGIN)
    );
}

#[test]
fn unusual_endpoint_lists_and_indices_are_handled() {
    let other = |node: usize, zone| EndpointUpdate { zone, ..endpoint(node, 0) };
    let hundreds: Vec<EndpointUpdate> =
        endpoint_list(5, 8).into_iter().chain((100..400).map(|node| other(node, 3))).collect();
    let twice: Vec<EndpointUpdate> = endpoint_list(3, 2).into_iter().chain(endpoint_list(3, 2)).collect();
    let same_rank: Vec<EndpointUpdate> =
        endpoint_list(3, 2).into_iter().map(|listing| EndpointUpdate { rank: 7, ..listing }).collect();
    let state = |state| move |listing: EndpointUpdate| EndpointUpdate { state, ..listing };
    let drained: Vec<EndpointUpdate> =
        endpoint_list(1, 0).into_iter().map(state(EndpointState::Draining)).collect();
    let gone: Vec<EndpointUpdate> = endpoint_list(1, 0).into_iter().map(state(EndpointState::Gone)).collect();
    // (endpoint lists in turn, each with whether it is a snapshot; index of the director; whether a request is
    // attempted)
    let cases = [
        ("hundreds of members", vec![(hundreds.clone(), true)], 0, true),
        ("a director index beyond the count", vec![(hundreds, true)], 999, true),
        ("each member twice", vec![(twice, true)], 0, true),
        ("members of one rank", vec![(same_rank, true)], 0, true),
        ("drains and is gone in one message", vec![([drained, gone.clone()].concat(), true)], 0, false),
        ("unknown nodes are gone", vec![(endpoint_list(2, 1), true), (gone, false)], 0, true),
        ("all vanish", vec![(endpoint_list(2, 1), true), (vec![], true)], 0, false),
        ("caches of other locations only", vec![(vec![other(1, 3), endpoint(ORIGIN, 2)], true)], 0, false),
    ];
    for (case, lists, director_index, is_attempted) in cases {
        let started_now = |listing: &EndpointUpdate| EndpointUpdate { started_at: START, ..*listing };
        for is_cold in [false, true] {
            let case_settings = Settings { director_index, directors_per_zone: vec![0, 0, 9], ..settings() };
            let mut router = Router::new(case_settings, 1, START);
            for (list, is_snapshot) in &lists {
                let list: Vec<EndpointUpdate> = list
                    .iter()
                    .map(|listing| if is_cold { started_now(listing) } else { *listing })
                    .collect();
                router.update_endpoints(START, &list, *is_snapshot);
            }
            router.record_purge(START, Some(77), 9_999, u64::MAX);
            router.record_load(START, 5_000, LoadReport::default());
            let decision = router.route(START + MS, &new_request(1, START + MS));
            assert!(
                is_cold || matches!(decision, RouteDecision::Attempt(_)) == is_attempted,
                "{case}: {decision:?}"
            );
            assert!(
                matches!(decision, RouteDecision::Attempt(_) | RouteDecision::Reject { .. }),
                "{case}: {decision:?}"
            );
        }
    }
}

#[test]
fn draining_and_gone_nodes_get_no_attempts() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        for is_snapshot in [false, true] {
            let mut router = router_with(settings(), &endpoint_list(4, 3));
            let is_lost = |node: usize| node == 1 || node == 51;
            let mut list = endpoint_list(4, 3);
            list.retain(|listing| {
                if is_snapshot && state == EndpointState::Gone {
                    !is_lost(listing.node)
                } else {
                    is_snapshot || is_lost(listing.node)
                }
            });
            list.iter_mut().filter(|listing| is_lost(listing.node)).for_each(|listing| listing.state = state);
            router.update_endpoints(START, &list, is_snapshot);
            for object in 0..300 {
                let spec = route_and_finish(
                    &mut router,
                    START + object * 20 * MS,
                    object,
                    10 * MS,
                    Outcome::Success,
                )
                .expect("the request is attempted");
                assert!(!is_lost(spec.node) && !spec.source.is_some_and(is_lost), "{state:?} {spec:?}");
            }
        }
    }
}

/// Some members, drawn from a hundred: also such that withhold virtual nodes, and such that share a rank.
fn drawn_members(rng: &mut Pcg32, count: usize) -> Vec<RingMember> {
    let nodes: BTreeSet<usize> = (0..count).map(|_| rng.random_range(0..100)).collect();
    let member = |node: usize| RingMember {
        rank: if node % 10 == 9 { 5 } else { split_mix64(node as u64) },
        node,
        withheld_virtual_nodes: [0, 0, 0, 192][rng.random_range(0..4)],
    };
    nodes.into_iter().map(member).collect()
}

/// Whether two rings have the same members, and the same order of their virtual nodes from a few positions.
fn assert_same_ring(ring: &HashRing, expected: &HashRing, rng: &mut Pcg32) {
    assert_eq!(ring.members(), expected.members());
    for position in [0, rng.random()] {
        assert!(ring.walk_from(position).eq(expected.walk_from(position)), "from {position}");
    }
}

/// Guards against directors that disagree on owners because they have heard of the same changes one by one, together
/// or in another order.
#[test]
fn a_ring_depends_on_its_members_and_not_on_the_order_of_changes() {
    for seed in 0..40 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ring = HashRing::default();
        for _ in 0..12 {
            let count = [0, 1, 3, 30, 90][rng.random_range(0..5)];
            let members = drawn_members(&mut rng, count);
            let known: BTreeSet<RingMember> = ring.members().iter().copied().collect();
            let mut removed: Vec<RingMember> =
                known.iter().filter(|member| !members.contains(member)).copied().collect();
            let mut added: Vec<RingMember> =
                members.iter().filter(|member| !known.contains(member)).copied().collect();
            removed.shuffle(&mut rng);
            added.shuffle(&mut rng);
            if rng.random() {
                ring.update(&removed, &added);
            } else {
                removed.iter().for_each(|member| ring.update(&[*member], &[]));
                added.iter().for_each(|member| ring.update(&[], &[*member]));
            }
            assert_same_ring(&ring, &HashRing::build(members), &mut rng);
        }
    }
}

/// The owner of a position by a search of all virtual nodes: the nearest one, the earlier one of two at the same
/// distance.
fn nearest_by_search(members: &[RingMember], position: u64) -> Option<usize> {
    let virtual_nodes = members.iter().flat_map(|member| {
        let count = u64::from(VIRTUAL_NODES - member.withheld_virtual_nodes);
        (0..count).map(|index| (split_mix64(split_mix64(member.rank) ^ index), member.node))
    });
    let distance = |at: u64| (at.wrapping_sub(position)).min(position.wrapping_sub(at));
    virtual_nodes.min_by_key(|&(at, _)| distance(at)).map(|(_, node)| node)
}

/// Guards against owners that differ from those of all earlier versions.
#[test]
fn a_position_belongs_to_the_nearest_virtual_node() {
    let mut rng = Pcg32::seed_from_u64(3);
    for count in [1, 2, 5, 40] {
        let mut members = drawn_members(&mut rng, count);
        members.retain(|member| member.node % 10 != 9);
        let mut ring = HashRing::build(members[..members.len() / 2].to_vec());
        members[members.len() / 2..].iter().for_each(|member| ring.update(&[], &[*member]));
        for _ in 0..500 {
            let position = rng.random();
            assert_eq!(ring.walk_from(position).next(), nearest_by_search(&members, position));
            assert_eq!(ring.owner(position, |_| true), nearest_by_search(&members, position));
        }
    }
}

/// The processor time of 200 replacements of one cache among this many.
fn time_to_replace_caches(caches: usize) -> Ns {
    let cache = |node: usize| EndpointUpdate { rank: split_mix64(node as u64), ..endpoint(node, 0) };
    let list: Vec<EndpointUpdate> = (100..100 + caches).map(cache).chain(endpoint_list(0, 2)).collect();
    let mut router = router_with(settings(), &list);
    let gone = EndpointState::Gone;
    let start = thread_cpu_time();
    for node in 100..300 {
        router.update_endpoints(START, &[EndpointUpdate { state: gone, ..cache(node) }], false);
        router.update_endpoints(START, &[cache(node + caches)], false);
        router.take_log_lines();
    }
    thread_cpu_time() - start
}

/// Guards against changes of the list that cost by all members, so that requests wait while a large fleet is replaced. A
/// larger ring may cost more by misses of the processor caches.
#[test]
fn cost_of_a_change_of_members_does_not_grow_with_the_fleet() {
    let least = |caches| (0..3).map(|_| time_to_replace_caches(caches)).min().unwrap_or(0);
    let (few, many) = (least(200), least(3_200));
    assert!(many < few * 8, "{few} ns among 200, {many} ns among 3,200");
}
