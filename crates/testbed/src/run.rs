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

use crate::directors::{Like, Ports, configuration, endpoint, members, serving, spawn_director};
use crate::feed::{Feed, Said};
use crate::load::{BUDGET_MS, Client, Purges, Seen};
use crate::node::{Common, Node, Role, lock, spawn, unix_ms};
use crate::process::{Failed, io_error};
use crate::report::Report;
use crate::settings::Experiment;

const SEC: u64 = 1_000_000_000;
/// The lab's times, short so that many changes fit an experiment.
const WARM_AFTER: u64 = 2 * SEC;
const SETTLE: u64 = SEC / 2;
const GIVE_UP: u64 = 8 * SEC;
const CLIENTS_A_DIRECTOR: usize = 8;
/// A node that left gets nothing so long after the last lookup from before has ended, in milliseconds.
const STRAY_GRACE: u64 = 2_000;

/// Makes the hierarchy of an experiment, and changes of it.
struct Shape<'a> {
    e: &'a Experiment,
    rng: Pcg32,
}

impl Shape<'_> {
    fn rules(&self) -> HierarchyRules {
        HierarchyRules {
            ceiling: self.e.ceiling,
            margin: 0.1,
            slow_start_initial_share: 0.25,
            slow_start_window: WARM_AFTER,
            collapse_multiple: 2.0,
            allows_siblings: true,
            drain_window: (BUDGET_MS + 100) * 1_000_000,
            fill_window: SETTLE,
            step_timeout: GIVE_UP,
        }
    }

    fn member(&self, name: &str, tier: u8, sources: &[NodeId]) -> HierarchyNode {
        let rate = self.e.rate as f64;
        let edge = tier == 3;
        HierarchyNode {
            name: name.into(),
            tier,
            sources: sources.into(),
            capacity: if tier == 0 { 10.0 * rate } else { rate },
            demand: if edge { rate / self.e.caches as f64 } else { 0.0 },
            hit_ratio: if tier == 0 { 0.0 } else { self.e.hit },
            ring_share: FULL_SHARE,
            started_at: 0,
        }
    }

    /// The origin is node 0, upper caches come next, then the caches. Half of the upper caches are asked by the edge.
    fn first(&mut self) -> Hierarchy {
        let uppers = self.e.uppers as NodeId;
        let near = uppers.div_ceil(2);
        let mut h = Hierarchy::new(self.rules()).with_node(0, self.member("origin", 0, &[]));
        let far: Vec<NodeId> = (near + 1..=uppers).collect();
        for n in 1..=uppers {
            let (tier, sources) = if n <= near && !far.is_empty() { (2, far.clone()) } else { (1, vec![0]) };
            h = h.with_node(n, self.member(&format!("upper-{n}"), tier, &sources));
        }
        self.edged(h)
    }

    /// All caches ask all upper caches of the tier nearest to them.
    fn edged(&self, mut h: Hierarchy) -> Hierarchy {
        let uppers = self.e.uppers as NodeId;
        let of = |tier: u8| -> Vec<NodeId> {
            h.iter().filter(|(_, m)| m.tier == tier).map(|(id, _)| id).collect()
        };
        let near = [of(2), of(1)].into_iter().find(|t| !t.is_empty()).unwrap_or_else(|| vec![0]);
        for c in 0..self.e.caches as NodeId {
            let m = self.member(&format!("cache-{c}"), 3, &near);
            if h.get(uppers + 1 + c).is_none_or(|old| **old != m) {
                h = h.with_node(uppers + 1 + c, m);
            }
        }
        h
    }

    /// Another shape: upper caches change tiers and sources, go, or come back cold.
    fn other(&mut self, h: &Hierarchy, cold: impl Fn(NodeId) -> u64) -> Option<Hierarchy> {
        let uppers = self.e.uppers as NodeId;
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
                if !below.is_empty() && (tier == 2 || self.e.chains && self.rng.random::<f64>() < 0.4) {
                    sources = (0..2).map(|_| below[self.rng.random_range(0..below.len())]).collect();
                    sources.sort_unstable();
                    sources.dedup();
                }
                if next.get(n).is_some() && self.rng.random::<f64>() < 0.2 {
                    next = next.without_node(n);
                } else {
                    let since = if next.get(n).is_none() { cold(n) } else { 0 };
                    let m = self.member(&format!("upper-{n}"), tier, &sources);
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
            let next = self.edged(next.with_changes(fixed));
            let moved = next.diff(h).count() > 0;
            if moved && next.len() > self.e.caches + 2 && Admission::new(next.clone()).is_ok() {
                return Some(next);
            }
        }
        None
    }
}

