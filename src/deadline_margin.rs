//! How much earlier requests are answered while this process is woken late: an answer that is decided on time still has
//! to pass the caller's threads.

use crate::types::{Ns, Request};

const MS: Ns = 1_000_000;
/// Delays up to this are within the margin that callers keep.
const USUAL_DELAY: Ns = 5 * MS;
/// What is longer is a stop, after which delays are as before.
const MAX_DELAY: Ns = 50 * MS;
/// An answer waits for two threads to be woken, each of which may be later than any lately.
const DELAY_MULTIPLE: Ns = 3;
/// The time in which the longest delay loses half of its weight.
const HALF_LIFE: Ns = 1_000 * MS;
/// The margin is at most this part of the time that the client gives.
const MAX_PART_OF_BUDGET: Ns = 4;
/// While the answer is this near, no further look at the delays pays.
const LAST_LOOK: Ns = 8 * MS;

/// The longest delay and when it was measured.
#[derive(Clone, Copy, Debug)]
struct Peak {
    delay: Ns,
    at: Ns,
}

impl Peak {
    fn decayed(&self, now: Ns) -> Ns {
        let halvings = now.saturating_sub(self.at) / HALF_LIFE;
        self.delay.checked_shr(halvings as u32).unwrap_or(0)
    }
}

/// The longest delay of late, where callers measure any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeadlineMargin {
    peak: Option<Peak>,
}

impl DeadlineMargin {
    /// Takes a delay that was measured.
    pub(crate) fn record(&mut self, now: Ns, delay: Ns) {
        let delay = delay.min(MAX_DELAY);
        if self.peak.is_none_or(|peak| delay >= peak.decayed(now)) {
            self.peak = Some(Peak { delay, at: now });
        }
    }

    /// How much earlier than usual a request is answered, as things are now.
    pub(crate) fn margin(&self, now: Ns, request: &Request) -> Ns {
        self.peak.map_or(0, |peak| margin_for(peak.decayed(now), request))
    }

    /// When it is to be looked again whether a request has to be answered now, given when it will be unless delays grow
    /// or shrink. None if that is no matter.
    pub(crate) fn next_look(&self, now: Ns, answer_time: Ns, request: &Request) -> Option<Ns> {
        self.peak?;
        let latest = answer_time + self.margin(now, request);
        let first = latest.saturating_sub(margin_for(MAX_DELAY, request));
        if now < first {
            return Some(first);
        }
        let left = answer_time.saturating_sub(now);
        if left > LAST_LOOK { Some(now + left / 2) } else { (answer_time < latest).then_some(answer_time) }
    }
}

fn margin_for(delay: Ns, request: &Request) -> Ns {
    let budget = request.deadline.saturating_sub(request.arrived_at);
    (DELAY_MULTIPLE * delay.saturating_sub(USUAL_DELAY)).min(budget / MAX_PART_OF_BUDGET)
}
