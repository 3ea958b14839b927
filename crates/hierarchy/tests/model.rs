//! Model checking of changes of small hierarchies with stateright. Versions and reports are delayed, lost, duplicated
//! and reordered, the rollout is killed and recovered, a second change is proposed while one is running, and health
//! reports are bad. Each node routes fills by the version that it applies.
//!
//! `SABLECROSS_MODEL=all` searches every first version with every pair of changes of it, except those that differ from
//! another by the names of nodes alone. `N` searches one in N of them, and `N:PART` another part of the same size, with
//! PART from 1 to N - 1. Without the variable, a fixed sample is searched.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sablecross_hierarchy::rollout::Participant;
use sablecross_hierarchy::{
    Hierarchy, NodeId, Rollout, RolloutAction, RolloutInput, RolloutRecord, VersionHolder,
};
use stateright::{Checker, Model, Property};
use support::{all_masks, from_masks};

#[derive(Clone, Debug)]
struct ModelState {
    rollout: Rollout,
    log: Vec<Arc<RolloutRecord>>,
    now: u64,
    holders: Vec<VersionHolder>,
    /// The version numbers sent to each participant, which may be delivered in any order, repeatedly, or never.
    sent: BTreeSet<(usize, u64)>,
    versions: Vec<(u64, Hierarchy)>,
    /// The reports of participants that the rollout has not received yet: participant, number and digest.
    reports: BTreeSet<(usize, u64, u64)>,
    /// All possible fills: for each start node and each node that a fill can have reached from there, the latest time at
    /// which the fill can have started. Each fill may stay or advance. A fill that passes a node twice is found as one
    /// that started at that node.
    fills: BTreeMap<(NodeId, NodeId), u64>,
    has_loop: bool,
    is_proposed: bool,
    is_second_proposed: bool,
    kills: u8,
    bad_reports: u8,
}

impl ModelState {
    fn key(&self) -> impl Hash + Eq + '_ {
        let holders: Vec<u64> = self.holders.iter().map(VersionHolder::number).collect();
        // Times are relative to now, so that the same state at another time has the same key.
        let fills: Vec<_> = self.fills.iter().map(|(k, at)| (*k, self.now - at)).collect();
        let flags = (self.is_proposed, self.is_second_proposed, self.kills, self.bad_reports, self.has_loop);
        (self.rollout.state_key(self.now), holders, &self.sent, &self.reports, fills, flags)
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.key().hash(to);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Propose,
    ProposeSecond,
    Apply(usize, u64),
    Report(usize, u64, u64),
    Tick,
    Kill,
    BadHealth,
}

struct Search {
    from: Hierarchy,
    target: Hierarchy,
    second: Option<Hierarchy>,
    kills: u8,
    bad_reports: u8,
    /// Injects a fault that the search has to find: the target is sent directly, without a plan.
    skips_plan: bool,
    /// Injects a fault that the search has to find: a step starts while requests of earlier versions are in flight.
    skips_drain: bool,
}

impl Search {
    fn participants(&self) -> Vec<Participant> {
        (1..self.from.len()).map(|n| format!("n{n}").into()).collect()
    }

    fn carry_out(&self, state: &mut ModelState, kill: bool) {
        for action in state.rollout.take_actions() {
            match action {
                RolloutAction::Persist(record) => state.log.push(Arc::new(record)),
                // The rollout is killed when all records are stored and nothing is sent. The tests of `rollout.rs` kill
                // it before each other action.
                RolloutAction::Publish { .. } if kill => {}
                RolloutAction::Publish { number, version } => {
                    if !state.versions.iter().any(|(n, _)| *n == number) {
                        state.versions.push((number, version));
                    }
                    state.sent.extend((0..state.holders.len()).map(|p| (p, number)));
                }
                RolloutAction::Log(_) => {}
            }
        }
    }

