//! What operators see of a member. It is also printed as JSON, by the pinned names.

use serde::{Deserialize, Serialize};

use super::{Assignment, RoleId};
use crate::{FencingToken, LeaseHolder, Member, Ns};

/// What operators see of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Who it is.
    #[serde(rename = "me")]
    pub member: Member,
    /// Its index among the voters, if it votes.
    pub voter: Option<u32>,
    /// How long its voter does not reply yet after a restart.
    #[serde(rename = "silent")]
    pub silent_for: Ns,
    /// The roles as its voter sees them.
    #[serde(rename = "duties")]
    pub roles: Vec<RoleStatus>,
    /// The assignment it goes by.
    #[serde(rename = "roster")]
    pub assignment: Assignment,
    /// For how long its share of the assignment is valid; 0: not now.
    #[serde(rename = "holds")]
    pub assignment_valid_for: Ns,
    /// How many targets belong to it.
    #[serde(rename = "chores")]
    pub target_count: u32,
    /// How many health checks it has sent.
    #[serde(rename = "probes")]
    pub checks_sent: u64,
    /// Stale tokens that its voter has rejected.
    #[serde(rename = "refused")]
    pub rejected_here: u64,
    /// Older assignments that it was sent and has ignored.
    #[serde(rename = "passed_over")]
    pub stale_assignments_ignored: u64,
    /// How often its own tokens were rejected, by voters or by targets.
    #[serde(rename = "was_refused")]
    pub own_rejections: u64,
    /// What its own roles report.
    #[serde(rename = "status")]
    pub role_status: Vec<RoleReport>,
}

/// A role as a voter sees it, and as the member itself does if it holds the role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// The role.
    #[serde(rename = "duty")]
    pub role: RoleId,
    /// The highest term that the voter knows of.
    #[serde(rename = "highest")]
    pub highest_term: u64,
    /// Whom the voter has granted the lease.
    #[serde(rename = "owner")]
    pub holder: Option<LeaseHolder>,
    /// The lease, if this member holds it.
    #[serde(rename = "own")]
    pub own_lease: Option<OwnLease>,
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(FencingToken, Ns)", into = "(FencingToken, Ns)")]
pub struct OwnLease {
    /// The holder's token.
    pub token: FencingToken,
    /// How long the lease lasts, unless it is renewed.
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

/// What a role reports to operators.
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
