//! Runs an experiment: real directors under load while the hierarchy changes.

mod hierarchy_generator;
mod rollout_driver;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rand::RngExt;
use sablecross_hierarchy::spec::HierarchySpec;
use sablecross_hierarchy::{Hierarchy, NodeId, RolloutInput};

use self::hierarchy_generator::HierarchyGenerator;
use self::rollout_driver::{DelayedPurge, RolloutDriver};
use crate::client_load::{BUDGET_MS, Client, ClientStats, Purges};
use crate::clock::unix_ms;
use crate::director_process::{
    NodeModel, director_config, endpoint_json, members_event, spawn_director, wait_until_serving,
};
use crate::discovery_stub::{AppliedReport, DiscoveryStub};
use crate::node_stub::{Node, Role, StartedNode};
use crate::ports::{PortAllocator, ReservedPort};
use crate::process::{ChildProcess, TrialError, io_error};
use crate::report::{ExperimentOutcome, Report};
use crate::settings::Experiment;
use crate::threads::{lock, spawn};
use crate::trial_state::TrialState;

const NS_PER_SECOND: u64 = 1_000_000_000;
/// The slow start window, short enough for many changes in one experiment.
const SLOW_START_WINDOW_NS: u64 = 2 * NS_PER_SECOND;
const SLOW_START_INITIAL_SHARE: f64 = 0.25;
const COLLAPSE_MULTIPLE: f64 = 2.0;
const STREAM_KB_PER_S: f64 = 9_000.0;
const CLIENTS_PER_DIRECTOR: usize = 8;
const START_TIMEOUT: Duration = Duration::from_secs(10);
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// How much longer than its budget a client may wait for its last answer after the load.
const CLIENT_END_TOLERANCE_MS: u64 = 5_000;
/// The longest delay of a purge on its way to a node.
const MAX_PURGE_DELAY_MS: u64 = 700;
/// Purges choose among this many of the most requested objects.
const PURGED_OBJECTS: u64 = 50;
/// The probability, with faults, that another change is proposed while the last one is still in progress.
const OVERLAPPING_CHANGE_PROBABILITY: f64 = 0.3;
const OVERLAPPING_CHANGE_PAUSE: Duration = Duration::from_millis(50);
const CHANGE_PAUSE: Duration = Duration::from_millis(300);
const UNPLANNED_CHANGE_PAUSE: Duration = Duration::from_secs(3);

/// The nodes of the first hierarchy, by their number in it.
type Nodes = BTreeMap<NodeId, StartedNode>;

/// A running director.
struct StartedDirector {
    /// Kept because the process is killed when the value is dropped.
    _process: ChildProcess,
    _port: ReservedPort,
    address: SocketAddr,
}

/// Runs an experiment.
///
/// `director` is the command of a real director. Configurations, directors' logs and the rollout log are written to
/// `folder`. `progress` gets a line for each second.
///
/// # Errors
///
/// Returns an error if a file, socket or process of the experiment can't be created. Violations are not errors: the
/// report lists them.
pub fn run(
    experiment: &Experiment,
    director: &dyn Fn() -> Command,
    folder: &Path,
    progress: impl FnMut(&str),
) -> Result<Report, TrialError> {
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let trial = Arc::new(TrialState::new(Instant::now()));
    let mut generator = HierarchyGenerator::new(experiment);
    let first = generator.initial();
    let nodes = start_nodes(experiment, &first, &trial)?;
    let (report_sender, reports) = channel();
    let discovery =
        DiscoveryStub::start(&trial, report_sender).map_err(io_error("starting the discovery stub"))?;
    publish_first_events(&discovery, &nodes, &first);
    let directors = start_directors(experiment, director, folder, &discovery)?;
    let parents = nodes.values().map(|started| &started.node).filter(|node| node.role == Role::Parent);
    let parents = parents.map(Arc::clone).collect();
    let driver = RolloutDriver::start(experiment, &first, parents, discovery, &trial, folder)?;

    let load_started_at = trial.started.elapsed().as_secs();
    let purges = Purges::default();
    let client_stats = start_clients(experiment, &directors, &purges, &trial);
    let mut load = LoadPhase::new(experiment, first, nodes, generator, driver, purges, Arc::clone(&trial));
    load.run(&reports, progress)?;
    trial.finish();

    let clients = directors.len() * CLIENTS_PER_DIRECTOR;
    let stats = collect_stats(&client_stats, clients);
    Ok(Report::new(
        experiment,
        ExperimentOutcome {
            seconds: trial.seconds(),
            unfinished_clients: clients - stats.len(),
            client_stats: stats,
            window: load_started_at + experiment.warm_up..load_started_at + experiment.seconds,
            changes: load.changes,
            change_outcomes: load.driver.outcomes(),
            driver_kills: load.driver.kills,
            notes: load.driver.notes,
        },
    ))
}

