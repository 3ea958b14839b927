//! Tests of settings files, versions, topological orders, admission, version holders and fill paths.

mod support;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_hierarchy::fill_path::{FillPaths, FillRejection, check_fill_path};
use sablecross_hierarchy::topological_order::{TopologicalOrder, topological_sort};
use sablecross_hierarchy::{
    Admission, AdmissionError, FULL_SHARE, Hierarchy, HierarchyNode, OfferOutcome, VersionHolder, spec,
};
use support::{HEAD, node, parse_version, random_version, rules};

const SMALL: &str = r#"
(node (name . "o") (tier . 0) (capacity . 2000))
(node (name . "p1") (tier . 1) (sources "o") (capacity . 300) (hit . 0.5))
(node (name . "p2") (tier . 1) (sources "o") (capacity . 300) (hit . 0.5))
(node (name . "e") (tier . 2) (sources "p1" "p2") (capacity . 900) (demand . 400) (hit . 0.5))"#;

#[test]
fn errors_of_files_name_line_and_key() {
    let cases = [
        (
            format!("{HEAD}\n(node (name . \"a\") (tier . 1) (sources \"b\") (capacity . 1))"),
            "f:2:1: node.sources[0]: a: no node is called b",
        ),
        (
            format!(
                "{HEAD}\n(node (name . \"a\") (tier . 0) (capacity . 1))\n(node (name . \"a\") (tier . 0) (capacity . 1))"
            ),
            "f:3:1: node.name: a is already defined on line 2",
        ),
        (format!("{HEAD}\n{HEAD}"), "f:2:1: hierarchy: a second form"),
        (
            "(node (name . \"a\") (tier . 0) (capacity . 1))".into(),
            "f:1:1: hierarchy: no (hierarchy ...) form",
        ),
        (format!("{HEAD}\n(node (name . \"a b\") (tier . 0) (capacity . 1))"), "f:2:8: node.name: letters"),
        (format!("{HEAD}\n(node (name . \"a\") (tier . 9) (capacity . 1))"), "f:2:21: node.tier:"),
        (format!("{HEAD}\n(node (name . \"a\") (tier . 0)\n (capacity . -1))"), "f:3:3: node.capacity:"),
        (
            format!("{HEAD}\n(node (name . \"a\") (tier . 0)\n (capacity . 2000000000))"),
            "f:3:3: node.capacity:",
        ),
        (
            format!("{HEAD}\n(node (name . \"a\") (tier . 0) (capacity . 1)\n (share . 257))"),
            "f:3:3: node.share:",
        ),
        (
            format!("{HEAD}\n(node (name . \"a\") (tier . 0) (capacity . 1) (colour . 1))"),
            "node.colour: unknown field",
        ),
        ("(hierarchy (version . 0) (ceiling . 1))".into(), "f:1:13: hierarchy.version:"),
        ("(hierarchy (version . 1) (ceiling . 1) (margin . 2))".into(), "hierarchy.margin:"),
        ("(hierarchy (version . 1)\n".into(), "f:1:1: a parenthesis that is never closed"),
    ];
    for (text, what) in cases {
        let errors = spec::parse_settings("f", &text, None).unwrap_err();
        assert!(errors[0].to_string().contains(what), "{text}: {}", errors[0]);
    }
}

#[test]
fn a_hundred_thousand_nodes_are_read_and_written_again() {
    let mut text = format!("{HEAD}\n(node (name . \"o\") (tier . 0) (capacity . 1))\n");
    for n in 0..100_000 {
        text += &format!("(node (name . \"n{n}\") (tier . 1) (sources \"o\") (capacity . 5))\n");
    }
    let (number, h) = spec::parse_settings("f", &text, None).unwrap();
    assert_eq!((number, h.len()), (1, 100_001));
    let again = spec::HierarchySpec::from_hierarchy(1, &h).to_settings_text();
    assert_eq!(spec::parse_settings("g", &again, Some(&h)).unwrap().1, h);
}

#[test]
fn nodes_keep_their_ids_and_unchanged_ones_are_shared() {
    let h = parse_version(SMALL, None);
    let moved = SMALL.replace("\"p2\") (tier", "\"p3\") (tier").replace("\"p1\" \"p2\"", "\"p3\" \"p1\"");
    let next = parse_version(&moved, Some(&h));
    assert_eq!(next.node_id("p1"), h.node_id("p1"));
    assert_eq!((next.node_id("p2"), next.node_id("p3")), (None, Some(4)));
    let names: Vec<_> = h.diff(&next).map(|d| h.node_name(d.node).to_owned()).collect();
    assert_eq!(names, ["p2", "e", "?"]);
    // Another process that reads the same file assigns other ids but gets the same digest.
    assert_eq!(parse_version(&moved, None).digest(), next.digest());
    assert_ne!(h.digest(), next.digest());
    let json = serde_json::to_string(&spec::HierarchySpec::from_hierarchy(7, &h)).unwrap();
    let decoded: spec::HierarchySpec = serde_json::from_str(&json).unwrap();
    assert_eq!(decoded.to_hierarchy(None).unwrap(), (7, h));
}

