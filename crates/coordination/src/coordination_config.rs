//! The settings of coordination, the same at all members of a fleet.

use thiserror::Error;

use crate::messages::RoleId;
use crate::{LeaseConfig, Ns};

/// A member is dead after this many heartbeat intervals without a heartbeat, as in
/// [`FailureDetector`](crate::FailureDetector).
const DEAD_AFTER_HEARTBEATS: Ns = 10;
/// The shortest silence that is a death.
const MIN_FAILURE_TIMEOUT: Ns = 2_000_000_000;

/// The settings of coordination, the same at all members of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// The numbers of the members that vote and hold roles. Messages name voters by their index in this order.
    pub voters: Vec<u32>,
    /// All roles; [`ASSIGNMENT_ROLE`](crate::messages::ASSIGNMENT_ROLE) first.
    pub roles: Vec<RoleId>,
    /// The duration of a lease.
    pub lease_duration: Ns,
    /// How long the replies of one round of requests to the voters are waited for.
    pub round_timeout: Ns,
    /// The delay between the attempts of two candidates.
    pub claim_spacing: Ns,
    /// How often a member sends a heartbeat to the voters.
    pub heartbeat_interval: Ns,
    /// How often each target of health checks is checked, by whichever member.
    pub check_interval: Ns,
    /// A health check without an answer is over after this.
    pub check_timeout: Ns,
}

impl CoordinationConfig {
    /// A member that sends no heartbeat for this long is dead.
    pub fn failure_timeout(&self) -> Ns {
        (DEAD_AFTER_HEARTBEATS * self.heartbeat_interval).max(MIN_FAILURE_TIMEOUT)
    }

    /// How long an assignment is valid at a member without confirmation by a voter, and at a voter without
    /// confirmation by the assigner. Twice this is less than [`failure_timeout`](Self::failure_timeout), after which the
    /// targets of a member go to others: a member that is cut off has stopped by then.
    pub fn assignment_validity(&self) -> Ns {
        self.failure_timeout() * 2 / 5
    }

    /// How many voters there are.
    pub(crate) fn voter_count(&self) -> u32 {
        self.voters.len() as u32
    }

    /// The index of a member among the voters.
    pub(crate) fn voter_index(&self, member: u32) -> Option<u32> {
        self.voters.iter().position(|voter| *voter == member).map(|index| index as u32)
    }

    /// The rank of a voter among the candidates of a role. The lowest rank of each role is another voter's, so that one
    /// voter does not end up with all roles.
    pub(crate) fn candidate_rank(&self, voter: u32, role_index: usize) -> u32 {
        let count = self.voter_count().max(1);
        (voter + count - role_index as u32 % count) % count
    }

    /// The part that candidates need.
    pub(crate) fn lease_config(&self) -> LeaseConfig {
        LeaseConfig {
            voter_count: self.voter_count(),
            duration: self.lease_duration,
            round_timeout: self.round_timeout,
            claim_spacing: self.claim_spacing,
        }
    }
}

/// Why other settings can't be taken over by a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReconfigureError {
    /// Majorities of the old and the new voters need not have a voter in common.
    #[error(
        "{joined} voters added and {left} removed at once: change one, and wait until all directors have it"
    )]
    TooManyChanges {
        /// How many voters would be added.
        joined: usize,
        /// How many voters would be removed.
        left: usize,
    },
    /// Settings other than the voters differ.
    #[error("more than the voters has changed, which takes a restart")]
    RestartRequired,
}
