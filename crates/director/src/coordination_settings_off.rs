//! Without the feature `duty` there are no settings of duties.

/// None can be.
pub enum CoordinationSettings {}

impl CoordinationSettings {
    pub fn from_env() -> Option<Result<CoordinationSettings, String>> {
        None
    }
}
