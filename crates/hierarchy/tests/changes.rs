//! The driver: killed at each act, superseded, taken back, told by old logs.

mod support;

use std::collections::BTreeMap;

use sablecross_hierarchy::rollout::{Participant, RolloutError};
use sablecross_hierarchy::{
    Hierarchy, HierarchyRules, Rollout, RolloutAction, RolloutInput, RolloutOutcome, RolloutRecord,
    VersionHolder,
};
use support::{SEC, of_masks};

/// A world round a driver: its log, and parties that take what they are told.
struct World {
    driver: Rollout,
    log: Vec<RolloutRecord>,
    holders: BTreeMap<Participant, VersionHolder>,
    deaf: Vec<Participant>,
    notes: Vec<String>,
    now: u64,
    /// After so many acts the driver is killed, and begun anew from its log.
    kill: Option<usize>,
    acts: usize,
}

impl World {
    fn new(first: &Hierarchy) -> World {
        let parties: Vec<Participant> = ["d1", "d2", "u1"].map(Participant::from).to_vec();
        let driver = Rollout::new(1, first.clone(), parties.clone()).unwrap();
        let holders = parties.into_iter().map(|p| (p, VersionHolder::new())).collect();
        let (log, deaf, notes) = (Vec::new(), Vec::new(), Vec::new());
        World { driver, log, holders, deaf, notes, now: 1_000 * SEC, kill: None, acts: 0 }
    }

    fn act(&mut self) {
        loop {
            let acts = self.driver.take_actions();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                if self.kill == Some(self.acts) {
                    // What is not done yet never is; the log tells how to go on.
                    self.kill = None;
                    let parties: Vec<Participant> = self.holders.keys().cloned().collect();
                    self.driver = Rollout::recover(&self.log, parties, self.now).unwrap();
                    break;
                }
                self.acts += 1;
                match act {
                    RolloutAction::Persist(record) => self.log.push(record),
                    RolloutAction::Log(line) => self.notes.push(line),
                    RolloutAction::Publish { number, version } => {
                        for (party, holder) in self.holders.iter_mut().filter(|(p, _)| !self.deaf.contains(p))
                        {
                            holder.offer(number, &version);
                            let digest = holder.version().unwrap().digest();
                            let input = RolloutInput::VersionApplied {
                                participant: party.clone(),
                                number: holder.number(),
                                digest,
                            };
                            self.driver.handle(input, self.now).unwrap();
                        }
                    }
                }
            }
        }
    }

    fn hear(&mut self, input: RolloutInput) -> Result<(), RolloutError> {
        let said = self.driver.handle(input, self.now);
        self.act();
        said
    }

    /// Ticks until nothing runs, or it waits for a party.
    fn run(&mut self) {
        self.act();
        for _ in 0..200 {
            let Some(wake) = self.driver.next_wakeup() else { break };
            self.now = self.now.max(wake);
            self.hear(RolloutInput::Tick).unwrap();
        }
    }

    fn endings(&self) -> Vec<(u64, RolloutOutcome)> {
        let ended = |r: &RolloutRecord| match r {
            RolloutRecord::Ended { change, outcome: how } => Some((*change, *how)),
            _ => None,
        };
        self.log.iter().filter_map(ended).collect()
    }

    fn agree(&self, on: &Hierarchy) {
        assert_eq!(self.driver.committed().version, on);
        for (party, holder) in &self.holders {
            assert_eq!(holder.version(), Some(on), "{party}");
            assert_eq!(holder.number(), self.driver.committed().number, "{party}");
        }
    }
}

/// n1 over n2 over n3, and the same upside down: a change of several steps.
fn chain() -> (Hierarchy, Hierarchy) {
    (of_masks(&[0b0001, 0b0010, 0b0100]), of_masks(&[0b0100, 0b1000, 0b0001]))
}

