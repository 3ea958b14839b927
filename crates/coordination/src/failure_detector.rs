//! Which members are alive, by their heartbeats.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Member, Ns};

/// A member is dead after this many mean intervals without a heartbeat: with one message in ten lost, one member in
/// 10^10 is declared dead by mistake.
const DEAD_AFTER_INTERVALS: f64 = 10.0;
/// The shortest silence that is a death, in nanoseconds.
const MIN_DEAD_AFTER: f64 = 2e9;
/// Bounds of the mean interval, in nanoseconds.
const MIN_MEAN_INTERVAL: f64 = 1e6;
const MAX_MEAN_INTERVAL: f64 = 5e8;
/// Weight of the newest interval in the moving mean.
const NEWEST_WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Heartbeats {
    last_at: Ns,
    mean_interval: f64,
}

/// Accrual failure detector (Hayashibara 2004) with an exponential tail instead of a normal distribution, as the pauses
/// of a stalled process are long.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    heartbeats: BTreeMap<Member, Heartbeats>,
    /// Members that announced their end.
    left: BTreeSet<Member>,
}

impl FailureDetector {
    /// Records a heartbeat. A new incarnation replaces the earlier ones of its number; a late heartbeat of an earlier one,
    /// or of a member that has left, is ignored.
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
        while let Some(earlier) = self.first_known(&incarnations).filter(|member| *member != from) {
            self.heartbeats.remove(&earlier);
        }
        let first = Heartbeats { last_at: now, mean_interval: MAX_MEAN_INTERVAL / 2.0 };
        let heartbeats = self.heartbeats.entry(from).or_insert(first);
        let interval = now.saturating_sub(heartbeats.last_at) as f64;
        let mean = heartbeats.mean_interval + NEWEST_WEIGHT * (interval - heartbeats.mean_interval);
        heartbeats.mean_interval = mean.clamp(MIN_MEAN_INTERVAL, MAX_MEAN_INTERVAL);
        heartbeats.last_at = now;
    }

    fn first_known(&self, incarnations: &std::ops::RangeInclusive<Member>) -> Option<Member> {
        self.heartbeats.range(incarnations.clone()).next().map(|(member, _)| *member)
    }

    /// Records that a member announced its end.
    pub fn record_leave(&mut self, member: Member) {
        if self.heartbeats.remove(&member).is_some() {
            self.left.insert(member);
        }
    }

    /// Whether the member announced its end.
    pub fn has_left(&self, member: Member) -> bool {
        self.left.contains(&member)
    }

    /// How likely the member is dead, by the length of its silence: it counts as dead from 1 on. Infinite for a member that
    /// was never heard of.
    pub fn suspicion_level(&self, now: Ns, member: Member) -> f64 {
        let Some(heartbeats) = self.heartbeats.get(&member) else { return f64::INFINITY };
        let dead_after = (DEAD_AFTER_INTERVALS * heartbeats.mean_interval).max(MIN_DEAD_AFTER);
        now.saturating_sub(heartbeats.last_at) as f64 / dead_after
    }

    /// All members that don't count as dead, in their order.
    pub fn alive_members(&self, now: Ns) -> Vec<Member> {
        self.heartbeats.keys().copied().filter(|member| self.suspicion_level(now, *member) < 1.0).collect()
    }
}
