//! What each node is asked for, and the most it can be while two versions are mixed.
//!
//! A lookup that a node doesn't answer itself goes to one of its sources, by their places in the pie. Of requests a
//! second that is linear, so the worst mixture of two versions is found exactly by one sweep: seen from the
//! target backwards, each node takes the worse of its two versions for itself. What has moved to a node
//! is not held there yet: all of it is passed on.

use std::sync::Arc;

use sablecross::Ns;

use crate::topological_order;
use crate::version::{COLD_LOAD_FRACTION, Hierarchy, HierarchyNode, HierarchyRules, NodeId};

/// A node as one version has it, its sources by their dense numbers.
#[derive(Clone, Debug)]
pub struct FlowNode {
    pub node: Arc<HierarchyNode>,
    pub sources: Vec<u32>,
}

/// One version by dense numbers: who is sent on to whom, how much, and what comes of it.
#[derive(Clone, Debug)]
pub struct FlowGraph<'a> {
    pub nodes: Vec<Option<&'a FlowNode>>,
    /// By node the sources that it may be sent on to, and the parts of what it passes on.
    pub possible_sources: Vec<Vec<u32>>,
    parts: Vec<Vec<(u32, f64)>>,
    /// Requests a second.
    pub incoming_load: Vec<f64>,
    /// Who is sent on to whom: the asker comes first.
    pub topological_order: Vec<u32>,
}

/// Why one version can't follow another.
#[derive(Clone, Debug, PartialEq)]
pub enum TransitionViolation {
    /// A fill could come back to a node, along this way.
    Cycle(Vec<u32>),
    /// A node could be asked by someone, while it has no way on in one of the two versions.
    NoPathToOrigin(u32),
    /// A node would be asked for more a second than it bears.
    NodeOverloaded { node: u32, load: f64, capacity: f64 },
    /// The origin could be asked for so much a second.
    OriginOverloaded { peak: f64, limit: f64 },
}

/// What a step from one version to another comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct TransitionLoad {
    /// The most that the origin can be asked for, in fetches a second, and what it is before.
    pub origin_peak: f64,
    pub origin_before: f64,
    /// Requests a second that change their node.
    pub moved_load: f64,
    /// The warmth that nodes must have before it.
    pub required_warmth: Vec<(u32, f64)>,
}

impl<'a> FlowGraph<'a> {
    /// A cycle is an error: the way from a node back to it.
    pub fn new(cells: Vec<Option<&'a FlowNode>>) -> Result<FlowGraph<'a>, Vec<u32>> {
        let share = |s: u32| cells[s as usize].map_or(0, |c| c.node.ring_share);
        let may: Vec<Vec<u32>> = cells
            .iter()
            .map(|c| {
                c.map_or_else(Vec::new, |c| c.sources.iter().copied().filter(|&s| share(s) > 0).collect())
            })
            .collect();
        let order = topological_order::topological_sort(&may)?;
        let tier = |s: u32| cells[s as usize].map_or(0, |c| c.node.tier);
        let parts: Vec<Vec<(u32, f64)>> = may
            .iter()
            .map(|may| {
                let nearest = may.iter().map(|&s| tier(s)).max();
                let first = || may.iter().copied().filter(|&s| Some(tier(s)) == nearest);
                let all: f64 = first().map(|s| f64::from(share(s))).sum();
                first().map(|s| (s, f64::from(share(s)) / all)).collect()
            })
            .collect();
        let mut into: Vec<f64> = cells.iter().map(|c| c.map_or(0.0, |c| c.node.demand)).collect();
        for &n in &order {
            let on = into[n as usize] * cells[n as usize].map_or(0.0, |c| 1.0 - c.node.hit_ratio);
            for &(s, part) in &parts[n as usize] {
                into[s as usize] += on * part;
            }
        }
        Ok(FlowGraph {
            nodes: cells,
            possible_sources: may,
            parts,
            incoming_load: into,
            topological_order: order,
        })
    }

    fn passes(&self, n: u32) -> f64 {
        self.nodes[n as usize].map_or(0.0, |c| 1.0 - c.node.hit_ratio)
    }

    /// What a node passes on to each source, in requests a second.
    fn sent(&self, n: u32) -> impl Iterator<Item = (u32, f64)> + '_ {
        let on = self.incoming_load[n as usize] * self.passes(n);
        self.parts[n as usize].iter().map(move |&(s, part)| (s, on * part))
    }