/// What was told and is under way to an upper cache.
struct Late {
    at: Instant,
    to: usize,
    number: u64,
    version: Hierarchy,
}

/// The driver with what it drives.
struct Control<'a> {
    e: &'a Experiment,
    rng: Pcg32,
    driver: Rollout,
    log: ControllerLog,
    file: PathBuf,
    feed: Feed,
    uppers: Vec<Arc<Node>>,
    parties: Vec<Participant>,
    late: Vec<Late>,
    common: Arc<Common>,
    kills: u64,
    notes: Vec<String>,
    again: Instant,
    /// Purges on their way to nodes.
    purges: Vec<(Instant, Arc<Node>, u64, u64)>,
    /// The version after which nodes that left were told so.
    left: u64,
}

impl Control<'_> {
    fn now() -> u64 {
        unix_ms() * 1_000_000
    }

    fn tell(&mut self, number: u64, version: &Hierarchy) {
        let told = HierarchySpec::from_hierarchy(number, version);
        if let Ok(text) = serde_json::to_string(&told) {
            self.feed.tell(&format!("\"hierarchy\":{text}"));
        }
        let times = if self.e.faults && self.rng.random::<f64>() < 0.3 { 2 } else { 1 };
        for _ in 0..times {
            for to in 0..self.uppers.len() {
                // Lost now and then: it is told again until it is in force.
                if self.e.faults && self.rng.random::<f64>() < 0.2 {
                    continue;
                }
                let most = if self.e.faults { 700 } else { 100 };
                let at = Instant::now() + Duration::from_millis(self.rng.random_range(0..most));
                self.late.push(Late { at, to, number, version: version.clone() });
            }
        }
    }

    fn acts(&mut self) -> Result<(), Failed> {
        loop {
            let acts = self.driver.take_actions();
            if acts.is_empty() {
                return Ok(());
            }
            for act in acts {
                if self.e.faults && self.driver.progress().is_some() && self.rng.random::<f64>() < 0.04 {
                    self.restart()?;
                    break;
                }
                match act {
                    RolloutAction::Persist(record) => write_at_last(&mut self.log, &record)?,
                    RolloutAction::Log(line) => self.notes.push(line),
                    RolloutAction::Publish { number, version } => {
                        self.common.count(|s| s.version = number);
                        self.tell(number, &version);
                    }
                }
            }
        }
    }

    /// The driver is killed where it stands, and begins anew from its log.
    fn restart(&mut self) -> Result<(), Failed> {
        self.kills += 1;
        let (file, folder) = (self.file.clone(), tempfile::tempdir().map_err(io_error("folder"))?);
        // The old one lets go of its file first.
        let spare = ControllerLog::open(&folder.path().join("spare"))?.0;
        drop(std::mem::replace(&mut self.log, spare));
        let (log, records) = ControllerLog::open(&file)?;
        self.log = log;
        self.driver = Rollout::recover(&records, self.parties.clone(), Self::now())?;
        Ok(())
    }

    fn hear(&mut self, input: RolloutInput) -> Result<(), Failed> {
        // A refusal stands in the notes; the experiment goes on.
        if let Err(no) = self.driver.handle(input, Self::now()) {
            self.notes.push(format!("refused: {no}"));
        }
        self.acts()
    }

    fn step(&mut self, heard: &Receiver<Said>) -> Result<(), Failed> {
        let now = Instant::now();
        let (due, later): (Vec<Late>, Vec<Late>) =
            std::mem::take(&mut self.late).into_iter().partition(|l| l.at <= now);
        self.late = later;
        for Late { to, number, version, .. } in due {
            let (number, digest) = self.uppers[to].offer(number, &version);
            let party = self.uppers[to].name.as_str().into();
            self.hear(RolloutInput::VersionApplied { participant: party, number, digest })?;
        }
        self.purges.retain(|(at, node, object, made)| {
            if *at <= now {
                node.purge(*object, *made);
            }
            *at > now
        });
        for said in heard.try_iter() {
            let digest = u64::from_str_radix(&said.digest, 16).unwrap_or(0);
            self.hear(RolloutInput::VersionApplied {
                participant: said.party.as_str().into(),
                number: said.number,
                digest,
            })?;
        }
        if now >= self.again {
            self.again = now + Duration::from_millis(500);
            if !self.driver.missing_participants().is_empty() {
                let (number, version) =
                    (self.driver.published().number, self.driver.published().version.clone());
                self.tell(number, &version);
            }
            let origin = lock(&self.common.seconds).iter().rev().nth(1).map_or(0, |s| s.origin);
            let (down, told) = (self.uppers.iter().filter(|u| u.is_down()), self.driver.published().version);
            let down: Vec<NodeId> = down.filter_map(|u| told.node_id(&u.name)).collect();
            self.hear(RolloutInput::HealthReport { origin_load: origin as f64, down_nodes: down })?;
        }
        // An upper cache dies in the middle of a change now and then, for a second.
        if self.e.faults && self.driver.progress().is_some() && self.rng.random::<f64>() < 0.000_5 {
            let n = self.rng.random_range(0..self.uppers.len());
            self.uppers[n].fails(1_000);
            self.notes.push(format!("fault: {} fails for a second", self.uppers[n].name));
        }
        let sablecross_hierarchy::NumberedVersion { number, version: held } = self.driver.committed();
        if number != self.left || self.driver.published().number != number {
            let over = unix_ms() + BUDGET_MS + 100 + STRAY_GRACE;
            let told = self.driver.published().version;
            for upper in &self.uppers {
                let here = [held, told].iter().any(|h| h.node_id(&upper.name).is_some());
                upper.leaves((!here).then_some(over));
            }
            self.left = number;
        }
        if self.driver.next_wakeup().is_some_and(|w| w <= Self::now()) {
            self.hear(RolloutInput::Tick)?;
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
) -> Result<Report, Failed> {
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let common = Arc::new(Common::begun(Instant::now()));
    let mut shape = Shape { e, rng: Pcg32::seed_from_u64(e.seed) };
    let first = shape.first();

    let mut nodes = BTreeMap::new();
    for (id, m) in first.iter() {
        let role = if id == 0 {
            Role::Origin
        } else if id <= e.uppers as NodeId {
            Role::Upper
        } else {
            Role::Edge
        };
        let started = Node::start(&m.name, role, e.kept, e.ways, &common).map_err(io_error("a stand-in"))?;
        let mut addresses = common.addresses.write().unwrap_or_else(|e| e.into_inner());
        addresses.insert(m.name.to_string(), started.1);
        nodes.insert(id, started);
    }
    let (to_control, heard) = channel();
    let feed = Feed::start(&common, to_control).map_err(io_error("the feed"))?;
    let endpoints: Vec<_> =
        nodes.values().map(|(n, at)| endpoint(&n.name, *at, n.role.kind(), "ready", 0)).collect();
    feed.tell(&members(&endpoints, true));
    let told = serde_json::to_string(&HierarchySpec::from_hierarchy(1, &first)).unwrap_or_default();
    feed.tell(&format!("\"hierarchy\":{told}"));

    let mut fleet = Vec::new();
    let mut addresses = Vec::new();
    let mut ports = Ports::new();
    let like = Like { cold_from: 0.25, warm_us: WARM_AFTER / 1_000, falls_at: 2.0, stream_kb_per_s: 9000.0 };
    for number in 0..e.directors {
        let spare = ports.next().map_err(io_error("a port"))?;
        let (config, log) =
            (folder.join(format!("director-{number}.json")), folder.join(format!("director-{number}.log")));
        let _ = std::fs::remove_file(&log);
        let text = configuration(number, e.directors, e.seed, spare, (feed.address, &feed.known()), &like)
            .to_string();
        std::fs::write(&config, text).map_err(io_error(config.display().to_string()))?;
        fleet.push(spawn_director(director, &config, &log, None)?);
        serving(&format!("director-{number}"), spare, &log, Instant::now(), Duration::from_secs(10))?;
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
    let mut control = Control {
        e,
        rng: Pcg32::seed_from_u64(e.seed + 1),
        driver: Rollout::new(1, first.clone(), parties.clone())?,
        log: ControllerLog::open(&file)?.0,
        file,
        feed,
        uppers,
        parties,
        late: Vec::new(),
        common: Arc::clone(&common),
        kills: 0,
        notes: Vec::new(),
        again: Instant::now(),
        purges: Vec::new(),
        left: 1,
    };
    control.acts()?;

    let purges = Purges::default();
    let begun = common.begun.elapsed().as_secs();
    let clients = e.directors * CLIENTS_A_DIRECTOR;
    let every = Duration::from_secs_f64(clients as f64 / e.rate as f64);
    let (done, seen) = channel::<Seen>();
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
        spawn(move || drop(done.send(client.ask_on())));
    }
    drop(done);

    let (start, mut said, mut purged) = (Instant::now(), 0, 0u64);
    let (mut asked, mut next_change, mut second) = (0, start + Duration::from_secs(e.warm_up), false);
    while start.elapsed() < Duration::from_secs(e.seconds) {
        std::thread::sleep(Duration::from_millis(10));
        control.step(&heard)?;
        let second_due = second && control.driver.progress().is_some();
        let idle = control.driver.progress().is_none();
        if asked < e.rewirings && Instant::now() >= next_change && (idle || second_due) {
            second = false; // The driver numbers nodes anew when it begins anew; here they keep their first numbers.
            let told = HierarchySpec::from_hierarchy(1, control.driver.published().version)
                .to_hierarchy(Some(&first));
            let from = told.map_or_else(|_| first.clone(), |(_, h)| h);
            let cold = |n: NodeId| nodes.get(&n).map_or(0, |(node, _)| node.begin_cold() * 1_000_000);
            if let Some(aim) = shape.other(&from, cold) {
                let fresh: Vec<_> = aim
                    .iter()
                    .filter(|(id, m)| m.started_at > 0 && from.get(*id).is_none())
                    .filter_map(|(id, m)| {
                        nodes.get(&id).map(|(n, at)| {
                            endpoint(&n.name, *at, n.role.kind(), "ready", m.started_at / 1_000_000)
                        })
                    })
                    .collect();
                if !fresh.is_empty() {
                    control.feed.tell(&members(&fresh, false));
                }
                asked += 1;
                if e.plan {
                    control.hear(RolloutInput::Propose { target: aim })?;
                    // Another follows closely now and then.
                    second = e.faults && idle && shape.rng.random::<f64>() < 0.3;
                    let pause = if second { 50 } else { 300 };
                    next_change = Instant::now() + Duration::from_millis(pause);
                } else {
                    control.jump(aim)?;
                    next_change = Instant::now() + Duration::from_secs(3);
                }
            }
        }
        if e.purges > 0 && start.elapsed().as_millis() as u64 * e.purges / 1_000 > purged {
            purged += 1;
            let (object, at) = (shape.rng.random_range(0..e.objects.min(50)), unix_ms());
            control.feed.tell(&format!("\"purge\":{{\"key\":\"{object:016x}\",\"at\":{at}}}"));
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
    let endings = control.log_endings();
    let missing = clients - all.len();
    let window = begun + e.warm_up..begun + e.seconds;
    Ok(Report::of(e, seconds, all, missing, window, (endings, control.kills, asked), control.notes))
}

impl Control<'_> {
    /// All at once, without a plan: for comparison.
    fn jump(&mut self, aim: Hierarchy) -> Result<(), Failed> {
        let number = self.driver.published().number + 1;
        self.common.count(|s| s.version = number);
        self.tell(number, &aim);
        // The driver begins anew with it, so that what comes next starts from there.
        self.log.append(&RolloutRecord::Checkpoint {
            number,
            next_change: 1,
            version: HierarchySpec::from_hierarchy(number, &aim),
        })?;
        self.driver = Rollout::new(number, aim, self.parties.clone())?;
        self.driver.take_actions();
        Ok(())
    }

    /// How changes ended, by the lines of the log.
    fn log_endings(&self) -> BTreeMap<String, u64> {
        let mut endings = BTreeMap::new();
        for line in self.notes.iter().filter(|l| l.contains(" ended how=")) {
            let how = line.split("how=").nth(1).and_then(|h| h.split(' ').next()).unwrap_or_default();
            *endings.entry(how.to_owned()).or_insert(0) += 1;
        }
        endings
    }
}

/// How long the driver waits for a disk that can't be written, and how often it tries.
const DISK_PATIENCE: Duration = Duration::from_secs(10);
const DISK_PAUSE: Duration = Duration::from_millis(100);

/// Keeps an entry, for which a disk that is full or fails for a while is waited for: nothing may follow before.
fn write_at_last(log: &mut ControllerLog, record: &RolloutRecord) -> Result<(), LogError> {
    let start = Instant::now();
    loop {
        match log.append(record) {
            Err(LogError::Write(_) | LogError::Open { .. }) if start.elapsed() < DISK_PATIENCE => {
                std::thread::sleep(DISK_PAUSE);
            }
            done => return done,
        }
    }
}
