//! The interface of `parent_hierarchy.rs` for builds without the feature `hierarchy`: no version can be announced or
//! applied.

use std::sync::Arc;

use sablecross::EndpointUpdate;
use serde_json::Value;
use thiserror::Error;

/// Why an announced version can't be applied.
#[derive(Debug, Error)]
pub enum AnnouncementError {
    /// The program was built without the feature.
    #[error("this program was built without the feature `hierarchy`")]
    Unsupported,
}

/// A version that was announced to this director, of which there is none in this build.
#[derive(Debug, PartialEq)]
pub enum VersionAnnouncement {}

impl VersionAnnouncement {
    /// Rejects the version of a discovery event, as this build can't apply one.
    ///
    /// # Errors
    /// Always.
    pub fn from_event(_event: &Value) -> Result<VersionAnnouncement, AnnouncementError> {
        Err(AnnouncementError::Unsupported)
    }

    /// Returns `None`, as this build does not read the settings file.
    pub fn from_settings_file() -> Option<Result<VersionAnnouncement, AnnouncementError>> {
        None
    }
}

/// The version that a director reports as applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    /// Its number.
    pub number: u64,
    /// The digest of its content.
    pub digest: u64,
}

/// A version that is applied, of which there is none in this build.
#[derive(Debug)]
pub enum ActiveHierarchy {}

impl ActiveHierarchy {
    /// Returns the path of an object's fill beyond its source.
    pub fn fill_path(&self, _source: &str, _object: u64) -> Option<String> {
        match *self {}
    }
}

/// The dispatcher's state of the hierarchy, which has no effect in this build.
#[derive(Debug, Default)]
pub struct ParentHierarchy;

impl ParentHierarchy {
    /// Creates the state without a version.
    pub fn new(_parent_kind: Option<usize>) -> ParentHierarchy {
        ParentHierarchy
    }

    /// Returns `None`, as no version is applied.
    pub fn active(&self) -> Option<&Arc<ActiveHierarchy>> {
        None
    }

    /// Leaves the updates unchanged.
    pub fn update_parents(
        &mut self,
        _updates: &mut [EndpointUpdate],
        _is_snapshot: bool,
        _name: impl Fn(usize) -> String,
    ) {
    }

    /// Never called, as no version can be announced.
    pub fn adopt(
        &mut self,
        announcement: &VersionAnnouncement,
    ) -> Option<(Vec<EndpointUpdate>, AppliedVersion)> {
        match *announcement {}
    }
}
