//! Generates the hierarchy of an experiment and changes of it from the seed.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_hierarchy::{Admission, FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId};

use super::{COLLAPSE_MULTIPLE, NS_PER_SECOND, SLOW_START_INITIAL_SHARE, SLOW_START_WINDOW_NS};
use crate::client_load::BUDGET_MS;
use crate::settings::Experiment;

const FILL_WINDOW_NS: u64 = NS_PER_SECOND / 2;
const STEP_TIMEOUT_NS: u64 = 8 * NS_PER_SECOND;
/// The share of the origin's ceiling that plans leave unused.
const CEILING_MARGIN: f64 = 0.1;
const ORIGIN: NodeId = 0;
const ORIGIN_TIER: u8 = 0;
const CACHE_TIER: u8 = 3;
/// How many random hierarchies are tried until one is admitted.
const MAX_DRAWS: usize = 50;
/// The probability that a parent of the tier next to the origin fills from others of its tier, if the settings allow
/// it.
const CHAIN_PROBABILITY: f64 = 0.4;
/// The probability that a change of a parent removes it.
const REMOVAL_PROBABILITY: f64 = 0.2;
/// The probability that two parents, one of which fills from the other, swap places.
const SWAP_PROBABILITY: f64 = 0.6;

/// The nodes that a change replaces. `None` removes a node.
type NodeChanges = Vec<(NodeId, Option<Arc<HierarchyNode>>)>;

/// Generates hierarchies. The origin is node 0, followed by the parents and then the caches.
pub(super) struct HierarchyGenerator<'a> {
    experiment: &'a Experiment,
    pub(super) rng: Pcg32,
}

