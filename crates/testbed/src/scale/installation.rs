//! The directors and relays of a scale trial, and the faults that are applied to them.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use serde_json::{Value, json};

use super::evaluation::{ReportedNumber, Sample};
use super::pool_messages::{DirectorIdentity, Finished, PoolCommand, PoolProgress, PoolReport, shared_ns};
use super::processes::{PoolProcess, RealDirector, ReportFromPool, process_use};
use super::run::ScheduledAction;
use super::settings::{Fault, FaultKind, ScaleTrial};
use super::source::{Source, status};
use super::tier::{Program, Tier, purge_retention_ms};
use crate::clock::unix_ms;
use crate::director_process::{NodeModel, director_config, spawn_director, wait_until_serving};
use crate::fleet::link_proxy::{HeldDirections, LinkProxies, PlannedLink};
use crate::ports::PortAllocator;
use crate::process::{TrialError, cpu_seconds_of, io_error};
use crate::schedule::sample;

/// Timeout for all simulated directors to connect.
const CONNECTED_TIMEOUT: Duration = Duration::from_secs(120);
const REAL_START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for real directors to log their counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the processes of simulated directors to report their result.
const RESULT_TIMEOUT: Duration = Duration::from_secs(60);
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
const MODEL: NodeModel = NodeModel {
    slow_start_initial_share: 0.25,
    slow_start_us: 60_000_000,
    collapse_multiple: 3.0,
    stream_kb_per_s: 400.0,
};

/// The address from which the links of a real director connect. It is the director's name in the status of relays.
fn real_source(real: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 15, (real >> 8) as u8, real as u8 + 1)
}

/// The address from which a simulated director connects.
fn simulated_source(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 16, 0, 1)) + number as u32)
}

/// A fault that is in force.
pub(super) struct ActiveFault {
    kind: FaultKind,
    /// The relay that it affects.
    pub(super) relay: Option<usize>,
    /// The simulated directors that it affects.
    pub(super) directors: Vec<usize>,
}

/// The processes of a trial and the links between them.
pub(super) struct Installation<'a> {
    settings: &'a ScaleTrial,
    program: Program<'a>,
    pub(super) tier: Tier,
    pools: Vec<PoolProcess>,
    reals: Vec<RealDirector>,
    /// The links of real directors to their relays.
    links: LinkProxies,
    reports: Receiver<ReportFromPool>,
    rng: Pcg32,
}

