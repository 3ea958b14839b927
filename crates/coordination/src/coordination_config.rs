//! The settings of coordination, which must be the same at all members of a fleet.

use thiserror::Error;

use crate::messages::RoleId;
use crate::{LeaseConfig, Ns};

/// A member counts as dead after this many heartbeat intervals without a heartbeat, as in
/// [`FailureDetector`](crate::FailureDetector).
const DEAD_AFTER_HEARTBEATS: Ns = 10;
/// A member never counts as dead after a shorter silence than this.
const MIN_FAILURE_TIMEOUT: Ns = 2_000_000_000;

/// The settings of coordination, which must be the same at all members of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// The numbers of the members that are voters and candidates for roles. Messages name voters by their index in
    /// this order.
    pub voters: Vec<u32>,
    /// All roles, with [`ASSIGNMENT_ROLE`](crate::messages::ASSIGNMENT_ROLE) first.
    pub roles: Vec<RoleId>,
    /// The duration of a lease.
    pub lease_duration: Ns,
    /// How long a member waits for the replies to one round of requests to the voters.
    pub round_timeout: Ns,
    /// The delay between the attempts of two candidates with successive ranks; see [`LeaseConfig::attempt_spacing`].
    pub attempt_spacing: Ns,
    /// The interval between a member's heartbeats to the voters.
    pub heartbeat_interval: Ns,
    /// The interval between the health checks of a target, across all members.
    pub check_interval: Ns,
    /// A health check that is not answered within this time has failed.
    pub check_timeout: Ns,
}

impl CoordinationConfig {
    /// A member that sends no heartbeat for this long counts as dead.
    pub fn failure_timeout(&self) -> Ns {
        (DEAD_AFTER_HEARTBEATS * self.heartbeat_interval).max(MIN_FAILURE_TIMEOUT)
    }

    /// How long an assignment remains valid at a member without a confirmation by a voter, and at a voter without a
    /// confirmation by the assigner. Both periods together are shorter than
    /// [`failure_timeout`](Self::failure_timeout), after which a member's targets move to others. A disconnected
    /// member has therefore stopped its checks by then.
    pub fn assignment_validity(&self) -> Ns {
        self.failure_timeout() * 2 / 5
    }

    /// The number of voters.
    pub(crate) fn voter_count(&self) -> u32 {
        self.voters.len() as u32
    }

    /// Returns the index of a member among the voters.
    pub(crate) fn voter_index(&self, member: u32) -> Option<u32> {
        self.voters.iter().position(|voter| *voter == member).map(|index| index as u32)
    }

    /// Returns the rank of a voter among the candidates of a role. Each role gives the lowest rank to a different
    /// voter, so that one voter does not acquire all roles.
    pub(crate) fn candidate_rank(&self, voter: u32, role_index: usize) -> u32 {
        let count = self.voter_count().max(1);
        (voter + count - role_index as u32 % count) % count
    }

    /// Returns the settings of lease candidates.
    pub(crate) fn lease_config(&self) -> LeaseConfig {
        LeaseConfig {
            voter_count: self.voter_count(),
            duration: self.lease_duration,
            round_timeout: self.round_timeout,
            attempt_spacing: self.attempt_spacing,
        }
    }
}

/// Why a running process can't apply changed settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReconfigureError {
    /// More than one voter changes. Majorities of the old and the new voters might have no voter in common.
    #[error(
        "{joined} voters added and {left} removed at once: change one voter at a time, and wait until all directors have applied it"
    )]
    TooManyChanges {
        /// The number of voters to be added.
        joined: usize,
        /// The number of voters to be removed.
        left: usize,
    },
    /// Settings other than the voters differ.
    #[error("settings other than the voters have changed, which requires a restart")]
    RestartRequired,
}
