//! Messages from members to voters, and the voters' replies.
//!
//! One call carries several messages, which are handled independently of each other. Any of them may be lost,
//! duplicated or delayed.
//!
//! Messages are encoded as MessagePack: enum variants by name, fields by position. Encoded names that differ from the
//! names in the source are set with `serde(rename)`. The order of fields must not change.

mod assignment;
mod status;

use serde::{Deserialize, Serialize};

use crate::lease_voter::{LeaseReply, LeaseRequest};
use crate::{FencingToken, HotObject, Member, Ns};

pub use assignment::{ASSIGNMENT_ROLE, Assignment, AssignmentVersion, RoleId};
pub use status::{MemberStatus, OwnLease, RoleReport, RoleStatus};

/// The health of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthState {
    /// The target serves requests. The value is its utilization from 0 to 1, if it reports one.
    #[serde(rename = "Well")]
    Healthy(Option<f32>),
    /// The target reports that it can't serve requests.
    #[serde(rename = "Ailing")]
    Unhealthy,
    /// The target did not answer the check in time.
    #[serde(rename = "Silent")]
    TimedOut,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthObservation {
    /// The target, as a hash of its name.
    #[serde(rename = "chore")]
    pub target: u64,
    /// The time since the target was observed.
    pub age: Ns,
    /// The observed state.
    pub state: HealthState,
}

/// How often an object was requested recently.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotObjectCount {
    /// The object.
    pub object: HotObject,
    /// The number of requests, weighted by recency.
    pub count: f32,
}

/// The published version that a member applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppliedVersion {
    /// The version's number.
    pub number: u64,
    /// A digest of its content.
    pub digest: u64,
}

/// One call, with the messages that it carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The calling member.
    pub from: Member,
    /// The messages. The receiver handles those of operators first and then those to its voter, each in this order.
    #[serde(rename = "words")]
    pub messages: Vec<Message>,
}

/// A message from a member to a voter, or from an operator to any member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive, and its assignment has this version.
    #[serde(rename = "Here")]
    Heartbeat(AssignmentVersion),
    /// The sender is about to stop.
    #[serde(rename = "Leaves")]
    Leave,
    /// A request of a lease candidate.
    #[serde(rename = "Ask")]
    Lease {
        /// The role whose lease is requested.
        role: RoleId,
        /// The request.
        request: LeaseRequest,
    },
    /// From the assigner: store this assignment and pass it on to members.
    #[serde(rename = "Deal")]
    Assign(Assignment),
    /// From the assigner: it is alive, and this version is its current assignment.
    #[serde(rename = "Deals")]
    ConfirmAssignment {
        /// The assigner's token.
        token: FencingToken,
        /// The version of the current assignment.
        version: AssignmentVersion,
    },
    /// Results of the sender's health checks.
    #[serde(rename = "Found")]
    ReportHealth(Vec<HealthObservation>),
    /// The objects that the sender's clients request most.
    #[serde(rename = "Hot")]
    ReportHotObjects(Vec<HotObjectCount>),
    /// Requests the health observations after this sequence number.
    #[serde(rename = "Facts")]
    FetchHealth(u64),
    /// A guard has admitted a higher term than the voters know of.
    #[serde(rename = "Behind")]
    ReportNewerTerm {
        /// The role.
        role: RoleId,
        /// The higher term.
        term: u64,
    },
    /// The holder of a role reads its register.
    #[serde(rename = "Read")]
    ReadRegister {
        /// The role.
        role: RoleId,
        /// The holder's token.
        token: FencingToken,
    },
    /// The holder of a role replaces the value of its register.
    #[serde(rename = "Write")]
    WriteRegister {
        /// The role.
        role: RoleId,
        /// The new value.
        value: RegisterValue,
    },
    /// From the holder of a role: pass this version on to all members, unless a later one arrives.
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
        /// The content of the version.
        bytes: Vec<u8>,
    },
    /// Reports which published version the sender has received, and which one it applies.
    #[serde(rename = "Has")]
    ReportAppliedVersion {
        /// The role whose holder publishes.
        role: RoleId,
        /// The newest version received.
        received: u64,
        /// The version that the sender applies.
        applied: AppliedVersion,
    },
    /// From a voter that recovers from a restart: requests the newest token that another voter knows.
    #[serde(rename = "Learn")]
    FetchNewestToken(RoleId),
    /// An operator's proposal to the holder of a role.
    #[serde(rename = "Wish")]
    Propose {
        /// The role.
        role: RoleId,
        /// The content of the proposal.
        bytes: Vec<u8>,
    },
    /// An operator requests the status of the member.
    #[serde(rename = "Show")]
    ShowStatus,
    /// An operator requests that the holder hands over a role.
    HandOver {
        /// The role.
        role: RoleId,
        /// The member number of the successor. Without one, the next voter that is alive succeeds.
        to: Option<u32>,
    },
}

