//! A replicated group of voters. One voter at a time, the leader, accepts events and numbers them; an event that a
//! majority of voters stores is committed.
//!
//! The leader is the holder of a lease (`sablecross_coordination`). The log is replicated as in Raft (Ongaro,
//! Ousterhout 2014), with the fencing tokens of the lease as terms. A new leader first makes a majority reject
//! older leaders, continues from the most advanced log of that majority, and commits nothing before a majority
//! stores an entry that this leader appended.
//!
//! Voters have no disk. A voter that restarts has lost the tokens that it accepted and the entries that it stored,
//! so it neither shows its log to a new leader nor stores entries until a majority of all voters, itself not
//! counted, has answered its recovery calls with complete logs. If too few voters have complete logs, it shows its
//! own log as incomplete, and still stores nothing. An answer from before such a restart must not be counted together
//! with answers given after it. Every message therefore carries the latest incarnations that its sender knows of, and
//! answers of earlier incarnations are ignored (crash vectors: Michael, Ports, Sharma, Szekeres 2017). When no
//! majority remembers the log, the leader resets it: a new epoch begins past every number that may have been sent
//! to subscribers.
//!
//! [`ReplicaGroup`] is one voter of the group. `lease` decides which voter leads, `read_phase` is
//! the first phase of a leader, `replication` the second, `peer_requests` answers the calls of both phases, and
//! `recovery` restores a voter after a restart.

mod lease;
mod peer_requests;
mod read_phase;
mod recovery;
mod replica_log;
mod replication;

use sablecross_coordination::{FencingGuard, FencingToken, LeaseCandidate, LeaseVoter, Member, Ns};

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
    /// Index of this voter among all voters.
    index: u32,
    config: GroupConfig,
    /// Grants the lease to candidates, which include the one of this process.
    voter: LeaseVoter,
    /// Applies for the lease.
    candidate: LeaseCandidate,
    /// Remembers the newest token that this voter accepted, and rejects older ones.
    guard: FencingGuard,
    log: ReplicaLog,
    /// Unix time in milliseconds at which the log was last reset, or the previous epoch plus 1 if that is higher; 0 if
    /// it was never reset.
    epoch: u64,
    /// Token of the newest leader that is known to use this epoch.
    epoch_token: FencingToken,
    /// Whether this voter knows everything that it ever stored.
    is_complete: bool,
    /// The recovery in progress after a restart.
    recovery: Option<Recovery>,
    /// The latest known incarnation of each voter, by the voters' indices.
    incarnations: Vec<u64>,
    /// When the leader last reached this voter.
    staleness: Staleness,
    /// Present while this voter holds the lease.
    leading: Option<LeaderState>,
    last_call_id: u64,
    /// The highest number that a subscriber has reported to this voter.
    highest_reported: u64,
    actions: Vec<Action>,
}

/// The applied number that a voter's reply carries.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AppliedByVoter {
    /// Name of the replying voter's relay.
    pub(crate) name: String,
    /// The number that the replying voter's relay and all its subscribers have applied.
    pub(crate) number: u64,
}

impl ReplicaGroup {
    /// Creates a voter with an empty log. `seed` randomizes the times at which candidates request the lease.
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
            voter: LeaseVoter::after_restart(now, config.lease.duration),
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

    /// Returns the committed part of the log.
    pub(crate) fn log(&self) -> &Log {
        self.log.committed()
    }

    /// Encodes committed events as [`Log::encode_after`] does. Of a new epoch it encodes nothing until a majority
    /// stores an entry that follows the snapshot with which the epoch begins.
    pub(crate) fn encode_after(&mut self, cursor: u64, max_bytes: usize, out: &mut Vec<u8>) -> u64 {
        if self.log.committed_number() <= self.log.committed().snapshot().epoch_start {
            return cursor;
        }
        self.log.committed_mut().encode_after(cursor, max_bytes, out)
    }

    /// Records a number that a subscriber has reported, so that a reset of the log continues past it.
    pub(crate) fn observe_number(&mut self, number: u64) {
        if number < MAX_EVENT_NUMBER {
            self.highest_reported = self.highest_reported.max(number);
        }
    }

    /// Returns the token under which this voter accepts events now, if it is the leader.
    pub(crate) fn leader_token(&self, now: Ns) -> Option<FencingToken> {
        let is_replicating =
            self.leading.as_ref().is_some_and(|leading| matches!(leading.phase, LeaderPhase::Replicating));
        self.candidate.token(now).filter(|_| is_replicating)
    }