#[test]
fn the_incremental_order_finds_the_cycles_that_a_full_sort_finds() {
    let mut found = [0; 2];
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let nodes = rng.random_range(2..14u32);
        let (mut order, mut out) = (TopologicalOrder::new(nodes as usize), vec![Vec::new(); nodes as usize]);
        for _ in 0..60 {
            let (a, b) = (rng.random_range(0..nodes), rng.random_range(0..nodes));
            if rng.random::<f64>() < 0.3 {
                order.remove_edge(a, b);
                out[a as usize].retain(|&x| x != b);
                continue;
            }
            let mut tried = out.clone();
            if !tried[a as usize].contains(&b) {
                tried[a as usize].push(b);
            }
            let closes_cycle = a == b || topological_sort(&tried).is_err();
            found[usize::from(closes_cycle)] += 1;
            match order.insert_edge(a, b) {
                Ok(()) => {
                    assert!(!closes_cycle, "seed {seed}: {a} > {b}");
                    out = tried;
                }
                Err(cycle) => {
                    assert!(closes_cycle, "seed {seed}: {a} > {b} closes no cycle");
                    assert_eq!(cycle.first(), cycle.last());
                    assert!(
                        cycle.windows(2).all(|w| w == [a, b] || out[w[0] as usize].contains(&w[1])),
                        "{cycle:?}"
                    );
                }
            }
            for (x, sources) in out.iter().enumerate() {
                assert!(sources.iter().all(|&s| order.position(x as u32) < order.position(s)));
            }
        }
    }
    assert!(found.iter().all(|&n| n > 1_000), "{found:?}");
    let cycle = topological_sort(&[vec![1], vec![2], vec![0], vec![0]]).unwrap_err();
    assert!(cycle.len() == 4 && cycle.first() == cycle.last());
}

#[test]
fn rejections_name_node_and_figure() {
    let base = parse_version(SMALL, None);
    let (p1, p2) = (base.node_id("p1").unwrap(), base.node_id("p2").unwrap());
    let of = |name: &str| (**base.get(base.node_id(name).unwrap()).unwrap()).clone();
    let strict = Hierarchy::new(sablecross_hierarchy::HierarchyRules { allows_siblings: false, ..rules() });
    let cases: Vec<(Hierarchy, &str)> = vec![
        (
            base.with_node(p1, HierarchyNode { sources: [9].into(), ..of("p1") }),
            "p1: its source number 9 is not in the hierarchy",
        ),
        (base.without_node(p2), "e: its source p2 is not in the hierarchy"),
        (
            base.with_node(p1, HierarchyNode { sources: [base.node_id("e").unwrap()].into(), ..of("p1") }),
            "p1 (tier 1): its source e is of tier 2",
        ),
        (
            base.with_node(p1, HierarchyNode { sources: [].into(), ..of("p1") }),
            "p1: it has no path to the origin",
        ),
        (
            base.with_node(p1, HierarchyNode { sources: [p2].into(), ..of("p1") })
                .with_node(p2, HierarchyNode { sources: [p1].into(), ..of("p2") }),
            "loop: p",
        ),
        (
            base.with_node(p1, HierarchyNode { capacity: 10.0, ..of("p1") }),
            "p1 gets 100 requests a second and can take 10",
        ),
        (
            base.with_node(p1, HierarchyNode { capacity: 50.0, ..of("p1") })
                .with_node(p2, HierarchyNode { capacity: 50.0, ..of("p2") }),
            "tier 1 gets 200 requests a second and can take 100",
        ),
        (
            base.with_node(
                4,
                HierarchyNode { demand: 3_000.0, hit_ratio: 0.4, capacity: 5_000.0, ..node("e2", 2, &[0]) },
            ),
            "the origin gets 1900 fetches a second, of 800",
        ),
        (base.with_node(p1, HierarchyNode { capacity: f64::NAN, ..of("p1") }), "p1: capacity is NaN"),
        (base.with_node(p1, HierarchyNode { ring_share: FULL_SHARE + 1, ..of("p1") }), "p1: share is 257"),
        (base.with_node(0, HierarchyNode { sources: [p1].into(), ..of("o") }), "o (tier 0): its source p1"),
        (strict.clone(), "no origin"),
    ];
    let admission = Admission::new(base.clone()).unwrap();
    for (version, expected) in cases {
        let mut tried = admission.clone();
        let error = tried.admit(&version).unwrap_err();
        assert!(error.to_string().contains(expected), "{error} / {expected}");
        // A rejection leaves the state unchanged, so that versions are admitted and rejected as before.
        assert_eq!(tried.last_admitted(), &base);
        tried.admit(&base.with_node(4, node("p3", 1, &[0]))).unwrap();
        assert!(
            tried.admit(&base.with_node(p1, HierarchyNode { sources: [p1].into(), ..of("p1") })).is_err()
        );
    }
    let same_tier = strict
        .with_node(0, node("o", 0, &[]))
        .with_node(1, node("a", 1, &[0]))
        .with_node(2, node("b", 1, &[1]));
    assert!(matches!(Admission::new(same_tier), Err(AdmissionError::SourceTier { .. })));
}

