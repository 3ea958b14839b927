//! Which member each target belongs to.

use sablecross::mix;

use crate::Member;

/// Assigns targets to members by weighted rendezvous hashing (Thaler, Ravishankar 1998): when one member joins or leaves,
/// only its own targets move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RendezvousShares {
    /// With its weight: a member of twice the weight gets twice the targets.
    members: Vec<(Member, f64)>,
}

impl RendezvousShares {
    /// Members with their weights. One whose weight is not a positive number gets no targets.
    pub fn from_weights(members: impl IntoIterator<Item = (Member, f64)>) -> RendezvousShares {
        let is_weighted = |(_, weight): &(Member, f64)| weight.is_finite() && *weight > 0.0;
        let mut members: Vec<_> = members.into_iter().filter(is_weighted).collect();
        members.sort_by_key(|(member, _)| *member);
        members.dedup_by_key(|(member, _)| member.number);
        RendezvousShares { members }
    }

    /// The member that a target belongs to. It depends on members' numbers, not on their incarnations: a member that
    /// restarts gets its targets back.
    pub fn owner(&self, target: u64) -> Option<Member> {
        let score = |(member, weight): &(Member, f64)| -weight / uniform(target, member.number).ln();
        let best = self.members.iter().max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(member, _)| *member)
    }
}

/// A hash of target and member as a number above 0 and below 1.
fn uniform(target: u64, member: u32) -> f64 {
    const BITS: u32 = f64::MANTISSA_DIGITS;
    let hash = mix(target ^ mix(u64::from(member))) >> (u64::BITS - BITS);
    (hash as f64 / (1u64 << BITS) as f64).max(f64::MIN_POSITIVE)
}
