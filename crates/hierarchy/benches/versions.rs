//! Benchmarks of versions against cloned plain maps, of the incremental topological order against a full sort, and of
//! plans.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_hierarchy::topological_order::{TopologicalOrder, topological_sort};
use sablecross_hierarchy::{FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId, plan};

fn rules() -> HierarchyRules {
    HierarchyRules {
        ceiling: 1e9,
        margin: 0.2,
        slow_start_initial_share: 0.25,
        slow_start_window: 20_000_000_000,
        collapse_multiple: 2.0,
        allows_siblings: true,
        drain_window: 3_000_000_000,
        fill_window: 5_000_000_000,
        step_timeout: 30_000_000_000,
    }
}

/// Three tiers above an origin. Each node fills from up to four nodes of the next lower tier.
fn random_hierarchy(nodes: u32, rng: &mut Pcg32) -> Hierarchy {
    let upper = (nodes / 20).max(2);
    let tier = |n: u32| match n {
        0 => 0,
        n if n <= upper => 1,
        n if n <= 4 * upper => 2,
        _ => 3,
    };
    let first = [0, 1, upper + 1, 4 * upper + 1];
    let mut h = Hierarchy::new(rules());
    for n in 0..nodes {
        let t = tier(n);
        let mut sources: Vec<NodeId> = match t {
            0 => Vec::new(),
            1 => vec![0],
            t => (0..4).map(|_| rng.random_range(first[t as usize - 1]..first[t as usize])).collect(),
        };
        sources.sort_unstable();
        sources.dedup();
        let node = HierarchyNode {
            name: format!("n{n}").into(),
            tier: t,
            sources: sources.into(),
            capacity: 1e9,
            demand: if t == 3 { 10.0 } else { 0.0 },
            hit_ratio: 0.5,
            ring_share: FULL_SHARE,
            started_at: 0,
        };
        h = h.with_node(n, node);
    }
    h
}

fn with_less_capacity(h: &Hierarchy, id: NodeId) -> HierarchyNode {
    let node = h.get(id).unwrap();
    HierarchyNode { capacity: node.capacity - 1.0, ..(**node).clone() }
}

fn versions(c: &mut Criterion) {
    for nodes in [10, 1_000, 100_000] {
        let h = random_hierarchy(nodes, &mut Pcg32::seed_from_u64(1));
        let plain: BTreeMap<NodeId, HierarchyNode> = h.iter().map(|(id, m)| (id, (**m).clone())).collect();
        let shared: BTreeMap<NodeId, Arc<HierarchyNode>> =
            h.iter().map(|(id, m)| (id, Arc::clone(m))).collect();
        let mut group = c.benchmark_group("versions");
        group.sample_size(20);
        let id = |name: &str| BenchmarkId::new(name, nodes);
        group.bench_function(id("clone, persistent"), |b| b.iter(|| black_box(h.clone())));
        group.bench_function(id("clone, plain map"), |b| b.iter_with_large_drop(|| black_box(plain.clone())));
        group.bench_function(id("change one, persistent"), |b| {
            b.iter(|| black_box(h.with_node(nodes / 2, with_less_capacity(&h, nodes / 2))));
        });
        group.bench_function(id("change one, map of shared nodes"), |b| {
            b.iter_with_large_drop(|| {
                let mut next = shared.clone();
                next.insert(nodes / 2, Arc::new(with_less_capacity(&h, nodes / 2)));
                next
            });
        });
        let next = h.with_node(nodes / 2, with_less_capacity(&h, nodes / 2));
        group.bench_function(id("differences, persistent"), |b| b.iter(|| black_box(h.diff(&next).count())));
        group.bench_function(id("get, persistent"), |b| b.iter(|| black_box(h.get(nodes / 3))));
        group.bench_function(id("get, plain map"), |b| b.iter(|| black_box(plain.get(&(nodes / 3)))));
        group.finish();
    }
}

fn cycles(c: &mut Criterion) {
    for nodes in [10u32, 1_000, 100_000] {
        let h = random_hierarchy(nodes, &mut Pcg32::seed_from_u64(1));
        let sources: Vec<Vec<u32>> = h.iter().map(|(_, m)| m.sources.to_vec()).collect();
        let mut order = TopologicalOrder::new(nodes as usize);
        for (a, sources) in sources.iter().enumerate() {
            sources.iter().for_each(|&s| order.insert_edge(a as u32, s).unwrap());
        }
        let mut rng = Pcg32::seed_from_u64(2);
        // Random edges, directed so that they agree with the order and close no cycle.
        let edges: Vec<(u32, u32)> = (0..64)
            .map(|_| {
                let (a, b) = (rng.random_range(1..nodes), rng.random_range(1..nodes));
                if order.position(a) < order.position(b) { (a, b) } else { (b, a) }
            })
            .filter(|(a, b)| a != b && !order.sources(*a).contains(b))
            .collect();
        let mut group = c.benchmark_group("cycles");
        group.sample_size(20);
        group.bench_function(BenchmarkId::new("an edge inserted and removed, incremental", nodes), |b| {
            let mut next = 0;
            b.iter(|| {
                next = (next + 1) % edges.len();
                let (x, y) = edges[next];
                order.insert_edge(x, y).unwrap();
                order.remove_edge(x, y);
            });
        });
        // The reversed edges disagree with the order: nodes have to be reordered, or the edge closes a cycle.
        let against: Vec<(u32, u32)> = edges.iter().map(|(a, b)| (*b, *a)).collect();
        group.bench_function(BenchmarkId::new("an edge against the order, incremental", nodes), |b| {
            let mut next = 0;
            b.iter_batched_ref(
                || order.clone(),
                |order| {
                    next = (next + 1) % against.len();
                    let (x, y) = against[next];
                    black_box(order.insert_edge(x, y).is_ok());
                },
                BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("a full sort", nodes), |b| {
            b.iter(|| black_box(topological_sort(&sources).is_ok()))
        });
        group.finish();
    }
}

fn plans(c: &mut Criterion) {
    let mut group = c.benchmark_group("plans");
    group.sample_size(10);
    for (nodes, moves) in [(100, 3), (1_000, 50), (10_000, 500)] {
        let mut rng = Pcg32::seed_from_u64(3);
        let h = random_hierarchy(nodes, &mut rng);
        let other = random_hierarchy(nodes, &mut Pcg32::seed_from_u64(4));
        let mut target = h.clone();
        for _ in 0..moves {
            let n = rng.random_range(nodes / 20 + 1..nodes);
            target = target.with_node(n, Arc::clone(other.get(n).unwrap()));
        }
        let name = format!("{nodes} nodes, {moves} moved");
        group.bench_function(&name, |b| b.iter(|| black_box(plan(&h, &target, 0).unwrap().steps.len())));
    }
    group.finish();
}

criterion_group!(benches, versions, cycles, plans);
criterion_main!(benches);
