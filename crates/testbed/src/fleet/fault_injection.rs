//! Starts and ends the faults of a trial.

use std::process::Command;
use std::sync::Arc;

use rand::RngExt;
use rand_pcg::Pcg32;
use rustix::process::Signal;
use sablecross_coordination::messages::ASSIGNMENT_ROLE;
use sablecross_director::coordination::settings::HIERARCHY_ROLE;

use super::coordination_links::CoordinationLinks;
use super::coordination_watch::{HolderFault, find_holder};
use super::director::{Director, write_config};
use super::link_proxy::{HeldDirections, Pair};
use super::node::{CutDirection, Node};
use super::settings::{Fault, FaultKind, Trial};
use crate::discovery_stub::DiscoveryStub;
use crate::process::TrialError;
use crate::schedule::sample;

/// Unanswered lookups are excused until this many seconds after a stopped director was continued.
const STOP_TOLERANCE_SECONDS: f64 = 0.5;
/// Unanswered lookups are excused until this many seconds after a killed director was restarted.
const KILL_TOLERANCE_SECONDS: f64 = 2.0;

/// A fault in progress and its targets.
pub(super) struct ActiveFault {
    pub(super) fault: Fault,
    /// The numbers of the affected nodes.
    pub(super) nodes: Vec<usize>,
    /// The numbers of the affected directors.
    pub(super) directors: Vec<usize>,
    /// The affected links between members and voters.
    pairs: Vec<Pair>,
}

/// What a fault does to the affected directors.
#[derive(Clone, Copy, PartialEq)]
enum DirectorFault {
    Stop,
    Kill,
}

fn director_fault(kind: FaultKind) -> Option<DirectorFault> {
    match kind {
        FaultKind::StopDirectors | FaultKind::StopVoters | FaultKind::StopOwner | FaultKind::StopDriver => {
            Some(DirectorFault::Stop)
        }
        FaultKind::KillDirectors | FaultKind::KillVoters | FaultKind::KillOwner | FaultKind::KillDriver => {
            Some(DirectorFault::Kill)
        }
        _ => None,
    }
}

/// Draws the configured rounds of faults, which follow the faults of the file. Faults that would not end before the
/// load are left out.
pub(super) fn draw_faults(trial: &Trial, rng: &mut Pcg32) -> Vec<Fault> {
    let Some(coordination) = &trial.duties else { return Vec::new() };
    let ends = trial.faults.iter().map(|fault| fault.at + fault.lasts);
    let first_round = ends.fold(trial.warm_up as f64, f64::max);
    let round_s = coordination.round_s;
    let mut drawn = Vec::new();
    for round in 0..coordination.rounds {
        let round_at = first_round + round as f64 * round_s;
        for _ in 0..rng.random_range(1..=3) {
            let kind = FaultKind::DRAWN[rng.random_range(0..FaultKind::DRAWN.len())];
            let at = round_at + 0.2 * round_s * rng.random::<f64>();
            let lasts = round_s * (0.1 + 0.4 * rng.random::<f64>());
            let of = 0.1 + 0.5 * rng.random::<f64>();
            if at + lasts < trial.seconds as f64 {
                drawn.push(Fault { kind, at, lasts, of, by: 1.0 });
            }
        }
    }
    drawn
}

/// The processes, nodes and links into which faults are injected.
pub(super) struct FaultTargets<'a> {
    pub(super) trial: &'a Trial,
    pub(super) program: &'a dyn Fn() -> Command,
    /// Caches, then parents, then the origin.
    pub(super) nodes: Vec<Arc<Node>>,
    pub(super) directors: Vec<Director>,
    /// The discovery copies.
    pub(super) discovery: Vec<DiscoveryStub>,
    pub(super) coordination: Option<CoordinationLinks>,
}

