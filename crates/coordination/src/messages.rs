//! What the members of a fleet say to the voters, and what these answer. One call holds several words; none waits for
//! another, and each may be lost, doubled or late.

use serde::{Deserialize, Serialize};

use crate::voter::{LeaseReply, LeaseRequest};
use crate::{FencingToken, HotObject, Member, Ns};

/// A duty by its number.
pub type RoleId = u16;

/// The duty of dealing chores to those who are alive.
pub const ASSIGNMENT_ROLE: RoleId = 0;

/// Which deal of chores: the term of the dealer and the number of its deal, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AssignmentVersion {
    pub term: u64,
    pub number: u64,
}

/// Deals of one term have numbers below this.
const DEALS: u64 = 1 << 24;

impl AssignmentVersion {
    /// What goes along with an effect of whoever holds a share by this deal: gates take it as any other token.
    pub fn token(self, owner: Member) -> FencingToken {
        FencingToken { term: self.term.saturating_mul(DEALS) | self.number.min(DEALS - 1), holder: owner }
    }

    /// The deal of such a token.
    pub fn from_token(token: FencingToken) -> AssignmentVersion {
        AssignmentVersion { term: token.term / DEALS, number: token.term % DEALS }
    }
}

/// To whom chores are dealt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    #[serde(rename = "stamp")]
    pub version: AssignmentVersion,
    #[serde(rename = "dealer")]
    pub assigner: Member,
    /// In the order of their numbers.
    pub members: Vec<Member>,
}

/// How a box was found.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthState {
    /// With how busy it is, from 0 to 1, where it says so.
    #[serde(rename = "Well")]
    Healthy(Option<f32>),
    #[serde(rename = "Ailing")]
    Unhealthy,
    /// No answer in time.
    #[serde(rename = "Silent")]
    TimedOut,
}

/// What a probe found, so long ago.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthObservation {
    #[serde(rename = "chore")]
    pub target: u64,
    pub age: Ns,
    pub state: HealthState,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    pub from: Member,
    #[serde(rename = "words")]
    pub messages: Vec<Message>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// I am alive and go by this deal.
    #[serde(rename = "Here")]
    Heartbeat(AssignmentVersion),
    /// I end.
    #[serde(rename = "Leaves")]
    Leave,
    #[serde(rename = "Ask")]
    Lease(RoleId, LeaseRequest),
    /// The dealer's, to be kept and passed on.
    #[serde(rename = "Deal")]
    Assign(Assignment),
    /// The dealer lives, and that deal is in force still.
    #[serde(rename = "Deals")]
    ConfirmAssignment(FencingToken, AssignmentVersion),
    #[serde(rename = "Found")]
    ReportHealth(Vec<HealthObservation>),
    /// What I am asked for most, with how often of late.
    #[serde(rename = "Hot")]
    ReportHotObjects(Vec<(HotObject, f32)>),
    /// What was found since that number?
    #[serde(rename = "Facts")]
    FetchHealth(u64),
    /// A gate was passed by a later term than the one I was given.
    #[serde(rename = "Behind")]
    ReportNewerTerm(RoleId, u64),
    /// The register of a duty: its owner reads it, or writes it whole.
    #[serde(rename = "Read")]
    ReadRegister(RoleId, FencingToken),
    #[serde(rename = "Write")]
    WriteRegister(RoleId, RegisterValue),
    /// The owner's: to be passed on to all members, unless a later one is.
    #[serde(rename = "Tell")]
    Publish {
        #[serde(rename = "duty")]
        role: RoleId,
        #[serde(rename = "by")]
        token: FencingToken,
        number: u64,
        bytes: Vec<u8>,
    },
    /// The number of what I was told last of a duty; and what I have in force of it, by number and digest.
    #[serde(rename = "Has")]
    ReportAppliedVersion(RoleId, u64, (u64, u64)),
    /// A voter that begins anew asks another what it met.
    #[serde(rename = "Learn")]
    FetchNewestToken(RoleId),
    /// What an operator wants of a duty.
    #[serde(rename = "Wish")]
    Propose(RoleId, Vec<u8>),
    #[serde(rename = "Show")]
    ShowStatus,
    HandOver(RoleId, Option<u32>),
}

