//! Without the feature `duty` there are no settings of duties.

/// None can be.
pub enum Setting {}

impl Setting {
    pub fn read() -> Option<Result<Setting, String>> {
        None
    }
}
