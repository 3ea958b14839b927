//! Work on behalf of a fleet that one director does for all: a lease for each duty, granted by a majority of named
//! voters, a fencing token that goes along with each effect, and many small chores dealt to those who are alive.
//!
//! No I/O: times and messages come in, messages and verdicts go out. Times are whole nanoseconds of a clock that
//! never goes back and counts while the machine is suspended; of one program alone, they are never compared between
//! two. `Voter` grants, `Seat` claims and owns, `Gate` stands at what is done and refuses an old owner, `Shares` deals.
//!
//! A lease keeps owners from getting in one another's way; that an old one does no harm rests on the gate alone.

mod chores;
mod gate;
mod office;
mod register;
mod seat;
mod shares;
mod station;
mod voter;
mod warming;
pub mod word;

pub use chores::Chores;
pub use gate::{Gate, Old};
pub use office::{Do, Office, Terms, Unsettled};
pub use register::{Do as Kept, Keeper, Post};
pub use seat::{Act, End, Rules, Seat};
pub use shares::{Shares, Suspicion};
pub use station::Station;
pub use voter::{Ask, Reply, Voter};
pub use warming::{Ended, Pace, Want, Warming};

pub use sablecross::Ns;
use serde::{Deserialize, Serialize};

/// A member of the fleet by its number, and which of its lives this is: a process that begins anew is another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub number: u32,
    #[serde(rename = "life")]
    pub life: u64,
}

/// What goes along with each effect. Terms of a duty grow with each change of its owner; of two owners that hold the
/// same term, as voters without a disk may have forgotten one, a gate takes the first it met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token {
    pub term: u64,
    #[serde(rename = "owner")]
    pub owner: Member,
}
