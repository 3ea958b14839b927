//! The call that waits for its turn at a feed while others are made beside it.

use std::time::{Duration, Instant};

/// The longest patience, which bounds how long a connection to a feed that never answers is kept.
const MAX_PATIENCE: Duration = Duration::from_secs(64);

/// What is known of a call that its feed had not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The feed has sent nothing yet.
    Waiting,
    /// The feed has sent something.
    Answered,
    /// The connection has ended.
    Lost,
}

/// Keeps at most one call that a feed has not accepted in time.
///
/// A call that is given up loses its place at the feed, so the oldest one is kept while others are made. But its feed may have
/// lost it, which looks the same. Each time that the patience is over the call gives way to a newer one and the patience
/// doubles, so that a feed is heard however long its calls wait, up to 64 s.
#[derive(Debug)]
pub struct WaitingCall<C> {
    call: Option<(C, Instant)>,
    initial_patience: Duration,
    patience: Duration,
}

impl<C> WaitingCall<C> {
    /// Creates the place for a call, without one. `initial_patience` is how long the first call is kept.
    pub fn new(initial_patience: Duration) -> WaitingCall<C> {
        let initial_patience = initial_patience.min(MAX_PATIENCE);
        WaitingCall { call: None, initial_patience, patience: initial_patience }
    }

    /// Keeps a call that was begun at `began_at`, unless an older one still has its place. The other one is dropped.
    pub fn set_aside(&mut self, call: C, began_at: Instant, now: Instant) {
        if let Some((_, earlier_began_at)) = self.call {
            if now.saturating_duration_since(earlier_began_at) < self.patience {
                return;
            }
            self.patience = (2 * self.patience).min(MAX_PATIENCE);
        }
        self.call = Some((call, began_at));
    }

    /// Takes the call if `check` finds it answered. Drops it if it is lost.
    pub fn take_answered(&mut self, check: impl FnOnce(&mut C) -> CallState) -> Option<C> {
        let (mut call, began_at) = self.call.take()?;
        match check(&mut call) {
            CallState::Waiting => {
                self.call = Some((call, began_at));
                None
            }
            CallState::Answered => Some(call),
            CallState::Lost => None,
        }
    }

    /// Drops the call, and starts again with the initial patience, because a call was accepted or another feed is called.
    pub fn reset(&mut self) {
        (self.call, self.patience) = (None, self.initial_patience);
    }
}
