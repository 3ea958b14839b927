//! The replicating phase of a leader: it accepts events, sends entries to the other voters and commits the entries
//! that a majority stores.

use std::collections::BTreeMap;

use sablecross_coordination::{FencingToken, Ns};

use super::ReplicaGroup;
use super::read_phase::LeaderPhase;
use crate::action::Action;
use crate::error::PublishError;
use crate::event::{Event, EventKind};
use crate::log::MAX_IDEMPOTENCY_KEY_BYTES;
use crate::messages::{EntryPosition, PeerCall};

const NS_PER_MS: Ns = 1_000_000;
/// Upper bound of the bytes that an event's frame adds to its body.
const FRAME_OVERHEAD_BYTES: usize = 64;

/// The state of a voter that holds the lease.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) token: FencingToken,
    pub(super) phase: LeaderPhase,
    /// Progress of each voter, by the voters' indices.
    pub(super) followers: Vec<FollowerProgress>,
    /// Tickets of the publishers that wait for a number to be committed, by this number.
    pub(super) tickets: BTreeMap<u64, Vec<u64>>,
    /// Whether [`Action::LeadershipGained`] was emitted.
    pub(super) is_announced: bool,
}

impl LeaderState {
    pub(super) fn new(token: FencingToken, voter_count: usize, now: Ns) -> LeaderState {
        LeaderState {
            token,
            phase: LeaderPhase::reading(now),
            followers: vec![FollowerProgress::default(); voter_count],
            tickets: BTreeMap::new(),
            is_announced: false,
        }
    }
}

/// What the leader knows of another voter's log.
#[derive(Clone, Debug, Default)]
pub(super) struct FollowerProgress {
    /// The incarnation of the voter that reported `match_number`.
    incarnation: u64,
    /// The highest number up to which the follower's log is known to equal the leader's.
    match_number: Option<u64>,
    /// Number of the next entry to send; if `None`, the snapshot is sent first.
    next_number: Option<u64>,
    /// The last committed number that the follower was sent.
    sent_committed: u64,
    /// Id of the call that the follower has not answered.
    call_in_flight: Option<u64>,
    last_sent_at: Option<Ns>,
    /// Whether the follower stores nothing until it has recovered the complete log or the log is reset.
    needs_reset: bool,
}

impl FollowerProgress {
    /// Returns the progress of a follower of which nothing is known. `next_number` is the entry to send first; if
    /// `None`, the snapshot is sent first.
    pub(super) fn starting_at(next_number: Option<u64>) -> FollowerProgress {
        FollowerProgress { next_number, ..FollowerProgress::default() }
    }
}

impl ReplicaGroup {
    /// Returns the time at which the leader has to call a voter next.
    pub(super) fn next_leader_deadline(&self, leading: &LeaderState) -> Ns {
        match &leading.phase {
            LeaderPhase::Reading(reading) => reading.next_call_at,
            LeaderPhase::Replicating => {
                let others = self.other_voters().filter_map(|voter| leading.followers.get(voter as usize));
                others.map(|follower| self.next_append_at(follower)).min().unwrap_or(Ns::MAX)
            }
        }
    }

    /// Returns the time at which this follower is to be called next.
    fn next_append_at(&self, follower: &FollowerProgress) -> Ns {
        let Some(last_sent_at) = follower.last_sent_at else { return 0 };
        if follower.call_in_flight.is_some() {
            return last_sent_at + self.config.call_timeout;
        }
        let has_entries = follower.next_number.is_none_or(|next| next <= self.log.last_number());
        if has_entries || follower.sent_committed < self.log.committed_number() {
            last_sent_at + self.config.batch_interval
        } else {
            last_sent_at + self.config.heartbeat_interval
        }
    }

