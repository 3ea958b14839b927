//! Rolls a change back to its baseline.

use sablecross::Ns;

use super::active_change::Stage;
use super::{Rollout, RolloutError, RolloutOutcome, RolloutRecord};
use crate::plan::direct_step;

impl Rollout {
    /// Handles an operator's request for a rollback. A rollback that is already running continues.
    pub(super) fn roll_back_on_request(&mut self, now: Ns) -> Result<(), RolloutError> {
        let Some(change) = &self.change else { return Err(RolloutError::NotRunning) };
        if !change.is_rollback {
            self.roll_back(now, "requested");
        }
        Ok(())
    }

    /// Starts the rollback of the running change. A step that is not committed is reverted first, under a new version
    /// number; the remaining steps are planned once the revert is committed.
    pub(super) fn roll_back(&mut self, now: Ns, reason: &str) {
        let Some(change) = self.change.as_mut() else { return };
        let is_publishing = matches!(change.stage, Stage::Publishing { .. }) && !change.steps.is_empty();
        let is_waiting = matches!(change.stage, Stage::Waiting { .. });
        change.start_rollback();
        let id = change.id;
        let from = if is_publishing { &change.steps[0].target } else { &self.committed };
        change.steps = vec![direct_step(from, &self.committed)];
        self.persist(RolloutRecord::RollbackStarted { change: id });
        self.log(format!("hierarchy change={id} rollback {reason}"));
        if is_publishing {
            self.publish_step(now);
        } else if is_waiting {
            // No request of an earlier version is in flight any more. While draining, `on_drained` continues the
            // rollback instead.
            self.continue_rollback(now);
        }
    }

    fn continue_rollback(&mut self, now: Ns) {
        if self.change.as_ref().is_some_and(|change| change.target == self.committed) {
            self.end(now);
        } else {
            self.replan(now);
        }
    }

    /// Rolls back through the committed versions in reverse order. Each of them was checked for loops together with
    /// its successor, but the bounds on load are not enforced on this path.
    pub(super) fn retrace(&mut self, now: Ns) {
        let Some(change) = self.change.as_mut() else { return };
        let Some(start) = change.history.iter().rposition(|version| *version == change.target) else {
            return self.finish(RolloutOutcome::Abandoned);
        };
        let mut previous = self.committed.clone();
        let mut steps = Vec::new();
        for version in change.history[start..].iter().rev() {
            if *version != previous {
                steps.push(direct_step(&previous, version));
                previous = version.clone();
            }
        }
        if steps.is_empty() {
            return self.finish(RolloutOutcome::Abandoned);
        }
        change.steps = steps;
        self.publish_step(now);
    }
}
