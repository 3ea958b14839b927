//! Starts changes and advances them. For each step: publish its version, wait until every participant applies it,
//! drain requests of the previous version, and wait for the minimum delay of the next step.

use sablecross::Ns;

use super::active_change::{ActiveChange, Stage};
use super::{AppliedVersion, Rollout, RolloutError, RolloutOutcome, RolloutRecord};
use crate::admission::Admission;
use crate::plan::{direct_step, plan};
use crate::spec::HierarchySpec;
use crate::version::Hierarchy;

impl Rollout {
    /// Plans a change from the committed version and starts its first step.
    pub(super) fn start(&mut self, target: Hierarchy, now: Ns) -> Result<(), RolloutError> {
        self.admission.clone().admit(&target)?;
        let planned = plan(&self.committed, &target, now)?;
        let id = self.next_change_id;
        self.next_change_id += 1;
        self.persist(RolloutRecord::Started {
            change: id,
            target: HierarchySpec::from_hierarchy(self.last_number, &target),
            baseline: HierarchySpec::from_hierarchy(self.committed_number, &self.baseline),
        });
        let peak = planned.steps.iter().map(|step| step.origin_peak).fold(0.0, f64::max);
        self.log(format!(
            "hierarchy change={id} begun nodes={} steps={} peak={peak:.0} ceiling={:.0}",
            self.committed.diff(&target).count(),
            planned.steps.len(),
            target.rules.ceiling
        ));
        let mut change = ActiveChange::new(id, self.baseline.clone(), target, now);
        change.steps = planned.steps;
        if change.steps.is_empty() {
            // The nodes are the same and only the rules differ.
            change.steps = vec![direct_step(&self.committed, &change.target)];
        }
        self.change = Some(change);
        self.publish_step(now);
        Ok(())
    }

    /// Publishes the version of the first remaining step under a new number.
    pub(super) fn publish_step(&mut self, now: Ns) {
        let Some(change) = self.change.as_mut() else { return };
        let Some(step) = change.steps.first() else { return };
        self.last_number += 1;
        self.participants.values_mut().for_each(|applied| *applied = AppliedVersion::default());
        change.stage = Stage::Publishing { since: now };
        change.timeout_handled = false;
        let record = RolloutRecord::StepStarted {
            change: change.id,
            number: self.last_number,
            is_rollback: change.is_rollback,
            version: HierarchySpec::from_hierarchy(self.last_number, &step.target),
        };
        let line = format!(
            "hierarchy change={} step version={} remaining={} rollback={} moved={:.0} peak={:.0}",
            change.id,
            self.last_number,
            change.steps.len() - 1,
            u8::from(change.is_rollback),
            step.moved_load,
            step.origin_peak
        );
        self.persist(record);
        self.log(line);
        self.publish();
    }

    /// Advances the running change through all stages that are due.
    pub(super) fn advance(&mut self, now: Ns) {
        // Each iteration moves the change to its next stage, so the loop terminates.
        while self.stale.is_none() && self.advance_stage(now) {}
    }

    /// Moves the running change to its next stage if that is due. Returns whether it did.
    fn advance_stage(&mut self, now: Ns) -> bool {
        let Some(change) = &self.change else { return false };
        let timeout = self.committed.rules.step_timeout;
        match change.stage {
            Stage::Publishing { .. } if self.missing_participants().is_empty() => self.commit_step(now),
            Stage::Publishing { since } if now >= since + timeout && !change.timeout_handled => {
                self.on_publish_timeout(now);
                false
            }
            Stage::Draining { until } if now >= until => {
                self.on_drained(now);
                true
            }
            Stage::Waiting { until } if now >= until && self.origin_can_take_next_step() => {
                self.publish_next_step(now);
                true
            }
            Stage::Waiting { until } if now >= until + timeout => {
                self.roll_back(now, "origin load too high");
                true
            }
            _ => false,
        }
    }

    /// Commits the published version, which every participant applies, and starts to drain. Returns whether a step was
    /// committed.
    fn commit_step(&mut self, now: Ns) -> bool {
        let Some(change) = self.change.as_mut() else { return false };
        let Some(step) = change.steps.first() else { return false };
        change.history.push(std::mem::replace(&mut self.committed, step.target.clone()));
        change.stage = Stage::Draining { until: now + self.committed.rules.drain_window };
        self.committed_number = self.last_number;
        self.persist(RolloutRecord::StepCommitted { number: self.last_number });
        self.log(format!("hierarchy in force version={}", self.last_number));
        true
    }

    /// Handles participants that did not report the published version within `step_timeout`: the change is rolled back.
    /// A rollback goes on waiting for them.
    fn on_publish_timeout(&mut self, now: Ns) {
        let missing = format!("missing={}", self.missing_participants().join(","));
        let Some(change) = self.change.as_mut() else { return };
        change.timeout_handled = true;
        if change.is_rollback {
            let id = change.id;
            self.log(format!("hierarchy change={id} waiting {missing}"));
        } else {
            self.roll_back(now, &missing);
        }
    }

