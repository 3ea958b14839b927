//! Without the feature `coordination` there are no settings of it.

use std::convert::Infallible;

/// There are none.
pub enum CoordinationSettings {}

impl CoordinationSettings {
    /// None.
    pub fn from_env() -> Option<Result<CoordinationSettings, Infallible>> {
        None
    }
}