    /// Calls each follower whose next call is due.
    pub(super) fn send_appends(&mut self, now: Ns) {
        let Some(leading) = &self.leading else { return };
        if !matches!(leading.phase, LeaderPhase::Replicating) {
            return;
        }
        let token = leading.token;
        let is_due = |voter: &u32| {
            let follower = leading.followers.get(*voter as usize);
            follower.is_some_and(|follower| now >= self.next_append_at(follower))
        };
        let due: Vec<u32> = self.other_voters().filter(is_due).collect();
        for voter in due {
            self.send_append(now, voter, token);
        }
    }

    fn send_append(&mut self, now: Ns, voter: u32, token: FencingToken) {
        let snapshot_number = self.log.snapshot_number();
        let next_number = self
            .follower_mut(voter)
            .and_then(|follower| follower.next_number)
            .filter(|next| *next > snapshot_number && self.log.token_at(next - 1).is_some());
        let snapshot = next_number.is_none().then(|| self.log.committed().snapshot().clone());
        let previous_number = next_number.map_or(snapshot_number, |next| next - 1);
        let previous_token = self.log.token_at(previous_number).unwrap_or_default();
        let entries = self.log.entries_after(previous_number, self.config.max_call_bytes);
        let last_number = previous_number + entries.len() as u64;
        let committed = self.log.committed_number();
        let call_id = self.call(
            voter,
            PeerCall::Append {
                token,
                epoch: self.epoch,
                previous_entry: EntryPosition { number: previous_number, token: previous_token },
                snapshot,
                entries,
                committed,
            },
        );
        if let Some(follower) = self.follower_mut(voter) {
            follower.call_in_flight = Some(call_id);
            follower.last_sent_at = Some(now);
            follower.sent_committed = committed.min(last_number);
        }
    }

    fn follower_mut(&mut self, voter: u32) -> Option<&mut FollowerProgress> {
        self.leading.as_mut()?.followers.get_mut(voter as usize)
    }

    /// Marks the call as answered, if it is the one in flight.
    pub(super) fn clear_call_in_flight(&mut self, voter: u32, call_id: u64) {
        if let Some(follower) = self.follower_mut(voter)
            && follower.call_in_flight == Some(call_id)
        {
            follower.call_in_flight = None;
        }
    }

    /// Records that a follower's log equals this one up to a number. Returns false if the answer is of another
    /// incarnation and is ignored.
    pub(super) fn on_appended(
        &mut self,
        now: Ns,
        unix_ms: u64,
        voter: u32,
        incarnation: u64,
        last_number: u64,
    ) -> bool {
        if !self.is_current(voter, incarnation) {
            return false;
        }
        let Some(follower) = self.follower_mut(voter) else { return false };
        if follower.incarnation != incarnation {
            *follower = FollowerProgress {
                incarnation,
                call_in_flight: follower.call_in_flight,
                last_sent_at: follower.last_sent_at,
                ..FollowerProgress::default()
            };
        }
        follower.match_number = follower.match_number.max(Some(last_number));
        follower.next_number = follower.next_number.max(Some(last_number + 1));
        follower.needs_reset = false;
        self.advance_commit(unix_ms);
        self.send_appends(now);
        true
    }

    /// Handles a follower whose log differs: it is sent the entries after its last committed number, or the snapshot
    /// first if it is of another epoch or behind the snapshot.
    pub(super) fn on_mismatch(&mut self, now: Ns, voter: u32, epoch: u64, committed: u64) {
        let is_same_log = epoch == self.epoch && committed >= self.log.snapshot_number();
        let Some(follower) = self.follower_mut(voter) else { return };
        follower.next_number = is_same_log.then_some(committed + 1);
        self.send_appends(now);
    }

    /// Handles a follower that answered [`PeerAnswer::NeedsReset`](crate::messages::PeerAnswer::NeedsReset). If the
    /// voters that do store entries are no majority, the leader returns to the read phase, which may reset the log.
    pub(super) fn on_needs_reset(&mut self, now: Ns, voter: u32) {
        let Some(leading) = &mut self.leading else { return };
        if let Some(follower) = leading.followers.get_mut(voter as usize) {
            follower.needs_reset = true;
        }
        let remaining = leading.followers.iter().filter(|follower| !follower.needs_reset).count();
        let has_majority = remaining * 2 > leading.followers.len();
        if matches!(leading.phase, LeaderPhase::Replicating) && !has_majority {
            leading.phase = LeaderPhase::reading(now);
        }
    }

