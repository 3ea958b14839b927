//! The beginning of a leader's work: it reads the voters' logs, goes on from the most advanced one, and resets
//! the log where too few voters remember it.

use std::collections::BTreeMap;

use sablecross_coordination::Ns;

use super::replication::{FollowerProgress, LeaderState};
use super::{PeerReport, ReplicaGroup};
use crate::action::Action;
use crate::event::Event;
use crate::messages::{PeerCall, ReplicaState};

/// What a leader does.
#[derive(Debug)]
pub(super) enum LeaderPhase {
    /// It reads the voters' logs.
    Reading(ReadPhase),
    /// It accepts events and replicates the log.
    Replicating,
}

impl LeaderPhase {
    pub(super) fn reading(now: Ns) -> LeaderPhase {
        LeaderPhase::Reading(ReadPhase { started_at: now, next_call_at: now, reports: BTreeMap::new() })
    }
}

#[derive(Debug)]
pub(super) struct ReadPhase {
    started_at: Ns,
    /// When voters that have not answered are called again.
    pub(super) next_call_at: Ns,
    /// Answers by the voters' indices.
    reports: BTreeMap<u32, PeerReport>,
}

impl ReplicaGroup {
    /// Takes in a voter's answer to [`PeerCall::Read`].
    pub(super) fn on_state(&mut self, now: Ns, unix_ms: u64, voter: u32, report: PeerReport) {
        if let Some(LeaderState { phase: LeaderPhase::Reading(reading), .. }) = &mut self.leading {
            reading.reports.insert(voter, report);
            self.finish_read_phase(now, unix_ms);
        }
    }

    /// Calls the voters that have not answered, or not in their current incarnation, if that is due.
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

    /// Begins to replicate once a majority that remembers everything has answered; else with what is left, once
    /// all have answered, or a majority for long.
    fn finish_read_phase(&mut self, now: Ns, unix_ms: u64) {
        let Some(leading) = &self.leading else { return };
        let LeaderPhase::Reading(reading) = &leading.phase else { return };
        if self.is_recovering() {
            return;
        }
        let token = leading.token;
        let has_waited = now.saturating_sub(reading.started_at) >= self.config.reset_timeout;
        let reports: Vec<&PeerReport> = reading
            .reports
            .iter()
            .filter(|(voter, report)| self.is_current(**voter, report.incarnation))
            .map(|(_, report)| report)
            .collect();
        let complete = reports.iter().filter(|report| report.is_complete).count();
        let remembers = self.is_majority(complete + usize::from(self.is_complete));
        let answered = reports.len() + 1;
        let have_all_answered = answered == self.config.voter_names.len();
        if !(remembers || have_all_answered || has_waited && self.is_majority(answered)) {
            return;
        }
        let states: Vec<ReplicaState> = reports.into_iter().map(|report| report.state.clone()).collect();
        self.adopt_most_advanced(unix_ms, states);
        self.epoch_token = token;
        if remembers {
            // What this voter may have forgotten it has read by now.
            self.mark_recovered();
            self.log.append(token, Event::empty_update(), None);
        } else {
            self.reset_log(unix_ms, token);
        }
        self.begin_replicating(now, unix_ms, remembers);
    }

    /// `remembers`: followers are sent what comes after the last entry; otherwise, the new log's snapshot first.
    fn begin_replicating(&mut self, now: Ns, unix_ms: u64, remembers: bool) {
        let next_number = remembers.then(|| self.log.last_number());
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

    /// Takes over the most advanced of these logs, if it is ahead of this voter's, and commits what any of them
    /// knows to be committed.
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

    fn adopt(&mut self, state: ReplicaState) {
        let is_other_epoch = state.epoch != self.epoch;
        let committed = self.log.committed_number();
        let snapshot = state.snapshot.filter(|snapshot| is_other_epoch || snapshot.number > committed);
        if let Some(snapshot) = snapshot {
            self.log.replace_committed(snapshot);
        }
        if is_other_epoch {
            self.epoch = state.epoch;
            // Late calls of the same leader that belong to the epoch before are to be ignored.
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
