//! The load of each node, and its peak while participants apply two successive versions.
//!
//! A request that a node can't answer from its cache goes to one of its sources of the highest tier, in proportion to
//! their virtual nodes.
//! The load is linear in the clients' demand, so the peak over all mixtures of two versions is found exactly by one pass
//! backwards from the target, in which each node uses whichever of its two versions sends more load to the target.
//! Objects that have moved to a node are not cached there yet, so the node forwards all requests for them.

use std::sync::Arc;

use sablecross::Ns;

use crate::topological_order::topological_sort;
use crate::version::{COLD_LOAD_FRACTION, Hierarchy, HierarchyNode, HierarchyRules, NodeId};

/// The tolerance for comparisons of sums of loads, in requests per second.
pub(crate) const LOAD_TOLERANCE: f64 = 1e-6;

/// A node of one version, with its sources as indexes of a [`NodeIndex`].
#[derive(Clone, Debug)]
pub struct FlowNode {
    /// The node as the version defines it.
    pub node: Arc<HierarchyNode>,
    /// The indexes of its sources.
    pub sources: Vec<u32>,
}

/// The flow of requests through one version. All vectors are indexed by the positions of a [`NodeIndex`].
#[derive(Clone, Debug)]
pub struct FlowGraph<'a> {
    /// The nodes; `None` for a node that the version does not have.
    pub nodes: Vec<Option<&'a FlowNode>>,
    /// For each node the sources that it may fill from.
    pub possible_sources: Vec<Vec<u32>>,
    /// The load of each node, in requests per second.
    pub incoming_load: Vec<f64>,
    /// All nodes, each before its sources.
    pub topological_order: Vec<u32>,
    /// For each node the sources that it fills from while all are up, each with its fraction of the forwarded load.
    preferred_sources: Vec<Vec<(u32, f64)>>,
}

/// Why one version must not follow another.
#[derive(Clone, Debug, PartialEq)]
pub enum TransitionViolation {
    /// A fill could return to a node that it has passed, along this path.
    Cycle(Vec<u32>),
    /// A node could get requests while it has no source in one of the two versions.
    NoPathToOrigin(u32),
    /// A node could get more load than it can take.
    NodeOverloaded {
        /// The index of the node.
        node: u32,
        /// The load in requests per second.
        load: f64,
        /// The capacity at the node's warmth, in requests per second.
        capacity: f64,
    },
    /// The origin could get more load than the ceiling less the margin.
    OriginOverloaded {
        /// The peak load in fetches per second.
        peak: f64,
        /// The limit in fetches per second.
        limit: f64,
    },
}

/// The load during a step from one version to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransitionLoad {
    /// The peak load of the origin, in fetches per second.
    pub origin_peak: f64,
    /// The load of the origin before the step, in fetches per second.
    pub origin_before: f64,
    /// The sum over all nodes except the origin of the load that the step moves to them, in requests per second.
    pub moved_load: f64,
    /// The nodes that must be warm to some degree before the step, each with its required warmth from 0 to 1.
    pub required_warmth: Vec<(u32, f64)>,
}

impl<'a> FlowGraph<'a> {
    /// Computes the flow through a version.
    ///
    /// # Errors
    /// Returns a cycle if the version has one. The first and the last node of the cycle are the same.
    pub fn new(nodes: Vec<Option<&'a FlowNode>>) -> Result<FlowGraph<'a>, Vec<u32>> {
        let share = |index: u32| nodes[index as usize].map_or(0, |flow| flow.node.ring_share);
        let active_sources = |flow: &FlowNode| -> Vec<u32> {
            flow.sources.iter().copied().filter(|&source| share(source) > 0).collect()
        };
        let possible_sources: Vec<Vec<u32>> =
            nodes.iter().map(|flow| flow.map_or_else(Vec::new, active_sources)).collect();
        let topological_order = topological_sort(&possible_sources)?;
        let preferred_sources =
            possible_sources.iter().map(|sources| preferred_sources(&nodes, sources)).collect();
        let incoming_load = nodes.iter().map(|flow| flow.map_or(0.0, |flow| flow.node.demand)).collect();
        let mut graph =
            FlowGraph { nodes, possible_sources, incoming_load, topological_order, preferred_sources };
        graph.propagate_load();
        Ok(graph)
    }

    /// Adds the load that each node forwards to the load of its sources.
    fn propagate_load(&mut self) {
        for &index in &self.topological_order {
            let forwarded = self.incoming_load[index as usize] * self.miss_ratio(index);
            for &(source, part) in &self.preferred_sources[index as usize] {
                self.incoming_load[source as usize] += forwarded * part;
            }
        }
    }

    /// The fraction of its requests that a node forwards.
    fn miss_ratio(&self, index: u32) -> f64 {
        self.node(index).map_or(0.0, |node| 1.0 - node.hit_ratio)
    }

    /// The load that a node forwards to each source, in requests per second.
    fn outgoing_load(&self, index: u32) -> impl Iterator<Item = (u32, f64)> + '_ {
        let forwarded = self.incoming_load[index as usize] * self.miss_ratio(index);
        self.preferred_sources[index as usize].iter().map(move |&(source, part)| (source, forwarded * part))
    }