    /// Commits the entries that a majority stores, once these include an entry that this leader appended.
    pub(super) fn advance_commit(&mut self, unix_ms: u64) {
        let Some(leading) = &self.leading else { return };
        if !matches!(leading.phase, LeaderPhase::Replicating) {
            return;
        }
        let token = leading.token;
        let last = self.log.last_entry();
        let others = self.other_voters().filter_map(|voter| {
            let follower = leading.followers.get(voter as usize)?;
            follower.match_number.filter(|_| self.is_current(voter, follower.incarnation))
        });
        let mut stored: Vec<u64> = others.chain([last.number]).collect();
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let majority_index = self.config.voter_names.len() / 2;
        let by_majority = stored.get(majority_index).copied().unwrap_or(0).min(last.number);
        let needs_quorum = self.config.safety_checks.quorum;
        let up_to = if needs_quorum { by_majority } else { last.number };
        let is_own = self.log.token_at(up_to) == Some(token) || last.token == token && !needs_quorum;
        if up_to > self.log.committed_number() && is_own {
            self.commit(unix_ms, up_to);
        }
    }

    /// Accepts an event. The result is emitted as [`Action::Published`] once the event is committed or this voter can
    /// no longer tell whether it will be; if an event with the same idempotency key is committed already, the result is
    /// emitted at once.
    pub(crate) fn publish(
        &mut self,
        now: Ns,
        unix_ms: u64,
        ticket: u64,
        idempotency_key: Option<&str>,
        event: Event,
        max_log_bytes: usize,
    ) -> Result<Vec<Action>, PublishError> {
        let token = self.require_leader(now)?;
        if let Some(bytes) = idempotency_key.map(str::len).filter(|len| *len > MAX_IDEMPOTENCY_KEY_BYTES) {
            return Err(PublishError::KeyTooLong(bytes));
        }
        if let Some(number) = idempotency_key.and_then(|key| self.log.committed().number_of_key(key)) {
            return Ok(vec![Action::Published { ticket, result: Ok(number) }]);
        }
        let number = match idempotency_key.and_then(|key| self.log.uncommitted_number_of_key(key)) {
            Some(number) => number,
            None => {
                self.check_acceptable(unix_ms, &event, max_log_bytes)?;
                self.log.append(token, event, idempotency_key.map(str::to_owned));
                self.log.last_number()
            }
        };
        if let Some(leading) = &mut self.leading {
            leading.tickets.entry(number).or_default().push(ticket);
        }
        self.advance_commit(unix_ms);
        self.send_appends(now);
        Ok(self.take_actions())
    }

    /// Returns an error if the log has no complete list for the event, a purge's timestamp is too far in the future,
    /// or the log has no room.
    fn check_acceptable(
        &self,
        unix_ms: u64,
        event: &Event,
        max_log_bytes: usize,
    ) -> Result<(), PublishError> {
        match event.kind() {
            EventKind::Members { is_snapshot: true } => {}
            _ if !self.log.has_list() => return Err(PublishError::NoList),
            EventKind::Purge { created_unix_ms } => {
                let max_ms = self.config.max_purge_lead / NS_PER_MS;
                let lead_ms = created_unix_ms.saturating_sub(unix_ms);
                if lead_ms > max_ms {
                    return Err(PublishError::PurgeInFuture { lead_ms, max_ms });
                }
            }
            _ => {}
        }
        let bytes = self.log.uncommitted_bytes() + event.body().len() + FRAME_OVERHEAD_BYTES;
        Ok(self.log.committed().check_capacity(bytes, max_log_bytes)?)
    }
}
