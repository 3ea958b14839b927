//! Leader election: the lease of the leader, and the fencing of older leaders.

use std::collections::VecDeque;

use sablecross_coordination::{CandidateAction, FencingToken, Ns};

use super::ReplicaGroup;
use super::replication::LeaderState;
use crate::action::Action;
use crate::error::PublishError;
use crate::messages::PeerCall;

impl ReplicaGroup {
    /// Performs the candidate's actions. Requests to the voter of this process are answered at once, and the answer
    /// may lead to further actions.
    pub(super) fn apply_lease_actions(&mut self, now: Ns, actions: Vec<CandidateAction>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                CandidateAction::Send(voter, request) if voter == self.index => {
                    if let Some(reply) = self.voter.on_request(now, request) {
                        actions.extend(self.candidate.on_reply(now, voter, reply));
                    }
                }
                CandidateAction::Send(voter, request) => {
                    self.call(voter, PeerCall::Lease(request));
                }
                CandidateAction::Acquired(token) => match self.admit_token(token) {
                    Err(newer) => actions.extend(self.candidate.on_rejected(now, newer.term)),
                    Ok(()) => {
                        self.leading = Some(LeaderState::new(token, self.config.voter_names.len(), now));
                    }
                },
                CandidateAction::Ended { .. } => self.step_down(),
            }
        }
    }

    /// Stops leading, if this voter leads. Publishers whose events are not committed learn that the outcome is
    /// unknown.
    fn step_down(&mut self) {
        let Some(leading) = self.leading.take() else { return };
        for ticket in leading.tickets.into_values().flatten() {
            let result = Err(PublishError::LeadershipLost);
            self.actions.push(Action::Published { ticket, result });
        }
        if leading.is_announced {
            self.actions.push(Action::LeadershipLost(leading.token));
        }
    }

    /// Steps down because a newer leader is known.
    pub(super) fn on_newer_leader(&mut self, now: Ns, newer: FencingToken) {
        self.voter.observe_term(newer.term);
        let actions = self.candidate.on_rejected(now, newer.term);
        self.apply_lease_actions(now, actions);
        self.step_down();
    }

    /// Accepts a leader's token, or returns the newest accepted token if that is of a later term, or of the same term
    /// and another holder.
    fn admit_token(&mut self, token: FencingToken) -> Result<(), FencingToken> {
        let admitted = self.guard.admit(token).map_err(|stale| stale.highest);
        self.voter.observe_term(self.guard.highest().term);
        if self.config.safety_checks.fencing { admitted } else { Ok(()) }
    }

    /// Accepts the token of another leader as `admit_token` does, and steps down if this voter leads under an older
    /// one.
    pub(super) fn admit_leader(&mut self, now: Ns, token: FencingToken) -> Result<(), FencingToken> {
        self.admit_token(token)?;
        let leads_with_other_token = self.leading.as_ref().is_some_and(|leading| leading.token != token);
        if self.config.safety_checks.fencing && leads_with_other_token {
            self.on_newer_leader(now, token);
        }
        Ok(())
    }
}
