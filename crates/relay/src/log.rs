//! The numbered log: a snapshot that holds the state up to a number, and every later event.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sablecross_coordination::FencingToken;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::{Event, EventKind, frame_head_len};
use crate::retention::RetentionWindow;
use crate::snapshot::Snapshot;

/// The longest idempotency key. The key identifies a publisher's event if it is sent again.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// An event with its number, as voters send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Number of the event.
    pub number: u64,
    /// Token of the leader that appended it.
    #[serde(rename = "by")]
    pub token: FencingToken,
    /// The event's JSON without its number.
    pub body: String,
    /// The publisher's idempotency key, if it sent one.
    #[serde(rename = "mark")]
    pub idempotency_key: Option<String>,
}

/// An event that the log keeps individually.
#[derive(Clone, Debug)]
struct StoredEvent {
    kind: EventKind,
    token: FencingToken,
    idempotency_key: Option<String>,
    /// Unix time in milliseconds at which it was appended to this log.
    appended_unix_ms: u64,
    /// The bytes that subscribers are sent.
    frame: Box<[u8]>,
}

impl StoredEvent {
    /// Returns the event's JSON without its number. `number` is the event's number.
    fn body(&self, number: u64) -> String {
        let end = self.frame.len().saturating_sub(2);
        let rest = self.frame.get(frame_head_len(number)..end).unwrap_or_default();
        format!("{{{}", String::from_utf8_lossy(rest))
    }

    fn to_event(&self, number: u64) -> Option<Event> {
        Event::parse(self.body(number).as_bytes(), usize::MAX).ok().map(|parsed| parsed.event)
    }

    fn to_entry(&self, number: u64) -> LogEntry {
        LogEntry {
            number,
            token: self.token,
            body: self.body(number),
            idempotency_key: self.idempotency_key.clone(),
        }
    }

    fn is_purge(&self) -> bool {
        matches!(self.kind, EventKind::Purge { .. })
    }
}

/// The log has no room for an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "the log holds {bytes} bytes of {limit}: all of it is active still, so no more is accepted until that has expired"
)]
pub struct LogFull {
    /// Size of the log in bytes.
    pub bytes: usize,
    /// Size limit in bytes.
    pub limit: usize,
}

/// Events with consecutive numbers, which are never truncated. Entries that may still be truncated are not part of it:
/// a voter keeps them in a list of its own.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    events: VecDeque<StoredEvent>,
    number_by_key: BTreeMap<String, u64>,
    retention: RetentionWindow,
    event_bytes: usize,
    snapshot_bytes: usize,
    has_list: bool,
    /// Names of the endpoints in the list as of the last number.
    endpoint_names: BTreeSet<String>,
    /// The snapshot's number and the encoded frames of its list.
    cached_list: Option<(u64, Vec<u8>)>,
    /// The latest Unix time in milliseconds that a caller passed.
    latest_unix_ms: u64,
}

impl Log {
    /// Creates an empty log.
    pub fn new(retention: RetentionWindow) -> Log {
        Log::from_snapshot(retention, Snapshot::default())
    }

    /// Creates a log that has this snapshot and no events after it.
    pub fn from_snapshot(retention: RetentionWindow, snapshot: Snapshot) -> Log {
        Log {
            events: VecDeque::new(),
            number_by_key: BTreeMap::new(),
            retention,
            event_bytes: 0,
            snapshot_bytes: snapshot.size_bytes(),
            has_list: snapshot.has_list,
            endpoint_names: snapshot.members.keys().cloned().collect(),
            cached_list: None,
            latest_unix_ms: 0,
            snapshot,
        }
    }

    /// Returns for how long the log keeps events.
    pub fn retention(&self) -> RetentionWindow {
        self.retention
    }

    /// Returns the snapshot that precedes the events that are kept individually.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the number of the last event; 0 if there is none.
    pub fn last_number(&self) -> u64 {
        self.snapshot.number + self.events.len() as u64
    }

    /// Returns the token of the last event.
    pub fn last_token(&self) -> FencingToken {
        self.events.back().map_or(self.snapshot.token, |event| event.token)
    }

    /// Returns the token of the event with this number, if the log has it.
    pub fn token_at(&self, number: u64) -> Option<FencingToken> {
        match number.checked_sub(self.snapshot.number + 1) {
            Some(index) => self.events.get(usize::try_from(index).ok()?).map(|event| event.token),
            None => (number == self.snapshot.number).then_some(self.snapshot.token),
        }
    }

