//! Changes of the voters at run time.

use super::Coordinator;
use crate::messages::{AssignmentVersion, RoleId};
use crate::{Action, CoordinationConfig, LeaseCandidate, Ns, ReconfigureError, VoterNode};

impl Coordinator {
    /// Applies settings with one voter added or removed. This is safe because majorities of two sets that differ by
    /// one voter have a voter in common. The next change should wait until all members have applied this one, but
    /// the fencing guards reject stale tokens regardless.
    ///
    /// # Errors
    ///
    /// Returns [`ReconfigureError`] if more than one voter, or any other setting, has changed. Nothing is applied in
    /// that case.
    pub fn reconfigure(&mut self, now: Ns, config: CoordinationConfig) -> Result<(), ReconfigureError> {
        let (old, new) = (&self.config.voters, &config.voters);
        let left: Vec<u32> = old.iter().copied().filter(|voter| !new.contains(voter)).collect();
        let joined: Vec<u32> = new.iter().copied().filter(|voter| !old.contains(voter)).collect();
        if left.len() + joined.len() > 1 {
            return Err(ReconfigureError::TooManyChanges { joined: joined.len(), left: left.len() });
        }
        let with_old_voters = CoordinationConfig { voters: old.clone(), ..config.clone() };
        if with_old_voters != self.config {
            return Err(ReconfigureError::RestartRequired);
        }
        if old == new {
            return Ok(());
        }
        self.log(format!("coordination voters changed count={} joined={joined:?} left={left:?}", new.len()));
        if left.contains(&self.me.number) {
            self.stop_voting(now);
        }
        self.actions.push_back(Action::VotersChanged(config.voters.clone()));
        self.config = config;
        self.reset_voter_indexes();
        self.reconfigure_voter(now);
        self.reconfigure_registers(now);
        self.next_heartbeat = now;
        Ok(())
    }

    /// Hands this member's roles over through the voters that granted them, and ends this member's voter.
    fn stop_voting(&mut self, now: Ns) {
        self.hand_over_all(now);
        self.candidates.clear();
        self.voter_node = None;
    }

    /// Resets all state that is kept by voter index.
    fn reset_voter_indexes(&mut self) {
        let count = self.config.voters.len();
        self.health_sequences = vec![0; count];
        self.calls.reset(self.config.voter_count());
        if let Some(assigner) = self.assigner.as_mut() {
            assigner.stored = vec![AssignmentVersion::default(); count];
        }
    }

    /// Updates this member's voter and candidates to the new voter index, or creates them if the member has become a
    /// voter.
    fn reconfigure_voter(&mut self, now: Ns) {
        let Some(voter) = self.config.voter_index(self.me.number) else { return };
        match self.voter_node.as_mut() {
            Some(node) => node.reconfigure(voter, &self.config),
            None => self.voter_node = Some(VoterNode::new(voter, &self.config, now)),
        }
        let config = self.config.lease_config();
        for (index, role) in self.config.roles.iter().enumerate() {
            let rank = self.config.candidate_rank(voter, index);
            let seed = self.me.incarnation.rotate_left(index as u32);
            let candidate = self.candidates.entry(*role);
            let candidate =
                candidate.or_insert_with(|| LeaseCandidate::new(self.me, rank, config, seed, now));
            candidate.reconfigure(now, rank, config);
        }
    }

    fn reconfigure_registers(&mut self, now: Ns) {
        let roles: Vec<RoleId> = self.registers.keys().copied().collect();
        for role in roles {
            if let Some(register) = self.registers.get_mut(&role) {
                let actions = register.on_voters_changed(now, self.config.voter_count());
                self.handle_register_actions(now, role, actions);
            }
        }
    }
}
