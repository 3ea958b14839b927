//! Tests of plans: no mixture of two versions has a loop, cold nodes and the origin stay within their bounds, and small
//! changes take the fewest steps.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_hierarchy::load_flow::{FlowGraph, NodeIndex, check_transition};
use sablecross_hierarchy::topological_order::topological_sort;
use sablecross_hierarchy::{
    Admission, FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId, PlanError, plan,
};
use support::{SEC, all_masks, from_masks, node, parse_version, random_version, rules};

/// Whether a fill can pass a node twice while each participant applies one of two versions. This search is independent
/// of the code under test.
fn has_loop(u: &Hierarchy, v: &Hierarchy) -> bool {
    let nodes: BTreeSet<NodeId> = u.iter().chain(v.iter()).map(|(id, _)| id).collect();
    let edges: BTreeMap<NodeId, BTreeSet<NodeId>> =
        nodes.iter().map(|&n| (n, u.active_sources(n).chain(v.active_sources(n)).collect())).collect();
    nodes.iter().any(|&start| {
        let (mut visited, mut next) = (BTreeSet::new(), vec![start]);
        while let Some(n) = next.pop() {
            for &s in edges.get(&n).into_iter().flatten() {
                if s == start {
                    return true;
                }
                if visited.insert(s) {
                    next.push(s);
                }
            }
        }
        false
    })
}

/// Checks a plan. Returns its number of steps.
fn check_plan(from: &Hierarchy, to: &Hierarchy, steps: &[sablecross_hierarchy::PlanStep]) -> usize {
    let mut before = from.clone();
    for step in steps {
        assert!(!has_loop(&before, &step.target), "a loop between two steps");
        assert!(before != step.target, "a step that changes nothing");
        Admission::check_structure(&step.target).unwrap();
        before = step.target.clone();
    }
    assert_eq!(before, *to);
    steps.len()
}

/// The fewest steps without regard to load, by a breadth-first search over all orders in which sets of nodes can change.
fn fewest_steps(from: &Hierarchy, to: &Hierarchy) -> usize {
    let changed: Vec<_> = from.diff(to).collect();
    let at = |mask: usize| {
        let done = changed.iter().enumerate().filter(|(i, _)| mask >> i & 1 == 1);
        from.with_changes(done.map(|(_, d)| (d.node, d.after.clone())))
    };
    let all = (1usize << changed.len()) - 1;
    let mut reached = BTreeSet::from([0usize]);
    for steps in 0.. {
        if reached.contains(&all) {
            return steps;
        }
        let mut next = reached.clone();
        for &u in &reached {
            next.extend((0..=all).filter(|v| v & u == u).filter(|&v| !has_loop(&at(u), &at(v))));
        }
        assert_ne!(next, reached, "no plan at all");
        reached = next;
    }
    unreachable!()
}

#[test]
fn all_pairs_of_four_nodes_take_the_fewest_steps() {
    let all: Vec<Hierarchy> = all_masks(3).iter().map(|m| from_masks(m)).collect();
    let mut counts = BTreeMap::new();
    for from in &all {
        for to in &all {
            let found = plan(from, to, 0).unwrap();
            let n = check_plan(from, to, &found.steps);
            assert!(found.is_minimal);
            assert_eq!(n, fewest_steps(from, to));
            *counts.entry(n).or_insert(0) += 1;
        }
    }
    // Some changes take several steps, because a direct step could cause a loop.
    assert!(counts[&2] > 100 && counts.contains_key(&3), "{counts:?}");
    assert_eq!(counts.values().sum::<usize>(), all.len() * all.len());
}

