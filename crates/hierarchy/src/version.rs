//! One version of the hierarchy.

use std::sync::{Arc, OnceLock};

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use sablecross::Ns;

/// A node's number; it stays the same for a name through all versions that follow one another.
pub type NodeId = u32;

/// All places of a member in the pie of its tier.
pub const FULL_SHARE: u16 = 256;

/// Part of the load at which a cold node falls that it is given, as the module has it.
pub const COLD_LOAD_FRACTION: f64 = 0.5;

/// What holds for a whole hierarchy and for its changes.
#[derive(Clone, Debug, PartialEq)]
pub struct HierarchyRules {
    /// Fetches a second that the origin may be asked for, and the part of it that plans keep free.
    pub ceiling: f64,
    pub margin: f64,
    /// Warmth of a node that has just begun, and how long it takes to be warm.
    pub slow_start_initial_share: f64,
    pub slow_start_window: Ns,
    /// A cold node falls at this multiple of what its warmth bears.
    pub collapse_multiple: f64,
    /// Whether a node may fill from one of its own tier.
    pub allows_siblings: bool,
    /// The longest that a lookup is in hand: so long a version is still in use after a newer one came.
    pub drain_window: Ns,
    /// How long a moved slice takes to fill.
    pub fill_window: Ns,
    /// How long a step may wait for those that have to take it, or for calm, before it is taken back.
    pub step_timeout: Ns,
}

#[derive(Clone, Debug, PartialEq)]
pub struct HierarchyNode {
    pub name: Arc<str>,
    /// 0 is the origin; it counts away from it.
    pub tier: u8,
    /// Where it fills from. Those of the highest tier are asked first, by their pie; the next tier serves when
    /// none of these can.
    pub sources: Arc<[NodeId]>,
    /// Fetches a second that it bears when it is warm.
    pub capacity: f64,
    /// Lookups a second that clients bring it.
    pub demand: f64,
    /// Part of what it is asked for that it answers itself.
    pub hit_ratio: f64,
    /// Places that it takes in the pie of its tier, of `FULL`.
    pub ring_share: u16,
    /// When it began, in Unix time; 0: long ago.
    pub started_at: Ns,
}

impl HierarchyNode {
    pub fn is_origin(&self) -> bool {
        self.tier == 0
    }
}

#[derive(Clone, Debug)]
pub struct Hierarchy {
    pub rules: Arc<HierarchyRules>,
    members: OrdMap<NodeId, Arc<HierarchyNode>>,
    ids: OrdMap<Arc<str>, NodeId>,
    /// Reckoned once for all clones.
    digest: Arc<OnceLock<u64>>,
}

/// A node that two versions have differently.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeDifference {
    pub node: NodeId,
    pub before: Option<Arc<HierarchyNode>>,
    pub after: Option<Arc<HierarchyNode>>,
}

impl PartialEq for Hierarchy {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.digest, &other.digest)
            || self.rules == other.rules && self.members.diff(&other.members).next().is_none()
    }
}

impl Hierarchy {
    pub fn new(rules: HierarchyRules) -> Self {
        Hierarchy {
            rules: Arc::new(rules),
            members: OrdMap::new(),
            ids: OrdMap::new(),
            digest: Arc::default(),
        }
    }

    pub fn with_rules(&self, rules: Arc<HierarchyRules>) -> Self {
        Hierarchy { rules, digest: Arc::default(), ..self.clone() }
    }

    /// A version with this member; the one before is untouched.
    pub fn with_node(&self, node: NodeId, member: impl Into<Arc<HierarchyNode>>) -> Self {
        let mut next = self.clone();
        next.put(node, member.into());
        next
    }

    pub fn without_node(&self, node: NodeId) -> Self {
        let mut next = self.clone();
        next.drop(node);
        next
    }

    pub(crate) fn put(&mut self, node: NodeId, member: Arc<HierarchyNode>) {
        self.digest = Arc::default();
        self.ids.insert(Arc::clone(&member.name), node);
        self.members.insert(node, member);
    }

