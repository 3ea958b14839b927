//! Determines which member each target belongs to.

use sablecross::split_mix64;

use crate::Member;

/// Assigns targets to members by weighted rendezvous hashing (Thaler, Ravishankar 1998). When a member joins or
/// leaves, only the targets of that member move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RendezvousShares {
    /// Each member with its weight. A member with twice the weight gets twice as many targets.
    members: Vec<(Member, f64)>,
}

impl RendezvousShares {
    /// Creates the shares from members and their weights. A member whose weight is not a positive finite number gets
    /// no targets.
    pub fn from_weights(members: impl IntoIterator<Item = (Member, f64)>) -> RendezvousShares {
        let is_weighted = |(_, weight): &(Member, f64)| weight.is_finite() && *weight > 0.0;
        let mut members: Vec<_> = members.into_iter().filter(is_weighted).collect();
        members.sort_by_key(|(member, _)| *member);
        members.dedup_by_key(|(member, _)| member.number);
        RendezvousShares { members }
    }

    /// Returns the member that a target belongs to. It depends on the numbers of members and not on their
    /// incarnations, so that a restarted member gets its targets back.
    pub fn owner(&self, target: u64) -> Option<Member> {
        let score =
            |(member, weight): &(Member, f64)| -weight / unit_interval_hash(target, member.number).ln();
        let best = self.members.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(member, _)| *member)
    }
}

/// Hashes the target and the member to a number between 0 and 1, both excluded.
fn unit_interval_hash(target: u64, member: u32) -> f64 {
    const BITS: u32 = f64::MANTISSA_DIGITS;
    let hash = split_mix64(target ^ split_mix64(u64::from(member))) >> (u64::BITS - BITS);
    (hash as f64 / (1u64 << BITS) as f64).max(f64::MIN_POSITIVE)
}