impl<'a> Installation<'a> {
    /// Starts all directors with the given known events.
    pub(super) fn start(
        settings: &'a ScaleTrial,
        program: Program<'a>,
        folder: &Path,
        tier: Tier,
        known: &Value,
        has_ended: &Arc<AtomicBool>,
    ) -> Result<Installation<'a>, TrialError> {
        let links = link_real_directors(settings, &tier, has_ended)?;
        let reals = start_real_directors(settings, program, folder, &links, known)?;
        let (sender, reports) = channel();
        let pools = start_pools(settings, program, folder, &tier, known, &sender)?;
        let rng = Pcg32::seed_from_u64(settings.seed);
        Ok(Installation { settings, program, tier, pools, reals, links, reports, rng })
    }

    /// Stores the reports that the processes of simulated directors have sent.
    pub(super) fn take_reports(&mut self) {
        for ReportFromPool { pool, report } in self.reports.try_iter() {
            match report {
                PoolReport::Tick(progress) => self.pools[pool].progress = progress,
                PoolReport::Finished(finished) => self.pools[pool].finished = Some(finished),
            }
        }
    }

    /// Sends a command to all processes of simulated directors.
    pub(super) fn send_to_all(&mut self, command: &PoolCommand) -> Result<(), TrialError> {
        self.pools.iter_mut().try_for_each(|pool| pool.send(command))
    }

    /// Waits until all simulated directors are connected. Returns how long that took.
    pub(super) fn wait_until_connected(&mut self) -> Result<Duration, TrialError> {
        let started = Instant::now();
        while self.pools.iter().any(|pool| pool.progress.connected < pool.directors) {
            if started.elapsed() > CONNECTED_TIMEOUT || self.exited() > 0 {
                return Err(TrialError::NotServing {
                    name: "a process of simulated directors".into(),
                    within: CONNECTED_TIMEOUT.as_secs(),
                    log: "hollow-*.log".into(),
                });
            }
            std::thread::sleep(Duration::from_millis(50));
            self.take_reports();
        }
        Ok(started.elapsed())
    }

    /// Samples the resource use of all processes.
    pub(super) fn sample(&mut self) -> Sample {
        self.take_reports();
        let relays = &self.tier.relays;
        Sample {
            at_ns: shared_ns(),
            progress: self.pools.iter().map(|pool| pool.progress).collect(),
            simulated: self.pools.iter().map(|pool| process_use(&pool.process)).collect(),
            real: self.reals.iter().map(|real| process_use(&real.process)).collect(),
            real_bytes: self.links.bytes(|_| true),
            relays: relays.iter().map(|relay| relay.process_use()).collect(),
            relay_bytes: (0..relays.len()).map(|relay| self.tier.bytes(relay)).collect(),
            own_cpu_seconds: cpu_seconds_of(std::process::id()),
        }
    }

    /// A progress line with the state of the simulated directors.
    pub(super) fn progress_line(&self, second: u64, published: usize) -> String {
        let progress = || self.pools.iter().map(|pool| pool.progress);
        let slowest = progress().map(|progress| progress.lowest_applied).min().unwrap_or(0);
        let newest = progress().map(|progress| progress.highest_applied).max().unwrap_or(0);
        let behind = newest.saturating_sub(slowest);
        let alive: usize = progress().map(|progress| progress.running).sum();
        let gaps: u64 = progress().map(|progress| progress.gaps).sum();
        format!(
            "{second:>4} of {} s  alive {alive}  published {published}  slowest behind {behind}  gaps {gaps}",
            self.settings.seconds
        )
    }

    /// Waits until all simulated directors have applied an event number. Returns the number of processes with directors
    /// that have not by the timeout.
    pub(super) fn wait_for_number(&mut self, number: u64, timeout: Duration) -> usize {
        let started = Instant::now();
        loop {
            self.take_reports();
            let is_behind =
                |pool: &&PoolProcess| pool.progress.running > 0 && pool.progress.lowest_applied < number;
            let behind = self.pools.iter().filter(is_behind).count();
            if behind == 0 || started.elapsed() > timeout {
                return behind;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the relays report that all real directors have applied an event number. Returns the number of real
    /// directors that have not by the timeout; 0 if there are no relays.
    pub(super) fn wait_for_reals(&self, number: u64, timeout: Duration) -> usize {
        if self.tier.relays.is_empty() {
            return 0;
        }
        let started = Instant::now();
        loop {
            let applied = self.applied_by_readers();
            let is_behind = |real: &usize| {
                applied.get(&real_source(*real).to_string()).is_none_or(|applied| *applied < number)
            };
            let behind = (0..self.reals.len()).filter(is_behind).count();
            if behind == 0 || started.elapsed() > timeout {
                return behind;
            }
            std::thread::sleep(STATUS_INTERVAL);
        }
    }

    /// The highest event number that each reader of the relays has applied, by the reader's name.
    fn applied_by_readers(&self) -> BTreeMap<String, u64> {
        let mut applied: BTreeMap<String, u64> = BTreeMap::new();
        for status in self.tier.feeds.iter().filter_map(|feed| status(*feed)) {
            for reader in status["readers"].as_array().into_iter().flatten() {
                let (Some(name), Some(number)) = (reader["name"].as_str(), reader["number"].as_u64()) else {
                    continue;
                };
                let known = applied.entry(name.into()).or_default();
                *known = number.max(*known);
            }
        }
        applied
    }

    /// The event numbers that the leader of the relays reports as applied everywhere.
    pub(super) fn reported_numbers(&self) -> Vec<ReportedNumber> {
        let leader = self.tier.leader();
        let Some(status) = leader.and_then(|relay| status(self.tier.feeds[relay])) else {
            return Vec::new();
        };
        let reported: Vec<(u64, u64)> = serde_json::from_value(status["passed"].clone()).unwrap_or_default();
        let (now_ns, now_ms) = (shared_ns(), unix_ms());
        let since_ns = |at_ms: u64| now_ns - 1_000_000 * now_ms.saturating_sub(at_ms);
        reported
            .into_iter()
            .map(|(number, at_ms)| ReportedNumber { number, since_ns: since_ns(at_ms) })
            .collect()
    }

    /// The number of events that real directors skipped as unreadable, from the counters that they log. A director that
    /// logs no counters in time counts as one event.
    pub(super) fn events_skipped_by_reals(&self) -> u64 {
        for real in &self.reals {
            real.process.signal(Signal::USR1);
        }
        let started = Instant::now();
        let mut skipped: Vec<Option<u64>> = vec![None; self.reals.len()];
        while skipped.contains(&None) && started.elapsed() < COUNTERS_TIMEOUT {
            std::thread::sleep(Duration::from_millis(50));
            skipped = self.reals.iter().map(RealDirector::skipped_events).collect();
        }
        skipped.into_iter().map(|events| events.unwrap_or(1)).sum()
    }

    /// The number of processes that exited by themselves.
    pub(super) fn exited(&mut self) -> usize {
        let reals = self.reals.iter_mut().map(|real| real.process.has_exited());
        let pools = self.pools.iter_mut().map(|pool| pool.process.has_exited());
        let relays = self.tier.relays.iter_mut().map(|relay| relay.has_exited());
        reals.chain(pools).chain(relays).filter(|has_exited| *has_exited).count()
    }

    /// Ends the simulated directors and collects their results. A process that reports no result in time is left out.
    pub(super) fn finish(&mut self, source: &Source) -> Result<Vec<Finished>, TrialError> {
        self.send_to_all(&PoolCommand::Finish { published: source.confirmed_events(), list: source.list() })?;
        let started = Instant::now();
        while self.pools.iter().any(|pool| pool.finished.is_none()) && started.elapsed() < RESULT_TIMEOUT {
            self.take_reports();
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(self.pools.iter_mut().filter_map(|pool| pool.finished.take()).map(|finished| *finished).collect())
    }

    /// The last progress report of each process of simulated directors.
    pub(super) fn progress(&self) -> Vec<PoolProgress> {
        self.pools.iter().map(|pool| pool.progress).collect()
    }

    /// The number of processes of simulated directors.
    pub(super) fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// Draws the targets of a fault and begins it. Restarts of directors are added to `actions`.
    pub(super) fn begin_fault(
        &mut self,
        fault: &Fault,
        now: f64,
        actions: &mut Vec<(f64, ScheduledAction)>,
        source: &Source,
    ) -> Result<ActiveFault, TrialError> {
        let mut active = ActiveFault { kind: fault.kind, relay: None, directors: Vec::new() };
        match fault.kind {
            FaultKind::KillRelay | FaultKind::StopRelay | FaultKind::CutTo | FaultKind::CutFrom => {
                active.relay = Some(self.tier.non_voter(self.rng.random_range(0..1_000)));
            }
            FaultKind::KillOwner | FaultKind::StopOwner => active.relay = self.tier.leader(),
            FaultKind::KillDirectors | FaultKind::SlowDirectors => {
                active.directors = sample(&mut self.rng, self.settings.hollow, fault.of);
            }
            FaultKind::RestartDirectors => self.schedule_restarts(fault, now, actions),
            FaultKind::CutRegion => active.directors = self.cut_region()?,
            FaultKind::Burst => source.burst(fault.count),
        }
        if let Some(relay) = active.relay {
            self.apply_relay_fault(fault.kind, relay)?;
        }
        match fault.kind {
            FaultKind::KillDirectors => self.send_to_all(&PoolCommand::Kill(active.directors.clone()))?,
            FaultKind::SlowDirectors => {
                self.send_to_all(&PoolCommand::Slow(active.directors.clone(), true))?;
            }
            _ => {}
        }
        Ok(active)
    }

    /// Schedules kills of random directors within the duration of a fault, each with a restart within half a second.
    fn schedule_restarts(&mut self, fault: &Fault, now: f64, actions: &mut Vec<(f64, ScheduledAction)>) {
        for _ in 0..fault.count {
            let director = self.rng.random_range(0..self.settings.hollow);
            let killed_at = now + (fault.lasts - 1.0).max(0.0) * self.rng.random::<f64>();
            actions.push((killed_at, ScheduledAction::KillDirector(director)));
            let started_at = killed_at + 0.5 * self.rng.random::<f64>();
            actions.push((started_at, ScheduledAction::StartDirector(director)));
        }
    }

    /// Begins a fault of one relay.
    fn apply_relay_fault(&mut self, kind: FaultKind, relay: usize) -> Result<(), TrialError> {
        let (to, from) = (HeldDirections { to: true, from: false }, HeldDirections { to: false, from: true });
        match kind {
            FaultKind::KillRelay | FaultKind::KillOwner => self.tier.relays[relay].kill()?,
            FaultKind::StopRelay | FaultKind::StopOwner => self.tier.relays[relay].signal(Signal::STOP),
            FaultKind::CutTo => self.tier.hold(|pair| pair.0 == relay, to),
            FaultKind::CutFrom => self.tier.hold(|pair| pair.0 == relay, from),
            _ => {}
        }
        Ok(())
    }

    /// Cuts a random region off from all others. Returns the simulated directors of the region.
    fn cut_region(&mut self) -> Result<Vec<usize>, TrialError> {
        let region = self.rng.random_range(0..self.settings.regions);
        let (settings, tier) = (self.settings, &self.tier);
        let are_apart = |a: usize, b: usize| (tier.region(a) == region) != (tier.region(b) == region);
        let both = HeldDirections { to: true, from: true };
        tier.hold(|(a, b)| are_apart(*a, *b), both);
        for pair in self.links.pairs() {
            let director = settings.hollow + pair.0;
            let feed = tier.feeds_of(director, settings.feeds)[pair.1];
            let relay = tier.feeds.iter().position(|known| *known == feed).unwrap_or(0);
            if are_apart(director, relay) {
                self.links.hold(*pair, both);
            }
        }
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..settings.hollow).partition(|director| tier.region(*director) == region);
        let (feeds_inside, feeds_outside) = tier.feeds_by_region(region);
        self.send_to_all(&PoolCommand::Cut(inside.clone(), feeds_outside))?;
        self.send_to_all(&PoolCommand::Cut(outside, feeds_inside))?;
        Ok(inside)
    }

    /// Ends a fault: removes its cuts, and restarts or resumes what it killed, stopped or slowed. Releases all data
    /// that is held back between relays, also by other faults.
    pub(super) fn end_fault(&mut self, active: &ActiveFault) -> Result<(), TrialError> {
        self.tier.hold(|_| true, HeldDirections::default());
        match (active.kind, active.relay) {
            (FaultKind::KillRelay | FaultKind::KillOwner, Some(relay)) => {
                self.tier.relays[relay].restart(self.program)?;
            }
            (FaultKind::StopRelay | FaultKind::StopOwner, Some(relay)) => {
                self.tier.relays[relay].signal(Signal::CONT);
            }
            (FaultKind::KillDirectors, _) => {
                self.send_to_all(&PoolCommand::Start(active.directors.clone()))?;
            }
            (FaultKind::SlowDirectors, _) => {
                self.send_to_all(&PoolCommand::Slow(active.directors.clone(), false))?;
            }
            (FaultKind::CutRegion, _) => {
                for pair in self.links.pairs() {
                    self.links.hold(*pair, HeldDirections::default());
                }
                self.send_to_all(&PoolCommand::Heal)?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// The configuration of a director, real or simulated.
fn config_text(
    settings: &ScaleTrial,
    number: usize,
    listen: SocketAddr,
    feeds: &[SocketAddr],
    known: &Value,
) -> String {
    let directors = settings.hollow + settings.real;
    let mut config = director_config(number, directors, settings.seed, listen, (feeds[0], &[]), &MODEL);
    config["known"] = known.clone();
    config["feeds"] = json!(feeds[1..]);
    let mut directors_by_zone = vec![0; settings.zones];
    directors_by_zone[0] = directors;
    let zones: Vec<String> = (0..settings.zones).map(|zone| format!("zone-{zone}")).collect();
    let module = &mut config["settings"];
    module["az"] = json!(0);
    module["zones"] = json!(zones);
    module["extra"]["zoneBalancers"] = json!(directors_by_zone);
    config.to_string()
}

/// Creates a link from each real director to each of its relays.
fn link_real_directors(
    settings: &ScaleTrial,
    tier: &Tier,
    has_ended: &Arc<AtomicBool>,
) -> Result<LinkProxies, TrialError> {
    let mut planned = Vec::new();
    for real in 0..settings.real {
        let feeds = tier.feeds_of(settings.hollow + real, settings.feeds);
        for (place, to) in feeds.into_iter().enumerate() {
            planned.push(PlannedLink { pair: (real, place), to, from: real_source(real) });
        }
    }
    LinkProxies::start_planned(planned, has_ended).map_err(io_error("links of real directors"))
}

fn start_real_directors(
    settings: &ScaleTrial,
    program: Program,
    folder: &Path,
    links: &LinkProxies,
    known: &Value,
) -> Result<Vec<RealDirector>, TrialError> {
    let mut ports = PortAllocator::new();
    let mut reals = Vec::new();
    for real in 0..settings.real {
        let name = format!("director-{real}");
        let (config, log) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        // Removes the log of an earlier run.
        let _ = std::fs::remove_file(&log);
        let feeds: Vec<_> = (0..settings.feeds).filter_map(|place| links.address(real, place)).collect();
        let port = ports.allocate()?;
        let text = config_text(settings, settings.hollow + real, port.address, &feeds, known);
        std::fs::write(&config, text).map_err(io_error(config.display().to_string()))?;
        let process = spawn_director(&|| program(&["testbed", "director"]), &config, &log, None)?;
        wait_until_serving(&name, port.address, &log, Instant::now(), REAL_START_TIMEOUT)?;
        reals.push(RealDirector { process, log, _port: port });
    }
    Ok(reals)
}

/// Starts the processes of simulated directors and assigns the directors to them in turn.
fn start_pools(
    settings: &ScaleTrial,
    program: Program,
    folder: &Path,
    tier: &Tier,
    known: &Value,
    reports: &Sender<ReportFromPool>,
) -> Result<Vec<PoolProcess>, TrialError> {
    let unused_address = ([127, 0, 0, 1], 0).into();
    let config = config_text(settings, 0, unused_address, &tier.feeds_of(0, settings.feeds), known);
    let mut pools = Vec::new();
    for pool in 0..settings.process_count() {
        let numbers = (pool..settings.hollow).step_by(settings.process_count());
        let directors: Vec<DirectorIdentity> = numbers
            .map(|number| DirectorIdentity {
                number,
                source: simulated_source(number),
                feeds: tier.feeds_of(number, settings.feeds),
            })
            .collect();
        let mut process = PoolProcess::start(program, pool, folder, reports.clone(), directors.len())?;
        let (config, purge_retention_ms) = (config.clone(), purge_retention_ms(settings));
        process.send(&PoolCommand::Begin { config, directors, purge_retention_ms })?;
        pools.push(process);
    }
    Ok(pools)
}
