//! A soak test: real directors as processes on loopback under overlapping faults, checked from outside.
//!
//! Stand-in clients, nodes and discovery speak the operators' published protocol and report what they see to the
//! `Judge`, which holds the invariants. Signals and a preloaded fault library cause the faults, two or three at a
//! time, as the seed draws them; beside them directors get signals in series and, with some seeds, a crowd of idle
//! clients. Caches bear so many calls a second, and a cold one that is pushed over collapses and stays down. Clients use
//! their connections until the director ends them. What the directors count themselves (violations, panics) is read from
//! their logs at the end.

mod capacity;
mod client;
mod director;
mod discovery;
mod evidence;
mod fault_injection;
mod fault_log;
mod fault_plan;
mod invariants;
mod judge;
mod lateness;
mod node;
mod report;
mod run;
mod send_log;
mod service;
mod service_plan;

use std::path::PathBuf;

pub use evidence::{Evidence, TimeSpan};
pub use fault_log::FaultSpan;
pub use fault_plan::{Fault, ScheduledFault, plan_faults};
pub use invariants::{Rule, Violation};
pub use judge::NearestColdNode;
pub use lateness::{Delays, Lateness};
pub use node::Misbehavior;
pub use report::{SoakReport, Verdict};
pub use run::run;
pub use service_plan::{Crowd, ServicePlan, SignalSeries, SignalStep, plan_service};

/// What a soak consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the plan of faults and of the clients' requests.
    pub seed: u64,
    /// How long the load lasts.
    pub seconds: u64,
    /// The number of directors.
    pub directors: usize,
    /// The number of cache nodes; a parent and an origin stand beside them.
    pub caches: usize,
    /// The number of clients of each director.
    pub clients_per_director: usize,
    /// The fault library; without one no system calls fail.
    pub fault_library: Option<PathBuf>,
}

/// Seconds since the soak began.
pub type Seconds = f64;
