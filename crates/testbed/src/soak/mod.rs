//! A soak test: real directors as processes on loopback under overlapping troubles, judged from outside.
//!
//! Stand-in clients, nodes and discovery speak the operators' published protocol and note what they see; signals and a
//! preloaded fault library make trouble, two or three kinds at a time, as a seed draws it. `judge` holds the
//! invariants. What the directors count themselves (violations, panics) is read from their logs at the end.

mod clients;
mod discovery;
mod faults;
mod fleet;
mod judge;
mod nodes;
mod run;

pub use faults::{Fault, plan as plan_faults};
pub use judge::{Rule, Violation};
pub use nodes::Misbehavior;
pub use run::{SoakReport, run};

use std::path::PathBuf;

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub seconds: u64,
    pub directors: usize,
    pub caches: usize,
    pub clients_per_director: usize,
    /// The fault library; none: no faults of system calls.
    pub fault_library: Option<PathBuf>,
}

/// Seconds since the soak began.
pub(crate) type Seconds = f64;
