//! Requests of other members and of operators to this member.

use thiserror::Error;

use super::Coordinator;
use crate::messages::{MemberStatus, Message, OwnLease, Reply, RoleId, RoleReport, RoleStatus};
use crate::{Action, LeaseRequest, Member, Ns, VoterNode};

/// A named successor waits for the round timeout divided by this before it acquires the lease, because the other
/// voters learn of the hand-over at about the same time.
const HAND_OVER_DELAYS_PER_ROUND: Ns = 5;

/// Why a proposal was rejected. Its text is sent in the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum ProposalError {
    #[error("member {} holds the role: ask there", .0.number)]
    HeldElsewhere(Member),
    #[error("nobody holds the role now: ask again")]
    NoHolder,
}

impl Coordinator {
    /// Handles a call of another member or of an operator.
    pub fn on_request(&mut self, now: Ns, from: Member, messages: &[Message]) -> Vec<Reply> {
        let mut replies = Vec::new();
        let mut voter_messages = Vec::new();
        for message in messages {
            match self.on_operator_message(now, message) {
                Some(reply) => replies.push(reply),
                None => voter_messages.push(message.clone()),
            }
        }
        let passes_to_voter = !self.is_displaced() && !voter_messages.is_empty();
        if let Some(node) = self.voter_node.as_mut().filter(|_| passes_to_voter) {
            replies.extend(node.on_messages(now, from, &voter_messages));
        }
        for message in &voter_messages {
            self.schedule_attempt_after_release(now, message);
        }
        replies
    }

    /// Returns the reply to an operator's message, or `None` if the message is for the voter.
    fn on_operator_message(&mut self, now: Ns, message: &Message) -> Option<Reply> {
        match message {
            Message::ShowStatus => Some(Reply::Status(self.status(now))),
            Message::HandOver { role, to } => {
                let started = self.hand_over(now, *role, *to);
                Some(Reply::HandOverStarted { role: *role, started })
            }
            Message::Propose { role, bytes } => {
                let result = self.propose(now, *role, bytes).map_err(|e| e.to_string());
                Some(Reply::ProposalResult { role: *role, result })
            }
            _ => None,
        }
    }

    fn propose(&mut self, now: Ns, role: RoleId, bytes: &[u8]) -> Result<(), ProposalError> {
        if self.token(now, role).is_some() {
            self.actions.push_back(Action::Proposal { role, bytes: bytes.to_vec() });
            return Ok(());
        }
        let status = self.voter_node.iter().flat_map(|node| node.role_status(now));
        let holder = status.filter(|status| status.role == role).find_map(|status| status.holder);
        Err(holder.map_or(ProposalError::NoHolder, |holder| ProposalError::HeldElsewhere(holder.member)))
    }

    fn schedule_attempt_after_release(&mut self, now: Ns, message: &Message) {
        if let Message::Lease { role, request: LeaseRequest::Release { to: Some(to), .. } } = message
            && *to == self.me
            && let Some(candidate) = self.candidates.get_mut(role)
        {
            candidate.schedule_attempt(now + self.config.round_timeout / HAND_OVER_DELAYS_PER_ROUND);
        }
    }

    fn status(&self, now: Ns) -> MemberStatus {
        let node = self.voter_node.as_ref();
        MemberStatus {
            member: self.me,
            voter: node.map(VoterNode::index),
            silent_for: node.map_or(0, |node| node.silent_for(now)),
            roles: self.role_status(now),
            assignment: self.assignment.clone(),
            assignment_valid_for: self.assignment_valid_until.saturating_sub(now),
            target_count: self.checks.own_target_count() as u32,
            checks_sent: self.checks.checks_sent(),
            stale_tokens_rejected: node.map_or(0, VoterNode::rejected_count),
            stale_assignments_ignored: self.stale_assignments_ignored,
            own_rejections: self.own_rejections,
            role_reports: self.role_reports.clone().into_iter().map(RoleReport::from).collect(),
        }
    }

    fn role_status(&self, now: Ns) -> Vec<RoleStatus> {
        let seen_by_voter = self.voter_node.iter().flat_map(|node| node.role_status(now));
        seen_by_voter
            .map(|status| RoleStatus { own_lease: self.own_lease(now, status.role), ..status })
            .collect()
    }

    fn own_lease(&self, now: Ns, role: RoleId) -> Option<OwnLease> {
        let candidate = self.candidates.get(&role)?;
        let (token, until) = (candidate.token(now)?, candidate.lease_until()?);
        Some(OwnLease { token, remaining: until.saturating_sub(now) })
    }
}
