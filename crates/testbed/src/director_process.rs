//! Director processes on loopback: their configurations, their start, and the entries of their endpoint list.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client_load::BUDGET_MS;
use crate::process::{ChildProcess, TrialError};

const SERVING_POLL: Duration = Duration::from_millis(20);
/// The environment variable with the file of a director's coordination settings.
const COORDINATION_VARIABLE: &str = "SABLECROSS_DUTY";

/// Starts a director. Its log is appended to `log`; `coordination` is the file of its coordination settings, if any.
pub(crate) fn spawn_director(
    program: &dyn Fn() -> Command,
    config: &Path,
    log: &Path,
    coordination: Option<&Path>,
) -> Result<ChildProcess, TrialError> {
    let mut command = program();
    command.env_remove(COORDINATION_VARIABLE);
    command.envs(coordination.map(|file| (COORDINATION_VARIABLE, file)));
    command.env("NODE_CONFIG", config).stdout(Stdio::null());
    ChildProcess::start(&mut command, log, "a director")
}

/// Waits until a process accepts connections, at most until `timeout` after `since`.
pub(crate) fn wait_until_serving(
    name: &str,
    address: SocketAddr,
    log: &Path,
    since: Instant,
    timeout: Duration,
) -> Result<(), TrialError> {
    while TcpStream::connect(address).is_err() {
        if since.elapsed() > timeout {
            return Err(TrialError::NotServing {
                name: name.into(),
                within: timeout.as_secs(),
                log: log.display().to_string(),
            });
        }
        std::thread::sleep(SERVING_POLL);
    }
    Ok(())
}

/// An entry of the endpoint list. Caches are in the zone `edge`, all other nodes in the zone `hub`.
pub(crate) fn endpoint_json(
    name: &str,
    address: SocketAddr,
    kind: &str,
    status: &str,
    since_ms: u64,
) -> Value {
    let zone = if kind == "small" { "edge" } else { "hub" };
    json!({"name": name, "address": address, "zone": zone, "type": kind, "group": 0, "status": status,
        "weight": 1, "since_ms": since_ms})
}

/// The fields of a discovery event with these entries. A snapshot replaces all earlier entries.
pub(crate) fn members_event(endpoints: &[Value], is_snapshot: bool) -> String {
    format!("\"members\":{}", json!({"index": 1, "snapshot": is_snapshot, "endpoints": endpoints}))
}

/// The behavior of nodes that a director's settings describe.
pub(crate) struct NodeModel {
    pub(crate) slow_start_initial_share: f64,
    pub(crate) slow_start_us: u64,
    pub(crate) collapse_multiple: f64,
    /// The rate of one transfer.
    pub(crate) stream_kb_per_s: f64,
}

/// The configuration of one of `directors` directors, all in the same location. `known` holds the discovery events so
/// far.
pub(crate) fn director_config(
    number: usize,
    directors: usize,
    seed: u64,
    listen: SocketAddr,
    (feed, known): (SocketAddr, &[String]),
    model: &NodeModel,
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
            "guarantees": {"coldFrom": model.slow_start_initial_share, "warmAfterUs": model.slow_start_us, "fallMultiple": model.collapse_multiple,
                "fallUs": 1_000_000, "drainGraceUs": 2_000_000, "answerSlackUs": 5_000},
            "report": {"how": "none", "names": []},
            "extra": {"freshForUs": [0], "usableAfterUs": [0], "multiPart": [false], "neverKept": [false],
                "midKind": 1, "masterKind": 2, "direct": true, "joins": true,
                "streamKbPerS": model.stream_kb_per_s, "clearedWithinUs": 1_000_000,
                "parentStartsAt": model.slow_start_initial_share, "parentColdUs": model.slow_start_us,
                "upperFallMultiple": model.collapse_multiple, "zoneBalancers": [0, directors]}
        }
    })
}
