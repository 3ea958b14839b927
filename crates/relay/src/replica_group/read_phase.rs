//! The read phase of a new leader: it reads the voters' logs, continues from the most advanced one, and resets the
//! log where too few voters remember it.

use std::collections::BTreeMap;

use sablecross_coordination::Ns;

use super::replication::{FollowerProgress, LeaderState};
use super::{PeerReport, ReplicaGroup};
use crate::action::Action;
use crate::event::Event;
use crate::messages::{PeerCall, ReplicaState};

/// The phase of a leader.
#[derive(Debug)]
pub(super) enum LeaderPhase {
    /// The leader reads the voters' logs.
    Reading(ReadPhase),
    /// The leader accepts events and replicates the log.
    Replicating,
}

impl LeaderPhase {
    /// Returns a read phase that begins now.
    pub(super) fn reading(now: Ns) -> LeaderPhase {
        LeaderPhase::Reading(ReadPhase { started_at: now, next_call_at: now, reports: BTreeMap::new() })
    }
}

/// The state of a read phase.
#[derive(Debug)]
pub(super) struct ReadPhase {
    started_at: Ns,
    /// When the voters that have not answered are called again.
    pub(super) next_call_at: Ns,
    /// Answers by the voters' indices.
    reports: BTreeMap<u32, PeerReport>,
}

impl ReplicaGroup {
    /// Processes a voter's answer to [`PeerCall::Read`].
    pub(super) fn on_state(&mut self, now: Ns, unix_ms: u64, voter: u32, report: PeerReport) {
        if let Some(LeaderState { phase: LeaderPhase::Reading(reading), .. }) = &mut self.leading {
            reading.reports.insert(voter, report);
            self.finish_read_phase(now, unix_ms);
        }
    }

    /// Calls the voters that have not answered in their current incarnation, if a call is due.
    pub(super) fn send_reads(&mut self, now: Ns, unix_ms: u64) {
        let Some(LeaderState { token, phase: LeaderPhase::Reading(reading), .. }) = &mut self.leading else {
            return;
        };
        if now < reading.next_call_at {
            return;
        }
        reading.next_call_at = now + self.config.call_timeout;
        let token = *token;
        let answered: Vec<(u32, u64)> =
            reading.reports.iter().map(|(voter, report)| (*voter, report.incarnation)).collect();
        let current: Vec<u32> = answered
            .into_iter()
            .filter(|(voter, incarnation)| self.is_current(*voter, *incarnation))
            .map(|(voter, _)| voter)
            .collect();
        let (epoch, after_number) = (self.epoch, self.log.committed_number());
        for voter in self.other_voters().filter(|voter| !current.contains(voter)) {
            self.call(voter, PeerCall::Read { token, epoch, after_number });
        }
        self.finish_read_phase(now, unix_ms);
    }

    /// Begins to replicate once the complete logs of a majority are known. Without such a majority, it resets the
    /// log once all voters have answered, or once a majority has answered and the reset timeout has passed.
    fn finish_read_phase(&mut self, now: Ns, unix_ms: u64) {
        let Some(leading) = &self.leading else { return };
        let LeaderPhase::Reading(reading) = &leading.phase else { return };
        if self.is_recovering() {
            return;
        }
        let token = leading.token;
        let has_timed_out = now.saturating_sub(reading.started_at) >= self.config.reset_timeout;
        let reports: Vec<&PeerReport> = reading
            .reports
            .iter()
            .filter(|(voter, report)| self.is_current(**voter, report.incarnation))
            .map(|(_, report)| report)
            .collect();
        let complete_count = reports.iter().filter(|report| report.is_complete).count();
        let majority_is_complete = self.is_majority(complete_count + usize::from(self.is_complete));
        let answered = reports.len() + 1;
        let have_all_answered = answered == self.config.voter_names.len();
        if !(majority_is_complete || have_all_answered || has_timed_out && self.is_majority(answered)) {
            return;
        }
        let states: Vec<ReplicaState> = reports.into_iter().map(|report| report.state.clone()).collect();
        self.adopt_most_advanced(unix_ms, states);
        self.epoch_token = token;
        if majority_is_complete {
            // The logs of the majority hold whatever this voter may have lost in a restart.
            self.mark_recovered();
            self.log.append(token, Event::empty_update(), None);
        } else {
            self.reset_log(unix_ms, token);
        }
        self.begin_replicating(now, unix_ms, majority_is_complete);
    }

    /// Enters the replicating phase. If `majority_is_complete`, followers are first sent the entries from the last
    /// one on; otherwise they are first sent the snapshot of the new log.
    fn begin_replicating(&mut self, now: Ns, unix_ms: u64, majority_is_complete: bool) {
        let next_number = majority_is_complete.then(|| self.log.last_number());
        let Some(leading) = &mut self.leading else { return };
        leading.phase = LeaderPhase::Replicating;
        for follower in &mut leading.followers {
            *follower = FollowerProgress::starting_at(next_number);
        }
        if !leading.is_announced {
            leading.is_announced = true;
            self.actions.push(Action::LeadershipGained(leading.token));
        }
        self.advance_commit(unix_ms);
        self.send_appends(now);
    }

    /// Adopts the most advanced of these logs if it is ahead of this voter's, and commits what any log of that epoch
    /// lists as committed.
    pub(super) fn adopt_most_advanced(&mut self, unix_ms: u64, states: Vec<ReplicaState>) {
        let rank = |state: &ReplicaState| (state.epoch, state.last_entry.token, state.last_entry.number);
        let own_last = self.log.last_entry();
        let own_rank = (self.epoch, own_last.token, own_last.number);
        let best = states.iter().max_by_key(|state| rank(state)).filter(|state| rank(state) > own_rank);
        let epoch = best.map_or(self.epoch, |best| best.epoch);
        let same_epoch = states.iter().filter(|state| state.epoch == epoch);
        let committed = same_epoch.map(|state| state.committed).max().unwrap_or(0);
        if let Some(best) = best {
            self.adopt(best.clone());
        }
        self.commit(unix_ms, committed);
    }

    /// Replaces the uncommitted entries, and the committed part where needed, by those of another voter.
    fn adopt(&mut self, state: ReplicaState) {
        let is_other_epoch = state.epoch != self.epoch;
        let committed = self.log.committed_number();
        let snapshot = state.snapshot.filter(|snapshot| is_other_epoch || snapshot.number > committed);
        if let Some(snapshot) = snapshot {
            self.log.replace_committed(snapshot);
        }
        if is_other_epoch {
            self.epoch = state.epoch;
            // Delayed calls that the same leader sent in the previous epoch have to be ignored.
            self.epoch_token = self.epoch_token.max(self.guard.highest());
        }
        self.log.truncate_uncommitted(0);
        let committed = self.log.committed_number();
        for entry in state.entries.iter().filter(|entry| entry.number > committed) {
            if let Err(error) = self.log.append_entry(entry) {
                self.log_line(format!("entry {} of another voter can't be read: {error}", entry.number));
                break;
            }
        }
    }
}
