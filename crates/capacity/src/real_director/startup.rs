//! Measures a director from its start until it is idle.

use std::io;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use super::discovery_load::start_with_feeds;
use super::process::Director;
use super::stub_server::{FeedScript, KEEPALIVES_ONLY, StubServer, serve_connections, serve_feed};
use super::{DirectorCommand, ROUNDS, cost, points};
use crate::MeasurementError;
use crate::cost::{Cost, median, resident_bytes_of};
use crate::discovery;
use crate::fit::Point;

/// Waits until a director is idle, at most 30 seconds, and returns its processor time since its start in milliseconds and
/// its memory in bytes. A director is idle if it used less than 2 ms of processor time in half a second.
fn wait_until_idle(director: &Director) -> io::Result<(f64, f64)> {
    let mut previous_used = 0.0;
    for _ in 0..60 {
        thread::sleep(Duration::from_millis(500));
        let used = director.cpu_micros()?;
        if used - previous_used < 2_000.0 {
            break;
        }
        previous_used = used;
    }
    let memory = resident_bytes_of(&director.child.id().to_string()).unwrap_or(f64::NAN);
    Ok((director.cpu_micros()? / 1e3, memory))
}

/// Measures the processor time and the memory of starts at each size, as medians of rounds in which all sizes take turns.
fn measure_starts(
    sizes: &[f64],
    start: impl Fn(f64) -> Result<(Director, StubServer), MeasurementError>,
) -> Result<[Vec<Point>; 2], MeasurementError> {
    let mut samples = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (size, samples) in sizes.iter().zip(&mut samples) {
            let (director, _feed) = start(*size)?;
            let (time, memory) = wait_until_idle(&director)?;
            samples[0].push(time);
            samples[1].push(memory);
        }
    }
    Ok([0, 1].map(|n| points(sizes, samples.iter().map(|s| median(s[n].clone())))))
}

/// Measures starts of directors that receive many earlier purges at once: the largest number is that of one hour at 35
/// purges a second.
pub(crate) fn measure_initial_purges(
    director_command: DirectorCommand,
) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [1_000.0, 4_400.0, 20_000.0, 60_000.0, 126_000.0];
    let start = |purges: f64| {
        let script_for = |_| FeedScript {
            initial_purges: purges as u64,
            initial_span_ms: purges / 35.0 * 1e3,
            ..KEEPALIVES_ONLY
        };
        start_with_feeds(director_command, &[purges], script_for).map(|mut directors| directors.remove(0))
    };
    let [time, memory] = measure_starts(&sizes, start)?;
    let description = "start of a real director with 490 nodes listed that receives earlier purges at once";
    Ok(vec![
        cost("real-told-time", description, "purges", "ms of a core", time),
        cost("real-told-memory", description, "purges", "bytes", memory),
    ])
}

pub(crate) fn measure_list_starts(director_command: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [20.0, 50.0, 100.0, 200.0, 350.0, 490.0];
    let start = |nodes: f64| {
        let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, KEEPALIVES_ONLY))?;
        let endpoints: Vec<Value> = (0..nodes as usize).map(|n| discovery::endpoint(n, "ready")).collect();
        Ok((Director::start(director_command, feed.address, &endpoints, None)?, feed))
    };
    let [time, memory] = measure_starts(&sizes, start)?;
    let description = "start of a real director with the complete endpoint list in its configuration";
    Ok(vec![
        cost("real-start-time", description, "nodes", "ms of a core", time),
        cost("real-start-memory", description, "nodes", "bytes", memory),
    ])
}