fn start_nodes(
    experiment: &Experiment,
    first: &Hierarchy,
    trial: &Arc<TrialState>,
) -> Result<Nodes, TrialError> {
    let mut nodes = BTreeMap::new();
    for (id, node) in first.iter() {
        let role = match id {
            0 => Role::Origin,
            _ if id <= experiment.uppers as NodeId => Role::Parent,
            _ => Role::Cache,
        };
        let (copies, follows_path) = (experiment.kept, experiment.follow_named_path);
        let started = Node::start(&node.name, role, copies, follows_path, trial);
        let started = started.map_err(io_error("starting a stub node"))?;
        trial.add_address(&node.name, started.address);
        nodes.insert(id, started);
    }
    Ok(nodes)
}

/// Publishes the endpoint list and the first hierarchy version.
fn publish_first_events(discovery: &DiscoveryStub, nodes: &Nodes, first: &Hierarchy) {
    let endpoints: Vec<_> = nodes.values().map(|started| ready_endpoint(started, 0)).collect();
    discovery.publish(&members_event(&endpoints, true));
    let version = serde_json::to_string(&HierarchySpec::from_hierarchy(1, first)).unwrap_or_default();
    discovery.publish(&format!("\"hierarchy\":{version}"));
}

fn ready_endpoint(started: &StartedNode, since_ms: u64) -> serde_json::Value {
    let node = &started.node;
    endpoint_json(&node.name, started.address, node.role.kind(), "ready", since_ms)
}

fn start_directors(
    experiment: &Experiment,
    program: &dyn Fn() -> Command,
    folder: &Path,
    discovery: &DiscoveryStub,
) -> Result<Vec<StartedDirector>, TrialError> {
    let model = NodeModel {
        slow_start_initial_share: SLOW_START_INITIAL_SHARE,
        slow_start_us: SLOW_START_WINDOW_NS / 1_000,
        collapse_multiple: COLLAPSE_MULTIPLE,
        stream_kb_per_s: STREAM_KB_PER_S,
    };
    let mut ports = PortAllocator::new();
    let mut directors = Vec::new();
    for number in 0..experiment.directors {
        let port = ports.allocate()?;
        let address = port.address;
        let name = format!("director-{number}");
        let config_file = folder.join(format!("{name}.json"));
        let log = folder.join(format!("{name}.log"));
        // Removes the log of an earlier run.
        let _ = std::fs::remove_file(&log);
        let events = discovery.events();
        let feed = (discovery.address, &events[..]);
        let config =
            director_config(number, experiment.directors, experiment.seed, address, feed, &model).to_string();
        std::fs::write(&config_file, config).map_err(io_error(config_file.display().to_string()))?;
        let process = spawn_director(program, &config_file, &log, None)?;
        wait_until_serving(&name, address, &log, Instant::now(), START_TIMEOUT)?;
        directors.push(StartedDirector { _process: process, _port: port, address });
    }
    Ok(directors)
}

/// Starts all clients. Each sends its counts when it finishes.
fn start_clients(
    experiment: &Experiment,
    directors: &[StartedDirector],
    purges: &Purges,
    trial: &Arc<TrialState>,
) -> Receiver<ClientStats> {
    let clients = directors.len() * CLIENTS_PER_DIRECTOR;
    let interval = Duration::from_secs_f64(clients as f64 / experiment.rate as f64);
    let (sender, stats) = channel();
    for number in 0..clients {
        let client = Client {
            director: directors[number % directors.len()].address,
            number: number as u64 + 1,
            seed: experiment.seed,
            objects: experiment.objects,
            interval,
            purges: Arc::clone(purges),
            trial: Arc::clone(trial),
        };
        let sender = sender.clone();
        spawn(move || drop(sender.send(client.run())));
    }
    stats
}

/// Waits for the counts of the clients. Clients that do not finish in time are left out.
fn collect_stats(client_stats: &Receiver<ClientStats>, clients: usize) -> Vec<ClientStats> {
    let deadline = Instant::now() + Duration::from_millis(BUDGET_MS + CLIENT_END_TOLERANCE_MS);
    let mut all = Vec::new();
    while all.len() < clients {
        match client_stats.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(stats) => all.push(stats),
            Err(_) => break,
        }
    }
    all
}

/// The phase of an experiment under load, with changes of the hierarchy and purges.
struct LoadPhase<'a> {
    experiment: &'a Experiment,
    first: Hierarchy,
    nodes: Nodes,
    generator: HierarchyGenerator<'a>,
    driver: RolloutDriver<'a>,
    purges: Purges,
    trial: Arc<TrialState>,
    start: Instant,
    /// The number of changes proposed so far.
    changes: usize,
    next_change: Instant,
    /// Whether the next change is proposed without waiting for the end of the last one.
    is_overlapping_change: bool,
    /// The number of purges so far.
    purges_made: u64,
    /// The last second for which a progress line was printed.
    reported_second: u64,
}

