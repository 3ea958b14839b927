//! What members send to voters, and what voters reply.
//!
//! One call carries several messages, none of which waits for another. Any of them may be lost, duplicated or late.
//!
//! Messages are encoded as MessagePack: enum variants go by their name, fields by their position. Names that differ from
//! those in the source are pinned with `serde(rename)`; fields must not be reordered.

mod assignment;
mod status;

use serde::{Deserialize, Serialize};

use crate::voter::{LeaseReply, LeaseRequest};
use crate::{FencingToken, HotObject, Member, Ns};

pub use assignment::{ASSIGNMENT_ROLE, Assignment, AssignmentVersion, RoleId};
pub use status::{MemberStatus, OwnLease, RoleReport, RoleStatus};

/// The health of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthState {
    /// It serves; with its utilization from 0 to 1, if it reports one.
    #[serde(rename = "Well")]
    Healthy(Option<f32>),
    /// It reports that it can't serve.
    #[serde(rename = "Ailing")]
    Unhealthy,
    /// It did not answer in time.
    #[serde(rename = "Silent")]
    TimedOut,
}

/// What a health check found.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthObservation {
    /// The target: a hash of its name.
    #[serde(rename = "chore")]
    pub target: u64,
    /// How long ago it was observed.
    pub age: Ns,
    /// What was observed.
    pub state: HealthState,
}

/// How often an object was requested lately.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotObjectCount {
    /// The object.
    pub object: HotObject,
    /// Requests, older ones counting less.
    pub count: f32,
}

/// The version of something published that a member applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppliedVersion {
    /// The version's number.
    pub number: u64,
    /// A digest of its content.
    pub digest: u64,
}

/// One call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Who calls.
    pub from: Member,
    /// What it sends, to be handled in this order.
    #[serde(rename = "words")]
    pub messages: Vec<Message>,
}

/// A message to a voter, or of an operator to any member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive and goes by this version of the assignment.
    #[serde(rename = "Here")]
    Heartbeat(AssignmentVersion),
    /// The sender is about to end.
    #[serde(rename = "Leaves")]
    Leave,
    /// A request of a candidate.
    #[serde(rename = "Ask")]
    Lease {
        /// The role whose lease is meant.
        role: RoleId,
        /// The request.
        request: LeaseRequest,
    },
    /// The assigner's: store this assignment and pass it on to members.
    #[serde(rename = "Deal")]
    Assign(Assignment),
    /// The assigner's: it is alive, and this version is still in force.
    #[serde(rename = "Deals")]
    ConfirmAssignment {
        /// The assigner's token.
        token: FencingToken,
        /// The version in force.
        version: AssignmentVersion,
    },
    /// What the sender's health checks found.
    #[serde(rename = "Found")]
    ReportHealth(Vec<HealthObservation>),
    /// What the sender's clients request most.
    #[serde(rename = "Hot")]
    ReportHotObjects(Vec<HotObjectCount>),
    /// Asks for the observations after this sequence number.
    #[serde(rename = "Facts")]
    FetchHealth(u64),
    /// A guard has admitted a later term than the voters know of.
    #[serde(rename = "Behind")]
    ReportNewerTerm {
        /// The role.
        role: RoleId,
        /// The later term.
        term: u64,
    },
    /// The holder reads its role's register.
    #[serde(rename = "Read")]
    ReadRegister {
        /// The role.
        role: RoleId,
        /// The holder's token.
        token: FencingToken,
    },
    /// The holder replaces the value of its role's register.
    #[serde(rename = "Write")]
    WriteRegister {
        /// The role.
        role: RoleId,
        /// The new value.
        value: RegisterValue,
    },
    /// The holder's: pass this on to all members, unless a later version comes.
    #[serde(rename = "Tell")]
    Publish {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleId,
        /// The holder's token.
        #[serde(rename = "by")]
        token: FencingToken,
        /// The version's number.
        number: u64,
        /// The version.
        bytes: Vec<u8>,
    },
    /// Which published version the sender has received and which one it applies.
    #[serde(rename = "Has")]
    ReportAppliedVersion {
        /// The role whose holder publishes.
        role: RoleId,
        /// The newest version received.
        received: u64,
        /// The version in use.
        applied: AppliedVersion,
    },
    /// A voter that recovers from a restart asks another for the newest token it knows.
    #[serde(rename = "Learn")]
    FetchNewestToken(RoleId),
    /// An operator's proposal to the holder of a role.
    #[serde(rename = "Wish")]
    Propose {
        /// The role.
        role: RoleId,
        /// The proposal.
        bytes: Vec<u8>,
    },
    /// An operator asks for the member's status.
    #[serde(rename = "Show")]
    ShowStatus,
    /// An operator asks the holder to hand a role over.
    HandOver {
        /// The role.
        role: RoleId,
        /// The successor's number; without one the next voter that is alive.
        to: Option<u32>,
    },
}

