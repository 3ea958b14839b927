//! Which events are new: each is applied once and in order.

use std::fmt;

/// The position of a subscriber in the numbered events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCursor {
    last: u64,
    /// Events after this number were missing or unreadable once already: then they can't be had.
    gap_after: Option<u64>,
}

/// What is to be done with an event; `E` is why it can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventVerdict<T, E> {
    /// Apply it.
    New(T),
    /// It was applied before.
    Duplicate,
    /// It was lost or cut on the way, most likely: call the feed once more.
    Resubscribe(ResubscribeReason),
    /// It can't be read, the second time as well: go on without it.
    Skip {
        /// Its number, 0 if it has none.
        number: u64,
        /// Why it can't be read.
        reason: E,
    },
}

/// Why the feed is to be called once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResubscribeReason {
    /// Events before this number are missing.
    Gap {
        /// Number of the event that came instead.
        before: u64,
    },
    /// An event can't be read.
    Unreadable {
        /// Its number, 0 if it has none.
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
    /// Behind the event with this number; 0 is before the first.
    pub fn after_number(last: u64) -> EventCursor {
        EventCursor { last, gap_after: None }
    }

    /// The number of the last event that was applied or skipped.
    pub fn last_number(&self) -> u64 {
        self.last
    }

    /// Takes in an event: the number in its `id`, and what it holds with the number in its data.
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

    /// Advances if `number` is the next one, and says whether it is. For events that another feed has brought
    /// already.
    pub fn advance_if_next(&mut self, number: u64) -> bool {
        let is_next = number == self.last + 1;
        if is_next {
            self.last = number;
        }
        is_next
    }
}