/// What a register holds: the count of its changes, by whom the last one was written, and what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    #[serde(rename = "count")]
    pub sequence: u64,
    #[serde(rename = "by")]
    pub token: FencingToken,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    #[serde(rename = "Said")]
    Lease(RoleId, LeaseReply),
    /// A newer deal than yours, whole, or what has changed since yours.
    #[serde(rename = "Dealt")]
    Assigned(Assignment),
    #[serde(rename = "Moved")]
    AssignmentChanged {
        since: AssignmentVersion,
        #[serde(rename = "stamp")]
        version: AssignmentVersion,
        #[serde(rename = "dealer")]
        assigner: Member,
        joined: Vec<Member>,
        left: Vec<Member>,
    },
    /// To the dealer: the deal that is kept here.
    #[serde(rename = "Keeps")]
    AssignmentStored(AssignmentVersion),
    /// The dealer was heard of lately, and this is its deal.
    #[serde(rename = "Holds")]
    AssignmentConfirmed(AssignmentVersion),
    /// A later life of your number has spoken: you are none, or your clock was set back.
    Displaced(u64),
    #[serde(rename = "Facts")]
    HealthObservations {
        #[serde(rename = "upto")]
        up_to: u64,
        #[serde(rename = "findings")]
        observations: Vec<HealthObservation>,
    },
    /// Its token is older than this one.
    #[serde(rename = "Old")]
    StaleToken(RoleId, FencingToken),
    /// What the register holds. `whole`: what was written before is surely known here.
    #[serde(rename = "Kept")]
    RegisterRead {
        #[serde(rename = "duty")]
        role: RoleId,
        #[serde(rename = "to")]
        token: FencingToken,
        #[serde(rename = "entry")]
        value: RegisterValue,
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    #[serde(rename = "Wrote")]
    RegisterWritten {
        #[serde(rename = "duty")]
        role: RoleId,
        #[serde(rename = "by")]
        token: FencingToken,
        #[serde(rename = "count")]
        sequence: u64,
    },
    #[serde(rename = "Learnt")]
    NewestToken(RoleId, FencingToken, bool),
    /// Of a duty's owner, later than what you were told.
    #[serde(rename = "Told")]
    Published(RoleId, u64, Vec<u8>),
    #[serde(rename = "Shown")]
    Status(MemberStatus),
    /// Whether a hand-over has begun here.
    #[serde(rename = "HandsOver")]
    HandOverStarted(RoleId, bool),
    /// A wish was heard by the owner, or who that is.
    #[serde(rename = "Wished")]
    ProposalResult(RoleId, Result<(), String>),
}

/// What operators see of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    #[serde(rename = "me")]
    pub member: Member,
    /// Whose number votes here, if one does, and for how long it keeps silent still.
    pub voter: Option<u32>,
    #[serde(rename = "silent")]
    pub silent_for: Ns,
    #[serde(rename = "duties")]
    pub roles: Vec<RoleStatus>,
    #[serde(rename = "roster")]
    pub assignment: Assignment,
    /// For how long its chores are its own still; 0: not now.
    #[serde(rename = "holds")]
    pub assignment_valid_for: Ns,
    #[serde(rename = "chores")]
    pub target_count: u32,
    #[serde(rename = "probes")]
    pub checks_sent: u64,
    /// Words and effects of old owners that were refused: here as a voter, here as a member, and of this one at gates.
    #[serde(rename = "refused")]
    pub rejected_here: u64,
    #[serde(rename = "passed_over")]
    pub stale_assignments_ignored: u64,
    #[serde(rename = "was_refused")]
    pub own_rejections: u64,
    /// What an own duty says of itself.
    #[serde(rename = "status")]
    pub role_status: Vec<(RoleId, String)>,
}

/// A duty as a voter, or its owner, sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleStatus {
    #[serde(rename = "duty")]
    pub role: RoleId,
    #[serde(rename = "highest")]
    pub highest_term: u64,
    #[serde(rename = "owner")]
    pub holder: Option<(Member, Ns)>,
    /// The token and for how long, where this member owns it.
    #[serde(rename = "own")]
    pub own_lease: Option<(FencingToken, Ns)>,
}