    pub fn node(&self, n: u32) -> Option<&'a HierarchyNode> {
        self.nodes[n as usize].map(|c| &*c.node)
    }

    pub fn origin_load(&self) -> f64 {
        let nodes = 0..self.nodes.len() as u32;
        nodes
            .filter(|&n| self.node(n).is_some_and(HierarchyNode::is_origin))
            .map(|n| self.incoming_load[n as usize])
            .sum()
    }
}

/// What a node bears at a warmth, in requests a second.
pub fn usable_capacity(m: &HierarchyNode, rules: &HierarchyRules, warmth: f64) -> f64 {
    if warmth >= 1.0 {
        m.capacity
    } else {
        m.capacity * (COLD_LOAD_FRACTION * rules.collapse_multiple * warmth).min(1.0)
    }
}

/// How warm a node is, by its time alone.
pub fn warmth(m: &HierarchyNode, rules: &HierarchyRules, now: Ns) -> f64 {
    if m.started_at == 0 || m.is_origin() || rules.slow_start_window == 0 {
        return 1.0;
    }
    let age = now.saturating_sub(m.started_at) as f64 / rules.slow_start_window as f64;
    (rules.slow_start_initial_share + (1.0 - rules.slow_start_initial_share) * age).min(1.0)
}

/// Slack of sums.
const NEAR: f64 = 1e-6;

/// Whether `v` may follow `u`, whoever holds which of the two meanwhile.
pub fn check_transition(
    u: &FlowGraph,
    v: &FlowGraph,
    rules: &HierarchyRules,
    now: Ns,
) -> Result<TransitionLoad, TransitionViolation> {
    let nodes = 0..u.nodes.len() as u32;
    let union: Vec<Vec<u32>> = nodes
        .clone()
        .map(|n| {
            let (old, new) = (&u.possible_sources[n as usize], &v.possible_sources[n as usize]);
            let mut both = old.clone();
            both.extend(new.iter().filter(|s| !old.contains(s)));
            both
        })
        .collect();
    let order = topological_order::topological_sort(&union).map_err(TransitionViolation::Cycle)?;
    if let Some(n) = stranded(u, v, &union) {
        return Err(TransitionViolation::NoPathToOrigin(n));
    }

    let mut moved = vec![0.0; u.nodes.len()];
    for n in nodes.clone().filter(|&n| u.parts[n as usize] != v.parts[n as usize] || differs(u, v, n)) {
        for (s, flow) in v.sent(n) {
            let before = u.sent(n).find(|(t, _)| *t == s).map_or(0.0, |(_, f)| f);
            moved[s as usize] += (flow - before).max(0.0);
        }
    }
    let origin = |n: u32| [u, v].iter().any(|side| side.node(n).is_some_and(HierarchyNode::is_origin));
    nodes.clone().filter(|&n| origin(n)).for_each(|n| moved[n as usize] = 0.0);

    let before = u.origin_load();
    let (most, peak) = (rules.ceiling * (1.0 - rules.margin), worst(u, v, &order, &moved, origin));
    if peak > most + NEAR && !(peak <= before + NEAR && moved.iter().all(|&m| m <= NEAR)) {
        return Err(TransitionViolation::OriginOverloaded { peak, limit: most });
    }
    let mut needs = Vec::new();
    for n in nodes {
        let Some(m) = v.node(n).filter(|m| !m.is_origin()) else { continue };
        let (old, new) = (u.incoming_load[n as usize], v.incoming_load[n as usize]);
        if new > m.capacity + NEAR && new > old + NEAR {
            return Err(TransitionViolation::NodeOverloaded { node: n, load: new, capacity: m.capacity });
        }
        if warmth(m, rules, now) >= 1.0 || new <= old + NEAR {
            continue;
        }
        let load = worst(u, v, &order, &moved, |t| t == n);
        let least = usable_capacity(m, rules, rules.slow_start_initial_share);
        if load <= least + NEAR {
            continue;
        }
        // One that is asked already gets warm if it is waited for; one that is not stays cold.
        let served = u.node(n).is_some_and(|m| m.ring_share > 0) && old > 0.0;
        if !served {
            return Err(TransitionViolation::NodeOverloaded { node: n, load, capacity: least });
        }
        let need = load / (m.capacity * COLD_LOAD_FRACTION * rules.collapse_multiple).max(f64::MIN_POSITIVE);
        needs.push((n, need.min(1.0)));
    }
    Ok(TransitionLoad {
        origin_peak: peak,
        origin_before: before,
        moved_load: moved.iter().sum(),
        required_warmth: needs,
    })
}

