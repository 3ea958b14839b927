//! Work on behalf of a fleet that one director does for all: a lease for each duty, granted by a majority of named
//! voters, a fencing token that goes along with each effect, and many small chores dealt to those who are alive.
//!
//! No I/O: times and messages come in, messages and verdicts go out. Times are whole nanoseconds of a clock that
//! never goes back and counts while the machine is suspended; of one program alone, they are never compared between
//! two. `Voter` grants, `Seat` claims and owns, `Gate` stands at what is done and refuses an old owner, `Shares` deals.
//!
//! A lease keeps owners from getting in one another's way; that an old one does no harm rests on the gate alone.

mod cache_warmer;
mod coordinator;
mod fencing;
mod health_check_schedule;
mod lease_candidate;
mod membership;
pub mod messages;
mod register;
mod voter;
mod voter_node;

pub use cache_warmer::{CacheWarmer, FetchOutcome, HotObject, WarmingLimits};
pub use coordinator::{Action, CoordinationConfig, Coordinator, ReconfigureError};
pub use fencing::{FencingGuard, StaleToken};
pub use health_check_schedule::HealthCheckSchedule;
pub use lease_candidate::{CandidateAction, LeaseCandidate, LeaseConfig, LeaseEnd};
pub use membership::{FailureDetector, RendezvousShares};
pub use register::{RegisterAction, RegisterReplica, RegisterWriter};
pub use voter::{LeaseReply, LeaseRequest, Voter};
pub use voter_node::VoterNode;

pub use sablecross::Ns;
use serde::{Deserialize, Serialize};

/// A member of the fleet by its number, and which of its lives this is: a process that begins anew is another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub number: u32,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// What goes along with each effect. Terms of a duty grow with each change of its owner; of two owners that hold the
/// same term, as voters without a disk may have forgotten one, a gate takes the first it met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    pub term: u64,
    #[serde(rename = "owner")]
    pub holder: Member,
}
