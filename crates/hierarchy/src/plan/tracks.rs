//! The states that each changing node passes through, and the evaluation of candidate steps between them.

use std::sync::Arc;

use sablecross::Ns;

use super::PlanError;
use crate::load_flow::{
    FlowGraph, FlowNode, NodeIndex, TransitionLoad, TransitionViolation, check_transition,
};
use crate::version::{FULL_SHARE, Hierarchy, HierarchyNode};

/// For each track the index of its current state.
pub(super) type Position = Vec<u16>;

/// A node as a version defines it, or `None` if the version does not have it.
type NodeState = Option<Arc<HierarchyNode>>;

/// The states that one node passes through, from the one before the change to the one after it.
pub(super) struct Track {
    /// The position of the node in [`PlanSpace::index`].
    pub(super) node: u32,
    pub(super) states: Vec<Option<FlowNode>>,
}

/// The search space of plans from one version to another.
pub(super) struct PlanSpace<'a> {
    pub(super) index: NodeIndex,
    pub(super) from: &'a Hierarchy,
    pub(super) to: &'a Hierarchy,
    pub(super) tracks: Vec<Track>,
    pub(super) now: Ns,
    /// The nodes of `from`. The states of the tracks replace those that change.
    base: Vec<Option<FlowNode>>,
}

impl<'a> PlanSpace<'a> {
    /// Creates the search space between two versions, in which nodes take and give up a full share of virtual nodes in
    /// this many parts.
    pub(super) fn new(from: &'a Hierarchy, to: &'a Hierarchy, now: Ns, parts: u16) -> PlanSpace<'a> {
        let index = NodeIndex::from_versions(&[from, to]);
        let base = index.flow_nodes(from);
        let tracks = from.diff(to).filter_map(|difference| {
            let states = node_states(difference.before.as_ref(), difference.after.as_ref(), parts);
            let states = states.into_iter().map(|state| state.map(|node| index.flow_node(&node)));
            Some(Track { node: index.position(difference.node)?, states: states.collect() })
        });
        let mut tracks: Vec<Track> = tracks.collect();
        sort_by_distance(&mut tracks, &index, to);
        PlanSpace { index, from, to, tracks, now, base }
    }

    /// The position at which each track is at its last state.
    pub(super) fn end(&self) -> Position {
        self.tracks.iter().map(|track| track.states.len() as u16 - 1).collect()
    }

    /// The number of positions in the search space.
    pub(super) fn state_count(&self) -> usize {
        self.tracks.iter().fold(1usize, |count, track| count.saturating_mul(track.states.len()))
    }

    /// The flow through the version at a position. The error is a cycle.
    pub(super) fn flow_graph(&self, position: &Position) -> Result<FlowGraph<'_>, Vec<u32>> {
        let mut nodes: Vec<Option<&FlowNode>> = self.base.iter().map(Option::as_ref).collect();
        for (track, &state) in self.tracks.iter().zip(position) {
            nodes[track.node as usize] = track.states[usize::from(state)].as_ref();
        }
        FlowGraph::new(nodes)
    }

    /// Checks a step to a position, and increments the count of evaluations.
    pub(super) fn evaluate(
        &self,
        before: &FlowGraph<'_>,
        position: &Position,
        evaluations: &mut usize,
    ) -> Result<TransitionLoad, TransitionViolation> {
        *evaluations += 1;
        let after = self.flow_graph(position).map_err(TransitionViolation::Cycle)?;
        check_transition(before, &after, &self.to.rules, self.now)
    }

    /// Converts a violation of a step from this position to an error for operators.
    pub(super) fn error(&self, position: &Position, violation: TransitionViolation) -> PlanError {
        let moves = |position: &Position| position.iter().map(|&state| usize::from(state)).sum();
        let (done, of) = (moves(position), moves(&self.end()));
        match violation {
            TransitionViolation::Cycle(cycle) => {
                PlanError::Cycle { done, of, path: cycle.into_iter().map(|node| self.name(node)).collect() }
            }
            TransitionViolation::NoPathToOrigin(node) => {
                PlanError::NoPathToOrigin { done, of, node: self.name(node) }
            }
            TransitionViolation::NodeOverloaded { node, load, capacity } => {
                PlanError::NodeOverloaded { done, of, node: self.name(node), load, capacity }
            }
            TransitionViolation::OriginOverloaded { peak, limit } => {
                PlanError::OriginOverloaded { done, of, peak, limit }
            }
        }
    }

    fn name(&self, node: u32) -> Arc<str> {
        let id = self.index.ids[node as usize];
        let version = if self.to.get(id).is_some() { self.to } else { self.from };
        version.node_name(id).into()
    }
}

/// Sorts tracks so that those of the nodes nearest to the origin in this version come first.
fn sort_by_distance(tracks: &mut [Track], index: &NodeIndex, version: &Hierarchy) {
    let nodes = index.flow_nodes(version);
    // A version with a loop has no topological order, and no plan leads to it.
    let Ok(graph) = FlowGraph::new(nodes.iter().map(Option::as_ref).collect()) else { return };
    let mut ranks = vec![0; graph.topological_order.len()];
    graph.topological_order.iter().enumerate().for_each(|(rank, &node)| ranks[node as usize] = rank);
    tracks.sort_by_key(|track| std::cmp::Reverse(ranks[track.node as usize]));
}

/// The states of one node from `before` to `after`, including both.
fn node_states(
    before: Option<&Arc<HierarchyNode>>,
    after: Option<&Arc<HierarchyNode>>,
    parts: u16,
) -> Vec<NodeState> {
    let mut states = vec![before.cloned()];
    match (before, after) {
        (None, None) => {}
        (None, Some(new)) => {
            // The node is in the version before it takes virtual nodes, so that others can name it as a source while no
            // node fills from it yet.
            states.push(with_share(new, 0));
            states.extend(share_ramp(new, 0, new.ring_share, parts));
        }
        (Some(old), None) => {
            // The node gives up all virtual nodes before it is removed, so that no node fills from it any more.
            states.extend(share_ramp(old, old.ring_share, 0, parts));
            states.push(None);
        }
        (Some(old), Some(new)) if old.tier != new.tier || old.started_at != new.started_at => {
            states.extend(share_ramp(old, old.ring_share, 0, parts));
            states.extend(ramp_or_node(new, 0, parts));
        }
        (Some(old), Some(new)) => {
            let changes_more_than_share = with_share(old, new.ring_share).as_ref() != Some(new);
            if old.ring_share != new.ring_share && changes_more_than_share {
                states.push(with_share(new, old.ring_share));
            }
            states.extend(ramp_or_node(new, old.ring_share, parts));
        }
    }
    states
}

fn with_share(node: &HierarchyNode, ring_share: u16) -> NodeState {
    Some(Arc::new(HierarchyNode { ring_share, ..node.clone() }))
}

/// The states of a node as its share changes from one value to another, part by part, without the initial state.
fn share_ramp(node: &HierarchyNode, from: u16, to: u16, parts: u16) -> Vec<NodeState> {
    let part = FULL_SHARE / parts;
    let mut states = Vec::new();
    let mut share = from;
    while share != to {
        share = if to > share { (share + part).min(to) } else { share.saturating_sub(part).max(to) };
        states.push(with_share(node, share));
    }
    states
}

/// The states as the node's share changes to its final value. If the share does not change, the only state is the node.
fn ramp_or_node(node: &Arc<HierarchyNode>, from: u16, parts: u16) -> Vec<NodeState> {
    let ramp = share_ramp(node, from, node.ring_share, parts);
    if ramp.is_empty() { vec![Some(Arc::clone(node))] } else { ramp }
}
