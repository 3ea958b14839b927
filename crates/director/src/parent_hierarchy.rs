//! The hierarchy of upper caches, as this director holds it: from its own file or from the feed, the larger number
//! wins. It says which places members take in the module's pie of parents and which way a fill goes beyond its source;
//! the module still names the source.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sablecross::{EndpointState, EndpointUpdate, parent_position};
use sablecross_hierarchy::fill_path::FillPaths;
use sablecross_hierarchy::spec::{self, HierarchySpec as Spec};
use sablecross_hierarchy::{Admission, FULL_SHARE, Hierarchy, NodeId, OfferOutcome, VersionHolder};
use serde::Deserialize;
use serde_json::Value;

/// The variable that names the settings file.
const FILE: &str = "SABLECROSS_HIERARCHY";

/// A version that was told, checked, not in force yet.
#[derive(Debug, PartialEq)]
pub struct VersionAnnouncement {
    number: u64,
    version: Hierarchy,
    by: &'static str,
}

impl VersionAnnouncement {
    /// The version of an event.
    pub fn from_event(event: &Value) -> Result<VersionAnnouncement, String> {
        let told = Spec::deserialize(event).map_err(|e| e.to_string())?;
        let (number, version) = told.to_hierarchy(None)?;
        VersionAnnouncement::checked(number, version, "feed")
    }

    /// The version that the owner of driving tells.
    #[cfg(feature = "coordination")]
    pub fn from_controller(told: &Spec) -> Result<VersionAnnouncement, String> {
        let (number, version) = told.to_hierarchy(None)?;
        VersionAnnouncement::checked(number, version, "duty")
    }

    /// The version of the settings file, where one is named.
    pub fn from_settings_file() -> Option<Result<VersionAnnouncement, String>> {
        let file = std::env::var(FILE).ok()?;
        let text = std::fs::read_to_string(&file).map_err(|e| format!("{FILE}: {file}: {e}"));
        Some(text.and_then(|text| {
            let faults = |f: Vec<sablecross_sexpr_config::ConfigError>| {
                f.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
            };
            let (number, version) = spec::parse_settings(&file, &text, None).map_err(faults)?;
            VersionAnnouncement::checked(number, version, "file")
        }))
    }

    /// What no plan brings about is refused here too: a circle, a node without a way to the origin.
    fn checked(number: u64, version: Hierarchy, by: &'static str) -> Result<VersionAnnouncement, String> {
        Admission::check_structure(&version).map_err(|e| e.to_string())?;
        Ok(VersionAnnouncement { number, version, by })
    }
}

/// What a director says of the version that it has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    pub number: u64,
    pub digest: u64,
}

/// One version in force. A lookup keeps it as long as it is in hand.
#[derive(Debug)]
pub struct ActiveHierarchy {
    version: Hierarchy,
    ways: FillPaths,
    /// Whom the edge asks: of the sources of those that nobody fills from, the tiers nearest to them.
    asked: BTreeSet<NodeId>,
}

impl ActiveHierarchy {
    fn of(version: &Hierarchy) -> ActiveHierarchy {
        let sources: BTreeSet<NodeId> = version.iter().flat_map(|(_, m)| m.sources.to_vec()).collect();
        let edge = version.iter().filter(|(id, m)| !m.is_origin() && m.tier > 1 && !sources.contains(id));
        let nearest = |id: NodeId| {
            let tier = version.active_sources(id).filter_map(|s| version.get(s)).map(|m| m.tier).max();
            version
                .active_sources(id)
                .filter(move |s| version.get(*s).map(|m| m.tier) == tier)
                .collect::<Vec<_>>()
        };
        let asked = edge.flat_map(|(id, _)| nearest(id)).collect();
        ActiveHierarchy { version: version.clone(), ways: FillPaths::from_hierarchy(version), asked }
    }

    /// The places that a parent does not take in the module's pie.
    fn withheld(&self, name: &str) -> u16 {
        let member = self.version.node_id(name).filter(|id| self.asked.contains(id));
        member
            .and_then(|id| self.version.get(id))
            .map_or(FULL_SHARE, |m| FULL_SHARE - m.ring_share.min(FULL_SHARE))
    }

    /// The way of an object's fill beyond its source, where it is longer than to the origin.
    pub fn fill_path(&self, source: &str, object: u64) -> Option<String> {
        let id = self.version.node_id(source)?;
        let way = self.ways.path(&self.version, id, parent_position(object), |_| true);
        let names: Vec<&str> = way.iter().map(|n| self.version.node_name(*n)).collect();
        (names.len() > 1).then(|| names.join("+"))
    }
}

/// What the desk keeps of it.
#[derive(Debug, Default)]
pub struct ParentHierarchy {
    holder: VersionHolder,
    current: Option<Arc<ActiveHierarchy>>,
    parent_kind: Option<usize>,
    /// The list of parents as it was last told, to be listed again when their places change.
    parents: BTreeMap<usize, (String, EndpointUpdate)>,
}

impl ParentHierarchy {
    pub fn new(parent_kind: Option<usize>) -> ParentHierarchy {
        ParentHierarchy { parent_kind, ..ParentHierarchy::default() }
    }

    pub fn active(&self) -> Option<&Arc<ActiveHierarchy>> {
        self.current.as_ref()
    }

    /// Lines of the list, to which the places are added that the hierarchy gives.
    pub fn update_parents(
        &mut self,
        lines: &mut [EndpointUpdate],
        whole: bool,
        name: impl Fn(usize) -> String,
    ) {
        if whole {
            self.parents.clear();
        }
        for line in lines.iter_mut().filter(|l| Some(l.machine_kind) == self.parent_kind) {
            let name = name(line.node);
            line.withheld_virtual_nodes = self.current.as_ref().map_or(0, |c| c.withheld(&name));
            if line.state == EndpointState::Gone {
                self.parents.remove(&line.node);
            } else {
                self.parents.insert(line.node, (name, *line));
            }
        }
    }

    /// Takes a version, if it is a later one: the parents as they are to be listed then, and what is to be said of it.
    pub fn adopt(&mut self, told: &VersionAnnouncement) -> Option<(Vec<EndpointUpdate>, AppliedVersion)> {
        let before = self.holder.number();
        let taken = self.holder.offer(told.number, &told.version);
        match taken {
            OfferOutcome::Accepted => {}
            // Said once more: the word may have been lost.
            OfferOutcome::Unchanged => return Some((Vec::new(), self.in_force())),
            OfferOutcome::Older | OfferOutcome::Conflicting => {
                tracing::warn!(
                    "hierarchy passed over version={} in_force={before} why={taken:?}",
                    told.number
                );
                return None;
            }
        }
        let current = Arc::new(ActiveHierarchy::of(&told.version));
        let lines = self.parents.values_mut().map(|(name, line)| {
            line.withheld_virtual_nodes = current.withheld(name);
            *line
        });
        let lines: Vec<EndpointUpdate> = lines.collect();
        let asked = lines.iter().filter(|l| l.withheld_virtual_nodes < FULL_SHARE).count();
        tracing::info!(
            "hierarchy in force version={} before={before} by={} nodes={} asked={asked}",
            told.number,
            told.by,
            told.version.len()
        );
        if asked == 0 {
            tracing::warn!("hierarchy version={} asks none of the parents listed", told.number);
        }
        self.current = Some(current);
        Some((lines, self.in_force()))
    }

    fn in_force(&self) -> AppliedVersion {
        let digest = self.holder.version().map_or(0, Hierarchy::digest);
        AppliedVersion { number: self.holder.number(), digest }
    }
}
