//! The path of an object's fill through a version.
//!
//! Each tier is a hash ring ([`HashRing`] of the crate `sablecross`), so nodes with the same usable sources fill an
//! object from the same source.

use std::collections::BTreeMap;

use sablecross::{HashRing, RingMember, rank};

use crate::version::{FULL_SHARE, Hierarchy, NodeId};

/// The maximum number of nodes on a path. A longer path is truncated. Settings files have the tiers 0 to 7, so a path can
/// be longer only if nodes fill from nodes of their own tier.
pub const MAX_PATH_LENGTH: usize = 16;

/// The hash rings of one version, one for each tier.
#[derive(Clone, Debug, Default)]
pub struct FillPaths {
    rings: BTreeMap<u8, HashRing>,
}

/// Why a node must not pass a fill on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillRejection {
    /// The fill has passed this node before.
    Loop,
    /// The fill has passed [`MAX_PATH_LENGTH`] nodes or more.
    TooLong,
}

impl FillPaths {
    /// Builds the rings of a version.
    pub fn from_hierarchy(version: &Hierarchy) -> FillPaths {
        let mut members: BTreeMap<u8, Vec<RingMember>> = BTreeMap::new();
        for (id, node) in version.iter() {
            let withheld_virtual_nodes = FULL_SHARE - node.ring_share.min(FULL_SHARE);
            let member = RingMember { rank: rank(&node.name), node: id as usize, withheld_virtual_nodes };
            members.entry(node.tier).or_default().push(member);
        }
        let rings = members.into_iter().map(|(tier, mut members)| {
            members.sort_unstable();
            (tier, HashRing::build(members))
        });
        FillPaths { rings: rings.collect() }
    }

    /// The source that a node fills an object from: of its usable sources of the highest tier, the one that owns the
    /// object's position on the ring. `None` if no source is usable.
    pub fn next_source(
        &self,
        version: &Hierarchy,
        node: NodeId,
        position: u64,
        is_usable: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        let sources: Vec<NodeId> = version.active_sources(node).filter(|source| is_usable(*source)).collect();
        let tier = |source: NodeId| version.get(source).map_or(0, |node| node.tier);
        let highest = sources.iter().map(|source| tier(*source)).max()?;
        let is_candidate =
            |index: usize| sources.iter().any(|&source| source as usize == index && tier(source) == highest);
        self.rings.get(&highest)?.owner(position, is_candidate).map(|index| index as NodeId)
    }

    /// The path of an object's fill from a node to the origin, or to the first node that has no usable source. The path
    /// does not include the node that it starts at, except in a version with a loop, where it ends before a node would
    /// repeat.
    pub fn path(
        &self,
        version: &Hierarchy,
        node: NodeId,
        position: u64,
        is_usable: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let mut path = Vec::new();
        let mut current = node;
        while path.len() < MAX_PATH_LENGTH {
            let next = self.next_source(version, current, position, &is_usable);
            let Some(next) = next.filter(|next| !path.contains(next)) else { break };
            path.push(next);
            current = next;
        }
        path
    }
}

/// Checks whether a node may forward a fill, given the names of the nodes that the fill has passed. This check stops
/// loops that no plan allows, which can occur if participants apply versions that are not successive.
///
/// # Errors
/// Returns the reason if the node must not forward the fill.
pub fn check_fill_path<'a>(
    own_name: &str,
    passed: impl Iterator<Item = &'a str>,
) -> Result<(), FillRejection> {
    let mut length = 0;
    for name in passed {
        if name == own_name {
            return Err(FillRejection::Loop);
        }
        length += 1;
    }
    if length >= MAX_PATH_LENGTH { Err(FillRejection::TooLong) } else { Ok(()) }
}
