//! Runs a fleet trial: starts all processes and stubs, injects the faults, and collects the report.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_coordination::messages::MemberStatus;
use sablecross_director::coordination::settings::HIERARCHY_ROLE;
use serde_json::Value;

use super::coordination_links::CoordinationLinks;
use super::coordination_report::{CoordinationReport, Observations};
use super::coordination_watch::{find_holder, lease_starts, member_status, propose_hierarchy};
use super::director::{Director, DirectorFiles, write_config};
use super::fault_injection::{ActiveFault, FaultTargets, draw_faults};
use super::hierarchy_proposal::hierarchy_proposal;
use super::load::{Clients, Workload};
use super::node::{HealthCheck, Node, NodeCounts, NodeSettings, Tier};
use super::report::{FaultWindow, NodeOutcome, Report, TrialOutcome};
use super::settings::{Fault, FaultKind, Trial};
use crate::client_load::BUDGET_MS;
use crate::clock::unix_ms;
use crate::director_process::{endpoint_json, members_event, wait_until_serving};
use crate::discovery_stub::DiscoveryStub;
use crate::ports::{PortAllocator, addresses_of};
use crate::process::{TrialError, io_error};
use crate::schedule::take_due;
use crate::trial_state::TrialState;

/// The number of discovery copies, each of which publishes changes after its own delay.
const DISCOVERY_COPIES: usize = 3;
/// The delay after which the endpoint list shows that a node has crashed.
const CRASH_NOTICE_DELAY_SECONDS: f64 = 0.7;
/// How long requests may still arrive at a node after the endpoint list shows that it is gone.
const DRAIN_GRACE_SECONDS: f64 = 2.0;
const STRAY_TOLERANCE_SECONDS: f64 = 0.5;
const START_TIMEOUT: Duration = Duration::from_secs(60);
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// How long after the end of the load the last answers may arrive.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(BUDGET_MS + 600);
/// When the first change of the hierarchy is proposed.
const FIRST_PROPOSAL_SECONDS: f64 = 2.0;
/// The delay before a proposal that no holder accepted is repeated.
const PROPOSAL_RETRY_SECONDS: f64 = 0.5;

/// An action that is scheduled for a time under load.
enum ScheduledAction {
    /// Start the fault with this number.
    Begin(usize),
    /// End the fault with this number.
    End(usize),
    /// Publish that these crashed nodes are gone.
    AnnounceGone(Vec<usize>),
    /// Publish an event on one discovery copy.
    Publish { discovery: usize, event: String },
    /// Make the hierarchy proposal with this number.
    ProposeHierarchy(usize),
}

/// Runs a fleet trial.
///
/// `program` is the command of a real director. Configurations and logs are written to `folder`. `progress` gets a
/// line for each second and each fault.
///
/// # Errors
///
/// Returns an error if a file, socket or process of the trial can't be created. Violations are not errors: the report
/// lists them.
pub fn run(
    trial: &Trial,
    program: &dyn Fn() -> Command,
    folder: &Path,
    mut progress: impl FnMut(&str),
) -> Result<Report, TrialError> {
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let mut rng = Pcg32::seed_from_u64(trial.seed);
    let over = Arc::new(AtomicBool::new(false));
    // The clock of the nodes starts here. The clock of the clients and the report starts with the load.
    let nodes_started = Instant::now();
    let nodes = start_nodes(trial, &mut rng, nodes_started, &over)?;
    let state = Arc::new(TrialState::new(nodes_started));
    let discovery = start_discovery(&nodes, &state)?;
    let ports = PortAllocator::new().allocate_all(trial.directors)?;
    let addresses = addresses_of(&ports);
    let coordination = trial
        .duties
        .as_ref()
        .map(|settings| CoordinationLinks::start(settings, capacity(trial, Tier::Cache), &addresses, &over))
        .transpose()?;
    let directors = start_directors(trial, program, folder, &addresses, &discovery, coordination.as_ref())?;
    wait_for_directors(&directors, nodes_started)?;
    let elapsed = nodes_started.elapsed().as_secs_f64();
    progress(&format!("{} directors serve after {elapsed:.1} s", trial.directors));

    let targets = FaultTargets { trial, program, nodes, directors, discovery, coordination };
    let mut load = LoadPhase::start(targets, nodes_started, rng, &over);
    load.run(&mut progress)?;
    let measured = load.measure();
    over.store(true, Ordering::Relaxed);
    state.finish();
    std::thread::sleep(LAST_ANSWER_TIMEOUT);
    Ok(load.report(&measured))
}

