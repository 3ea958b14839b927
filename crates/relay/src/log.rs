//! The numbered log: the list as it stands up to a number, and every event after that which may bind still.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sablecross_coordination::FencingToken;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::{Event, EventKind};
use crate::retention::RetentionWindow;

/// Text by which a publisher knows its event again; longer ones are refused.
pub const LONGEST_MARK: usize = 128;

/// An event with its number and the token of the owner that made it, as voters hand it on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    pub number: u64,
    #[serde(rename = "by")]
    pub token: FencingToken,
    /// Without its number.
    pub body: String,
    #[serde(rename = "mark")]
    pub idempotency_key: Option<String>,
}

/// All that was told up to a number, as far as it counts still.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub number: u64,
    /// The number that its era began with: nothing of that is told before a majority keeps what follows
    /// (`Group`).
    #[serde(rename = "began")]
    pub epoch_start: u64,
    /// The token of the entry with this number.
    #[serde(rename = "by")]
    pub token: FencingToken,
    /// A whole list is known. Until then nothing can be told to those who are behind.
    #[serde(rename = "listed")]
    pub has_list: bool,
    /// The latest index of the list, as its publisher counts.
    #[serde(rename = "index")]
    pub list_index: u64,
    /// The endpoints' JSON by their names.
    pub members: BTreeMap<String, String>,
    /// The latest hierarchy: the number of its event, and its body.
    pub hierarchy: Option<(u64, String)>,
}

impl Snapshot {
    fn fold(&mut self, number: u64, by: FencingToken, event: &Event) {
        (self.number, self.token) = (number, by);
        match event.kind() {
            EventKind::Purge { .. } => {}
            EventKind::Hierarchy => self.hierarchy = Some((number, event.body().to_owned())),
            EventKind::Members { .. } => {
                let Some((whole, endpoints)) = event.endpoints() else { return };
                if whole {
                    self.members.clear();
                    self.has_list = true;
                }
                self.list_index = self.list_index.max(event.index().unwrap_or(0));
                for e in endpoints {
                    if e.is_gone {
                        self.members.remove(&e.name);
                    } else {
                        self.members.insert(e.name, e.json);
                    }
                }
            }
        }
    }

    fn bytes(&self) -> usize {
        let members: usize = self.members.iter().map(|(name, raw)| name.len() + raw.len()).sum();
        members + self.hierarchy.as_ref().map_or(0, |(_, body)| body.len())
    }

    fn list(&self) -> Event {
        Event::snapshot(self.list_index, self.members.values().map(String::as_str))
    }

    /// What one is told that has this number, which is lower. A stream may break after each event and the
    /// reader go on at another relay, whose base is lower: so it must miss nothing there, whichever of these
    /// it had. The whole list goes under the base's number. A hierarchy that it has not goes under its own
    /// before that, and before it the list once more, as it stands now: whoever has that is told of the
    /// changes since then again, which changes nothing in the end.
    fn frames(&self, cursor: u64) -> Vec<u8> {
        let list = self.list();
        let (mut out, mut cursor) = (Vec::new(), cursor);
        if let Some((number, body)) = self.hierarchy.as_ref().filter(|(number, _)| *number > cursor) {
            if cursor + 1 < *number {
                out.extend_from_slice(&list.to_frame(number - 1));
            }
            out.extend_from_slice(
                format!("id: {number}\ndata: {{\"n\":{number},{}\n\n", &body[1..]).as_bytes(),
            );
            cursor = *number;
        }
        if cursor < self.number {
            out.extend_from_slice(&list.to_frame(self.number));
        }
        out
    }
}

#[derive(Clone, Debug)]
struct Kept {
    kind: EventKind,
    by: FencingToken,
    mark: Option<String>,
    /// When it came here, Unix ms.
    taken: u64,
    frame: Box<[u8]>,
}

impl Kept {
    fn body(&self, number: u64) -> String {
        let head = head(number);
        let rest = self.frame.get(head..self.frame.len().saturating_sub(2)).unwrap_or_default();
        format!("{{{}", String::from_utf8_lossy(rest))
    }
}

fn head(number: u64) -> usize {
    "id: \ndata: {\"n\":,".len() + 2 * number.checked_ilog10().map_or(1, |l| l as usize + 1)
}

/// Why the log takes no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the log holds {bytes} bytes of {most}: it binds still, so no more is taken until that is over")]
pub struct LogFull {
    pub bytes: usize,
    pub most: usize,
}

