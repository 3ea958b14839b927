//! Sets of voters.

/// A set of voters by their index in the configured order, which is below [`VoterSet::CAPACITY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VoterSet(u64);

impl VoterSet {
    /// Only indexes below this can be in a set.
    pub(crate) const CAPACITY: u32 = 64;

    /// Returns the set of the first `count` voters, at most `CAPACITY` - 1 of them.
    pub(crate) fn first(count: u32) -> VoterSet {
        VoterSet((1u64 << count.min(Self::CAPACITY - 1)) - 1)
    }

    /// Adds a voter. An index beyond the capacity is ignored.
    pub(crate) fn insert(&mut self, voter: u32) {
        if voter < Self::CAPACITY {
            self.0 |= 1 << voter;
        }
    }

    /// Whether the voter is in the set.
    pub(crate) fn contains(self, voter: u32) -> bool {
        voter < Self::CAPACITY && self.0 >> voter & 1 == 1
    }

    /// The number of voters in the set.
    pub(crate) fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns the voters of this set that are not in `other`.
    pub(crate) fn without(self, other: VoterSet) -> VoterSet {
        VoterSet(self.0 & !other.0)
    }

    /// Whether the set contains more than half of `voter_count` voters.
    pub(crate) fn is_majority_of(self, voter_count: u32) -> bool {
        self.len() * 2 > voter_count
    }

    /// Returns the voters in ascending order.
    pub(crate) fn iter(self) -> impl Iterator<Item = u32> {
        (0..Self::CAPACITY).filter(move |voter| self.contains(*voter))
    }
}
