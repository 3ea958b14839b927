//! One experiment from start to end.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_controller_log::{ControllerLog, ControllerLogError as LogError};
use sablecross_hierarchy::rollout::Participant;
use sablecross_hierarchy::spec::HierarchySpec;
use sablecross_hierarchy::{
    Admission, FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId, Rollout, RolloutAction,
    RolloutInput, RolloutRecord,
};

use crate::client_load::{BUDGET_MS, Client, ClientStats, Purges};
use crate::clock::unix_ms;
use crate::director_process::{
    NodeModel, PortAllocator, director_config, endpoint_json, members_event, spawn_director,
    wait_until_serving,
};
use crate::discovery_stub::{AppliedReport, DiscoveryStub};
use crate::node_stub::{Node, Role, TrialState};
use crate::process::{TrialError, io_error};
use crate::report::Report;
use crate::settings::Experiment;
use crate::threads::{lock, spawn};

const SEC: u64 = 1_000_000_000;
/// The lab's times, short so that many changes fit an experiment.
const SLOW_START_WINDOW: u64 = 2 * SEC;
const SETTLE: u64 = SEC / 2;
const ROLLBACK_TIMEOUT: u64 = 8 * SEC;
const CLIENTS_PER_DIRECTOR: usize = 8;
/// A node that left gets nothing so long after the last lookup from before has ended, in milliseconds.
const STRAY_GRACE: u64 = 2_000;

/// Makes the hierarchy of an experiment, and changes of it.
struct HierarchyGenerator<'a> {
    experiment: &'a Experiment,
    rng: Pcg32,
}

