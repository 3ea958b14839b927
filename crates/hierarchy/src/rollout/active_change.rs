//! The state of the change that is being rolled out.

use sablecross::Ns;

use crate::plan::PlanStep;
use crate::version::Hierarchy;

/// How far the current step of a change is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// The version is published; not every participant applies it yet.
    Publishing { since: Ns },
    /// Every participant applies it; requests that were routed by the version before may still be in flight.
    Draining { until: Ns },
    /// Moved objects are being filled and cold nodes warm up.
    Waiting { until: Ns },
}

/// A change from one version to another, step by step.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ActiveChange {
    /// The number of the change.
    pub(super) id: u64,
    /// The version that a rollback leads to: the one committed when no change ran.
    pub(super) baseline: Hierarchy,
    /// Where the steps lead: the proposed version, or the baseline during a rollback.
    pub(super) target: Hierarchy,
    pub(super) is_rollback: bool,
    /// The remaining steps. The first one is the current step, which was published last.
    pub(super) steps: Vec<PlanStep>,
    /// The versions that were committed before the current one, the oldest first.
    pub(super) history: Vec<Hierarchy>,
    pub(super) stage: Stage,
    /// Whether the timeout of the current step has been handled; during a rollback it is only logged, once.
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

    /// Turns the change round to its baseline.
    pub(super) fn start_rollback(&mut self) {
        if !self.is_rollback {
            self.is_rollback = true;
            self.target = self.baseline.clone();
        }
    }
}
