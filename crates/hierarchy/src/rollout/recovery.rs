//! Rebuilds a rollout from the log records of an earlier process.

use sablecross::Ns;

use super::active_change::{ActiveChange, Stage};
use super::{AppliedVersion, Participant, Rollout, RolloutError, RolloutRecord};
use crate::admission::Admission;
use crate::plan::direct_step;
use crate::spec::HierarchySpec;
use crate::version::Hierarchy;

/// A step whose start is in the log but whose commit is not. Its version may have been published.
struct PendingStep {
    is_rollback: bool,
    version: Hierarchy,
}

/// The state that results from the records read so far.
#[derive(Default)]
struct Replay {
    rollout: Option<Rollout>,
    pending: Option<PendingStep>,
}

impl Rollout {
    /// Recovers a rollout from its log, which may end after any record. The version that was published last is
    /// published again.
    ///
    /// # Errors
    /// Returns [`RolloutError::InvalidLog`] if no rollout can have written these records in this order, or
    /// [`RolloutError::NotAdmitted`] if a committed version violates a rule about nodes, sources or loops.
    pub fn recover(
        records: &[RolloutRecord],
        participants: impl IntoIterator<Item = Participant>,
        now: Ns,
    ) -> Result<Rollout, RolloutError> {
        let mut replay = Replay::default();
        for record in records {
            replay.apply(record, now)?;
        }
        let mut rollout = replay.rollout.ok_or(RolloutError::InvalidLog)?;
        rollout.participants = participants.into_iter().map(|p| (p, AppliedVersion::default())).collect();
        rollout.admission = Admission::from_active(rollout.committed.clone())?;
        rollout.resume_step(replay.pending, now);
        rollout.log(format!(
            "hierarchy recovered version={} in_force={}",
            rollout.last_number, rollout.committed_number
        ));
        rollout.publish();
        if rollout.change.is_none() {
            rollout.start_queued(now);
        }
        Ok(rollout)
    }

    /// Restores the stage of the recovered change: a pending step is published again; without one, the change drains.
    fn resume_step(&mut self, pending: Option<PendingStep>, now: Ns) {
        let Some(change) = self.change.as_mut() else { return };
        match pending {
            Some(step) => {
                if step.is_rollback {
                    change.start_rollback();
                }
                change.steps = vec![direct_step(&self.committed, &step.version)];
                change.stage = Stage::Publishing { since: now };
            }
            // The log does not tell whether requests that were routed by an earlier version have ended.
            None => {
                change.steps = vec![direct_step(&self.committed, &self.committed)];
                change.stage = Stage::Draining { until: now + self.committed.rules.drain_window };
            }
        }
    }
}

impl Replay {
    fn apply(&mut self, record: &RolloutRecord, now: Ns) -> Result<(), RolloutError> {
        if let RolloutRecord::Checkpoint { number, next_change, version } = record {
            let mut rollout = Rollout::with_committed(*number, self.decode_version(version)?, [])?;
            rollout.next_change_id = *next_change;
            *self = Replay { rollout: Some(rollout), pending: None };
            return Ok(());
        }
        match record {
            RolloutRecord::Checkpoint { .. } => {}
            RolloutRecord::Started { change, target, baseline } => {
                let (target, baseline) = (self.decode_version(target)?, self.decode_version(baseline)?);
                let rollout = self.rollout()?;
                rollout.next_change_id = change + 1;
                rollout.queued = None;
                rollout.baseline = baseline.clone();
                rollout.change = Some(ActiveChange::new(*change, baseline, target, now));
            }
            RolloutRecord::Queued { target } => {
                let target = target.as_ref().map(|spec| self.decode_version(spec)).transpose()?;
                self.rollout()?.queued = target;
            }
            RolloutRecord::RollbackStarted { .. } => {
                if let Some(change) = self.rollout()?.change.as_mut() {
                    change.start_rollback();
                }
            }
            RolloutRecord::StepStarted { number, is_rollback, version, .. } => {
                let version = self.decode_version(version)?;
                self.rollout()?.last_number = *number;
                self.pending = Some(PendingStep { is_rollback: *is_rollback, version });
            }
            RolloutRecord::StepCommitted { number } => self.commit_step(*number)?,
            RolloutRecord::Ended { .. } => self.rollout()?.change = None,
        }
        Ok(())
    }

    fn commit_step(&mut self, number: u64) -> Result<(), RolloutError> {
        let step = self.pending.take().ok_or(RolloutError::InvalidLog)?;
        let rollout = self.rollout()?;
        if let Some(change) = rollout.change.as_mut() {
            change.history.push(std::mem::replace(&mut rollout.committed, step.version));
            if step.is_rollback {
                change.start_rollback();
            }
        }
        rollout.committed_number = number;
        Ok(())
    }

    /// The rollout so far. Every record except a checkpoint needs a preceding checkpoint.
    fn rollout(&mut self) -> Result<&mut Rollout, RolloutError> {
        self.rollout.as_mut().ok_or(RolloutError::InvalidLog)
    }

    /// Decodes a version of the log. Its nodes get the numbers that they have in the committed version.
    fn decode_version(&self, spec: &HierarchySpec) -> Result<Hierarchy, RolloutError> {
        let known = self.rollout.as_ref().map(|rollout| &rollout.committed);
        let (_, version) = spec.to_hierarchy(known).map_err(|_| RolloutError::InvalidLog)?;
        Ok(version)
    }
}
