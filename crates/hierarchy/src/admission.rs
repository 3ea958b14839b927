//! Checks whether a version may become the target of a change. A rejection names the node and the cause.

use std::sync::Arc;

use thiserror::Error;

use crate::load_flow::{FlowGraph, FlowNode, LOAD_TOLERANCE, NodeIndex};
use crate::spec::SpecError;
use crate::topological_order::TopologicalOrder;
use crate::version::{FULL_SHARE, Hierarchy, HierarchyNode, NodeId};

/// The largest capacity and the largest demand of a node, in requests per second.
const MAX_LOAD: f64 = 1e9;

/// Why a version is rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum AdmissionError {
    /// A source is not in the version.
    #[error(
        "{node}: its source {source_name} is not in the hierarchy (add it, or remove it from the sources)"
    )]
    UnknownSource {
        /// The node that names the source.
        node: Arc<str>,
        /// The name of the missing source, or its number if the name is not known.
        source_name: String,
    },
    /// A source is of a tier that the node may not fill from, or an origin has a source.
    #[error(
        "{node} (tier {tier}): its source {source_name} is of tier {source_tier} (name one nearer to the origin)"
    )]
    SourceTier {
        /// The node that names the source.
        node: Arc<str>,
        /// The tier of the node.
        tier: u8,
        /// The name of the source.
        source_name: Arc<str>,
        /// The tier of the source.
        source_tier: u8,
    },
    /// None of a node's sources leads to an origin.
    #[error("{node}: it has no path to the origin (give it a source that has one)")]
    NoPathToOrigin {
        /// The node.
        node: Arc<str>,
    },
    /// A fill could return to a node that it has passed.
    #[error("a fill could run in a loop: {} (remove one of these sources)", .path.join(" > "))]
    Cycle {
        /// The nodes of the loop; the first and the last node are the same.
        path: Vec<Arc<str>>,
    },
    /// The nodes of a tier together get more load than their total capacity.
    #[error(
        "tier {tier} gets {load:.0} requests a second and can take {capacity:.0} \
         (add capacity to the tier, or raise the hit ratios of the nodes that fill from it)"
    )]
    TierOverloaded {
        /// The tier.
        tier: u8,
        /// The load in requests per second.
        load: f64,
        /// The capacity in requests per second.
        capacity: f64,
    },
    /// A node gets more load than its capacity.
    #[error(
        "{node} gets {load:.0} requests a second and can take {capacity:.0} \
         (give the nodes that fill from it another source)"
    )]
    NodeOverloaded {
        /// The node.
        node: Arc<str>,
        /// The load in requests per second.
        load: f64,
        /// The capacity in requests per second.
        capacity: f64,
    },
    /// The origin gets more load than the ceiling less the margin.
    #[error("the origin gets {load:.0} fetches a second, of {limit:.0} that ceiling and margin leave")]
    OriginOverloaded {
        /// The load in fetches per second.
        load: f64,
        /// The limit in fetches per second.
        limit: f64,
    },
    /// The spec can't be converted to a version.
    #[error("{0} (give each node one name and one form)")]
    InvalidSpec(#[from] SpecError),
    /// No node is of tier 0.
    #[error("no origin: no node is of tier 0")]
    NoOrigin,
    /// A value of a node is out of its range.
    #[error("{node}: {key} is {value}, which is out of its range")]
    OutOfRange {
        /// The node.
        node: Arc<str>,
        /// The key of the value in the settings file.
        key: &'static str,
        /// The value.
        value: f64,
    },
}

/// Admits successive versions. The topological order of the last one is kept, so that the cost of the loop check depends
/// on the size of the change, not on the size of the version.
#[derive(Clone, Debug)]
pub struct Admission {
    order: TopologicalOrder,
    last: Hierarchy,
}

impl Admission {
    /// Admits the first version.
    ///
    /// # Errors
    /// Returns the rule that the version violates, if it violates one.
    pub fn new(first: Hierarchy) -> Result<Admission, AdmissionError> {
        let mut admission = Admission::empty(&first);
        admission.admit(&first)?;
        Ok(admission)
    }

    /// Starts from a version that is applied already. It may be an intermediate version of a change, so its load is not
    /// checked.
    ///
    /// # Errors
    /// Returns the rule about nodes, sources or loops that the version violates, if it violates one.
    pub fn from_active(version: Hierarchy) -> Result<Admission, AdmissionError> {
        let mut admission = Admission::empty(&version);
        admission.check_nodes_and_cycles(&version)?;
        admission.last = version;
        Ok(admission)
    }

    fn empty(version: &Hierarchy) -> Admission {
        let last = Hierarchy::new((*version.rules).clone());
        Admission { order: TopologicalOrder::default(), last }
    }

