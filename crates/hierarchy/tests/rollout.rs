//! Tests of rollouts that are killed before each action, superseded, rolled back, and recovered from old logs.

mod support;

use std::collections::BTreeMap;

use sablecross_hierarchy::rollout::{Participant, RolloutError};
use sablecross_hierarchy::{
    Hierarchy, HierarchyRules, Rollout, RolloutAction, RolloutInput, RolloutOutcome, RolloutRecord,
    VersionHolder,
};
use support::{SEC, from_masks};

/// A rollout with its log and its participants, which apply the versions that are sent to them.
struct Simulation {
    rollout: Rollout,
    log: Vec<RolloutRecord>,
    holders: BTreeMap<Participant, VersionHolder>,
    unreachable: Vec<Participant>,
    lines: Vec<String>,
    now: u64,
    /// The number of actions after which the rollout is killed and recovered from its log.
    kill: Option<usize>,
    carried_out: usize,
}

impl Simulation {
    fn new(first: &Hierarchy) -> Simulation {
        let participants: Vec<Participant> = ["d1", "d2", "u1"].map(Participant::from).to_vec();
        let rollout = Rollout::new(1, first.clone(), participants.clone()).unwrap();
        let holders = participants.into_iter().map(|p| (p, VersionHolder::new())).collect();
        let (log, unreachable, lines) = (Vec::new(), Vec::new(), Vec::new());
        Simulation { rollout, log, holders, unreachable, lines, now: 1_000 * SEC, kill: None, carried_out: 0 }
    }

    fn carry_out(&mut self) {
        loop {
            let actions = self.rollout.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                if self.kill == Some(self.carried_out) {
                    // Actions that were not carried out are lost.
                    self.kill = None;
                    let participants: Vec<Participant> = self.holders.keys().cloned().collect();
                    self.rollout = Rollout::recover(&self.log, participants, self.now).unwrap();
                    break;
                }
                self.carried_out += 1;
                match action {
                    RolloutAction::Persist(record) => self.log.push(record),
                    RolloutAction::Log(line) => self.lines.push(line),
                    RolloutAction::Publish { number, version } => {
                        for (participant, holder) in
                            self.holders.iter_mut().filter(|(p, _)| !self.unreachable.contains(p))
                        {
                            holder.offer(number, &version);
                            let digest = holder.version().unwrap().digest();
                            let input = RolloutInput::VersionApplied {
                                participant: participant.clone(),
                                number: holder.number(),
                                digest,
                            };
                            self.rollout.handle(input, self.now).unwrap();
                        }
                    }
                }
            }
        }
    }

    fn handle(&mut self, input: RolloutInput) -> Result<(), RolloutError> {
        let result = self.rollout.handle(input, self.now);
        self.carry_out();
        result
    }

    /// Advances the time and ticks until no change is running, or the change waits for a participant.
    fn run(&mut self) {
        self.carry_out();
        for _ in 0..200 {
            let Some(wake) = self.rollout.next_wakeup() else { break };
            self.now = self.now.max(wake);
            self.handle(RolloutInput::Tick).unwrap();
        }
    }

    fn outcomes(&self) -> Vec<(u64, RolloutOutcome)> {
        let ended = |r: &RolloutRecord| match r {
            RolloutRecord::Ended { change, outcome } => Some((*change, *outcome)),
            _ => None,
        };
        self.log.iter().filter_map(ended).collect()
    }

    fn assert_all_apply(&self, expected: &Hierarchy) {
        assert_eq!(self.rollout.committed().version, expected);
        for (participant, holder) in &self.holders {
            assert_eq!(holder.version(), Some(expected), "{participant}");
            assert_eq!(holder.number(), self.rollout.committed().number, "{participant}");
        }
    }
}

/// Two versions with the chain n1, n2, n3 above the origin and its reverse, so that the change takes several steps.
fn chain() -> (Hierarchy, Hierarchy) {
    (from_masks(&[0b0001, 0b0010, 0b0100]), from_masks(&[0b0100, 0b1000, 0b0001]))
}

#[test]
fn a_change_runs_step_by_step() {
    let (from, to) = chain();
    let mut simulation = Simulation::new(&from);
    simulation.run();
    simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
    let started = simulation.now;
    simulation.run();
    simulation.assert_all_apply(&to);
    assert_eq!(simulation.outcomes(), [(1, RolloutOutcome::Completed)]);
    let steps =
        simulation.log.iter().filter(|r| matches!(r, RolloutRecord::StepStarted { .. })).count() as u64;
    assert!(steps >= 3, "{steps}");
    // Each step drains the requests of earlier versions for 3 s. No load moves here, so there is no other delay.
    assert!(simulation.now - started >= steps * 3 * SEC);
    assert_eq!(simulation.handle(RolloutInput::Propose { target: to }), Err(RolloutError::AlreadyActive));
    assert_eq!(simulation.handle(RolloutInput::RollBack), Err(RolloutError::NotRunning));
}

