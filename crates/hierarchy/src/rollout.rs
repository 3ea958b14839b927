//! Carries a change out, step by step. The caller does what `Act` says, in its order, and tells what it hears; each
//! `Write` must be kept before anything after it is done.
//!
//! One step is begun only when everyone has the one before in force and no lookup from before that is in hand, so
//! that at most two versions that follow one another are in use at any time, and these two form no circle.

use std::collections::BTreeMap;
use std::sync::Arc;

use sablecross::Ns;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::admission::{Admission, AdmissionError};
use crate::plan::{PlanError, PlanStep, plan};
use crate::spec::HierarchySpec;
use crate::version::{Hierarchy, NodeId};

/// A director, or a node that passes fills on.
pub type Participant = Arc<str>;

/// What the driver hears.
#[derive(Clone, Debug)]
pub enum RolloutInput {
    /// A version is wanted.
    Propose {
        target: Hierarchy,
    },
    /// A party has this in force; also its word when it comes, or comes back.
    VersionApplied {
        participant: Participant,
        number: u64,
        digest: u64,
    },
    /// A party is gone for good: it takes nothing and asks nobody any more.
    ParticipantGone {
        participant: Participant,
    },
    /// Fetches a second that the origin counted, and nodes that most directors judge down.
    HealthReport {
        origin: f64,
        down_nodes: Vec<NodeId>,
    },
    /// An operator wants the change that runs to be taken back.
    RollBack,
    Tick,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    Persist(RolloutRecord),
    /// To be told to all parties, again and again until each has it in force.
    Publish {
        number: u64,
        version: Hierarchy,
    },
    /// A line for the log.
    Log(String),
}

/// The log, one entry before each thing that others see.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutRecord {
    /// All before it is no longer needed: this version was in force everywhere.
    #[serde(rename = "start")]
    Checkpoint {
        #[serde(rename = "number")]
        number: u64,
        #[serde(rename = "next_change")]
        next_change: u64,
        #[serde(rename = "version")]
        version: HierarchySpec,
    },
    /// With what was in force when no change ran: one that takes the place of another goes back there.
    #[serde(rename = "begun")]
    Started {
        #[serde(rename = "change")]
        change: u64,
        #[serde(rename = "aim")]
        target: HierarchySpec,
        #[serde(rename = "home")]
        baseline: HierarchySpec,
    },
    /// A change that waits for the one that runs; none: it waits no more.
    #[serde(rename = "waits")]
    Queued {
        #[serde(rename = "aim")]
        target: Option<HierarchySpec>,
    },
    /// It is to be taken back.
    #[serde(rename = "back")]
    RollbackStarted {
        #[serde(rename = "change")]
        change: u64,
    },
    #[serde(rename = "step")]
    StepStarted {
        #[serde(rename = "change")]
        change: u64,
        #[serde(rename = "number")]
        number: u64,
        #[serde(rename = "back")]
        is_rollback: bool,
        #[serde(rename = "version")]
        version: HierarchySpec,
    },
    #[serde(rename = "in-force")]
    StepCommitted {
        #[serde(rename = "number")]
        number: u64,
    },
    #[serde(rename = "ended")]
    Ended {
        #[serde(rename = "change")]
        change: u64,
        #[serde(rename = "how")]
        outcome: RolloutOutcome,
    },
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutOutcome {
    #[serde(rename = "done")]
    Completed,
    #[serde(rename = "rolled-back")]
    RolledBack,
    #[serde(rename = "superseded")]
    Superseded,
    /// No way led on and none back: what is in force stays.
    #[serde(rename = "left")]
    Abandoned,
}

#[derive(Clone, Debug, Error, PartialEq)]
pub enum RolloutError {
    #[error("refused: {0}")]
    NotAdmitted(#[from] AdmissionError),
    #[error("no plan: {0}")]
    NoPlan(#[from] PlanError),
    #[error("change {running} runs and another waits for it: ask again when that has begun")]
    Busy { running: u64 },
    #[error("it is in force already")]
    AlreadyActive,
    #[error(
        "{party} has version {theirs} in force and this log knows {ours} at most: it is an old copy; \
         find the newest log, or start anew from what is in force"
    )]
    Stale { party: Participant, theirs: u64, ours: u64 },
    #[error("no change runs")]
    NotRunning,
    #[error("the log does not begin with a version in force, or breaks off where that can't be")]
    InvalidLog,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Told; not everyone has it yet.
    Publishing { since: Ns },
    /// Everyone has it; lookups from before are still in hand.
    Draining { until: Ns },
    /// Until what has moved has filled, and nodes are warm.
    Waiting { until: Ns },
}

