//! Rolls out a change of the hierarchy step by step.
//!
//! A step starts only when every participant applies the version of the previous step, and no request that was routed
//! by an earlier version is in flight any more. So at most two successive versions are in use at any time, and the
//! plan guarantees that the edges of these two versions together contain no loop. The rollback of a step that
//! is not committed does not wait: it publishes the content of the committed version again at once, under a new number,
//! so that still only two different contents are in use.
//!
//! This module does no I/O. The caller carries out each [`RolloutAction`] in order and reports events as
//! [`RolloutInput`]. A [`RolloutAction::Persist`] must be durable before any later action is carried out.

mod active_change;
mod messages;
mod recovery;
mod rollback;
mod steps;

use std::collections::BTreeMap;
use std::sync::Arc;

use sablecross::Ns;

use self::active_change::{ActiveChange, Stage};
pub use self::messages::{
    Participant, RolloutAction, RolloutError, RolloutInput, RolloutOutcome, RolloutRecord,
};
use crate::admission::{Admission, AdmissionError};
use crate::spec::HierarchySpec;
use crate::version::{Hierarchy, NodeId};

/// The version that a participant last reported as applied, if it is the one that was published last; zeros otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct AppliedVersion {
    number: u64,
    digest: u64,
}

/// A version with its number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberedVersion<'a> {
    /// The number; later versions have larger ones.
    pub number: u64,
    /// The version.
    pub version: &'a Hierarchy,
}

/// The progress of the running change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeProgress {
    /// The number of the change.
    pub change: u64,
    /// Whether the change is being rolled back.
    pub is_rollback: bool,
    /// The number of unfinished steps, including the current one.
    pub remaining_steps: usize,
}

/// The state machine that rolls out changes one at a time. One further change may be queued.
#[derive(Clone, Debug)]
pub struct Rollout {
    admission: Admission,
    /// The last version that every participant has applied.
    committed: Hierarchy,
    committed_number: u64,
    /// The last version number that was assigned.
    last_number: u64,
    /// The version that was committed when no change was running.
    baseline: Hierarchy,
    next_change_id: u64,
    change: Option<ActiveChange>,
    /// The target of the change that starts after the running one.
    queued: Option<Hierarchy>,
    participants: BTreeMap<Participant, AppliedVersion>,
    /// Set once a participant reports a version that is newer than the log. Nothing is published from then on.
    stale: Option<RolloutError>,
    /// The last reported load of the origin, in fetches per second.
    origin_load: Option<f64>,
    actions: Vec<RolloutAction>,
}

impl Rollout {
    /// Creates a rollout whose committed version is one that every participant applies, or will apply before any other.
    ///
    /// # Errors
    /// Returns [`RolloutError::NotAdmitted`] if the version is not admitted.
    pub fn new(
        number: u64,
        version: Hierarchy,
        participants: impl IntoIterator<Item = Participant>,
    ) -> Result<Rollout, RolloutError> {
        let number = number.max(1);
        Admission::new(version.clone())?;
        let checkpoint = RolloutRecord::Checkpoint {
            number,
            next_change: 1,
            version: HierarchySpec::from_hierarchy(number, &version),
        };
        let mut rollout = Rollout::with_committed(number, version, participants)?;
        rollout.persist(checkpoint);
        rollout.publish();
        Ok(rollout)
    }

    fn with_committed(
        number: u64,
        version: Hierarchy,
        participants: impl IntoIterator<Item = Participant>,
    ) -> Result<Rollout, RolloutError> {
        Ok(Rollout {
            admission: Admission::from_active(version.clone())?,
            baseline: version.clone(),
            committed: version,
            committed_number: number,
            last_number: number,
            next_change_id: 1,
            change: None,
            queued: None,
            participants: participants.into_iter().map(|p| (p, AppliedVersion::default())).collect(),
            stale: None,
            origin_load: None,
            actions: Vec::new(),
        })
    }

    /// Removes and returns the pending actions, in the order in which they have to be carried out.
    pub fn take_actions(&mut self) -> Vec<RolloutAction> {
        std::mem::take(&mut self.actions)
    }

