//! Without the feature `hierarchy` a director knows caches, parents and the origin alone: no version can be told.

use std::sync::Arc;

use sablecross::EndpointUpdate;
use serde_json::Value;

/// None can be.
#[derive(Debug, PartialEq)]
pub enum VersionAnnouncement {}

impl VersionAnnouncement {
    pub fn from_event(_event: &Value) -> Result<VersionAnnouncement, String> {
        Err("a hierarchy, which this program was built without".into())
    }

    pub fn from_settings_file() -> Option<Result<VersionAnnouncement, String>> {
        None
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    pub number: u64,
    pub digest: u64,
}

#[derive(Debug)]
pub enum ActiveHierarchy {}

impl ActiveHierarchy {
    pub fn fill_path(&self, _source: &str, _object: u64) -> Option<String> {
        match *self {}
    }
}

#[derive(Debug, Default)]
pub struct ParentHierarchy;

impl ParentHierarchy {
    pub fn new(_parent_kind: Option<usize>) -> ParentHierarchy {
        ParentHierarchy
    }

    pub fn active(&self) -> Option<&Arc<ActiveHierarchy>> {
        None
    }

    pub fn update_parents(
        &mut self,
        _lines: &mut [EndpointUpdate],
        _is_snapshot: bool,
        _name: impl Fn(usize) -> String,
    ) {
    }

    pub fn adopt(&mut self, told: &VersionAnnouncement) -> Option<(Vec<EndpointUpdate>, AppliedVersion)> {
        match *told {}
    }
}
