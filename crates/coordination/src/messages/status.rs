//! The status of a member for operators. It is also printed as JSON, with the names given in `serde(rename)`.

use serde::{Deserialize, Serialize};

use super::{Assignment, RoleId};
use crate::{FencingToken, LeaseHolder, Member, Ns};

/// The status of a member for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The identity of the member.
    #[serde(rename = "me")]
    pub member: Member,
    /// The member's index among the voters, if it is a voter.
    pub voter: Option<u32>,
    /// How long its voter remains silent after a restart.
    #[serde(rename = "silent")]
    pub silent_for: Ns,
    /// The roles as its voter knows them.
    #[serde(rename = "duties")]
    pub roles: Vec<RoleStatus>,
    /// The assignment that the member follows.
    #[serde(rename = "roster")]
    pub assignment: Assignment,
    /// How long the assignment remains valid for the member. 0 means that it is not valid.
    #[serde(rename = "holds")]
    pub assignment_valid_for: Ns,
    /// The number of targets that belong to the member.
    #[serde(rename = "chores")]
    pub target_count: u32,
    /// The number of health checks that the member has sent.
    #[serde(rename = "probes")]
    pub checks_sent: u64,
    /// The number of stale tokens that the member's voter has rejected.
    #[serde(rename = "refused")]
    pub stale_tokens_rejected: u64,
    /// The number of older assignments that the member has received and ignored.
    #[serde(rename = "passed_over")]
    pub stale_assignments_ignored: u64,
    /// The number of the member's own tokens that voters or targets have rejected.
    #[serde(rename = "was_refused")]
    pub own_rejections: u64,
    /// The status lines of the roles that the member holds.
    #[serde(rename = "status")]
    pub role_reports: Vec<RoleReport>,
}

/// A role as a voter knows it, with the lease if the member itself holds the role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// The role.
    #[serde(rename = "duty")]
    pub role: RoleId,
    /// The highest term that the voter knows.
    #[serde(rename = "highest")]
    pub highest_term: u64,
    /// The member to which the voter has granted the lease.
    #[serde(rename = "owner")]
    pub holder: Option<LeaseHolder>,
    /// The member's own lease, if it holds the role.
    #[serde(rename = "own")]
    pub own_lease: Option<OwnLease>,
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(FencingToken, Ns)", into = "(FencingToken, Ns)")]
pub struct OwnLease {
    /// The holder's token.
    pub token: FencingToken,
    /// How long the lease lasts unless it is renewed.
    pub remaining: Ns,
}

impl From<(FencingToken, Ns)> for OwnLease {
    fn from((token, remaining): (FencingToken, Ns)) -> OwnLease {
        OwnLease { token, remaining }
    }
}

impl From<OwnLease> for (FencingToken, Ns) {
    fn from(lease: OwnLease) -> (FencingToken, Ns) {
        (lease.token, lease.remaining)
    }
}

/// The status line of a role for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(RoleId, String)", into = "(RoleId, String)")]
pub struct RoleReport {
    /// The role.
    pub role: RoleId,
    /// One line of text.
    pub text: String,
}

impl From<(RoleId, String)> for RoleReport {
    fn from((role, text): (RoleId, String)) -> RoleReport {
        RoleReport { role, text }
    }
}

impl From<RoleReport> for (RoleId, String) {
    fn from(report: RoleReport) -> (RoleId, String) {
        (report.role, report.text)
    }
}
