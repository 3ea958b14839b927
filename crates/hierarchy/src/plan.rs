//! Steps from one version to another. In each, whoever holds which of the two versions meanwhile, no fill can run in
//! a circle, no cold node is given more than it bears, and the origin stays below its ceiling.
//!
//! Each node that changes has a track: the states that it goes through. One that joins a pie takes its places by
//! quarters, one that leaves gives them up by quarters, one that changes its tier does both, with its sources
//! changed in between, where nobody asks it. A step moves any number of tracks on by any number of states.
//!
//! Small changes are searched breadth first, so that their steps are the fewest there are of these states. Large
//! ones move as many tracks as a step bears, those nearest to the origin first: a node whose new sources are all
//! in place already can't close a circle, so that a loop alone never stands in the way.

use std::collections::BTreeMap;
use std::sync::Arc;

use sablecross::Ns;
use thiserror::Error;

use crate::load_flow::{
    self, FlowGraph, FlowNode, NodeIndex, TransitionLoad, TransitionViolation, check_transition,
};
use crate::version::{FULL_SHARE, Hierarchy, HierarchyNode, NodeId};

/// Places are taken and given up by so many parts; a large change that finds no way tries finer ones.
const PARTS: [u16; 3] = [4, 16, 64];
/// As many states, of all tracks together, are searched for the fewest steps.
const SMALL: usize = 768;
/// As many looks at a step a search and a sweep may take; each costs time by the nodes and their sources.
const SEARCH_LOOKS: usize = 8_000;
pub const MAX_SWEEP_EVALUATIONS: usize = 4_000;

#[derive(Clone, Debug, PartialEq)]
pub struct PlanStep {
    pub target: Hierarchy,
    pub changed_nodes: Vec<NodeId>,
    /// Fetches a second at the origin: the most there can be in this step, and what it is before.
    pub origin_peak: f64,
    pub origin_before: f64,
    /// Requests a second that change their node.
    pub moved_load: f64,
    /// Nodes that must be so warm before this step.
    pub required_warmth: Vec<(NodeId, f64)>,
    /// How long after the step before it may begin.
    pub min_delay: Ns,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub steps: Vec<PlanStep>,
    /// Whether there are no fewer steps of these states.
    pub is_minimal: bool,
    pub evaluations: usize,
}

#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlanError {
    #[error("after {done} of {of} moves a fill could run in a circle: {}", .way.join(" > "))]
    Cycle { done: usize, of: usize, way: Vec<Arc<str>> },
    #[error(
        "after {done} of {of} moves {node} could be asked and has no way to the origin (give it a source)"
    )]
    NoPathToOrigin { done: usize, of: usize, node: Arc<str> },
    #[error(
        "after {done} of {of} moves {node} would be asked for {load:.0} a second and bears {bears:.0}: \
         raise its capacity, or begin it earlier"
    )]
    NodeOverloaded { done: usize, of: usize, node: Arc<str>, load: f64, bears: f64 },
    #[error(
        "after {done} of {of} moves the origin could be asked for {peak:.0} a second, of {most:.0}: \
         raise the ceiling, or move less at a time"
    )]
    OriginOverloaded { done: usize, of: usize, peak: f64, most: f64 },
    #[error("too much at once: {looks} looks did not end it; change fewer nodes at a time")]
    TooLarge { looks: usize },
}

impl PlanError {
    /// How far past its bound the step was: the least of all that were tried is what stands in every way.
    fn excess(&self) -> f64 {
        match self {
            PlanError::Cycle { .. } | PlanError::NoPathToOrigin { .. } => f64::MAX,
            PlanError::NodeOverloaded { load, bears, .. } => load / bears.max(f64::MIN_POSITIVE),
            PlanError::OriginOverloaded { peak, most, .. } => peak / most.max(f64::MIN_POSITIVE),
            PlanError::TooLarge { .. } => f64::INFINITY,
        }
    }
}