#[test]
fn a_rollout_killed_before_any_of_its_actions_continues_from_its_log() {
    let (from, to) = chain();
    let mut uninterrupted = Simulation::new(&from);
    uninterrupted.run();
    let before = uninterrupted.carried_out;
    uninterrupted.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
    uninterrupted.run();
    let mut redone = 0;
    for kill in before..uninterrupted.carried_out {
        let mut simulation = Simulation::new(&from);
        simulation.run();
        simulation.kill = Some(kill);
        simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
        simulation.run();
        assert_eq!(simulation.kill, None);
        if simulation.rollout.committed().version == &from {
            // The start of the change was not stored, so the proposal is lost.
            assert!(simulation.outcomes().is_empty() && kill <= before + 1, "{kill}");
            simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
            simulation.run();
            redone += 1;
        }
        simulation.assert_all_apply(&to);
        assert_eq!(simulation.outcomes(), [(1, RolloutOutcome::Completed)], "{kill}");
    }
    assert_eq!(redone, 1);
    assert!(uninterrupted.carried_out - before > 12);
}

#[test]
fn a_second_change_is_planned_from_the_committed_version_and_a_third_is_rejected() {
    let (from, to) = chain();
    let other = from_masks(&[0b0001, 0b0001, 0b0001]);
    // The rollout is killed before each of its actions. Once the queued change is stored, it is not lost.
    for kill in [None].into_iter().chain((0..48).map(Some)) {
        let mut simulation = Simulation::new(&from);
        simulation.run();
        simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
        simulation.kill = kill.map(|k| simulation.carried_out + k);
        simulation.now += 50_000_000;
        simulation.handle(RolloutInput::Propose { target: other.clone() }).unwrap();
        let third = simulation.handle(RolloutInput::Propose { target: from.clone() });
        let (is_stored, running) =
            (kill != Some(0), simulation.rollout.progress().map_or(0, |progress| progress.change));
        assert!(!is_stored || third == Err(RolloutError::Busy { running }), "{kill:?}: {third:?}");
        simulation.run();
        if is_stored {
            simulation.assert_all_apply(&other);
            // An end that was stored together with the following checkpoint may be recorded twice, so this checks only
            // that the log contains it.
            assert!(
                simulation.outcomes().contains(&(2, RolloutOutcome::Completed)),
                "{kill:?}: {:?}",
                simulation.outcomes()
            );
            assert!(
                simulation.outcomes().contains(&(1, RolloutOutcome::Superseded)),
                "{kill:?}: {:?}",
                simulation.outcomes()
            );
        }
    }
}

#[test]
fn a_change_that_superseded_another_is_rolled_back_to_the_baseline_of_both() {
    let (from, to) = chain();
    let mut simulation = Simulation::new(&from);
    simulation.run();
    simulation.handle(RolloutInput::Propose { target: to }).unwrap();
    simulation.handle(RolloutInput::Propose { target: from_masks(&[0b0001, 0b0001, 0b0001]) }).unwrap();
    while simulation.rollout.progress().is_some_and(|progress| progress.change == 1) {
        simulation.now = simulation.now.max(simulation.rollout.next_wakeup().unwrap());
        simulation.handle(RolloutInput::Tick).unwrap();
    }
    assert!(simulation.rollout.committed().version != &from);
    simulation.handle(RolloutInput::HealthReport { origin_load: 2e6, down_nodes: vec![] }).unwrap();
    let participants: Vec<Participant> = simulation.holders.keys().cloned().collect();
    simulation.rollout = Rollout::recover(&simulation.log, participants, simulation.now).unwrap();
    simulation.run();
    simulation.assert_all_apply(&from);
    assert_eq!(simulation.outcomes(), [(1, RolloutOutcome::Superseded), (2, RolloutOutcome::RolledBack)]);
}

