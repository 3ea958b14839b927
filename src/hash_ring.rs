//! Consistent hashing: which member of a ring owns an object.
//!
//! All functions here are pure, so all directors agree on the owners, and a restart of a director changes none.

/// The number of virtual nodes of a member that withholds none. The segments of a member are then small and border on
/// segments of all other members, so that its loss burdens all others alike and a new member takes its share from all.
pub const VIRTUAL_NODES: u16 = 256;

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

/// One of the positions of a member on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VirtualNode {
    position: u64,
    node: usize,
}

/// A ring of members, each with many virtual nodes. A position belongs to the member whose virtual node is nearest,
/// in either direction. If a member is lost, each of its segments is therefore divided between the two neighbours. The
/// neighbours are the same whether the member is ejected, cold or removed from the list, so a loss moves a position
/// only once.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    members: Vec<RingMember>,
    virtual_nodes: Vec<VirtualNode>,
}

impl HashRing {
    /// Builds the ring of these members. Callers that have to agree on the owners pass the members in the same order
    /// or give them distinct ranks.
    pub fn build(members: Vec<RingMember>) -> HashRing {
        let mut virtual_nodes: Vec<VirtualNode> = members.iter().flat_map(virtual_nodes_of).collect();
        virtual_nodes.sort_unstable();
        HashRing { members, virtual_nodes }
    }

    /// The members as they were given to [`HashRing::build`].
    pub fn members(&self) -> &[RingMember] {
        &self.members
    }

    /// The indices of the members, in the order in which they were given to [`HashRing::build`].
    pub(crate) fn nodes(&self) -> impl Iterator<Item = usize> {
        self.members.iter().map(|member| member.node)
    }

    /// The members by the distance of their virtual nodes from a position, the nearest first. Each member appears
    /// once for each of its virtual nodes.
    pub fn walk_from(&self, position: u64) -> impl Iterator<Item = usize> {
        let count = self.virtual_nodes.len();
        let mut right = self.virtual_nodes.partition_point(|v| v.position < position);
        let mut left = right + count;
        (0..count).map(move |_| {
            let ahead = self.virtual_nodes[right % count].position.wrapping_sub(position);
            let behind = position.wrapping_sub(self.virtual_nodes[(left - 1) % count].position);
            if ahead < behind {
                right += 1;
                self.virtual_nodes[(right - 1) % count].node
            } else {
                left -= 1;
                self.virtual_nodes[left % count].node
            }
        })
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

fn virtual_nodes_of(member: &RingMember) -> impl Iterator<Item = VirtualNode> + use<> {
    let &RingMember { rank, node, withheld_virtual_nodes } = member;
    let count = VIRTUAL_NODES.saturating_sub(withheld_virtual_nodes);
    (0..u64::from(count))
        .map(move |index| VirtualNode { position: split_mix64(split_mix64(rank) ^ index), node })
}
