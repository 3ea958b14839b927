//! The retention window: how long events are kept.
//!
//! After a purge the router limits the age of the copies that it accepts, for the time that nodes take to clear purged
//! objects and for `PURGE_HOLD_TIME` more. After that, no decision depends on whether the purge was received
//! (`tests/retention.rs` shows this with the router), so a log does not need to keep the purge.

use sablecross_coordination::Ns;

/// For how long the router keeps applying a purge after nodes have cleared the purged objects; equals
/// `PURGE_HOLD_TIME` of the router (`src/cache_policy.rs`).
pub const PURGE_HOLD_TIME: Ns = 120_000_000_000;

const NS_PER_MS: Ns = 1_000_000;
/// The longest compaction step.
const MAX_COMPACTION_STEP_MS: u64 = 10_000;
/// A compaction step is at most the retention time divided by this number.
const COMPACTION_STEPS: u64 = 4;

/// The times that determine for how long a log keeps events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionWindow {
    /// Time within which nodes clear purged objects: the longest of all directors' settings.
    pub purge_propagation: Ns,
    /// [`PURGE_HOLD_TIME`] in service. Tests that need events to expire use a shorter time; no router may rely on
    /// such a log.
    pub hold_time: Ns,
    /// Sum of the largest clock difference and the longest delivery time of a purge.
    pub clock_tolerance: Ns,
}

impl RetentionWindow {
    /// Returns for how long a purge is active after its creation.
    pub fn purge_lifetime(&self) -> Ns {
        self.purge_propagation + self.hold_time
    }

    /// Returns for how long an event is kept.
    pub fn retention_time(&self) -> Ns {
        self.purge_lifetime() + self.clock_tolerance
    }

    /// Returns the shortest time in milliseconds between two moves of the snapshot: the time that a subscriber has to
    /// continue from one snapshot before the next replaces it.
    pub fn compaction_step_ms(&self) -> u64 {
        (self.retention_time() / NS_PER_MS / COMPACTION_STEPS).min(MAX_COMPACTION_STEP_MS)
    }

    /// Returns whether an event created at `created_unix_ms` has expired at `unix_ms`.
    pub fn is_expired(&self, created_unix_ms: u64, unix_ms: u64) -> bool {
        unix_ms >= created_unix_ms.saturating_add(self.retention_time().div_ceil(NS_PER_MS))
    }
}
