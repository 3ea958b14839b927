//! Which events are news: each is taken once and in order.

/// Up to which number events were taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventCursor {
    last: u64,
    /// The number after which events were missing or unreadable once already: then they are not to be had.
    gap: Option<u64>,
}

/// What becomes of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventVerdict<T> {
    New(T),
    /// It was taken before.
    Duplicate,
    /// Lost or cut on the way, most likely: the feed is to be called once more.
    Resubscribe(String),
    /// It can't be read, the second time as well.
    Skip {
        number: u64,
        reason: String,
    },
}

impl EventCursor {
    /// Behind that number; 0: before the first.
    pub fn after_number(last: u64) -> EventCursor {
        EventCursor { last, gap: None }
    }

    /// The number of the last event that was taken or passed over.
    pub fn last_number(&self) -> u64 {
        self.last
    }

    /// What becomes of an event under this `id`, and of what it holds with the number that it names itself.
    pub fn classify<T>(&mut self, id: Option<u64>, parsed: Result<(u64, T), String>) -> EventVerdict<T> {
        let number = id.or(parsed.as_ref().ok().map(|(n, _)| *n));
        if number.is_some_and(|n| n <= self.last) {
            return EventVerdict::Duplicate;
        }
        let missing = number.is_some_and(|n| n > self.last + 1);
        if (missing || parsed.is_err()) && self.gap != Some(self.last) {
            self.gap = Some(self.last);
            let what = if missing { "gap" } else { "unreadable" };
            return EventVerdict::Resubscribe(format!("{what} before={}", number.unwrap_or(0)));
        }
        match parsed {
            Ok((n, event)) => {
                self.last = n;
                EventVerdict::New(event)
            }
            Err(why) => {
                self.last = number.unwrap_or(self.last);
                EventVerdict::Skip { number: number.unwrap_or(0), reason: why }
            }
        }
    }

    /// Of what is known at another feed already, only what follows the last one is news: whether this is.
    pub fn advance_if_next(&mut self, number: u64) -> bool {
        let news = number == self.last + 1;
        self.last += u64::from(news);
        news
    }
}
