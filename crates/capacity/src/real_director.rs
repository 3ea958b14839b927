//! Measures the processor time, memory and file descriptors of a real director process. Stub servers on loopback take
//! the place of the discovery source and the nodes; threads of this process take the place of the clients. Processor
//! time is the time that the system counts for the director's threads, so that other load on the machine has little
//! effect.

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

/// Builds the command that starts a director.
pub type DirectorCommand<'a> = &'a dyn Fn() -> Command;

/// Number of nodes in the endpoint list, unless a measurement varies it.
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
    description: &'static str,
    size_unit: &'static str,
    unit: &'static str,
    points: Vec<Point>,
) -> Cost {
    let kind = match unit {
        "bytes" => MeasurementKind::Resident,
        "open" => MeasurementKind::Counted,
        _ => MeasurementKind::Timed,
    };
    Cost { name, description, size_unit, unit, kind, points }
}
