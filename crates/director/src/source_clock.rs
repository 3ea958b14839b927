//! An estimate of the clock by which discovery stamps the start times of nodes, inferred from the stamps.
//!
//! This machine's wall clock may differ from the source's clock by an hour, and may step, so the age of a stamp is not
//! measured by it. A stamp that has been received has already passed at its source: the latest stamp, plus the
//! monotonic time since it was received, is a lower bound of the source's clock. Ages computed from this bound are
//! never too large. They are too small by the delay of the latest stamp in discovery, so a node may count as younger
//! and colder than it is, but never as warmer.

use sablecross::Ns;

/// A lower bound of the source's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SourceClock {
    latest: Option<Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    stamp: Ns,
    received_at: Ns,
}

impl SourceClock {
    /// Records a stamp that was received at the local time `now`.
    pub(crate) fn observe(&mut self, stamp: Ns, now: Ns) {
        if stamp > self.lower_bound(now) {
            self.latest = Some(Observation { stamp, received_at: now });
        }
    }

    /// Returns the earliest time that the source's clock can show at the local time `now`.
    fn lower_bound(&self, now: Ns) -> Ns {
        self.latest.map_or(0, |latest| latest.stamp.saturating_add(now.saturating_sub(latest.received_at)))
    }

    /// Converts an observed stamp to local time. The result may be later than the true time, but never earlier.
    pub(crate) fn local_time(&self, stamp: Ns, now: Ns) -> Ns {
        let age = self.lower_bound(now).saturating_sub(stamp);
        now.saturating_sub(age)
    }
}