/// What is told: consecutive numbers, never cut. Events that may be cut still are kept by `Group`.
#[derive(Clone, Debug)]
pub struct Log {
    base: Snapshot,
    events: VecDeque<Kept>,
    marks: BTreeMap<String, u64>,
    horizon: RetentionWindow,
    bytes: usize,
    base_bytes: usize,
    listed: bool,
    /// The endpoints of the list as it stands at the last number.
    names: BTreeSet<String>,
    /// The list of the base as it is told, for the number that it was made for.
    told: Option<(u64, Vec<u8>)>,
}

impl Log {
    pub fn new(horizon: RetentionWindow) -> Log {
        Log::from_snapshot(horizon, Snapshot::default())
    }

    pub fn from_snapshot(horizon: RetentionWindow, base: Snapshot) -> Log {
        let (base_bytes, listed) = (base.bytes(), base.has_list);
        let (events, marks) = (VecDeque::new(), BTreeMap::new());
        let names = base.members.keys().cloned().collect();
        Log { base, events, marks, horizon, bytes: 0, base_bytes, listed, names, told: None }
    }

    pub fn retention(&self) -> RetentionWindow {
        self.horizon
    }

    pub fn snapshot(&self) -> &Snapshot {
        &self.base
    }

    /// The number of its last event, 0 before the first.
    pub fn last_number(&self) -> u64 {
        self.base.number + self.events.len() as u64
    }

    /// The token of its last event.
    pub fn last_token(&self) -> FencingToken {
        self.events.back().map_or(self.base.token, |e| e.by)
    }

    /// The token of a number that it holds.
    pub fn token_at(&self, number: u64) -> Option<FencingToken> {
        match number.checked_sub(self.base.number + 1) {
            Some(i) => self.events.get(usize::try_from(i).ok()?).map(|e| e.by),
            None => (number == self.base.number).then_some(self.base.token),
        }
    }

    /// A whole list was told.
    pub fn has_list(&self) -> bool {
        self.listed
    }

    /// How many endpoints the list has; none: no whole list was told.
    pub fn endpoint_count(&self) -> Option<usize> {
        self.listed.then_some(self.names.len())
    }

    /// Bytes of the base and all events.
    pub fn size_bytes(&self) -> usize {
        self.bytes + self.base_bytes
    }

    /// Whether so many bytes more are taken within `most`.
    pub fn check_capacity(&self, more: usize, most: usize) -> Result<(), LogFull> {
        let bytes = self.size_bytes();
        if bytes + more > most { Err(LogFull { bytes, most }) } else { Ok(()) }
    }

    /// The number under which this mark was published, as far as the log reaches.
    pub fn number_of_key(&self, mark: &str) -> Option<u64> {
        self.marks.get(mark).copied()
    }

    /// Takes the next event, at this Unix ms, under the number that it gets.
    pub fn append(&mut self, event: &Event, by: FencingToken, mark: Option<&str>, unix: u64) -> u64 {
        let number = self.last_number() + 1;
        let frame = event.to_frame(number).into_boxed_slice();
        self.bytes += frame.len();
        if matches!(event.kind(), EventKind::Members { .. }) {
            let (whole, endpoints) = event.endpoints().unwrap_or_default();
            if whole {
                self.names.clear();
                self.listed = true;
            }
            for e in endpoints {
                if e.is_gone {
                    self.names.remove(&e.name)
                } else {
                    self.names.insert(e.name)
                };
            }
        }
        if let Some(mark) = mark {
            self.marks.insert(mark.to_owned(), number);
        }
        let mark = mark.map(str::to_owned);
        self.events.push_back(Kept { kind: event.kind(), by, mark, taken: unix, frame });
        number
    }