    /// The node with this index, if the version has it.
    pub fn node(&self, index: u32) -> Option<&'a HierarchyNode> {
        self.nodes[index as usize].map(|flow| &*flow.node)
    }

    fn is_origin(&self, index: u32) -> bool {
        self.node(index).is_some_and(HierarchyNode::is_origin)
    }

    /// The fetches a second that all origins get.
    pub fn origin_load(&self) -> f64 {
        let indexes = 0..self.nodes.len() as u32;
        indexes.filter(|&index| self.is_origin(index)).map(|index| self.incoming_load[index as usize]).sum()
    }
}

/// Of a node's sources those of the highest tier, with the parts of the load that they get.
fn preferred_sources(nodes: &[Option<&FlowNode>], sources: &[u32]) -> Vec<(u32, f64)> {
    let tier = |index: u32| nodes[index as usize].map_or(0, |flow| flow.node.tier);
    let share = |index: u32| f64::from(nodes[index as usize].map_or(0, |flow| flow.node.ring_share));
    let highest = sources.iter().map(|&source| tier(source)).max();
    let preferred = || sources.iter().copied().filter(|&source| Some(tier(source)) == highest);
    let total: f64 = preferred().map(share).sum();
    preferred().map(|source| (source, share(source) / total)).collect()
}

/// The load that a node can take at a warmth from 0 to 1, in requests per second.
pub fn usable_capacity(node: &HierarchyNode, rules: &HierarchyRules, warmth: f64) -> f64 {
    if warmth >= 1.0 {
        return node.capacity;
    }
    node.capacity * (COLD_LOAD_FRACTION * rules.collapse_multiple * warmth).min(1.0)
}

/// The warmth of a node at the Unix time `now`, from 0 to 1, estimated from the time since its start.
pub fn warmth(node: &HierarchyNode, rules: &HierarchyRules, now: Ns) -> f64 {
    if node.started_at == 0 || node.is_origin() || rules.slow_start_window == 0 {
        return 1.0;
    }
    let elapsed = now.saturating_sub(node.started_at) as f64 / rules.slow_start_window as f64;
    let initial = rules.slow_start_initial_share;
    (initial + (1.0 - initial) * elapsed).min(1.0)
}

/// Two successive versions that participants apply at the same time.
struct Transition<'a> {
    before: &'a FlowGraph<'a>,
    after: &'a FlowGraph<'a>,
    rules: &'a HierarchyRules,
    /// The topological order of both versions together.
    order: Vec<u32>,
    /// For each node the load that the step moves to it, in requests per second; 0 for the origin.
    moved_load: Vec<f64>,
}

/// Checks whether one version may follow another at the Unix time `now`, whichever of the two each participant applies.
///
/// # Errors
/// Returns the bound that the step would violate, if it would violate one.
pub fn check_transition(
    before: &FlowGraph<'_>,
    after: &FlowGraph<'_>,
    rules: &HierarchyRules,
    now: Ns,
) -> Result<TransitionLoad, TransitionViolation> {
    let union = union_of_sources(before, after);
    let order = topological_sort(&union).map_err(TransitionViolation::Cycle)?;
    if let Some(node) = find_dead_end(before, after, &union) {
        return Err(TransitionViolation::NoPathToOrigin(node));
    }
    let moved_load = moved_load(before, after);
    let transition = Transition { before, after, rules, order, moved_load };
    let origin_peak = transition.check_origin()?;
    let required_warmth = transition.check_nodes(now)?;
    Ok(TransitionLoad {
        origin_peak,
        origin_before: before.origin_load(),
        moved_load: transition.moved_load.iter().sum(),
        required_warmth,
    })
}