    /// Starts new fills and advances all fills by the versions that nodes apply now.
    fn advance_fills(&self, state: &mut ModelState) {
        if state.rollout.progress().is_none() {
            // Only while a change is running can a fill be routed by more than one version.
            state.fills.clear();
            return;
        }
        let mut next: Vec<((NodeId, NodeId), u64)> = (1..self.from.len() as NodeId)
            .map(|n| ((n, n), state.now))
            .chain(state.fills.iter().map(|(k, at)| (*k, *at)))
            .collect();
        state.fills.clear();
        while let Some(((start, at), born)) = next.pop() {
            if state.fills.get(&(start, at)).is_some_and(|b| *b >= born) {
                continue;
            }
            state.fills.insert((start, at), born);
            for s in state.holders[at as usize - 1].version().into_iter().flat_map(|v| v.active_sources(at)) {
                state.has_loop |= s == start;
                if s != 0 {
                    next.push(((start, s), born));
                }
            }
        }
    }

    fn handle(&self, state: &mut ModelState, input: RolloutInput) {
        let _ = state.rollout.handle(input, state.now);
        self.carry_out(state, false);
    }
}

impl Model for Search {
    type State = ModelState;
    type Action = Event;

    fn init_states(&self) -> Vec<ModelState> {
        let mut rollout = Rollout::new(1, self.from.clone(), self.participants()).unwrap();
        let mut holders = vec![VersionHolder::new(); self.from.len() - 1];
        rollout.take_actions();
        for (participant, holder) in self.participants().into_iter().zip(&mut holders) {
            holder.offer(1, &self.from);
            rollout
                .handle(
                    RolloutInput::VersionApplied { participant, number: 1, digest: self.from.digest() },
                    0,
                )
                .unwrap();
        }
        let version = sablecross_hierarchy::spec::HierarchySpec::from_hierarchy(1, &self.from);
        vec![ModelState {
            rollout,
            log: vec![Arc::new(RolloutRecord::Checkpoint { number: 1, next_change: 1, version })],
            now: 0,
            holders,
            sent: BTreeSet::new(),
            versions: vec![(1, self.from.clone())],
            reports: BTreeSet::new(),
            fills: BTreeMap::new(),
            has_loop: false,
            is_proposed: false,
            is_second_proposed: false,
            kills: 0,
            bad_reports: 0,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Event>) {
        if state.has_loop {
            return;
        }
        if !state.is_proposed {
            actions.push(Event::Propose);
        } else if !state.is_second_proposed && self.second.is_some() && state.rollout.progress().is_some() {
            actions.push(Event::ProposeSecond);
        }
        actions.extend(
            state
                .sent
                .iter()
                .filter(|(p, n)| *n > state.holders[*p].number())
                .map(|&(p, n)| Event::Apply(p, n)),
        );
        actions.extend(state.reports.iter().map(|&(p, n, d)| Event::Report(p, n, d)));
        if state.rollout.next_wakeup().is_some() {
            actions.push(Event::Tick);
        }
        if state.is_proposed && state.kills < self.kills {
            actions.push(Event::Kill);
        }
        if state.is_proposed
            && state.bad_reports < self.bad_reports
            && state.rollout.progress().is_some_and(|progress| !progress.is_rollback)
        {
            actions.push(Event::BadHealth);
        }
    }

    fn next_state(&self, before: &ModelState, action: Event) -> Option<ModelState> {
        let mut state = before.clone();
        match action {
            Event::Propose => {
                state.is_proposed = true;
                if self.skips_plan {
                    state.versions.push((2, self.target.clone()));
                    state.sent.extend((0..state.holders.len()).map(|p| (p, 2)));
                }
                self.handle(&mut state, RolloutInput::Propose { target: self.target.clone() });
            }
            Event::ProposeSecond => {
                state.is_second_proposed = true;
                let target = self.second.clone()?;
                self.handle(&mut state, RolloutInput::Propose { target });
            }
            Event::Apply(p, n) => {
                let version = state.versions.iter().find(|(number, _)| *number == n)?.1.clone();
                state.holders[p].offer(n, &version);
                state.reports.insert((p, n, version.digest()));
            }
            Event::Report(p, number, digest) => {
                // Each report is delivered twice: the second delivery must change nothing.
                let participant = self.participants()[p].clone();
                state.reports.remove(&(p, number, digest));
                self.handle(
                    &mut state,
                    RolloutInput::VersionApplied { participant: participant.clone(), number, digest },
                );
                self.handle(&mut state, RolloutInput::VersionApplied { participant, number, digest });
            }
            Event::Tick => {
                let wake = state.rollout.next_wakeup()?;
                state.now = state.now.max(wake);
                // No request is in flight for longer than the drain window.
                let (now, drain_window) = (state.now, self.from.rules.drain_window);
                state.fills.retain(|_, at| self.skips_drain || *at + drain_window > now);
                self.handle(&mut state, RolloutInput::Tick);
            }
            Event::Kill => {
                state.kills += 1;
                self.carry_out(&mut state, true);
                let log: Vec<RolloutRecord> = state.log.iter().map(|r| (**r).clone()).collect();
                state.rollout = Rollout::recover(&log, self.participants(), state.now).ok()?;
                self.carry_out(&mut state, false);
                // When the rollout has recovered, each participant reports the version that it applies.
                let current: Vec<_> = state
                    .holders
                    .iter()
                    .enumerate()
                    .map(|(p, h)| (p, h.number(), h.version().map_or(0, Hierarchy::digest)))
                    .collect();
                state.reports.extend(current);
            }
            Event::BadHealth => {
                state.bad_reports += 1;
                self.handle(
                    &mut state,
                    RolloutInput::HealthReport { origin_load: 1e7, down_nodes: Vec::new() },
                );
            }
        }
        self.advance_fills(&mut state);
        // A message that would change nothing is equivalent to a lost one.
        let ModelState { sent, reports, holders, rollout, .. } = &mut state;
        sent.retain(|(p, n)| *n > holders[*p].number());
        reports.retain(|(_, n, _)| *n == rollout.published().number);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no fill passes a node twice", |_, state: &ModelState| !state.has_loop),
            Property::always("no participant is ahead of the log", |_, state: &ModelState| {
                // No participant applies a version that is not in the log.
                state.holders.iter().all(|h| h.number() <= state.rollout.published().number)
            }),
            Property::eventually(
                "every change ends, and all participants agree",
                |s: &Search, state: &ModelState| {
                    let committed = state.rollout.committed().version;
                    let is_known = *committed == s.target
                        || *committed == s.from
                        || s.second.as_ref() == Some(committed);
                    let agreed = state.holders.iter().all(|h| h.version() == Some(committed));
                    let agreed = agreed && state.sent.is_empty();
                    state.is_proposed && state.rollout.progress().is_none() && is_known && agreed
                },
            ),
        ]
    }
}

/// Runs a search. Returns the number of states and the names of the violated properties.
fn check_states(search: Search) -> (usize, Vec<&'static str>) {
    let checker = search.checker().spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().keys().copied().collect())
}