/// The capacity of a node of mean speed, in requests per second.
fn capacity(trial: &Trial, tier: Tier) -> f64 {
    match tier {
        Tier::Cache => trial.rate / trial.caches as f64 / trial.load,
        Tier::Parent => trial.rate * (1.0 - trial.hits) / trial.parents as f64 / trial.load,
        Tier::Origin => 10.0 * trial.rate,
    }
}

/// Starts the caches, the parents and the origin, in this order.
fn start_nodes(
    trial: &Trial,
    rng: &mut Pcg32,
    started: Instant,
    over: &Arc<AtomicBool>,
) -> Result<Vec<Arc<Node>>, TrialError> {
    let tiers = [
        (Tier::Cache, "cache", trial.caches, trial.kept),
        (Tier::Parent, "parent", trial.parents, 4 * trial.kept),
        (Tier::Origin, "origin", 1, 1),
    ];
    let mut nodes = Vec::new();
    let mut listeners = Vec::new();
    for (tier, prefix, count, max_copies) in tiers {
        for number in 0..count {
            let speed = 1.0 + trial.speeds * (2.0 * rng.random::<f64>() - 1.0);
            let settings = NodeSettings {
                name: format!("{prefix}-{number}"),
                tier,
                capacity: capacity(trial, tier) * speed,
                max_copies,
                rejects_stale_tokens: trial.duties.as_ref().is_none_or(|duties| !duties.no_gate),
            };
            let (node, listener) =
                Node::start(settings, started, over).map_err(io_error("starting a stub node"))?;
            nodes.push(node);
            listeners.push(listener);
        }
    }
    let by_name: HashMap<_, _> = nodes.iter().map(|node| (node.name.clone(), Arc::clone(node))).collect();
    let by_name = Arc::new(by_name);
    for (node, listener) in nodes.iter().zip(listeners) {
        node.serve(listener, &by_name);
    }
    Ok(nodes)
}

fn endpoint_of(node: &Node, status: &str, since_ms: u64) -> Value {
    let kind = match node.tier {
        Tier::Cache => "small",
        Tier::Parent => "parent",
        Tier::Origin => "origin",
    };
    endpoint_json(&node.name, node.address, kind, status, since_ms)
}

fn start_discovery(nodes: &[Arc<Node>], state: &Arc<TrialState>) -> Result<Vec<DiscoveryStub>, TrialError> {
    let endpoints: Vec<Value> = nodes.iter().map(|node| endpoint_of(node, "ready", 0)).collect();
    let mut copies = Vec::new();
    for _ in 0..DISCOVERY_COPIES {
        let copy =
            DiscoveryStub::start(state, channel().0).map_err(io_error("starting the discovery stub"))?;
        copy.publish(&members_event(&endpoints, true));
        copies.push(copy);
    }
    Ok(copies)
}

fn start_directors(
    trial: &Trial,
    program: &dyn Fn() -> Command,
    folder: &Path,
    addresses: &[SocketAddr],
    discovery: &[DiscoveryStub],
    coordination: Option<&CoordinationLinks>,
) -> Result<Vec<Director>, TrialError> {
    let mut directors = Vec::new();
    for (number, address) in addresses.iter().copied().enumerate() {
        let copy = number % DISCOVERY_COPIES;
        let files = DirectorFiles {
            config: folder.join(format!("director-{number}.json")),
            log: folder.join(format!("director-{number}.log")),
            coordination: coordination.map(|_| folder.join(format!("duty-{number}.scm"))),
        };
        write_config(trial, number, address, &discovery[copy], &files.config)?;
        if let (Some(file), Some(coordination)) = (&files.coordination, coordination) {
            let settings = coordination.member_settings(number);
            std::fs::write(file, settings).map_err(io_error(file.display().to_string()))?;
        }
        directors.push(Director::start(files, address, copy, program)?);
    }
    Ok(directors)
}

fn wait_for_directors(directors: &[Director], since: Instant) -> Result<(), TrialError> {
    for (number, director) in directors.iter().enumerate() {
        let name = format!("director-{number}");
        wait_until_serving(&name, director.address, &director.files.log, since, START_TIMEOUT)?;
    }
    Ok(())
}

/// Measurements at the end of the load, before the directors' last answers.
struct Measured {
    /// The duration of the load.
    seconds: f64,
    /// The CPU time that all directors used under load.
    cpu_seconds: f64,
    /// The statuses of the voters.
    statuses: Vec<MemberStatus>,
}