fn milder(before: Option<PlanError>, no: PlanError) -> Option<PlanError> {
    Some(before.filter(|b| b.excess() <= no.excess()).unwrap_or(no))
}

/// The states that one node goes through, the first of them in force.
struct Track {
    node: u32,
    states: Vec<Option<FlowNode>>,
}

struct Board<'a> {
    index: NodeIndex,
    from: &'a Hierarchy,
    to: &'a Hierarchy,
    base: Vec<Option<FlowNode>>,
    tracks: Vec<Track>,
    now: Ns,
}

/// Where each track stands.
type At = Vec<u16>;

/// A plan from what is in force to an aim that was admitted.
pub fn plan(from: &Hierarchy, to: &Hierarchy, now: Ns) -> Result<Plan, PlanError> {
    let mut looks = 0;
    let mut first = None;
    for parts in PARTS {
        let board = Board::new(from, to, now, parts);
        if board.size() <= SMALL {
            let mut searched = 0;
            let found = board.search(&mut searched);
            looks += searched;
            match found {
                Ok(stops) => return Ok(board.steps(&stops, true, looks)),
                Err(PlanError::TooLarge { .. }) => {}
                Err(no) => {
                    first = milder(first, no);
                    continue;
                }
            }
        }
        let mut swept = 0;
        let found = board.sweep(&mut swept);
        looks += swept;
        match found {
            Ok(stops) => return Ok(board.steps(&stops, false, looks)),
            Err(no) => first = milder(first, no),
        }
    }
    Err(first.unwrap_or(PlanError::TooLarge { looks }))
}

/// A jump in one step, whatever comes of it; for comparison.
pub fn direct_step(from: &Hierarchy, to: &Hierarchy) -> PlanStep {
    PlanStep {
        target: to.clone(),
        changed_nodes: from.diff(to).map(|d| d.node).collect(),
        origin_peak: 0.0,
        origin_before: 0.0,
        moved_load: 0.0,
        required_warmth: Vec::new(),
        min_delay: 0,
    }
}

/// The same without sources that are not in it (yet, or any more): nobody is sent there.
fn clean(version: &Hierarchy) -> Hierarchy {
    let named = |m: &HierarchyNode| m.sources.iter().any(|s| version.get(*s).is_none());
    let cleaned: Vec<(NodeId, Option<Arc<HierarchyNode>>)> = version
        .iter()
        .filter(|(_, m)| named(m))
        .map(|(id, m)| {
            let sources = m.sources.iter().copied().filter(|s| version.get(*s).is_some()).collect();
            (id, Some(Arc::new(HierarchyNode { sources, ..(**m).clone() })))
        })
        .collect();
    version.with_changes(cleaned)
}

/// The states between two of one node, both included.
fn states(
    before: Option<&Arc<HierarchyNode>>,
    after: Option<&Arc<HierarchyNode>>,
    parts: u16,
) -> Vec<Option<Arc<HierarchyNode>>> {
    let sized = |m: &Arc<HierarchyNode>, share: u16| {
        Some(Arc::new(HierarchyNode { ring_share: share, ..(**m).clone() }))
    };
    // Down or up to a share by parts of the whole, without the one it begins at.
    let ramp = |m: &Arc<HierarchyNode>, from: u16, to: u16| -> Vec<Option<Arc<HierarchyNode>>> {
        let part = FULL_SHARE / parts;
        let mut all = Vec::new();
        let mut at = from;
        while at != to {
            at = if to > at { (at + part).min(to) } else { at.saturating_sub(part).max(to) };
            all.push(sized(m, at));
        }
        all
    };
    let mut all = vec![before.cloned()];
    match (before, after) {
        (None, None) => {}
        (None, Some(new)) => {
            // It is listed before it takes a place: its askers may name it while nobody is sent there yet.
            all.push(sized(new, 0));
            all.extend(ramp(new, 0, new.ring_share));
        }
        (Some(old), None) => {
            // Nobody is sent there any more before it goes.
            all.extend(ramp(old, old.ring_share, 0));
            all.push(None);
        }
        (Some(old), Some(new)) if old.tier != new.tier || old.started_at != new.started_at => {
            all.extend(ramp(old, old.ring_share, 0));
            let up = ramp(new, 0, new.ring_share);
            all.extend(if up.is_empty() { vec![Some(Arc::clone(new))] } else { up });
        }
        (Some(old), Some(new)) => {
            if old.ring_share != new.ring_share && sized(old, new.ring_share).as_ref() != Some(new) {
                all.push(sized(new, old.ring_share));
            }
            let ends = ramp(new, old.ring_share, new.ring_share);
            all.extend(if ends.is_empty() { vec![Some(Arc::clone(new))] } else { ends });
        }
    }
    all
}

