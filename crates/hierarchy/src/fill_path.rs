//! The way of an object through a version: at each tier the member of the pie at its place, so that the fills of one
//! object meet at one member of each tier from wherever they come. The pies are the module's.

use std::collections::BTreeMap;

use sablecross::{HashRing, RingMember, rank};

use crate::version::{FULL_SHARE, Hierarchy, NodeId};

/// Upper nodes that a way may pass; a longer one is cut, which no admitted version brings about.
pub const MAX_PATH_LENGTH: usize = 16;

/// The pies of one version, dealt once for it.
#[derive(Clone, Debug, Default)]
pub struct FillPaths {
    pies: BTreeMap<u8, HashRing>,
}

/// Why a node must not pass a fill on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillRejection {
    /// It has come through here before.
    Loop,
    /// It has come through too many nodes.
    TooLong,
}

impl FillPaths {
    pub fn from_hierarchy(version: &Hierarchy) -> FillPaths {
        let mut stands: BTreeMap<u8, Vec<RingMember>> = BTreeMap::new();
        for (id, m) in version.iter() {
            let withheld_virtual_nodes = FULL_SHARE - m.ring_share.min(FULL_SHARE);
            let member = RingMember { rank: rank(&m.name), node: id as usize, withheld_virtual_nodes };
            stands.entry(m.tier).or_default().push(member);
        }
        let deal = |(tier, mut stands): (u8, Vec<RingMember>)| {
            stands.sort_unstable();
            (tier, HashRing::build(stands))
        };
        FillPaths { pies: stands.into_iter().map(deal).collect() }
    }

    /// Where a node fills an object from, among those that are fit: its sources of the highest tier first, there
    /// the one that stands nearest to the object's place.
    pub fn next_source(
        &self,
        version: &Hierarchy,
        node: NodeId,
        place: u64,
        fit: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        let sources: Vec<NodeId> = version.active_sources(node).filter(|s| fit(*s)).collect();
        let tier = |s: &NodeId| version.get(*s).map_or(0, |m| m.tier);
        let nearest = sources.iter().map(tier).max()?;
        let pie = self.pies.get(&nearest)?;
        let of_tier = |m: usize| sources.iter().any(|s| *s as usize == m && tier(s) == nearest);
        pie.owner(place, of_tier).map(|m| m as NodeId)
    }

    /// The whole way of an object from a node on, without it, to the origin or as far as one leads.
    pub fn path(
        &self,
        version: &Hierarchy,
        node: NodeId,
        place: u64,
        fit: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let mut way = Vec::new();
        let mut at = node;
        while way.len() < MAX_PATH_LENGTH {
            let Some(next) = self.next_source(version, at, place, &fit).filter(|n| !way.contains(n)) else {
                break;
            };
            way.push(next);
            at = next;
        }
        way
    }
}

/// What a node does with a fill that says through whom it came: the second guard, should directors hold versions
/// that no plan brought about.
pub fn check_fill_path<'a>(own: &str, mut came: impl Iterator<Item = &'a str>) -> Result<(), FillRejection> {
    let mut length = 0;
    if came.by_ref().inspect(|_| length += 1).any(|n| n == own) {
        return Err(FillRejection::Loop);
    }
    if length >= MAX_PATH_LENGTH { Err(FillRejection::TooLong) } else { Ok(()) }
}
