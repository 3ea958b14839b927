//! What a real director uses as a process: processor time, memory and descriptors, with stand-ins for the discovery
//! source, the nodes and the clients on loopback. Processor time is what the system counts for its threads, so that other
//! load on the machine matters little.

mod discovery_load;
mod lookup_load;
mod process;
mod startup;
mod stub_server;
mod voting;

use std::process::Command;
use std::time::Duration;

pub(crate) use discovery_load::{measure_batches, measure_change_rate, measure_purge_rate};
pub(crate) use lookup_load::{measure_bodies, measure_lookups};
pub(crate) use startup::{measure_initial_purges, measure_list_starts};
pub(crate) use voting::measure_voters;

use crate::cost::{Cost, MeasurementKind};
use crate::fit::Point;

/// Makes the command that starts a director.
pub type DirectorCommand<'a> = &'a dyn Fn() -> Command;

const NODES: usize = 490;
const WARM_UP: Duration = Duration::from_secs(3);
const MEASUREMENT_SPAN: Duration = Duration::from_secs(8);
const ROUNDS: usize = 3;
/// Seconds for which a purge affects decisions.
const PURGE_WINDOW_S: f64 = 126.0;
const PERCENT_OF_CORE: &str = "% of a core";

fn points(sizes: &[f64], values: impl IntoIterator<Item = f64>) -> Vec<Point> {
    sizes.iter().zip(values).map(|(size, value)| Point { size: *size, value }).collect()
}

fn cost(
    name: &'static str,
    what: &'static str,
    over: &'static str,
    unit: &'static str,
    p: Vec<Point>,
) -> Cost {
    let how = match unit {
        "bytes" => MeasurementKind::Resident,
        "open" => MeasurementKind::Counted,
        _ => MeasurementKind::Timed,
    };
    Cost { name, description: what, size_unit: over, unit, kind: how, points: p }
}
