//! The margin by which requests are answered earlier while the caller's threads are woken late. An answer that is
//! decided on time still has to pass through these threads.

use crate::types::{Ns, Request};

const MS: Ns = 1_000_000;
/// Delays up to this are covered by the margin that callers subtract from the client's deadline.
const TOLERATED_DELAY: Ns = 5 * MS;
/// Longer delays count as this one. They mean that the process was stopped; later delays are as short as before the
/// stop.
const MAX_COUNTED_DELAY: Ns = 50 * MS;
/// The margin is this multiple of the part of the counted delay above [`TOLERATED_DELAY`]. An answer waits for two
/// threads to be woken, and each of them may be woken later than any thread was recently.
const DELAY_MULTIPLE: Ns = 3;
/// The time in which the longest delay loses half of its weight.
const HALF_LIFE: Ns = 1_000 * MS;
/// The margin is at most the time that the client gives, divided by this.
const BUDGET_DIVISOR: Ns = 4;
/// Once the answer is due within this time, there is no further check before it is due.
const LAST_CHECK_WITHIN: Ns = 8 * MS;

/// The longest delay, with the time when it was measured.
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

/// Computes the margin from the longest recent delay, which is none if the caller measures no delays.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DeadlineMargin {
    peak: Option<Peak>,
}

impl DeadlineMargin {
    /// Records a measured delay.
    pub(crate) fn record(&mut self, now: Ns, delay: Ns) {
        let delay = delay.min(MAX_COUNTED_DELAY);
        if self.peak.is_none_or(|peak| delay >= peak.decayed(now)) {
            self.peak = Some(Peak { delay, at: now });
        }
    }

    /// How much earlier than usual a request has to be answered, given the delays known now.
    pub(crate) fn margin(&self, now: Ns, request: &Request) -> Ns {
        self.peak.map_or(0, |peak| margin_for(peak.decayed(now), request))
    }

    /// When to check next whether a request has to be answered. `answer_time` is when it has to be answered by the
    /// present delays; the time changes as delays grow or shrink. None if no check is needed.
    pub(crate) fn next_margin_check(&self, now: Ns, answer_time: Ns, request: &Request) -> Option<Ns> {
        self.peak?;
        let latest = answer_time + self.margin(now, request);
        let first_check = latest.saturating_sub(margin_for(MAX_COUNTED_DELAY, request));
        if now < first_check {
            return Some(first_check);
        }
        let time_left = answer_time.saturating_sub(now);
        if time_left > LAST_CHECK_WITHIN {
            Some(now + time_left / 2)
        } else {
            (answer_time < latest).then_some(answer_time)
        }
    }
}

fn margin_for(delay: Ns, request: &Request) -> Ns {
    let budget = request.deadline.saturating_sub(request.arrived_at);
    (DELAY_MULTIPLE * delay.saturating_sub(TOLERATED_DELAY)).min(budget / BUDGET_DIVISOR)
}