#[test]
fn a_change_runs_step_by_step() {
    let (from, to) = chain();
    let mut w = World::new(&from);
    w.run();
    w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
    let begun = w.now;
    w.run();
    w.agree(&to);
    assert_eq!(w.endings(), [(1, RolloutOutcome::Completed)]);
    let steps = w.log.iter().filter(|r| matches!(r, RolloutRecord::StepStarted { .. })).count() as u64;
    assert!(steps >= 3, "{steps}");
    // Each step waits for the lookups from before; nothing that is asked for has moved here.
    assert!(w.now - begun >= steps * 3 * SEC);
    assert_eq!(w.hear(RolloutInput::Propose { target: to }), Err(RolloutError::AlreadyActive));
    assert_eq!(w.hear(RolloutInput::RollBack), Err(RolloutError::NotRunning));
}

#[test]
fn a_driver_killed_before_any_of_its_acts_goes_on_from_its_log() {
    let (from, to) = chain();
    let mut whole = World::new(&from);
    whole.run();
    let before = whole.acts;
    whole.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
    whole.run();
    let mut redone = 0;
    for kill in before..whole.acts {
        let mut w = World::new(&from);
        w.run();
        w.kill = Some(kill);
        w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
        w.run();
        assert_eq!(w.kill, None);
        if w.driver.committed().version == &from {
            // Not even its beginning was kept: it is as if it had not been asked for.
            assert!(w.endings().is_empty() && kill <= before + 1, "{kill}");
            w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
            w.run();
            redone += 1;
        }
        w.agree(&to);
        assert_eq!(w.endings(), [(1, RolloutOutcome::Completed)], "{kill}");
    }
    assert_eq!(redone, 1);
    // Numbers never come again, and a version once in force is not followed by an older one.
    assert!(whole.acts - before > 12);
}

#[test]
fn a_second_change_is_planned_from_what_is_in_force_and_a_third_is_refused() {
    let (from, to) = chain();
    let other = of_masks(&[0b0001, 0b0001, 0b0001]);
    // The driver killed before each of its acts: what waits is not lost, once it was kept.
    for kill in [None].into_iter().chain((0..48).map(Some)) {
        let mut w = World::new(&from);
        w.run();
        w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
        w.kill = kill.map(|k| w.acts + k);
        w.now += 50_000_000;
        w.hear(RolloutInput::Propose { target: other.clone() }).unwrap();
        let third = w.hear(RolloutInput::Propose { target: from.clone() });
        let (kept, running) = (kill != Some(0), w.driver.progress().map_or(0, |progress| progress.change));
        assert!(!kept || third == Err(RolloutError::Busy { running }), "{kill:?}: {third:?}");
        w.run();
        if kept {
            w.agree(&other);
            // What ended and was kept in one entry that made all before needless may be told twice.
            assert!(w.endings().contains(&(2, RolloutOutcome::Completed)), "{kill:?}: {:?}", w.endings());
            assert!(w.endings().contains(&(1, RolloutOutcome::Superseded)), "{kill:?}: {:?}", w.endings());
        }
    }
}

#[test]
fn one_that_took_the_place_of_another_goes_back_to_where_that_began() {
    let (from, to) = chain();
    let mut w = World::new(&from);
    w.run();
    w.hear(RolloutInput::Propose { target: to }).unwrap();
    w.hear(RolloutInput::Propose { target: of_masks(&[0b0001, 0b0001, 0b0001]) }).unwrap();
    while w.driver.progress().is_some_and(|progress| progress.change == 1) {
        w.now = w.now.max(w.driver.next_wakeup().unwrap());
        w.hear(RolloutInput::Tick).unwrap();
    }
    assert!(w.driver.committed().version != &from);
    w.hear(RolloutInput::HealthReport { origin_load: 2e6, down_nodes: vec![] }).unwrap();
    let parties: Vec<Participant> = w.holders.keys().cloned().collect();
    w.driver = Rollout::recover(&w.log, parties, w.now).unwrap();
    w.run();
    w.agree(&from);
    assert_eq!(w.endings(), [(1, RolloutOutcome::Superseded), (2, RolloutOutcome::RolledBack)]);
}

