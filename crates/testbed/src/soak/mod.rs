//! A soak test: it runs real directors as processes on loopback under overlapping faults and checks their behavior from
//! outside.
//!
//! Stub clients, nodes and discovery speak the published protocol and report what they observe to the `RuleChecker`,
//! which checks the invariants. The faults come two or three at a time, as drawn from the seed: signals, failing system
//! calls and clock steps from a preloaded fault library, and misbehaving nodes and discovery. In addition directors get
//! series of signals and, with some seeds, one director gets a crowd of idle clients. Each cache has a capacity in
//! calls per second, and a cold cache that is overloaded collapses and stays down. While a director is stopping, most
//! of its clients use their connections until the director ends them. What the directors report themselves (violations,
//! panics) is read from their logs at the end.

mod capacity;
mod client;
mod director;
mod discovery;
mod evidence;
mod fault_injection;
mod fault_log;
mod fault_plan;
mod invariants;
mod lateness;
mod node;
mod report;
mod rule_checker;
mod run;
mod send_log;
mod service;
mod service_plan;

use std::path::PathBuf;

pub use evidence::{Evidence, TimeSpan};
pub use fault_log::FaultSpan;
pub use fault_plan::{Fault, ScheduledFault, plan_faults};
pub use invariants::{Rule, Violation};
pub use lateness::{Delays, Lateness};
pub use node::Misbehavior;
pub use report::{SoakReport, Verdict};
pub use rule_checker::NearestColdNode;
pub use run::run;
pub use service_plan::{Crowd, ServicePlan, SignalSeries, SignalStep, plan_service};

/// The options of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the fault plan, of the service plan and of the clients' requests.
    pub seed: u64,
    /// How long the load lasts, in seconds.
    pub seconds: u64,
    /// The number of directors.
    pub directors: usize,
    /// The number of cache nodes; there is also one parent and one origin.
    pub caches: usize,
    /// The number of clients of each director.
    pub clients_per_director: usize,
    /// The path of the fault library; without one no system calls fail, no clock steps and there are no send logs.
    pub fault_library: Option<PathBuf>,
}

/// Seconds since the soak began.
pub type Seconds = f64;
