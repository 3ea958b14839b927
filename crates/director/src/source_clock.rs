//! The clock of whoever stamps the events of discovery, as far as it can be inferred from its stamps.
//!
//! This machine's wall clock may be off from it by an hour, and step; so ages of stamps are not measured against it. A
//! stamp that has been received has passed at its source: the latest one, plus the monotonic time since it was
//! received, is a lower bound of the source's clock. Ages by that bound are never too long: a node that started is
//! taken as colder than it is by the way of the latest stamp through discovery, and never as warmer.

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
    /// A stamp was received at this local time.
    pub(crate) fn observe(&mut self, stamp: Ns, now: Ns) {
        if stamp > self.lower_bound(now) {
            self.latest = Some(Observation { stamp, received_at: now });
        }
    }

    /// The earliest that the source's clock can be at this local time.
    fn lower_bound(&self, now: Ns) -> Ns {
        self.latest.map_or(0, |latest| latest.stamp.saturating_add(now.saturating_sub(latest.received_at)))
    }

    /// The local time of a stamp that was observed, or a later one.
    pub(crate) fn local_time(&self, stamp: Ns, now: Ns) -> Ns {
        let age = self.lower_bound(now).saturating_sub(stamp);
        now.saturating_sub(age)
    }
}
