//! The whole run of a soak, from start to end.

use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::Options;
use super::capacity::{CACHE_CAPACITY, Capacity};
use super::client::Client;
use super::director::Director;
use super::discovery::{Discovery, Notification, report_overdue_notifications};
use super::fault_log::FaultLog;
use super::fault_plan::plan_faults;
use super::invariants::Rule;
use super::lateness::{Lateness, LatenessSampler};
use super::node::{Node, Nodes};
use super::report::SoakReport;
use super::rule_checker::RuleChecker;
use crate::director_process::{endpoint_json, members_event, wait_until_serving};
use crate::ports::PortAllocator;
use crate::process::{TrialError, io_error};
use crate::threads::lock;

/// How long to wait until a director serves, as a platform would.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Texts that must not occur in the logs of directors: a violation that a director counted at run time, and a panic.
const VIOLATION_IN_LOG: &str = "violation request=";
const PANIC_IN_LOG: &str = "panicked at";

/// All processes and stubs of a running soak.
pub(super) struct Soak<'a> {
    pub(super) options: &'a Options,
    program: &'a (dyn Fn() -> Command + Sync),
    pub(super) checker: Arc<RuleChecker>,
    pub(super) discovery: Arc<Discovery>,
    pub(super) directors: Vec<Arc<Director>>,
    nodes: Nodes,
    pub(super) faults: FaultLog,
    /// All nodes by number: caches, the parent, the origin, then the replacements of caches.
    pub(super) nodes_by_number: Mutex<Vec<Arc<Node>>>,
    /// By place in the list, the number of the node that currently has this place.
    pub(super) places: Mutex<Vec<usize>>,
}

fn endpoint_of(node: &Node, status: &str, since_ms: u64) -> serde_json::Value {
    endpoint_json(&node.name, node.address, node.kind, status, since_ms)
}

impl Soak<'_> {
    /// Starts a node with the next number. Without a capacity it accepts any load.
    pub(super) fn add_node(
        &self,
        name: &str,
        kind: &'static str,
        capacity: Option<Capacity>,
    ) -> Result<Arc<Node>, TrialError> {
        let number = lock(&self.nodes_by_number).len();
        let node = Node::start(number, name, kind, capacity, &self.checker, &self.nodes)
            .map_err(io_error("node stub"))?;
        lock(&self.nodes_by_number).push(Arc::clone(&node));
        Ok(node)
    }

    /// Returns the node that currently has this place.
    pub(super) fn node_at(&self, place: usize) -> Option<Arc<Node>> {
        let number = lock(&self.places).get(place).copied()?;
        lock(&self.nodes_by_number).get(number).cloned()
    }

    /// Publishes the status of a node.
    pub(super) fn announce(&self, node: &Node, status: &str, since_ms: u64) {
        let notification = match status {
            "ready" => Notification::Ready(node.number),
            _ => Notification::Drained(node.number),
        };
        let event = members_event(&[endpoint_of(node, status, since_ms)], false);
        self.discovery.publish(&event, Some(notification));
    }

    /// Starts a director and waits until it serves.
    pub(super) fn start_director(&self, director: &Director) -> Result<(), TrialError> {
        director.start(self.options, &self.program, &self.discovery)?;
        let name = format!("director-{}", director.number);
        wait_until_serving(&name, director.address, &director.log, Instant::now(), START_TIMEOUT)
    }

    /// Starts the initial nodes and publishes the list of them.
    fn start_nodes(&self) -> Result<(), TrialError> {
        let caches = self.options.caches;
        let warm_cache = Capacity { warm: CACHE_CAPACITY, cold_since: None };
        for number in 0..caches {
            self.add_node(&format!("cache-{number}"), "small", Some(warm_cache))?;
        }
        self.add_node("parent-0", "parent", None)?;
        self.add_node("origin-0", "origin", None)?;
        *lock(&self.places) = (0..caches + 2).collect();
        let endpoints: Vec<_> =
            lock(&self.nodes_by_number).iter().map(|node| endpoint_of(node, "ready", 0)).collect();
        self.discovery.publish(&members_event(&endpoints, true), None);
        Ok(())
    }

    fn start_directors(&self) -> Result<(), TrialError> {
        for director in &self.directors {
            for stale_file in [&director.log, &director.send_log] {
                let _ = std::fs::remove_file(stale_file);
            }
            director.set_fault_rules("");
            self.start_director(director)?;
        }
        Ok(())
    }

    /// Starts the clients of all directors; they end after `finished` is set.
    fn start_clients(&self, finished: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let next_id = Arc::new(AtomicU64::new(1));
        let mut clients = Vec::new();
        for director in &self.directors {
            for number in 0..self.options.clients_per_director {
                let client = Client {
                    director: Arc::clone(director),
                    checker: Arc::clone(&self.checker),
                    finished: Arc::clone(finished),
                    next_id: Arc::clone(&next_id),
                    seed: self.options.seed ^ ((director.number as u64) << 32) ^ ((number as u64) << 16),
                };
                clients.push(thread::spawn(move || client.run()));
            }
        }
        clients
    }

    /// Asks all directors to stop and waits until they exit. A director that has already exited has crashed.
    fn stop_directors(&self) {
        for director in &self.directors {
            if director.has_crashed() {
                let detail = format!("director {} exited by itself", director.number);
                self.checker.record_violation(Rule::Crash, detail);
            } else {
                director.terminate();
                director.wait_for_exit();
            }
        }
    }

    /// Checks the logs of the directors for violations and panics.
    fn check_logs(&self) {
        for director in &self.directors {
            let log = std::fs::read_to_string(&director.log).unwrap_or_default();
            let is_found = |line: &&str| line.contains(VIOLATION_IN_LOG) || line.contains(PANIC_IN_LOG);
            for line in log.lines().filter(is_found) {
                self.checker.record_violation(Rule::Inside, format!("director {}: {line}", director.number));
            }
        }
    }
}

