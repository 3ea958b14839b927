//! Which of several feeds, all with the same events under the same numbers, a subscriber calls.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// While another feed is followed, the home feed is tried after this, and up to as much again by the subscriber's
/// name: not all return at once.
const RETURN_DELAY: Duration = Duration::from_secs(20);

/// The feeds of one subscriber: its home feed first, then the others in an order of its own, so that the subscribers
/// of a feed that is lost spread over all that are left.
///
/// Times count from any moment, the same for all calls.
#[derive(Clone, Debug)]
pub struct FeedSelector {
    feeds: Vec<SocketAddr>,
    current: usize,
    /// Hash of the subscriber's name.
    name_hash: u64,
    /// When the home feed is tried next, while another one is followed.
    home_due_at: Duration,
    /// The home feed is being tried; this is the index of the feed to return to if it fails.
    fallback: Option<usize>,
}

impl FeedSelector {
    /// Begins with the home feed. `name` is the subscriber's, different at each.
    pub fn new(name: &str, home: SocketAddr, others: &[SocketAddr]) -> FeedSelector {
        let name_hash = hash(name);
        let mut rest: Vec<SocketAddr> = others.iter().copied().filter(|feed| *feed != home).collect();
        rest.sort_by_key(|feed| (hash((name_hash, feed)), *feed));
        rest.dedup();
        let feeds = std::iter::once(home).chain(rest).collect();
        FeedSelector { feeds, current: 0, name_hash, home_due_at: Duration::ZERO, fallback: None }
    }

    /// The feed to call now.
    pub fn current(&self) -> SocketAddr {
        self.feeds[self.current]
    }

    /// The feed could not be reached, sent nothing or rejected the call: the next one is called.
    pub fn on_failed(&mut self, now: Duration) {
        if self.current == 0 {
            self.home_due_at = now + self.return_delay();
        }
        let next = (self.current + 1) % self.feeds.len();
        self.current = self.fallback.take().unwrap_or(next);
    }

    /// The stream came to its end: the same feed is called again, or the home feed once that is due.
    pub fn on_stream_ended(&mut self, now: Duration) {
        if self.current != 0 && now >= self.home_due_at {
            self.home_due_at = now + self.return_delay();
            self.fallback = Some(self.current);
            self.current = 0;
        }
    }

    /// The feed answers: it is followed.
    pub fn on_connected(&mut self) {
        self.fallback = None;
    }

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
