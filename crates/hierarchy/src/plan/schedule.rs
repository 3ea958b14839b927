//! Turns the positions of a route into steps: the version of each, its load, and when it may start.

use std::collections::BTreeMap;
use std::sync::Arc;

use sablecross::Ns;

use super::tracks::{PlanSpace, Position};
use super::{PlanStep, RequiredWarmth};
use crate::load_flow::{TransitionLoad, warmth};
use crate::version::{Hierarchy, HierarchyNode, NodeId};

/// The steps of a route.
pub(super) fn steps(space: &PlanSpace<'_>, stops: &[Position]) -> Vec<PlanStep> {
    let mut schedule = Schedule::new(space);
    stops.iter().map(|position| schedule.next_step(position)).collect()
}

/// Where a plan stands after some of its steps.
struct Schedule<'a> {
    space: &'a PlanSpace<'a>,
    position: Position,
    /// The version with all sources, also with those that are not in it (yet, or any more).
    version: Hierarchy,
    /// The version as it is published.
    published: Hierarchy,
    /// When each node gets its first request, of those that get one by a step of this plan.
    first_requests: BTreeMap<u32, Ns>,
    time: Ns,
    /// Whether the last step moved load, so that objects have to be filled.
    has_moved_load: bool,
}

impl<'a> Schedule<'a> {
    fn new(space: &'a PlanSpace<'a>) -> Schedule<'a> {
        // The rules of the target apply from the first step on.
        let version = space.from.with_rules(Arc::clone(&space.to.rules));
        Schedule {
            space,
            position: vec![0; space.tracks.len()],
            published: version.clone(),
            version,
            first_requests: BTreeMap::new(),
            time: space.now,
            has_moved_load: false,
        }
    }

    fn next_step(&mut self, position: &Position) -> PlanStep {
        let load = self.transition_load(position);
        let min_delay = self.min_delay(&load);
        self.time += min_delay;
        self.has_moved_load = load.moved_load > 0.0;

        let changes = self.changes_to(position);
        self.note_first_requests(&changes);
        self.version = self.version.with_changes(changes);
        let target = without_missing_sources(&self.version);
        let changed_nodes = self.published.diff(&target).map(|difference| difference.node).collect();
        self.published = target.clone();
        self.position = position.clone();

        let ids = &self.space.index.ids;
        let required_warmth = load
            .required_warmth
            .iter()
            .map(|&(index, warmth)| RequiredWarmth { node: ids[index as usize], warmth });
        PlanStep {
            target,
            changed_nodes,
            origin_peak: load.origin_peak,
            origin_before: load.origin_before,
            moved_load: load.moved_load,
            required_warmth: required_warmth.collect(),
            min_delay,
        }
    }

    /// The load of the step to a position, which the planner has checked before.
    fn transition_load(&self, position: &Position) -> TransitionLoad {
        let mut evaluations = 0;
        let before = self.space.flow_graph(&self.position).ok();
        let load = before.and_then(|before| self.space.evaluate(&before, position, &mut evaluations).ok());
        load.unwrap_or_default()
    }

    /// How long after the last step the next one may start: once moved objects are filled and nodes are warm enough.
    fn min_delay(&self, load: &TransitionLoad) -> Ns {
        let fill_time = if self.has_moved_load { self.space.to.rules.fill_window } else { 0 };
        let ready = load.required_warmth.iter().map(|&(node, required)| self.warm_at(node, required));
        ready.fold(fill_time, |delay, ready| delay.max(ready.saturating_sub(self.time)))
    }

    /// When a node has the required warmth. It warms up from its first request on.
    fn warm_at(&self, node: u32, required: f64) -> Ns {
        let (space, rules) = (self.space, &self.space.to.rules);
        let initial = rules.slow_start_initial_share;
        let (since, at_start) = match self.first_requests.get(&node) {
            Some(&first_request) => (first_request, initial),
            // A node that got requests before the plan has the warmth that it has.
            None => {
                let node = space.from.get(space.index.ids[node as usize]);
                (space.now, node.map_or(initial, |node| warmth(node, rules, space.now)))
            }
        };
        let part = ((required - at_start) / (1.0 - initial).max(1e-9)).max(0.0);
        since + (part * rules.slow_start_window as f64) as Ns
    }

    /// The nodes that differ between the current position and the next one.
    fn changes_to(&self, position: &Position) -> Vec<(NodeId, Option<Arc<HierarchyNode>>)> {
        let mut changes = Vec::new();
        for (index, track) in self.space.tracks.iter().enumerate() {
            if self.position[index] != position[index] {
                let state = track.states[usize::from(position[index])].as_ref();
                let id = self.space.index.ids[track.node as usize];
                changes.push((id, state.map(|state| Arc::clone(&state.node))));
            }
        }
        changes
    }

    fn note_first_requests(&mut self, changes: &[(NodeId, Option<Arc<HierarchyNode>>)]) {
        for (id, node) in changes {
            let takes_requests = node.as_ref().is_some_and(|node| node.ring_share > 0);
            if let Some(index) = self.space.index.position(*id)
                && takes_requests
            {
                self.first_requests.entry(index).or_insert(self.time);
            }
        }
    }
}

/// The version without sources that are not in it: no one fills from these.
fn without_missing_sources(version: &Hierarchy) -> Hierarchy {
    let mut changes: Vec<(NodeId, Option<Arc<HierarchyNode>>)> = Vec::new();
    for (id, node) in version.iter() {
        if node.sources.iter().any(|source| version.get(*source).is_none()) {
            let sources = node.sources.iter().copied().filter(|s| version.get(*s).is_some()).collect();
            changes.push((id, Some(Arc::new(HierarchyNode { sources, ..(**node).clone() }))));
        }
    }
    version.with_changes(changes)
}
