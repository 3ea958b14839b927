//! The position of a subscriber in the event sequence. It decides which events are new, so that each event is applied
//! once and in order.

use std::fmt;

/// The position of a subscriber in the sequence of numbered events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCursor {
    last: u64,
    /// The value of `last` when a gap or an unreadable event last led to a new call. If either follows this number
    /// again, the feed no longer has the missing events, and the subscriber continues without them.
    gap_after: Option<u64>,
}

/// What to do with a received event. `E` is the reason why an event can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventVerdict<T, E> {
    /// Apply the event.
    New(T),
    /// Ignore the event: it was applied before.
    Duplicate,
    /// Call the feed again: an event was probably lost or truncated on the connection.
    Resubscribe(ResubscribeReason),
    /// Continue without the event: it could not be parsed after a second call either.
    Skip {
        /// Number of the event; 0 if it has none.
        number: u64,
        /// Why the event can't be parsed.
        reason: E,
    },
}

/// Why the feed has to be called again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResubscribeReason {
    /// Events before this number are missing.
    Gap {
        /// Number of the event that was received instead.
        before: u64,
    },
    /// An event can't be parsed.
    Unreadable {
        /// Number of the event; 0 if it has none.
        before: u64,
    },
}

impl fmt::Display for ResubscribeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResubscribeReason::Gap { before } => write!(f, "gap before={before}"),
            ResubscribeReason::Unreadable { before } => write!(f, "unreadable before={before}"),
        }
    }
}

impl EventCursor {
    /// Returns a cursor after the event with this number; 0 is before the first event.
    pub fn after_number(last: u64) -> EventCursor {
        EventCursor { last, gap_after: None }
    }

    /// Returns the number of the last event that was applied or skipped.
    pub fn last_number(&self) -> u64 {
        self.last
    }

    /// Classifies a received event and advances if it is to be applied or skipped. `id` is the number in the
    /// event's `id` field, `parsed` the number in its data and the content.
    pub fn classify<T, E>(&mut self, id: Option<u64>, parsed: Result<(u64, T), E>) -> EventVerdict<T, E> {
        let number = id.or(parsed.as_ref().ok().map(|(number, _)| *number));
        if number.is_some_and(|number| number <= self.last) {
            return EventVerdict::Duplicate;
        }
        let is_gap = number.is_some_and(|number| number > self.last + 1);
        if (is_gap || parsed.is_err()) && self.gap_after != Some(self.last) {
            self.gap_after = Some(self.last);
            let before = number.unwrap_or(0);
            return EventVerdict::Resubscribe(if is_gap {
                ResubscribeReason::Gap { before }
            } else {
                ResubscribeReason::Unreadable { before }
            });
        }
        match parsed {
            Ok((number, event)) => {
                self.last = number;
                EventVerdict::New(event)
            }
            Err(reason) => {
                self.last = number.unwrap_or(self.last);
                EventVerdict::Skip { number: number.unwrap_or(0), reason }
            }
        }
    }

    /// Advances if `number` is the next one, and returns whether it is. Used for events that don't come from a feed,
    /// such as those in a reloaded configuration.
    pub fn advance_if_next(&mut self, number: u64) -> bool {
        let is_next = number == self.last + 1;
        if is_next {
            self.last = number;
        }
        is_next
    }
}
