//! Roles, and the assignment of targets to members.

use serde::{Deserialize, Serialize};

use crate::{FencingToken, Member};

/// Identifies a role.
pub type RoleId = u16;

/// The role whose holder assigns the targets of health checks to the members that are alive.
pub const ASSIGNMENT_ROLE: RoleId = 0;

/// The sequence numbers of one term's assignments are below this.
const ASSIGNMENTS_PER_TERM: u64 = 1 << 24;

/// The version of an [`Assignment`]: ordered by term, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AssignmentVersion {
    /// The term in which the assigner held the assignment role.
    pub term: u64,
    /// Counts the assignments of that term, from 1.
    pub number: u64,
}

impl AssignmentVersion {
    /// The token that accompanies the effects of a member by its share of this assignment.
    pub fn token(self, holder: Member) -> FencingToken {
        let number = self.number.min(ASSIGNMENTS_PER_TERM - 1);
        FencingToken { term: self.term.saturating_mul(ASSIGNMENTS_PER_TERM) | number, holder }
    }

    /// The version of such a token.
    pub fn from_token(token: FencingToken) -> AssignmentVersion {
        AssignmentVersion {
            term: token.term / ASSIGNMENTS_PER_TERM,
            number: token.term % ASSIGNMENTS_PER_TERM,
        }
    }
}

/// The members among which the targets of health checks are shared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Of two assignments the one with the higher version is in force.
    #[serde(rename = "stamp")]
    pub version: AssignmentVersion,
    /// Who made it.
    #[serde(rename = "dealer")]
    pub assigner: Member,
    /// Sorted.
    pub members: Vec<Member>,
}