impl HierarchyGenerator<'_> {
    pub(super) fn new(experiment: &Experiment) -> HierarchyGenerator<'_> {
        HierarchyGenerator { experiment, rng: Pcg32::seed_from_u64(experiment.seed) }
    }

    fn rules(&self) -> HierarchyRules {
        HierarchyRules {
            ceiling: self.experiment.ceiling,
            margin: CEILING_MARGIN,
            slow_start_initial_share: SLOW_START_INITIAL_SHARE,
            slow_start_window: SLOW_START_WINDOW_NS,
            collapse_multiple: COLLAPSE_MULTIPLE,
            allows_siblings: true,
            drain_window: (BUDGET_MS + 100) * 1_000_000,
            fill_window: FILL_WINDOW_NS,
            step_timeout: STEP_TIMEOUT_NS,
        }
    }

    fn node(&self, name: &str, tier: u8, sources: &[NodeId]) -> HierarchyNode {
        let rate = self.experiment.rate as f64;
        let is_cache = tier == CACHE_TIER;
        let is_origin = tier == ORIGIN_TIER;
        HierarchyNode {
            name: name.into(),
            tier,
            sources: sources.into(),
            capacity: if is_origin { 10.0 * rate } else { rate },
            demand: if is_cache { rate / self.experiment.caches as f64 } else { 0.0 },
            hit_ratio: if is_origin { 0.0 } else { self.experiment.hit },
            ring_share: FULL_SHARE,
            started_at: 0,
        }
    }

    fn parents(&self) -> NodeId {
        self.experiment.uppers as NodeId
    }

    fn is_parent(&self, id: NodeId) -> bool {
        (1..=self.parents()).contains(&id)
    }

    /// The first hierarchy: caches fill from half of the parents, which fill from the other half.
    pub(super) fn initial(&mut self) -> Hierarchy {
        let parents = self.parents();
        let near_caches = parents.div_ceil(2);
        let near_origin: Vec<NodeId> = (near_caches + 1..=parents).collect();
        let mut hierarchy =
            Hierarchy::new(self.rules()).with_node(ORIGIN, self.node("origin", ORIGIN_TIER, &[]));
        for id in 1..=parents {
            let is_near_caches = id <= near_caches && !near_origin.is_empty();
            let (tier, sources) = if is_near_caches { (2, near_origin.clone()) } else { (1, vec![ORIGIN]) };
            hierarchy = hierarchy.with_node(id, self.parent(id, tier, &sources));
        }
        self.with_caches(hierarchy)
    }

    fn parent(&self, id: NodeId, tier: u8, sources: &[NodeId]) -> HierarchyNode {
        self.node(&format!("upper-{id}"), tier, sources)
    }

    /// Makes all caches fill from all parents of the tier nearest to them.
    fn with_caches(&self, mut hierarchy: Hierarchy) -> Hierarchy {
        let of_tier = |tier: u8| -> Vec<NodeId> {
            hierarchy.iter().filter(|(_, node)| node.tier == tier).map(|(id, _)| id).collect()
        };
        let nearest = [of_tier(2), of_tier(1)].into_iter().find(|ids| !ids.is_empty());
        let sources = nearest.unwrap_or_else(|| vec![ORIGIN]);
        for number in 0..self.experiment.caches as NodeId {
            let id = self.parents() + 1 + number;
            let cache = self.node(&format!("cache-{number}"), CACHE_TIER, &sources);
            if hierarchy.get(id).is_none_or(|old| **old != cache) {
                hierarchy = hierarchy.with_node(id, cache);
            }
        }
        hierarchy
    }

    /// Draws a changed hierarchy, in which parents change tiers and sources, are removed, or return cold. `start_cold`
    /// restarts a node and returns its start time (nanoseconds). Returns `None` if no drawn hierarchy is admitted.
    pub(super) fn next_shape(
        &mut self,
        current: &Hierarchy,
        start_cold: impl Fn(NodeId) -> u64,
    ) -> Option<Hierarchy> {
        for _ in 0..MAX_DRAWS {
            let mut next = current.clone();
            for _ in 0..self.rng.random_range(1..4) {
                next = self.change_parent(next, &start_cold);
            }
            let next = self.swap_chained_parents(next);
            let next = self.with_caches(self.without_missing_sources(next));
            let has_changed = next.diff(current).count() > 0;
            if has_changed && next.len() > self.experiment.caches + 2 && Admission::new(next.clone()).is_ok()
            {
                return Some(next);
            }
        }
        None
    }

    /// Moves one parent to another tier with other sources, removes it, or returns it to the hierarchy.
    fn change_parent(&mut self, hierarchy: Hierarchy, start_cold: impl Fn(NodeId) -> u64) -> Hierarchy {
        let id = self.rng.random_range(1..=self.parents());
        let tier = self.rng.random_range(1..=2u8);
        let sources = self.draw_sources(&hierarchy, id, tier);
        if hierarchy.get(id).is_some() && self.rng.random::<f64>() < REMOVAL_PROBABILITY {
            return hierarchy.without_node(id);
        }
        let started_at = if hierarchy.get(id).is_none() { start_cold(id) } else { 0 };
        hierarchy.with_node(id, HierarchyNode { started_at, ..self.parent(id, tier, &sources) })
    }

    fn draw_sources(&mut self, hierarchy: &Hierarchy, id: NodeId, tier: u8) -> Vec<NodeId> {
        let others =
            hierarchy.iter().filter(|(other, node)| *other != id && self.is_parent(*other) && node.tier == 1);
        let near_origin: Vec<NodeId> = others.map(|(other, _)| other).collect();
        let fills_from_parents = !near_origin.is_empty()
            && (tier == 2 || self.experiment.parent_chains && self.rng.random::<f64>() < CHAIN_PROBABILITY);
        if !fills_from_parents {
            return vec![ORIGIN];
        }
        let mut sources: Vec<NodeId> =
            (0..2).map(|_| near_origin[self.rng.random_range(0..near_origin.len())]).collect();
        sources.sort_unstable();
        sources.dedup();
        sources
    }

    /// Swaps, at random, two parents of which one fills from the other. If such a swap were published in a single step, a
    /// fill could loop between them.
    fn swap_chained_parents(&mut self, hierarchy: Hierarchy) -> Hierarchy {
        let chained: Vec<(NodeId, NodeId)> = hierarchy
            .iter()
            .filter(|(id, _)| self.is_parent(*id))
            .flat_map(|(id, node)| node.sources.iter().map(move |source| (id, *source)).collect::<Vec<_>>())
            .filter(|(_, source)| *source != ORIGIN && hierarchy.get(*source).is_some())
            .collect();
        if chained.is_empty() || self.rng.random::<f64>() >= SWAP_PROBABILITY {
            return hierarchy;
        }
        let (a, b) = chained[self.rng.random_range(0..chained.len())];
        let partner = |id: NodeId| match id {
            _ if id == a => b,
            _ if id == b => a,
            _ => id,
        };
        let swapped: NodeChanges = (1..=self.parents())
            .filter_map(|id| {
                let (own, other) = (hierarchy.get(id)?, hierarchy.get(partner(id))?);
                let mut sources: Vec<NodeId> = other.sources.iter().map(|source| partner(*source)).collect();
                sources.sort_unstable();
                let node = HierarchyNode { tier: other.tier, sources: sources.into(), ..(**own).clone() };
                Some((id, Some(Arc::new(node))))
            })
            .collect();
        hierarchy.with_changes(swapped)
    }

    /// Removes sources that are not in the hierarchy.
    fn without_missing_sources(&self, hierarchy: Hierarchy) -> Hierarchy {
        let is_missing = |source: &NodeId| hierarchy.get(*source).is_none();
        let changed: NodeChanges = hierarchy
            .iter()
            .filter(|(id, node)| *id <= self.parents() && node.sources.iter().any(is_missing))
            .map(|(id, node)| {
                let mut left: Vec<NodeId> =
                    node.sources.iter().copied().filter(|source| !is_missing(source)).collect();
                if left.is_empty() {
                    left.push(ORIGIN);
                }
                (id, Some(Arc::new(HierarchyNode { sources: left.into(), ..(**node).clone() })))
            })
            .collect();
        hierarchy.with_changes(changed)
    }
}