/// For each node the sources that it may fill from in either version.
fn union_of_sources(before: &FlowGraph<'_>, after: &FlowGraph<'_>) -> Vec<Vec<u32>> {
    let both = before.possible_sources.iter().zip(&after.possible_sources);
    both.map(|(old, new)| {
        let mut union = old.clone();
        union.extend(new.iter().filter(|source| !old.contains(source)));
        union
    })
    .collect()
}

/// Finds a node that other nodes may fill from by one of the versions while it has no source in at least one of them,
/// or that has demand from clients in the later version and no source there. If the node applied the version without a
/// source, it could not fill. So a node has to be in the version before other nodes fill from it, and it can be removed
/// only when no node fills from it any more.
fn find_dead_end(before: &FlowGraph<'_>, after: &FlowGraph<'_>, union: &[Vec<u32>]) -> Option<u32> {
    let mut is_source = vec![false; union.len()];
    union.iter().flatten().for_each(|&source| is_source[source as usize] = true);
    let is_dead_end = |graph: &FlowGraph<'_>, index: u32| match graph.node(index) {
        Some(node) => !node.is_origin() && graph.possible_sources[index as usize].is_empty(),
        None => true,
    };
    let has_demand = |index: u32| after.node(index).is_some_and(|node| node.demand > 0.0);
    (0..union.len() as u32).find(|&index| {
        is_source[index as usize] && (is_dead_end(before, index) || is_dead_end(after, index))
            || has_demand(index) && is_dead_end(after, index)
    })
}

/// For each node the sum of the increases of the load that other nodes forward to it, in requests per second; 0 for the
/// origin.
fn moved_load(before: &FlowGraph<'_>, after: &FlowGraph<'_>) -> Vec<f64> {
    let mut moved = vec![0.0; before.nodes.len()];
    let indexes = 0..before.nodes.len() as u32;
    for index in indexes.clone().filter(|&index| outgoing_differs(before, after, index)) {
        for (source, load) in after.outgoing_load(index) {
            let old =
                before.outgoing_load(index).find(|(old, _)| *old == source).map_or(0.0, |(_, load)| load);
            moved[source as usize] += (load - old).max(0.0);
        }
    }
    for index in indexes.filter(|&index| before.is_origin(index) || after.is_origin(index)) {
        moved[index as usize] = 0.0;
    }
    moved
}

fn outgoing_differs(before: &FlowGraph<'_>, after: &FlowGraph<'_>, index: u32) -> bool {
    let at = index as usize;
    before.preferred_sources[at] != after.preferred_sources[at]
        || (before.incoming_load[at] - after.incoming_load[at]).abs() > LOAD_TOLERANCE
        || before.miss_ratio(index) != after.miss_ratio(index)
}