/// The value of a role's register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// The number of writes so far. 0 means that nothing was ever written.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// The token of the holder that wrote the value.
    #[serde(rename = "by")]
    pub token: FencingToken,
    /// The content of the value.
    pub bytes: Vec<u8>,
}

/// A reply to a [`Message`]. Some messages have no reply, and some have several.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Message::Lease`].
    #[serde(rename = "Said")]
    Lease {
        /// The role whose lease was requested.
        role: RoleId,
        /// The voter's reply.
        reply: LeaseReply,
    },
    /// Reply to a heartbeat with an older version: the current assignment.
    #[serde(rename = "Dealt")]
    Assigned(Assignment),
    /// Reply to a heartbeat with the version before the current one: the change between the two.
    #[serde(rename = "Moved")]
    AssignmentChanged {
        /// The version that the change applies to.
        since: AssignmentVersion,
        /// The version of the current assignment.
        #[serde(rename = "stamp")]
        version: AssignmentVersion,
        /// The member that made the assignment.
        #[serde(rename = "dealer")]
        assigner: Member,
        /// The members that were added.
        joined: Vec<Member>,
        /// The members that were removed.
        left: Vec<Member>,
    },
    /// Reply to the assigner: the version that the voter stores.
    #[serde(rename = "Keeps")]
    AssignmentStored(AssignmentVersion),
    /// Reply to a heartbeat: the assigner is alive, and this is the version of its current assignment.
    #[serde(rename = "Holds")]
    AssignmentConfirmed(AssignmentVersion),
    /// This newer incarnation of the sender's number is known. Either another process uses the number, or the sender's
    /// clock was set back.
    Displaced(u64),
    /// Reply to [`Message::FetchHealth`].
    #[serde(rename = "Facts")]
    HealthObservations {
        /// The sequence number of the newest observation.
        #[serde(rename = "upto")]
        up_to: u64,
        /// The observations after the requested sequence number.
        #[serde(rename = "findings")]
        observations: Vec<HealthObservation>,
    },
    /// The sender's token was rejected as stale.
    #[serde(rename = "Old")]
    StaleToken {
        /// The role.
        role: RoleId,
        /// The newest token that was admitted.
        highest: FencingToken,
    },
    /// Reply to [`Message::ReadRegister`].
    #[serde(rename = "Kept")]
    RegisterRead {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleId,
        /// The token of the read.
        #[serde(rename = "to")]
        token: FencingToken,
        /// The value that the voter stores.
        #[serde(rename = "entry")]
        value: RegisterValue,
        /// Whether the voter can't have forgotten a newer value.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// Reply to [`Message::WriteRegister`].
    #[serde(rename = "Wrote")]
    RegisterWritten {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleId,
        /// The token of the write.
        #[serde(rename = "by")]
        token: FencingToken,
        /// The sequence number of the written value.
        #[serde(rename = "count")]
        sequence: u64,
    },
    /// Reply to [`Message::FetchNewestToken`].
    #[serde(rename = "Learnt")]
    NewestToken {
        /// The role.
        role: RoleId,
        /// The newest token that the voter has admitted for the register, or has learned from other voters.
        token: FencingToken,
        /// Whether the voter can't have forgotten a newer token.
        is_certain: bool,
    },
    /// Reply to [`Message::ReportAppliedVersion`]: a newer version than the sender has received.
    #[serde(rename = "Told")]
    Published {
        /// The role.
        role: RoleId,
        /// The version's number.
        number: u64,
        /// The content of the version.
        bytes: Vec<u8>,
    },
    /// Reply to [`Message::ShowStatus`].
    #[serde(rename = "Shown")]
    Status(MemberStatus),
    /// Reply to [`Message::HandOver`].
    #[serde(rename = "HandsOver")]
    HandOverStarted {
        /// The role.
        role: RoleId,
        /// Whether the member held the role, so that the hand-over has started.
        started: bool,
    },
    /// Reply to [`Message::Propose`].
    #[serde(rename = "Wished")]
    ProposalResult {
        /// The role.
        role: RoleId,
        /// Whether the holder has accepted the proposal, or why not.
        result: Result<(), String>,
    },
}
