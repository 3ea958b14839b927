//! What a director uses while clients look objects up.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sablecross::mix;
use sablecross_testbed::client_load::{Response, encode_request, read_any_response};
use serde_json::{Value, json};

use super::process::Director;
use super::stub_server::{QUIET, serve_connections, serve_feed, serve_node};
use super::{DirectorCommand, MEASUREMENT_SPAN, PERCENT_OF_CORE, WARM_UP, cost, points};
use crate::MeasurementError;
use crate::cost::{Cost, resident_bytes_of};
use crate::discovery;

const CLIENTS: usize = 8;

/// Open-loop clients, which send at a fixed rate whatever is answered, and the counts of their responses.
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
    fn start(at: SocketAddr, rate: f64) -> io::Result<ClientLoad> {
        let clients = ClientLoad { stop: Arc::default(), satisfied: Arc::default(), others: Arc::default() };
        for client in 0..CLIENTS as u64 {
            let mut stream = TcpStream::connect(at)?;
            stream.set_nodelay(true)?;
            let mut responses = BufReader::new(stream.try_clone()?);
            let (satisfied, others) = (Arc::clone(&clients.satisfied), Arc::clone(&clients.others));
            thread::spawn(move || {
                while let Ok((_, response)) = read_any_response(&mut responses) {
                    let which = if matches!(response, Response::Success(_)) { &satisfied } else { &others };
                    which.fetch_add(1, Ordering::Relaxed);
                }
            });
            let stop = Arc::clone(&clients.stop);
            thread::spawn(move || {
                let (started, mut requested) = (Instant::now(), 0u64);
                while !stop.load(Ordering::Relaxed) {
                    while (requested as f64) < started.elapsed().as_secs_f64() * rate / CLIENTS as f64 {
                        requested += 1;
                        let object = mix(client << 40 | requested);
                        stream.write_all(&encode_request(object, requested as u32, object % 20_000))?;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
                stream.shutdown(std::net::Shutdown::Both)
            });
        }
        Ok(clients)
    }
}

/// What one director uses at one rate of lookups with bodies of one length.
struct LoadResult {
    cpu_percent: f64,
    satisfied_per_s: f64,
    memory: f64,
    descriptors: f64,
}

fn measure_load(program: DirectorCommand, rate: f64, length: usize) -> Result<LoadResult, MeasurementError> {
    let node = serve_connections(move |stream, stop| serve_node(stream, stop, length))?;
    let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, QUIET))?;
    // The caches of the own zone, two parents and the origin, all of them at the address of one stub server.
    let mut endpoints: Vec<Value> = (245..253).map(|n| discovery::endpoint(n, "ready")).collect();
    endpoints.push(discovery::endpoint(254, "ready"));
    for (n, e) in endpoints.iter_mut().enumerate() {
        let kind = match n {
            8 => "origin",
            0 | 4 => "parent",
            _ => "small",
        };
        (e["address"], e["zone"], e["type"]) = (json!(node.address), json!("zone-32"), json!(kind));
    }
    let director = Director::start(program, feed.address, &endpoints, None)?;
    let clients = ClientLoad::start(director.address, rate)?;
    thread::sleep(WARM_UP);
    let count = || [&clients.satisfied, &clients.others].map(|n| n.load(Ordering::Relaxed) as f64);
    let (before, started) = (count(), Instant::now());
    let core = director.cpu_percent(MEASUREMENT_SPAN)?;
    let (after, passed) = (count(), started.elapsed().as_secs_f64());
    let [satisfied, others] = [0, 1].map(|n| (after[n] - before[n]) / passed);
    // Otherwise the figures would be those of lookups that were not served.
    if satisfied < 0.98 * rate || others > 0.02 * rate {
        return Err(MeasurementError::LookupsNotSatisfied { rate, satisfied, others });
    }
    Ok(LoadResult {
        cpu_percent: core,
        satisfied_per_s: satisfied,
        memory: resident_bytes_of(&director.child.id().to_string()).unwrap_or(f64::NAN),
        descriptors: director.descriptors()? as f64,
    })
}

pub(crate) fn measure_lookups(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [100.0, 300.0, 526.0, 1_000.0, 1_800.0, 2_630.0];
    let all = sizes
        .iter()
        .map(|rate| measure_load(program, *rate, 256))
        .collect::<Result<Vec<_>, MeasurementError>>()?;
    let stop = "lookups a second";
    let of = |value: fn(&LoadResult) -> f64| points(&sizes, all.iter().map(value));
    Ok(vec![
        cost(
            "real-lookup-time",
            "a real director, bodies of 256 bytes",
            stop,
            PERCENT_OF_CORE,
            of(|s| s.cpu_percent),
        ),
        cost("real-lookup-memory", "a real director", stop, "bytes", of(|s| s.memory)),
        cost(
            "real-lookup-descriptors",
            "descriptors of a real director",
            stop,
            "open",
            of(|s| s.descriptors),
        ),
    ])
}

const BODY_TRIAL_RATE: f64 = 100.0;

pub(crate) fn measure_bodies(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [1.0, 16.0, 64.0, 128.0, 234.0];
    let all = sizes.iter().map(|kb| measure_load(program, BODY_TRIAL_RATE, (kb * 1024.0) as usize));
    let all = all.collect::<Result<Vec<_>, MeasurementError>>()?;
    let value = all.iter().map(|s| s.cpu_percent * 1e4 / s.satisfied_per_s);
    let what = "a real director's time for one lookup, at 100 a second";
    Ok(vec![cost("real-body-time", what, "KB a body", "us", points(&sizes, value))])
}
