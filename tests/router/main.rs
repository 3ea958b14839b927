//! Tables of cases for the decision module, without the simulator.

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

use sablecross::*;
use support::*;

/// Where each of many objects goes: the cache and the source.
fn targets(router: &mut Router, objects: u64) -> Vec<(usize, Option<usize>)> {
    let mut go =
        |o| route_and_finish(router, START, o, 10 * MS, Outcome::Success).map(|s| (s.node, s.source));
    (0..objects).map(|o| go(o).expect("sent")).collect()
}
