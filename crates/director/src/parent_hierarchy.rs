//! The hierarchy of parent caches, as this director applies it.
//!
//! Versions come from the director's own file, from events and from the hierarchy controller; the one with the largest
//! number is applied. The version decides how many virtual nodes each parent takes in the ring of parents, and which
//! path a fill takes beyond its source. The decision module still chooses the source.
//!
//! `parent_hierarchy_off.rs` has the same interface for builds without the feature `hierarchy`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;

use sablecross::{EndpointState, EndpointUpdate, parent_position};
use sablecross_hierarchy::fill_path::FillPaths;
use sablecross_hierarchy::spec::{ConfigError, HierarchySpec, SpecError, parse_settings};
use sablecross_hierarchy::{
    Admission, AdmissionError, FULL_SHARE, Hierarchy, NodeId, OfferOutcome, VersionHolder,
};
#[cfg(feature = "coordination")]
use sablecross_hierarchy_controller::{DecodeError, decode_spec};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// The environment variable that names the settings file.
const FILE_VARIABLE: &str = "SABLECROSS_HIERARCHY";

/// Why an announced version can't be applied.
#[derive(Debug, Error)]
pub enum AnnouncementError {
    /// The event does not have the form of a version.
    #[error(transparent)]
    Event(#[from] serde_json::Error),
    /// The controller's message does not have the form of a version.
    #[cfg(feature = "coordination")]
    #[error(transparent)]
    Message(#[from] DecodeError),
    /// Names are not unique, or sources unknown.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The settings file can't be read.
    #[error("{FILE_VARIABLE}: {}: {cause}", .file.display())]
    FileUnreadable {
        /// The file.
        file: PathBuf,
        /// What the system reports.
        cause: std::io::Error,
    },
    /// The settings file is invalid.
    #[error("{}", join_errors(.0))]
    Settings(Vec<ConfigError>),
    /// The version contains a loop, or a node without a path to the origin.
    #[error(transparent)]
    Admission(#[from] AdmissionError),
}

fn join_errors(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Where a version came from, as the log names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionOrigin {
    Event,
    #[cfg(feature = "coordination")]
    Controller,
    File,
}

impl VersionOrigin {
    fn as_str(self) -> &'static str {
        match self {
            VersionOrigin::Event => "event",
            #[cfg(feature = "coordination")]
            VersionOrigin::Controller => "controller",
            VersionOrigin::File => "file",
        }
    }
}

/// A version that was announced to this director and checked, but is not applied yet.
#[derive(Debug, PartialEq)]
pub struct VersionAnnouncement {
    number: u64,
    version: Hierarchy,
    origin: VersionOrigin,
}

impl VersionAnnouncement {
    /// The version of an event.
    ///
    /// # Errors
    /// Why the version can't be applied.
    pub fn from_event(event: &Value) -> Result<VersionAnnouncement, AnnouncementError> {
        let spec = HierarchySpec::deserialize(event)?;
        VersionAnnouncement::from_spec(&spec, VersionOrigin::Event)
    }

    /// The version of a message of the hierarchy controller.
    ///
    /// # Errors
    /// Why the version can't be applied.
    #[cfg(feature = "coordination")]
    pub fn from_controller(message: &[u8]) -> Result<VersionAnnouncement, AnnouncementError> {
        let spec = decode_spec(message)?;
        VersionAnnouncement::from_spec(&spec, VersionOrigin::Controller)
    }

    /// The version of the settings file, if the environment names one.
    pub fn from_settings_file() -> Option<Result<VersionAnnouncement, AnnouncementError>> {
        let file = std::env::var(FILE_VARIABLE).ok()?;
        Some(VersionAnnouncement::read_file(&file))
    }

    fn read_file(file: &str) -> Result<VersionAnnouncement, AnnouncementError> {
        let text = std::fs::read_to_string(file)
            .map_err(|cause| AnnouncementError::FileUnreadable { file: file.into(), cause })?;
        let (number, version) = parse_settings(file, &text, None).map_err(AnnouncementError::Settings)?;
        VersionAnnouncement::checked(number, version, VersionOrigin::File)
    }

    fn from_spec(
        spec: &HierarchySpec,
        origin: VersionOrigin,
    ) -> Result<VersionAnnouncement, AnnouncementError> {
        let (number, version) = spec.to_hierarchy(None)?;
        VersionAnnouncement::checked(number, version, origin)
    }

    /// Rejects what no plan leads through, wherever it came from.
    fn checked(
        number: u64,
        version: Hierarchy,
        origin: VersionOrigin,
    ) -> Result<VersionAnnouncement, AnnouncementError> {
        Admission::check_structure(&version)?;
        Ok(VersionAnnouncement { number, version, origin })
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

/// A version that is applied. A request keeps the one that it was routed by for as long as it is in flight.
#[derive(Debug)]
pub struct ActiveHierarchy {
    version: Hierarchy,
    fill_paths: FillPaths,
    /// The parents that edge caches fill from.
    edge_parents: BTreeSet<NodeId>,
}

impl ActiveHierarchy {
    fn new(version: &Hierarchy) -> ActiveHierarchy {
        ActiveHierarchy {
            version: version.clone(),
            fill_paths: FillPaths::from_hierarchy(version),
            edge_parents: edge_parents(version),
        }
    }

    /// The virtual nodes that a parent does not take in the ring of parents.
    fn withheld_virtual_nodes(&self, name: &str) -> u16 {
        let parent = self.version.node_id(name).filter(|id| self.edge_parents.contains(id));
        let parent = parent.and_then(|id| self.version.get(id));
        parent.map_or(FULL_SHARE, |node| FULL_SHARE - node.ring_share.min(FULL_SHARE))
    }

    /// The path of an object's fill beyond its source, if there is more on it than the origin.
    pub fn fill_path(&self, source: &str, object: u64) -> Option<String> {
        let id = self.version.node_id(source)?;
        let path = self.fill_paths.path(&self.version, id, parent_position(object), |_| true);
        let names: Vec<&str> = path.iter().map(|node| self.version.node_name(*node)).collect();
        (names.len() > 1).then(|| names.join("+"))
    }
}

/// The preferred sources of the edge caches: of those nodes that no other node fills from.
fn edge_parents(version: &Hierarchy) -> BTreeSet<NodeId> {
    let sources: BTreeSet<NodeId> = version.iter().flat_map(|(_, node)| node.sources.to_vec()).collect();
    let edge = version.iter().filter(|(id, node)| node.tier > 1 && !sources.contains(id));
    edge.flat_map(|(id, _)| preferred_sources(version, id)).collect()
}

/// A node's active sources of the highest tier.
fn preferred_sources(version: &Hierarchy, id: NodeId) -> Vec<NodeId> {
    let tier = |source: NodeId| version.get(source).map(|node| node.tier);
    let highest = version.active_sources(id).filter_map(tier).max();
    version.active_sources(id).filter(|source| tier(*source) == highest).collect()
}

/// A parent as it was last listed.
#[derive(Debug)]
struct ListedParent {
    name: String,
    update: EndpointUpdate,
}

/// The dispatcher's part of the hierarchy: the applied version, and the parents that it concerns.
#[derive(Debug, Default)]
pub struct ParentHierarchy {
    holder: VersionHolder,
    active: Option<Arc<ActiveHierarchy>>,
    parent_kind: Option<usize>,
    /// The listed parents by node, to be listed again when a version changes their virtual nodes.
    parents: BTreeMap<usize, ListedParent>,
}

impl ParentHierarchy {
    /// Without a version. `parent_kind` is the kind of machine that parents are.
    pub fn new(parent_kind: Option<usize>) -> ParentHierarchy {
        ParentHierarchy { parent_kind, ..ParentHierarchy::default() }
    }

    /// The applied version.
    pub fn active(&self) -> Option<&Arc<ActiveHierarchy>> {
        self.active.as_ref()
    }

    /// Sets the withheld virtual nodes of the parents among these updates. A snapshot replaces all earlier updates.
    pub fn update_parents(
        &mut self,
        updates: &mut [EndpointUpdate],
        is_snapshot: bool,
        name: impl Fn(usize) -> String,
    ) {
        if is_snapshot {
            self.parents.clear();
        }
        for update in updates.iter_mut().filter(|update| Some(update.machine_kind) == self.parent_kind) {
            let name = name(update.node);
            update.withheld_virtual_nodes =
                self.active.as_ref().map_or(0, |active| active.withheld_virtual_nodes(&name));
            if update.state == EndpointState::Gone {
                self.parents.remove(&update.node);
            } else {
                self.parents.insert(update.node, ListedParent { name, update: *update });
            }
        }
    }

    /// Applies an announced version if it is newer than the applied one. Nothing follows from one that is older. One
    /// that is applied already is reported again, as the report may have been lost.
    ///
    /// Returns the parents whose virtual nodes may have changed, as they are to be listed now, and the version to report.
    pub fn adopt(
        &mut self,
        announcement: &VersionAnnouncement,
    ) -> Option<(Vec<EndpointUpdate>, AppliedVersion)> {
        let before = self.holder.number();
        match self.holder.offer(announcement.number, &announcement.version) {
            OfferOutcome::Accepted => {
                let updates = self.activate(announcement, before);
                Some((updates, self.applied_version()))
            }
            OfferOutcome::Unchanged => Some((Vec::new(), self.applied_version())),
            outcome @ (OfferOutcome::Older | OfferOutcome::Conflicting) => {
                let number = announcement.number;
                tracing::warn!(
                    "hierarchy version ignored version={number} in_force={before} why={outcome:?}"
                );
                None
            }
        }
    }

    fn activate(&mut self, announcement: &VersionAnnouncement, before: u64) -> Vec<EndpointUpdate> {
        let VersionAnnouncement { number, version, origin } = announcement;
        let active = Arc::new(ActiveHierarchy::new(version));
        let mut updates = Vec::with_capacity(self.parents.len());
        for parent in self.parents.values_mut() {
            parent.update.withheld_virtual_nodes = active.withheld_virtual_nodes(&parent.name);
            updates.push(parent.update);
        }
        let used = updates.iter().filter(|update| update.withheld_virtual_nodes < FULL_SHARE).count();
        tracing::info!(
            "hierarchy in force version={number} before={before} by={} nodes={} parents={used}",
            origin.as_str(),
            version.len()
        );
        if used == 0 {
            tracing::warn!("hierarchy version={number} uses none of the listed parents");
        }
        self.active = Some(active);
        updates
    }

    fn applied_version(&self) -> AppliedVersion {
        let digest = self.holder.version().map_or(0, Hierarchy::digest);
        AppliedVersion { number: self.holder.number(), digest }
    }
}
