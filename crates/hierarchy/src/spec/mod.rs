//! The serialized form of a version: S-expressions in settings files, and serde formats in events, messages and logs.

mod settings_file;

use std::collections::HashMap;
use std::sync::Arc;

use garde::Validate;
use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use self::settings_file::parse_settings;
use crate::version::{FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId};
pub use sablecross_sexpr_config::ConfigError;

const NS_PER_MS: u64 = 1_000_000;
/// The longest duration that settings accept: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// One S-expression form of a settings file.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum SpecForm {
    /// The settings of the hierarchy. A file has exactly one such form.
    #[serde(rename = "hierarchy")]
    Hierarchy(#[garde(dive)] SpecHeader),
    /// One node of the hierarchy.
    #[serde(rename = "node")]
    Node(#[garde(dive)] NodeSpec),
}

/// The settings of a whole hierarchy.
///
/// The field names in kebab case are the keys of the settings file, which validation errors name. The order of fields is
/// their order in messages.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SpecHeader {
    /// The number of the version. A newer version has a larger number.
    #[garde(range(min = 1))]
    pub version: u64,
    /// The maximum load of the origin, in fetches per second.
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling: f64,
    /// The fraction of `ceiling` that plans leave unused.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default = "default_margin")]
    pub margin: f64,
    /// The warmth of a node that has just started, from 0 to 1.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "default_cold_from")]
    pub cold_from: f64,
    /// The time from a node's start until it is warm, in milliseconds.
    #[garde(range(max = MAX_DURATION_MS))]
    #[serde(default = "default_warm_after_ms")]
    pub warm_after_ms: u64,
    /// The load at which a cold node collapses, as a multiple of its capacity times its warmth.
    #[garde(range(min = 0.0, max = 100.0))]
    #[serde(default = "default_fall_multiple")]
    pub fall_multiple: f64,
    /// Whether a node may fill from a node of its own tier.
    #[garde(skip)]
    #[serde(default)]
    pub siblings: bool,
    /// The longest time that a request is in flight, in milliseconds.
    #[garde(range(max = MAX_DURATION_MS))]
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// The time until the objects of a moved part of a ring are filled, in milliseconds.
    #[garde(range(max = MAX_DURATION_MS))]
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
    /// The longest time in milliseconds that a step waits for participants, or for the origin's load to fall, before the
    /// change is rolled back.
    #[garde(range(min = 1, max = MAX_DURATION_MS))]
    #[serde(default = "default_give_up_ms")]
    pub give_up_ms: u64,
}

fn default_margin() -> f64 {
    0.2
}
fn default_cold_from() -> f64 {
    0.25
}
fn default_warm_after_ms() -> u64 {
    20_000
}
fn default_fall_multiple() -> f64 {
    2.0
}
fn default_hold_ms() -> u64 {
    3_000
}
fn default_settle_ms() -> u64 {
    5_000
}
fn default_give_up_ms() -> u64 {
    30_000
}
fn default_share() -> u16 {
    FULL_SHARE
}

/// Checks that a name has only characters that need no escaping in lines of the protocol and of logs.
fn validate_name(name: &str, _: &()) -> garde::Result {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    if name.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(garde::Error::new("letters, digits and . _ : - only"))
    }
}

/// One node. As in [`SpecHeader`], field names are keys, and the order of fields is their order in messages.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct NodeSpec {
    /// The name, which identifies the node in successive versions.
    #[garde(length(min = 1, max = 64), custom(validate_name))]
    pub name: String,
    /// The distance from the origin, which is tier 0.
    #[garde(range(max = 7))]
    pub tier: u8,
    /// The names of the nodes that this node fills from.
    #[garde(length(max = 64))]
    #[serde(default)]
    pub sources: Vec<String>,
    /// The load that the node can take when it is warm, in requests per second.
    #[garde(range(min = 0.0, max = 1e9))]
    pub capacity: f64,
    /// The load from clients, in requests per second.
    #[garde(range(min = 0.0, max = 1e9))]
    #[serde(default)]
    pub demand: f64,
    /// The fraction of its requests that the node answers from its cache.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub hit: f64,
    /// The number of virtual nodes that the node takes in the ring of its tier, out of [`FULL_SHARE`].
    #[garde(range(max = FULL_SHARE))]
    #[serde(default = "default_share")]
    pub share: u16,
    /// The Unix time of the node's start in milliseconds; 0 if the node has been running for long and is warm.
    #[garde(skip)]
    #[serde(default)]
    pub since_ms: u64,
}

/// A complete version, in the form that events, messages and logs carry.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HierarchySpec {
    /// The settings of the hierarchy.
    #[serde(rename = "head")]
    pub header: SpecHeader,
    /// All nodes, including the origin.
    #[serde(rename = "nodes")]
    pub nodes: Vec<NodeSpec>,
}