#[test]
fn nodes_swap_tiers_and_move_below_their_dependents() {
    let h = |a: &str, b: &str| {
        parse_version(
            &format!(
                "(node (name . \"o\") (tier . 0) (capacity . 1000)) {a} {b}
                 (node (name . \"e\") (tier . 3) (sources \"a\" \"b\") (capacity . 900) (demand . 100) (hit . 0.5))"
            ),
            None,
        )
    };
    let node = |name: &str, tier: u8, source: &str| {
        format!(
            "(node (name . \"{name}\") (tier . {tier}) (sources \"{source}\") (capacity . 500) (hit . 0.5))"
        )
    };
    let from = h(&node("a", 2, "b"), &node("b", 1, "o"));
    let to = h(&node("a", 1, "o"), &node("b", 2, "a"));
    assert!(has_loop(&from, &to));
    let found = plan(&from, &to, 0).unwrap();
    assert!(check_plan(&from, &to, &found.steps) >= 2);
    // A node moves below its own dependent.
    let from = h(&node("a", 1, "o"), &node("b", 2, "a"));
    let to = h(&node("a", 2, "b"), &node("b", 1, "o"));
    assert!(has_loop(&from, &to));
    assert!(check_plan(&from, &to, &plan(&from, &to, 0).unwrap().steps) >= 2);
}

/// A version with two parents, and one in which a third parent of this capacity has joined that started at `since`.
fn with_new_parent(capacity: f64, since: u64) -> (Hierarchy, Hierarchy) {
    let from = parse_version(
        r#"(node (name . "o") (tier . 0) (capacity . 900))
        (node (name . "p1") (tier . 1) (sources "o") (capacity . 400) (hit . 0.8))
        (node (name . "p2") (tier . 1) (sources "o") (capacity . 400) (hit . 0.8))
        (node (name . "e1") (tier . 2) (sources "p1" "p2") (capacity . 900) (demand . 300) (hit . 0.5))
        (node (name . "e2") (tier . 2) (sources "p1" "p2") (capacity . 900) (demand . 300) (hit . 0.5))"#,
        None,
    );
    let mut to = from
        .with_node(5, HierarchyNode { capacity, hit_ratio: 0.8, started_at: since, ..node("p3", 1, &[0]) });
    for n in [3, 4] {
        let m = (**to.get(n).unwrap()).clone();
        to = to.with_node(n, HierarchyNode { sources: [1, 2, 5].into(), ..m });
    }
    (from, to)
}

#[test]
fn a_cold_node_takes_its_virtual_nodes_as_it_warms_up() {
    // A warm node gets 100 requests a second in two steps: it is added, then it becomes a source.
    let (from, to) = with_new_parent(110.0, 0);
    assert_eq!(plan(&from, &to, 0).unwrap().steps.len(), 2);
    // A cold node can take a quarter of its 110 requests a second at first, so it takes some of its virtual nodes,
    // and all of them once it is warm.
    let (from, to) = with_new_parent(110.0, 1_000 * SEC);
    let found = plan(&from, &to, 1_000 * SEC).unwrap();
    check_plan(&from, &to, &found.steps);
    assert!(found.steps.len() >= 3);
    let share = |h: &Hierarchy| h.get(5).map_or(0, |m| m.ring_share);
    assert!(found.steps.iter().any(|s| (1..FULL_SHARE).contains(&share(&s.target))));
    let last = found.steps.last().unwrap();
    assert!(
        last.required_warmth.iter().any(|required| required.node == 5 && required.warmth > 0.8),
        "{:?}",
        last.required_warmth
    );
    assert!(last.min_delay >= 10 * SEC, "{}", last.min_delay);
    // A node that can take its whole load when cold takes it in one step. A node that is too small for its load is
    // rejected.
    assert_eq!(
        {
            let (f, t) = with_new_parent(900.0, 1);
            plan(&f, &t, 1).unwrap().steps.len()
        },
        2
    );
    let (from, to) = with_new_parent(60.0, 1_000 * SEC);
    assert!(Admission::new(from.clone()).unwrap().admit(&to).is_err());
    let no = plan(&from, &to, 1_000 * SEC).unwrap_err();
    assert!(matches!(&no, PlanError::NodeOverloaded { node, .. } if &**node == "p3"), "{no}");
}

#[test]
fn the_origin_stays_below_its_ceiling_or_planning_fails() {
    // The parents get 300 requests a second, and the origin 60 of them. Objects that move are fetched again.
    let (from, to) = with_new_parent(400.0, 0);
    let with =
        |h: &Hierarchy, ceiling: f64| h.with_rules(HierarchyRules { ceiling, ..(*h.rules).clone() }.into());
    let steps = |ceiling: f64| plan(&with(&from, ceiling), &with(&to, ceiling), 0).map(|p| p.steps);
    assert_eq!(steps(500.0).unwrap().len(), 2);
    let few = steps(125.0).unwrap();
    assert!(few.len() > 2);
    for step in &few {
        assert!(step.origin_peak <= 100.0 + 1e-6, "{}", step.origin_peak);
    }
    check_plan(&with(&from, 125.0), &with(&to, 125.0), &few);
    let no = steps(76.0).unwrap_err();
    assert!(matches!(no, PlanError::OriginOverloaded { .. }), "{no}");
}

#[test]
fn a_node_that_gets_requests_has_a_source_in_both_versions() {
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let all = random_version(9, 3, 0.6, &mut rng);
        // Node 1 joins and node 2 leaves.
        let without = |h: &Hierarchy, gone: NodeId| {
            let fixed: Vec<_> = h
                .iter()
                .filter(|(id, m)| *id != gone && m.sources.contains(&gone))
                .map(|(id, m)| {
                    let mut left: Vec<NodeId> = m.sources.iter().copied().filter(|s| *s != gone).collect();
                    left.extend(left.is_empty().then_some(0));
                    (id, Some(HierarchyNode { sources: left.into(), ..(**m).clone() }.into()))
                })
                .collect();
            h.with_changes(fixed).without_node(gone)
        };
        let (from, to) = (without(&all, 1), without(&all, 2));
        let found = plan(&from, &to, 0).unwrap();
        check_plan(&from, &to, &found.steps);
        let mut before = from.clone();
        for step in &found.steps {
            let used: BTreeSet<NodeId> = [&before, &step.target]
                .iter()
                .flat_map(|h| {
                    h.iter().flat_map(|(id, _)| h.active_sources(id).collect::<Vec<_>>()).collect::<Vec<_>>()
                })
                .collect();
            for n in used.into_iter().filter(|n| *n != 0) {
                assert!(
                    [&before, &step.target].iter().all(|h| h.active_sources(n).count() > 0),
                    "seed {seed}: node {n}"
                );
            }
            before = step.target.clone();
        }
    }
}

/// The load of the origin if the picked nodes apply the later version and all others the earlier one.
fn mixture(before: &FlowGraph, after: &FlowGraph, pick: &[bool]) -> f64 {
    let n = before.nodes.len() as u32;
    let mixed: Vec<_> = (0..n)
        .map(|i| if pick[i as usize] { after.nodes[i as usize] } else { before.nodes[i as usize] })
        .collect();
    // The shares of sources belong to the version that the dependent applies; here both versions have the same shares.
    FlowGraph::new(mixed).unwrap().origin_load()
}

#[test]
fn the_peak_bounds_each_mixture_and_one_reaches_it() {
    let mut exact = 0;
    for seed in 0..200 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let from = random_version(9, 3, 0.6, &mut rng);
        let mut to = from.clone();
        for _ in 0..3 {
            let n = rng.random_range(1..9);
            let m = (**to.get(n).unwrap()).clone();
            // The mixtures ignore that moved objects are not cached yet; hit ratios of 0 make this exact.
            to = to.with_node(n, HierarchyNode { sources: [rng.random_range(0..6)].into(), ..m });
        }
        let without_hits = |h: &Hierarchy| {
            h.with_changes(
                h.iter()
                    .map(|(id, m)| (id, Some(HierarchyNode { hit_ratio: 0.0, ..(**m).clone() }.into())))
                    .collect::<Vec<_>>(),
            )
        };
        let (from, to) = (without_hits(&from), without_hits(&to));
        if has_loop(&from, &to) || Admission::new(to.clone()).is_err() {
            continue;
        }
        let index = NodeIndex::from_versions(&[&from, &to]);
        let (old, new) = (index.flow_nodes(&from), index.flow_nodes(&to));
        let u = FlowGraph::new(old.iter().map(Option::as_ref).collect()).unwrap();
        let v = FlowGraph::new(new.iter().map(Option::as_ref).collect()).unwrap();
        let Ok(load) = check_transition(&u, &v, &rules(), 0) else { continue };
        let worst = (0..512u32)
            .map(|code| mixture(&u, &v, &(0..9).map(|i| code >> i & 1 == 1).collect::<Vec<_>>()))
            .fold(0.0, f64::max);
        assert!(worst <= load.origin_peak + 1e-6, "seed {seed}: {worst} > {}", load.origin_peak);
        exact += usize::from((worst - load.origin_peak).abs() < 1e-6);
    }
    assert!(exact > 30, "{exact}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 5, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// With ten thousand nodes and a hundred directors, each of which applies either of two successive versions, no fill
    /// passes a node twice.
    #[test]
    fn at_ten_thousand_nodes_no_fill_passes_a_node_twice(seed in 0u64..1_000_000, moved in 20usize..400) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let from = random_version(10_000, 9_000, 0.9, &mut rng);
        let other = random_version(10_000, 9_000, 0.9, &mut rng);
        let mut admission = Admission::new(from.clone()).unwrap();
        let mut to = from.clone();
        for _ in 0..moved {
            let n = rng.random_range(1..10_000);
            let next = to.with_node(n, other.get(n).unwrap().clone());
            if admission.admit(&next).is_ok() {
                to = next;
            }
        }
        let found = plan(&from, &to, 0).unwrap();
        let mut before = from.clone();
        for step in &found.steps {
            // For each of a hundred directors, each node applies one of the two versions at random, and one fill is
            // followed to the origin.
            for _director in 0..100 {
                let mixture_seed = rng.random::<u64>();
                let of = |n: NodeId| if (mixture_seed ^ u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 63 == 1 { &before } else { &step.target };
                let mut at = rng.random_range(1_000..10_000);
                let mut visited = BTreeSet::new();
                while at != 0 {
                    prop_assert!(visited.insert(at), "the fill passes {at} twice");
                    let used: Vec<NodeId> = of(at).active_sources(at).collect();
                    at = used[rng.random_range(0..used.len())];
                }
            }
            let union: Vec<Vec<u32>> = (0..10_000).map(|n| before.active_sources(n).chain(step.target.active_sources(n)).collect()).collect();
            prop_assert!(topological_sort(&union).is_ok());
            prop_assert!(step.origin_peak <= to.rules.ceiling * (1.0 - to.rules.margin));
            before = step.target.clone();
        }
        prop_assert_eq!(before, to);
    }
}
