//! Which upstream a plain relay follows: the next one of its list once the current one is silent, or has itself
//! known nothing of the leader for too long.

use sablecross_coordination::Ns;

/// The upstreams of a plain relay by their indices in its settings, the preferred one first.
#[derive(Clone, Debug)]
pub struct UpstreamSelector {
    count: usize,
    current: usize,
    /// A staleness past this, and the next one is followed.
    max_staleness: Ns,
    /// How long an upstream is given to show a lower staleness.
    grace_period: Ns,
    /// After so long at another one, the first is tried again.
    return_after: Ns,
    followed_since: Ns,
}

impl UpstreamSelector {
    /// `count` upstreams, of which the first is followed from `now` on. One is left if its staleness exceeds
    /// `max_staleness` when it has been followed for `grace_period`; the first is tried again after
    /// `return_after`.
    pub fn new(
        count: usize,
        max_staleness: Ns,
        grace_period: Ns,
        return_after: Ns,
        now: Ns,
    ) -> UpstreamSelector {
        UpstreamSelector { count, current: 0, max_staleness, grace_period, return_after, followed_since: now }
    }

    /// Index of the upstream to follow now; none if there are none.
    pub fn current(&self) -> Option<usize> {
        (self.count > 0).then_some(self.current)
    }

    fn switch_to(&mut self, now: Ns, index: usize) {
        self.current = index;
        self.followed_since = now;
    }

    /// The call failed, or the stream ended in an error: the next one is followed.
    pub fn on_failed(&mut self, now: Ns) {
        if self.count > 0 {
            self.switch_to(now, (self.current + 1) % self.count);
        }
    }

    /// Looks at how stale the current upstream is. Returns true if another one is to be followed from here on.
    pub fn check(&mut self, now: Ns, staleness: Ns) -> bool {
        if self.count < 2 {
            return false;
        }
        let followed_for = now.saturating_sub(self.followed_since);
        let is_stale = staleness > self.max_staleness;
        if is_stale && followed_for > self.grace_period {
            self.on_failed(now);
            return true;
        }
        if self.current != 0 && !is_stale && followed_for > self.return_after {
            self.switch_to(now, 0);
            return true;
        }
        false
    }
}