impl HierarchyGenerator<'_> {
    fn rules(&self) -> HierarchyRules {
        HierarchyRules {
            ceiling: self.experiment.ceiling,
            margin: 0.1,
            slow_start_initial_share: 0.25,
            slow_start_window: SLOW_START_WINDOW,
            collapse_multiple: 2.0,
            allows_siblings: true,
            drain_window: (BUDGET_MS + 100) * 1_000_000,
            fill_window: SETTLE,
            step_timeout: ROLLBACK_TIMEOUT,
        }
    }

    fn node(&self, name: &str, tier: u8, sources: &[NodeId]) -> HierarchyNode {
        let rate = self.experiment.rate as f64;
        let edge = tier == 3;
        HierarchyNode {
            name: name.into(),
            tier,
            sources: sources.into(),
            capacity: if tier == 0 { 10.0 * rate } else { rate },
            demand: if edge { rate / self.experiment.caches as f64 } else { 0.0 },
            hit_ratio: if tier == 0 { 0.0 } else { self.experiment.hit },
            ring_share: FULL_SHARE,
            started_at: 0,
        }
    }

    /// The origin is node 0, upper caches come next, then the caches. Half of the upper caches are asked by the edge.
    fn initial(&mut self) -> Hierarchy {
        let uppers = self.experiment.parents as NodeId;
        let near = uppers.div_ceil(2);
        let mut h = Hierarchy::new(self.rules()).with_node(0, self.node("origin", 0, &[]));
        let far: Vec<NodeId> = (near + 1..=uppers).collect();
        for n in 1..=uppers {
            let (tier, sources) = if n <= near && !far.is_empty() { (2, far.clone()) } else { (1, vec![0]) };
            h = h.with_node(n, self.node(&format!("upper-{n}"), tier, &sources));
        }
        self.with_edge_caches(h)
    }

    /// All caches ask all upper caches of the tier nearest to them.
    fn with_edge_caches(&self, mut h: Hierarchy) -> Hierarchy {
        let uppers = self.experiment.parents as NodeId;
        let of = |tier: u8| -> Vec<NodeId> {
            h.iter().filter(|(_, m)| m.tier == tier).map(|(id, _)| id).collect()
        };
        let near = [of(2), of(1)].into_iter().find(|t| !t.is_empty()).unwrap_or_else(|| vec![0]);
        for c in 0..self.experiment.caches as NodeId {
            let m = self.node(&format!("cache-{c}"), 3, &near);
            if h.get(uppers + 1 + c).is_none_or(|old| **old != m) {
                h = h.with_node(uppers + 1 + c, m);
            }
        }
        h
    }

    /// Another shape: upper caches change tiers and sources, go, or come back cold.
    fn next_shape(&mut self, h: &Hierarchy, cold: impl Fn(NodeId) -> u64) -> Option<Hierarchy> {
        let uppers = self.experiment.parents as NodeId;
        for _ in 0..50 {
            let mut next = h.clone();
            for _ in 0..self.rng.random_range(1..4) {
                let n = self.rng.random_range(1..=uppers);
                let tier = self.rng.random_range(1..=2u8);
                let others = |tiers: &[u8]| -> Vec<NodeId> {
                    let of =
                        next.iter().filter(|(id, m)| *id != n && *id <= uppers && tiers.contains(&m.tier));
                    of.map(|(id, _)| id).collect()
                };
                let below = others(&[1]);
                let mut sources = vec![0];
                if !below.is_empty()
                    && (tier == 2 || self.experiment.parent_chains && self.rng.random::<f64>() < 0.4)
                {
                    sources = (0..2).map(|_| below[self.rng.random_range(0..below.len())]).collect();
                    sources.sort_unstable();
                    sources.dedup();
                }
                if next.get(n).is_some() && self.rng.random::<f64>() < 0.2 {
                    next = next.without_node(n);
                } else {
                    let since = if next.get(n).is_none() { cold(n) } else { 0 };
                    let m = self.node(&format!("upper-{n}"), tier, &sources);
                    next = next.with_node(n, HierarchyNode { started_at: since, ..m });
                }
            }
            // Two that take each other's place, one of which fills from the other: a jump makes a circle of it.
            let chained: Vec<(NodeId, NodeId)> = next
                .iter()
                .filter(|(id, _)| (1..=uppers).contains(id))
                .flat_map(|(id, m)| m.sources.iter().map(move |s| (id, *s)).collect::<Vec<_>>())
                .filter(|(_, s)| *s != 0 && next.get(*s).is_some())
                .collect();
            if !chained.is_empty() && self.rng.random::<f64>() < 0.6 {
                let (a, b) = chained[self.rng.random_range(0..chained.len())];
                let other = |n: NodeId| {
                    if n == a {
                        b
                    } else if n == b {
                        a
                    } else {
                        n
                    }
                };
                let swapped: Vec<(NodeId, Option<Arc<HierarchyNode>>)> = (1..=uppers)
                    .filter_map(|n| {
                        let (own, of) = (next.get(n)?, next.get(other(n))?);
                        let mut sources: Vec<NodeId> = of.sources.iter().map(|s| other(*s)).collect();
                        sources.sort_unstable();
                        let m = HierarchyNode { tier: of.tier, sources: sources.into(), ..(**own).clone() };
                        Some((n, Some(Arc::new(m))))
                    })
                    .collect();
                next = next.with_changes(swapped);
            }
            // Nobody keeps a source that went.
            let gone = |s: &NodeId| next.get(*s).is_none();
            let fixed: Vec<(NodeId, Option<Arc<HierarchyNode>>)> = next
                .iter()
                .filter(|(id, m)| *id <= uppers && m.sources.iter().any(gone))
                .map(|(id, m)| {
                    let mut left: Vec<NodeId> = m.sources.iter().copied().filter(|s| !gone(s)).collect();
                    if left.is_empty() {
                        left.push(0);
                    }
                    (id, Some(Arc::new(HierarchyNode { sources: left.into(), ..(**m).clone() })))
                })
                .collect();
            let next = self.with_edge_caches(next.with_changes(fixed));
            let moved = next.diff(h).count() > 0;
            if moved && next.len() > self.experiment.caches + 2 && Admission::new(next.clone()).is_ok() {
                return Some(next);
            }
        }
        None
    }
}

