//! How long a call that its feed has not accepted keeps its place there.

use std::time::Duration;

/// The longest patience, which bounds how long a connection to a feed that never answers is kept.
const MAX_PATIENCE: Duration = Duration::from_secs(64);

/// Decides between two calls that a feed has not accepted yet: the older one, which has been waiting for its turn for
/// longer, and a newer one.
///
/// A call that is given up loses its place, so the older one is kept. But its feed may have lost it, which looks the same.
/// Each time that the patience is over the older call is given up and the patience doubles, so that a feed is heard however
/// long its calls wait, up to [`MAX_PATIENCE`].
#[derive(Clone, Debug)]
pub struct CallPatience {
    initial: Duration,
    current: Duration,
}

impl CallPatience {
    /// Creates the patience with the time for which the first call is kept.
    pub fn new(initial: Duration) -> CallPatience {
        CallPatience { initial, current: initial.min(MAX_PATIENCE) }
    }

    /// Whether the older call, which was begun this long ago, is kept. If it is not, the patience doubles.
    pub fn keeps(&mut self, age: Duration) -> bool {
        if age < self.current {
            return true;
        }
        self.current = (2 * self.current).min(MAX_PATIENCE);
        false
    }

    /// Starts again with the initial patience, because a call was accepted or another feed is called.
    pub fn reset(&mut self) {
        self.current = self.initial.min(MAX_PATIENCE);
    }
}