    /// Ends a step once no request of an earlier version is in flight any more.
    fn on_drained(&mut self, now: Ns) {
        if self.queued.is_some() && self.supersede(now) {
            return;
        }
        let Some(change) = self.change.as_mut() else { return };
        match change.steps.get(1) {
            Some(next) => change.stage = Stage::Waiting { until: now + next.min_delay },
            None if self.committed == change.target => self.end(now),
            None => self.replan(now),
        }
    }

    fn publish_next_step(&mut self, now: Ns) {
        if let Some(change) = self.change.as_mut() {
            change.steps.remove(0);
        }
        self.publish_step(now);
    }

    /// Whether the origin can take the load that the next step adds to its last reported load. A rollback is never
    /// delayed by the origin's load.
    pub(super) fn origin_can_take_next_step(&self) -> bool {
        let Some(change) = &self.change else { return true };
        let Some(next) = change.steps.get(1) else { return true };
        let rules = &self.committed.rules;
        let limit = rules.ceiling * (1.0 - rules.margin);
        let added = (next.origin_peak - next.origin_before).max(0.0);
        change.is_rollback || self.origin_load.is_none_or(|load| load + added <= limit)
    }

    /// Plans the remaining steps when all known steps are finished but the target is not reached, which happens after a
    /// recovery and during a rollback.
    pub(super) fn replan(&mut self, now: Ns) {
        let Some(change) = self.change.as_mut() else { return };
        match plan(&self.committed, &change.target, now) {
            Ok(planned) if !planned.steps.is_empty() => {
                change.steps = planned.steps;
                self.publish_step(now);
            }
            Ok(_) => {
                change.steps = vec![direct_step(&self.committed, &change.target)];
                self.publish_step(now);
            }
            Err(error) if change.is_rollback => {
                self.log(format!("hierarchy no rollback plan: {error}"));
                self.retrace(now);
            }
            Err(error) => self.roll_back(now, &error.to_string()),
        }
    }

    /// Replaces the running change with the queued one, which is planned from the committed version. Returns whether it
    /// did.
    pub(super) fn supersede(&mut self, now: Ns) -> bool {
        let Some(target) = self.queued.clone() else { return false };
        // The node ids of the target match the version that was committed when the change was queued. Another version
        // may be committed now.
        let target = self.with_committed_ids(&target).unwrap_or(target);
        if let Err(error) = self.check_startable(&target, now) {
            self.drop_queued(&error);
            return false;
        }
        self.finish(RolloutOutcome::Superseded);
        self.start_queued(now);
        true
    }

    /// Checks whether a change from the committed version to `target` can be started.
    fn check_startable(&self, target: &Hierarchy, now: Ns) -> Result<(), RolloutError> {
        self.admission.clone().admit(target)?;
        if self.committed != *target {
            plan(&self.committed, target, now)?;
        }
        Ok(())
    }

    /// Starts the queued change when no change is running. It stays queued in the log until its start is logged.
    pub(super) fn start_queued(&mut self, now: Ns) {
        let Some(target) = self.queued.clone() else { return };
        let started = match self.with_committed_ids(&target) {
            Ok(target) if target == self.committed => Err(RolloutError::AlreadyActive),
            Ok(target) => self.start(target, now),
            Err(error) => Err(error.into()),
        };
        match started {
            Ok(()) => self.queued = None,
            Err(error) => self.drop_queued(&error),
        }
    }

    fn drop_queued(&mut self, reason: &RolloutError) {
        self.queued = None;
        self.persist(RolloutRecord::Queued { target: None });
        self.log(format!("hierarchy queued change dropped: {reason}"));
    }

    /// Ends the running change, whose target is reached, and starts the queued one.
    pub(super) fn end(&mut self, now: Ns) {
        let is_rollback = self.change.as_ref().is_some_and(|change| change.is_rollback);
        self.finish(if is_rollback { RolloutOutcome::RolledBack } else { RolloutOutcome::Completed });
        self.start_queued(now);
    }

    /// Ends the running change with an outcome. Unless it was superseded, a checkpoint makes its records obsolete.
    pub(super) fn finish(&mut self, outcome: RolloutOutcome) {
        let Some(change) = self.change.take() else { return };
        // The committed version was admitted, or is an intermediate version between two that were.
        if let Ok(admission) = Admission::from_active(self.committed.clone()) {
            self.admission = admission;
        }
        self.persist(RolloutRecord::Ended { change: change.id, outcome });
        // A superseded change leaves an intermediate version: its records and baseline are needed by the next change.
        if outcome != RolloutOutcome::Superseded {
            self.baseline = self.committed.clone();
            self.write_checkpoint();
        }
        self.log(format!(
            "hierarchy change={} ended how={outcome:?} version={}",
            change.id, self.committed_number
        ));
    }

    fn write_checkpoint(&mut self) {
        self.persist(RolloutRecord::Checkpoint {
            number: self.last_number,
            next_change: self.next_change_id,
            version: HierarchySpec::from_hierarchy(self.committed_number, &self.committed),
        });
        if let Some(target) = &self.queued {
            let target = Some(HierarchySpec::from_hierarchy(self.last_number, target));
            self.persist(RolloutRecord::Queued { target });
        }
    }
}
