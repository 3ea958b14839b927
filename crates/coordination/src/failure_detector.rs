//! Detects which members are alive by their heartbeats.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Member, Ns};

/// A member counts as dead after this many mean heartbeat intervals without a heartbeat. If one message in ten is lost,
/// a live member is declared dead by mistake with a probability of 10^-10.
const DEAD_AFTER_INTERVALS: f64 = 10.0;
/// A member never counts as dead after a shorter silence than this.
const MIN_DEAD_AFTER_NS: f64 = 2e9;
/// Bounds of the mean heartbeat interval.
const MIN_MEAN_INTERVAL_NS: f64 = 1e6;
const MAX_MEAN_INTERVAL_NS: f64 = 5e8;
/// Weight of the newest interval in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Heartbeats {
    last_at: Ns,
    mean_interval_ns: f64,
}

/// An accrual failure detector (Hayashibara 2004). It assumes that heartbeat intervals have an exponential tail instead
/// of a normal distribution, because the pauses of a stalled process are long.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    heartbeats: BTreeMap<Member, Heartbeats>,
    /// Members that have announced that they leave.
    left: BTreeSet<Member>,
}

impl FailureDetector {
    /// Records a heartbeat. A new incarnation replaces the earlier ones of its number. A late heartbeat of an earlier
    /// incarnation, or of a member that has left, is ignored.
    pub fn record_heartbeat(&mut self, now: Ns, from: Member) {
        let incarnations = Member { incarnation: 0, ..from }..=Member { incarnation: u64::MAX, ..from };
        let latest = self.heartbeats.range(incarnations.clone()).next_back();
        if latest.is_some_and(|(member, _)| member.incarnation > from.incarnation)
            || self.left.contains(&from)
        {
            return;
        }
        while let Some(earlier) = self.left.range(incarnations.clone()).next().copied() {
            self.left.remove(&earlier);
        }
        while let Some(earlier) = self.earliest_incarnation(&incarnations).filter(|member| *member != from) {
            self.heartbeats.remove(&earlier);
        }
        let first = Heartbeats { last_at: now, mean_interval_ns: MAX_MEAN_INTERVAL_NS / 2.0 };
        let heartbeats = self.heartbeats.entry(from).or_insert(first);
        let interval = now.saturating_sub(heartbeats.last_at) as f64;
        let mean = heartbeats.mean_interval_ns + NEWEST_WEIGHT * (interval - heartbeats.mean_interval_ns);
        heartbeats.mean_interval_ns = mean.clamp(MIN_MEAN_INTERVAL_NS, MAX_MEAN_INTERVAL_NS);
        heartbeats.last_at = now;
    }

    fn earliest_incarnation(&self, incarnations: &std::ops::RangeInclusive<Member>) -> Option<Member> {
        self.heartbeats.range(incarnations.clone()).next().map(|(member, _)| *member)
    }

    /// Records that a member has announced that it leaves.
    pub fn record_leave(&mut self, member: Member) {
        if self.heartbeats.remove(&member).is_some() {
            self.left.insert(member);
        }
    }

    /// Whether the member has announced that it leaves.
    pub fn has_left(&self, member: Member) -> bool {
        self.left.contains(&member)
    }

    /// Returns how long the member has been silent, relative to the silence after which it counts as dead: values of
    /// 1 and above mean dead. The level is infinite if no heartbeat of the member was ever received.
    pub fn suspicion_level(&self, now: Ns, member: Member) -> f64 {
        let Some(heartbeats) = self.heartbeats.get(&member) else { return f64::INFINITY };
        let dead_after_ns = (DEAD_AFTER_INTERVALS * heartbeats.mean_interval_ns).max(MIN_DEAD_AFTER_NS);
        now.saturating_sub(heartbeats.last_at) as f64 / dead_after_ns
    }

    /// Returns all members that don't count as dead, in ascending order.
    pub fn alive_members(&self, now: Ns) -> Vec<Member> {
        self.heartbeats.keys().copied().filter(|member| self.suspicion_level(now, *member) < 1.0).collect()
    }
}
