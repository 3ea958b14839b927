//! Builders of versions for tests.
#![allow(dead_code)]

use rand::RngExt;
use rand_pcg::Pcg32;
use sablecross_hierarchy::{FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId, spec};

pub(crate) const SEC: u64 = 1_000_000_000;

pub(crate) fn rules() -> HierarchyRules {
    HierarchyRules {
        ceiling: 1e6,
        margin: 0.2,
        slow_start_initial_share: 0.25,
        slow_start_window: 20 * SEC,
        collapse_multiple: 2.0,
        allows_siblings: true,
        drain_window: 3 * SEC,
        fill_window: 5 * SEC,
        step_timeout: 30 * SEC,
    }
}

pub(crate) const HEAD: &str = "(hierarchy (version . 1) (ceiling . 1000) (siblings . #t))";

/// Parses a version from the forms of its nodes. Nodes of `known` keep their ids.
pub(crate) fn parse_version(nodes: &str, known: Option<&Hierarchy>) -> Hierarchy {
    spec::parse_settings("test", &format!("{HEAD}{nodes}"), known).unwrap_or_else(|f| panic!("{f:?}")).1
}

/// Builds a version without load. The origin is node 0; bit s of `masks[n - 1]` makes node s a source of node n.
pub(crate) fn from_masks(masks: &[u8]) -> Hierarchy {
    let mut h = Hierarchy::new(rules()).with_node(0, node("o", 0, &[]));
    for (i, mask) in masks.iter().enumerate() {
        let sources: Vec<NodeId> = (0..8).filter(|s| mask >> s & 1 == 1).collect();
        h = h.with_node(i as NodeId + 1, node(&format!("n{}", i + 1), 1, &sources));
    }
    h
}

pub(crate) fn node(name: &str, tier: u8, sources: &[NodeId]) -> HierarchyNode {
    let (capacity, sources) = (1e6, sources.into());
    HierarchyNode {
        name: name.into(),
        tier,
        sources,
        capacity,
        demand: 0.0,
        hit_ratio: 0.0,
        ring_share: FULL_SHARE,
        started_at: 0,
    }
}

/// All loop-free choices of sources of `n` nodes in which each node has a path to the origin.
pub(crate) fn all_masks(n: usize) -> Vec<Vec<u8>> {
    let each = 1u32 << (n + 1);
    let mut found = Vec::new();
    for code in 0..each.pow(n as u32) {
        let masks: Vec<u8> = (0..n).map(|i| (code / each.pow(i as u32) % each) as u8).collect();
        if masks.iter().enumerate().any(|(i, m)| m >> (i + 1) & 1 == 1 || *m == 0) {
            continue;
        }
        // A node leads to the origin if all of its sources do. The nodes of a loop never do.
        let mut leads_to_origin = 1u8;
        for _ in 0..n {
            for (i, m) in masks.iter().enumerate() {
                leads_to_origin |= u8::from(m & !leads_to_origin == 0) << (i + 1);
            }
        }
        if leads_to_origin.count_ones() as usize == n + 1 {
            found.push(masks);
        }
    }
    found
}

/// Builds a random version: an origin, parents of tier 1, and `edge` nodes of tier 2 with demand. A parent fills from
/// nodes of its own tier with the probability `siblings`.
pub(crate) fn random_version(nodes: u32, edge: u32, siblings: f64, rng: &mut Pcg32) -> Hierarchy {
    let upper = nodes - edge - 1;
    let mut h = Hierarchy::new(rules()).with_node(0, HierarchyNode { capacity: 1e9, ..node("o", 0, &[]) });
    let mut parents: Vec<NodeId> = (1..=upper).collect();
    // In a random order of the parents, each fills only from those before it, so that there is no loop.
    for i in (1..parents.len()).rev() {
        parents.swap(i, rng.random_range(0..=i));
    }
    for (at, &n) in parents.iter().enumerate() {
        let mut sources = vec![0];
        if at > 0 && rng.random::<f64>() < siblings {
            sources = (0..rng.random_range(1..3))
                .map(|_| parents[rng.random_range(at.saturating_sub(50)..at)])
                .collect();
            sources.sort_unstable();
            sources.dedup();
        }
        h = h.with_node(n, HierarchyNode { hit_ratio: 0.5, ..node(&format!("u{n}"), 1, &sources) });
    }
    for n in upper + 1..nodes {
        let mut sources: Vec<NodeId> = (0..3).map(|_| rng.random_range(1..=upper)).collect();
        sources.sort_unstable();
        sources.dedup();
        h = h.with_node(
            n,
            HierarchyNode { hit_ratio: 0.6, demand: 10.0, ..node(&format!("e{n}"), 2, &sources) },
        );
    }
    h
}
