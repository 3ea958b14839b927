//! What a rollout takes in, asks its caller to do, and writes to its log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::admission::AdmissionError;
use crate::plan::PlanError;
use crate::spec::HierarchySpec;
use crate::version::{Hierarchy, NodeId};

/// The name of a director or cache node that applies versions.
pub type Participant = Arc<str>;

/// An event that a rollout reacts to.
#[derive(Clone, Debug)]
pub enum RolloutInput {
    /// A version is proposed as the next one to roll out.
    Propose {
        /// The proposed version.
        target: Hierarchy,
    },
    /// A participant reports the version that it applies, after each change and whenever it connects.
    VersionApplied {
        /// Who reports it.
        participant: Participant,
        /// The number of the version; 0 if it has none.
        number: u64,
        /// The digest of the version's content.
        digest: u64,
    },
    /// A participant is permanently gone: it applies no further version and sends no further fills.
    ParticipantGone {
        /// Who is gone.
        participant: Participant,
    },
    /// A measurement of the fleet's health.
    HealthReport {
        /// Fetches a second that the origin counted.
        origin_load: f64,
        /// Nodes that most directors consider down.
        down_nodes: Vec<NodeId>,
    },
    /// An operator asks for the running change to be rolled back.
    RollBack,
    /// Time has passed; see [`Rollout::next_wakeup`](super::Rollout::next_wakeup).
    Tick,
}

/// Something that the caller has to do, in the order in which actions are taken.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Write the record to durable storage before any later action is carried out.
    Persist(RolloutRecord),
    /// Send the version to all participants, repeatedly until each has applied it.
    Publish {
        /// The number of the version.
        number: u64,
        /// The version.
        version: Hierarchy,
    },
    /// Write a line to the operators' log.
    Log(String),
}

/// An entry of the rollout's write-ahead log. Each is written before the action that it announces.
///
/// Names and order of variants and fields are the stored format; see `tests/stored_format.rs` of the controller and
/// its log.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutRecord {
    /// Every participant applies this version and no change runs: earlier records are no longer needed.
    #[serde(rename = "start")]
    Checkpoint {
        /// The last version number that was assigned.
        #[serde(rename = "number")]
        number: u64,
        /// The number that the next change gets.
        #[serde(rename = "next_change")]
        next_change: u64,
        /// The committed version.
        #[serde(rename = "version")]
        version: HierarchySpec,
    },
    /// A change starts.
    #[serde(rename = "begun")]
    Started {
        /// The number of the change.
        #[serde(rename = "change")]
        change: u64,
        /// The version that the change leads to.
        #[serde(rename = "aim")]
        target: HierarchySpec,
        /// The version that was committed when no change ran. A change that superseded another one is rolled back to
        /// this version, not to the intermediate version that it started from.
        #[serde(rename = "home")]
        baseline: HierarchySpec,
    },
    /// The change that is queued behind the running one, or none if the queued change was dropped.
    #[serde(rename = "waits")]
    Queued {
        /// The version that the queued change leads to.
        #[serde(rename = "aim")]
        target: Option<HierarchySpec>,
    },
    /// The change is going to be rolled back.
    #[serde(rename = "back")]
    RollbackStarted {
        /// The number of the change.
        #[serde(rename = "change")]
        change: u64,
    },
    /// The version of a step is about to be published.
    #[serde(rename = "step")]
    StepStarted {
        /// The number of the change.
        #[serde(rename = "change")]
        change: u64,
        /// The number of the version.
        #[serde(rename = "number")]
        number: u64,
        /// Whether the step belongs to the rollback of the change.
        #[serde(rename = "back")]
        is_rollback: bool,
        /// The version.
        #[serde(rename = "version")]
        version: HierarchySpec,
    },
    /// Every participant applies the version of the last step.
    #[serde(rename = "in-force")]
    StepCommitted {
        /// The number of the version.
        #[serde(rename = "number")]
        number: u64,
    },
    /// The change has ended.
    #[serde(rename = "ended")]
    Ended {
        /// The number of the change.
        #[serde(rename = "change")]
        change: u64,
        /// How it ended.
        #[serde(rename = "how")]
        outcome: RolloutOutcome,
    },
}

/// How a change ended.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutOutcome {
    /// Every participant applies the target.
    #[serde(rename = "done")]
    Completed,
    /// Every participant applies the baseline again.
    #[serde(rename = "rolled-back")]
    RolledBack,
    /// The queued change took its place.
    #[serde(rename = "superseded")]
    Superseded,
    /// Neither the target nor the baseline could be reached: the committed version stays.
    #[serde(rename = "left")]
    Abandoned,
}

/// Why an input was rejected, or a log could not be recovered from.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RolloutError {
    /// The proposed version must not be applied at all.
    #[error("rejected: {0}")]
    NotAdmitted(#[from] AdmissionError),
    /// There are no safe steps from the committed version to the proposed one.
    #[error("no plan: {0}")]
    NoPlan(#[from] PlanError),
    /// One change runs and another one is queued already.
    #[error("change {running} runs and another one is queued: propose again when that one has started")]
    Busy {
        /// The number of the running change.
        running: u64,
    },
    /// The proposed version is committed, or is the target of the running change.
    #[error("this version is already active")]
    AlreadyActive,
    /// A participant applies a later version than the log knows of.
    #[error(
        "{participant} applies version {applied} and this log ends at {last_number}: it is an old copy; \
         find the newest log, or start again from the version that is applied"
    )]
    Stale {
        /// The participant that applies the later version.
        participant: Participant,
        /// The number that the participant applies.
        applied: u64,
        /// The last number that this log has assigned.
        last_number: u64,
    },
    /// There is no change to roll back.
    #[error("no change is running")]
    NotRunning,
    /// The records are not a log that a rollout has written.
    #[error("the log does not begin with a checkpoint, or its records contradict each other")]
    InvalidLog,
}
