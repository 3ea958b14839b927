//! Takes a change back to its baseline.

use sablecross::Ns;

use super::active_change::Stage;
use super::{Rollout, RolloutError, RolloutOutcome, RolloutRecord};
use crate::plan::direct_step;

impl Rollout {
    /// An operator asks for a rollback; one that is under way goes on.
    pub(super) fn roll_back_on_request(&mut self, now: Ns) -> Result<(), RolloutError> {
        let Some(change) = &self.change else { return Err(RolloutError::NotRunning) };
        if !change.is_rollback {
            self.roll_back(now, "requested");
        }
        Ok(())
    }

    /// Starts the rollback of the running change. A step that not every participant applies is reverted first, under a
    /// new number; the rest is planned once that is committed.
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
            // Requests of earlier versions have ended already; while draining, that is waited for first.
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

    /// Goes back over the versions that were committed, in reverse. Each was checked for loops together with the one
    /// that followed it; the bounds on load can't be kept on this path.
    pub(super) fn retrace(&mut self, now: Ns) {
        let Some(change) = self.change.as_mut() else { return };
        let Some(start) = change.history.iter().rposition(|version| *version == change.target) else {
            return self.finish(RolloutOutcome::Abandoned);
        };
        let mut before = self.committed.clone();
        let mut steps = Vec::new();
        for version in change.history[start..].iter().rev() {
            if *version != before {
                steps.push(direct_step(&before, version));
                before = version.clone();
            }
        }
        if steps.is_empty() {
            return self.finish(RolloutOutcome::Abandoned);
        }
        change.steps = steps;
        self.publish_step(now);
    }
}
