//! Leases and registers of the roles for which this member is a candidate or the holder.

use std::collections::BTreeMap;

use super::{Assigner, Coordinator};
use crate::messages::{ASSIGNMENT_ROLE, AssignmentVersion, Message, RoleId};
use crate::register_replica::ReadValue;
use crate::register_writer::{RegisterAction, RegisterWriter};
use crate::{Action, CandidateAction, FencingToken, LeaseCandidate, LeaseEnd, LeaseReply, Ns, VoterNode};

const NS_PER_MS: Ns = 1_000_000;

impl Coordinator {
    /// Hands a role over to the voter with this member number, or to the next voter that is alive. Returns whether
    /// this member held the role.
    pub fn hand_over(&mut self, now: Ns, role: RoleId, to: Option<u32>) -> bool {
        let number = to.or_else(|| self.next_voter_alive());
        let to = self.assignment.members.iter().copied().find(|member| Some(member.number) == number);
        let candidate = self.candidates.get_mut(&role).filter(|candidate| candidate.token(now).is_some());
        let Some(candidate) = candidate else { return false };
        let actions = candidate.hand_over(now, to);
        self.handle_candidate_actions(now, role, actions);
        true
    }

    /// Prepares for the end of the process: hands over its roles, and announces to the voters that it leaves, so that
    /// its targets move to other members.
    pub fn leave(&mut self, now: Ns) {
        self.hand_over_all(now);
        if !self.is_displaced() {
            self.phase = super::Phase::Leaving;
        }
        self.candidates.clear();
        for voter in 0..self.config.voter_count() {
            self.send(now, voter, vec![Message::Leave]);
        }
    }

    /// Writes the register of a role that this member holds. [`Action::RegisterStored`] reports when a majority of
    /// the voters has stored the value.
    pub fn write_register(&mut self, now: Ns, role: RoleId, bytes: Vec<u8>) {
        if let Some(register) = self.registers.get_mut(&role) {
            let actions = register.write(now, bytes);
            self.handle_register_actions(now, role, actions);
        }
    }

    /// Creates a candidate for each role.
    pub(super) fn new_candidates(&self, now: Ns, voter: u32, seed: u64) -> BTreeMap<RoleId, LeaseCandidate> {
        let config = self.config.lease_config();
        let candidate = |(index, role): (usize, &RoleId)| {
            let rank = self.config.candidate_rank(voter, index);
            (*role, LeaseCandidate::new(self.me, rank, config, seed.rotate_left(index as u32), now))
        };
        self.config.roles.iter().enumerate().map(candidate).collect()
    }

    /// Replaces the existing candidates after this member has got another incarnation.
    pub(super) fn restart_candidates(&mut self, now: Ns) {
        let voter = self.voter_node.as_ref().map_or(0, VoterNode::index);
        let new = self.new_candidates(now, voter, self.me.incarnation);
        for (role, candidate) in new {
            if let Some(current) = self.candidates.get_mut(&role) {
                *current = candidate;
            }
        }
    }

    pub(super) fn hand_over_all(&mut self, now: Ns) {
        let roles: Vec<RoleId> = self.candidates.keys().copied().collect();
        for role in roles {
            self.hand_over(now, role, None);
        }
    }

    /// Ends all roles without handing them over.
    pub(super) fn drop_all_roles(&mut self, now: Ns) {
        let held_leases: Vec<(RoleId, u64)> = self
            .candidates
            .iter()
            .filter(|(_, candidate)| candidate.lease_until().is_some())
            .map(|(role, candidate)| (*role, candidate.token(now).map_or(0, |token| token.term)))
            .collect();
        for (role, term) in held_leases {
            self.on_role_lost(role, term, LeaseEnd::Rejected);
        }
        self.candidates.clear();
        self.registers.clear();
        self.assigner = None;
    }

    pub(super) fn step_candidates(&mut self, now: Ns) {
        let roles: Vec<RoleId> = self.candidates.keys().copied().collect();
        for role in roles {
            if let Some(candidate) = self.candidates.get_mut(&role) {
                let actions = candidate.step(now);
                self.handle_candidate_actions(now, role, actions);
            }
        }
    }

    pub(super) fn step_registers(&mut self, now: Ns) {
        let roles: Vec<RoleId> = self.registers.keys().copied().collect();
        for role in roles {
            if let Some(register) = self.registers.get_mut(&role) {
                let actions = register.step(now);
                self.handle_register_actions(now, role, actions);
            }
        }
    }

    pub(super) fn on_lease_reply(&mut self, now: Ns, voter: u32, role: RoleId, reply: LeaseReply) {
        if let Some(candidate) = self.candidates.get_mut(&role) {
            let actions = candidate.on_reply(now, voter, reply);
            self.handle_candidate_actions(now, role, actions);
        }
    }

