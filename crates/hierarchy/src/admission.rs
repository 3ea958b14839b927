//! Whether a version may be aimed for. A refusal names the node and the way or figure.

use std::sync::Arc;

use thiserror::Error;

use crate::load_flow::{FlowGraph, NodeIndex};
use crate::topological_order::TopologicalOrder;
use crate::version::{FULL_SHARE, Hierarchy, HierarchyNode, NodeId};

#[derive(Clone, Debug, Error, PartialEq)]
pub enum AdmissionError {
    #[error("{node}: its source {source_name} is in no tier (add it, or take it from the sources)")]
    UnknownSource { node: Arc<str>, source_name: String },
    #[error(
        "{node} (tier {tier}): its source {source_name} is of tier {source_tier} (name one nearer to the origin)"
    )]
    SourceTier { node: Arc<str>, tier: u8, source_name: Arc<str>, source_tier: u8 },
    #[error("{node}: no way leads from it to the origin (give it a source that has one)")]
    NoPathToOrigin { node: Arc<str> },
    #[error("a fill could run in a circle: {} (take one of these sources away)", .way.join(" > "))]
    Cycle { way: Vec<Arc<str>> },
    #[error(
        "tier {tier} is asked for {demand:.0} a second and bears {bears:.0} (add to it, or raise the hit part below)"
    )]
    TierOverloaded { tier: u8, demand: f64, bears: f64 },
    #[error("{node} is asked for {demand:.0} a second and bears {bears:.0} (give its askers another source)")]
    NodeOverloaded { node: Arc<str>, demand: f64, bears: f64 },
    #[error("the origin is asked for {demand:.0} a second, of {most:.0} that ceiling and margin leave")]
    OriginOverloaded { demand: f64, most: f64 },
    #[error("{what} (give each node one name and one form)")]
    DuplicateNode { what: String },
    #[error("no origin: no node is of tier 0")]
    NoOrigin,
    #[error("{node}: {what} is {value}, which is out of its range")]
    OutOfRange { node: Arc<str>, what: &'static str, value: f64 },
}

/// Admits versions one after another; the order of the last one is kept, so that a change costs what it changes.
#[derive(Clone, Debug)]
pub struct Admission {
    order: TopologicalOrder,
    last: Hierarchy,
}

impl Admission {
    pub fn new(first: Hierarchy) -> Result<Admission, AdmissionError> {
        let empty = Hierarchy::new((*first.rules).clone());
        let mut admission = Admission { order: TopologicalOrder::default(), last: empty };
        admission.admit(&first)?;
        Ok(admission)
    }

    /// From a version that is in force already, be it half-way: its loads are not asked about.
    pub fn from_active(version: Hierarchy) -> Result<Admission, AdmissionError> {
        let empty = Hierarchy::new((*version.rules).clone());
        let mut admission = Admission { order: TopologicalOrder::default(), last: empty };
        admission.shaped(&version)?;
        admission.last = version;
        Ok(admission)
    }

    /// Whether a version that a plan leads through can be in force: as `new`, but for loads, which its steps bound.
    pub fn check_structure(version: &Hierarchy) -> Result<(), AdmissionError> {
        Admission::from_active(version.clone())?;
        leads(version, false)
    }

    pub fn last_admitted(&self) -> &Hierarchy {
        &self.last
    }

    /// Takes the version as the last one, or leaves all as it was.
    pub fn admit(&mut self, aim: &Hierarchy) -> Result<(), AdmissionError> {
        self.shaped(aim)?;
        if let Err(refusal) = leads(aim, true).and_then(|()| loads(aim)) {
            // The order has the aim's edges already; those of the last version, which had no cycle, come back.
            let last = self.last.clone();
            self.move_edges(aim, &last).map_err(|way| named(&last, &way))?;
            return Err(refusal);
        }
        self.last = aim.clone();
        Ok(())
    }

    fn shaped(&mut self, aim: &Hierarchy) -> Result<(), AdmissionError> {
        if let Some(name) = aim.duplicate_name() {
            return Err(AdmissionError::DuplicateNode { what: format!("{name}: a node stands twice") });
        }
        lines(&self.last, aim)?;
        self.cycles(aim)
    }

    fn cycles(&mut self, aim: &Hierarchy) -> Result<(), AdmissionError> {
        let last = self.last.clone();
        self.move_edges(&last, aim).map_err(|way| named(aim, &way))
    }

    /// Moves the order from one version's edges to another's. On a cycle it is put back; the way is given.
    fn move_edges(&mut self, from: &Hierarchy, to: &Hierarchy) -> Result<(), Vec<u32>> {
        let top = to.iter().last().map_or(0, |(id, _)| id as usize + 1);
        self.order.grow(top.max(self.order.len()));
        let changed: Vec<_> = from.diff(to).collect();
        let edges =
            |m: &Option<Arc<HierarchyNode>>| m.iter().flat_map(|m| m.sources.to_vec()).collect::<Vec<_>>();
        for d in &changed {
            edges(&d.before).into_iter().for_each(|s| self.order.remove_edge(d.node, s));
        }
        let mut added = Vec::new();
        for d in &changed {
            for s in edges(&d.after) {
                self.order.grow(s as usize + 1);
                if let Err(way) = self.order.insert_edge(d.node, s) {
                    added.into_iter().for_each(|(a, b)| self.order.remove_edge(a, b));
                    for d in &changed {
                        for s in edges(&d.before) {
                            // These were there before, so they close no cycle.
                            let _ = self.order.insert_edge(d.node, s);
                        }
                    }
                    return Err(way);
                }
                added.push((d.node, s));
            }
        }
        Ok(())
    }
}

