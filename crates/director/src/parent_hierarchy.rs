//! The hierarchy of parent caches, as this director applies it.
//!
//! Versions come from the director's own settings file, from discovery events and from the hierarchy controller. The
//! one with the highest number is applied. It determines how many virtual nodes each parent has in the hash ring of
//! parents, and which path a fill takes beyond its source. The router still chooses the source.
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
    /// The event can't be decoded as a version.
    #[error(transparent)]
    Event(#[from] serde_json::Error),
    /// The controller's message can't be decoded as a version.
    #[cfg(feature = "coordination")]
    #[error(transparent)]
    Message(#[from] DecodeError),
    /// Names are not unique, or a source is unknown.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The settings file can't be read.
    #[error("{FILE_VARIABLE}: {}: {cause}", .file.display())]
    FileUnreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The settings file is invalid.
    #[error("{}", join_errors(.0))]
    Settings(Vec<ConfigError>),
    /// The version breaks a rule about nodes, sources or loops, or a node that is in use has no path to the origin.
    #[error(transparent)]
    Admission(#[from] AdmissionError),
}

fn join_errors(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// How a version was announced, as printed in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnouncementChannel {
    Event,
    #[cfg(feature = "coordination")]
    Controller,
    File,
}

impl AnnouncementChannel {
    fn as_str(self) -> &'static str {
        match self {
            AnnouncementChannel::Event => "event",
            #[cfg(feature = "coordination")]
            AnnouncementChannel::Controller => "controller",
            AnnouncementChannel::File => "file",
        }
    }
}

/// A version that was announced to this director and validated, but is not applied yet.
#[derive(Debug, PartialEq)]
pub struct VersionAnnouncement {
    number: u64,
    version: Hierarchy,
    channel: AnnouncementChannel,
}

impl VersionAnnouncement {
    /// Decodes and validates the version of a discovery event.
    ///
    /// # Errors
    /// Why the version can't be applied.
    pub fn from_event(event: &Value) -> Result<VersionAnnouncement, AnnouncementError> {
        let spec = HierarchySpec::deserialize(event)?;
        VersionAnnouncement::from_spec(&spec, AnnouncementChannel::Event)
    }

    /// Decodes and validates the version of a message of the hierarchy controller.
    ///
    /// # Errors
    /// Why the version can't be applied.
    #[cfg(feature = "coordination")]
    pub fn from_controller(message: &[u8]) -> Result<VersionAnnouncement, AnnouncementError> {
        let spec = decode_spec(message)?;
        VersionAnnouncement::from_spec(&spec, AnnouncementChannel::Controller)
    }

    /// Reads and validates the version of the settings file. Returns `None` if the environment names no file.
    pub fn from_settings_file() -> Option<Result<VersionAnnouncement, AnnouncementError>> {
        let file = std::env::var(FILE_VARIABLE).ok()?;
        Some(VersionAnnouncement::read_file(&file))
    }

    fn read_file(file: &str) -> Result<VersionAnnouncement, AnnouncementError> {
        let text = std::fs::read_to_string(file)
            .map_err(|cause| AnnouncementError::FileUnreadable { file: file.into(), cause })?;
        let (number, version) = parse_settings(file, &text, None).map_err(AnnouncementError::Settings)?;
        VersionAnnouncement::checked(number, version, AnnouncementChannel::File)
    }

    fn from_spec(
        spec: &HierarchySpec,
        channel: AnnouncementChannel,
    ) -> Result<VersionAnnouncement, AnnouncementError> {
        let (number, version) = spec.to_hierarchy(None)?;
        VersionAnnouncement::checked(number, version, channel)
    }

    /// Rejects a version that breaks a rule about nodes, sources or loops, or in which a node that is in use has no path
    /// to the origin, however the version was announced.
    fn checked(
        number: u64,
        version: Hierarchy,
        channel: AnnouncementChannel,
    ) -> Result<VersionAnnouncement, AnnouncementError> {
        Admission::check_structure(&version)?;
        Ok(VersionAnnouncement { number, version, channel })
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

/// A version that is applied. A request keeps the version that was active when it arrived for as long as it is in
/// flight.
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

    /// Returns the number of virtual nodes that a parent leaves to others in the hash ring of parents: all of them if no
    /// edge cache prefers it as a source.
    fn withheld_virtual_nodes(&self, name: &str) -> u16 {
        let parent = self.version.node_id(name).filter(|id| self.edge_parents.contains(id));
        let parent = parent.and_then(|id| self.version.get(id));
        parent.map_or(FULL_SHARE, |node| FULL_SHARE - node.ring_share.min(FULL_SHARE))
    }

    /// Returns the path of an object's fill beyond its source. Returns `None` if the path has fewer than two nodes, as
    /// when the source is the origin or fills from it, or if the version does not contain the source.
    pub fn fill_path(&self, source: &str, object: u64) -> Option<String> {
        let id = self.version.node_id(source)?;
        let path = self.fill_paths.path(&self.version, id, parent_position(object), |_| true);
        let names: Vec<&str> = path.iter().map(|node| self.version.node_name(*node)).collect();
        (names.len() > 1).then(|| names.join("+"))
    }
}

/// Returns the preferred sources of the edge caches, which are the nodes above tier 1 that no other node fills from.
fn edge_parents(version: &Hierarchy) -> BTreeSet<NodeId> {
    let sources: BTreeSet<NodeId> = version.iter().flat_map(|(_, node)| node.sources.to_vec()).collect();
    let edge = version.iter().filter(|(id, node)| node.tier > 1 && !sources.contains(id));
    edge.flat_map(|(id, _)| preferred_sources(version, id)).collect()
}

/// Returns a node's active sources that have the highest tier.
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

/// The dispatcher's state of the hierarchy: the applied version, and the parents that it affects.
#[derive(Debug, Default)]
pub struct ParentHierarchy {
    holder: VersionHolder,
    active: Option<Arc<ActiveHierarchy>>,
    parent_kind: Option<usize>,
    /// The listed parents, by node. They are listed again in the router when a version changes their virtual nodes.
    parents: BTreeMap<usize, ListedParent>,
}

impl ParentHierarchy {
    /// Creates the state without a version. `parent_kind` is the kind of node that parents are.
    pub fn new(parent_kind: Option<usize>) -> ParentHierarchy {
        ParentHierarchy { parent_kind, ..ParentHierarchy::default() }
    }

    /// Returns the applied version.
    pub fn active(&self) -> Option<&Arc<ActiveHierarchy>> {
        self.active.as_ref()
    }

    /// Sets the number of withheld virtual nodes of each parent among these updates. A snapshot replaces all earlier
    /// updates.
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

    /// Applies an announced version if it is newer than the applied one. A version that is older, or that has the same
    /// number but other content, is ignored. The version that is already applied is reported again, because the first
    /// report may have been lost.
    ///
    /// Returns the listings of the parents whose virtual nodes may have changed, and the version to report.
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
        let VersionAnnouncement { number, version, channel } = announcement;
        let active = Arc::new(ActiveHierarchy::new(version));
        let mut updates = Vec::with_capacity(self.parents.len());
        for parent in self.parents.values_mut() {
            parent.update.withheld_virtual_nodes = active.withheld_virtual_nodes(&parent.name);
            updates.push(parent.update);
        }
        let used = updates.iter().filter(|update| update.withheld_virtual_nodes < FULL_SHARE).count();
        tracing::info!(
            "hierarchy in force version={number} before={before} by={} nodes={} parents={used}",
            channel.as_str(),
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
