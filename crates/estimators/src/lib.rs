//! Statistical estimators for streams with few samples per member, without I/O.
//!
//! A director of a large fleet samples each member only about once a second, so it has few samples of any one member
//! but many of all members together. [`ShrinkageEstimator`] combines the mean of the member with the mean of all
//! members; the weights depend on how much the members differ. [`SpaceSaving`] finds the most frequent keys of a stream
//! in bounded memory.
//!
//! Times are nanoseconds of a monotonic clock. Samples are plain numbers, for example 0 for a success and 1 for a
//! failure, or the logarithm of a speed.

mod decaying_sum;
mod shrinkage_estimator;
mod space_saving;

pub use shrinkage_estimator::{Estimate, ShrinkageEstimator};
pub use space_saving::SpaceSaving;

/// A time or a duration in whole nanoseconds.
pub type Ns = u64;