    /// The version that was published last.
    pub fn published(&self) -> NumberedVersion<'_> {
        let version = self.uncommitted().unwrap_or(&self.committed);
        NumberedVersion { number: self.last_number, version }
    }

    /// The last version that every participant has applied.
    pub fn committed(&self) -> NumberedVersion<'_> {
        NumberedVersion { number: self.committed_number, version: &self.committed }
    }

    /// The progress of the running change, if there is one.
    pub fn progress(&self) -> Option<ChangeProgress> {
        self.change.as_ref().map(|change| ChangeProgress {
            change: change.id,
            is_rollback: change.is_rollback,
            remaining_steps: change.steps.len(),
        })
    }

    /// When the next [`RolloutInput::Tick`] is due; `None` if no change is running, or only reports of participants can
    /// advance it.
    pub fn next_wakeup(&self) -> Option<Ns> {
        let change = self.change.as_ref()?;
        let timeout = self.committed.rules.step_timeout;
        match change.stage {
            Stage::Publishing { .. } if change.timeout_handled => None,
            Stage::Publishing { since } => Some(since + timeout),
            Stage::Draining { until } => Some(until),
            Stage::Waiting { until } if self.origin_can_take_next_step() => Some(until),
            Stage::Waiting { until } => Some(until + timeout),
        }
    }

    /// The participants that have not reported the version that was published last.
    pub fn missing_participants(&self) -> Vec<Participant> {
        let NumberedVersion { number, version } = self.published();
        let expected = AppliedVersion { number, digest: version.digest() };
        let missing = self.participants.iter().filter(|(_, applied)| **applied != expected);
        missing.map(|(participant, _)| Arc::clone(participant)).collect()
    }

    /// Handles an event at the time `now`. [`Rollout::take_actions`] returns the actions that result from it.
    ///
    /// # Errors
    /// Returns an error if a proposal or a rollback is not possible; the state is then unchanged.
    pub fn handle(&mut self, input: RolloutInput, now: Ns) -> Result<(), RolloutError> {
        match input {
            RolloutInput::Propose { target } => self.propose(target, now)?,
            RolloutInput::VersionApplied { participant, number, digest } => {
                self.on_version_applied(participant, AppliedVersion { number, digest });
            }
            RolloutInput::ParticipantGone { participant } => {
                self.participants.remove(&participant);
            }
            RolloutInput::HealthReport { origin_load, down_nodes } => {
                self.on_health_report(origin_load, &down_nodes, now);
            }
            RolloutInput::RollBack => self.roll_back_on_request(now)?,
            RolloutInput::Tick => {}
        }
        self.advance(now);
        Ok(())
    }

    fn propose(&mut self, target: Hierarchy, now: Ns) -> Result<(), RolloutError> {
        if let Some(stale) = &self.stale {
            return Err(stale.clone());
        }
        let target = self.with_committed_ids(&target)?;
        match &self.change {
            Some(change) if self.queued.is_some() => Err(RolloutError::Busy { running: change.id }),
            Some(change) if change.target == target => Err(RolloutError::AlreadyActive),
            Some(change) => {
                let running = change.id;
                self.queue(target, running, now)
            }
            None if self.committed == target => Err(RolloutError::AlreadyActive),
            None => self.start(target, now),
        }
    }

    /// Queues a change behind the running one. It is planned when it starts, since only then the version that it starts
    /// from is known.
    fn queue(&mut self, target: Hierarchy, running: u64, now: Ns) -> Result<(), RolloutError> {
        self.admission.clone().admit(&target)?;
        let spec = HierarchySpec::from_hierarchy(self.last_number, &target);
        self.persist(RolloutRecord::Queued { target: Some(spec) });
        self.log(format!("hierarchy change queued behind={running}"));
        self.queued = Some(target);
        if matches!(self.change.as_ref().map(|change| change.stage), Some(Stage::Waiting { .. })) {
            self.supersede(now);
        }
        Ok(())
    }

    /// Renumbers the nodes of a version to match the committed one. Nodes are identified by their names.
    fn with_committed_ids(&self, version: &Hierarchy) -> Result<Hierarchy, AdmissionError> {
        let spec = HierarchySpec::from_hierarchy(self.last_number, version);
        let (_, version) = spec.to_hierarchy(Some(&self.committed))?;
        Ok(version)
    }

    fn on_version_applied(&mut self, participant: Participant, applied: AppliedVersion) {
        if applied.number > self.last_number {
            let last_number = self.last_number;
            let line = format!(
                "hierarchy log outdated participant={participant} theirs={} ours={last_number}",
                applied.number
            );
            self.log(line);
            self.stale = Some(RolloutError::Stale { participant, applied: applied.number, last_number });
            return;
        }
        let known = self.participants.entry(participant).or_default();
        // A report of an older number was delayed, or its participant has not applied the newest version yet.
        if applied.number == self.last_number {
            *known = applied;
        }
    }

    fn on_health_report(&mut self, origin_load: f64, down_nodes: &[NodeId], now: Ns) {
        self.origin_load = Some(origin_load);
        let ceiling = self.committed.rules.ceiling;
        let reason = if origin_load > ceiling {
            Some(format!("origin={origin_load:.0} ceiling={ceiling:.0}"))
        } else {
            let down = down_nodes.iter().find(|node| self.is_changing(**node));
            down.map(|node| format!("down={}", self.published().version.node_name(*node)))
        };
        if let Some(reason) = reason
            && self.change.as_ref().is_some_and(|change| !change.is_rollback)
        {
            self.roll_back(now, &reason);
        }
    }

    /// Whether any of the remaining steps changes the node.
    fn is_changing(&self, node: NodeId) -> bool {
        let Some(change) = &self.change else { return false };
        change.steps.iter().any(|step| step.changed_nodes.contains(&node))
    }

    /// The published version, while at least one participant has not reported that it applies it.
    fn uncommitted(&self) -> Option<&Hierarchy> {
        let change = self.change.as_ref()?;
        let is_publishing = matches!(change.stage, Stage::Publishing { .. });
        is_publishing.then(|| change.steps.first().map(|step| &step.target))?
    }

    fn publish(&mut self) {
        if self.stale.is_some() {
            return;
        }
        let NumberedVersion { number, version } = self.published();
        let publish = RolloutAction::Publish { number, version: version.clone() };
        self.actions.push(publish);
    }

    fn persist(&mut self, record: RolloutRecord) {
        self.actions.push(RolloutAction::Persist(record));
    }

    fn log(&mut self, line: String) {
        self.actions.push(RolloutAction::Log(line));
    }

    /// A key of the state that determines the rollout's next actions, by which a model checker recognizes states that
    /// it has visited. Times are relative to `now`, so that the same state at another time has the same key. The last
    /// reported load of the origin, which can delay a step, is not part of the key.
    pub fn state_key(&self, now: Ns) -> impl std::hash::Hash + Eq + use<> {
        let change = self.change.as_ref().map(|change| {
            let steps: Vec<u64> = change.steps.iter().map(|step| step.target.digest()).collect();
            let history: Vec<u64> = change.history.iter().map(Hierarchy::digest).collect();
            let stage = match change.stage {
                Stage::Publishing { since } => (0, now.abs_diff(since)),
                Stage::Draining { until } => (1, now.abs_diff(until)),
                Stage::Waiting { until } => (2, now.abs_diff(until)),
            };
            let versions = (change.baseline.digest(), change.target.digest());
            (change.id, versions, change.is_rollback, steps, history, stage, change.timeout_handled)
        });
        let participants: Vec<(Participant, AppliedVersion)> = self
            .participants
            .iter()
            .map(|(participant, applied)| (Arc::clone(participant), *applied))
            .collect();
        let queued = self.queued.as_ref().map(Hierarchy::digest);
        let numbers = (self.committed_number, self.last_number, self.next_change_id);
        (self.committed.digest(), numbers, change, queued, participants, self.stale.is_some())
    }
}