/// The phase of a trial under load, with all injected faults.
struct LoadPhase<'a> {
    trial: &'a Trial,
    targets: FaultTargets<'a>,
    rng: Pcg32,
    start: Instant,
    /// The start in Unix milliseconds.
    start_ms: u64,
    /// Seconds by which the clock of the nodes is ahead of the clock of the load.
    node_clock_offset: f64,
    /// The CPU time that all directors had used before the load.
    cpu_seconds_before: f64,
    faults: Vec<Fault>,
    actions: Vec<(f64, ScheduledAction)>,
    active: HashMap<usize, ActiveFault>,
    windows: Vec<FaultWindow>,
    /// The number of accepted hierarchy proposals.
    proposals: u64,
    /// Directors that had exited by themselves when the last progress line was printed.
    exited_directors: usize,
    /// The longest wake-up delay of this thread in seconds. On a machine that is too busy, the trial's result is not
    /// valid.
    max_wake_delay: f64,
    /// The last second for which a progress line was printed.
    reported_second: u64,
}

impl<'a> LoadPhase<'a> {
    /// Starts the clients of all directors and schedules the faults.
    fn start(
        mut targets: FaultTargets<'a>,
        nodes_started: Instant,
        mut rng: Pcg32,
        over: &Arc<AtomicBool>,
    ) -> LoadPhase<'a> {
        let trial = targets.trial;
        let start = Instant::now();
        start_clients(trial, &mut targets.directors, start, over);
        let start_ms = unix_ms();
        let cpu_seconds_before = cpu_seconds(&targets.directors);
        let faults: Vec<Fault> = trial.faults.iter().cloned().chain(draw_faults(trial, &mut rng)).collect();
        LoadPhase {
            trial,
            targets,
            rng,
            start,
            start_ms,
            node_clock_offset: (start - nodes_started).as_secs_f64(),
            cpu_seconds_before,
            actions: planned_actions(trial, &faults),
            faults,
            active: HashMap::new(),
            windows: Vec::new(),
            proposals: 0,
            exited_directors: 0,
            max_wake_delay: 0.0,
            reported_second: 0,
        }
    }

    fn run(&mut self, progress: &mut impl FnMut(&str)) -> Result<(), TrialError> {
        let mut last_step = Instant::now();
        while self.start.elapsed() < Duration::from_secs(self.trial.seconds) {
            std::thread::sleep(STEP_INTERVAL);
            let delay = last_step.elapsed().as_secs_f64() - STEP_INTERVAL.as_secs_f64();
            self.max_wake_delay = self.max_wake_delay.max(delay);
            let now = self.start.elapsed().as_secs_f64();
            while let Some(action) = take_due(&mut self.actions, now) {
                self.carry_out(action, now, progress)?;
            }
            self.report_progress(now, progress);
            last_step = Instant::now();
        }
        Ok(())
    }

    fn carry_out(
        &mut self,
        action: ScheduledAction,
        now: f64,
        progress: &mut impl FnMut(&str),
    ) -> Result<(), TrialError> {
        match action {
            ScheduledAction::Begin(number) => self.begin_fault(number, now, progress)?,
            ScheduledAction::End(number) => self.end_fault(number, now)?,
            ScheduledAction::AnnounceGone(numbers) => self.announce_gone(&numbers, now),
            ScheduledAction::Publish { discovery, event } => {
                self.targets.discovery[discovery].publish(&event);
            }
            ScheduledAction::ProposeHierarchy(number) => self.propose(number, now),
        }
        Ok(())
    }

    fn begin_fault(
        &mut self,
        number: usize,
        now: f64,
        progress: &mut impl FnMut(&str),
    ) -> Result<(), TrialError> {
        let active = self.targets.begin(&self.faults[number], &mut self.rng, now)?;
        let fault = &active.fault;
        if fault.kind == FaultKind::CrashCaches {
            let announcement = ScheduledAction::AnnounceGone(active.nodes.clone());
            self.actions.push((now + CRASH_NOTICE_DELAY_SECONDS, announcement));
        }
        let nodes: Vec<String> =
            active.nodes.iter().map(|node| self.targets.nodes[*node].name.clone()).collect();
        let (names, directors) = (nodes.join(" "), active.directors.len());
        progress(&format!("{now:>6.1} s  {:?} nodes [{names}] directors {directors}", fault.kind));
        let what = format!("{:?}", fault.kind);
        self.windows.push(FaultWindow { what, nodes, from: fault.at, to: fault.at + fault.lasts });
        self.active.insert(number, active);
        Ok(())
    }

    fn end_fault(&mut self, number: usize, now: f64) -> Result<(), TrialError> {
        let Some(active) = self.active.remove(&number) else { return Ok(()) };
        let restarted = self.targets.end(&active)?;
        let endpoints: Vec<Value> = restarted
            .iter()
            .map(|node| endpoint_of(&self.targets.nodes[node.number], "ready", node.since_ms))
            .collect();
        self.publish_later(&endpoints, now);
        Ok(())
    }

    fn announce_gone(&mut self, numbers: &[usize], now: f64) {
        let nodes: Vec<&Arc<Node>> = numbers.iter().map(|number| &self.targets.nodes[*number]).collect();
        let endpoints: Vec<Value> = nodes.iter().map(|node| endpoint_of(node, "gone", 0)).collect();
        for node in nodes {
            node.leave(DRAIN_GRACE_SECONDS + self.trial.late_lists + STRAY_TOLERANCE_SECONDS);
        }
        self.publish_later(&endpoints, now);
    }

    /// Schedules the publication of a change of the endpoint list: on the first discovery copy without delay, on the
    /// others later.
    fn publish_later(&mut self, endpoints: &[Value], now: f64) {
        if endpoints.is_empty() {
            return;
        }
        for discovery in 0..DISCOVERY_COPIES {
            let delay = self.trial.late_lists * discovery as f64 / (DISCOVERY_COPIES - 1) as f64;
            let event = members_event(endpoints, false);
            self.actions.push((now + delay, ScheduledAction::Publish { discovery, event }));
        }
    }

    /// Proposes a hierarchy version to the holder of the hierarchy role. Retries later if no holder accepts it.
    fn propose(&mut self, number: usize, now: f64) {
        let Some(coordination) = &self.targets.coordination else { return };
        let voters = &coordination.voters;
        let proposal = hierarchy_proposal(self.trial, number);
        let is_accepted = find_holder(voters, HIERARCHY_ROLE)
            .is_some_and(|holder| propose_hierarchy(voters[holder], &proposal));
        if is_accepted {
            self.proposals += 1;
        } else {
            let retry = ScheduledAction::ProposeHierarchy(number);
            self.actions.push((now + PROPOSAL_RETRY_SECONDS, retry));
        }
    }

    /// Once per second, counts the directors that have exited by themselves and prints a progress line.
    fn report_progress(&mut self, now: f64, progress: &mut impl FnMut(&str)) {
        let second = now as u64;
        if second <= self.reported_second {
            return;
        }
        self.reported_second = second;
        let running = self.targets.directors.iter_mut().filter(|director| !director.is_killed);
        self.exited_directors = running.map(|director| usize::from(director.process.has_exited())).sum();
        progress(&format!("{second:>4} of {} s", self.trial.seconds));
    }

    fn measure(&self) -> Measured {
        let seconds = self.start.elapsed().as_secs_f64();
        let cpu_seconds = cpu_seconds(&self.targets.directors) - self.cpu_seconds_before;
        let voters = self.targets.coordination.as_ref().map_or(&[][..], |coordination| &coordination.voters);
        let statuses = voters.iter().filter_map(|voter| member_status(*voter)).collect();
        Measured { seconds, cpu_seconds, statuses }
    }

    fn report(&self, measured: &Measured) -> Report {
        let clients = self.targets.directors.iter().filter_map(|director| director.clients.as_ref());
        let tallies: Vec<_> = clients.map(|clients| clients.tally()).collect();
        let (nodes, health_checks) = self.node_outcomes(measured.seconds);
        let coordination = self
            .targets
            .coordination
            .as_ref()
            .map(|links| self.coordination_report(links, measured, &nodes, &health_checks));
        Report::new(TrialOutcome {
            trial: self.trial,
            nodes: &nodes,
            clients: &tallies,
            faults: &self.windows,
            exited_directors: self.exited_directors,
            max_wake_delay: self.max_wake_delay,
            coordination,
        })
    }

    /// The counts of all nodes, with times by the clock of the load, and their health checks by node name.
    fn node_outcomes(&self, seconds: f64) -> (Vec<NodeOutcome>, BTreeMap<String, Vec<HealthCheck>>) {
        let mut outcomes = Vec::new();
        let mut health_checks = BTreeMap::new();
        for node in &self.targets.nodes {
            let mut counts = shift_counts(node.counts(), self.node_clock_offset);
            let mut checks = std::mem::take(&mut counts.health_checks);
            checks.retain(|check| check.at <= seconds);
            health_checks.insert(node.name.clone(), checks);
            let (name, tier, capacity) = (node.name.clone(), node.tier, node.capacity);
            outcomes.push(NodeOutcome { name, tier, capacity, counts });
        }
        (outcomes, health_checks)
    }

    fn coordination_report(
        &self,
        links: &CoordinationLinks,
        measured: &Measured,
        nodes: &[NodeOutcome],
        health_checks: &BTreeMap<String, Vec<HealthCheck>>,
    ) -> CoordinationReport {
        let logs: Vec<&Path> =
            self.targets.directors.iter().map(|director| director.files.log.as_path()).collect();
        let voters = logs.iter().enumerate().take(links.voters.len());
        let leases: Vec<_> =
            voters.flat_map(|(voter, log)| lease_starts(voter, log, self.start_ms)).collect();
        let mut report = CoordinationReport::new(&Observations {
            settings: &links.settings,
            seconds: measured.seconds,
            warm_up: self.trial.warm_up as f64,
            health_checks,
            faults: &self.windows,
            holder_faults: &links.holder_faults,
            leases: &leases,
        });
        let (seconds, directors) = (measured.seconds, self.trial.directors as f64);
        report.bytes = links.proxies.bytes(|_| true).iter().sum::<u64>() as f64 / seconds / directors;
        report.cpu = measured.cpu_seconds / seconds / directors;
        report.changes_proposed = self.proposals;
        report.refused_by_voters = measured.statuses.iter().map(|status| status.stale_tokens_rejected).sum();
        report.stale_assignments =
            measured.statuses.iter().map(|status| status.stale_assignments_ignored).sum();
        for counts in nodes.iter().map(|node| &node.counts) {
            report.warming_requests += counts.warming_requests;
            report.warming_refused += counts.warming_refused;
            if let Some(restarted_at) = counts.cold_since {
                report.add_after_restart(restarted_at, &counts.after_restart);
            }
        }
        report.add_versions(&logs);
        report
    }
}