impl Transition<'_> {
    /// Checks the peak load of the origin against its limit, and returns the peak in fetches per second.
    fn check_origin(&self) -> Result<f64, TransitionViolation> {
        let peak = self.peak_load(|index| self.before.is_origin(index) || self.after.is_origin(index));
        let limit = self.rules.ceiling * (1.0 - self.rules.margin);
        // Above the limit, a step is still allowed if it moves no load and does not raise the load of the origin.
        let adds_load = peak > self.before.origin_load() + LOAD_TOLERANCE
            || self.moved_load.iter().any(|&moved| moved > LOAD_TOLERANCE);
        if peak > limit + LOAD_TOLERANCE && adds_load {
            return Err(TransitionViolation::OriginOverloaded { peak, limit });
        }
        Ok(peak)
    }

    /// Checks the load of all nodes except the origin, and returns those that need warmth before the step.
    fn check_nodes(&self, now: Ns) -> Result<Vec<(u32, f64)>, TransitionViolation> {
        let mut required_warmth = Vec::new();
        for index in 0..self.before.nodes.len() as u32 {
            if let Some(node) = self.after.node(index).filter(|node| !node.is_origin())
                && let Some(required) = self.check_node(index, node, now)?
            {
                required_warmth.push((index, required));
            }
        }
        Ok(required_warmth)
    }

    /// Checks the load of a node. Returns the warmth that it needs before the step if it is cold and its load rises above
    /// its capacity at the initial warmth.
    fn check_node(
        &self,
        index: u32,
        node: &HierarchyNode,
        now: Ns,
    ) -> Result<Option<f64>, TransitionViolation> {
        let old = self.before.incoming_load[index as usize];
        let new = self.after.incoming_load[index as usize];
        let load_rises = new > old + LOAD_TOLERANCE;
        if new > node.capacity + LOAD_TOLERANCE && load_rises {
            return Err(TransitionViolation::NodeOverloaded {
                node: index,
                load: new,
                capacity: node.capacity,
            });
        }
        if warmth(node, self.rules, now) >= 1.0 || !load_rises {
            return Ok(None);
        }
        let load = self.peak_load(|target| target == index);
        let capacity = usable_capacity(node, self.rules, self.rules.slow_start_initial_share);
        if load <= capacity + LOAD_TOLERANCE {
            return Ok(None);
        }
        // A node that gets requests already warms up while the step waits. A node that gets none stays cold.
        let gets_requests = old > 0.0 && self.before.node(index).is_some_and(|node| node.ring_share > 0);
        if !gets_requests {
            return Err(TransitionViolation::NodeOverloaded { node: index, load, capacity });
        }
        let full_load = node.capacity * COLD_LOAD_FRACTION * self.rules.collapse_multiple;
        Ok(Some((load / full_load.max(f64::MIN_POSITIVE)).min(1.0)))
    }

    /// The peak of the load that the targets get together, in requests per second, over all mixtures of the two versions.
    fn peak_load(&self, is_target: impl Fn(u32) -> bool) -> f64 {
        // For each node the number of requests that reach a target for each request that the node gets.
        let mut reach = vec![0.0f64; self.before.nodes.len()];
        let mut peak = 0.0;
        for &index in self.order.iter().rev() {
            let at = index as usize;
            // The number of requests that reach a target for each request that the node forwards.
            let reach_of_forwarded = |graph: &FlowGraph<'_>| -> f64 {
                graph.preferred_sources[at].iter().map(|&(source, part)| part * reach[source as usize]).sum()
            };
            let (old, new) = (reach_of_forwarded(self.before), reach_of_forwarded(self.after));
            let is_target = is_target(index);
            reach[at] = if is_target {
                1.0
            } else {
                (old * self.before.miss_ratio(index)).max(new * self.after.miss_ratio(index))
            };
            let demand = |graph: &FlowGraph<'_>| graph.node(index).map_or(0.0, |node| node.demand);
            peak += demand(self.before).max(demand(self.after)) * reach[at];
            if !is_target {
                let hit_ratio = self.after.node(index).map_or(0.0, |node| node.hit_ratio);
                peak += self.moved_load[at] * hit_ratio * old.max(new);
            }
        }
        peak
    }
}

/// Assigns consecutive indexes to the nodes of one or more versions.
#[derive(Clone, Debug, Default)]
pub struct NodeIndex {
    /// The id of the node at each index, in ascending order.
    pub ids: Vec<NodeId>,
}

impl NodeIndex {
    /// Indexes all nodes of these versions.
    pub fn from_versions(versions: &[&Hierarchy]) -> NodeIndex {
        let mut ids: Vec<NodeId> = versions.iter().flat_map(|h| h.iter().map(|(id, _)| id)).collect();
        ids.sort_unstable();
        ids.dedup();
        NodeIndex { ids }
    }

    /// The index of a node, if one of the versions has it.
    pub fn position(&self, id: NodeId) -> Option<u32> {
        self.ids.binary_search(&id).ok().map(|index| index as u32)
    }

    /// Converts the sources of a node to indexes. Sources that none of the versions has are left out.
    pub fn flow_node(&self, node: &Arc<HierarchyNode>) -> FlowNode {
        let sources = node.sources.iter().filter_map(|source| self.position(*source)).collect();
        FlowNode { node: Arc::clone(node), sources }
    }

    /// The nodes of a version, by index; `None` for a node that the version does not have.
    pub fn flow_nodes(&self, version: &Hierarchy) -> Vec<Option<FlowNode>> {
        self.ids.iter().map(|id| version.get(*id).map(|node| self.flow_node(node))).collect()
    }
}