#[test]
fn nodes_are_the_same_by_their_names_after_a_recovery() {
    // n1 is removed, so that a recovery from the log, which has no ids, gives n2 and n3 other ids.
    let from = from_masks(&[0b0001, 0b0001, 0b0100]);
    let mut simulation = Simulation::new(&from);
    simulation.run();
    simulation.handle(RolloutInput::Propose { target: from.without_node(1) }).unwrap();
    simulation.run();
    let participants: Vec<Participant> = simulation.holders.keys().cloned().collect();
    simulation.rollout = Rollout::recover(&simulation.log, participants, simulation.now).unwrap();
    // This target has the original ids: n3 fills from the origin, n2 from n3.
    let target = from_masks(&[0b0001, 0b1000, 0b0001]).without_node(1);
    simulation.handle(RolloutInput::Propose { target: target.clone() }).unwrap();
    simulation.run();
    assert_eq!(simulation.rollout.committed().version.digest(), target.digest());
    assert_eq!(simulation.outcomes(), [(1, RolloutOutcome::Completed), (2, RolloutOutcome::Completed)]);
    let twice = target.with_node(9, (**target.get(2).unwrap()).clone());
    assert!(
        simulation
            .handle(RolloutInput::Propose { target: twice })
            .unwrap_err()
            .to_string()
            .contains("n2: two nodes have this name")
    );
}

#[test]
fn a_queued_change_gets_the_node_ids_of_the_version_that_it_starts_from() {
    // Both changes add a node with the same id. That of the first is committed when the second starts.
    let from = from_masks(&[0b0001, 0b0001, 0b0001]);
    let mut simulation = Simulation::new(&from);
    simulation.run();
    simulation
        .handle(RolloutInput::Propose { target: from.with_node(4, support::node("x", 1, &[0])) })
        .unwrap();
    let target = from.with_node(4, support::node("y", 1, &[0]));
    simulation.handle(RolloutInput::Propose { target: target.clone() }).unwrap();
    simulation.run();
    let committed = simulation.rollout.committed().version;
    assert_eq!(committed.digest(), target.digest());
    assert_eq!(committed.node_id("x"), None);
    assert_ne!(committed.node_id("y"), Some(4), "y reuses the id of x, so it has no track of its own");
}

#[test]
fn bad_health_rolls_a_change_back() {
    let (from, to) = chain();
    let bad: Vec<(RolloutInput, &str)> = vec![
        (
            RolloutInput::HealthReport { origin_load: 2e6, down_nodes: vec![] },
            "origin=2000000 ceiling=1000000",
        ),
        (RolloutInput::HealthReport { origin_load: 1.0, down_nodes: vec![1] }, "down=n1"),
        (RolloutInput::RollBack, "rollback requested"),
    ];
    for (input, why) in bad {
        for ticks in 0..7 {
            let mut simulation = Simulation::new(&from);
            simulation.run();
            simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
            for _ in 0..ticks {
                let Some(wake) = simulation.rollout.next_wakeup() else { break };
                simulation.now = simulation.now.max(wake);
                simulation.handle(RolloutInput::Tick).unwrap();
            }
            let has_ended = simulation.rollout.progress().is_none();
            let has_no_effect = has_ended
                || matches!(&input, RolloutInput::HealthReport { origin_load, .. } if *origin_load < 2.0)
                    && simulation.rollout.progress().is_none_or(|progress| progress.remaining_steps <= 1);
            // The second time, the same input changes nothing.
            for _ in 0..2 {
                let result = simulation.handle(input.clone());
                assert!(result.is_ok() || has_ended, "{result:?}");
            }
            simulation.run();
            if simulation.outcomes() == [(1, RolloutOutcome::Completed)] {
                assert!(has_no_effect, "{why} after {ticks}: had no effect");
                continue;
            }
            simulation.assert_all_apply(&from);
            assert_eq!(simulation.outcomes(), [(1, RolloutOutcome::RolledBack)], "{why} after {ticks}");
            assert!(simulation.lines.iter().any(|n| n.contains(why)), "{why}: {:?}", simulation.lines);
        }
    }
}