#[test]
fn nodes_are_the_same_by_their_names_after_the_driver_began_anew() {
    // n1 goes, so that a log without numbers gives n2 and n3 other ones.
    let from = of_masks(&[0b0001, 0b0001, 0b0100]);
    let mut w = World::new(&from);
    w.run();
    w.hear(RolloutInput::Propose { target: from.without_node(1) }).unwrap();
    w.run();
    let parties: Vec<Participant> = w.holders.keys().cloned().collect();
    w.driver = Rollout::recover(&w.log, parties, w.now).unwrap();
    // Asked for in the first numbers: n3 over the origin, n2 over n3.
    let aim = of_masks(&[0b0001, 0b1000, 0b0001]).without_node(1);
    w.hear(RolloutInput::Propose { target: aim.clone() }).unwrap();
    w.run();
    assert_eq!(w.driver.committed().version.digest(), aim.digest());
    assert_eq!(w.endings(), [(1, RolloutOutcome::Completed), (2, RolloutOutcome::Completed)]);
    let twice = aim.with_node(9, (**aim.get(2).unwrap()).clone());
    assert!(
        w.hear(RolloutInput::Propose { target: twice })
            .unwrap_err()
            .to_string()
            .contains("n2: a node stands twice")
    );
}

#[test]
fn one_that_waited_is_numbered_by_what_is_in_force_when_it_begins() {
    // Both add a node; the first one's is in force when the second begins.
    let from = of_masks(&[0b0001, 0b0001, 0b0001]);
    let mut w = World::new(&from);
    w.run();
    w.hear(RolloutInput::Propose { target: from.with_node(4, support::member("x", 1, &[0])) }).unwrap();
    let aim = from.with_node(4, support::member("y", 1, &[0]));
    w.hear(RolloutInput::Propose { target: aim.clone() }).unwrap();
    w.run();
    let held = w.driver.committed().version;
    assert_eq!(held.digest(), aim.digest());
    assert_eq!(held.node_id("x"), None);
    assert_ne!(held.node_id("y"), Some(4), "y came in x's place, with no way of its own into the pie");
}

#[test]
fn bad_evidence_takes_a_change_back() {
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
            let mut w = World::new(&from);
            w.run();
            w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
            for _ in 0..ticks {
                let Some(wake) = w.driver.next_wakeup() else { break };
                w.now = w.now.max(wake);
                w.hear(RolloutInput::Tick).unwrap();
            }
            let over = w.driver.progress().is_none();
            let untouched = over
                || matches!(&input, RolloutInput::HealthReport { origin_load, .. } if *origin_load < 2.0)
                    && w.driver.progress().is_none_or(|progress| progress.remaining_steps <= 1);
            // The same word once more changes nothing.
            for _ in 0..2 {
                let said = w.hear(input.clone());
                assert!(said.is_ok() || over, "{said:?}");
            }
            w.run();
            if w.endings() == [(1, RolloutOutcome::Completed)] {
                assert!(untouched, "{why} after {ticks}: not heeded");
                continue;
            }
            w.agree(&from);
            assert_eq!(w.endings(), [(1, RolloutOutcome::RolledBack)], "{why} after {ticks}");
            assert!(w.notes.iter().any(|n| n.contains(why)), "{why}: {:?}", w.notes);
        }
    }
}

