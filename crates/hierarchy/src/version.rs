//! One version of the hierarchy. Its maps are persistent, so that a clone only increments reference counts.

use std::sync::{Arc, OnceLock};

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use sablecross::Ns;

/// The number of a node. A node keeps its number in successive versions; another process may number nodes differently.
pub type NodeId = u32;

/// The number of virtual nodes that a node takes in the hash ring of its tier when it takes its full share.
pub const FULL_SHARE: u16 = 256;

/// The fraction of its collapse load that a cold node may get. Slow start in the crate `sablecross` uses the same
/// fraction.
pub const COLD_LOAD_FRACTION: f64 = 0.5;

/// The settings that apply to a whole hierarchy and to its changes. Durations are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct HierarchyRules {
    /// The maximum load of the origin, in fetches per second.
    pub ceiling: f64,
    /// The fraction of `ceiling` that plans leave unused.
    pub margin: f64,
    /// The warmth of a node that has just started, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// The time from a node's start until it is warm.
    pub slow_start_window: Ns,
    /// The load at which a cold node collapses, as a multiple of its capacity times its warmth.
    pub collapse_multiple: f64,
    /// Whether a node may fill from a node of its own tier.
    pub allows_siblings: bool,
    /// The longest time that a request is in flight. A version stays in use for this time after a newer one was applied.
    pub drain_window: Ns,
    /// The time until the objects of a moved part of a ring are filled.
    pub fill_window: Ns,
    /// The longest time that a step waits for participants, or for the origin's load to fall, before the change is
    /// rolled back.
    pub step_timeout: Ns,
}

/// An origin or a cache node in one version.
#[derive(Clone, Debug, PartialEq)]
pub struct HierarchyNode {
    /// The name, which identifies the node across processes.
    pub name: Arc<str>,
    /// The distance from the origin, which is tier 0.
    pub tier: u8,
    /// The nodes that this node fills from. Those of the highest tier are preferred, and their hash ring distributes the
    /// objects among them; the next lower tier is used when none of them is up.
    pub sources: Arc<[NodeId]>,
    /// The load that the node can take when it is warm, in requests per second.
    pub capacity: f64,
    /// The load from clients, in requests per second.
    pub demand: f64,
    /// The fraction of its requests that the node answers from its cache.
    pub hit_ratio: f64,
    /// The number of virtual nodes that the node takes in the ring of its tier, out of [`FULL_SHARE`].
    pub ring_share: u16,
    /// The Unix time of the node's start in nanoseconds; 0 if the node has been running for long and is warm.
    pub started_at: Ns,
}

impl HierarchyNode {
    /// Whether the node is an origin.
    pub fn is_origin(&self) -> bool {
        self.tier == 0
    }
}

/// A version of the hierarchy: its settings and its nodes. It is immutable; each change creates a new version.
#[derive(Clone, Debug)]
pub struct Hierarchy {
    /// The settings.
    pub rules: Arc<HierarchyRules>,
    nodes: OrdMap<NodeId, Arc<HierarchyNode>>,
    ids: OrdMap<Arc<str>, NodeId>,
    /// The content hash, computed once and shared by all clones.
    digest: Arc<OnceLock<u64>>,
}

/// A node that differs between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeDifference {
    /// The number of the node.
    pub node: NodeId,
    /// The node in the earlier version, if that version has it.
    pub before: Option<Arc<HierarchyNode>>,
    /// The node in the later version, if that version has it.
    pub after: Option<Arc<HierarchyNode>>,
}

impl PartialEq for Hierarchy {
    fn eq(&self, other: &Self) -> bool {
        // Only clones of the same version share the allocation of their digest.
        Arc::ptr_eq(&self.digest, &other.digest)
            || self.rules == other.rules && self.nodes.diff(&other.nodes).next().is_none()
    }
}

impl Hierarchy {
    /// Creates a version without nodes.
    pub fn new(rules: HierarchyRules) -> Self {
        Hierarchy { rules: Arc::new(rules), nodes: OrdMap::new(), ids: OrdMap::new(), digest: Arc::default() }
    }

    /// Returns a version with the same nodes and these settings.
    pub fn with_rules(&self, rules: Arc<HierarchyRules>) -> Self {
        Hierarchy { rules, digest: Arc::default(), ..self.clone() }
    }

    /// Returns a version in which this node is added, or replaces the one with the same id.
    pub fn with_node(&self, id: NodeId, node: impl Into<Arc<HierarchyNode>>) -> Self {
        let mut next = self.clone();
        next.insert(id, node.into());
        next
    }

    /// Returns a version without this node.
    pub fn without_node(&self, id: NodeId) -> Self {
        let mut next = self.clone();
        next.remove(id);
        next
    }

    /// Returns a version with these changes: `Some` adds or replaces a node, `None` removes it.
    pub fn with_changes(
        &self,
        changes: impl IntoIterator<Item = (NodeId, Option<Arc<HierarchyNode>>)>,
    ) -> Self {
        let mut next = self.clone();
        for (id, node) in changes {
            match node {
                Some(node) => next.insert(id, node),
                None => next.remove(id),
            }
        }
        next
    }