/// The value of a role's register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Counts the writes; 0: nothing was ever written.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Who wrote it.
    #[serde(rename = "by")]
    pub token: FencingToken,
    /// What was written.
    pub bytes: Vec<u8>,
}

/// A reply to a [`Message`]. Some messages have none, some have several.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Message::Lease`].
    #[serde(rename = "Said")]
    Lease {
        /// The role whose lease is meant.
        role: RoleId,
        /// The voter's reply.
        reply: LeaseReply,
    },
    /// To a heartbeat with an older version: the assignment in force.
    #[serde(rename = "Dealt")]
    Assigned(Assignment),
    /// To a heartbeat with the version before the one in force: what has changed.
    #[serde(rename = "Moved")]
    AssignmentChanged {
        /// The version that the change applies to.
        since: AssignmentVersion,
        /// The version in force.
        #[serde(rename = "stamp")]
        version: AssignmentVersion,
        /// Who made it.
        #[serde(rename = "dealer")]
        assigner: Member,
        /// Members that it has more.
        joined: Vec<Member>,
        /// Members that it has no more.
        left: Vec<Member>,
    },
    /// To the assigner: the version that the voter holds.
    #[serde(rename = "Keeps")]
    AssignmentStored(AssignmentVersion),
    /// To a heartbeat: the assigner is alive, and this version is in force.
    #[serde(rename = "Holds")]
    AssignmentConfirmed(AssignmentVersion),
    /// This later incarnation of the sender's number was heard of: another process has the number, or the sender's clock was
    /// set back.
    Displaced(u64),
    /// To [`Message::FetchHealth`].
    #[serde(rename = "Facts")]
    HealthObservations {
        /// The sequence number of the newest observation.
        #[serde(rename = "upto")]
        up_to: u64,
        /// What is new.
        #[serde(rename = "findings")]
        observations: Vec<HealthObservation>,
    },
    /// The sender's token was rejected.
    #[serde(rename = "Old")]
    StaleToken {
        /// The role.
        role: RoleId,
        /// The token in force.
        highest: FencingToken,
    },
    /// To [`Message::ReadRegister`].
    #[serde(rename = "Kept")]
    RegisterRead {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleId,
        /// The token that read.
        #[serde(rename = "to")]
        token: FencingToken,
        /// The voter's value.
        #[serde(rename = "entry")]
        value: RegisterValue,
        /// Whether the voter can't have forgotten a later value.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// To [`Message::WriteRegister`].
    #[serde(rename = "Wrote")]
    RegisterWritten {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleId,
        /// The token that wrote.
        #[serde(rename = "by")]
        token: FencingToken,
        /// The sequence number of the value.
        #[serde(rename = "count")]
        sequence: u64,
    },
    /// To [`Message::FetchNewestToken`].
    #[serde(rename = "Learnt")]
    NewestToken {
        /// The role.
        role: RoleId,
        /// The newest token that has accessed the register.
        token: FencingToken,
        /// Whether the voter can't have forgotten a newer one.
        is_certain: bool,
    },
    /// To [`Message::ReportAppliedVersion`]: a later version than the sender has received.
    #[serde(rename = "Told")]
    Published {
        /// The role.
        role: RoleId,
        /// The version's number.
        number: u64,
        /// The version.
        bytes: Vec<u8>,
    },
    /// To [`Message::ShowStatus`].
    #[serde(rename = "Shown")]
    Status(MemberStatus),
    /// To [`Message::HandOver`].
    #[serde(rename = "HandsOver")]
    HandOverStarted {
        /// The role.
        role: RoleId,
        /// Whether the member held the role.
        started: bool,
    },
    /// To [`Message::Propose`].
    #[serde(rename = "Wished")]
    ProposalResult {
        /// The role.
        role: RoleId,
        /// Whether the holder has taken the proposal up; else why not.
        result: Result<(), String>,
    },
}