#[test]
fn a_party_that_is_not_heard_of_takes_it_back_and_holds_it_there() {
    let (from, to) = chain();
    let mut w = World::new(&from);
    w.run();
    w.deaf = vec!["d2".into()];
    w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
    w.run();
    // Taken back for those that have it; nothing more happens until it is known what the third has.
    assert!(w.endings().is_empty() && w.driver.next_wakeup().is_none());
    assert_eq!(w.driver.missing_participants(), ["d2".into()]);
    assert!(w.notes.iter().any(|n| n.contains("rollback missing=d2")), "{:?}", w.notes);
    assert!(w.notes.iter().any(|n| n.contains("waiting missing=d2")), "{:?}", w.notes);
    let mut gone = World {
        driver: w.driver.clone(),
        log: w.log.clone(),
        holders: w.holders.clone(),
        ..World::new(&from)
    };
    gone.now = w.now;
    // It comes back and takes the newest alone.
    w.deaf.clear();
    let (number, version) = (w.driver.published().number, w.driver.published().version.clone());
    let d2 = w.holders.get_mut("d2").unwrap();
    d2.offer(number, &version);
    let digest = version.digest();
    w.hear(RolloutInput::VersionApplied { participant: "d2".into(), number, digest }).unwrap();
    w.run();
    w.agree(&from);
    assert_eq!(w.endings(), [(1, RolloutOutcome::RolledBack)]);
    // Or it is known to be gone.
    gone.holders.remove("d2");
    gone.hear(RolloutInput::ParticipantGone { participant: "d2".into() }).unwrap();
    gone.run();
    gone.agree(&from);
    assert_eq!(gone.endings(), [(1, RolloutOutcome::RolledBack)]);
}

#[test]
fn an_origin_that_is_not_calm_holds_the_next_step_and_then_takes_it_back() {
    let (from, to) = chain();
    let busy = HierarchyRules { ceiling: 100.0, ..(*from.rules).clone() };
    let (from, to) = (from.with_rules(busy.clone().into()), to.with_rules(busy.into()));
    let mut w = World::new(&from);
    w.run();
    w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
    // 90 of 100 with a margin of a fifth.
    w.hear(RolloutInput::HealthReport { origin_load: 90.0, down_nodes: vec![] }).unwrap();
    let number = w.driver.published().number;
    w.now = w.driver.next_wakeup().unwrap();
    w.hear(RolloutInput::Tick).unwrap();
    w.now += 10 * SEC;
    w.hear(RolloutInput::Tick).unwrap();
    assert_eq!(w.driver.published().number, number);
    let mut calm = World {
        driver: w.driver.clone(),
        log: w.log.clone(),
        holders: w.holders.clone(),
        ..World::new(&from)
    };
    calm.now = w.now;
    calm.hear(RolloutInput::HealthReport { origin_load: 10.0, down_nodes: vec![] }).unwrap();
    calm.run();
    calm.agree(&to);
    w.run();
    w.agree(&from);
    assert!(w.notes.iter().any(|n| n.contains("rollback origin load too high")), "{:?}", w.notes);
}

#[test]
fn an_old_copy_of_the_log_is_told_by_who_has_more() {
    let (from, to) = chain();
    let mut w = World::new(&from);
    w.run();
    let old = w.log.clone();
    w.hear(RolloutInput::Propose { target: to.clone() }).unwrap();
    w.run();
    let parties: Vec<Participant> = w.holders.keys().cloned().collect();
    w.driver = Rollout::recover(&old, parties, w.now).unwrap();
    w.log = old;
    w.run();
    let said = w.hear(RolloutInput::Propose { target: from.clone() }).unwrap_err();
    assert!(said.to_string().contains("it is an old copy"), "{said}");
    // Nobody has gone back.
    assert!(w.holders.values().all(|h| h.version() == Some(&to)));
    assert_eq!(Rollout::recover(&[], [], 0).err(), Some(RolloutError::InvalidLog));
    let broken = [RolloutRecord::StepCommitted { number: 2 }];
    assert_eq!(Rollout::recover(&broken, [], 0).err(), Some(RolloutError::InvalidLog));
}

#[test]
fn the_log_reads_back_as_it_was_written() {
    let (from, to) = chain();
    let mut w = World::new(&from);
    w.run();
    w.hear(RolloutInput::Propose { target: to }).unwrap();
    w.run();
    for record in &w.log {
        let text = serde_json::to_string(record).unwrap();
        assert_eq!(&serde_json::from_str::<RolloutRecord>(&text).unwrap(), record);
    }
}
