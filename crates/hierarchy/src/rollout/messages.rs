//! The inputs, actions, log records and errors of a rollout.

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
    /// A participant reports the version that it applies. It does so after each version change and on each connect.
    VersionApplied {
        /// The reporting participant.
        participant: Participant,
        /// The number of the version; 0 if the participant applies no version.
        number: u64,
        /// The digest of the version's content.
        digest: u64,
    },
    /// A participant is permanently gone: it applies no further version and sends no further fills.
    ParticipantGone {
        /// The participant that is gone.
        participant: Participant,
    },
    /// A measurement of the fleet's health.
    HealthReport {
        /// The load that the origin measured, in fetches per second.
        origin_load: f64,
        /// The nodes that the caller considers down.
        down_nodes: Vec<NodeId>,
    },
    /// An operator asks for the running change to be rolled back.
    RollBack,
    /// A timer has expired; see [`Rollout::next_wakeup`](super::Rollout::next_wakeup).
    Tick,
}

/// Something that the caller has to do. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Write the record to durable storage. It must be durable before any later action is carried out.
    Persist(RolloutRecord),
    /// Send the version to all participants, and resend it until each has applied it.
    Publish {
        /// The number of the version.
        number: u64,
        /// The version.
        version: Hierarchy,
    },
    /// Write a line to the operators' log.
    Log(String),
}

/// An entry of the rollout's write-ahead log. Each entry is written before the action that it announces.
///
/// The serialized names and the order of variants and fields are the stored format, which `tests/stored_format.rs` of
/// the crates `hierarchy-controller` and `controller-log` pin.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutRecord {
    /// No change is running and this version is committed, so earlier records are no longer needed.
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
    /// A change was queued behind the running one, or the queued change was dropped.
    #[serde(rename = "waits")]
    Queued {
        /// The version that the queued change leads to; `None` if the queued change was dropped.
        #[serde(rename = "aim")]
        target: Option<HierarchySpec>,
    },
    /// A rollback of the change starts.
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
    /// Every participant applies the version of the step that was started last.
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
    /// The queued change replaced it.
    #[serde(rename = "superseded")]
    Superseded,
    /// Neither the target nor the baseline could be reached. The committed version stays in use.
    #[serde(rename = "left")]
    Abandoned,
}

/// Why an input was rejected, or why a log could not be recovered.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RolloutError {
    /// The version violates a rule of admission, so it must not be applied.
    #[error("rejected: {0}")]
    NotAdmitted(#[from] AdmissionError),
    /// No sequence of safe steps from the committed version to the proposed one was found.
    #[error("no plan: {0}")]
    NoPlan(#[from] PlanError),
    /// One change is running and another one is queued already.
    #[error(
        "change {running} is running and another one is queued: propose again when the queued one has started"
    )]
    Busy {
        /// The number of the running change.
        running: u64,
    },
    /// The proposed version is the target of the running change or, if no change is running, the committed version.
    #[error("this version is already active")]
    AlreadyActive,
    /// A participant applies a version that is newer than the last one in the log.
    #[error(
        "{participant} applies version {applied} and this log ends at {last_number}: it is an old copy; \
         restore the newest log, or start a new one from the applied version"
    )]
    Stale {
        /// The participant that applies the newer version.
        participant: Participant,
        /// The number of the version that the participant applies.
        applied: u64,
        /// The last version number that is assigned in this log.
        last_number: u64,
    },
    /// A rollback was requested, but no change is running.
    #[error("no change is running")]
    NotRunning,
    /// No rollout can have written these records in this order.
    #[error("the log does not begin with a checkpoint, or its records contradict each other")]
    InvalidLog,
}
