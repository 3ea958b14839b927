//! The state of the change that is being rolled out.

use sablecross::Ns;

use crate::plan::PlanStep;
use crate::version::Hierarchy;

/// The stage of the current step of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The version is published, and at least one participant has not reported that it applies it.
    Publishing { since: Ns },
    /// Every participant applies the version, but requests that were routed by the previous version may still be in
    /// flight.
    Draining { until: Ns },
    /// The minimum delay before the next step: moved objects are being filled, and cold nodes warm up. From `until` on,
    /// the step also waits until the origin can take its load.
    Waiting { until: Ns },
}

/// A change from one version to another, step by step.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ActiveChange {
    /// The number of the change.
    pub(super) id: u64,
    /// The target of a rollback: the version that was committed when no change was running.
    pub(super) baseline: Hierarchy,
    /// The version that the steps lead to: the proposed version, or the baseline during a rollback.
    pub(super) target: Hierarchy,
    pub(super) is_rollback: bool,
    /// The remaining steps. The first one is the current step, whose version was published last.
    pub(super) steps: Vec<PlanStep>,
    /// The versions that were committed before the current one, oldest first.
    pub(super) history: Vec<Hierarchy>,
    pub(super) stage: Stage,
    /// Whether the publish timeout of the current step has been handled. During a rollback the timeout is only logged,
    /// once for each step.
    pub(super) timeout_handled: bool,
}

impl ActiveChange {
    pub(super) fn new(id: u64, baseline: Hierarchy, target: Hierarchy, now: Ns) -> ActiveChange {
        ActiveChange {
            id,
            baseline,
            target,
            is_rollback: false,
            steps: Vec::new(),
            history: Vec::new(),
            stage: Stage::Publishing { since: now },
            timeout_handled: false,
        }
    }

    /// Makes the baseline the target. Has no effect if the change is being rolled back already.
    pub(super) fn start_rollback(&mut self) {
        if !self.is_rollback {
            self.is_rollback = true;
            self.target = self.baseline.clone();
        }
    }
}