impl<'a> Board<'a> {
    fn new(from: &'a Hierarchy, to: &'a Hierarchy, now: Ns, parts: u16) -> Board<'a> {
        let index = NodeIndex::from_versions(&[from, to]);
        let base = index.flow_nodes(from);
        let tracks = from.diff(to).filter_map(|d| {
            let cells = states(d.before.as_ref(), d.after.as_ref(), parts).into_iter();
            let states = cells.map(|m| m.map(|m| index.flow_node(&m))).collect();
            Some(Track { node: index.position(d.node)?, states })
        });
        let mut tracks: Vec<Track> = tracks.collect();
        // Those nearest to the origin first, as the new version has it.
        let cells = index.flow_nodes(to);
        if let Ok(side) = FlowGraph::new(cells.iter().map(Option::as_ref).collect()) {
            let mut place = vec![0; side.topological_order.len()];
            side.topological_order.iter().enumerate().for_each(|(i, &n)| place[n as usize] = i);
            tracks.sort_by_key(|t| std::cmp::Reverse(place[t.node as usize]));
        }
        Board { index, from, to, base, tracks, now }
    }

    fn end(&self) -> At {
        self.tracks.iter().map(|t| t.states.len() as u16 - 1).collect()
    }

    fn size(&self) -> usize {
        self.tracks.iter().fold(1usize, |n, t| n.saturating_mul(t.states.len()))
    }

    fn side(&self, at: &At) -> Result<FlowGraph<'_>, Vec<u32>> {
        let mut cells: Vec<Option<&FlowNode>> = self.base.iter().map(Option::as_ref).collect();
        for (track, &i) in self.tracks.iter().zip(at) {
            cells[track.node as usize] = track.states[usize::from(i)].as_ref();
        }
        FlowGraph::new(cells)
    }

    fn look(&self, u: &FlowGraph, at: &At, looks: &mut usize) -> Result<TransitionLoad, TransitionViolation> {
        *looks += 1;
        let v = self.side(at).map_err(TransitionViolation::Cycle)?;
        check_transition(u, &v, &self.to.rules, self.now)
    }

    fn name(&self, n: u32) -> Arc<str> {
        let id = self.index.ids[n as usize];
        let name = if self.to.get(id).is_some() { self.to.node_name(id) } else { self.from.node_name(id) };
        name.into()
    }

    fn why(&self, at: &At, breach: TransitionViolation) -> PlanError {
        let done = at.iter().map(|&i| usize::from(i)).sum();
        let of = self.end().iter().map(|&i| usize::from(i)).sum();
        match breach {
            TransitionViolation::Cycle(way) => {
                PlanError::Cycle { done, of, way: way.into_iter().map(|n| self.name(n)).collect() }
            }
            TransitionViolation::NoPathToOrigin(node) => {
                PlanError::NoPathToOrigin { done, of, node: self.name(node) }
            }
            TransitionViolation::NodeOverloaded { node, load, capacity: bears } => {
                PlanError::NodeOverloaded { done, of, node: self.name(node), load, bears }
            }
            TransitionViolation::OriginOverloaded { peak, limit: most } => {
                PlanError::OriginOverloaded { done, of, peak, most }
            }
        }
    }

    /// The fewest steps: breadth first over all states of all tracks.
    fn search(&self, looks: &mut usize) -> Result<Vec<At>, PlanError> {
        let end = self.end();
        let sizes: Vec<usize> = end.iter().map(|&e| usize::from(e) + 1).collect();
        let code = |at: &At| at.iter().zip(&sizes).fold(0, |c, (&i, s)| c * s + usize::from(i));
        let all: Vec<At> = (0..self.size())
            .map(|mut c| {
                let mut at = vec![0; sizes.len()];
                for (i, s) in sizes.iter().enumerate().rev() {
                    at[i] = (c % s) as u16;
                    c /= s;
                }
                at
            })
            .collect();
        let goal = code(&end);
        let mut parent: Vec<Option<usize>> = vec![None; all.len()];
        let mut level = vec![0];
        let mut seen = vec![false; all.len()];
        seen[0] = true;
        let mut mildest: Option<PlanError> = None;
        while !seen[goal] && !level.is_empty() {
            let mut next = Vec::new();
            for &from in &level {
                // Two versions that are each without a loop; a step checks both together.
                let Ok(u) = self.side(&all[from]) else { continue };
                // The most that moves on comes first, so that of plans as short the quicker one is found.
                for to in (from + 1..all.len()).rev() {
                    if seen[to] || all[from].iter().zip(&all[to]).any(|(a, b)| b < a) {
                        continue;
                    }
                    if *looks >= SEARCH_LOOKS {
                        return Err(PlanError::TooLarge { looks: *looks });
                    }
                    match self.look(&u, &all[to], looks) {
                        Ok(_) => {
                            seen[to] = true;
                            parent[to] = Some(from);
                            next.push(to);
                            if to == goal {
                                break;
                            }
                        }
                        Err(breach) => {
                            let no = self.why(&all[from], breach);
                            if mildest.as_ref().is_none_or(|m| no.excess() < m.excess()) {
                                mildest = Some(no);
                            }
                        }
                    }
                }
                if seen[goal] {
                    break;
                }
            }
            level = next;
        }
        if !seen[goal] {
            return Err(mildest.unwrap_or(PlanError::TooLarge { looks: *looks }));
        }
        let mut way = Vec::new();
        let mut at = goal;
        while let Some(before) = parent[at] {
            way.push(all[at].clone());
            at = before;
        }
        way.reverse();
        Ok(way)
    }

    /// As many tracks as a step bears, until all have come to their ends.
    fn sweep(&self, looks: &mut usize) -> Result<Vec<At>, PlanError> {
        let end = self.end();
        let mut at: At = vec![0; end.len()];
        let mut stops = Vec::new();
        while at != end {
            let u = self.side(&at).map_err(|way| self.why(&at, TransitionViolation::Cycle(way)))?;
            let open: Vec<usize> = (0..end.len()).filter(|&i| at[i] < end[i]).collect();
            let mut next = at.clone();
            let mut last = None;
            self.move_on(&u, &open, &end, &mut next, looks, &mut last);
            if next == at {
                let breach = last.unwrap_or(TransitionViolation::Cycle(Vec::new()));
                let no = self.why(&at, breach);
                return Err(if *looks >= MAX_SWEEP_EVALUATIONS {
                    PlanError::TooLarge { looks: *looks }
                } else {
                    no
                });
            }
            at = next;
            stops.push(at.clone());
        }
        Ok(stops)
    }

    /// Moves these tracks on as far as goes: all at once, else each half for itself.
    fn move_on(
        &self,
        u: &FlowGraph,
        open: &[usize],
        end: &At,
        next: &mut At,
        looks: &mut usize,
        last: &mut Option<TransitionViolation>,
    ) {
        if open.is_empty() || *looks >= MAX_SWEEP_EVALUATIONS {
            return;
        }
        let mut tried = next.clone();
        open.iter().for_each(|&i| tried[i] = end[i]);
        match self.look(u, &tried, looks) {
            Ok(_) => *next = tried,
            Err(breach) if open.len() == 1 => {
                *last = Some(breach);
                // Halfway, a quarter of the way, down to one state.
                let i = open[0];
                let mut ahead = (end[i] - next[i]) / 2;
                while ahead > 0 {
                    let mut tried = next.clone();
                    tried[i] += ahead;
                    match self.look(u, &tried, looks) {
                        Ok(_) => {
                            *next = tried;
                            return;
                        }
                        Err(breach) => *last = Some(breach),
                    }
                    ahead /= 2;
                }
            }
            Err(_) => {
                let (first, rest) = open.split_at(open.len() / 2);
                self.move_on(u, first, end, next, looks, last);
                self.move_on(u, rest, end, next, looks, last);
            }
        }
    }

    fn steps(&self, stops: &[At], fewest: bool, looks: usize) -> Plan {
        let rules = &self.to.rules;
        // The aim's rules hold from the first step on.
        let mut before: At = vec![0; self.tracks.len()];
        let mut version = self.from.with_rules(Arc::clone(rules));
        let mut last = version.clone();
        // Since when a node is asked, as the plan goes.
        let mut asked: BTreeMap<u32, Ns> = BTreeMap::new();
        let mut time = self.now;
        let mut steps = Vec::new();
        let mut stirred = false;
        for at in stops {
            let mut looks = 0;
            let reckoned =
                self.side(&before).ok().and_then(|u| self.look(&u, at, &mut looks).ok()).unwrap_or(
                    TransitionLoad {
                        origin_peak: 0.0,
                        origin_before: 0.0,
                        moved_load: 0.0,
                        required_warmth: Vec::new(),
                    },
                );
            // What the step before has moved fills first.
            let mut wait = if stirred { rules.fill_window } else { 0 };
            stirred = reckoned.moved_load > 0.0;
            for &(n, need) in &reckoned.required_warmth {
                let id = self.index.ids[n as usize];
                let warm = self
                    .from
                    .get(id)
                    .map_or(rules.slow_start_initial_share, |m| load_flow::warmth(m, rules, self.now));
                let begun = asked.get(&n).copied();
                // Its warmth counts from when it is asked; one that was asked before the plan has what it has.
                let (since, from) = begun.map_or((self.now, warm), |at| (at, rules.slow_start_initial_share));
                let part = ((need - from) / (1.0 - rules.slow_start_initial_share).max(1e-9)).max(0.0);
                let ready = since + (part * rules.slow_start_window as f64) as Ns;
                wait = wait.max(ready.saturating_sub(time));
            }
            time += wait;
            let changes: Vec<(NodeId, Option<Arc<HierarchyNode>>)> = self
                .tracks
                .iter()
                .enumerate()
                .filter(|(i, _)| before[*i] != at[*i])
                .map(|(i, t)| {
                    let cell = t.states[usize::from(at[i])].as_ref();
                    (self.index.ids[t.node as usize], cell.map(|c| Arc::clone(&c.node)))
                })
                .collect();
            for (id, member) in &changes {
                if let (Some(n), Some(m)) = (self.index.position(*id), member)
                    && m.ring_share > 0
                {
                    asked.entry(n).or_insert(time);
                }
            }
            version = version.with_changes(changes);
            let to = clean(&version);
            let changed = last.diff(&to).map(|d| d.node).collect();
            last = to.clone();
            let needs =
                reckoned.required_warmth.iter().map(|&(n, w)| (self.index.ids[n as usize], w)).collect();
            let TransitionLoad { origin_peak: peak, origin_before: was, moved_load: moved, .. } = reckoned;
            steps.push(PlanStep {
                target: to,
                changed_nodes: changed,
                origin_peak: peak,
                origin_before: was,
                moved_load: moved,
                required_warmth: needs,
                min_delay: wait,
            });
            before = at.clone();
        }
        Plan { steps, is_minimal: fewest, evaluations: looks }
    }
}