/// Why a spec can't be converted to a version.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SpecError {
    /// Two nodes have the same name.
    #[error("{node}: two nodes have this name")]
    DuplicateNode {
        /// The name that both nodes have.
        node: String,
    },
    /// A node names a source that the spec does not define.
    #[error("{node}: no node is called {source_name}")]
    UnknownSource {
        /// The node that names the source.
        node: String,
        /// The name of the missing source.
        source_name: String,
    },
}

impl HierarchySpec {
    /// Converts a version to its serialized form.
    pub fn from_hierarchy(number: u64, version: &Hierarchy) -> HierarchySpec {
        let rules = &version.rules;
        let header = SpecHeader {
            version: number,
            ceiling: rules.ceiling,
            margin: rules.margin,
            cold_from: rules.slow_start_initial_share,
            warm_after_ms: rules.slow_start_window / NS_PER_MS,
            fall_multiple: rules.collapse_multiple,
            siblings: rules.allows_siblings,
            hold_ms: rules.drain_window / NS_PER_MS,
            settle_ms: rules.fill_window / NS_PER_MS,
            give_up_ms: rules.step_timeout / NS_PER_MS,
        };
        let nodes = version.iter().map(|(_, node)| NodeSpec {
            name: node.name.to_string(),
            tier: node.tier,
            sources: node.sources.iter().map(|source| version.node_name(*source).to_owned()).collect(),
            capacity: node.capacity,
            demand: node.demand,
            hit: node.hit_ratio,
            share: node.ring_share,
            since_ms: node.started_at / NS_PER_MS,
        });
        HierarchySpec { header, nodes: nodes.collect() }
    }

    /// Converts the spec to a version and returns it with its number. Nodes that `known` has keep their ids; others get
    /// new ones. Unchanged nodes are shared with `known`, so that comparing the two versions is cheap.
    ///
    /// # Errors
    /// Returns an error if two nodes have the same name, or if a source is not defined.
    pub fn to_hierarchy(&self, known: Option<&Hierarchy>) -> Result<(u64, Hierarchy), SpecError> {
        let ids = self.assign_ids(known)?;
        let rules = Arc::new(self.header.to_rules());
        let version = match known {
            Some(known) => known.with_rules(rules),
            None => Hierarchy::new((*rules).clone()),
        };
        let removed = version.iter().filter(|(_, node)| !ids.contains_key(&*node.name));
        let mut changes: Vec<(NodeId, Option<Arc<HierarchyNode>>)> =
            removed.map(|(id, _)| (id, None)).collect();
        for spec in &self.nodes {
            let node = spec.to_node(&ids)?;
            let id = ids[&*spec.name];
            if version.get(id).is_none_or(|known| **known != node) {
                changes.push((id, Some(Arc::new(node))));
            }
        }
        Ok((self.header.version, version.with_changes(changes)))
    }

    fn assign_ids(&self, known: Option<&Hierarchy>) -> Result<HashMap<&str, NodeId>, SpecError> {
        let mut next_id = known.and_then(|known| known.iter().last()).map_or(0, |(id, _)| id + 1);
        let mut ids: HashMap<&str, NodeId> = HashMap::new();
        for node in &self.nodes {
            let id = known.and_then(|known| known.node_id(&node.name)).unwrap_or_else(|| {
                next_id += 1;
                next_id - 1
            });
            if ids.insert(&node.name, id).is_some() {
                return Err(SpecError::DuplicateNode { node: node.name.clone() });
            }
        }
        Ok(ids)
    }
}

impl SpecHeader {
    fn to_rules(&self) -> HierarchyRules {
        HierarchyRules {
            ceiling: self.ceiling,
            margin: self.margin,
            slow_start_initial_share: self.cold_from,
            slow_start_window: self.warm_after_ms.saturating_mul(NS_PER_MS),
            collapse_multiple: self.fall_multiple,
            allows_siblings: self.siblings,
            drain_window: self.hold_ms.saturating_mul(NS_PER_MS),
            fill_window: self.settle_ms.saturating_mul(NS_PER_MS),
            step_timeout: self.give_up_ms.saturating_mul(NS_PER_MS),
        }
    }
}

impl NodeSpec {
    fn to_node(&self, ids: &HashMap<&str, NodeId>) -> Result<HierarchyNode, SpecError> {
        let source_id = |source: &String| {
            ids.get(&**source).copied().ok_or_else(|| SpecError::UnknownSource {
                node: self.name.clone(),
                source_name: source.clone(),
            })
        };
        Ok(HierarchyNode {
            name: self.name.as_str().into(),
            tier: self.tier,
            sources: self.sources.iter().map(source_id).collect::<Result<Vec<_>, _>>()?.into(),
            capacity: self.capacity,
            demand: self.demand,
            hit_ratio: self.hit,
            ring_share: self.share,
            started_at: self.since_ms.saturating_mul(NS_PER_MS),
        })
    }
}