impl FaultTargets<'_> {
    /// Draws the targets of a fault and starts it.
    pub(super) fn begin(
        &mut self,
        fault: &Fault,
        rng: &mut Pcg32,
        now: f64,
    ) -> Result<ActiveFault, TrialError> {
        let active = self.draw_targets(fault, rng, now);
        self.disturb_links(&active);
        if fault.kind == FaultKind::HoldProbes {
            for node in &self.nodes {
                node.delay_health_checks(&active.directors, fault.lasts);
            }
        }
        for number in &active.nodes {
            apply_to_node(&self.nodes[*number], &active);
        }
        for number in &active.directors {
            apply_to_director(&mut self.directors[*number], fault, now)?;
        }
        Ok(active)
    }

    fn draw_targets(&mut self, fault: &Fault, rng: &mut Pcg32, now: f64) -> ActiveFault {
        let trial = self.trial;
        let voters = self.coordination.as_ref().map_or(1, |coordination| coordination.voters.len());
        let (mut nodes, mut directors, mut pairs) = (Vec::new(), Vec::new(), Vec::new());
        match fault.kind {
            FaultKind::StopCaches | FaultKind::SlowCaches | FaultKind::CrashCaches | FaultKind::Reset => {
                nodes = sample(rng, trial.caches, fault.of);
            }
            FaultKind::StopParents | FaultKind::SlowParents => {
                let parents = sample(rng, trial.parents, fault.of);
                nodes = parents.into_iter().map(|parent| parent + trial.caches).collect();
            }
            FaultKind::CutTo | FaultKind::CutFrom => {
                nodes = sample(rng, trial.caches, 0.0);
                directors = sample(rng, trial.directors, fault.of);
            }
            FaultKind::StopDirectors | FaultKind::KillDirectors | FaultKind::HoldProbes => {
                directors = sample(rng, trial.directors, fault.of);
            }
            FaultKind::StopVoters | FaultKind::KillVoters => directors = sample(rng, voters, fault.of),
            FaultKind::StopOwner | FaultKind::KillOwner | FaultKind::StopDriver | FaultKind::KillDriver => {
                directors = self.find_target_holder(fault.kind, now)
            }
            FaultKind::HoldTo | FaultKind::HoldFrom => {
                let voter = rng.random_range(0..voters);
                let members = sample(rng, trial.directors, fault.of);
                pairs = members.into_iter().map(|member| (member, voter)).collect();
            }
            FaultKind::ResetWays => {
                let members = sample(rng, trial.directors, fault.of);
                pairs = members.into_iter().flat_map(|m| (0..voters).map(move |v| (m, v))).collect();
            }
            FaultKind::Part => pairs = draw_partition(rng, trial.directors, voters),
        }
        ActiveFault { fault: fault.clone(), nodes, directors, pairs }
    }

    /// The current holder of the role that the fault targets, if there is one. Records the fault for the report.
    fn find_target_holder(&mut self, kind: FaultKind, now: f64) -> Vec<usize> {
        let role = match kind {
            FaultKind::StopOwner | FaultKind::KillOwner => ASSIGNMENT_ROLE,
            _ => HIERARCHY_ROLE,
        };
        let Some(coordination) = &mut self.coordination else { return Vec::new() };
        let Some(member) = find_holder(&coordination.voters, role) else { return Vec::new() };
        coordination.holder_faults.push(HolderFault { at: now, member, role });
        vec![member]
    }

    fn disturb_links(&self, active: &ActiveFault) {
        let Some(coordination) = &self.coordination else { return };
        let held = match active.fault.kind {
            FaultKind::HoldTo => HeldDirections { to: true, from: false },
            FaultKind::HoldFrom => HeldDirections { to: false, from: true },
            FaultKind::Part => HeldDirections { to: true, from: true },
            _ => HeldDirections::default(),
        };
        for pair in &active.pairs {
            match active.fault.kind {
                FaultKind::ResetWays => coordination.proxies.reset(*pair),
                _ => coordination.proxies.hold(*pair, held),
            }
        }
    }

    /// Ends a fault. Returns the nodes that were restarted.
    pub(super) fn end(&mut self, active: &ActiveFault) -> Result<Vec<RestartedNode>, TrialError> {
        if let Some(coordination) = &self.coordination {
            for pair in &active.pairs {
                coordination.proxies.hold(*pair, HeldDirections::default());
            }
        }
        let mut restarted = Vec::new();
        for number in &active.nodes {
            let node = &self.nodes[*number];
            match active.fault.kind {
                FaultKind::SlowCaches | FaultKind::SlowParents => node.slow_down(1.0),
                FaultKind::CutTo | FaultKind::CutFrom => {
                    node.set_cut(active.directors.iter().copied(), None);
                }
                FaultKind::CrashCaches => {
                    restarted.push(RestartedNode { number: *number, since_ms: node.restart_cold() });
                }
                _ => {}
            }
        }
        for number in &active.directors {
            match director_fault(active.fault.kind) {
                Some(DirectorFault::Stop) => self.directors[*number].process.signal(Signal::CONT),
                Some(DirectorFault::Kill) => self.restart(*number)?,
                None => {}
            }
        }
        Ok(restarted)
    }

    /// Restarts a killed director, with a configuration that holds all discovery events so far.
    fn restart(&mut self, number: usize) -> Result<(), TrialError> {
        let director = &mut self.directors[number];
        if !director.is_killed {
            return Ok(());
        }
        let discovery = &self.discovery[director.discovery];
        write_config(self.trial, number, director.address, discovery, &director.files.config)?;
        director.restart(self.program)
    }
}

/// A node that was restarted cold and empty.
pub(super) struct RestartedNode {
    pub(super) number: usize,
    /// When the node was restarted, in Unix milliseconds.
    pub(super) since_ms: u64,
}

/// Draws a partition: the links that cross between a minority of the voters (at least one) with a third of the other
/// members, and everyone else.
fn draw_partition(rng: &mut Pcg32, members: usize, voters: usize) -> Vec<Pair> {
    let minority = sample(rng, voters, (voters.saturating_sub(1) / 2) as f64 / voters as f64);
    let is_apart = |member: usize| {
        if member < voters { minority.contains(&member) } else { member.is_multiple_of(3) }
    };
    let all = (0..members).flat_map(|member| (0..voters).map(move |voter| (member, voter)));
    all.filter(|(member, voter)| is_apart(*member) != is_apart(*voter)).collect()
}

fn apply_to_node(node: &Node, active: &ActiveFault) {
    let fault = &active.fault;
    let directors = active.directors.iter().copied();
    match fault.kind {
        FaultKind::StopCaches | FaultKind::StopParents => node.stop(fault.lasts),
        FaultKind::SlowCaches | FaultKind::SlowParents => node.slow_down(fault.by),
        FaultKind::CrashCaches => node.crash(),
        FaultKind::Reset => node.reset_connections(),
        FaultKind::CutTo => node.set_cut(directors, Some(CutDirection::To)),
        FaultKind::CutFrom => node.set_cut(directors, Some(CutDirection::From)),
        _ => {}
    }
}

fn apply_to_director(director: &mut Director, fault: &Fault, now: f64) -> Result<(), TrialError> {
    let end = fault.at + fault.lasts;
    match director_fault(fault.kind) {
        Some(DirectorFault::Stop) => {
            director.excuse(now, end + STOP_TOLERANCE_SECONDS);
            director.process.signal(Signal::STOP);
        }
        Some(DirectorFault::Kill) if !director.is_killed => {
            director.kill(now, end + KILL_TOLERANCE_SECONDS)?
        }
        _ => {}
    }
    Ok(())
}
