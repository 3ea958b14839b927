//! Making and following assignments, and the health checks that result from them.

use std::collections::BTreeSet;

use super::{Coordinator, Phase};
use crate::messages::{
    ASSIGNMENT_ROLE, Assignment, AssignmentVersion, HealthObservation, HealthState, Message,
};
use crate::{Action, FencingToken, Member, Ns};

impl Coordinator {
    /// Replaces the set of targets whose health the fleet checks.
    pub fn update_targets(&mut self, now: Ns, targets: &BTreeSet<u64>) {
        self.checks.update_targets(now, targets);
        self.update_own_targets(now);
    }

    /// Handles the result of a health check that carried `token`: the state of the target, or the newer token for
    /// which the target rejected the check.
    pub fn on_check_result(
        &mut self,
        now: Ns,
        target: u64,
        token: FencingToken,
        result: Result<HealthState, FencingToken>,
    ) {
        match result {
            Ok(state) => {
                if self.checks.on_answer(now, target) {
                    self.observe(HealthObservation { target, age: 0, state });
                }
            }
            Err(newest) => {
                self.own_rejections += 1;
                self.checks.on_rejected(target);
                self.on_newer_assignment(token, AssignmentVersion::from_token(newest));
            }
        }
    }

    /// A target has admitted a newer token than the one of the check. If the check was made under the current
    /// assignment, that assignment is no longer valid.
    fn on_newer_assignment(&mut self, token: FencingToken, newest: AssignmentVersion) {
        let is_current = token == self.assignment.version.token(self.me);
        if is_current && newest > self.assignment.version {
            self.assignment_valid_until = 0;
            self.newest_checked_term = self.newest_checked_term.max(newest.term);
        }
    }

    /// Updates which targets belong to this member. New ones are checked two heartbeat intervals from now at the
    /// earliest, when this member has received the observations of others.
    fn update_own_targets(&mut self, now: Ns) {
        let not_before = now + 2 * self.config.heartbeat_interval;
        self.checks.assign(&self.assignment.members, self.me, not_before);
    }

    pub(super) fn step_checks(&mut self, now: Ns) {
        for check in self.checks.take_timed_out(now) {
            let age = now.saturating_sub(check.sent_at);
            let state = HealthState::TimedOut;
            self.observe(HealthObservation { target: check.target, age, state });
        }
        if now >= self.assignment_valid_until || self.phase == Phase::Leaving {
            self.checks.postpone_due(now);
            return;
        }
        let token = self.assignment.version.token(self.me);
        for target in self.checks.take_due(now) {
            self.actions.push_back(Action::CheckHealth { target, token });
        }
    }

    fn observe(&mut self, observation: HealthObservation) {
        self.reports.observations.push(observation);
        self.actions.push_back(Action::HealthObservations(vec![observation]));
    }

    pub(super) fn on_health_observations(
        &mut self,
        now: Ns,
        voter: u32,
        up_to: u64,
        observations: Vec<HealthObservation>,
    ) {
        if let Some(sequence) = self.health_sequences.get_mut(voter as usize) {
            *sequence = up_to;
        }
        for observation in &observations {
            self.checks.on_observation(observation.target, now.saturating_sub(observation.age));
        }
        if !observations.is_empty() {
            self.actions.push_back(Action::HealthObservations(observations));
        }
    }

    /// Applies a change to the members of the current assignment.
    pub(super) fn changed_members(&self, joined: &[Member], left: &[Member]) -> Vec<Member> {
        let current = self.assignment.members.iter().copied();
        let mut members: Vec<Member> = current.filter(|member| !left.contains(member)).collect();
        members.extend(joined);
        members.sort_unstable();
        members
    }

    /// Applies an assignment from a voter if it is newer than the current one. Checks of targets that still belong to
    /// this member continue. The new assignment stays valid until the previous one would have expired, but no longer
    /// than if it had been confirmed now. It is not valid at all if it does not include this member.
    pub(super) fn on_assignment(&mut self, now: Ns, new: Assignment) {
        if new.version <= self.assignment.version {
            self.stale_assignments_ignored += u64::from(new.version < self.assignment.version);
            return;
        }
        let includes_me = new.members.contains(&self.me);
        if !includes_me {
            self.assignment_valid_until = 0;
        }
        let (count, count_before) = (new.members.len(), self.assignment.members.len());
        if count != count_before || self.has_joined != includes_me {
            self.log(format!(
                "coordination assignment changed term={} number={} assigner={} members={count} before={count_before}",
                new.version.term, new.version.number, new.assigner.number
            ));
        }
        self.has_joined |= includes_me;
        self.assignment = new;
        let valid_until = now + self.config.assignment_validity();
        self.assignment_valid_until = self.assignment_valid_until.min(valid_until);
        self.update_own_targets(now);
    }

    /// Extends the validity of the assignment, counted from when the call was made and not from when the reply
    /// arrived.
    pub(super) fn on_assignment_confirmed(&mut self, called_at: Ns, version: AssignmentVersion) {
        let is_own = version == self.assignment.version && self.assignment.members.contains(&self.me);
        if is_own {
            let valid_until = called_at + self.config.assignment_validity();
            self.assignment_valid_until = self.assignment_valid_until.max(valid_until);
        }
    }

    pub(super) fn on_assignment_stored(&mut self, voter: u32, version: AssignmentVersion) {
        if let Some(assigner) = self.assigner.as_mut()
            && let Some(stored) = assigner.stored.get_mut(voter as usize)
        {
            *stored = version;
        }
    }

    /// As the assigner, sends the assignment to voters that don't store its current version, and confirms it to the
    /// others.
    pub(super) fn step_assigner(&mut self, now: Ns) {
        let Some((token, assignment)) = self.next_assignment(now) else { return };
        let stored = self.assigner.as_ref().map(|assigner| assigner.stored.clone()).unwrap_or_default();
        for (voter, stored) in stored.into_iter().enumerate() {
            let message = if stored == assignment.version {
                Message::ConfirmAssignment { token, version: assignment.version }
            } else {
                Message::Assign(assignment.clone())
            };
            self.send(now, voter as u32, vec![message]);
        }
    }

    /// As the assigner, returns the assignment of targets to the members that are alive, if it is time to send one.
    /// It has a new version if the members have changed, or if this member's voter stores no assignment of this term
    /// yet.
    fn next_assignment(&mut self, now: Ns) -> Option<(FencingToken, Assignment)> {
        let current_token = self.token(now, ASSIGNMENT_ROLE);
        let assigner = self.assigner.as_mut().filter(|assigner| now >= assigner.next_at)?;
        assigner.next_at = now + self.config.heartbeat_interval;
        let token = assigner.token;
        let node = self.voter_node.as_ref()?;
        // Assignments are sent only while the lease is held. The guards of the voters would reject later ones.
        if current_token != Some(token) {
            return None;
        }
        let members = node.alive_members(now);
        let current = node.assignment();
        if current.version.term != token.term || current.members != members {
            assigner.number += 1;
        }
        let version = AssignmentVersion { term: token.term, number: assigner.number };
        Some((token, Assignment { version, assigner: token.holder, members }))
    }

    /// Gives up the assignment role if a target has admitted an assignment of a higher term.
    pub(super) fn end_superseded_assigner(&mut self, now: Ns) {
        let newest = self.newest_checked_term;
        if self.assigner.as_ref().is_some_and(|assigner| assigner.token.term < newest) {
            self.end_lease(now, ASSIGNMENT_ROLE, newest);
        }
    }
}
