//! Recovery after a restart: a voter that has lost its log recovers it from the other voters. If too few of them
//! remember the log, a leader resets it.

use std::collections::BTreeMap;

use sablecross_coordination::{FencingGuard, FencingToken, Ns};

use super::{PeerReport, ReplicaGroup};
use crate::action::Action;
use crate::error::PublishError;
use crate::event::Event;
use crate::log::LogEntry;
use crate::messages::{PeerCall, ReplicaState};
use crate::snapshot::{HierarchyEvent, Snapshot};

/// A voter that participates with an incomplete log calls the others this many times less often than a recovering
/// one, because the answers hold whole logs.
const INCOMPLETE_CALL_FACTOR: Ns = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecoveryPhase {
    /// The voter neither shows its log to leaders nor stores entries.
    Recovering,
    /// Too few others remembered the log: the voter participates, reports its log as incomplete, and keeps calling.
    Incomplete,
}

/// The state of a recovery.
#[derive(Debug)]
pub(super) struct Recovery {
    pub(super) started_at: Ns,
    pub(super) next_call_at: Ns,
    /// Answers by the voters' indices.
    reports: BTreeMap<u32, PeerReport>,
    phase: RecoveryPhase,
}

impl Recovery {
    pub(super) fn new(now: Ns) -> Recovery {
        Recovery {
            started_at: now,
            next_call_at: now,
            reports: BTreeMap::new(),
            phase: RecoveryPhase::Recovering,
        }
    }

    /// Discards all answers and calls all voters again, because answers to an outdated incarnation don't count.
    pub(super) fn restart_calls(&mut self, now: Ns) {
        self.next_call_at = now;
        self.reports.clear();
    }
}

impl ReplicaGroup {
    /// Returns whether this voter may not yet show its log or store entries.
    pub(super) fn is_recovering(&self) -> bool {
        self.recovery.as_ref().is_some_and(|recovery| recovery.phase == RecoveryPhase::Recovering)
    }

    /// Ends the recovery: everything that this voter ever stored is known.
    pub(super) fn mark_recovered(&mut self) {
        self.is_complete = true;
        self.recovery = None;
    }

    /// Calls the other voters for their logs, if a call is due.
    pub(super) fn step_recovery(&mut self, now: Ns, unix_ms: u64) {
        let call_timeout = self.config.call_timeout;
        let Some(recovery) = self.recovery.as_mut().filter(|recovery| now >= recovery.next_call_at) else {
            return;
        };
        recovery.next_call_at = now
            + match recovery.phase {
                RecoveryPhase::Recovering => call_timeout,
                RecoveryPhase::Incomplete => INCOMPLETE_CALL_FACTOR * call_timeout,
            };
        for voter in self.other_voters() {
            self.call(voter, PeerCall::Recover);
        }
        self.finish_recovery(now, unix_ms);
    }

    /// Processes a voter's answer to [`PeerCall::Recover`].
    pub(super) fn on_recovered(&mut self, now: Ns, unix_ms: u64, voter: u32, report: PeerReport) {
        if let Some(recovery) = &mut self.recovery {
            recovery.reports.insert(voter, report);
            self.finish_recovery(now, unix_ms);
            self.send_reads(now, unix_ms);
        }
    }

    /// Ends the recovery once a majority, made up of other voters with complete logs, has answered. Without such a
    /// majority, the voter participates with an incomplete log once all voters have answered, or once a majority has
    /// answered and the reset timeout has passed.
    fn finish_recovery(&mut self, now: Ns, unix_ms: u64) {
        let Some(recovery) = &self.recovery else { return };
        let reports: Vec<&PeerReport> = recovery
            .reports
            .iter()
            .filter(|(voter, report)| self.is_current(**voter, report.incarnation))
            .map(|(_, report)| report)
            .collect();
        let is_complete = self.is_majority(reports.iter().filter(|report| report.is_complete).count());
        let answered = reports.len() + 1;
        let has_timed_out = now.saturating_sub(recovery.started_at) >= self.config.reset_timeout;
        let is_last_resort = recovery.phase == RecoveryPhase::Recovering
            && (answered == self.config.voter_names.len() || has_timed_out && self.is_majority(answered));
        if !is_complete && !is_last_resort {
            return;
        }
        let highest_token = reports.iter().map(|report| report.highest_token).max().unwrap_or_default();
        let states: Vec<ReplicaState> = reports.into_iter().map(|report| report.state.clone()).collect();
        self.leave_recovery(is_complete);
        if highest_token > self.guard.highest() {
            self.guard = FencingGuard::with_highest(highest_token);
            self.voter.observe_term(highest_token.term);
        }
        self.adopt_most_advanced(unix_ms, states);
        let source = if is_complete { "from a majority" } else { "without a majority that remembers it" };
        let (committed, stored) = (self.log.committed_number(), self.log.last_number());
        self.log_line(format!("log recovered {source}: committed={committed} stored={stored}"));
    }

    fn leave_recovery(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
        match &mut self.recovery {
            Some(recovery) if !is_complete => recovery.phase = RecoveryPhase::Incomplete,
            _ => self.recovery = None,
        }
    }

    /// Begins a new epoch with what is still known of the endpoint list, the hierarchy and, if the list is known, the
    /// active purges, under numbers that no subscriber can have seen.
    pub(super) fn reset_log(&mut self, unix_ms: u64, token: FencingToken) {
        self.reject_waiting_publishers();
        self.commit(unix_ms, self.log.last_number());
        let purges = self.log.committed().active_purges(unix_ms);
        // The hierarchy gets this number, and the number before it is reserved for the list (see
        // `Snapshot::to_frames`).
        let number = (self.log.last_number() + 2).max(unix_ms).max(self.highest_reported + 2);
        let folded = self.log.committed().snapshot_at(number);
        let hierarchy = folded.hierarchy.map(|hierarchy| HierarchyEvent { number, ..hierarchy });
        let snapshot = Snapshot { token, epoch_start: number, hierarchy, ..folded };
        let has_list = snapshot.has_list;
        self.log.replace_committed(snapshot);
        self.epoch = unix_ms.max(self.epoch + 1);
        self.mark_recovered();
        self.log.truncate_uncommitted(0);
        self.append_after_reset(token, if has_list { purges } else { Vec::new() });
        let list = if has_list { "known" } else { "unknown" };
        let purge_count = self.log.uncommitted_len() - 1;
        self.log_line(format!(
            "log reset, too few voters remember it: it begins at {number}, complete list {list}, {purge_count} active \
             purges; publish the complete list and the active purges again"
        ));
    }

    /// Appends the first entry of the epoch, then the purges that are still active.
    fn append_after_reset(&mut self, token: FencingToken, purges: Vec<LogEntry>) {
        self.log.append(token, Event::empty_update(), None);
        for purge in purges {
            if let Err(error) = self.log.append_entry(&LogEntry { token, ..purge }) {
                self.log_line(format!("log reset: an entry can't be read: {error}"));
            }
        }
    }

    fn reject_waiting_publishers(&mut self) {
        let waiting = self.leading.as_mut().map(|leading| std::mem::take(&mut leading.tickets));
        for ticket in waiting.unwrap_or_default().into_values().flatten() {
            let result = Err(PublishError::LeadershipLost);
            self.actions.push(Action::Published { ticket, result });
        }
    }
}