/// What was told and is under way to an upper cache.
struct DelayedVersion {
    at: Instant,
    to: usize,
    number: u64,
    version: Hierarchy,
}

/// The driver with what it drives.
struct RolloutDriver<'a> {
    e: &'a Experiment,
    rng: Pcg32,
    rollout: Rollout,
    log: ControllerLog,
    file: PathBuf,
    feed: DiscoveryStub,
    parents: Vec<Arc<Node>>,
    participants: Vec<Participant>,
    delayed: Vec<DelayedVersion>,
    common: Arc<TrialState>,
    kills: u64,
    notes: Vec<String>,
    next_retry: Instant,
    /// Purges on their way to nodes.
    purges: Vec<(Instant, Arc<Node>, u64, u64)>,
    /// The version after which nodes that left were told so.
    departures_announced_at: u64,
}

impl RolloutDriver<'_> {
    fn now() -> u64 {
        unix_ms() * 1_000_000
    }

    fn announce(&mut self, number: u64, version: &Hierarchy) {
        let told = HierarchySpec::from_hierarchy(number, version);
        if let Ok(text) = serde_json::to_string(&told) {
            self.feed.publish(&format!("\"hierarchy\":{text}"));
        }
        let times = if self.e.faults && self.rng.random::<f64>() < 0.3 { 2 } else { 1 };
        for _ in 0..times {
            for to in 0..self.parents.len() {
                // Lost now and then: it is told again until it is in force.
                if self.e.faults && self.rng.random::<f64>() < 0.2 {
                    continue;
                }
                let most = if self.e.faults { 700 } else { 100 };
                let at = Instant::now() + Duration::from_millis(self.rng.random_range(0..most));
                self.delayed.push(DelayedVersion { at, to, number, version: version.clone() });
            }
        }
    }

    fn carry_out_actions(&mut self) -> Result<(), TrialError> {
        loop {
            let acts = self.rollout.take_actions();
            if acts.is_empty() {
                return Ok(());
            }
            for act in acts {
                if self.e.faults && self.rollout.progress().is_some() && self.rng.random::<f64>() < 0.04 {
                    self.restart()?;
                    break;
                }
                match act {
                    RolloutAction::Persist(record) => write_with_retry(&mut self.log, &record)?,
                    RolloutAction::Log(line) => self.notes.push(line),
                    RolloutAction::Publish { number, version } => {
                        self.common.count(|s| s.version = number);
                        self.announce(number, &version);
                    }
                }
            }
        }
    }

    /// The driver is killed where it stands, and begins anew from its log.
    fn restart(&mut self) -> Result<(), TrialError> {
        self.kills += 1;
        let (file, folder) = (self.file.clone(), tempfile::tempdir().map_err(io_error("folder"))?);
        // The old one lets go of its file first.
        let spare = ControllerLog::open(&folder.path().join("spare"))?.0;
        drop(std::mem::replace(&mut self.log, spare));
        let (log, records) = ControllerLog::open(&file)?;
        self.log = log;
        self.rollout = Rollout::recover(&records, self.participants.clone(), Self::now())?;
        Ok(())
    }

    fn handle(&mut self, input: RolloutInput) -> Result<(), TrialError> {
        // A refusal stands in the notes; the experiment goes on.
        if let Err(no) = self.rollout.handle(input, Self::now()) {
            self.notes.push(format!("refused: {no}"));
        }
        self.carry_out_actions()
    }

    fn step(&mut self, heard: &Receiver<AppliedReport>) -> Result<(), TrialError> {
        let now = Instant::now();
        let (due, later): (Vec<DelayedVersion>, Vec<DelayedVersion>) =
            std::mem::take(&mut self.delayed).into_iter().partition(|l| l.at <= now);
        self.delayed = later;
        for DelayedVersion { to, number, version, .. } in due {
            let (number, digest) = self.parents[to].offer(number, &version);
            let party = self.parents[to].name.as_str().into();
            self.handle(RolloutInput::VersionApplied { participant: party, number, digest })?;
        }
        self.purges.retain(|(at, node, object, made)| {
            if *at <= now {
                node.purge(*object, *made);
            }
            *at > now
        });
        for said in heard.try_iter() {
            let digest = u64::from_str_radix(&said.digest, 16).unwrap_or(0);
            self.handle(RolloutInput::VersionApplied {
                participant: said.party.as_str().into(),
                number: said.number,
                digest,
            })?;
        }
        if now >= self.next_retry {
            self.next_retry = now + Duration::from_millis(500);
            if !self.rollout.missing_participants().is_empty() {
                let (number, version) = (self.rollout.published().0, self.rollout.published().1.clone());
                self.announce(number, &version);
            }
            let origin = lock(&self.common.seconds).iter().rev().nth(1).map_or(0, |s| s.origin);
            let (down, told) = (self.parents.iter().filter(|u| u.is_down()), self.rollout.published().1);
            let down: Vec<NodeId> = down.filter_map(|u| told.node_id(&u.name)).collect();
            self.handle(RolloutInput::HealthReport { origin: origin as f64, down_nodes: down })?;
        }
        // An upper cache dies in the middle of a change now and then, for a second.
        if self.e.faults && self.rollout.progress().is_some() && self.rng.random::<f64>() < 0.000_5 {
            let n = self.rng.random_range(0..self.parents.len());
            self.parents[n].fail_for(1_000);
            self.notes.push(format!("fault: {} fails for a second", self.parents[n].name));
        }
        let (number, held) = self.rollout.committed();
        if number != self.departures_announced_at || self.rollout.published().0 != number {
            let over = unix_ms() + BUDGET_MS + 100 + STRAY_GRACE;
            let told = self.rollout.published().1;
            for upper in &self.parents {
                let here = [held, told].iter().any(|h| h.node_id(&upper.name).is_some());
                upper.reject_after((!here).then_some(over));
            }
            self.departures_announced_at = number;
        }
        if self.rollout.next_wakeup().is_some_and(|w| w <= Self::now()) {
            self.handle(RolloutInput::Tick)?;
        }
        Ok(())
    }
}

