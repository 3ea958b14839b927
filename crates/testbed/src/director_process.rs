//! Directors on loopback as processes of their own: their ports, configurations, starts, and what a list says of nodes.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{Value, json};

use crate::client_load::BUDGET_MS;
use crate::process::{ChildProcess, TrialError};

/// Ports that are free, below those that connections are given by themselves: a director that was killed finds its own
/// again, and installations beside one another seldom meet.
pub struct PortAllocator(Pcg32);

impl PortAllocator {
    pub fn new() -> PortAllocator {
        // Installations of one program, as tests are, choose apart as well.
        static CHOSEN: AtomicU64 = AtomicU64::new(0);
        let own = CHOSEN.fetch_add(1, Ordering::Relaxed) << 32;
        PortAllocator(Pcg32::seed_from_u64(own | u64::from(std::process::id())))
    }

    /// One that was free a moment ago; the director says so if it is not any more.
    pub fn allocate(&mut self) -> io::Result<SocketAddr> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for _ in 0..100 {
            let port = self.0.random_range(12_000..32_000);
            match TcpListener::bind(("127.0.0.1", port)).and_then(|l| l.local_addr()) {
                Ok(at) => return Ok(at),
                Err(e) => last = e,
            }
        }
        Err(last)
    }
}

/// Starts a director; what it logs is added to the file.
pub fn spawn_director(
    program: &dyn Fn() -> Command,
    config: &Path,
    log: &Path,
    duty: Option<&Path>,
) -> Result<ChildProcess, TrialError> {
    let mut command = program();
    command.env_remove("SABLECROSS_DUTY");
    command.envs(duty.map(|file| ("SABLECROSS_DUTY", file)));
    command.env("NODE_CONFIG", config).stdout(Stdio::null());
    ChildProcess::start(&mut command, log, "a director")
}

/// Waits until it takes connections, so long after `since` at most.
pub fn wait_until_serving(
    name: &str,
    at: SocketAddr,
    log: &Path,
    since: Instant,
    most: Duration,
) -> Result<(), TrialError> {
    while TcpStream::connect(at).is_err() {
        if since.elapsed() > most {
            return Err(TrialError::NotServing {
                name: name.into(),
                within: most.as_secs(),
                log: log.display().to_string(),
            });
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// A line of the list: caches stand at the edge, all else at the hub.
pub fn endpoint_json(name: &str, address: SocketAddr, kind: &str, status: &str, since: u64) -> Value {
    let zone = if kind == "small" { "edge" } else { "hub" };
    json!({"name": name, "address": address, "zone": zone, "type": kind, "group": 0, "status": status,
        "weight": 1, "since_ms": since})
}

pub fn members_event(endpoints: &[Value], whole: bool) -> String {
    format!("\"members\":{}", json!({"index": 1, "snapshot": whole, "endpoints": endpoints}))
}

/// What its nodes are like: the rule on cold ones, and how fast one transfer runs.
pub struct NodeModel {
    pub slow_start_initial_share: f64,
    pub slow_start_us: u64,
    pub collapse_multiple: f64,
    pub stream_kb_per_s: f64,
}

/// One of so many directors of the only location, with what the feed has told up to now.
pub fn director_config(
    number: usize,
    directors: usize,
    seed: u64,
    listen: SocketAddr,
    (feed, known): (SocketAddr, &[String]),
    like: &NodeModel,
) -> Value {
    let known: Vec<Value> = known.iter().filter_map(|event| serde_json::from_str(event).ok()).collect();
    json!({
        "name": format!("director-{number}"), "listen": listen, "seed": format!("{:x}", seed + number as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": feed,
        "flow_bytes_per_s": 1e6, "link_bytes_per_s": 1e7, "known": {"n": known.len(), "events": known},
        "settings": {
            "az": 1, "index": number, "discovery": "pushed", "periodUs": 1000, "zones": ["hub", "edge"],
            "kinds": ["small", "parent", "origin"],
            "classes": [{"name": "footage", "effect": "idempotent", "group": "all", "memorySpanUs": 5_000_000,
                "aimUs": 300_000, "aimStretch": 1.6, "deadlineUs": BUDGET_MS * 1_000, "worth": 2.0}],
            "ceilings": {"mayCancel": true, "parallelTries": true, "retryAfter": true, "maxRetryAfterUs": 500_000,
                "sendCap": 6, "dialTimeoutUs": 400_000, "keepaliveUs": 30_000_000},
            "guarantees": {"coldFrom": like.slow_start_initial_share, "warmAfterUs": like.slow_start_us, "fallMultiple": like.collapse_multiple,
                "fallUs": 1_000_000, "drainGraceUs": 2_000_000, "answerSlackUs": 5_000},
            "report": {"how": "none", "names": []},
            "extra": {"freshForUs": [0], "usableAfterUs": [0], "multiPart": [false], "neverKept": [false],
                "midKind": 1, "masterKind": 2, "direct": true, "joins": true,
                "streamKbPerS": like.stream_kb_per_s, "clearedWithinUs": 1_000_000,
                "parentStartsAt": like.slow_start_initial_share, "parentColdUs": like.slow_start_us,
                "upperFallMultiple": like.collapse_multiple, "zoneBalancers": [0, directors]}
        }
    })
}
