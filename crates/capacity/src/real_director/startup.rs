//! What a director uses from its start until it is idle.

use std::io;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use super::discovery_load::start_with_feeds;
use super::process::Director;
use super::stub_server::{FeedScript, QUIET, StubServer, serve_connections, serve_feed};
use super::{DirectorCommand, ROUNDS, cost, points};
use crate::MeasurementError;
use crate::cost::{Cost, median, resident_bytes_of};
use crate::discovery;
use crate::fit::Point;

/// Waits until a director is idle and returns its processor time since the start in milliseconds, and its memory in
/// bytes.
fn wait_until_idle(director: &Director) -> io::Result<(f64, f64)> {
    let mut last = 0.0;
    for _ in 0..60 {
        thread::sleep(Duration::from_millis(500));
        let used = director.cpu_micros()?;
        if used - last < 2_000.0 {
            break;
        }
        last = used;
    }
    let memory = resident_bytes_of(&director.child.id().to_string()).unwrap_or(f64::NAN);
    Ok((director.cpu_micros()? / 1e3, memory))
}

/// Processor time and memory of starts at each size: the medians of rounds in which all sizes take turns.
fn measure_starts(
    sizes: &[f64],
    begin: impl Fn(f64) -> Result<(Director, StubServer), MeasurementError>,
) -> Result<[Vec<Point>; 2], MeasurementError> {
    let mut samples = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (size, samples) in sizes.iter().zip(&mut samples) {
            let (director, _feed) = begin(*size)?;
            let (time, memory) = wait_until_idle(&director)?;
            samples[0].push(time);
            samples[1].push(memory);
        }
    }
    Ok([0, 1].map(|n| points(sizes, samples.iter().map(|s| median(s[n].clone())))))
}

/// Starts of directors that receive the purges of the last hour at once.
pub(crate) fn measure_initial_purges(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [1_000.0, 4_400.0, 20_000.0, 60_000.0, 126_000.0];
    let begin = |first: f64| {
        let script_for =
            |_| FeedScript { initial_purges: first as u64, initial_span_ms: first / 35.0 * 1e3, ..QUIET };
        start_with_feeds(program, &[first], script_for).map(|mut all| all.remove(0))
    };
    let [time, memory] = measure_starts(&sizes, begin)?;
    let what = "a real director's start with 490 nodes listed, so many purges of the last hour told at once";
    Ok(vec![
        cost("real-told-time", what, "purges", "ms of a core", time),
        cost("real-told-memory", what, "purges", "bytes", memory),
    ])
}

pub(crate) fn measure_list_starts(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [20.0, 50.0, 100.0, 200.0, 350.0, 490.0];
    let begin = |nodes: f64| {
        let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, QUIET))?;
        let endpoints: Vec<Value> = (0..nodes as usize).map(|n| discovery::endpoint(n, "ready")).collect();
        Ok((Director::start(program, feed.address, &endpoints, None)?, feed))
    };
    let [time, memory] = measure_starts(&sizes, begin)?;
    let what = "a real director's start, with the whole list in its configuration";
    Ok(vec![
        cost("real-start-time", what, "nodes", "ms of a core", time),
        cost("real-start-memory", what, "nodes", "bytes", memory),
    ])
}