/// Runs it. `director` starts a real director, whose log goes to the folder; `tell` hears of the progress.
pub fn run(
    e: &Experiment,
    director: &dyn Fn() -> Command,
    folder: &Path,
    mut tell: impl FnMut(&str),
) -> Result<Report, TrialError> {
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let common = Arc::new(TrialState::new(Instant::now()));
    let mut shape = HierarchyGenerator { experiment: e, rng: Pcg32::seed_from_u64(e.seed) };
    let first = shape.initial();

    let mut nodes = BTreeMap::new();
    for (id, m) in first.iter() {
        let role = if id == 0 {
            Role::Origin
        } else if id <= e.parents as NodeId {
            Role::Upper
        } else {
            Role::Edge
        };
        let started = Node::start(&m.name, role, e.copies_per_cache, e.follow_named_path, &common)
            .map_err(io_error("a stand-in"))?;
        let mut addresses = common.addresses.write().unwrap_or_else(|e| e.into_inner());
        addresses.insert(m.name.to_string(), started.1);
        nodes.insert(id, started);
    }
    let (to_control, heard) = channel();
    let feed = DiscoveryStub::start(&common, to_control).map_err(io_error("the feed"))?;
    let endpoints: Vec<_> =
        nodes.values().map(|(n, at)| endpoint_json(&n.name, *at, n.role.kind(), "ready", 0)).collect();
    feed.publish(&members_event(&endpoints, true));
    let told = serde_json::to_string(&HierarchySpec::from_hierarchy(1, &first)).unwrap_or_default();
    feed.publish(&format!("\"hierarchy\":{told}"));

    let mut fleet = Vec::new();
    let mut addresses = Vec::new();
    let mut ports = PortAllocator::new();
    let like = NodeModel {
        slow_start_initial_share: 0.25,
        slow_start_us: SLOW_START_WINDOW / 1_000,
        collapse_multiple: 2.0,
        stream_kb_per_s: 9000.0,
    };
    for number in 0..e.directors {
        let spare = ports.allocate().map_err(io_error("a port"))?;
        let (config, log) =
            (folder.join(format!("director-{number}.json")), folder.join(format!("director-{number}.log")));
        let _ = std::fs::remove_file(&log);
        let text = director_config(number, e.directors, e.seed, spare, (feed.address, &feed.events()), &like)
            .to_string();
        std::fs::write(&config, text).map_err(io_error(config.display().to_string()))?;
        fleet.push(spawn_director(director, &config, &log, None)?);
        wait_until_serving(
            &format!("director-{number}"),
            spare,
            &log,
            Instant::now(),
            Duration::from_secs(10),
        )?;
        addresses.push(spare);
    }

    let uppers: Vec<Arc<Node>> =
        nodes.values().filter(|(n, _)| n.role == Role::Upper).map(|(n, _)| Arc::clone(n)).collect();
    for upper in &uppers {
        upper.offer(1, &first);
    }
    let mut parties: Vec<Participant> = (0..e.directors).map(|n| format!("director-{n}").into()).collect();
    parties.extend(uppers.iter().map(|u| Participant::from(u.name.as_str())));
    let file = folder.join("driver.redb");
    let _ = std::fs::remove_file(&file);
    let mut control = RolloutDriver {
        e,
        rng: Pcg32::seed_from_u64(e.seed + 1),
        rollout: Rollout::new(1, first.clone(), parties.clone())?,
        log: ControllerLog::open(&file)?.0,
        file,
        feed,
        parents: uppers,
        participants: parties,
        delayed: Vec::new(),
        common: Arc::clone(&common),
        kills: 0,
        notes: Vec::new(),
        next_retry: Instant::now(),
        purges: Vec::new(),
        departures_announced_at: 1,
    };
    control.carry_out_actions()?;

    let purges = Purges::default();
    let begun = common.begun.elapsed().as_secs();
    let clients = e.directors * CLIENTS_PER_DIRECTOR;
    let every = Duration::from_secs_f64(clients as f64 / e.rate as f64);
    let (done, seen) = channel::<ClientStats>();
    for number in 0..clients {
        let client = Client {
            director: addresses[number % e.directors],
            number: number as u64 + 1,
            seed: e.seed,
            objects: e.objects,
            every,
            purges: Arc::clone(&purges),
            common: Arc::clone(&common),
        };
        let done = done.clone();
        spawn(move || drop(done.send(client.run())));
    }
    drop(done);

    let (start, mut said, mut purged) = (Instant::now(), 0, 0u64);
    let (mut asked, mut next_change, mut second) = (0, start + Duration::from_secs(e.warm_up), false);
    while start.elapsed() < Duration::from_secs(e.seconds) {
        std::thread::sleep(Duration::from_millis(10));
        control.step(&heard)?;
        let second_due = second && control.rollout.progress().is_some();
        let idle = control.rollout.progress().is_none();
        if asked < e.hierarchy_changes && Instant::now() >= next_change && (idle || second_due) {
            second = false; // The driver numbers nodes anew when it begins anew; here they keep their first numbers.
            let told =
                HierarchySpec::from_hierarchy(1, control.rollout.published().1).to_hierarchy(Some(&first));
            let from = told.map_or_else(|_| first.clone(), |(_, h)| h);
            let cold = |n: NodeId| nodes.get(&n).map_or(0, |(node, _)| node.restart_cold() * 1_000_000);
            if let Some(aim) = shape.next_shape(&from, cold) {
                let fresh: Vec<_> = aim
                    .iter()
                    .filter(|(id, m)| m.started_at > 0 && from.get(*id).is_none())
                    .filter_map(|(id, m)| {
                        nodes.get(&id).map(|(n, at)| {
                            endpoint_json(&n.name, *at, n.role.kind(), "ready", m.started_at / 1_000_000)
                        })
                    })
                    .collect();
                if !fresh.is_empty() {
                    control.feed.publish(&members_event(&fresh, false));
                }
                asked += 1;
                if e.plan {
                    control.handle(RolloutInput::Propose { target: aim })?;
                    // Another follows closely now and then.
                    second = e.faults && idle && shape.rng.random::<f64>() < 0.3;
                    let pause = if second { 50 } else { 300 };
                    next_change = Instant::now() + Duration::from_millis(pause);
                } else {
                    control.apply_at_once(aim)?;
                    next_change = Instant::now() + Duration::from_secs(3);
                }
            }
        }
        if e.purges > 0 && start.elapsed().as_millis() as u64 * e.purges / 1_000 > purged {
            purged += 1;
            let (object, at) = (shape.rng.random_range(0..e.objects.min(50)), unix_ms());
            control.feed.publish(&format!("\"purge\":{{\"key\":\"{object:016x}\",\"at\":{at}}}"));
            lock(&purges).insert(object, at);
            for (node, _) in nodes.values() {
                let late = Duration::from_millis(control.rng.random_range(0..700));
                control.purges.push((Instant::now() + late, Arc::clone(node), object, at));
            }
        }
        let at = start.elapsed().as_secs();
        if at > said {
            said = at;
            let now = lock(&common.seconds).iter().rev().nth(1).cloned().unwrap_or_default();
            tell(&format!(
                "{at:>4} of {} s  satisfied {:>5}  origin {:>4}  loops {}  falls {}  version {}  changes {asked}",
                e.seconds, now.satisfied, now.origin, now.loops, now.falls, now.version
            ));
        }
    }
    common.over.store(true, Ordering::Relaxed);
    let deadline = Instant::now() + Duration::from_millis(BUDGET_MS + 5_000);
    let mut all = Vec::new();
    while all.len() < clients {
        match seen.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(one) => all.push(one),
            Err(_) => break,
        }
    }
    let seconds = lock(&common.seconds).clone();
    let endings = control.outcomes();
    let missing = clients - all.len();
    let window = begun + e.warm_up..begun + e.seconds;
    Ok(Report::of(e, seconds, all, missing, window, (endings, control.kills, asked), control.notes))
}

