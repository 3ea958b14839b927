//! Measures a director while the discovery source sends purges and changes.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::process::Director;
use super::stub_server::{FeedScript, StubServer, serve_connections, serve_feed};
use super::{
    DirectorCommand, MEASUREMENT_SPAN, NODES, PERCENT_OF_CORE, PURGE_WINDOW_S, ROUNDS, WARM_UP, cost, points,
};
use crate::MeasurementError;
use crate::cost::{Cost, median};
use crate::discovery;
use crate::fit::Point;

/// Starts one director for each size, each with its own discovery source. All directors run at the same time.
pub(super) fn start_with_feeds(
    director_command: DirectorCommand,
    sizes: &[f64],
    script_for: impl Fn(f64) -> FeedScript,
) -> Result<Vec<(Director, StubServer)>, MeasurementError> {
    let endpoints: Vec<Value> = (0..NODES).map(|n| discovery::endpoint(n, "ready")).collect();
    let start = |size: &f64| {
        let script = script_for(*size);
        let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, script))?;
        Ok((Director::start(director_command, feed.address, &endpoints, None)?, feed))
    };
    sizes.iter().map(start).collect()
}

/// Measures the processor time at each size, as the median of all rounds.
fn measure_cpu(
    director_command: DirectorCommand,
    sizes: &[f64],
    script_for: impl Fn(f64) -> FeedScript,
) -> Result<Vec<Point>, MeasurementError> {
    let directors = start_with_feeds(director_command, sizes, script_for)?;
    thread::sleep(WARM_UP);
    let mut samples = vec![Vec::new(); sizes.len()];
    for _ in 0..ROUNDS {
        let before =
            directors.iter().map(|(director, _)| director.cpu_micros()).collect::<io::Result<Vec<f64>>>()?;
        let started = Instant::now();
        thread::sleep(MEASUREMENT_SPAN);
        for ((samples, before), (director, _)) in samples.iter_mut().zip(before).zip(&directors) {
            samples.push((director.cpu_micros()? - before) / started.elapsed().as_secs_f64() / 1e4);
        }
    }
    Ok(points(sizes, samples.into_iter().map(median)))
}

pub(crate) fn measure_purge_rate(director_command: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [5.0, 20.0, 35.0, 100.0, 200.0, 350.0];
    let script_for = |rate: f64| {
        let initial_purges = (rate * PURGE_WINDOW_S) as u64;
        FeedScript {
            initial_purges,
            initial_span_ms: PURGE_WINDOW_S * 1e3,
            events_per_s: rate,
            batch_interval: Duration::ZERO,
            sends_changes: false,
        }
    };
    let description =
        "a real director with 490 nodes listed and all active purges known, one event for each purge";
    Ok(vec![cost(
        "real-purge-time",
        description,
        "purges a second",
        PERCENT_OF_CORE,
        measure_cpu(director_command, &sizes, script_for)?,
    )])
}

pub(crate) fn measure_batches(director_command: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [1.0, 2.0, 5.0, 10.0, 20.0];
    let script_for = |batches_per_s: f64| {
        let batch_interval = Duration::from_secs_f64(1.0 / batches_per_s);
        FeedScript {
            initial_purges: 4_400,
            initial_span_ms: PURGE_WINDOW_S * 1e3,
            events_per_s: 35.0,
            batch_interval,
            sends_changes: false,
        }
    };
    let description = "a real director with 490 nodes listed, 35 purges a second sent in batches";
    Ok(vec![cost(
        "real-batch-time",
        description,
        "batches a second",
        PERCENT_OF_CORE,
        measure_cpu(director_command, &sizes, script_for)?,
    )])
}

pub(crate) fn measure_change_rate(director_command: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [0.25, 1.0, 5.0, 10.0, 25.0];
    let script_for = |rate| FeedScript {
        initial_purges: 0,
        initial_span_ms: 0.0,
        events_per_s: rate,
        batch_interval: Duration::ZERO,
        sends_changes: true,
    };
    let description =
        "a real director with 490 nodes listed, changes of one endpoint each, a quarter of them parents";
    Ok(vec![cost(
        "real-change-time",
        description,
        "changes a second",
        PERCENT_OF_CORE,
        measure_cpu(director_command, &sizes, script_for)?,
    )])
}