    fn insert(&mut self, id: NodeId, node: Arc<HierarchyNode>) {
        self.digest = Arc::default();
        self.ids.insert(Arc::clone(&node.name), id);
        self.nodes.insert(id, node);
    }

    fn remove(&mut self, id: NodeId) {
        self.digest = Arc::default();
        if let Some(node) = self.nodes.remove(&id) {
            self.ids.remove(&node.name);
        }
    }

    /// The node with this id.
    pub fn get(&self, id: NodeId) -> Option<&Arc<HierarchyNode>> {
        self.nodes.get(&id)
    }

    /// The id of the node with this name.
    pub fn node_id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// The name of a node, or `?` if it is not in the version.
    pub fn node_name(&self, id: NodeId) -> &str {
        self.get(id).map_or("?", |node| &node.name)
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the version has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// A name that two nodes have, if there is one.
    pub fn duplicate_name(&self) -> Option<&str> {
        if self.ids.len() == self.nodes.len() {
            return None;
        }
        let mut nodes = self.iter();
        nodes.find(|(id, node)| self.node_id(&node.name) != Some(*id)).map(|(_, node)| &*node.name)
    }

    /// Iterates over all nodes in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Arc<HierarchyNode>)> {
        self.nodes.iter().map(|(id, node)| (*id, node))
    }

    /// The nodes that a node may fill from: those of its sources that are in the version and take virtual nodes.
    pub fn active_sources(&self, id: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        let sources = self.get(id).map(|node| &node.sources[..]).unwrap_or_default();
        sources.iter().copied().filter(|source| self.get(*source).is_some_and(|node| node.ring_share > 0))
    }

    /// The nodes that differ between this version and a later one, in the order of their ids. Subtrees that both maps
    /// share are skipped.
    pub fn diff<'a>(&'a self, after: &'a Hierarchy) -> impl Iterator<Item = NodeDifference> + 'a {
        self.nodes.diff(&after.nodes).filter_map(|item| {
            let (node, before, after) = match item {
                DiffItem::Add(id, node) => (*id, None, Some(node)),
                DiffItem::Remove(id, node) => (*id, Some(node), None),
                DiffItem::Update { old: (id, old), new: (_, new) } => (*id, Some(old), Some(new)),
            };
            // Two nodes that were created separately may be equal, and are no difference then.
            (before != after).then(|| NodeDifference { node, before: before.cloned(), after: after.cloned() })
        })
    }

    /// A hash of the content that is the same in all processes (FNV-1a).
    pub fn digest(&self) -> u64 {
        *self.digest.get_or_init(|| self.compute_digest())
    }

    fn compute_digest(&self) -> u64 {
        let mut hash = FnvHash::default();
        let rules = &self.rules;
        for value in [rules.ceiling, rules.margin, rules.slow_start_initial_share, rules.collapse_multiple] {
            hash.write_f64(value);
        }
        hash.write_u64(rules.slow_start_window);
        hash.write_u64(u64::from(rules.allows_siblings));
        for value in [rules.drain_window, rules.fill_window, rules.step_timeout] {
            hash.write_u64(value);
        }
        // Nodes are hashed in the order of their names, because each process assigns its own ids.
        for (name, id) in &self.ids {
            if let Some(node) = self.get(*id) {
                self.hash_node(&mut hash, name, node);
            }
        }
        hash.0
    }

    fn hash_node(&self, hash: &mut FnvHash, name: &str, node: &HierarchyNode) {
        hash.write_str(name);
        for value in
            [u64::from(node.tier), u64::from(node.ring_share), node.started_at, node.sources.len() as u64]
        {
            hash.write_u64(value);
        }
        for value in [node.capacity, node.demand, node.hit_ratio] {
            hash.write_f64(value);
        }
        node.sources.iter().for_each(|source| hash.write_str(self.node_name(*source)));
    }
}

/// The 64-bit FNV-1a hash.
struct FnvHash(u64);

impl Default for FnvHash {
    fn default() -> Self {
        FnvHash(0xcbf2_9ce4_8422_2325)
    }
}

impl FnvHash {
    const PRIME: u64 = 0x0100_0000_01b3;
    /// Terminates each string, so that the boundary between two strings affects the hash. UTF-8 has no such byte.
    const STRING_TERMINATOR: u8 = 0xff;

    fn write_byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(Self::PRIME);
    }

    fn write_u64(&mut self, value: u64) {
        value.to_le_bytes().into_iter().for_each(|byte| self.write_byte(byte));
    }

    fn write_f64(&mut self, value: f64) {
        self.write_u64(value.to_bits());
    }

    fn write_str(&mut self, text: &str) {
        text.bytes().for_each(|byte| self.write_byte(byte));
        self.write_byte(Self::STRING_TERMINATOR);
    }
}
