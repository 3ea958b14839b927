//! How long a purge binds: the module bounds the age of copies by it for the time that nodes take to clear,
//! and for `HELD` more. After that no decision differs by whether it was told (shown against the module in
//! `tests/horizon.rs`), so that a log need not keep it.

use sablecross_duty::Ns;

/// The module's constant of the same name (`src/choice.rs`).
pub const HELD: Ns = 120_000_000_000;

const MS: Ns = 1_000_000;
const LONGEST_STEP: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Horizon {
    /// The largest `purge_cleared` of all directors' settings.
    pub cleared: Ns,
    /// `HELD` in service. Trials that have to see the end of a horizon take less: no module may rely on such
    /// a log.
    pub held: Ns,
    /// How far apart clocks may be, and a purge may be on its way.
    pub slack: Ns,
}

impl Horizon {
    /// How long a purge binds from when it was made.
    pub fn binds(&self) -> Ns {
        self.cleared + self.held
    }

    /// How long an event is kept.
    pub fn keeps(&self) -> Ns {
        self.binds() + self.slack
    }

    /// Bases move in steps of this many milliseconds: a reader that was told one has so long to go on from it
    /// before the next.
    pub fn step(&self) -> u64 {
        (self.keeps() / MS / 4).min(LONGEST_STEP)
    }

    /// Whether what was made (Unix ms) so long ago binds nobody any more.
    pub fn over(&self, made: u64, unix: u64) -> bool {
        unix >= made.saturating_add(self.keeps().div_ceil(MS))
    }
}
