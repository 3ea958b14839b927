//! Converts the positions of a plan to steps: the version of each step, its load, and the time at which it may start.

use std::collections::BTreeMap;
use std::sync::Arc;

use sablecross::Ns;

use super::tracks::{PlanSpace, Position};
use super::{PlanStep, RequiredWarmth};
use crate::load_flow::{TransitionLoad, warmth};
use crate::version::{Hierarchy, HierarchyNode, NodeId};

/// The steps that lead through these positions.
pub(super) fn steps(space: &PlanSpace<'_>, positions: &[Position]) -> Vec<PlanStep> {
    let mut schedule = Schedule::new(space);
    positions.iter().map(|position| schedule.next_step(position)).collect()
}

/// The state after the steps that were scheduled so far.
struct Schedule<'a> {
    space: &'a PlanSpace<'a>,
    position: Position,
    /// The version as planned. Its nodes may name sources that it does not contain yet or no longer contains.
    version: Hierarchy,
    /// The version as it is published, without these sources.
    published: Hierarchy,
    /// For each node that the plan has changed, the time of the first step that left it with virtual nodes. This counts
    /// as the time of its first request.
    first_requests: BTreeMap<u32, Ns>,
    time: Ns,
    /// Whether the last step moved load, so that the objects that moved have to be filled before the next step.
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
        self.record_first_requests(&changes);
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

    /// The load of the step to a position. The planner has checked the step, so its evaluation succeeds.
    fn transition_load(&self, position: &Position) -> TransitionLoad {
        let mut evaluations = 0;
        let before = self.space.flow_graph(&self.position).ok();
        let load = before.and_then(|before| self.space.evaluate(&before, position, &mut evaluations).ok());
        load.unwrap_or_default()
    }

    /// The minimum time between the last step and the next one: until moved objects are filled and all nodes have the
    /// required warmth.
    fn min_delay(&self, load: &TransitionLoad) -> Ns {
        let fill_time = if self.has_moved_load { self.space.to.rules.fill_window } else { 0 };
        let ready = load.required_warmth.iter().map(|&(node, required)| self.warm_at(node, required));
        ready.fold(fill_time, |delay, ready| delay.max(ready.saturating_sub(self.time)))
    }

    /// The time at which a node has the required warmth. A node warms up from its first request on.
    fn warm_at(&self, node: u32, required: f64) -> Ns {
        let (space, rules) = (self.space, &self.space.to.rules);
        let initial = rules.slow_start_initial_share;
        let (since, at_start) = match self.first_requests.get(&node) {
            Some(&first_request) => (first_request, initial),
            // A node that got requests before this plan is as warm as the time since its start implies.
            None => {
                let node = space.from.get(space.index.ids[node as usize]);
                (space.now, node.map_or(initial, |node| warmth(node, rules, space.now)))
            }
        };
        let part = ((required - at_start) / (1.0 - initial).max(1e-9)).max(0.0);
        since + (part * rules.slow_start_window as f64) as Ns
    }

    /// The nodes whose states differ between the current position and the given one, each with its new state.
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

    fn record_first_requests(&mut self, changes: &[(NodeId, Option<Arc<HierarchyNode>>)]) {
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

/// Removes sources that are not in the version, from which no node fills.
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
