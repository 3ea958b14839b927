//! The group of voters: one of them at a time, the leader, accepts events and numbers them; an event that a
//! majority stores is committed.
//!
//! Leaders come and go with a lease (`sablecross_coordination`). The log is replicated as in Raft (Ongaro,
//! Ousterhout 2014), with the lease's fencing tokens for terms: a new leader first shuts out older ones at a
//! majority, goes on from the most advanced log found there, and commits nothing before a majority stores an
//! entry of its own.
//!
//! Voters have no disk. One that restarts has forgotten what it promised and stored, so it neither shows its log
//! to a new leader nor stores entries until a majority of others has answered it. An answer from before such a
//! restart must not be counted together with answers given after it: every message carries the latest
//! incarnations that its sender knows of, and answers of earlier ones are ignored (crash vectors: Michael, Ports,
//! Sharma, Szekeres 2017). When no majority remembers the log, it is reset: a new epoch begins past every number
//! that may have been sent to subscribers.
//!
//! [`ReplicaGroup`] is one voter of the group. `lease` decides who leads, `read_phase` is the beginning of a
//! leader's work, `replication` the rest of it, `peer_requests` the voters' side of both, `recovery` what follows a
//! restart.

mod lease;
mod peer_requests;
mod read_phase;
mod recovery;
mod replica_log;
mod replication;

use sablecross_coordination::{FencingGuard, FencingToken, LeaseCandidate, Member, Ns, Voter};

use crate::action::Action;
use crate::config::GroupConfig;
use crate::error::PublishError;
use crate::event::MAX_EVENT_NUMBER;
use crate::log::Log;
use crate::messages::{PeerAnswer, PeerCall, PeerReply, PeerRequest, ReplicaState};
use crate::staleness::Staleness;
use crate::status::{RelayRole, RelayStatus};
use read_phase::LeaderPhase;
use recovery::Recovery;
use replica_log::ReplicaLog;
use replication::LeaderState;

/// One voter of the group.
#[derive(Debug)]
pub(crate) struct ReplicaGroup {
    /// Index of this voter.
    index: u32,
    config: GroupConfig,
    /// Grants the lease to candidates, this one among them.
    voter: Voter,
    /// Applies for the lease.
    candidate: LeaseCandidate,
    /// The newest token that was accepted.
    guard: FencingGuard,
    log: ReplicaLog,
    /// When the log was last reset, Unix ms.
    epoch: u64,
    /// Token of the newest leader that has confirmed this epoch.
    epoch_token: FencingToken,
    /// Whether everything that this voter ever stored is known here.
    is_complete: bool,
    recovery: Option<Recovery>,
    /// The latest incarnation of each voter that is known.
    incarnations: Vec<u64>,
    staleness: Staleness,
    leading: Option<LeaderState>,
    last_call_id: u64,
    /// The highest number that a subscriber has reported here.
    highest_reported: u64,
    actions: Vec<Action>,
}

/// What a reply told of its sender.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AppliedByVoter {
    /// Name of the voter's relay.
    pub(crate) name: String,
    /// What that relay and all its subscribers have applied.
    pub(crate) number: u64,
}

impl ReplicaGroup {
    /// A voter that begins without memory; `seed` spreads the candidates' attempts.
    pub(crate) fn new(
        member: Member,
        index: u32,
        config: GroupConfig,
        log: Log,
        seed: u64,
        now: Ns,
    ) -> ReplicaGroup {
        let voter_count = config.voter_names.len();
        let mut incarnations = vec![0; voter_count];
        if let Some(own) = incarnations.get_mut(index as usize) {
            *own = member.incarnation;
        }
        let is_alone = voter_count <= 1;
        let recovers = !is_alone && config.safety_checks.recovery;
        ReplicaGroup {
            index,
            voter: Voter::without_memory(now, config.lease.duration),
            candidate: LeaseCandidate::new(member, index, config.lease, seed, now),
            guard: FencingGuard::default(),
            log: ReplicaLog::new(log),
            epoch: 0,
            epoch_token: FencingToken::default(),
            is_complete: !is_alone && !config.safety_checks.recovery,
            recovery: recovers.then(|| Recovery::new(now)),
            incarnations,
            staleness: Staleness::unknown(),
            leading: None,
            last_call_id: 0,
            highest_reported: 0,
            actions: Vec::new(),
            config,
        }
    }

    /// The committed part of the log.
    pub(crate) fn log(&self) -> &Log {
        self.log.committed()
    }

    /// As [`Log::encode_after`]. Nothing of a new epoch is sent before a majority stores what follows its
    /// snapshot.
    pub(crate) fn encode_after(&mut self, cursor: u64, max_bytes: usize, out: &mut Vec<u8>) -> u64 {
        if self.log.committed_number() <= self.log.committed().snapshot().epoch_start {
            return cursor;
        }
        self.log.committed_mut().encode_after(cursor, max_bytes, out)
    }