impl RolloutDriver<'_> {
    /// All at once, without a plan: for comparison.
    fn apply_at_once(&mut self, aim: Hierarchy) -> Result<(), TrialError> {
        let number = self.rollout.published().0 + 1;
        self.common.count(|s| s.version = number);
        self.announce(number, &aim);
        // The driver begins anew with it, so that what comes next starts from there.
        self.log.append(&RolloutRecord::Checkpoint {
            number,
            next_change: 1,
            version: HierarchySpec::from_hierarchy(number, &aim),
        })?;
        self.rollout = Rollout::new(number, aim, self.participants.clone())?;
        self.rollout.take_actions();
        Ok(())
    }

    /// How changes ended, by the lines of the log.
    fn outcomes(&self) -> BTreeMap<String, u64> {
        let mut endings = BTreeMap::new();
        for line in self.notes.iter().filter(|l| l.contains(" ended how=")) {
            let how = line.split("how=").nth(1).and_then(|h| h.split(' ').next()).unwrap_or_default();
            *endings.entry(how.to_owned()).or_insert(0) += 1;
        }
        endings
    }
}

/// How long the driver waits for a disk that can't be written, and how often it tries.
const DISK_RETRY_TIMEOUT: Duration = Duration::from_secs(10);
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps an entry, for which a disk that is full or fails for a while is waited for: nothing may follow before.
fn write_with_retry(log: &mut ControllerLog, record: &RolloutRecord) -> Result<(), LogError> {
    let start = Instant::now();
    loop {
        match log.append(record) {
            Err(LogError::Write(_) | LogError::Open { .. }) if start.elapsed() < DISK_RETRY_TIMEOUT => {
                std::thread::sleep(DISK_RETRY_INTERVAL);
            }
            done => return done,
        }
    }
}
