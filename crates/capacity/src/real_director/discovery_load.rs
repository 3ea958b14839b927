//! What a director uses while the discovery source sends purges and changes.

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

/// Starts one director for each size, all at the same time, each with its own discovery source.
pub(super) fn start_with_feeds(
    program: DirectorCommand,
    sizes: &[f64],
    script_for: impl Fn(f64) -> FeedScript,
) -> Result<Vec<(Director, StubServer)>, MeasurementError> {
    let endpoints: Vec<Value> = (0..NODES).map(|n| discovery::endpoint(n, "ready")).collect();
    let begin = |size: &f64| {
        let what = script_for(*size);
        let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, what))?;
        Ok((Director::start(program, feed.address, &endpoints, None)?, feed))
    };
    sizes.iter().map(begin).collect()
}

/// Processor time at each size: the median of all rounds.
fn measure_cpu(
    program: DirectorCommand,
    sizes: &[f64],
    script_for: impl Fn(f64) -> FeedScript,
) -> Result<Vec<Point>, MeasurementError> {
    let all = start_with_feeds(program, sizes, script_for)?;
    thread::sleep(WARM_UP);
    let mut samples = vec![Vec::new(); sizes.len()];
    for _ in 0..ROUNDS {
        let before = all.iter().map(|(d, _)| d.cpu_micros()).collect::<io::Result<Vec<f64>>>()?;
        let started = Instant::now();
        thread::sleep(MEASUREMENT_SPAN);
        for ((samples, before), (director, _)) in samples.iter_mut().zip(before).zip(&all) {
            samples.push((director.cpu_micros()? - before) / started.elapsed().as_secs_f64() / 1e4);
        }
    }
    Ok(points(sizes, samples.into_iter().map(median)))
}

pub(crate) fn measure_purge_rate(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [5.0, 20.0, 35.0, 100.0, 200.0, 350.0];
    let script_for = |rate: f64| {
        let first = (rate * PURGE_WINDOW_S) as u64;
        FeedScript {
            initial_purges: first,
            initial_span_ms: PURGE_WINDOW_S * 1e3,
            events_per_s: rate,
            batch_interval: Duration::ZERO,
            sends_changes: false,
        }
    };
    let what = "a real director, 490 nodes listed, each purge told by itself, as many known as bind";
    Ok(vec![cost(
        "real-purge-time",
        what,
        "purges a second",
        PERCENT_OF_CORE,
        measure_cpu(program, &sizes, script_for)?,
    )])
}

pub(crate) fn measure_batches(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [1.0, 2.0, 5.0, 10.0, 20.0];
    let script_for = |pieces: f64| {
        let batch = Duration::from_secs_f64(1.0 / pieces);
        FeedScript {
            initial_purges: 4_400,
            initial_span_ms: PURGE_WINDOW_S * 1e3,
            events_per_s: 35.0,
            batch_interval: batch,
            sends_changes: false,
        }
    };
    let what = "a real director, 490 nodes listed, 35 purges a second told in so many batches";
    Ok(vec![cost(
        "real-batch-time",
        what,
        "batches a second",
        PERCENT_OF_CORE,
        measure_cpu(program, &sizes, script_for)?,
    )])
}

pub(crate) fn measure_change_rate(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [0.25, 1.0, 5.0, 10.0, 25.0];
    let script_for = |rate| FeedScript {
        initial_purges: 0,
        initial_span_ms: 0.0,
        events_per_s: rate,
        batch_interval: Duration::ZERO,
        sends_changes: true,
    };
    let what = "a real director, 490 nodes listed, one-line changes of which a quarter are parents";
    Ok(vec![cost(
        "real-change-time",
        what,
        "changes a second",
        PERCENT_OF_CORE,
        measure_cpu(program, &sizes, script_for)?,
    )])
}
