//! Which of several feeds, all with the same events under the same numbers, a reader calls.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Away from home, home is tried after this, and up to as much again by the reader's name: not all come back at once.
const AWAY: Duration = Duration::from_secs(20);

/// The feeds of one reader: home first, then the others in an order of its own, so that the readers of one that is lost
/// spread over all that are left.
#[derive(Clone, Debug)]
pub struct FeedSelector {
    all: Vec<SocketAddr>,
    at: usize,
    own: u64,
    /// When home is tried next, while another is followed; times count from any moment, the same for all calls.
    home_due: Duration,
    /// Home is being tried, and this one is to go on with if it fails.
    back_to: Option<usize>,
}

fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

impl FeedSelector {
    /// `name`: the reader's, another at each.
    pub fn new(name: &str, home: SocketAddr, others: &[SocketAddr]) -> FeedSelector {
        let own = hash(name);
        let mut rest: Vec<SocketAddr> = others.iter().copied().filter(|a| *a != home).collect();
        rest.sort_by_key(|at| (hash((own, at)), *at));
        rest.dedup();
        let all = std::iter::once(home).chain(rest).collect();
        FeedSelector { all, at: 0, own, home_due: Duration::ZERO, back_to: None }
    }

    /// Whom to call now.
    pub fn current(&self) -> SocketAddr {
        self.all[self.at]
    }

    /// It could not be reached, said nothing or refused: the next one is called.
    pub fn on_failed(&mut self, now: Duration) {
        let next = (self.at + 1) % self.all.len();
        if self.at == 0 {
            self.home_due = now + self.away();
        }
        self.at = self.back_to.take().unwrap_or(next);
    }

    /// The stream came to its end: the same one is called again, or home once that is due.
    pub fn on_stream_ended(&mut self, now: Duration) {
        if self.at != 0 && now >= self.home_due {
            self.home_due = now + self.away();
            self.back_to = Some(self.at);
            self.at = 0;
        }
    }

    /// It answers: this one is followed.
    pub fn on_connected(&mut self) {
        self.back_to = None;
    }

    fn away(&self) -> Duration {
        AWAY + AWAY.mul_f64((self.own >> 32) as f64 / f64::from(u32::MAX))
    }
}
