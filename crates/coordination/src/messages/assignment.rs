//! Roles, and the assignment of health check targets to members.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, Member};

/// Identifies a role.
pub type RoleId = u16;

/// The role whose holder assigns the targets of health checks to the members that are alive.
pub const ASSIGNMENT_ROLE: RoleId = 0;

/// The numbers of the assignments of one term are below this, so that a term and a number fit into one integer.
const ASSIGNMENTS_PER_TERM: u64 = 1 << 24;

/// The version of an [`Assignment`], ordered by term and then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AssignmentVersion {
    /// The term of the assigner's lease.
    pub term: u64,
    /// The number of the assignment within the term, starting at 1.
    pub number: u64,
}

impl AssignmentVersion {
    /// Returns the token that accompanies a member's health checks under this assignment. Its term combines the term
    /// and the number of the assignment.
    pub fn token(self, holder: Member) -> FencingToken {
        let number = self.number.min(ASSIGNMENTS_PER_TERM - 1);
        FencingToken { term: self.term.saturating_mul(ASSIGNMENTS_PER_TERM) | number, holder }
    }

    /// Returns the version of the assignment from a token that was made by [`token`](Self::token).
    pub fn from_token(token: FencingToken) -> AssignmentVersion {
        AssignmentVersion {
            term: token.term / ASSIGNMENTS_PER_TERM,
            number: token.term % ASSIGNMENTS_PER_TERM,
        }
    }
}

/// The members to which the targets of health checks are assigned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// The assignment with the highest version is the current one.
    #[serde(rename = "stamp")]
    pub version: AssignmentVersion,
    /// The member that made the assignment.
    #[serde(rename = "dealer")]
    pub assigner: Member,
    /// The members in ascending order.
    pub members: Vec<Member>,
}