    /// Notes a number that a subscriber has reported: a reset of the log goes past it.
    pub(crate) fn observe_number(&mut self, number: u64) {
        if number < MAX_EVENT_NUMBER {
            self.highest_reported = self.highest_reported.max(number);
        }
    }

    /// The token under which this voter accepts events now.
    pub(crate) fn leader_token(&self, now: Ns) -> Option<FencingToken> {
        let is_replicating =
            self.leading.as_ref().is_some_and(|leading| matches!(leading.phase, LeaderPhase::Replicating));
        self.candidate.token(now).filter(|_| is_replicating)
    }

    /// The same, or who is the leader. A voter that has the lease and reads still names nobody.
    pub(crate) fn require_leader(&self, now: Ns) -> Result<FencingToken, PublishError> {
        let other = self.leader(now).filter(|_| self.candidate.token(now).is_none());
        self.leader_token(now).ok_or(PublishError::NotLeader(other))
    }

    /// The names of all voters' relays, by the voters' indices.
    pub(crate) fn voter_names(&self) -> &[String] {
        &self.config.voter_names
    }

    /// The holder of the lease, as far as this voter knows.
    pub(crate) fn leader(&self, now: Ns) -> Option<Member> {
        let own = self.candidate.token(now).map(|token| token.holder);
        own.or_else(|| self.voter.holder(now).map(|holder| holder.member))
    }

    /// How old what this voter knows of the leader is.
    pub(crate) fn staleness(&self, now: Ns) -> Staleness {
        let mut staleness = self.staleness;
        if let Some(token) = self.leader_token(now) {
            staleness.record(now, 0, Some(token));
        }
        staleness
    }

    /// When [`ReplicaGroup::step`] is to be called next.
    pub(crate) fn next_deadline(&self) -> Ns {
        let recovery = self.recovery.as_ref().map_or(Ns::MAX, |recovery| recovery.next_call_at);
        let leading = self.leading.as_ref().map_or(Ns::MAX, |leading| self.next_leader_deadline(leading));
        self.candidate.next_wakeup().min(recovery).min(leading)
    }

    /// Does what is due. `unix_ms` is the Unix time.
    pub(crate) fn step(&mut self, now: Ns, unix_ms: u64) -> Vec<Action> {
        let actions = self.candidate.step(now);
        self.apply_lease_actions(now, actions);
        self.step_recovery(now, unix_ms);
        self.send_reads(now, unix_ms);
        self.send_appends(now);
        self.log.committed_mut().compact(unix_ms);
        self.take_actions()
    }

    /// Gives the lease back, as at a planned stop.
    pub(crate) fn hand_over(&mut self, now: Ns) -> Vec<Action> {
        let actions = self.candidate.hand_over(now, None);
        self.apply_lease_actions(now, actions);
        self.take_actions()
    }

    /// Takes in what came back of a call.
    pub(crate) fn on_reply(
        &mut self,
        now: Ns,
        unix_ms: u64,
        voter: u32,
        call_id: u64,
        reply: PeerReply,
    ) -> (Option<AppliedByVoter>, Vec<Action>) {
        if !self.is_other_voter(voter) {
            return (None, Vec::new());
        }
        self.merge_incarnations(now, &reply.incarnations);
        let incarnation = reply.incarnations.get(voter as usize).copied().unwrap_or(0);
        self.note_call_over(voter, call_id);
        let number = self.on_answer(now, unix_ms, voter, incarnation, reply.answer);
        let name = self.config.voter_names.get(voter as usize).cloned();
        let applied = name.zip(number).map(|(name, number)| AppliedByVoter { name, number });
        (applied, self.take_actions())
    }

    /// Returns the number that the voter and all its subscribers have applied, if the answer has it.
    fn on_answer(
        &mut self,
        now: Ns,
        unix_ms: u64,
        voter: u32,
        incarnation: u64,
        answer: PeerAnswer,
    ) -> Option<u64> {
        let own_token = self.leading.as_ref().map(|leading| leading.token);
        match answer {
            PeerAnswer::NotReady => {}
            PeerAnswer::Lease(reply) => {
                let actions = self.candidate.on_reply(now, voter, reply);
                self.apply_lease_actions(now, actions);
                self.send_reads(now, unix_ms);
            }
            PeerAnswer::Recovered { highest_token, is_complete, state } => {
                let report = PeerReport { incarnation, highest_token, is_complete, state };
                self.on_recovered(now, unix_ms, voter, report);
            }
            PeerAnswer::State { token, is_complete, state } if own_token == Some(token) => {
                let report = PeerReport { incarnation, highest_token: token, is_complete, state };
                self.on_state(now, unix_ms, voter, report);
            }
            PeerAnswer::Appended { token, epoch, last_number, applied_number }
                if own_token == Some(token) && epoch == self.epoch =>
            {
                return self
                    .on_appended(now, unix_ms, voter, incarnation, last_number)
                    .then_some(applied_number);
            }
            PeerAnswer::Mismatch { token, epoch, committed } if own_token == Some(token) => {
                self.on_mismatch(now, voter, epoch, committed);
            }
            PeerAnswer::NeedsReset { token } if own_token == Some(token) => self.on_needs_reset(now, voter),
            PeerAnswer::StaleToken(newer)
                if own_token.is_some_and(|own| own != newer && newer.term >= own.term) =>
            {
                self.on_newer_leader(now, newer);
            }
            _ => {}
        }
        None
    }