    /// Handles the rejection of a token of this member. A late rejection that belongs to an earlier lease does not
    /// end the current one.
    pub(super) fn on_stale_token(&mut self, now: Ns, role: RoleId, highest: FencingToken) {
        self.own_rejections += 1;
        if self.token(now, role).is_some_and(|own| highest > own) {
            self.end_lease(now, role, highest.term);
        }
    }

    /// Ends the lease of a role because a higher term is known.
    pub(super) fn end_lease(&mut self, now: Ns, role: RoleId, highest_term: u64) {
        if let Some(candidate) = self.candidates.get_mut(&role) {
            let actions = candidate.on_rejected(now, highest_term);
            self.handle_candidate_actions(now, role, actions);
        }
    }

    pub(super) fn on_register_read(
        &mut self,
        now: Ns,
        voter: u32,
        role: RoleId,
        token: FencingToken,
        read: ReadValue,
    ) {
        if let Some(register) = self.registers.get_mut(&role) {
            let actions = register.on_read(now, voter, token, read);
            self.handle_register_actions(now, role, actions);
        }
    }

    pub(super) fn on_register_written(
        &mut self,
        now: Ns,
        voter: u32,
        role: RoleId,
        token: FencingToken,
        sequence: u64,
    ) {
        if let Some(register) = self.registers.get_mut(&role) {
            let actions = register.on_written(now, voter, token, sequence);
            self.handle_register_actions(now, role, actions);
        }
    }

    pub(super) fn handle_candidate_actions(&mut self, now: Ns, role: RoleId, actions: Vec<CandidateAction>) {
        for action in actions {
            match action {
                CandidateAction::Send(voter, request) => {
                    self.send(now, voter, vec![Message::Lease { role, request }]);
                }
                CandidateAction::Acquired(token) => self.on_role_acquired(now, role, token),
                CandidateAction::Ended { term, reason } => self.on_role_lost(role, term, reason),
            }
        }
    }

    pub(super) fn handle_register_actions(&mut self, now: Ns, role: RoleId, actions: Vec<RegisterAction>) {
        let Some(token) = self.registers.get(&role).map(RegisterWriter::token) else { return };
        for action in actions {
            let (voters, message) = match action {
                RegisterAction::Read(voters) => (voters, Message::ReadRegister { role, token }),
                RegisterAction::Write(voters, value) => (voters, Message::WriteRegister { role, value }),
                RegisterAction::Stored(value) => {
                    self.actions.push_back(Action::RegisterStored { role, value });
                    continue;
                }
            };
            for voter in voters.iter().filter(|voter| *voter < self.config.voter_count()).collect::<Vec<_>>()
            {
                self.send(now, voter, vec![message.clone()]);
            }
        }
    }

    fn on_role_acquired(&mut self, now: Ns, role: RoleId, token: FencingToken) {
        self.log(format!(
            "coordination lease acquired role={role} term={} at_ms={}",
            token.term,
            now / NS_PER_MS
        ));
        self.actions.push_back(Action::RoleAcquired { role, token });
        if role == ASSIGNMENT_ROLE {
            if let Some(node) = self.voter_node.as_mut() {
                node.adopt_assignment(&self.assignment);
            }
            let stored = vec![AssignmentVersion::default(); self.config.voters.len()];
            self.assigner = Some(Assigner { token, number: 0, next_at: now, stored });
        } else {
            let (voter_count, round_timeout) = (self.config.voter_count(), self.config.round_timeout);
            self.registers.insert(role, RegisterWriter::new(token, voter_count, round_timeout, now));
        }
    }

    fn on_role_lost(&mut self, role: RoleId, term: u64, reason: LeaseEnd) {
        self.log(format!("coordination lease ended role={role} term={term} reason={reason:?}"));
        self.actions.push_back(Action::RoleLost { role, term, reason });
        self.registers.remove(&role);
        self.publications.outgoing.remove(&role);
        self.role_reports.remove(&role);
        if role == ASSIGNMENT_ROLE {
            self.assigner = None;
        }
    }

    /// Returns the next voter in the configured order that is in the assignment.
    fn next_voter_alive(&self) -> Option<u32> {
        let own = self.voter_node.as_ref().map_or(0, |node| node.index() as usize);
        let voters = &self.config.voters;
        let others = (1..voters.len()).map(|offset| voters[(own + offset) % voters.len()]);
        let is_assigned = |number: u32| self.assignment.members.iter().any(|member| member.number == number);
        others.into_iter().find(|number| is_assigned(*number))
    }
}