/// A node that someone may ask by one of the two versions and that has no way on in the other: one that holds this
/// other could not fill. So a node is listed before it is asked, and asked by nobody before it goes.
fn stranded(u: &FlowGraph, v: &FlowGraph, union: &[Vec<u32>]) -> Option<u32> {
    let mut asked = vec![false; union.len()];
    union.iter().flatten().for_each(|&s| asked[s as usize] = true);
    let ends = |side: &FlowGraph, n: u32| match side.node(n) {
        Some(m) => !m.is_origin() && side.possible_sources[n as usize].is_empty(),
        None => true,
    };
    let brings = |n: u32| v.node(n).is_some_and(|m| m.demand > 0.0);
    (0..union.len() as u32)
        .find(|&n| asked[n as usize] && (ends(u, n) || ends(v, n)) || brings(n) && ends(v, n))
}

fn differs(u: &FlowGraph, v: &FlowGraph, n: u32) -> bool {
    (u.incoming_load[n as usize] - v.incoming_load[n as usize]).abs() > NEAR || u.passes(n) != v.passes(n)
}

/// The most that the targets can be asked for together, in requests a second, over all mixtures of two versions.
fn worst(u: &FlowGraph, v: &FlowGraph, order: &[u32], moved: &[f64], target: impl Fn(u32) -> bool) -> f64 {
    // Of one request that comes to a node, how many reach a target; and of one that it passes on.
    let mut reach = vec![0.0f64; u.nodes.len()];
    let mut sum = 0.0;
    for &n in order.iter().rev() {
        let on = |side: &FlowGraph| -> f64 {
            side.parts[n as usize].iter().map(|&(s, p)| p * reach[s as usize]).sum()
        };
        let (old, new) = (on(u), on(v));
        let held = |side: &FlowGraph| side.node(n).map_or(0.0, |m| m.hit_ratio);
        reach[n as usize] = if target(n) { 1.0 } else { (old * u.passes(n)).max(new * v.passes(n)) };
        let demand = |side: &FlowGraph| side.node(n).map_or(0.0, |m| m.demand);
        sum += demand(u).max(demand(v)) * reach[n as usize];
        if !target(n) {
            sum += moved[n as usize] * held(v) * old.max(new);
        }
    }
    sum
}

/// All versions' nodes by dense numbers.
#[derive(Clone, Debug, Default)]
pub struct NodeIndex {
    pub ids: Vec<NodeId>,
}

impl NodeIndex {
    pub fn from_versions(versions: &[&Hierarchy]) -> NodeIndex {
        let mut ids: Vec<NodeId> = versions.iter().flat_map(|h| h.iter().map(|(id, _)| id)).collect();
        ids.sort_unstable();
        ids.dedup();
        NodeIndex { ids }
    }

    pub fn position(&self, id: NodeId) -> Option<u32> {
        self.ids.binary_search(&id).ok().map(|i| i as u32)
    }

    /// A member's cell; sources that no version has are left out.
    pub fn flow_node(&self, member: &Arc<HierarchyNode>) -> FlowNode {
        let sources = member.sources.iter().filter_map(|s| self.position(*s)).collect();
        FlowNode { node: Arc::clone(member), sources }
    }

    pub fn flow_nodes(&self, h: &Hierarchy) -> Vec<Option<FlowNode>> {
        self.ids.iter().map(|id| h.get(*id).map(|m| self.flow_node(m))).collect()
    }
}