fn cpu_seconds(directors: &[Director]) -> f64 {
    directors.iter().map(|director| director.process.cpu_seconds()).sum()
}

/// Starts the clients of all directors. One in ten directors gets `uneven` times as many lookups as each of the others.
fn start_clients(trial: &Trial, directors: &mut [Director], start: Instant, over: &Arc<AtomicBool>) {
    let weight = |number: usize| if number.is_multiple_of(10) { trial.uneven } else { 1.0 };
    let all_weights: f64 = (0..directors.len()).map(weight).sum();
    for (number, director) in directors.iter_mut().enumerate() {
        let workload = Workload {
            objects: trial.objects,
            hot_share: trial.hot,
            rate: trial.rate * weight(number) / all_weights,
            seed: trial.seed,
        };
        director.clients = Some(Clients::start(number, director.address, workload, start, over));
    }
}

/// The start and end of each fault, and the hierarchy proposals if the trial has any.
fn planned_actions(trial: &Trial, faults: &[Fault]) -> Vec<(f64, ScheduledAction)> {
    let mut actions = Vec::new();
    for (number, fault) in faults.iter().enumerate() {
        actions.push((fault.at, ScheduledAction::Begin(number)));
        actions.push((fault.at + fault.lasts, ScheduledAction::End(number)));
    }
    let interval = trial.duties.as_ref().map_or(0.0, |duties| duties.change_s);
    if interval > 0.0 {
        let times = (0..).map(|number| (number, FIRST_PROPOSAL_SECONDS + number as f64 * interval));
        let in_time = times.take_while(|(_, at)| at + interval <= trial.seconds as f64);
        actions.extend(in_time.map(|(number, at)| (at, ScheduledAction::ProposeHierarchy(number))));
    }
    actions
}

/// Converts counts to a clock that started `shift` seconds later.
fn shift_counts(mut counts: NodeCounts, shift: f64) -> NodeCounts {
    let tenths = (shift * 10.0).round() as usize;
    counts.requests.drain(..tenths.min(counts.requests.len()));
    counts.cold_since = counts.cold_since.map(|since| since - shift);
    let senders = std::mem::take(&mut counts.senders).into_iter();
    counts.senders = senders
        .map(|mut sender| {
            sender.second = sender.second.saturating_sub(shift as u32);
            sender
        })
        .collect();
    counts.health_checks.iter_mut().for_each(|check| check.at -= shift);
    counts.after_restart.iter_mut().for_each(|request| request.at -= shift);
    counts
}
