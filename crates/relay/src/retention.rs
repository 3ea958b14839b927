//! How long events are kept.
//!
//! The router bounds the age of cached copies by a purge for the time that nodes take to clear, and for
//! `PURGE_HOLD_TIME` more. After that, no decision differs by whether the purge was received
//! (`tests/retention.rs` shows it against the router), so a log need not keep it.

use sablecross_coordination::Ns;

/// For how long the router holds to a purge after nodes have cleared: its constant.
pub const PURGE_HOLD_TIME: Ns = 120_000_000_000;

const NS_PER_MS: Ns = 1_000_000;
const MAX_COMPACTION_STEP_MS: u64 = 10_000;
/// A compaction step is this part of the retention time, if that is shorter.
const COMPACTION_STEPS: u64 = 4;

/// For how long a log keeps events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionWindow {
    /// In which time nodes clear a purge: the longest of all directors' settings.
    pub purge_propagation: Ns,
    /// [`PURGE_HOLD_TIME`] in service. Tests that have to see events expire take less: no router may rely on
    /// such a log.
    pub hold_time: Ns,
    /// How far apart clocks may be and a purge may be on its way, together.
    pub clock_tolerance: Ns,
}

impl RetentionWindow {
    /// For how long a purge is active from when it was made.
    pub fn purge_lifetime(&self) -> Ns {
        self.purge_propagation + self.hold_time
    }

    /// For how long an event is kept.
    pub fn retention_time(&self) -> Ns {
        self.purge_lifetime() + self.clock_tolerance
    }

    /// Snapshots move in steps of this many milliseconds: so long has a subscriber that was sent one to go on
    /// from it before the next.
    pub fn compaction_step_ms(&self) -> u64 {
        (self.retention_time() / NS_PER_MS / COMPACTION_STEPS).min(MAX_COMPACTION_STEP_MS)
    }

    /// Whether what was made at `created_unix_ms` has expired.
    pub fn is_expired(&self, created_unix_ms: u64, unix_ms: u64) -> bool {
        unix_ms >= created_unix_ms.saturating_add(self.retention_time().div_ceil(NS_PER_MS))
    }
}
