//! Selection of the upstream that a plain relay follows: it switches to the next one of its list when the current one
//! fails, is silent, or has itself not heard of the leader for too long.

use sablecross_coordination::Ns;

/// The upstreams of a plain relay, by their indices in its settings; the first is preferred.
#[derive(Clone, Debug)]
pub struct UpstreamSelector {
    count: usize,
    current: usize,
    /// The relay leaves an upstream whose staleness exceeds this time.
    max_staleness: Ns,
    /// Time that an upstream has after the switch to it to show a lower staleness.
    grace_period: Ns,
    /// Time at another upstream after which the first is tried again.
    return_after: Ns,
    /// When the relay switched to the current upstream.
    followed_since: Ns,
}

impl UpstreamSelector {
    /// Creates a selector of `count` upstreams that follows the first one from `now` on. The relay leaves an
    /// upstream whose staleness exceeds `max_staleness` after it has been followed for `grace_period`. The first is
    /// tried again after `return_after`.
    pub fn new(
        count: usize,
        max_staleness: Ns,
        grace_period: Ns,
        return_after: Ns,
        now: Ns,
    ) -> UpstreamSelector {
        UpstreamSelector { count, current: 0, max_staleness, grace_period, return_after, followed_since: now }
    }

    /// Returns the index of the upstream to follow now, or `None` if there is no upstream.
    pub fn current(&self) -> Option<usize> {
        (self.count > 0).then_some(self.current)
    }

    fn switch_to(&mut self, now: Ns, index: usize) {
        self.current = index;
        self.followed_since = now;
    }

    /// Switches to the next upstream after a failed call or a stream that ended in an error.
    pub fn on_failed(&mut self, now: Ns) {
        if self.count > 0 {
            self.switch_to(now, (self.current + 1) % self.count);
        }
    }

    /// Switches the upstream if the current one is stale, or if the first one is due to be tried again. Returns
    /// whether it switched.
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