    /// Checks a version that a participant is about to apply. It may be an intermediate version of a change. The load is
    /// not checked, because the steps of the plan bound it.
    ///
    /// # Errors
    /// Returns the rule that the version violates, if it violates one; the version must not be applied then.
    pub fn check_structure(version: &Hierarchy) -> Result<(), AdmissionError> {
        Admission::from_active(version.clone())?;
        check_paths_to_origin(version, RequiredPaths::NodesInUse)
    }

    /// The version that was admitted last.
    pub fn last_admitted(&self) -> &Hierarchy {
        &self.last
    }

    /// Checks a version and makes it the last admitted one.
    ///
    /// # Errors
    /// Returns the rule that the version violates, if it violates one; the last admitted version stays.
    pub fn admit(&mut self, version: &Hierarchy) -> Result<(), AdmissionError> {
        self.check_nodes_and_cycles(version)?;
        let checked =
            check_paths_to_origin(version, RequiredPaths::AllNodes).and_then(|()| check_loads(version));
        if let Err(error) = checked {
            // The order has the edges of the rejected version. Restore those of the last one, which had no cycle.
            let last = self.last.clone();
            self.replace_edges(version, &last).map_err(|cycle| cycle_error(&last, &cycle))?;
            return Err(error);
        }
        self.last = version.clone();
        Ok(())
    }

    fn check_nodes_and_cycles(&mut self, version: &Hierarchy) -> Result<(), AdmissionError> {
        if let Some(name) = version.duplicate_name() {
            return Err(SpecError::DuplicateNode { node: name.to_owned() }.into());
        }
        check_changed_nodes(&self.last, version)?;
        let last = self.last.clone();
        self.replace_edges(&last, version).map_err(|cycle| cycle_error(version, &cycle))
    }

    /// Replaces the edges of one version with those of another in the topological order. If the new edges close a cycle,
    /// restores the old ones and returns the cycle.
    fn replace_edges(&mut self, from: &Hierarchy, to: &Hierarchy) -> Result<(), Vec<u32>> {
        let nodes = to.iter().last().map_or(0, |(id, _)| id as usize + 1);
        self.order.grow(nodes.max(self.order.len()));
        let (mut removed, mut added) = (Vec::new(), Vec::new());
        for difference in from.diff(to) {
            removed.extend(edges(difference.node, difference.before.as_ref()));
            added.extend(edges(difference.node, difference.after.as_ref()));
        }
        removed.iter().for_each(|&(node, source)| self.order.remove_edge(node, source));
        for (index, &(node, source)) in added.iter().enumerate() {
            self.order.grow(source as usize + 1);
            if let Err(cycle) = self.order.insert_edge(node, source) {
                added[..index].iter().for_each(|&(node, source)| self.order.remove_edge(node, source));
                for &(node, source) in &removed {
                    // These edges were in the acyclic graph before, so they close no cycle.
                    let _ = self.order.insert_edge(node, source);
                }
                return Err(cycle);
            }
        }
        Ok(())
    }
}

/// The edges from a node to its sources; none if there is no node.
fn edges(id: NodeId, node: Option<&Arc<HierarchyNode>>) -> Vec<(NodeId, NodeId)> {
    node.map_or_else(Vec::new, |node| node.sources.iter().map(|source| (id, *source)).collect())
}

fn cycle_error(version: &Hierarchy, cycle: &[NodeId]) -> AdmissionError {
    AdmissionError::Cycle { path: cycle.iter().map(|node| version.node_name(*node).into()).collect() }
}

/// Checks the value ranges and the sources of each node that changed. If a node was removed, the sources of all nodes
/// are checked, since an unchanged node may still name it.
fn check_changed_nodes(last: &Hierarchy, version: &Hierarchy) -> Result<(), AdmissionError> {
    let mut is_node_removed = false;
    for difference in last.diff(version) {
        match difference.after {
            Some(node) => {
                check_ranges(&node)?;
                check_sources(last, version, &node)?;
            }
            None => is_node_removed = true,
        }
    }
    if is_node_removed {
        for (_, node) in version.iter() {
            if let Some(source) = node.sources.iter().find(|source| version.get(**source).is_none()) {
                let source_name = last.node_name(*source).to_owned();
                return Err(AdmissionError::UnknownSource { node: Arc::clone(&node.name), source_name });
            }
        }
    }
    Ok(())
}

fn check_sources(last: &Hierarchy, version: &Hierarchy, node: &HierarchyNode) -> Result<(), AdmissionError> {
    for id in node.sources.iter() {
        let Some(source) = version.get(*id) else {
            let source_name = match last.get(*id) {
                Some(removed) => removed.name.to_string(),
                None => format!("number {id}"),
            };
            return Err(AdmissionError::UnknownSource { node: Arc::clone(&node.name), source_name });
        };
        let is_tier_forbidden =
            if version.rules.allows_siblings { source.tier > node.tier } else { source.tier >= node.tier };
        if is_tier_forbidden || node.is_origin() {
            return Err(AdmissionError::SourceTier {
                node: Arc::clone(&node.name),
                tier: node.tier,
                source_name: Arc::clone(&source.name),
                source_tier: source.tier,
            });
        }
    }
    Ok(())
}