#[test]
fn a_missing_participant_causes_a_rollback_and_delays_it() {
    let (from, to) = chain();
    let mut simulation = Simulation::new(&from);
    simulation.run();
    simulation.unreachable = vec!["d2".into()];
    simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
    simulation.run();
    // The step is reverted for the participants that applied it. The rollback then waits until the third reports a
    // version or is gone.
    assert!(simulation.outcomes().is_empty() && simulation.rollout.next_wakeup().is_none());
    assert_eq!(simulation.rollout.missing_participants(), ["d2".into()]);
    assert!(simulation.lines.iter().any(|n| n.contains("rollback missing=d2")), "{:?}", simulation.lines);
    assert!(simulation.lines.iter().any(|n| n.contains("waiting missing=d2")), "{:?}", simulation.lines);
    let mut gone = Simulation {
        rollout: simulation.rollout.clone(),
        log: simulation.log.clone(),
        holders: simulation.holders.clone(),
        ..Simulation::new(&from)
    };
    gone.now = simulation.now;
    // The participant reconnects and applies only the newest version.
    simulation.unreachable.clear();
    let (number, version) =
        (simulation.rollout.published().number, simulation.rollout.published().version.clone());
    let d2 = simulation.holders.get_mut("d2").unwrap();
    d2.offer(number, &version);
    let digest = version.digest();
    simulation.handle(RolloutInput::VersionApplied { participant: "d2".into(), number, digest }).unwrap();
    simulation.run();
    simulation.assert_all_apply(&from);
    assert_eq!(simulation.outcomes(), [(1, RolloutOutcome::RolledBack)]);
    // Alternatively, the participant is reported as permanently gone.
    gone.holders.remove("d2");
    gone.handle(RolloutInput::ParticipantGone { participant: "d2".into() }).unwrap();
    gone.run();
    gone.assert_all_apply(&from);
    assert_eq!(gone.outcomes(), [(1, RolloutOutcome::RolledBack)]);
}

#[test]
fn a_loaded_origin_delays_the_next_step_and_then_causes_a_rollback() {
    let (from, to) = chain();
    let low_ceiling = HierarchyRules { ceiling: 100.0, ..(*from.rules).clone() };
    let (from, to) = (from.with_rules(low_ceiling.clone().into()), to.with_rules(low_ceiling.into()));
    let mut simulation = Simulation::new(&from);
    simulation.run();
    simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
    // The load of 90 exceeds the limit of 80, the ceiling of 100 less the margin of a fifth.
    simulation.handle(RolloutInput::HealthReport { origin_load: 90.0, down_nodes: vec![] }).unwrap();
    let number = simulation.rollout.published().number;
    simulation.now = simulation.rollout.next_wakeup().unwrap();
    simulation.handle(RolloutInput::Tick).unwrap();
    simulation.now += 10 * SEC;
    simulation.handle(RolloutInput::Tick).unwrap();
    assert_eq!(simulation.rollout.published().number, number);
    let mut unloaded = Simulation {
        rollout: simulation.rollout.clone(),
        log: simulation.log.clone(),
        holders: simulation.holders.clone(),
        ..Simulation::new(&from)
    };
    unloaded.now = simulation.now;
    unloaded.handle(RolloutInput::HealthReport { origin_load: 10.0, down_nodes: vec![] }).unwrap();
    unloaded.run();
    unloaded.assert_all_apply(&to);
    simulation.run();
    simulation.assert_all_apply(&from);
    assert!(
        simulation.lines.iter().any(|n| n.contains("rollback origin load too high")),
        "{:?}",
        simulation.lines
    );
}

#[test]
fn an_old_copy_of_the_log_is_found_by_a_participant_that_is_ahead() {
    let (from, to) = chain();
    let mut simulation = Simulation::new(&from);
    simulation.run();
    let old = simulation.log.clone();
    simulation.handle(RolloutInput::Propose { target: to.clone() }).unwrap();
    simulation.run();
    let participants: Vec<Participant> = simulation.holders.keys().cloned().collect();
    simulation.rollout = Rollout::recover(&old, participants, simulation.now).unwrap();
    simulation.log = old;
    simulation.run();
    let error = simulation.handle(RolloutInput::Propose { target: from.clone() }).unwrap_err();
    assert!(error.to_string().contains("it is an old copy"), "{error}");
    // No participant applies an older version again.
    assert!(simulation.holders.values().all(|h| h.version() == Some(&to)));
    assert_eq!(Rollout::recover(&[], [], 0).err(), Some(RolloutError::InvalidLog));
    let broken = [RolloutRecord::StepCommitted { number: 2 }];
    assert_eq!(Rollout::recover(&broken, [], 0).err(), Some(RolloutError::InvalidLog));
}

#[test]
fn the_log_reads_back_as_it_was_written() {
    let (from, to) = chain();
    let mut simulation = Simulation::new(&from);
    simulation.run();
    simulation.handle(RolloutInput::Propose { target: to }).unwrap();
    simulation.run();
    for record in &simulation.log {
        let text = serde_json::to_string(record).unwrap();
        assert_eq!(&serde_json::from_str::<RolloutRecord>(&text).unwrap(), record);
    }
}
