//! Measures a director while clients look up objects.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sablecross::split_mix64;
use sablecross_testbed::client_load::{Response, encode_request, read_any_response};
use serde_json::{Value, json};

use super::process::Director;
use super::stub_server::{KEEPALIVES_ONLY, serve_connections, serve_feed, serve_node};
use super::{DirectorCommand, MEASUREMENT_SPAN, PERCENT_OF_CORE, WARM_UP, cost, points};
use crate::MeasurementError;
use crate::cost::{Cost, resident_bytes_of};
use crate::discovery;

/// Number of client connections.
const CLIENTS: usize = 8;

/// Open-loop clients, which send at a fixed rate regardless of the responses, and the counts of their responses.
struct ClientLoad {
    stop: Arc<AtomicBool>,
    satisfied: Arc<AtomicU64>,
    others: Arc<AtomicU64>,
}

impl Drop for ClientLoad {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl ClientLoad {
    fn start(address: SocketAddr, rate: f64) -> io::Result<ClientLoad> {
        let clients = ClientLoad { stop: Arc::default(), satisfied: Arc::default(), others: Arc::default() };
        for client in 0..CLIENTS as u64 {
            let mut stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            let mut responses = BufReader::new(stream.try_clone()?);
            let (satisfied, others) = (Arc::clone(&clients.satisfied), Arc::clone(&clients.others));
            thread::spawn(move || {
                while let Ok((_, response)) = read_any_response(&mut responses) {
                    let counter = if matches!(response, Response::Success(_)) { &satisfied } else { &others };
                    counter.fetch_add(1, Ordering::Relaxed);
                }
            });
            let stop = Arc::clone(&clients.stop);
            thread::spawn(move || {
                let (started, mut sent) = (Instant::now(), 0u64);
                while !stop.load(Ordering::Relaxed) {
                    while (sent as f64) < started.elapsed().as_secs_f64() * rate / CLIENTS as f64 {
                        sent += 1;
                        let object = split_mix64(client << 40 | sent);
                        stream.write_all(&encode_request(object, sent as u32, object % 20_000))?;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
                stream.shutdown(std::net::Shutdown::Both)
            });
        }
        Ok(clients)
    }
}

/// The resources that a director uses at one rate of lookups with bodies of one length.
struct LoadResult {
    cpu_percent: f64,
    satisfied_per_s: f64,
    memory_bytes: f64,
    descriptors: f64,
}

fn measure_load(
    director_command: DirectorCommand,
    rate: f64,
    body_length: usize,
) -> Result<LoadResult, MeasurementError> {
    let node = serve_connections(move |stream, stop| serve_node(stream, stop, body_length))?;
    let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, KEEPALIVES_ONLY))?;
    // The caches of the director's zone, two parents and the origin. All of them have the address of one stub server.
    let mut endpoints: Vec<Value> = (245..253).map(|n| discovery::endpoint(n, "ready")).collect();
    endpoints.push(discovery::endpoint(254, "ready"));
    for (n, endpoint) in endpoints.iter_mut().enumerate() {
        let kind = match n {
            8 => "origin",
            0 | 4 => "parent",
            _ => "small",
        };
        (endpoint["address"], endpoint["zone"], endpoint["type"]) =
            (json!(node.address), json!("zone-32"), json!(kind));
    }
    let director = Director::start(director_command, feed.address, &endpoints, None)?;
    let clients = ClientLoad::start(director.address, rate)?;
    thread::sleep(WARM_UP);
    let response_counts = || [&clients.satisfied, &clients.others].map(|n| n.load(Ordering::Relaxed) as f64);
    let (before, started) = (response_counts(), Instant::now());
    let cpu_percent = director.cpu_percent(MEASUREMENT_SPAN)?;
    let (after, elapsed_s) = (response_counts(), started.elapsed().as_secs_f64());
    let [satisfied, others] = [0, 1].map(|n| (after[n] - before[n]) / elapsed_s);
    // With fewer satisfied lookups, the figures would not be those of the intended load.
    if satisfied < 0.98 * rate || others > 0.02 * rate {
        return Err(MeasurementError::LookupsNotSatisfied { rate, satisfied, others });
    }
    Ok(LoadResult {
        cpu_percent,
        satisfied_per_s: satisfied,
        memory_bytes: resident_bytes_of(&director.child.id().to_string()).unwrap_or(f64::NAN),
        descriptors: director.descriptors()? as f64,
    })
}

pub(crate) fn measure_lookups(director_command: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [100.0, 300.0, 526.0, 1_000.0, 1_800.0, 2_630.0];
    let results = sizes
        .iter()
        .map(|rate| measure_load(director_command, *rate, 256))
        .collect::<Result<Vec<_>, MeasurementError>>()?;
    let size_unit = "lookups a second";
    let points_of = |value: fn(&LoadResult) -> f64| points(&sizes, results.iter().map(value));
    Ok(vec![
        cost(
            "real-lookup-time",
            "processor time of a real director, bodies of 256 bytes",
            size_unit,
            PERCENT_OF_CORE,
            points_of(|result| result.cpu_percent),
        ),
        cost(
            "real-lookup-memory",
            "memory of a real director",
            size_unit,
            "bytes",
            points_of(|result| result.memory_bytes),
        ),
        cost(
            "real-lookup-descriptors",
            "open file descriptors of a real director",
            size_unit,
            "open",
            points_of(|result| result.descriptors),
        ),
    ])
}

/// Lookups a second in the measurement by body length.
const BODY_TRIAL_RATE: f64 = 100.0;

pub(crate) fn measure_bodies(director_command: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [1.0, 16.0, 64.0, 128.0, 234.0];
    let results =
        sizes.iter().map(|kb| measure_load(director_command, BODY_TRIAL_RATE, (kb * 1024.0) as usize));
    let results = results.collect::<Result<Vec<_>, MeasurementError>>()?;
    let micros_per_lookup = results.iter().map(|result| result.cpu_percent * 1e4 / result.satisfied_per_s);
    let description = "processor time of a real director for one lookup, at 100 lookups a second";
    Ok(vec![cost("real-body-time", description, "KB a body", "us", points(&sizes, micros_per_lookup))])
}