    /// Returns whether the log has a complete endpoint list.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns the number of endpoints in the list, or `None` if no complete list is known.
    pub fn endpoint_count(&self) -> Option<usize> {
        self.has_list.then_some(self.endpoint_names.len())
    }

    /// Returns the size of the snapshot and all events in bytes.
    pub fn size_bytes(&self) -> usize {
        self.event_bytes + self.snapshot_bytes
    }

    /// Returns an error if `additional_bytes` would take the log past `limit` bytes.
    pub fn check_capacity(&self, additional_bytes: usize, limit: usize) -> Result<(), LogFull> {
        let bytes = self.size_bytes();
        if bytes + additional_bytes > limit { Err(LogFull { bytes, limit }) } else { Ok(()) }
    }

    /// Returns the number of the event with this idempotency key, as long as the log keeps the event individually.
    pub fn number_of_key(&self, key: &str) -> Option<u64> {
        self.number_by_key.get(key).copied()
    }

    /// Appends an event at `unix_ms`, and returns its number.
    pub fn append(
        &mut self,
        event: &Event,
        token: FencingToken,
        idempotency_key: Option<&str>,
        unix_ms: u64,
    ) -> u64 {
        self.latest_unix_ms = self.latest_unix_ms.max(unix_ms);
        let number = self.last_number() + 1;
        let frame = event.to_frame(number).into_boxed_slice();
        self.event_bytes += frame.len();
        if matches!(event.kind(), EventKind::Members { .. }) {
            self.update_endpoint_names(event);
        }
        if let Some(key) = idempotency_key {
            self.number_by_key.insert(key.to_owned(), number);
        }
        self.events.push_back(StoredEvent {
            kind: event.kind(),
            token,
            idempotency_key: idempotency_key.map(str::to_owned),
            appended_unix_ms: unix_ms,
            frame,
        });
        number
    }

    fn update_endpoint_names(&mut self, event: &Event) {
        let list = event.endpoints().unwrap_or_default();
        if list.is_snapshot {
            self.endpoint_names.clear();
            self.has_list = true;
        }
        for endpoint in list.endpoints {
            if endpoint.is_gone {
                self.endpoint_names.remove(&endpoint.name);
            } else {
                self.endpoint_names.insert(endpoint.name);
            }
        }
    }

    /// Moves the events before the first one that has not expired at `unix_ms` into the snapshot: all of them at once,
    /// when the first has been expired for a compaction step. A snapshot that moved with every event would be sent
    /// again and again to a subscriber that is behind it.
    pub fn compact(&mut self, unix_ms: u64) {
        self.latest_unix_ms = self.latest_unix_ms.max(unix_ms);
        let step_ms = self.retention.compaction_step_ms();
        let first = self.events.front();
        if first.is_none_or(|event| !self.is_expired(event, unix_ms.saturating_sub(step_ms))) {
            return;
        }
        while self.events.front().is_some_and(|event| self.is_expired(event, unix_ms)) {
            let Some(event) = self.events.pop_front() else { return };
            self.move_into_snapshot(event);
        }
    }

    /// Returns whether an event may be moved into the snapshot at `unix_ms`.
    fn is_expired(&self, event: &StoredEvent, unix_ms: u64) -> bool {
        match event.kind {
            // Until a complete list is known, subscribers behind the snapshot are sent nothing. Changes that precede
            // the list move into the snapshot early, so that the log then begins with the list.
            EventKind::Members { is_snapshot: false }
                if !self.snapshot.has_list && self.snapshot.number > 0 =>
            {
                true
            }
            // A purge that had expired when it was appended is kept for at least one step, so that subscribers that
            // are nearly up to date are sent it and not the snapshot.
            EventKind::Purge { created_unix_ms } => {
                let step_ms = self.retention.compaction_step_ms();
                self.retention.is_expired(created_unix_ms, unix_ms)
                    && unix_ms >= event.appended_unix_ms + step_ms
            }
            _ => self.retention.is_expired(event.appended_unix_ms, unix_ms),
        }
    }

    /// Applies the first event, which the caller has already removed, to the snapshot.
    fn move_into_snapshot(&mut self, event: StoredEvent) {
        let number = self.snapshot.number + 1;
        self.event_bytes -= event.frame.len();
        if let Some(key) = &event.idempotency_key
            && self.number_by_key.get(key) == Some(&number)
        {
            self.number_by_key.remove(key);
        }
        self.snapshot.number = number;
        self.snapshot.token = event.token;
        if !event.is_purge()
            && let Some(parsed) = event.to_event(number)
        {
            self.snapshot.apply(number, event.token, &parsed);
            self.snapshot_bytes = self.snapshot.size_bytes();
        }
    }