/// Whether the triple is the representative of all triples that differ from it by a permutation of their nodes alone.
fn is_canonical(triple: [&[u8]; 3]) -> bool {
    let n = triple[0].len();
    let code = |t: &[Vec<u8>]| t.concat();
    let own = code(&triple.map(<[u8]>::to_vec));
    let mut permutations: Vec<Vec<usize>> = vec![vec![]];
    for _ in 0..n {
        permutations = permutations
            .into_iter()
            .flat_map(|p| {
                (0..n).filter(|i| !p.contains(i)).map(|i| [p.clone(), vec![i]].concat()).collect::<Vec<_>>()
            })
            .collect();
    }
    permutations.into_iter().all(|p| {
        let renamed: Vec<Vec<u8>> = triple
            .iter()
            .map(|masks| {
                let mut to = vec![0u8; n];
                for (i, mask) in masks.iter().enumerate() {
                    let moved =
                        (0..n).filter(|s| mask >> (s + 1) & 1 == 1).map(|s| 1u8 << (p[s] + 1)).sum::<u8>();
                    to[p[i]] = moved | (mask & 1);
                }
                to
            })
            .collect();
        own <= code(&renamed)
    })
}

fn search(from: &[u8], target: &[u8], second: Option<&[u8]>, kills: u8, bad_reports: u8) -> Search {
    let second = second.map(from_masks);
    Search {
        from: from_masks(from),
        target: from_masks(target),
        second,
        kills,
        bad_reports,
        skips_plan: false,
        skips_drain: false,
    }
}