fn named(h: &Hierarchy, way: &[NodeId]) -> AdmissionError {
    AdmissionError::Cycle { way: way.iter().map(|n| h.node_name(*n).into()).collect() }
}

/// What can be said of each node that changed by itself and its sources. One whose source went has changed too, or
/// names what is in no tier.
fn lines(last: &Hierarchy, aim: &Hierarchy) -> Result<(), AdmissionError> {
    for d in last.diff(aim) {
        let Some(m) = d.after else { continue };
        range(&m)?;
        for s in m.sources.iter() {
            let source = aim.get(*s).ok_or_else(|| AdmissionError::UnknownSource {
                node: Arc::clone(&m.name),
                source_name: match last.get(*s) {
                    Some(gone) => gone.name.to_string(),
                    None => format!("number {s}"),
                },
            })?;
            let far = if aim.rules.allows_siblings { source.tier > m.tier } else { source.tier >= m.tier };
            if far || m.is_origin() {
                return Err(AdmissionError::SourceTier {
                    node: Arc::clone(&m.name),
                    tier: m.tier,
                    source_name: Arc::clone(&source.name),
                    source_tier: source.tier,
                });
            }
        }
    }
    let unknown = |m: &HierarchyNode, s: NodeId| AdmissionError::UnknownSource {
        node: Arc::clone(&m.name),
        source_name: last.node_name(s).to_owned(),
    };
    if last.diff(aim).any(|d| d.after.is_none()) {
        for (_, m) in aim.iter() {
            if let Some(s) = m.sources.iter().find(|s| aim.get(**s).is_none()) {
                return Err(unknown(m, *s));
            }
        }
    }
    Ok(())
}

/// Whether all, or all that are asked or bring demand, lead to an origin over members that have a place in their pie.
fn leads(aim: &Hierarchy, all: bool) -> Result<(), AdmissionError> {
    let index = NodeIndex::from_versions(&[aim]);
    let mut askers: Vec<Vec<u32>> = vec![Vec::new(); index.ids.len()];
    let mut leads = vec![false; index.ids.len()];
    let mut next = Vec::new();
    for (i, id) in index.ids.iter().enumerate() {
        let Some(m) = aim.get(*id) else { continue };
        if m.is_origin() {
            leads[i] = true;
            next.push(i as u32);
        }
        for s in m.sources.iter().filter_map(|s| index.position(*s)) {
            if aim.get(index.ids[s as usize]).is_some_and(|m| m.ring_share > 0) {
                askers[s as usize].push(i as u32);
            }
        }
    }
    if next.is_empty() {
        return Err(AdmissionError::NoOrigin);
    }
    while let Some(n) = next.pop() {
        for &a in &askers[n as usize] {
            if !std::mem::replace(&mut leads[a as usize], true) {
                next.push(a);
            }
        }
    }
    let matters = |i: usize| {
        let brings = aim.get(index.ids[i]).is_some_and(|m| m.demand > 0.0);
        all || brings || !askers[i].is_empty()
    };
    match (0..leads.len()).find(|&i| !leads[i] && matters(i)) {
        Some(i) => Err(AdmissionError::NoPathToOrigin { node: aim.node_name(index.ids[i]).into() }),
        None => Ok(()),
    }
}

fn range(m: &HierarchyNode) -> Result<(), AdmissionError> {
    let out = |what, value| Err(AdmissionError::OutOfRange { node: Arc::clone(&m.name), what, value });
    let amount = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
    if !amount(m.capacity) {
        return out("capacity", m.capacity);
    }
    if !amount(m.demand) {
        return out("demand", m.demand);
    }
    if !(0.0..=1.0).contains(&m.hit_ratio) {
        return out("hit", m.hit_ratio);
    }
    if m.ring_share > FULL_SHARE {
        return out("share", f64::from(m.ring_share));
    }
    Ok(())
}

/// Slack of sums.
const NEAR: f64 = 1e-6;

fn loads(aim: &Hierarchy) -> Result<(), AdmissionError> {
    let index = NodeIndex::from_versions(&[aim]);
    let cells = index.flow_nodes(aim);
    let side = FlowGraph::new(cells.iter().map(Option::as_ref).collect()).map_err(|way| {
        let ids: Vec<NodeId> = way.iter().map(|&n| index.ids[n as usize]).collect();
        named(aim, &ids)
    })?;
    let (demand, most) = (side.origin_load(), aim.rules.ceiling * (1.0 - aim.rules.margin));
    if demand > most + NEAR {
        return Err(AdmissionError::OriginOverloaded { demand, most });
    }
    let mut tiers = vec![(0.0, 0.0); 256];
    for (n, into) in side.incoming_load.iter().enumerate() {
        if let Some(m) = side.node(n as u32) {
            let sums = &mut tiers[usize::from(m.tier)];
            *sums = (sums.0 + into, sums.1 + m.capacity);
        }
    }
    for (tier, (demand, bears)) in tiers.into_iter().enumerate() {
        if demand > bears + NEAR {
            return Err(AdmissionError::TierOverloaded { tier: tier as u8, demand, bears });
        }
    }
    for (n, into) in side.incoming_load.iter().enumerate() {
        if let Some(m) = side.node(n as u32).filter(|m| *into > m.capacity + NEAR) {
            return Err(AdmissionError::NodeOverloaded {
                node: Arc::clone(&m.name),
                demand: *into,
                bears: m.capacity,
            });
        }
    }
    Ok(())
}
