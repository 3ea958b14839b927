//! How long a purge binds: the module bounds the age of copies by it for the time that nodes take to clear,
//! and for `HELD` more. After that no decision differs by whether it was told (shown against the module in
//! `tests/horizon.rs`), so that a log need not keep it.

use sablecross_coordination::Ns;

/// The module's constant of the same name (`src/choice.rs`).
pub const PURGE_HOLD_TIME: Ns = 120_000_000_000;

const MS: Ns = 1_000_000;
const LONGEST_STEP: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionWindow {
    /// The largest `purge_cleared` of all directors' settings.
    pub purge_propagation: Ns,
    /// `HELD` in service. Trials that have to see the end of a horizon take less: no module may rely on such
    /// a log.
    pub hold_time: Ns,
    /// How far apart clocks may be, and a purge may be on its way.
    pub clock_tolerance: Ns,
}

impl RetentionWindow {
    /// How long a purge binds from when it was made.
    pub fn purge_lifetime(&self) -> Ns {
        self.purge_propagation + self.hold_time
    }

    /// How long an event is kept.
    pub fn retention_time(&self) -> Ns {
        self.purge_lifetime() + self.clock_tolerance
    }

    /// Bases move in steps of this many milliseconds: a reader that was told one has so long to go on from it
    /// before the next.
    pub fn compaction_step_ms(&self) -> u64 {
        (self.retention_time() / MS / 4).min(LONGEST_STEP)
    }

    /// Whether what was made (Unix ms) so long ago binds nobody any more.
    pub fn is_expired(&self, made: u64, unix: u64) -> bool {
        unix >= made.saturating_add(self.retention_time().div_ceil(MS))
    }
}
