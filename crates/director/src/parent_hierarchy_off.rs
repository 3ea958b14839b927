//! The interface of `parent_hierarchy.rs` for builds without the feature `hierarchy`: no version can be announced, so
//! there is none to apply.

use std::sync::Arc;

use sablecross::EndpointUpdate;
use serde_json::Value;
use thiserror::Error;

/// Why an announced version can't be applied.
#[derive(Debug, Error)]
pub enum AnnouncementError {
    /// The program was built without the feature.
    #[error("a hierarchy, which this program was built without")]
    Unsupported,
}

/// A version that was announced to this director: there can be none.
#[derive(Debug, PartialEq)]
pub enum VersionAnnouncement {}

impl VersionAnnouncement {
    /// The version of an event, which this program can't apply.
    ///
    /// # Errors
    /// Always.
    pub fn from_event(_event: &Value) -> Result<VersionAnnouncement, AnnouncementError> {
        Err(AnnouncementError::Unsupported)
    }

    /// The version of the settings file, which this program does not read.
    pub fn from_settings_file() -> Option<Result<VersionAnnouncement, AnnouncementError>> {
        None
    }
}

/// The version that a director reports to apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    /// Its number.
    pub number: u64,
    /// The digest of its content.
    pub digest: u64,
}

/// A version that is applied: there is none.
#[derive(Debug)]
pub enum ActiveHierarchy {}

impl ActiveHierarchy {
    /// The path of an object's fill beyond its source.
    pub fn fill_path(&self, _source: &str, _object: u64) -> Option<String> {
        match *self {}
    }
}

/// The dispatcher's part of the hierarchy, without any effect.
#[derive(Debug, Default)]
pub struct ParentHierarchy;

impl ParentHierarchy {
    /// Without a version.
    pub fn new(_parent_kind: Option<usize>) -> ParentHierarchy {
        ParentHierarchy
    }

    /// The applied version: none.
    pub fn active(&self) -> Option<&Arc<ActiveHierarchy>> {
        None
    }

    /// Leaves the updates as they are.
    pub fn update_parents(
        &mut self,
        _updates: &mut [EndpointUpdate],
        _is_snapshot: bool,
        _name: impl Fn(usize) -> String,
    ) {
    }

    /// Applies an announced version: there can be none.
    pub fn adopt(
        &mut self,
        announcement: &VersionAnnouncement,
    ) -> Option<(Vec<EndpointUpdate>, AppliedVersion)> {
        match *announcement {}
    }
}