    /// Returns the leader's token, or an error that names the leader if another voter is known to lead. A voter
    /// that holds the lease but is still in its read phase names no leader.
    pub(crate) fn require_leader(&self, now: Ns) -> Result<FencingToken, PublishError> {
        let other = self.leader(now).filter(|_| self.candidate.token(now).is_none());
        self.leader_token(now).ok_or(PublishError::NotLeader(other))
    }

    /// Returns the names of all voters' relays, by the voters' indices.
    pub(crate) fn voter_names(&self) -> &[String] {
        &self.config.voter_names
    }

    /// Returns the holder of the lease, as far as this voter knows.
    pub(crate) fn leader(&self, now: Ns) -> Option<Member> {
        let own = self.candidate.token(now).map(|token| token.holder);
        own.or_else(|| self.voter.holder(now).map(|holder| holder.member))
    }

    /// Returns how long ago this voter last knew the leader to lead.
    pub(crate) fn staleness(&self, now: Ns) -> Staleness {
        let mut staleness = self.staleness;
        if let Some(token) = self.leader_token(now) {
            staleness.record(now, 0, Some(token));
        }
        staleness
    }

    /// Returns the time at which [`ReplicaGroup::step`] has to be called next.
    pub(crate) fn next_deadline(&self) -> Ns {
        let recovery = self.recovery.as_ref().map_or(Ns::MAX, |recovery| recovery.next_call_at);
        let leading = self.leading.as_ref().map_or(Ns::MAX, |leading| self.next_leader_deadline(leading));
        self.candidate.next_wakeup().min(recovery).min(leading)
    }

    /// Performs all work that is due at `now`. `unix_ms` is the Unix time.
    pub(crate) fn step(&mut self, now: Ns, unix_ms: u64) -> Vec<Action> {
        let actions = self.candidate.step(now);
        self.apply_lease_actions(now, actions);
        self.step_recovery(now, unix_ms);
        self.send_reads(now, unix_ms);
        self.send_appends(now);
        self.log.committed_mut().compact(unix_ms);
        self.take_actions()
    }

    /// Releases the lease before a planned stop.
    pub(crate) fn hand_over(&mut self, now: Ns) -> Vec<Action> {
        let actions = self.candidate.hand_over(now, None);
        self.apply_lease_actions(now, actions);
        self.take_actions()
    }

    /// Processes the reply to a call, and returns the applied number that it carries, if any.
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
        self.clear_call_in_flight(voter, call_id);
        let number = self.on_answer(now, unix_ms, voter, incarnation, reply.answer);
        let name = self.config.voter_names.get(voter as usize).cloned();
        let applied = name.zip(number).map(|(name, number)| AppliedByVoter { name, number });
        (applied, self.take_actions())
    }

    /// Processes an answer. Returns the number that the voter and all its subscribers have applied, if the answer
    /// carries one.
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

    /// Sets the fields of the status that only a voter knows.
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

    /// Returns whether an answer of this incarnation may be counted together with the other answers.
    fn is_current(&self, voter: u32, incarnation: u64) -> bool {
        !self.config.safety_checks.incarnations || incarnation == self.incarnation_of(voter)
    }

    /// Merges the incarnations that another voter knows of into the known ones. If another voter knows a later
    /// incarnation of this voter, as after this clock was set back, this voter takes the next higher one.
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

    /// Emits a call to another voter and returns the call's id.
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

    /// Commits entries up to this number, as far as they are stored, and answers the publishers waiting for them.
    fn commit(&mut self, unix_ms: u64, up_to: u64) {
        while self.log.committed_number() < up_to {
            let Some(number) = self.log.commit_next(unix_ms) else { break };
            let waiting = self.leading.as_mut().and_then(|leading| leading.tickets.remove(&number));
            for ticket in waiting.unwrap_or_default() {
                self.actions.push(Action::Published { ticket, result: Ok(number) });
            }
        }
    }

    /// Returns the log after this number, or the whole log if no number is given or the number precedes the
    /// snapshot.
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

/// A voter's answer about its log.
#[derive(Clone, Debug)]
struct PeerReport {
    /// The incarnation of the answering voter.
    incarnation: u64,
    /// The newest token that the voter has accepted.
    highest_token: FencingToken,
    /// Whether the voter remembers everything that it ever stored.
    is_complete: bool,
    state: ReplicaState,
}