impl<'a> LoadPhase<'a> {
    fn new(
        experiment: &'a Experiment,
        first: Hierarchy,
        nodes: Nodes,
        generator: HierarchyGenerator<'a>,
        driver: RolloutDriver<'a>,
        purges: Purges,
        trial: Arc<TrialState>,
    ) -> LoadPhase<'a> {
        let start = Instant::now();
        LoadPhase {
            experiment,
            first,
            nodes,
            generator,
            driver,
            purges,
            trial,
            start,
            changes: 0,
            next_change: start + Duration::from_secs(experiment.warm_up),
            is_overlapping_change: false,
            purges_made: 0,
            reported_second: 0,
        }
    }

    fn run(
        &mut self,
        reports: &Receiver<AppliedReport>,
        mut progress: impl FnMut(&str),
    ) -> Result<(), TrialError> {
        while self.start.elapsed() < Duration::from_secs(self.experiment.seconds) {
            std::thread::sleep(STEP_INTERVAL);
            self.driver.step(reports)?;
            self.change_hierarchy()?;
            self.purge();
            self.report_progress(&mut progress);
        }
        Ok(())
    }

    /// Proposes another hierarchy if a change is due.
    fn change_hierarchy(&mut self) -> Result<(), TrialError> {
        let is_idle = self.driver.rollout.progress().is_none();
        let is_due = self.changes < self.experiment.rewirings && Instant::now() >= self.next_change;
        if !is_due || !(is_idle || self.is_overlapping_change) {
            return Ok(());
        }
        self.is_overlapping_change = false;
        let current = self.current_shape();
        let nodes = &self.nodes;
        let start_cold =
            |id: NodeId| nodes.get(&id).map_or(0, |started| started.node.restart_cold() * 1_000_000);
        let Some(target) = self.generator.next_shape(&current, start_cold) else { return Ok(()) };
        self.announce_cold_nodes(&current, &target);
        self.changes += 1;
        let pause = if self.experiment.plan {
            self.driver.handle(RolloutInput::Propose { target })?;
            self.is_overlapping_change = self.experiment.faults
                && is_idle
                && self.generator.rng.random::<f64>() < OVERLAPPING_CHANGE_PROBABILITY;
            if self.is_overlapping_change { OVERLAPPING_CHANGE_PAUSE } else { CHANGE_PAUSE }
        } else {
            self.driver.apply_at_once(target)?;
            UNPLANNED_CHANGE_PAUSE
        };
        self.next_change = Instant::now() + pause;
        Ok(())
    }

    /// The published hierarchy with the node numbers of the first one. The numbers differ after a recovery of the
    /// driver, because the recovery renumbers the nodes.
    fn current_shape(&self) -> Hierarchy {
        let spec = HierarchySpec::from_hierarchy(1, self.driver.rollout.published().version);
        spec.to_hierarchy(Some(&self.first)).map_or_else(|_| self.first.clone(), |(_, shape)| shape)
    }

    /// Publishes the new start times of nodes that return to the hierarchy cold.
    fn announce_cold_nodes(&self, current: &Hierarchy, target: &Hierarchy) {
        let cold: Vec<_> = target
            .iter()
            .filter(|(id, node)| node.started_at > 0 && current.get(*id).is_none())
            .filter_map(|(id, node)| Some(ready_endpoint(self.nodes.get(&id)?, node.started_at / 1_000_000)))
            .collect();
        if !cold.is_empty() {
            self.driver.discovery.publish(&members_event(&cold, false));
        }
    }

    /// Purges an object if a purge is due. Each node receives the purge after its own delay.
    fn purge(&mut self) {
        let due = self.start.elapsed().as_millis() as u64 * self.experiment.purges / 1_000;
        if due <= self.purges_made {
            return;
        }
        self.purges_made += 1;
        let object = self.generator.rng.random_range(0..self.experiment.objects.min(PURGED_OBJECTS));
        let made_ms = unix_ms();
        let event = format!("\"purge\":{{\"key\":\"{object:016x}\",\"at\":{made_ms}}}");
        self.driver.discovery.publish(&event);
        lock(&self.purges).insert(object, made_ms);
        for started in self.nodes.values() {
            let delay = Duration::from_millis(self.driver.rng.random_range(0..MAX_PURGE_DELAY_MS));
            let (due, node) = (Instant::now() + delay, Arc::clone(&started.node));
            self.driver.delayed_purges.push(DelayedPurge { due, node, object, made_ms });
        }
    }

    /// Prints a progress line once per second.
    fn report_progress(&mut self, progress: &mut impl FnMut(&str)) {
        let second = self.start.elapsed().as_secs();
        if second <= self.reported_second {
            return;
        }
        self.reported_second = second;
        let counts = self.trial.last_complete_second();
        progress(&format!(
            "{second:>4} of {} s  satisfied {:>5}  origin {:>4}  loops {}  collapses {}  version {}  changes {}",
            self.experiment.seconds,
            counts.satisfied,
            counts.origin_fetches,
            counts.loops,
            counts.collapses,
            counts.version,
            self.changes
        ));
    }
}
