//! Consistent hashing: which member of a ring owns an object.
//!
//! The owners depend on the members alone and not on the order in which they came, so all directors agree on them,
//! and a restart of a director changes none.

mod virtual_nodes;

use std::collections::BTreeSet;

use virtual_nodes::{VirtualNode, VirtualNodes};

/// The number of virtual nodes of a member that withholds none. The segments of a member are then small and border on
/// segments of all other members, so that its loss burdens all others alike and a new member takes its share from all.
pub const VIRTUAL_NODES: u16 = 256;

/// A ring is built anew if more members change than its members divided by this number, since a member costs less
/// in a whole build than in a change.
const REBUILD_DIVISOR: usize = 4;

/// The number of distinct values of [`unit_fraction`]. All versions have to use the same number.
const FRACTION_STEPS: u64 = 1024;

/// The sort key of a node: a hash of its name alone (FNV-1a), which is the same in all directors.
pub fn rank(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Hashes a number to a number (SplitMix64). The result is part of the protocol between directors of different
/// versions.
pub fn split_mix64(x: u64) -> u64 {
    let mut z = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The position of a part of an object on the ring of caches.
pub fn cache_position(object: u64, part: u32) -> u64 {
    split_mix64(object ^ split_mix64(u64::from(part)))
}

/// The position of an object on the ring of parents. All parts of the object share it.
pub fn parent_position(object: u64) -> u64 {
    split_mix64(!object)
}

/// A fraction in [0, 1) that depends only on the key. It replaces a random number where all directors, or all
/// decisions at the same time, have to use the same value.
pub(crate) fn unit_fraction(key: u64) -> f64 {
    (split_mix64(key) % FRACTION_STEPS) as f64 / FRACTION_STEPS as f64
}

/// A member of a hash ring. Members are ordered by their fields, in the order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingMember {
    /// The key that places the member on the ring; see [`rank`].
    pub rank: u64,
    /// The caller's index of the member.
    pub node: usize,
    /// How many of its [`VIRTUAL_NODES`] the member leaves to other members.
    pub withheld_virtual_nodes: u16,
}

/// A ring of members, each with many virtual nodes. A position belongs to the member whose virtual node is nearest,
/// in either direction. If a member is lost, each of its segments is therefore divided between the two neighbours. The
/// neighbours are the same whether the member is ejected, cold or removed from the list, so a loss moves a position
/// only once.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    /// Sorted.
    members: Vec<RingMember>,
    virtual_nodes: VirtualNodes,
}

impl HashRing {
    /// Builds the ring of these members. Callers that have to agree on the owners give the members distinct ranks, or
    /// the same indices.
    pub fn build(mut members: Vec<RingMember>) -> HashRing {
        members.sort_unstable();
        let virtual_nodes = VirtualNodes::build(members.iter().flat_map(virtual_nodes_of));
        HashRing { members, virtual_nodes }
    }

    /// Removes and adds members. The cost depends on their number, and hardly on the number of those that stay. The
    /// ring is the same as one that is built of the resulting members.
    pub fn update(&mut self, removed: &[RingMember], added: &[RingMember]) {
        if REBUILD_DIVISOR * (removed.len() + added.len()) > self.members.len() {
            return self.rebuild(removed, added);
        }
        removed.iter().for_each(|member| self.remove(member));
        added.iter().for_each(|member| self.insert(*member));
    }

    /// Builds the ring anew, in the memory of the present one.
    fn rebuild(&mut self, removed: &[RingMember], added: &[RingMember]) {
        let HashRing { mut members, virtual_nodes } = std::mem::take(self);
        drop(virtual_nodes);
        let removed: BTreeSet<&RingMember> = removed.iter().collect();
        members.retain(|member| !removed.contains(member));
        members.extend(added);
        *self = HashRing::build(members);
    }

    fn insert(&mut self, member: RingMember) {
        let place = self.members.partition_point(|other| *other < member);
        self.members.insert(place, member);
        virtual_nodes_of(&member).for_each(|virtual_node| self.virtual_nodes.insert(virtual_node));
    }

    fn remove(&mut self, member: &RingMember) {
        let Ok(place) = self.members.binary_search(member) else { return };
        self.members.remove(place);
        virtual_nodes_of(member).for_each(|virtual_node| self.virtual_nodes.remove(virtual_node));
    }

    /// The members, sorted.
    pub fn members(&self) -> &[RingMember] {
        &self.members
    }

    /// The indices of the members, in the order of [`HashRing::members`].
    pub(crate) fn nodes(&self) -> impl Iterator<Item = usize> {
        self.members.iter().map(|member| member.node)
    }

    /// The members by the distance of their virtual nodes from a position, the nearest first. Each member appears
    /// once for each of its virtual nodes.
    pub fn walk_from(&self, position: u64) -> impl Iterator<Item = usize> {
        self.virtual_nodes.walk_from(position)
    }

    /// The member that owns a position, whatever its state.
    pub(crate) fn primary(&self, position: u64) -> Option<usize> {
        self.walk_from(position).next()
    }

    /// The member that owns a position if only eligible members count.
    pub fn owner(&self, position: u64, is_eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let any_eligible = self.nodes().any(&is_eligible);
        any_eligible.then(|| self.walk_from(position).find(|&node| is_eligible(node)))?
    }
}

fn virtual_nodes_of(member: &RingMember) -> impl Iterator<Item = VirtualNode> + Clone + use<> {
    let &RingMember { rank, node, withheld_virtual_nodes } = member;
    let count = VIRTUAL_NODES.saturating_sub(withheld_virtual_nodes);
    let (start, node) = (split_mix64(rank), node as u32);
    (0..u64::from(count)).map(move |index| VirtualNode { position: split_mix64(start ^ index), node })
}
