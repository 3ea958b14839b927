//! Estimates from few samples, without I/O.
//!
//! A director of a large fleet sees each member only about once a second: what it saw there is one sample, and what it saw
//! at all members is many. [`ShrinkageEstimator`] weighs the two by how different the members prove to be.
//! [`SpaceSaving`] finds the most frequent keys of a stream within a fixed memory.
//!
//! Times are whole nanoseconds of a monotonic clock. Values are plain numbers: 0 and 1 for a success and a failure, a
//! logarithm for a speed.

mod decaying_sum;
mod shrinkage_estimator;
mod space_saving;

pub use shrinkage_estimator::{Estimate, ShrinkageEstimator};
pub use space_saving::SpaceSaving;

/// Whole nanoseconds.
pub type Ns = u64;
