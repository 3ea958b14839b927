//! sablecross decides where objects are served, kept and filled from.

mod choice;
mod interface;
pub mod invariants;

pub use choice::{HashRing, RingMember, Router, cache_position, mix, parent_position};
pub use interface::*;
