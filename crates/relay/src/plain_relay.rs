//! A plain relay: its log, and the events that it receives from another relay or from an external feed.

use std::collections::BTreeMap;

use sablecross_coordination::{FencingToken, Ns};

use crate::action::Action;
use crate::event::{Event, EventError, EventKind, MAX_EVENT_NUMBER};
use crate::log::Log;
use crate::relay::{ApplyOutcome, ResubscribeReason};
use crate::snapshot::Snapshot;
use crate::staleness::Staleness;
use crate::upstream_selector::UpstreamSelector;

/// The state of a plain relay.
#[derive(Debug)]
pub(crate) struct PlainRelay {
    pub(crate) log: Log,
    pub(crate) upstream: UpstreamSelector,
    pub(crate) staleness: Staleness,
    /// The last applied number at which events were missing or unreadable, so that the upstream was called again.
    gap_after: Option<u64>,
}

impl PlainRelay {
    pub(crate) fn new(log: Log, upstream: UpstreamSelector) -> PlainRelay {
        PlainRelay { log, upstream, staleness: Staleness::unknown(), gap_after: None }
    }

    /// Switches to another upstream if the current one is stale or the first one is due to be tried again. Returns
    /// the index of the new upstream.
    pub(crate) fn check_upstream(&mut self, now: Ns) -> Option<usize> {
        let age = self.staleness.age(now);
        if !self.upstream.check(now, age) {
            return None;
        }
        self.gap_after = None;
        Some(self.upstream.current().unwrap_or_default())
    }

    /// Processes an event of the upstream. When an event is missing or unreadable, the upstream is called again. If
    /// the event is still missing or unreadable after that call, an empty event takes the number of an unreadable
    /// event, and a complete list takes the place of all missing events before it, so that numbers stay the same at
    /// all relays. As long as events are missing and no complete list is received, the upstream is called again.
    pub(crate) fn on_event(
        &mut self,
        unix_ms: u64,
        id: Option<u64>,
        data: &[u8],
        max_bytes: usize,
        actions: &mut Vec<Action>,
    ) -> ApplyOutcome {
        let last = self.log.last_number();
        if id.is_some_and(|id| id <= last) {
            return ApplyOutcome::Duplicate;
        }
        let parsed = Event::parse(data, max_bytes);
        let number = id.or(parsed.as_ref().ok().and_then(|parsed| parsed.number));
        let Some(number) = number else {
            return ApplyOutcome::Resubscribe(ResubscribeReason::NoNumber);
        };
        if number <= last {
            return ApplyOutcome::Duplicate;
        }
        if number >= MAX_EVENT_NUMBER {
            let error = EventError::NumberTooLarge(number);
            return ApplyOutcome::Resubscribe(ResubscribeReason::Unreadable(error));
        }
        let is_next = number == last + 1;
        match parsed {
            Ok(parsed) if is_next => self.append(&parsed.event, unix_ms),
            parsed if self.gap_after != Some(last) => {
                // The event was probably lost or cut on the connection: the upstream is called again.
                self.gap_after = Some(last);
                ApplyOutcome::Resubscribe(match parsed {
                    Ok(_) => ResubscribeReason::Gap { number, last },
                    Err(error) => ResubscribeReason::Unreadable(error),
                })
            }
            Err(error) if is_next => {
                let line = format!(
                    "event {number} of the upstream can't be read, an empty one takes its place: {error}"
                );
                actions.push(Action::Log(line));
                self.append(&Event::empty_update(), unix_ms)
            }
            Err(error) => ApplyOutcome::Resubscribe(ResubscribeReason::Unreadable(error)),
            Ok(parsed) if parsed.event.kind() == (EventKind::Members { is_snapshot: true }) => {
                let first = last + 1;
                let line = format!("events {first} to {number} have expired: the complete list is taken");
                actions.push(Action::Log(line));
                self.replace_log(number, &parsed.event)
            }
            Ok(_) => ApplyOutcome::Resubscribe(ResubscribeReason::GapWithoutList { number, last }),
        }
    }

    fn append(&mut self, event: &Event, unix_ms: u64) -> ApplyOutcome {
        self.log.append(event, FencingToken::default(), None, unix_ms);
        self.gap_after = None;
        ApplyOutcome::Applied
    }

    /// Replaces the log by one that begins with this complete list.
    fn replace_log(&mut self, number: u64, list: &Event) -> ApplyOutcome {
        let endpoints = list.endpoints().map(|list| list.endpoints).unwrap_or_default();
        let present = endpoints.into_iter().filter(|endpoint| !endpoint.is_gone);
        let members: BTreeMap<String, String> =
            present.map(|endpoint| (endpoint.name, endpoint.json)).collect();
        let list_index = list.index().unwrap_or(0);
        let snapshot = Snapshot { has_list: true, list_index, members, ..self.log.snapshot_at(number) };
        self.log = Log::from_snapshot(self.log.retention(), snapshot);
        self.gap_after = None;
        ApplyOutcome::Applied
    }
}