    /// Folds what binds nobody any more into the base, at this Unix ms: all of it, once the first has been
    /// over for a step.
    pub fn compact(&mut self, unix: u64) {
        let over = |log: &Log, e: &Kept, unix: u64| match e.kind {
            // Nobody has the list, so nobody follows from here yet.
            EventKind::Members { is_snapshot: false } if !log.base.has_list && log.base.number > 0 => true,
            // One that was old as it came stays a little, for readers in step.
            EventKind::Purge { created_unix_ms: at } => {
                log.horizon.is_expired(at, unix) && unix >= e.taken + log.horizon.compaction_step_ms()
            }
            _ => log.horizon.is_expired(e.taken, unix),
        };
        // A base that moves with each event would be told over and over to one that is behind it.
        let step = self.horizon.compaction_step_ms();
        let first = self.events.front();
        if first.is_none_or(|e| !over(self, e, unix.saturating_sub(step))) {
            return;
        }
        while let Some(e) = self.events.front().filter(|e| over(self, e, unix)) {
            let number = self.base.number + 1;
            self.bytes -= e.frame.len();
            if let Some(mark) = e.mark.as_ref().filter(|m| self.marks.get(*m) == Some(&number)) {
                self.marks.remove(mark);
            }
            (self.base.number, self.base.token) = (number, e.by);
            if !matches!(e.kind, EventKind::Purge { .. })
                && let Ok((_, event)) = Event::parse(e.body(number).as_bytes(), usize::MAX)
            {
                self.base.fold(number, e.by, &event);
                self.base_bytes = self.base.bytes();
            }
            self.events.pop_front();
        }
    }

    /// Appends to `out` what follows `cursor`, as it is on the wire: at least one event, and no further one
    /// past `most` bytes of `out`. Returns the number up to which it was told; the same as `cursor` if there
    /// is nothing to tell.
    ///
    /// One that is behind the base gets that, as one whole whose bytes do not count, and at least one event
    /// more.
    pub fn encode_after(&mut self, cursor: u64, most: usize, out: &mut Vec<u8>) -> u64 {
        let mut cursor = cursor;
        let start = out.len();
        if cursor < self.base.number && !self.base.has_list {
            // The first list that is told is a base by itself.
            if self.events.front().is_none_or(|e| e.kind != EventKind::Members { is_snapshot: true }) {
                return cursor;
            }
            cursor = self.base.number;
        }
        if cursor < self.base.number {
            let number = self.base.number;
            if self.base.hierarchy.as_ref().is_some_and(|(h, _)| *h > cursor) {
                out.extend_from_slice(&self.base.frames(cursor));
            } else {
                let told = self.told.take().filter(|(n, _)| *n == number);
                let told = told.unwrap_or_else(|| (number, self.base.frames(cursor)));
                out.extend_from_slice(&told.1);
                self.told = Some(told);
            }
            cursor = number;
        }
        let (start, most) = (out.len(), most.saturating_add(out.len() - start));
        let first = usize::try_from(cursor - self.base.number).unwrap_or(usize::MAX);
        for e in self.events.iter().skip(first) {
            if out.len() > start && out.len() + e.frame.len() > most {
                break;
            }
            out.extend_from_slice(&e.frame);
            cursor += 1;
        }
        cursor
    }

    /// Entries after this number, none before the base, up to so many bytes and at least one.
    pub fn entries_after(&self, after: u64, most: usize) -> Vec<LogEntry> {
        let first = after.max(self.base.number);
        let skip = usize::try_from(first - self.base.number).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (i, e) in self.events.iter().enumerate().skip(skip) {
            bytes += e.frame.len();
            if bytes > most && !entries.is_empty() {
                break;
            }
            let number = self.base.number + 1 + i as u64;
            entries.push(LogEntry {
                number,
                token: e.by,
                body: e.body(number),
                idempotency_key: e.mark.clone(),
            });
        }
        entries
    }

    /// The list with all that was told, as a base at this number; none of its purges.
    pub fn snapshot_at(&self, number: u64) -> Snapshot {
        let mut base = self.base.clone();
        for (i, e) in
            self.events.iter().enumerate().filter(|(_, e)| !matches!(e.kind, EventKind::Purge { .. }))
        {
            let of = self.base.number + 1 + i as u64;
            if let Ok((_, event)) = Event::parse(e.body(of).as_bytes(), usize::MAX) {
                base.fold(of, e.by, &event);
            }
        }
        Snapshot { number, token: FencingToken::default(), ..base }
    }

    /// Purges that may bind still at this Unix ms, as bodies with their marks, in their order.
    pub fn active_purges(&self, unix: u64) -> Vec<(String, Option<String>)> {
        let binds = |e: &Kept| matches!(e.kind, EventKind::Purge { created_unix_ms: made } if !self.horizon.is_expired(made, unix));
        let numbered = (self.base.number + 1..).zip(&self.events);
        numbered.filter(|(_, e)| binds(e)).map(|(n, e)| (e.body(n), e.mark.clone())).collect()
    }
}