    /// Fills in what only a voter knows.
    pub(crate) fn fill_status(&self, now: Ns, status: &mut RelayStatus) {
        let own_token = self.leader_token(now);
        status.role = if own_token.is_some() { RelayRole::Leader } else { RelayRole::Voter };
        if let Some(leader) = self.leader(now) {
            status.leader = Some(leader.number);
        }
        status.term = own_token.map_or(self.guard.highest().term, |token| token.term);
        status.last_stored = self.log.last_number();
        status.recovering_ms =
            self.recovery.as_ref().map(|recovery| now.saturating_sub(recovery.started_at) / 1_000_000);
        status.reset_unix_ms = self.epoch;
        status.rejected_tokens = self.guard.rejected_count();
    }

    fn voter_count(&self) -> u32 {
        self.config.voter_names.len() as u32
    }

    fn is_other_voter(&self, voter: u32) -> bool {
        voter < self.voter_count() && voter != self.index
    }

    fn other_voters(&self) -> impl Iterator<Item = u32> + use<> {
        let own = self.index;
        (0..self.voter_count()).filter(move |voter| *voter != own)
    }

    fn is_majority(&self, count: usize) -> bool {
        count * 2 > self.config.voter_names.len()
    }

    fn incarnation_of(&self, voter: u32) -> u64 {
        self.incarnations.get(voter as usize).copied().unwrap_or(0)
    }

    /// Whether an answer of this incarnation counts beside all else that is known.
    fn is_current(&self, voter: u32, incarnation: u64) -> bool {
        !self.config.safety_checks.incarnations || incarnation == self.incarnation_of(voter)
    }

    /// Takes in the incarnations that another voter knows of. This one's own has to be the latest of its: after
    /// its clock was set back it counts on from what is known.
    fn merge_incarnations(&mut self, now: Ns, received: &[u64]) {
        let own = self.index as usize;
        for (voter, incarnation) in received.iter().enumerate().take(self.incarnations.len()) {
            if voter != own {
                self.incarnations[voter] = self.incarnations[voter].max(*incarnation);
            } else if *incarnation > self.incarnations[own] {
                self.incarnations[own] = incarnation.saturating_add(1);
                if let Some(recovery) = &mut self.recovery {
                    recovery.restart_calls(now);
                }
            }
        }
    }

    /// Calls another voter; returns the call's id.
    fn call(&mut self, voter: u32, call: PeerCall) -> u64 {
        self.last_call_id += 1;
        let request = PeerRequest { sender: self.index, incarnations: self.incarnations.clone(), call };
        self.actions.push(Action::Call { voter, call_id: self.last_call_id, request });
        self.last_call_id
    }

    fn log_line(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Commits up to this number, at most what is stored, and answers the publishers that wait for it.
    fn commit(&mut self, unix_ms: u64, up_to: u64) {
        while self.log.committed_number() < up_to {
            let Some(number) = self.log.commit_next(unix_ms) else { break };
            let waiting = self.leading.as_mut().and_then(|leading| leading.tickets.remove(&number));
            for ticket in waiting.unwrap_or_default() {
                self.actions.push(Action::Published { ticket, result: Ok(number) });
            }
        }
    }

    /// The log after this number, or all of it.
    fn state_after(&self, number: Option<u64>) -> ReplicaState {
        let start = number.filter(|number| *number >= self.log.snapshot_number());
        let snapshot = start.is_none().then(|| self.log.committed().snapshot().clone());
        ReplicaState {
            epoch: self.epoch,
            last_entry: self.log.last_entry(),
            committed: self.log.committed_number(),
            snapshot,
            entries: self.log.entries_after(start.unwrap_or(0), usize::MAX),
        }
    }
}

/// What another voter has answered of its log.
#[derive(Clone, Debug)]
struct PeerReport {
    /// The incarnation of the voter that answered.
    incarnation: u64,
    /// The newest token that it has accepted.
    highest_token: FencingToken,
    /// Whether it remembers everything that it ever stored.
    is_complete: bool,
    state: ReplicaState,
}