    /// Appends to `out` the bytes that a subscriber is sent after `cursor`: at least one event, and no further event
    /// that would take the appended bytes past `max_bytes`. Returns the number up to which events were appended, or
    /// `cursor` if there is nothing to send.
    ///
    /// A subscriber that is behind the snapshot is sent the whole snapshot, which does not count towards
    /// `max_bytes`, and at least one event after it. All events that the next snapshot may include are sent, even if
    /// they exceed `max_bytes`: a subscriber that received only some of them would soon be behind the next snapshot.
    pub fn encode_after(&mut self, cursor: u64, max_bytes: usize, out: &mut Vec<u8>) -> u64 {
        let mut cursor = cursor;
        let len_before = out.len();
        let mut uncounted_event_count = 0;
        if cursor < self.snapshot.number {
            uncounted_event_count = self.expiring_count();
            if self.snapshot.has_list {
                self.encode_snapshot(cursor, out);
            } else if !self.begins_with_list() {
                return cursor;
            }
            cursor = self.snapshot.number;
        }
        let start = out.len();
        let end = max_bytes.saturating_add(start - len_before);
        let skipped = usize::try_from(cursor - self.snapshot.number).unwrap_or(usize::MAX);
        for (index, event) in self.events.iter().enumerate().skip(skipped) {
            if index >= uncounted_event_count && out.len() > start && out.len() + event.frame.len() > end {
                break;
            }
            out.extend_from_slice(&event.frame);
            cursor += 1;
        }
        cursor
    }

    /// Returns how many events may have moved into the snapshot one compaction step from now.
    fn expiring_count(&self) -> usize {
        let until = self.latest_unix_ms + self.retention.compaction_step_ms();
        self.events.iter().take_while(|event| self.is_expired(event, until)).count()
    }

    /// Returns whether the first event is a complete list, which can be sent instead of a snapshot.
    fn begins_with_list(&self) -> bool {
        let list = EventKind::Members { is_snapshot: true };
        self.events.front().is_some_and(|event| event.kind == list)
    }

    /// Appends the snapshot's frames to `out`, from the cache if the subscriber already has the hierarchy.
    fn encode_snapshot(&mut self, cursor: u64, out: &mut Vec<u8>) {
        let number = self.snapshot.number;
        if self.snapshot.hierarchy.as_ref().is_some_and(|hierarchy| hierarchy.number > cursor) {
            out.extend_from_slice(&self.snapshot.to_frames(cursor));
            return;
        }
        let cached = self.cached_list.take().filter(|(cached_number, _)| *cached_number == number);
        let (_, frames) =
            self.cached_list.insert(cached.unwrap_or_else(|| (number, self.snapshot.to_frames(cursor))));
        out.extend_from_slice(frames);
    }

    /// Returns the entries after this number and after the snapshot, up to `max_bytes` but at least one.
    pub fn entries_after(&self, number: u64, max_bytes: usize) -> Vec<LogEntry> {
        let start = number.max(self.snapshot.number);
        let mut bytes = 0;
        let mut entries = Vec::new();
        let skipped = usize::try_from(start - self.snapshot.number).unwrap_or(usize::MAX);
        for (number, event) in (start + 1..).zip(self.events.iter().skip(skipped)) {
            bytes += event.frame.len();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(event.to_entry(number));
        }
        entries
    }

    /// Returns the events that are kept individually, with their numbers.
    fn numbered_events(&self) -> impl Iterator<Item = (u64, &StoredEvent)> {
        (self.snapshot.number + 1..).zip(&self.events)
    }

    /// Returns the state after all events as a snapshot with this number. The snapshot has no purges and no token.
    pub fn snapshot_at(&self, number: u64) -> Snapshot {
        let mut snapshot = self.snapshot.clone();
        for (number, event) in self.numbered_events().filter(|(_, event)| !event.is_purge()) {
            if let Some(parsed) = event.to_event(number) {
                snapshot.apply(number, event.token, &parsed);
            }
        }
        Snapshot { number, token: FencingToken::default(), ..snapshot }
    }

    /// Returns the purges that may still be active at `unix_ms`, in the order of their numbers.
    pub fn active_purges(&self, unix_ms: u64) -> Vec<LogEntry> {
        let is_active = |event: &StoredEvent| match event.kind {
            EventKind::Purge { created_unix_ms } => !self.retention.is_expired(created_unix_ms, unix_ms),
            _ => false,
        };
        self.numbered_events()
            .filter(|(_, event)| is_active(event))
            .map(|(number, event)| event.to_entry(number))
            .collect()
    }
}
