//! The log of one voter: the committed part, which may be sent to subscribers, followed by entries that a newer
//! leader may still truncate.

use std::collections::VecDeque;

use sablecross_coordination::FencingToken;

use crate::event::{Event, EventError, EventKind};
use crate::log::{Log, LogEntry};
use crate::messages::EntryPosition;
use crate::snapshot::Snapshot;

#[derive(Debug)]
struct UncommittedEntry {
    token: FencingToken,
    event: Event,
    idempotency_key: Option<String>,
}

#[derive(Debug)]
pub(super) struct ReplicaLog {
    committed: Log,
    uncommitted: VecDeque<UncommittedEntry>,
    uncommitted_bytes: usize,
}

impl ReplicaLog {
    pub(super) fn new(committed: Log) -> ReplicaLog {
        ReplicaLog { committed, uncommitted: VecDeque::new(), uncommitted_bytes: 0 }
    }

    pub(super) fn committed(&self) -> &Log {
        &self.committed
    }

    pub(super) fn committed_mut(&mut self) -> &mut Log {
        &mut self.committed
    }

    /// Returns the number of the last committed entry.
    pub(super) fn committed_number(&self) -> u64 {
        self.committed.last_number()
    }

    /// Returns the last number that the snapshot includes; entries after it are kept individually.
    pub(super) fn snapshot_number(&self) -> u64 {
        self.committed.snapshot().number
    }

    /// Returns the position of the last entry, committed or not.
    pub(super) fn last_entry(&self) -> EntryPosition {
        let token = self.uncommitted.back().map_or(self.committed.last_token(), |entry| entry.token);
        EntryPosition { number: self.last_number(), token }
    }

    pub(super) fn last_number(&self) -> u64 {
        self.committed_number() + self.uncommitted.len() as u64
    }

    pub(super) fn uncommitted_len(&self) -> usize {
        self.uncommitted.len()
    }

    pub(super) fn uncommitted_bytes(&self) -> usize {
        self.uncommitted_bytes
    }

    /// Returns the token of the entry with this number, if the log has it.
    pub(super) fn token_at(&self, number: u64) -> Option<FencingToken> {
        match number.checked_sub(self.committed_number() + 1) {
            Some(index) => self.uncommitted.get(usize::try_from(index).ok()?).map(|entry| entry.token),
            None => self.committed.token_at(number),
        }
    }

    /// Returns whether the log has a complete endpoint list, committed or not.
    pub(super) fn has_list(&self) -> bool {
        let is_complete =
            |entry: &UncommittedEntry| entry.event.kind() == EventKind::Members { is_snapshot: true };
        self.committed.has_list() || self.uncommitted.iter().any(is_complete)
    }

    /// Returns the number of the uncommitted entry with this idempotency key.
    pub(super) fn uncommitted_number_of_key(&self, key: &str) -> Option<u64> {
        let has_key = |entry: &UncommittedEntry| entry.idempotency_key.as_deref() == Some(key);
        let index = self.uncommitted.iter().position(has_key)?;
        Some(self.committed_number() + 1 + index as u64)
    }

    pub(super) fn append(&mut self, token: FencingToken, event: Event, idempotency_key: Option<String>) {
        self.uncommitted_bytes += event.body().len();
        self.uncommitted.push_back(UncommittedEntry { token, event, idempotency_key });
    }

    /// Parses an entry of another voter and appends it under the next number.
    pub(super) fn append_entry(&mut self, entry: &LogEntry) -> Result<(), EventError> {
        let event = Event::parse(entry.body.as_bytes(), usize::MAX)?.event;
        self.append(entry.token, event, entry.idempotency_key.clone());
        Ok(())
    }

    /// Commits the next entry at `unix_ms`, and returns its number.
    pub(super) fn commit_next(&mut self, unix_ms: u64) -> Option<u64> {
        let entry = self.uncommitted.pop_front()?;
        self.uncommitted_bytes -= entry.event.body().len();
        let key = entry.idempotency_key.as_deref();
        Some(self.committed.append(&entry.event, entry.token, key, unix_ms))
    }

    /// Removes all uncommitted entries except the first `keep`.
    pub(super) fn truncate_uncommitted(&mut self, keep: usize) {
        for entry in self.uncommitted.drain(keep.min(self.uncommitted.len())..) {
            self.uncommitted_bytes -= entry.event.body().len();
        }
    }

    /// Replaces the committed part by a snapshot. The uncommitted entries stay and are renumbered from the snapshot
    /// on.
    pub(super) fn replace_committed(&mut self, snapshot: Snapshot) {
        self.committed = Log::from_snapshot(self.committed.retention(), snapshot);
    }

    /// Replaces the committed part by a snapshot that is ahead of it. Uncommitted entries after the snapshot are kept
    /// if they belong to the same log, because a leader may have counted them as stored here.
    pub(super) fn advance_to(&mut self, snapshot: Snapshot) {
        if self.token_at(snapshot.number) == Some(snapshot.token) {
            let covered = snapshot.number - self.committed_number();
            self.drop_first_uncommitted(usize::try_from(covered).unwrap_or(usize::MAX));
        } else {
            self.truncate_uncommitted(0);
        }
        self.replace_committed(snapshot);
    }

    fn drop_first_uncommitted(&mut self, count: usize) {
        for entry in self.uncommitted.drain(..count.min(self.uncommitted.len())) {
            self.uncommitted_bytes -= entry.event.body().len();
        }
    }

    /// Returns the entries after this number and after the snapshot, up to `max_bytes` but at least one.
    pub(super) fn entries_after(&self, number: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut entries = self.committed.entries_after(number, max_bytes);
        let start = number.max(self.snapshot_number());
        if entries.last().map_or(start, |entry| entry.number) < self.committed_number() {
            return entries;
        }
        let mut bytes: usize = entries.iter().map(|entry| entry.body.len()).sum();
        let numbered = (self.committed_number() + 1..).zip(&self.uncommitted);
        for (number, entry) in numbered.filter(|(n, _)| *n > number) {
            bytes += entry.event.body().len();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(LogEntry {
                number,
                token: entry.token,
                body: entry.event.body().to_owned(),
                idempotency_key: entry.idempotency_key.clone(),
            });
        }
        entries
    }
}