#[derive(Clone, Debug, PartialEq)]
struct Run {
    change: u64,
    /// What was in force when it began.
    from: Hierarchy,
    /// Where the steps lead: the aim, or on the way back what was in force.
    target: Hierarchy,
    back: bool,
    /// The step that was told last stands first.
    steps: Vec<PlanStep>,
    /// What was in force on the way here, the oldest first.
    passed: Vec<Hierarchy>,
    stage: Stage,
    noted: bool,
}

#[derive(Clone, Debug)]
pub struct Rollout {
    admission: Admission,
    /// The last version that everyone had in force, and the last number given out.
    held: Hierarchy,
    held_number: u64,
    number: u64,
    /// What was in force when no change ran.
    home: Hierarchy,
    next_change: u64,
    run: Option<Run>,
    next: Option<Hierarchy>,
    parties: BTreeMap<Participant, (u64, u64)>,
    stale: Option<RolloutError>,
    origin: Option<f64>,
    acts: Vec<RolloutAction>,
}

impl Rollout {
    /// From a version that everyone has in force, or will have before any other.
    pub fn new(
        number: u64,
        version: Hierarchy,
        parties: impl IntoIterator<Item = Participant>,
    ) -> Result<Rollout, RolloutError> {
        let number = number.max(1);
        Admission::new(version.clone())?;
        let start = RolloutRecord::Checkpoint {
            number,
            next_change: 1,
            version: HierarchySpec::from_hierarchy(number, &version),
        };
        let mut driver = Rollout::at(number, version, parties)?;
        driver.act(RolloutAction::Persist(start));
        driver.publish();
        Ok(driver)
    }

    fn at(
        number: u64,
        version: Hierarchy,
        parties: impl IntoIterator<Item = Participant>,
    ) -> Result<Rollout, RolloutError> {
        Ok(Rollout {
            admission: Admission::from_active(version.clone())?,
            home: version.clone(),
            held: version,
            held_number: number,
            number,
            next_change: 1,
            run: None,
            next: None,
            parties: parties.into_iter().map(|p| (p, (0, 0))).collect(),
            stale: None,
            origin: None,
            acts: Vec::new(),
        })
    }

    /// From its log, after an end at any point. What was told last is told again; it goes on from there.
    pub fn recover(
        records: &[RolloutRecord],
        parties: impl IntoIterator<Item = Participant>,
        now: Ns,
    ) -> Result<Rollout, RolloutError> {
        let mut found: Option<Rollout> = None;
        let mut pending: Option<(bool, Hierarchy)> = None;
        for record in records {
            let known = found.as_ref().map(|d| d.held.clone());
            let read = |told: &HierarchySpec| {
                told.to_hierarchy(known.as_ref()).map(|(_, h)| h).map_err(|_| RolloutError::InvalidLog)
            };
            if let RolloutRecord::Checkpoint { number, next_change, version } = record {
                let mut start = Rollout::at(*number, read(version)?, [])?;
                start.next_change = *next_change;
                found = Some(start);
                pending = None;
                continue;
            }
            let d = found.as_mut().ok_or(RolloutError::InvalidLog)?;
            match record {
                RolloutRecord::Checkpoint { .. } => {}
                RolloutRecord::Started { change, target: told, baseline: home } => {
                    d.next_change = change + 1;
                    d.next = None;
                    d.home = read(home)?;
                    d.run = Some(Run::new(*change, d.home.clone(), read(told)?, now));
                }
                RolloutRecord::Queued { target: aim } => d.next = aim.as_ref().map(read).transpose()?,
                RolloutRecord::RollbackStarted { .. } => {
                    if let Some(run) = d.run.as_mut() {
                        run.turn(true);
                    }
                }
                RolloutRecord::StepStarted { number, is_rollback: back, version, .. } => {
                    d.number = *number;
                    pending = Some((*back, read(version)?));
                }
                RolloutRecord::StepCommitted { number } => {
                    let (back, version) = pending.take().ok_or(RolloutError::InvalidLog)?;
                    if let Some(run) = d.run.as_mut() {
                        run.passed.push(std::mem::replace(&mut d.held, version));
                        run.turn(back);
                    }
                    d.held_number = *number;
                }
                RolloutRecord::Ended { .. } => d.run = None,
            }
        }
        let mut driver = found.ok_or(RolloutError::InvalidLog)?;
        driver.parties = parties.into_iter().map(|p| (p, (0, 0))).collect();
        driver.admission = Admission::from_active(driver.held.clone())?;
        if let Some(run) = driver.run.as_mut() {
            match pending {
                Some((back, version)) => {
                    run.turn(back);
                    run.steps = vec![crate::plan::direct_step(&driver.held, &version)];
                    run.stage = Stage::Publishing { since: now };
                }
                // Lookups from before the end may be in hand still.
                None => {
                    run.steps = vec![crate::plan::direct_step(&driver.held, &driver.held)];
                    run.stage = Stage::Draining { until: now + driver.held.rules.drain_window };
                }
            }
        }
        driver.note(format!("hierarchy recovered version={} in_force={}", driver.number, driver.held_number));
        driver.publish();
        if driver.run.is_none() {
            driver.begin_next(now);
        }
        Ok(driver)
    }

