//! Selection of the feed that a subscriber calls. All feeds have the same events under the same numbers.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// The shortest time for which another feed is followed before the home feed is tried again. Up to the same time is
/// added by a hash of the subscriber's name, so that the subscribers don't all return at once.
const RETURN_DELAY: Duration = Duration::from_secs(20);

/// The feeds of one subscriber: its home feed first, then the others in an order that depends on the subscriber's
/// name, so that the subscribers of a failed feed spread over all remaining ones.
///
/// All times are measured from one starting point of the caller's choice.
#[derive(Clone, Debug)]
pub struct FeedSelector {
    feeds: Vec<SocketAddr>,
    current: usize,
    /// Hash of the subscriber's name.
    name_hash: u64,
    /// When the home feed is tried again, while another feed is followed.
    home_due_at: Duration,
    /// While the home feed is being tried: index of the feed to return to if the home feed fails.
    fallback: Option<usize>,
}

impl FeedSelector {
    /// Creates a selector that starts with the home feed. `name` is the subscriber's name and has to be unique.
    pub fn new(name: &str, home: SocketAddr, others: &[SocketAddr]) -> FeedSelector {
        let name_hash = hash(name);
        let mut rest: Vec<SocketAddr> = others.iter().copied().filter(|feed| *feed != home).collect();
        rest.sort_by_key(|feed| (hash((name_hash, feed)), *feed));
        rest.dedup();
        let feeds = std::iter::once(home).chain(rest).collect();
        FeedSelector { feeds, current: 0, name_hash, home_due_at: Duration::ZERO, fallback: None }
    }

    /// Returns the feed to call now.
    pub fn current(&self) -> SocketAddr {
        self.feeds[self.current]
    }

    /// Switches to the next feed after a call of the current one failed: it could not be reached, rejected the call, or
    /// its stream was interrupted, malformed or silent for too long. If the home feed was being tried, switches back to
    /// the feed that was followed before.
    pub fn on_failed(&mut self, now: Duration) {
        if self.current == 0 {
            self.home_due_at = now + self.return_delay();
        }
        let next = (self.current + 1) % self.feeds.len();
        self.current = self.fallback.take().unwrap_or(next);
    }

    /// Handles the end of a stream: the same feed is called again, or the home feed if it is due to be tried.
    pub fn on_stream_ended(&mut self, now: Duration) {
        if self.current != 0 && now >= self.home_due_at {
            self.home_due_at = now + self.return_delay();
            self.fallback = Some(self.current);
            self.current = 0;
        }
    }

    /// Switches to a feed that has answered an earlier call, after another one was selected. A feed that is not one of the
    /// selector's changes nothing.
    pub fn on_late_answer(&mut self, feed: SocketAddr) {
        self.current = self.feeds.iter().position(|known| *known == feed).unwrap_or(self.current);
    }

    /// Records that the current feed has accepted the call, and keeps following it.
    pub fn on_connected(&mut self) {
        self.fallback = None;
    }

    /// Returns the time after which the home feed is tried again: once to twice [`RETURN_DELAY`], by the name's hash.
    fn return_delay(&self) -> Duration {
        let fraction = (self.name_hash >> 32) as f64 / f64::from(u32::MAX);
        RETURN_DELAY + RETURN_DELAY.mul_f64(fraction)
    }
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
