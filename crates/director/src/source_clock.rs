//! The clock of whoever stamps the events of the control feed, as far as its stamps tell.
//!
//! This machine's wall clock may be off from it by an hour, and step; so ages of stamps are not measured against it. A
//! stamp that is heard of has passed at its source: the latest one, plus the monotonic time since it was heard of, is
//! a lower bound of the source's clock. Ages by that bound are never too long: a node that started is taken as colder
//! than it is by the way of the latest stamp through the feed, and never as warmer.

use sablecross::Ns;

#[derive(Clone, Copy, Debug, Default)]
pub struct SourceClock {
    latest: Option<Observed>,
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    stamp: Ns,
    heard_at: Ns,
}

impl SourceClock {
    /// A stamp was heard of at this local time.
    pub fn observe(&mut self, stamp: Ns, now: Ns) {
        if stamp > self.at_least(now) {
            self.latest = Some(Observed { stamp, heard_at: now });
        }
    }

    /// The least that the source's clock tells at this local time.
    fn at_least(&self, now: Ns) -> Ns {
        self.latest.map_or(0, |l| l.stamp.saturating_add(now.saturating_sub(l.heard_at)))
    }

    /// The local time of a stamp that was observed, or a later one.
    pub fn to_local(&self, stamp: Ns, now: Ns) -> Ns {
        let age = self.at_least(now).saturating_sub(stamp);
        now.saturating_sub(age)
    }
}
