//! The virtual nodes of a hash ring, sorted by position.
//!
//! They are kept in buckets, each of which holds an equal range of positions. Positions are hashes, so the buckets
//! hold about equally many virtual nodes, and a change of one virtual node moves only a few others. The number of
//! buckets follows the number of virtual nodes in large steps, as in a hash table.

use std::iter;

/// The mean number of virtual nodes in a bucket of a set that is built at once.
const BUILT_MEAN_LENGTH: usize = 16;
/// The mean number of virtual nodes in a bucket above which the number of buckets is doubled.
const MAX_MEAN_LENGTH: usize = 32;
/// The mean number of virtual nodes in a bucket below which the number of buckets is halved.
const MIN_MEAN_LENGTH: usize = 4;
/// The base-2 logarithm of the minimum number of buckets.
const MIN_BUCKET_BITS: u32 = 1;
/// A full bucket grows by its length divided by this number, so that little memory is unused.
const GROWTH_DIVISOR: usize = 8;
/// The minimum number of virtual nodes by which a full bucket grows.
const MIN_GROWTH: usize = 4;

/// One of the positions of a member on the ring. The packing saves a quarter of the memory of the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(Rust, packed(4))]
pub(super) struct VirtualNode {
    pub(super) position: u64,
    /// The caller's index of the member.
    pub(super) node: u32,
}

/// A set of virtual nodes, sorted by position and node.
#[derive(Clone, Debug)]
pub(super) struct VirtualNodes {
    /// The buckets, the number of which is a power of two.
    buckets: Vec<Vec<VirtualNode>>,
    /// The number of high bits of a position that are the index of its bucket.
    bucket_bits: u32,
    len: usize,
}

/// The virtual nodes by their distance from a position, the nearest first.
struct Walk<'a> {
    buckets: &'a [Vec<VirtualNode>],
    position: u64,
    remaining: usize,
    /// The bucket that the walk to the right has reached, and what is left of it.
    right_bucket: usize,
    right: &'a [VirtualNode],
    /// The bucket that the walk to the left has reached, and what is left of it.
    left_bucket: usize,
    left: &'a [VirtualNode],
}

impl Iterator for Walk<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.remaining = self.remaining.checked_sub(1)?;
        // The number of buckets is a power of two.
        let last_bucket = self.buckets.len() - 1;
        while self.right.is_empty() {
            self.right_bucket = (self.right_bucket + 1) & last_bucket;
            self.right = &self.buckets[self.right_bucket];
        }
        while self.left.is_empty() {
            self.left_bucket = self.left_bucket.wrapping_sub(1) & last_bucket;
            self.left = &self.buckets[self.left_bucket];
        }
        let (ahead, behind) = (self.right.first()?, self.left.last()?);
        let is_ahead_nearer =
            ahead.position.wrapping_sub(self.position) < self.position.wrapping_sub(behind.position);
        if is_ahead_nearer {
            self.right = &self.right[1..];
            Some(ahead.node as usize)
        } else {
            self.left = &self.left[..self.left.len() - 1];
            Some(behind.node as usize)
        }
    }
}

impl Default for VirtualNodes {
    fn default() -> Self {
        VirtualNodes::with_bucket_bits(MIN_BUCKET_BITS)
    }
}

impl VirtualNodes {
    fn with_bucket_bits(bucket_bits: u32) -> Self {
        VirtualNodes { buckets: vec![Vec::new(); 1 << bucket_bits], bucket_bits, len: 0 }
    }

    /// Builds the set of these virtual nodes, which are iterated twice.
    pub(super) fn build(virtual_nodes: impl Iterator<Item = VirtualNode> + Clone) -> Self {
        let len = virtual_nodes.clone().count();
        let bucket_bits = (len / BUILT_MEAN_LENGTH).max(1).ilog2().max(MIN_BUCKET_BITS);
        let mut set = VirtualNodes { len, ..VirtualNodes::with_bucket_bits(bucket_bits) };
        let mut lengths = vec![0; set.buckets.len()];
        for virtual_node in virtual_nodes.clone() {
            lengths[set.bucket_of(virtual_node.position)] += 1;
        }
        for (bucket, length) in set.buckets.iter_mut().zip(lengths) {
            bucket.reserve_exact(length);
        }
        for virtual_node in virtual_nodes {
            let bucket = set.bucket_of(virtual_node.position);
            set.buckets[bucket].push(virtual_node);
        }
        set.buckets.iter_mut().for_each(|bucket| bucket.sort_unstable());
        set
    }

