//! The interface of `coordination_settings.rs` for builds without the feature `coordination`: there are no settings.

use std::convert::Infallible;

/// The settings of coordination, of which this build has none.
pub enum CoordinationSettings {}

impl CoordinationSettings {
    /// Returns `None`.
    pub fn from_env() -> Option<Result<CoordinationSettings, Infallible>> {
        None
    }
}