#[test]
fn incremental_admission_agrees_with_admission_of_the_whole_version() {
    let mut rejected = 0;
    for seed in 0..40 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut admission = Admission::new(random_version(24, 8, 0.7, &mut rng)).unwrap();
        for _ in 0..40 {
            let node = rng.random_range(1..24);
            let last = admission.last_admitted().clone();
            let mut m = (**last.get(node).unwrap()).clone();
            let sources: Vec<u32> = (0..rng.random_range(1..3)).map(|_| rng.random_range(0..24)).collect();
            m.sources = sources.into();
            let version = last.with_node(node, m);
            let at_once = Admission::new(version.clone()).map(drop);
            rejected += usize::from(at_once.is_err());
            assert_eq!(admission.admit(&version).is_ok(), at_once.is_ok(), "seed {seed}: {at_once:?}");
        }
    }
    assert!(rejected > 400, "{rejected}");
}

#[test]
fn holders_accept_only_newer_versions() {
    let (a, b) = (parse_version(SMALL, None), parse_version(&SMALL.replace("400", "300"), None));
    let mut holder = VersionHolder::new();
    let offers = [
        (0, &a, OfferOutcome::Older),
        (3, &a, OfferOutcome::Accepted),
        (3, &a, OfferOutcome::Unchanged),
        (3, &b, OfferOutcome::Conflicting),
    ];
    for (number, version, outcome) in
        offers.into_iter().chain([(2, &b, OfferOutcome::Older), (9, &b, OfferOutcome::Accepted)])
    {
        assert_eq!(holder.offer(number, version), outcome);
    }
    assert_eq!((holder.number(), holder.version()), (9, Some(&b)));
}

#[test]
fn fills_of_an_object_meet_at_one_node_of_each_tier() {
    let mut rng = Pcg32::seed_from_u64(5);
    let mut h = random_version(40, 20, 0.0, &mut rng);
    // A tier in between is added: each node of tier 2 fills from all of tier 1, and each edge node from all of tiers 1
    // and 2.
    let all: Vec<u32> = (1..20).collect();
    for n in 10..20 {
        let m = (**h.get(n).unwrap()).clone();
        h = h.with_node(n, HierarchyNode { tier: 2, sources: (1..10).collect(), ..m });
    }
    for n in 20..40 {
        let m = (**h.get(n).unwrap()).clone();
        h = h.with_node(n, HierarchyNode { tier: 3, sources: all.clone().into(), ..m });
    }
    let paths = FillPaths::from_hierarchy(&h);
    let mut paths_found = std::collections::BTreeSet::new();
    for object in 0..200u64 {
        let position = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let first = paths.path(&h, 20, position, |_| true);
        assert_eq!(first.iter().map(|n| h.get(*n).unwrap().tier).collect::<Vec<_>>(), [2, 1, 0]);
        assert!((21..40).all(|e| paths.path(&h, e, position, |_| true) == first));
        paths_found.insert(first);
        // A node that is not usable is skipped. If no node of a tier is usable, the next lower tier is used.
        let down = paths.path(&h, 20, position, |n| !(10..20).contains(&n));
        assert_eq!(down.iter().map(|n| h.get(*n).unwrap().tier).collect::<Vec<_>>(), [1, 0]);
    }
    assert!(paths_found.len() > 50);
    // A node without virtual nodes gets no objects. With a quarter of its virtual nodes, it gets about a quarter of the
    // objects that it gets with all of them.
    let of = |share: u16| {
        let m = (**h.get(1).unwrap()).clone();
        let h = h.with_node(1, HierarchyNode { ring_share: share, ..m });
        let paths = FillPaths::from_hierarchy(&h);
        (0..4_000u64)
            .filter(|o| paths.next_source(&h, 10, o.wrapping_mul(0x9e37_79b9_7f4a_7c15), |_| true) == Some(1))
            .count()
    };
    let (none, quarter, full) = (of(0), of(FULL_SHARE / 4), of(FULL_SHARE));
    assert!(none == 0 && quarter * 6 > full && quarter * 3 < full, "{none} {quarter} {full}");
}

#[test]
fn a_fill_that_passed_this_node_or_too_many_nodes_is_rejected() {
    assert_eq!(check_fill_path("c", ["a", "b"].into_iter()), Ok(()));
    assert_eq!(check_fill_path("b", ["a", "b"].into_iter()), Err(FillRejection::Loop));
    assert_eq!(check_fill_path("x", std::iter::repeat_n("a", 16)), Err(FillRejection::TooLong));
}
