//! Estimates from thin samples, without I/O. A director of hundreds sees a member once in a second: what it saw there is
//! one draw, and what it saw at all members is many. `Group` weighs the two by how unlike the members prove to be;
//! `Most` finds what is asked for most within a fixed memory.
//!
//! Times are whole nanoseconds that never go back; values are plain numbers: 0 and 1 for a failure, a logarithm for a
//! speed. Empirical Bayes after Efron and Morris 1975; Space-Saving after Metwally, Agrawal, El Abbadi 2005.

mod shrinkage_estimator;
mod space_saving;

pub use shrinkage_estimator::{Estimate, ShrinkageEstimator};
pub use space_saving::SpaceSaving;

/// Whole nanoseconds.
pub type Ns = u64;
