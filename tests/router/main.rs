//! Table-driven tests of the router, and simulations of a fleet of directors. The operators' simulator is not used.

mod answers;
mod cache_policy;
mod deadline_margin;
mod fleet;
mod load_shedding;
mod outlier_ejection;
mod ring;
mod slow_start;
mod slow_start_classes;
mod slow_start_order;
#[path = "../support/mod.rs"]
mod support;

use rustix::time::{ClockId, clock_gettime};
use sablecross::*;
use support::*;

/// The node and the source to which the router sends the first attempt for each of the first objects.
fn targets(router: &mut Router, objects: u64) -> Vec<(usize, Option<usize>)> {
    let mut route =
        |o| route_and_finish(router, START, o, 10 * MS, Outcome::Success).map(|s| (s.node, s.source));
    (0..objects).map(|object| route(object).expect("the request is attempted")).collect()
}

/// The processor time of this thread. Unlike wall-clock time, it does not advance while other threads run.
fn thread_cpu_time() -> Ns {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as Ns * SEC + time.tv_nsec as Ns
}