/// Creates the directors, each with its own port.
fn make_directors(
    count: usize,
    folder: &Path,
    checker: &Arc<RuleChecker>,
) -> Result<Vec<Arc<Director>>, TrialError> {
    let mut ports = PortAllocator::new();
    let director = |number| Ok(Arc::new(Director::new(number, ports.allocate()?, folder, checker)));
    (0..count).map(director).collect()
}

/// Runs a soak.
///
/// `program` returns the command of a real director; configurations and logs are written to `folder`.
///
/// # Errors
///
/// Fails if a folder, socket or process of the soak can't be created, or if a director does not serve in time at its
/// first start. Violations are no errors: they are in the report.
pub fn run(
    options: &Options,
    program: &(dyn Fn() -> Command + Sync),
    folder: &Path,
) -> Result<SoakReport, TrialError> {
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let checker = Arc::new(RuleChecker::new());
    let soak = Soak {
        options,
        program,
        checker: Arc::clone(&checker),
        discovery: Discovery::start(&checker, options.directors).map_err(io_error("discovery"))?,
        directors: make_directors(options.directors, folder, &checker)?,
        nodes: Nodes::default(),
        faults: FaultLog::default(),
        nodes_by_number: Mutex::default(),
        places: Mutex::default(),
    };
    checker.read_send_logs(soak.directors.iter().map(|director| director.send_log.clone()));
    soak.start_nodes()?;
    report_overdue_notifications(&soak.discovery, options.directors);
    soak.start_directors()?;

    let finished = Arc::new(AtomicBool::new(false));
    let clock = Arc::clone(&checker);
    let lateness = LatenessSampler::start(move || clock.now());
    let clients = soak.start_clients(&finished);
    let started = Instant::now();
    let restarts: Vec<Mutex<()>> = soak.directors.iter().map(|_| Mutex::default()).collect();
    let end = options.seconds as f64;
    thread::scope(|scope| {
        scope.spawn(|| soak.run_service(end, &restarts));
        soak.inject_faults(end, &restarts);
    });
    thread::sleep(Duration::from_secs(options.seconds).saturating_sub(started.elapsed()));

    finished.store(true, Ordering::Relaxed);
    for client in clients {
        if client.join().is_err() {
            checker.record_violation(Rule::Unknown, "a client of the soak panicked".into());
        }
    }
    soak.stop_directors();
    soak.check_logs();
    let lateness = Lateness { writes: checker.writes(), ..lateness.finish() };
    let faults = soak.faults.spans();
    let nearest_cold_node = checker.nearest_cold_node();
    let (violations, counts) = checker.finish();
    let planned_faults = plan_faults(options).len();
    Ok(SoakReport { violations, counts, nearest_cold_node, planned_faults, faults, lateness })
}