fn check_ranges(node: &HierarchyNode) -> Result<(), AdmissionError> {
    let is_load = |value: f64| value.is_finite() && (0.0..=MAX_LOAD).contains(&value);
    let values = [
        ("capacity", node.capacity, is_load(node.capacity)),
        ("demand", node.demand, is_load(node.demand)),
        ("hit", node.hit_ratio, (0.0..=1.0).contains(&node.hit_ratio)),
        ("share", f64::from(node.ring_share), node.ring_share <= FULL_SHARE),
    ];
    for (key, value, is_in_range) in values {
        if !is_in_range {
            return Err(AdmissionError::OutOfRange { node: Arc::clone(&node.name), key, value });
        }
    }
    Ok(())
}

/// The nodes that need a path to an origin.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequiredPaths {
    AllNodes,
    /// The nodes that another node may fill from, and those that have demand from clients.
    NodesInUse,
}

/// Checks that the required nodes have a path to an origin through nodes that take virtual nodes.
fn check_paths_to_origin(version: &Hierarchy, required: RequiredPaths) -> Result<(), AdmissionError> {
    let index = NodeIndex::from_versions(&[version]);
    let dependents = dependents(version, &index);
    let mut leads_to_origin = vec![false; index.ids.len()];
    let mut unvisited = Vec::new();
    for (at, id) in index.ids.iter().enumerate() {
        if version.get(*id).is_some_and(|node| node.is_origin()) {
            leads_to_origin[at] = true;
            unvisited.push(at as u32);
        }
    }
    if unvisited.is_empty() {
        return Err(AdmissionError::NoOrigin);
    }
    while let Some(at) = unvisited.pop() {
        for &dependent in &dependents[at as usize] {
            if !std::mem::replace(&mut leads_to_origin[dependent as usize], true) {
                unvisited.push(dependent);
            }
        }
    }
    let is_required = |at: usize| {
        let has_demand = version.get(index.ids[at]).is_some_and(|node| node.demand > 0.0);
        required == RequiredPaths::AllNodes || has_demand || !dependents[at].is_empty()
    };
    match (0..leads_to_origin.len()).find(|&at| !leads_to_origin[at] && is_required(at)) {
        Some(at) => Err(AdmissionError::NoPathToOrigin { node: version.node_name(index.ids[at]).into() }),
        None => Ok(()),
    }
}

/// For each node the nodes that may fill from it; none for a node that takes no virtual nodes.
fn dependents(version: &Hierarchy, index: &NodeIndex) -> Vec<Vec<u32>> {
    let mut dependents = vec![Vec::new(); index.ids.len()];
    for (at, id) in index.ids.iter().enumerate() {
        for source in version.active_sources(*id).filter_map(|source| index.position(source)) {
            dependents[source as usize].push(at as u32);
        }
    }
    dependents
}

/// Checks the load of the origin, of each tier and of each node.
fn check_loads(version: &Hierarchy) -> Result<(), AdmissionError> {
    let index = NodeIndex::from_versions(&[version]);
    let nodes: Vec<Option<FlowNode>> = index.flow_nodes(version);
    let graph = FlowGraph::new(nodes.iter().map(Option::as_ref).collect()).map_err(|cycle| {
        let ids: Vec<NodeId> = cycle.iter().map(|&at| index.ids[at as usize]).collect();
        cycle_error(version, &ids)
    })?;
    let (load, limit) = (graph.origin_load(), version.rules.ceiling * (1.0 - version.rules.margin));
    if load > limit + LOAD_TOLERANCE {
        return Err(AdmissionError::OriginOverloaded { load, limit });
    }
    check_tier_loads(&graph)?;
    for (at, &load) in graph.incoming_load.iter().enumerate() {
        if let Some(node) = graph.node(at as u32).filter(|node| load > node.capacity + LOAD_TOLERANCE) {
            let (node, capacity) = (Arc::clone(&node.name), node.capacity);
            return Err(AdmissionError::NodeOverloaded { node, load, capacity });
        }
    }
    Ok(())
}

fn check_tier_loads(graph: &FlowGraph<'_>) -> Result<(), AdmissionError> {
    /// Sums over the nodes of a tier, in requests per second.
    #[derive(Clone, Copy, Default)]
    struct TierLoad {
        load: f64,
        capacity: f64,
    }
    let mut tiers = [TierLoad::default(); u8::MAX as usize + 1];
    for (at, load) in graph.incoming_load.iter().enumerate() {
        if let Some(node) = graph.node(at as u32) {
            let tier = &mut tiers[usize::from(node.tier)];
            tier.load += load;
            tier.capacity += node.capacity;
        }
    }
    for (tier, TierLoad { load, capacity }) in tiers.into_iter().enumerate() {
        if load > capacity + LOAD_TOLERANCE {
            return Err(AdmissionError::TierOverloaded { tier: tier as u8, load, capacity });
        }
    }
    Ok(())
}