    /// Takes what is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<RolloutAction> {
        std::mem::take(&mut self.acts)
    }

    /// The number told last and what it holds.
    pub fn published(&self) -> (u64, &Hierarchy) {
        (self.number, self.pending().unwrap_or(&self.held))
    }

    /// The last version that everyone had in force.
    pub fn committed(&self) -> (u64, &Hierarchy) {
        (self.held_number, &self.held)
    }

    /// The change that runs, whether it is on its way back, and how many steps are left.
    pub fn progress(&self) -> Option<(u64, bool, usize)> {
        self.run.as_ref().map(|r| (r.change, r.back, r.steps.len()))
    }

    /// When it wants to be ticked next.
    pub fn next_wakeup(&self) -> Option<Ns> {
        let run = self.run.as_ref()?;
        Some(match run.stage {
            // A step that is on its way back can only wait.
            Stage::Publishing { .. } if run.noted => return None,
            Stage::Publishing { since } => since + self.held.rules.step_timeout,
            Stage::Draining { until } => until,
            Stage::Waiting { until } if self.calm() => until,
            Stage::Waiting { until } => until + self.held.rules.step_timeout,
        })
    }

    /// Parties that have not said that they have the last number in force.
    pub fn missing_participants(&self) -> Vec<Participant> {
        let (number, version) = self.published();
        let digest = version.digest();
        let here = |&(_, said): &(&Participant, &(u64, u64))| *said != (number, digest);
        self.parties.iter().filter(here).map(|(p, _)| Arc::clone(p)).collect()
    }

    pub fn handle(&mut self, input: RolloutInput, now: Ns) -> Result<(), RolloutError> {
        match input {
            RolloutInput::Propose { target: aim } => self.propose(aim, now)?,
            RolloutInput::VersionApplied { participant: party, number, digest } => {
                if number > self.number {
                    let (theirs, ours) = (number, self.number);
                    self.note(format!("hierarchy stale party={party} theirs={theirs} ours={ours}"));
                    self.stale = Some(RolloutError::Stale { party, theirs, ours });
                    return Ok(());
                }
                // Words of older numbers are late, or come from one that has to be told again.
                let said = self.parties.entry(party).or_default();
                if number == self.number {
                    *said = (number, digest);
                }
            }
            RolloutInput::ParticipantGone { participant: party } => {
                self.parties.remove(&party);
            }
            RolloutInput::HealthReport { origin, down_nodes: down } => {
                self.origin = Some(origin);
                let over = origin > self.held.rules.ceiling;
                let touched = |n: &&NodeId| {
                    self.run.as_ref().is_some_and(|r| r.steps.iter().any(|s| s.changed_nodes.contains(n)))
                };
                let ill = down.iter().find(touched).copied();
                let why = if over {
                    Some(format!("origin={origin:.0} ceiling={:.0}", self.held.rules.ceiling))
                } else {
                    ill.map(|n| format!("down={}", self.published().1.node_name(n)))
                };
                if let Some(why) = why
                    && self.run.as_ref().is_some_and(|r| !r.back)
                {
                    self.turn_back(now, &why);
                }
            }
            RolloutInput::RollBack => match &self.run {
                None => return Err(RolloutError::NotRunning),
                Some(run) if run.back => {}
                Some(_) => self.turn_back(now, "asked"),
            },
            RolloutInput::Tick => {}
        }
        self.go_on(now);
        Ok(())
    }

    fn propose(&mut self, aim: Hierarchy, now: Ns) -> Result<(), RolloutError> {
        if let Some(stale) = &self.stale {
            return Err(stale.clone());
        }
        let aim = self.own(&aim)?;
        match &self.run {
            Some(run) if self.next.is_some() => Err(RolloutError::Busy { running: run.change }),
            Some(run) if run.target == aim => Err(RolloutError::AlreadyActive),
            Some(run) => {
                // From what is in force, not from a half-way picture: it is planned once that is known.
                self.admission.clone().admit(&aim)?;
                let change = run.change;
                self.act(RolloutAction::Persist(RolloutRecord::Queued {
                    target: Some(HierarchySpec::from_hierarchy(self.number, &aim)),
                }));
                self.note(format!("hierarchy change waits behind={change}"));
                self.next = Some(aim);
                if matches!(self.run.as_ref().map(|r| r.stage), Some(Stage::Waiting { .. })) {
                    self.supersede(now);
                }
                Ok(())
            }
            None if self.held == aim => Err(RolloutError::AlreadyActive),
            None => self.begin(aim, now),
        }
    }

    /// A version with the numbers that what is in force has: nodes are the same by their names.
    fn own(&self, aim: &Hierarchy) -> Result<Hierarchy, AdmissionError> {
        let told = HierarchySpec::from_hierarchy(self.number, aim).to_hierarchy(Some(&self.held));
        told.map(|(_, aim)| aim).map_err(|what| AdmissionError::DuplicateNode { what })
    }

    fn begin(&mut self, aim: Hierarchy, now: Ns) -> Result<(), RolloutError> {
        let mut admission = self.admission.clone();
        admission.admit(&aim)?;
        let found = plan(&self.held, &aim, now)?;
        let change = self.next_change;
        self.next_change += 1;
        let home = HierarchySpec::from_hierarchy(self.held_number, &self.home);
        self.act(RolloutAction::Persist(RolloutRecord::Started {
            change,
            target: HierarchySpec::from_hierarchy(self.number, &aim),
            baseline: home,
        }));
        let peak = found.steps.iter().map(|s| s.origin_peak).fold(0.0, f64::max);
        self.note(format!(
            "hierarchy change={change} begun nodes={} steps={} peak={peak:.0} ceiling={:.0}",
            self.held.diff(&aim).count(),
            found.steps.len(),
            aim.rules.ceiling
        ));
        let mut run = Run::new(change, self.home.clone(), aim, now);
        run.steps = found.steps;
        if run.steps.is_empty() {
            // Rules alone have changed.
            run.steps = vec![crate::plan::direct_step(&self.held, &run.target)];
        }
        self.run = Some(run);
        self.tell(now);
        Ok(())
    }

    /// Tells the first of the steps.
    fn tell(&mut self, now: Ns) {
        let Some(run) = self.run.as_mut() else { return };
        let Some(step) = run.steps.first() else { return };
        self.number += 1;
        self.parties.values_mut().for_each(|said| *said = (0, 0));
        run.stage = Stage::Publishing { since: now };
        run.noted = false;
        let version = HierarchySpec::from_hierarchy(self.number, &step.target);
        let record = RolloutRecord::StepStarted {
            change: run.change,
            number: self.number,
            is_rollback: run.back,
            version,
        };
        let line = format!(
            "hierarchy change={} step version={} left={} back={} moved={:.0} peak={:.0}",
            run.change,
            self.number,
            run.steps.len() - 1,
            u8::from(run.back),
            step.moved_load,
            step.origin_peak
        );
        self.act(RolloutAction::Persist(record));
        self.note(line);
        self.publish();
    }

    fn publish(&mut self) {
        if self.stale.is_some() {
            return;
        }
        let (number, version) = self.published();
        let publish = RolloutAction::Publish { number, version: version.clone() };
        self.act(publish);
    }

    /// What is told and not in force with everyone.
    fn pending(&self) -> Option<&Hierarchy> {
        let run = self.run.as_ref()?;
        matches!(run.stage, Stage::Publishing { .. }).then(|| run.steps.first().map(|s| &s.target))?
    }

    /// Whether the origin bears the next step, by what it was last heard to bear.
    fn calm(&self) -> bool {
        let Some(next) = self.run.as_ref().and_then(|r| r.steps.get(1)) else { return true };
        let most = self.held.rules.ceiling * (1.0 - self.held.rules.margin);
        let more = (next.origin_peak - next.origin_before).max(0.0);
        self.origin.is_none_or(|o| o + more <= most) || self.run.as_ref().is_some_and(|r| r.back)
    }

    fn go_on(&mut self, now: Ns) {
        // Each turn moves the stage on, so this ends.
        while self.stale.is_none() && self.turn(now) {}
    }

    fn turn(&mut self, now: Ns) -> bool {
        let missing = self.missing_participants();
        let calm = self.calm();
        let give_up = self.held.rules.step_timeout;
        let Some(run) = self.run.as_mut() else { return false };
        match run.stage {
            Stage::Publishing { .. } if missing.is_empty() => {
                let Some(step) = run.steps.first() else { return false };
                run.passed.push(std::mem::replace(&mut self.held, step.target.clone()));
                run.stage = Stage::Draining { until: now + self.held.rules.drain_window };
                self.held_number = self.number;
                self.act(RolloutAction::Persist(RolloutRecord::StepCommitted { number: self.number }));
                self.note(format!("hierarchy in force version={}", self.number));
                true
            }
            Stage::Publishing { since } if now >= since + give_up && !run.noted => {
                run.noted = true;
                let names: Vec<&str> = missing.iter().map(|p| &**p).collect();
                let why = format!("missing={}", names.join(","));
                if run.back {
                    let change = run.change;
                    self.note(format!("hierarchy change={change} waits {why}"));
                } else {
                    self.turn_back(now, &why);
                }
                false
            }
            Stage::Draining { until } if now >= until => {
                if self.next.is_some() && self.supersede(now) {
                    return true;
                }
                let Some(run) = self.run.as_mut() else { return false };
                match run.steps.get(1) {
                    Some(next) => run.stage = Stage::Waiting { until: now + next.min_delay },
                    None if self.held == run.target => self.end(now),
                    None => self.replan(now),
                }
                true
            }
            Stage::Waiting { until } if now >= until && calm => {
                run.steps.remove(0);
                self.tell(now);
                true
            }
            Stage::Waiting { until } if now >= until + give_up => {
                self.turn_back(now, "origin not calm");
                true
            }
            _ => false,
        }
    }

    /// The steps are used up and lead elsewhere: after a restart, or where the way back had to go on.
    fn replan(&mut self, now: Ns) {
        let Some(run) = self.run.as_mut() else { return };
        match plan(&self.held, &run.target, now) {
            Ok(found) if !found.steps.is_empty() => {
                run.steps = found.steps;
                self.tell(now);
            }
            Ok(_) => {
                run.steps = vec![crate::plan::direct_step(&self.held, &run.target)];
                self.tell(now);
            }
            Err(no) if run.back => {
                self.note(format!("hierarchy no way back: {no}"));
                self.retrace(now);
            }
            Err(no) => {
                let why = no.to_string();
                self.turn_back(now, &why);
            }
        }
    }

    /// Back over the versions that were in force, each beside the one that followed it: loads can't be kept then,
    /// loops can't arise.
    fn retrace(&mut self, now: Ns) {
        let Some(run) = self.run.as_mut() else { return };
        let Some(at) = run.passed.iter().rposition(|v| *v == run.target) else {
            return self.finish(RolloutOutcome::Abandoned);
        };
        let mut before = self.held.clone();
        let mut steps = Vec::new();
        for version in run.passed[at..].iter().rev() {
            if *version != before {
                steps.push(crate::plan::direct_step(&before, version));
                before = version.clone();
            }
        }
        if steps.is_empty() {
            return self.finish(RolloutOutcome::Abandoned);
        }
        run.steps = steps;
        self.tell(now);
    }

    /// Plans the way back. A step that not everyone has yet is taken back first, under a new number.
    fn turn_back(&mut self, now: Ns, why: &str) {
        let pending = self.pending().is_some();
        let Some(run) = self.run.as_mut() else { return };
        run.turn(true);
        let change = run.change;
        self.acts.push(RolloutAction::Persist(RolloutRecord::RollbackStarted { change }));
        run.steps = match pending {
            // The rest is planned when this one is in force everywhere.
            true => vec![crate::plan::direct_step(&run.steps[0].target, &self.held)],
            false => vec![crate::plan::direct_step(&self.held, &self.held)],
        };
        self.note(format!("hierarchy change={change} back {why}"));
        if pending {
            self.tell(now);
        } else if let Some(Run { stage: Stage::Waiting { .. }, .. }) = &self.run {
            // Nothing of before is in hand any more.
            if self.run.as_ref().is_some_and(|r| r.target == self.held) {
                self.end(now)
            } else {
                self.replan(now)
            }
        }
    }

    /// The change that waits takes the place of the one that runs, planned from what is in force.
    fn supersede(&mut self, now: Ns) -> bool {
        let Some(aim) = self.next.clone() else { return false };
        // What it was numbered by may not be in force any more.
        let aim = self.own(&aim).unwrap_or(aim);
        let fit = || -> Result<(), RolloutError> {
            self.admission.clone().admit(&aim)?;
            if self.held != aim {
                plan(&self.held, &aim, now)?;
            }
            Ok(())
        };
        if let Err(why) = fit() {
            self.drop_next(&why.to_string());
            return false;
        }
        self.finish(RolloutOutcome::Superseded);
        self.begin_next(now);
        true
    }

    fn end(&mut self, now: Ns) {
        let back = self.run.as_ref().is_some_and(|r| r.back);
        self.finish(if back { RolloutOutcome::RolledBack } else { RolloutOutcome::Completed });
        self.begin_next(now);
    }

    /// The change that waits begins, now that none runs. It is kept as waiting until it is kept as begun.
    fn begin_next(&mut self, now: Ns) {
        let Some(aim) = self.next.clone() else { return };
        let begun = match self.own(&aim) {
            Ok(aim) if aim == self.held => Err(RolloutError::AlreadyActive),
            Ok(aim) => self.begin(aim, now),
            Err(refusal) => Err(refusal.into()),
        };
        match begun {
            Ok(()) => self.next = None,
            Err(why) => self.drop_next(&why.to_string()),
        }
    }

    fn drop_next(&mut self, why: &str) {
        self.next = None;
        self.act(RolloutAction::Persist(RolloutRecord::Queued { target: None }));
        self.note(format!("hierarchy change that waited: {why}"));
    }

    fn finish(&mut self, how: RolloutOutcome) {
        let Some(run) = self.run.take() else { return };
        if how != RolloutOutcome::Superseded {
            self.home = self.held.clone();
        }
        // What is in force was admitted, or lies between two that were.
        if let Ok(admission) = Admission::from_active(self.held.clone()) {
            self.admission = admission;
        }
        self.act(RolloutAction::Persist(RolloutRecord::Ended { change: run.change, outcome: how }));
        // A half-way version is nothing to start from: then what was kept before is needed still.
        if how != RolloutOutcome::Superseded {
            let version = HierarchySpec::from_hierarchy(self.held_number, &self.held);
            self.act(RolloutAction::Persist(RolloutRecord::Checkpoint {
                number: self.number,
                next_change: self.next_change,
                version,
            }));
            if let Some(aim) = &self.next {
                let aim = Some(HierarchySpec::from_hierarchy(self.number, aim));
                self.act(RolloutAction::Persist(RolloutRecord::Queued { target: aim }));
            }
        }
        self.note(format!("hierarchy change={} ended how={how:?} version={}", run.change, self.held_number));
    }

    fn act(&mut self, act: RolloutAction) {
        self.acts.push(act);
    }

    fn note(&mut self, line: String) {
        self.act(RolloutAction::Log(line));
    }

    /// All that decides what it does next, for a search over its states. Times are told by how far off they are.
    pub fn state_key(&self, now: Ns) -> impl std::hash::Hash + Eq + use<> {
        let run = self.run.as_ref().map(|r| {
            let steps: Vec<u64> = r.steps.iter().map(|s| s.target.digest()).collect();
            let passed: Vec<u64> = r.passed.iter().map(Hierarchy::digest).collect();
            let stage = match r.stage {
                Stage::Publishing { since } => (0, now.abs_diff(since)),
                Stage::Draining { until } => (1, now.abs_diff(until)),
                Stage::Waiting { until } => (2, now.abs_diff(until)),
            };
            (r.change, r.from.digest(), r.target.digest(), r.back, steps, passed, stage, r.noted)
        });
        let parties: Vec<(Participant, (u64, u64))> =
            self.parties.iter().map(|(p, s)| (Arc::clone(p), *s)).collect();
        let next = self.next.as_ref().map(Hierarchy::digest);
        let numbers = (self.held_number, self.number, self.next_change);
        (self.held.digest(), numbers, run, next, parties, self.stale.is_some())
    }
}

impl Run {
    fn new(change: u64, from: Hierarchy, target: Hierarchy, now: Ns) -> Run {
        let stage = Stage::Publishing { since: now };
        Run { change, from, target, back: false, steps: Vec::new(), passed: Vec::new(), stage, noted: false }
    }

    fn turn(&mut self, back: bool) {
        if back && !self.back {
            self.back = true;
            self.target = self.from.clone();
        }
    }
}
