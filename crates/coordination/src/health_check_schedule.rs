//! Decides when this member checks the health of which target.

use std::collections::{BTreeMap, BTreeSet};

use sablecross::split_mix64;

use crate::rendezvous_shares::RendezvousShares;
use crate::{Member, Ns};

#[derive(Clone, Copy, Debug)]
struct Target {
    is_own: bool,
    /// When the target was last observed, by any member.
    observed_at: Option<Ns>,
    /// When the target is checked next.
    due_at: Ns,
    /// When the outstanding check was sent.
    sent_at: Option<Ns>,
}

impl Target {
    fn next_wakeup(&self, check_timeout: Ns) -> Ns {
        let timeout = self.sent_at.map_or(Ns::MAX, |sent_at| sent_at + check_timeout);
        let due = if self.is_own { self.due_at } else { Ns::MAX };
        timeout.min(due)
    }
}

/// A health check that was not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimedOutCheck {
    /// The target that did not answer.
    pub(crate) target: u64,
    /// When the check was sent.
    pub(crate) sent_at: Ns,
}

/// Schedules the health checks so that each target is checked at a fixed interval across the fleet. Each target
/// belongs to one member at a time. A missed check is not made up for.
#[derive(Clone, Debug)]
pub(crate) struct HealthCheckSchedule {
    interval: Ns,
    timeout: Ns,
    seed: u64,
    targets: BTreeMap<u64, Target>,
    checks_sent: u64,
}

impl HealthCheckSchedule {
    /// Creates a schedule without targets. `seed` spreads the first checks and should differ between members.
    pub(crate) fn new(interval: Ns, timeout: Ns, seed: u64) -> HealthCheckSchedule {
        HealthCheckSchedule { interval, timeout, seed, targets: BTreeMap::new(), checks_sent: 0 }
    }

    /// The number of targets that belong to this member.
    pub(crate) fn own_target_count(&self) -> usize {
        self.targets.values().filter(|target| target.is_own).count()
    }

    /// The number of checks sent.
    pub(crate) fn checks_sent(&self) -> u64 {
        self.checks_sent
    }

    /// Returns when the next check is due or times out.
    pub(crate) fn next_wakeup(&self) -> Ns {
        self.targets.values().map(|target| target.next_wakeup(self.timeout)).min().unwrap_or(Ns::MAX)
    }

    /// Replaces the set of targets. The first checks of new targets are spread over the interval.
    pub(crate) fn update_targets(&mut self, now: Ns, targets: &BTreeSet<u64>) {
        self.targets.retain(|target, _| targets.contains(target));
        for target in targets {
            let due_at = now + split_mix64(target ^ self.seed) % self.interval.max(1);
            let new = Target { is_own: false, observed_at: None, due_at, sent_at: None };
            self.targets.entry(*target).or_insert(new);
        }
    }

    /// Assigns the targets to `members`. A target that newly belongs to this member is checked one interval after any
    /// member last observed it, and not before `not_before`. By that time this member has received the observations
    /// of others, even if it was disconnected from them.
    pub(crate) fn assign(&mut self, members: &[Member], me: Member, not_before: Ns) {
        let shares = RendezvousShares::from_weights(members.iter().map(|member| (*member, 1.0)));
        for (id, target) in &mut self.targets {
            let is_own = shares.owner(*id) == Some(me);
            if is_own && !target.is_own {
                let due_at = target.observed_at.map_or(target.due_at, |at| at + self.interval);
                target.due_at = due_at.max(not_before);
            }
            target.is_own = is_own;
        }
    }

    /// Handles an observation of the target that a voter passed on. This member's own observations also come back
    /// from the voters, with a short delay. To ignore them, an observation has to be newer than the last known one by
    /// more than a quarter of the interval.
    pub(crate) fn on_observation(&mut self, target: u64, at: Ns) {
        let max_echo_delay = self.interval / 4;
        let is_newer =
            |target: &&mut Target| target.observed_at.is_none_or(|last| last + max_echo_delay < at);
        if let Some(target) = self.targets.get_mut(&target).filter(is_newer) {
            target.observed_at = Some(at);
            target.due_at = target.due_at.max(at + self.interval);
        }
    }

    /// Takes the targets whose check is due. The caller sends a check to each.
    pub(crate) fn take_due(&mut self, now: Ns) -> Vec<u64> {
        let mut due = Vec::new();
        for (id, target) in &mut self.targets {
            if target.is_own && target.sent_at.is_none() && now >= target.due_at {
                target.sent_at = Some(now);
                target.due_at = (target.due_at + self.interval).max(now + self.interval / 2);
                due.push(*id);
            }
        }
        self.checks_sent += due.len() as u64;
        due
    }

    /// Postpones the checks that are due, because this member has no valid assignment or is about to stop.
    pub(crate) fn postpone_due(&mut self, now: Ns) {
        for target in self.targets.values_mut().filter(|target| now >= target.due_at) {
            target.due_at = now + self.interval / 4;
        }
    }

    /// Records that the target answered. Returns whether a check was outstanding.
    pub(crate) fn on_answer(&mut self, now: Ns, target: u64) -> bool {
        let Some(target) = self.targets.get_mut(&target) else { return false };
        let was_outstanding = target.sent_at.take().is_some();
        if was_outstanding {
            target.observed_at = Some(now);
        }
        was_outstanding
    }

    /// Records that the target rejected the check, which says nothing about its health.
    pub(crate) fn on_rejected(&mut self, target: u64) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.sent_at = None;
        }
    }

    /// Takes the outstanding checks that have timed out.
    pub(crate) fn take_timed_out(&mut self, now: Ns) -> Vec<TimedOutCheck> {
        let mut timed_out = Vec::new();
        for (id, target) in &mut self.targets {
            if let Some(sent_at) = target.sent_at.filter(|sent_at| now >= sent_at + self.timeout) {
                target.sent_at = None;
                target.observed_at = Some(sent_at);
                timed_out.push(TimedOutCheck { target: *id, sent_at });
            }
        }
        timed_out
    }
}
