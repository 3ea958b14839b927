//! A voter's answers to the calls of other voters.

use sablecross_coordination::{FencingToken, Ns};

use super::ReplicaGroup;
use crate::action::Action;
use crate::event::MAX_EVENT_NUMBER;
use crate::log::LogEntry;
use crate::messages::{EntryPosition, PeerAnswer, PeerCall, PeerReply, PeerRequest};
use crate::snapshot::Snapshot;

/// The fields of [`PeerCall::Append`].
struct AppendCall {
    token: FencingToken,
    epoch: u64,
    previous_entry: EntryPosition,
    snapshot: Option<Snapshot>,
    entries: Vec<LogEntry>,
    committed: u64,
}

impl ReplicaGroup {
    /// Answers another voter's call. `applied_number` is the number that this relay and all its subscribers have
    /// applied.
    pub(crate) fn on_request(
        &mut self,
        now: Ns,
        unix_ms: u64,
        request: PeerRequest,
        applied_number: u64,
    ) -> (PeerReply, Vec<Action>) {
        if !self.is_other_voter(request.sender) {
            return (PeerReply::default(), Vec::new());
        }
        self.merge_incarnations(now, &request.incarnations);
        let answer = self.answer(now, unix_ms, request.call, applied_number);
        let reply = PeerReply { incarnations: self.incarnations.clone(), answer };
        (reply, self.take_actions())
    }

    fn answer(&mut self, now: Ns, unix_ms: u64, call: PeerCall, applied_number: u64) -> PeerAnswer {
        match call {
            PeerCall::Lease(request) => {
                self.voter.on_request(now, request).map_or(PeerAnswer::NotReady, PeerAnswer::Lease)
            }
            PeerCall::Recover => PeerAnswer::Recovered {
                highest_token: self.guard.highest(),
                is_complete: self.is_complete,
                state: self.state_after(None),
            },
            _ if self.is_recovering() => PeerAnswer::NotReady,
            PeerCall::Read { token, epoch, after_number } => match self.admit_leader(now, token) {
                Err(newer) => PeerAnswer::StaleToken(newer),
                Ok(()) => {
                    let state = self.state_after((epoch == self.epoch).then_some(after_number));
                    PeerAnswer::State { token, is_complete: self.is_complete, state }
                }
            },
            PeerCall::Append { token, epoch, previous_entry, snapshot, entries, committed } => {
                let call = AppendCall { token, epoch, previous_entry, snapshot, entries, committed };
                self.answer_append(now, unix_ms, call, applied_number)
            }
        }
    }

    fn answer_append(&mut self, now: Ns, unix_ms: u64, call: AppendCall, applied_number: u64) -> PeerAnswer {
        let AppendCall { token, epoch, previous_entry, snapshot, entries, committed } = call;
        if self.admit_leader(now, token).is_err() {
            return PeerAnswer::StaleToken(self.guard.highest());
        }
        if !self.install_snapshot(token, epoch, snapshot) {
            return if self.is_complete { self.mismatch(token) } else { PeerAnswer::NeedsReset { token } };
        }
        self.staleness.record(now, 0, Some(token));
        let Some(last_number) = self.append_entries(token, previous_entry, &entries) else {
            return self.mismatch(token);
        };
        self.commit(unix_ms, committed.min(last_number));
        let applied_number = applied_number.min(self.log.committed_number());
        PeerAnswer::Appended { token, epoch, last_number, applied_number }
    }

    fn mismatch(&self, token: FencingToken) -> PeerAnswer {
        PeerAnswer::Mismatch { token, epoch: self.epoch, committed: self.log.committed_number() }
    }

    /// Installs the snapshot if it is of a newer epoch or ahead of the committed part of this log. Returns whether
    /// the log is then of the leader's epoch and complete.
    fn install_snapshot(&mut self, token: FencingToken, epoch: u64, snapshot: Option<Snapshot>) -> bool {
        let snapshot = snapshot.filter(|snapshot| snapshot.number < MAX_EVENT_NUMBER);
        if epoch != self.epoch {
            // A delayed call that the same leader sent before it reset the log must not bring back the old epoch.
            let is_newer = (token, epoch) > (self.epoch_token, self.epoch);
            let Some(snapshot) = snapshot.filter(|_| is_newer) else { return false };
            self.log.truncate_uncommitted(0);
            self.log.replace_committed(snapshot);
            self.mark_recovered();
            let first = self.log.committed_number();
            self.log_line(format!("log reset by the leader, epoch {epoch}: it begins at {first}"));
        } else if !self.is_complete {
            return false;
        } else if let Some(snapshot) = snapshot
            && snapshot.number > self.log.committed_number()
        {
            self.log.advance_to(snapshot);
        }
        self.epoch = epoch;
        self.epoch_token = token.max(self.epoch_token);
        true
    }

    /// Stores entries after the previous entry. Returns the number up to which the log now equals the leader's, or
    /// `None` if the previous entry differs from the leader's.
    fn append_entries(
        &mut self,
        token: FencingToken,
        previous: EntryPosition,
        entries: &[LogEntry],
    ) -> Option<u64> {
        let committed = self.log.committed_number();
        let matches =
            previous.number <= committed || self.log.token_at(previous.number) == Some(previous.token);
        if !matches && self.config.safety_checks.previous_entry {
            return None;
        }
        let mut last_number = previous.number;
        for entry in entries {
            if entry.number.checked_sub(1) != Some(last_number) || entry.number >= MAX_EVENT_NUMBER {
                break;
            }
            last_number = entry.number;
            if entry.number <= committed || self.log.token_at(entry.number) == Some(entry.token) {
                continue;
            }
            // The entries stored from here on are another leader's, and no majority stored them.
            let keep = usize::try_from(entry.number - committed - 1).unwrap_or(usize::MAX);
            self.log.truncate_uncommitted(keep);
            if let Err(error) = self.log.append_entry(entry) {
                let term = token.term;
                self.log_line(format!(
                    "entry {last_number} of the leader of term {term} can't be read: {error}"
                ));
                return Some(last_number - 1);
            }
        }
        Some(last_number)
    }
}