    /// Adds a virtual node.
    pub(super) fn insert(&mut self, virtual_node: VirtualNode) {
        if self.len >= MAX_MEAN_LENGTH << self.bucket_bits {
            self.double_buckets();
        }
        let (index, place) = self.place_of(virtual_node);
        let bucket = &mut self.buckets[index];
        if bucket.len() == bucket.capacity() {
            bucket.reserve_exact((bucket.len() / GROWTH_DIVISOR).max(MIN_GROWTH));
        }
        bucket.insert(place, virtual_node);
        self.len += 1;
    }

    /// Removes a virtual node, if it is in the set.
    pub(super) fn remove(&mut self, virtual_node: VirtualNode) {
        let (index, place) = self.place_of(virtual_node);
        let bucket = &mut self.buckets[index];
        if bucket.get(place) != Some(&virtual_node) {
            return;
        }
        bucket.remove(place);
        self.len -= 1;
        if self.bucket_bits > MIN_BUCKET_BITS && self.len < MIN_MEAN_LENGTH << self.bucket_bits {
            self.halve_buckets();
        }
    }

    /// The members by the distance of their virtual nodes from a position, the nearest first.
    pub(super) fn walk_from(&self, position: u64) -> impl Iterator<Item = usize> {
        let (bucket, middle) = self.place_of(VirtualNode { position, node: 0 });
        let (left, right) = self.buckets[bucket].split_at(middle);
        Walk {
            buckets: &self.buckets,
            position,
            remaining: self.len,
            right_bucket: bucket,
            right,
            left_bucket: bucket,
            left,
        }
    }

    /// The bucket of a virtual node, and the number of virtual nodes in it that sort before. Positions are spread evenly
    /// over the range of a bucket, so a search from where the position would then stand ends after a few steps.
    fn place_of(&self, virtual_node: VirtualNode) -> (usize, usize) {
        let index = self.bucket_of(virtual_node.position);
        let bucket = &self.buckets[index];
        let offset_in_range = u128::from(virtual_node.position << self.bucket_bits);
        let mut place = ((offset_in_range * bucket.len() as u128) >> u64::BITS) as usize;
        while place > 0 && bucket[place - 1] >= virtual_node {
            place -= 1;
        }
        while place < bucket.len() && bucket[place] < virtual_node {
            place += 1;
        }
        (index, place)
    }

    fn bucket_of(&self, position: u64) -> usize {
        (position >> (u64::BITS - self.bucket_bits)) as usize
    }

    /// Divides each bucket at the middle of its range.
    fn double_buckets(&mut self) {
        self.bucket_bits += 1;
        let lower_end = |bucket: usize| ((2 * bucket as u64 + 1) << (u64::BITS - self.bucket_bits)) - 1;
        let divide = |(bucket, mut lower): (usize, Vec<VirtualNode>)| {
            let end = lower_end(bucket);
            let upper = lower.split_off(lower.partition_point(|other| other.position <= end));
            lower.shrink_to_fit();
            [lower, upper]
        };
        self.buckets = std::mem::take(&mut self.buckets).into_iter().enumerate().flat_map(divide).collect();
    }

    /// Joins each two neighbouring buckets.
    fn halve_buckets(&mut self) {
        self.bucket_bits -= 1;
        let mut buckets = std::mem::take(&mut self.buckets).into_iter();
        self.buckets = iter::from_fn(|| {
            let mut joined = buckets.next()?;
            joined.extend(buckets.next()?);
            Some(joined)
        })
        .collect();
    }
}