#[test]
fn every_change_ends_and_no_fill_passes_a_node_twice() {
    // With three nodes and the origin, one in `each` triples is searched; with fewer nodes, all triples are.
    let selection = std::env::var("SABLECROSS_MODEL").unwrap_or_else(|_| "997".into());
    let (each, part) = match selection.split_once(':') {
        _ if selection == "all" => (1, 0),
        None => (selection.parse().expect("SABLECROSS_MODEL: all, N, or N:PART"), 0),
        Some((n, part)) => (
            n.parse().expect("SABLECROSS_MODEL: N is not a number"),
            part.parse().expect("SABLECROSS_MODEL: PART is not a number"),
        ),
    };
    let mut triples = Vec::new();
    for n in 1..=3 {
        let masks = all_masks(n);
        let mut count = 0usize;
        for (a, b) in masks.iter().flat_map(|a| masks.iter().map(move |b| (a, b))).filter(|(a, b)| a != b) {
            for c in masks.iter().filter(|c| is_canonical([a, b, c])) {
                count += 1;
                let bounds = if n < 3 { (1, 1) } else { ((count % 2) as u8, 1 - (count % 2) as u8) };
                if n < 3 || count % each == part {
                    triples.push((a.clone(), b.clone(), c.clone(), bounds));
                }
            }
        }
    }
    let (next, states_in_all, most) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((a, b, c, (kills, bad_reports))) =
                    triples.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let (count, found) = check_states(search(a, b, Some(c), *kills, *bad_reports));
                    assert!(found.is_empty(), "{a:?} {b:?} {c:?}: {found:?}");
                    let all = states_in_all.fetch_add(count, Ordering::Relaxed) + count;
                    most.fetch_max(count, Ordering::Relaxed);
                    let done = next.load(Ordering::Relaxed);
                    if done % 1_000 == 0 {
                        eprintln!("triples={done} of={} states={all}", triples.len());
                    }
                }
            });
        }
    });
    let all = states_in_all.into_inner();
    eprintln!("triples={} states={all} most={}", triples.len(), most.into_inner());
    assert!(triples.len() > 100 && all > 500_000, "{all}");
}

#[test]
fn injected_faults_are_found() {
    // Two nodes swap places. If the target is sent directly, a fill can run in a loop between them.
    let swapped: (&[u8], &[u8]) = (&[0b001, 0b010], &[0b100, 0b001]);
    let unplanned = Search { skips_plan: true, ..search(swapped.0, swapped.1, None, 0, 0) };
    assert!(check_states(unplanned).1.contains(&"no fill passes a node twice"));
    assert!(check_states(search(swapped.0, swapped.1, None, 0, 0)).1.is_empty());
    // If a step does not wait for requests of earlier versions, a fill can be routed by three versions.
    let mut found = 0;
    let masks = all_masks(3);
    for (a, b) in masks.iter().flat_map(|a| masks.iter().map(move |b| (a, b))).step_by(7) {
        let skips_drain = Search { skips_drain: true, ..search(a, b, None, 0, 0) };
        found += usize::from(check_states(skips_drain).1.contains(&"no fill passes a node twice"));
    }
    assert!(found > 0);
}