    fn drop(&mut self, node: NodeId) {
        self.digest = Arc::default();
        if let Some(member) = self.members.remove(&node) {
            self.ids.remove(&member.name);
        }
    }

    /// Sets each of these nodes as it is after, or takes it out.
    pub fn with_changes(
        &self,
        changes: impl IntoIterator<Item = (NodeId, Option<Arc<HierarchyNode>>)>,
    ) -> Self {
        let mut next = self.clone();
        for (node, after) in changes {
            match after {
                Some(member) => next.put(node, member),
                None => next.drop(node),
            }
        }
        next
    }

    pub fn get(&self, node: NodeId) -> Option<&Arc<HierarchyNode>> {
        self.members.get(&node)
    }

    pub fn node_id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    pub fn node_name(&self, node: NodeId) -> &str {
        self.get(node).map_or("?", |m| &m.name)
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }
    /// A name that two of its nodes have.
    pub fn duplicate_name(&self) -> Option<&str> {
        if self.ids.len() == self.members.len() {
            return None;
        }
        self.iter().find(|(id, m)| self.node_id(&m.name) != Some(*id)).map(|(_, m)| &*m.name)
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All members by their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Arc<HierarchyNode>)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    /// Whom a node may be sent on to: its sources that are in this version and have a place in their pie.
    pub fn active_sources(&self, node: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        let sources = self.get(node).map(|m| &m.sources[..]).unwrap_or_default();
        sources.iter().copied().filter(|s| self.get(*s).is_some_and(|m| m.ring_share > 0))
    }

    /// What differs, in the order of the numbers; parts that both share are passed over.
    pub fn diff<'a>(&'a self, after: &'a Hierarchy) -> impl Iterator<Item = NodeDifference> + 'a {
        self.members.diff(&after.members).filter_map(|item| {
            let (node, before, after) = match item {
                DiffItem::Add(id, m) => (*id, None, Some(m)),
                DiffItem::Remove(id, m) => (*id, Some(m), None),
                DiffItem::Update { old: (id, old), new: (_, new) } => (*id, Some(old), Some(new)),
            };
            // Two members made apart may say the same.
            (before != after).then(|| NodeDifference { node, before: before.cloned(), after: after.cloned() })
        })
    }

    /// A number that is the same for the same content, whoever reckons it (FNV-1a).
    pub fn digest(&self) -> u64 {
        *self.digest.get_or_init(|| self.reckon())
    }

    fn reckon(&self) -> u64 {
        let mut h = Digest(0xcbf2_9ce4_8422_2325);
        let r = &self.rules;
        for x in [r.ceiling, r.margin, r.slow_start_initial_share, r.collapse_multiple] {
            h.eat(x.to_bits());
        }
        for x in
            [r.slow_start_window, u64::from(r.allows_siblings), r.drain_window, r.fill_window, r.step_timeout]
        {
            h.eat(x);
        }
        // By name: numbers are given out by each holder for itself.
        for (name, id) in &self.ids {
            let Some(m) = self.get(*id) else { continue };
            h.text(name);
            for x in [u64::from(m.tier), u64::from(m.ring_share), m.started_at, m.sources.len() as u64] {
                h.eat(x);
            }
            for x in [m.capacity, m.demand, m.hit_ratio] {
                h.eat(x.to_bits());
            }
            m.sources.iter().for_each(|s| h.text(self.node_name(*s)));
        }
        h.0
    }
}

struct Digest(u64);

impl Digest {
    fn byte(&mut self, b: u8) {
        self.0 = (self.0 ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }

    fn eat(&mut self, x: u64) {
        x.to_le_bytes().into_iter().for_each(|b| self.byte(b));
    }

    fn text(&mut self, text: &str) {
        text.bytes().for_each(|b| self.byte(b));
        self.byte(0xff);
    }
}
