//! A trial from start to end.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use sablecross_coordination::messages::ASSIGNMENT_ROLE;
use sablecross_director::coordination::settings::HIERARCHY_ROLE;
use serde_json::Value;

use super::coordination_watch::{self, CoordinationReport, HolderFault};
use super::link_proxy::{HeldDirections, LinkProxies, Pair};
use super::load::{Clients, Workload};
use super::node::{COLLAPSE_MULTIPLE, CutDirection, Node, SLOW_START_INITIAL_SHARE, SLOW_START_WINDOW, Tier};
use super::report::{self, FaultWindow, Report};
use super::settings::{CoordinationTrial, Fault, FaultKind, Trial};
use crate::client_load::BUDGET_MS;
use crate::director_process::{
    NodeModel, PortAllocator, director_config, endpoint_json, members_event, spawn_director,
    wait_until_serving,
};
use crate::discovery_stub::DiscoveryStub;
use crate::process::{ChildProcess, TrialError, io_error};
use crate::schedule::{sample, take_due};
use crate::trial_state::TrialState;

/// Copies of the feed, each told at its own time.
const DISCOVERY_COPIES: usize = 3;
/// The list tells of a crash so much later.
const CRASH_NOTICE_SECONDS: f64 = 0.7;
const GRACE: f64 = 2.0;

/// A director, its process and its clients.
struct Director {
    config: PathBuf,
    log: PathBuf,
    /// The settings of its duties.
    duty: Option<PathBuf>,
    at: SocketAddr,
    process: ChildProcess,
    clients: Option<Arc<Clients>>,
    feed: usize,
    /// Killed by the trial, and not begun anew yet.
    killed: bool,
}

impl Director {
    fn start(&mut self, program: &dyn Fn() -> Command) -> Result<(), TrialError> {
        self.process = spawn_director(program, &self.config, &self.log, self.duty.as_deref())?;
        self.killed = false;
        Ok(())
    }

    fn excuse(&self, from: f64, to: f64) {
        if let Some(clients) = &self.clients {
            clients.excuse(from, to);
        }
    }
}

/// What is to be done at its time.
enum ScheduledAction {
    Begin(usize),
    End(usize),
    /// The list says of a crashed node that it has gone.
    Told(Vec<usize>),
    /// An event for one copy of the feed.
    Feed(usize, String),
    /// Another shape of the hierarchy is wished for.
    Wish(usize),
}

/// One that is being carried out.
struct ActiveFault {
    fault: Fault,
    nodes: Vec<usize>,
    directors: Vec<usize>,
    pairs: Vec<Pair>,
}

/// Duties of a trial: the links between members and voters, and what was done to the dealer.
struct CoordinationLinks {
    duties: CoordinationTrial,
    voters: Vec<SocketAddr>,
    ways: LinkProxies,
    blows: Vec<HolderFault>,
    /// Requests a second that a cache bears.
    bears: f64,
}

impl CoordinationLinks {
    fn start(
        d: &CoordinationTrial,
        bears: f64,
        addresses: &[SocketAddr],
        over: &Arc<AtomicBool>,
    ) -> Result<CoordinationLinks, TrialError> {
        let voters = addresses[..d.voters].to_vec();
        let ways =
            LinkProxies::start(addresses.len(), &voters, over).map_err(io_error("the links to voters"))?;
        Ok(CoordinationLinks { duties: d.clone(), voters, ways, blows: Vec::new(), bears })
    }

    /// The settings of one member: its own links to the voters.
    fn settings(&self, member: usize) -> String {
        let d = &self.duties;
        let mut text = format!(
            "(duty (lease-ms . {}) (round-ms . {}) (apart-ms . {}) (beat-ms . {}) (probe-ms . {}){})\n",
            d.lease_ms,
            d.lease_ms / 5,
            (d.lease_ms / 20).max(1),
            d.beat_ms,
            d.probe_ms,
            if d.warming {
                format!(" (warming . #t) (warm-bears . {:.1})", self.bears)
            } else {
                String::new()
            }
        );
        for (place, own) in self.voters.iter().enumerate() {
            // A voter speaks with itself without a link.
            let at = self.ways.address(member, place).unwrap_or(*own);
            text += &format!("(voter (number . {place}) (address . \"{at}\"))\n");
        }
        text
    }
}

/// Rounds of faults that the seed draws, after those of the file.
fn random_faults(t: &Trial, rng: &mut Pcg32) -> Vec<Fault> {
    let Some(d) = &t.duties else { return Vec::new() };
    let first = t.faults.iter().map(|f| f.at + f.lasts).fold(t.warm_up as f64, f64::max);
    let mut all = Vec::new();
    for round in 0..d.rounds {
        let from = first + round as f64 * d.round_s;
        for _ in 0..rng.random_range(1..=3) {
            let kind = FaultKind::DRAWN[rng.random_range(0..FaultKind::DRAWN.len())];
            let at = from + 0.2 * d.round_s * rng.random::<f64>();
            let lasts = d.round_s * (0.1 + 0.4 * rng.random::<f64>());
            let of = 0.1 + 0.5 * rng.random::<f64>();
            if at + lasts < t.seconds as f64 {
                all.push(Fault { kind, at, lasts, of, by: 1.0 });
            }
        }
    }
    all
}

/// One of several shapes of the hierarchy: all parents, or all but one.
fn hierarchy_spec(t: &Trial, n: usize) -> String {
    let capacity = 100.0 * t.rate;
    let mut text = format!(
        "(hierarchy (version . 1) (ceiling . {capacity}) (hold-ms . 300) (settle-ms . 200) (give-up-ms . 60000) (warm-after-ms . 500))\n\
         (node (name . \"origin-0\") (tier . 0) (capacity . {capacity}))\n"
    );
    let left_out = (n % 2 == 1 && t.parents > 1).then(|| n / 2 % t.parents);
    let parents: Vec<usize> = (0..t.parents).filter(|p| Some(*p) != left_out).collect();
    for p in &parents {
        text += &format!(
            "(node (name . \"parent-{p}\") (tier . 1) (sources \"origin-0\") (capacity . {capacity}))\n"
        );
    }
    let sources: Vec<String> = parents.iter().map(|p| format!("\"parent-{p}\"")).collect();
    for c in 0..t.caches {
        let demand = t.rate / t.caches as f64;
        text += &format!(
            "(node (name . \"cache-{c}\") (tier . 2) (sources {}) (capacity . {capacity}) (demand . {demand}) (hit . {}))\n",
            sources.join(" "),
            t.hits
        );
    }
    text
}

fn endpoint_of(node: &Node, status: &str, since: u64) -> Value {
    let kind = match node.tier {
        Tier::Cache => "small",
        Tier::Parent => "parent",
        Tier::Origin => "origin",
    };
    endpoint_json(&node.name, node.address, kind, status, since)
}

fn config_text(t: &Trial, number: usize, listen: SocketAddr, feed: &DiscoveryStub) -> String {
    let warm_us = (SLOW_START_WINDOW * 1e6) as u64;
    let like = NodeModel {
        slow_start_initial_share: SLOW_START_INITIAL_SHARE,
        slow_start_us: warm_us,
        collapse_multiple: COLLAPSE_MULTIPLE,
        stream_kb_per_s: 400.0,
    };
    director_config(number, t.directors, t.seed, listen, (feed.address, &feed.events()), &like).to_string()
}

/// Runs it. `program` starts a real director, whose log goes to the folder; `tell` hears of the progress.
pub fn run(
    t: &Trial,
    program: &dyn Fn() -> Command,
    folder: &Path,
    mut tell: impl FnMut(&str),
) -> Result<Report, TrialError> {
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let mut rng = Pcg32::seed_from_u64(t.seed);
    let over = Arc::new(AtomicBool::new(false));
    // Nodes take times from here; clients come later.
    let begun = Instant::now();
    let mut nodes: Vec<Arc<Node>> = Vec::new();
    let mut listeners = Vec::new();
    let can = |tier: Tier| match tier {
        Tier::Cache => t.rate / t.caches as f64 / t.load,
        Tier::Parent => t.rate * (1.0 - t.hits) / t.parents as f64 / t.load,
        Tier::Origin => 10.0 * t.rate,
    };
    let kinds = [(Tier::Cache, "cache", t.caches, t.kept), (Tier::Parent, "parent", t.parents, 4 * t.kept)];
    for (tier, word, many, kept) in kinds.into_iter().chain([(Tier::Origin, "origin", 1, 1)]) {
        for n in 0..many {
            let speed = 1.0 + t.speeds * (2.0 * rng.random::<f64>() - 1.0);
            let name = format!("{word}-{n}");
            let gated = t.duties.as_ref().is_none_or(|d| !d.no_gate);
            let made = Node::start(name, tier, can(tier) * speed, kept, gated, begun, &over);
            let (node, listener) = made.map_err(io_error("a stand-in"))?;
            nodes.push(node);
            listeners.push(listener);
        }
    }
    let others = Arc::new(nodes.iter().map(|n| (n.name.clone(), Arc::clone(n))).collect::<HashMap<_, _>>());
    nodes.iter().zip(listeners).for_each(|(node, listener)| node.serve(listener, &others));

    let common = Arc::new(TrialState::new(begun));
    let endpoints: Vec<Value> = nodes.iter().map(|n| endpoint_of(n, "ready", 0)).collect();
    let mut feeds = Vec::new();
    for _ in 0..DISCOVERY_COPIES {
        let feed = DiscoveryStub::start(&common, channel().0).map_err(io_error("the feed"))?;
        feed.publish(&members_event(&endpoints, true));
        feeds.push(feed);
    }

    let mut fleet = Vec::new();
    let mut ports = PortAllocator::new();
    let mut addresses = Vec::new();
    while addresses.len() < t.directors {
        let at = ports.allocate().map_err(io_error("a port"))?;
        if !addresses.contains(&at) {
            addresses.push(at);
        }
    }
    let mut shared = t
        .duties
        .as_ref()
        .map(|d| CoordinationLinks::start(d, can(Tier::Cache), &addresses, &over))
        .transpose()?;
    for (number, at) in addresses.iter().copied().enumerate() {
        let (config, log) =
            (folder.join(format!("director-{number}.json")), folder.join(format!("director-{number}.log")));
        let _ = std::fs::remove_file(&log);
        let feed = number % DISCOVERY_COPIES;
        let text = config_text(t, number, at, &feeds[feed]);
        std::fs::write(&config, text).map_err(io_error(config.display().to_string()))?;
        let duty = shared.as_ref().map(|s| (folder.join(format!("duty-{number}.scm")), s.settings(number)));
        if let Some((file, text)) = &duty {
            std::fs::write(file, text).map_err(io_error(file.display().to_string()))?;
        }
        let duty = duty.map(|(file, _)| file);
        let process = spawn_director(program, &config, &log, duty.as_deref())?;
        fleet.push(Director { config, log, duty, at, process, clients: None, feed, killed: false });
    }
    for (number, director) in fleet.iter().enumerate() {
        wait_until_serving(
            &format!("director-{number}"),
            director.at,
            &director.log,
            begun,
            Duration::from_secs(60),
        )?;
    }
    tell(&format!("{} directors serve after {:.1} s", t.directors, begun.elapsed().as_secs_f64()));

    let weights: Vec<f64> = (0..t.directors).map(|n| if n % 10 == 0 { t.uneven } else { 1.0 }).collect();
    let all: f64 = weights.iter().sum();
    // Clients and the report count from here.
    let zero = Instant::now();
    let shift = (zero - begun).as_secs_f64();
    for (number, director) in fleet.iter_mut().enumerate() {
        let rate = t.rate * weights[number] / all;
        let wants = Workload { objects: t.objects, hot: t.hot, rate, seed: t.seed };
        director.clients = Some(Clients::start(number, director.at, wants, zero, &over));
    }

    let zero_ms = crate::clock::unix_ms();
    let used: f64 = fleet.iter().map(|d| d.process.cpu_seconds()).sum();
    let faults: Vec<Fault> = t.faults.iter().cloned().chain(random_faults(t, &mut rng)).collect();
    let mut acts: Vec<(f64, ScheduledAction)> = Vec::new();
    for (n, fault) in faults.iter().enumerate() {
        acts.push((fault.at, ScheduledAction::Begin(n)));
        acts.push((fault.at + fault.lasts, ScheduledAction::End(n)));
    }
    if let Some(every) = t.duties.as_ref().map(|d| d.change_s).filter(|s| *s > 0.0) {
        let wishes = (0..).map(|n| (n, 2.0 + n as f64 * every));
        acts.extend(
            wishes
                .take_while(|(_, at)| at + every <= t.seconds as f64)
                .map(|(n, at)| (at, ScheduledAction::Wish(n))),
        );
    }
    let mut wished = 0;
    let mut running: HashMap<usize, ActiveFault> = HashMap::new();
    let mut struck = Vec::new();
    let (mut said, mut ended) = (0, 0);
    // How late this program itself was woken: where the machine is too busy, what is lost tells nothing of directors.
    let (mut woken, mut late) = (Instant::now(), 0.0f64);
    while zero.elapsed() < Duration::from_secs(t.seconds) {
        std::thread::sleep(Duration::from_millis(5));
        late = late.max(woken.elapsed().as_secs_f64() - 0.005);
        let now = zero.elapsed().as_secs_f64();
        while let Some(act) = take_due(&mut acts, now) {
            match act {
                ScheduledAction::Begin(n) => {
                    let one = begin_fault(t, &faults[n], &mut rng, &nodes, &mut fleet, shared.as_mut(), now)?;
                    if one.fault.kind == FaultKind::CrashCaches {
                        acts.push((now + CRASH_NOTICE_SECONDS, ScheduledAction::Told(one.nodes.clone())));
                    }
                    let names: Vec<String> = one.nodes.iter().map(|n| nodes[*n].name.clone()).collect();
                    tell(&format!(
                        "{now:>6.1} s  {:?} {} of directors {}",
                        one.fault.kind,
                        names.join(" "),
                        one.directors.len()
                    ));
                    let what = format!("{:?}", one.fault.kind);
                    let to = one.fault.at + one.fault.lasts;
                    struck.push(FaultWindow { what, nodes: names, from: one.fault.at, to });
                    running.insert(n, one);
                }
                ScheduledAction::End(n) => {
                    let Some(one) = running.remove(&n) else { continue };
                    let lines = end_fault(&one, &nodes, &mut fleet, program, &feeds, t, shared.as_ref())?;
                    acts.extend(delayed_list_events(&lines, t, now));
                }
                ScheduledAction::Told(which) => {
                    let lines: Vec<Value> =
                        which.iter().map(|n| endpoint_of(&nodes[*n], "gone", 0)).collect();
                    which.iter().for_each(|n| nodes[*n].leave(GRACE + t.late_lists + 0.5));
                    acts.extend(delayed_list_events(&lines, t, now));
                }
                ScheduledAction::Feed(feed, event) => {
                    feeds[feed].publish(&event);
                }
                ScheduledAction::Wish(n) => {
                    let Some(s) = &shared else { continue };
                    match coordination_watch::find_holder(&s.voters, HIERARCHY_ROLE) {
                        Some(driver)
                            if coordination_watch::propose_hierarchy(
                                s.voters[driver],
                                &hierarchy_spec(t, n),
                            ) =>
                        {
                            wished += 1
                        }
                        // Nobody drives in this moment: the wish is made a little later.
                        _ => acts.push((now + 0.5, ScheduledAction::Wish(n))),
                    }
                }
            }
        }
        let second = now as u64;
        if second > said {
            said = second;
            let alive = fleet.iter_mut().filter(|d| !d.killed);
            ended = alive.filter_map(|d| d.process.has_exited().then_some(())).count();
            tell(&format!("{second:>4} of {} s", t.seconds));
        }
        woken = Instant::now();
    }
    let seconds = zero.elapsed().as_secs_f64();
    let cpu_used = fleet.iter().map(|d| d.process.cpu_seconds()).sum::<f64>() - used;
    let asked = shared.as_ref().map_or(&[][..], |s| &s.voters[..]);
    let views: Vec<_> = asked.iter().filter_map(|at| coordination_watch::member_status(*at)).collect();
    over.store(true, Ordering::Relaxed);
    common.finish();
    std::thread::sleep(Duration::from_millis(BUDGET_MS + 600));
    let tallies: Vec<_> = fleet.iter().filter_map(|d| d.clients.as_ref()).map(|c| c.tally()).collect();
    let skip = (shift * 10.0).round() as usize;
    let mut probes = BTreeMap::new();
    let counted = nodes.iter().map(|n| {
        let mut counted = n.counts();
        counted.probes.iter_mut().for_each(|p| p.at -= shift);
        counted.probes.retain(|p| p.at <= seconds);
        probes.insert(n.name.clone(), std::mem::take(&mut counted.probes));
        counted.came.drain(..skip.min(counted.came.len()));
        counted.since = counted.since.map(|s| s - shift);
        counted.senders = counted.senders.iter().map(|(s, d)| (s.saturating_sub(shift as u32), *d)).collect();
        report::Node { name: n.name.clone(), tier: n.tier, capacity: n.capacity, counted }
    });
    let counted: Vec<report::Node> = counted.collect();
    let watched = shared.as_ref().map(|s| {
        let excused: Vec<_> =
            struck.iter().flat_map(|s| s.nodes.iter().map(|n| (n.clone(), s.from, s.to))).collect();
        let logs: Vec<&Path> = fleet.iter().map(|d| d.log.as_path()).collect();
        let voters = logs.iter().enumerate().take(s.voters.len());
        let begun: Vec<_> =
            voters.flat_map(|(n, log)| coordination_watch::lease_starts(n, log, zero_ms)).collect();
        let warm_up = t.warm_up as f64;
        let mut w = CoordinationReport::of(&s.duties, seconds, warm_up, &probes, &excused, &s.blows, &begun);
        w.bytes = s.ways.bytes(|_| true).iter().sum::<u64>() as f64 / seconds / t.directors as f64;
        w.cpu = cpu_used / seconds / t.directors as f64;
        w.wished = wished;
        w.refused_by_voters = views.iter().map(|v| v.rejected_here).sum();
        w.passed_over = views.iter().map(|v| v.stale_assignments_ignored).sum();
        for n in &counted {
            (w.warmed, w.warm_refused) =
                (w.warmed + n.counted.warmed, w.warm_refused + n.counted.warm_refused);
            let Some(since) = n.counted.since else { continue };
            for (at, held) in &n.counted.fresh {
                let span = ((at - shift - since) / 5.0) as usize;
                if let Some((hits, all)) = w.fresh.get_mut(span) {
                    (*hits, *all) = (*hits + u64::from(*held), *all + 1);
                }
            }
        }
        w.versions(&logs);
        w
    });
    Ok(Report { watched, ..Report::of(t, &counted, &tallies, &struck, (ended, late)) })
}

/// A change of the list: to the first copy of the feed at once, to the others later.
fn delayed_list_events(lines: &[Value], t: &Trial, now: f64) -> Vec<(f64, ScheduledAction)> {
    if lines.is_empty() {
        return Vec::new();
    }
    let at = |feed: usize| now + t.late_lists * feed as f64 / (DISCOVERY_COPIES - 1) as f64;
    (0..DISCOVERY_COPIES)
        .map(|feed| (at(feed), ScheduledAction::Feed(feed, members_event(lines, false))))
        .collect()
}

fn begin_fault(
    t: &Trial,
    fault: &Fault,
    rng: &mut Pcg32,
    nodes: &[Arc<Node>],
    directors: &mut [Director],
    mut shared: Option<&mut CoordinationLinks>,
    now: f64,
) -> Result<ActiveFault, TrialError> {
    let mut one =
        ActiveFault { fault: fault.clone(), nodes: Vec::new(), directors: Vec::new(), pairs: Vec::new() };
    let voters = shared.as_ref().map_or(1, |s| s.voters.len());
    let parents = |which: Vec<usize>| which.into_iter().map(|n| n + t.caches).collect::<Vec<_>>();
    match fault.kind {
        FaultKind::StopCaches | FaultKind::SlowCaches | FaultKind::CrashCaches | FaultKind::Reset => {
            one.nodes = sample(rng, t.caches, fault.of);
        }
        FaultKind::StopParents | FaultKind::SlowParents => {
            one.nodes = parents(sample(rng, t.parents, fault.of))
        }
        FaultKind::CutTo | FaultKind::CutFrom => {
            one.nodes = sample(rng, t.caches, 0.0);
            one.directors = sample(rng, t.directors, fault.of);
        }
        FaultKind::StopDirectors | FaultKind::KillDirectors | FaultKind::HoldProbes => {
            one.directors = sample(rng, t.directors, fault.of);
        }
        FaultKind::StopVoters | FaultKind::KillVoters => one.directors = sample(rng, voters, fault.of),
        FaultKind::StopOwner | FaultKind::KillOwner | FaultKind::StopDriver | FaultKind::KillDriver => {
            let duty = match fault.kind {
                FaultKind::StopOwner | FaultKind::KillOwner => ASSIGNMENT_ROLE,
                _ => HIERARCHY_ROLE,
            };
            if let Some(s) = shared.as_mut()
                && let Some(member) = coordination_watch::find_holder(&s.voters, duty)
            {
                one.directors = vec![member];
                s.blows.push(HolderFault { at: now, member, duty });
            }
        }
        FaultKind::HoldTo | FaultKind::HoldFrom => {
            let voter = rng.random_range(0..voters);
            one.pairs = sample(rng, t.directors, fault.of).into_iter().map(|m| (m, voter)).collect();
        }
        FaultKind::ResetWays => {
            let members = sample(rng, t.directors, fault.of);
            one.pairs = members.into_iter().flat_map(|m| (0..voters).map(move |v| (m, v))).collect();
        }
        FaultKind::Part => {
            let few = sample(rng, voters, (voters.saturating_sub(1) / 2) as f64 / voters as f64);
            let apart = |m: usize| if m < voters { few.contains(&m) } else { m.is_multiple_of(3) };
            let all = (0..t.directors).flat_map(|m| (0..voters).map(move |v| (m, v)));
            one.pairs = all.filter(|(m, v)| apart(*m) != apart(*v)).collect();
        }
    }
    if let Some(s) = shared {
        let held = match fault.kind {
            FaultKind::HoldTo => HeldDirections { to: true, from: false },
            FaultKind::HoldFrom => HeldDirections { to: false, from: true },
            FaultKind::Part => HeldDirections { to: true, from: true },
            _ => HeldDirections::default(),
        };
        for pair in &one.pairs {
            match fault.kind {
                FaultKind::ResetWays => s.ways.reset(*pair),
                _ => s.ways.hold(*pair, held),
            }
        }
    }
    if fault.kind == FaultKind::HoldProbes {
        nodes.iter().for_each(|n| n.delay_health_checks(&one.directors, fault.lasts));
    }
    for node in one.nodes.iter().map(|n| &nodes[*n]) {
        match fault.kind {
            FaultKind::StopCaches | FaultKind::StopParents => node.stop(fault.lasts),
            FaultKind::SlowCaches | FaultKind::SlowParents => node.slow_down(fault.by),
            FaultKind::CrashCaches => node.crash(),
            FaultKind::Reset => node.reset_connections(),
            FaultKind::CutTo => node.cut_off(one.directors.iter().copied(), Some(CutDirection::To)),
            FaultKind::CutFrom => node.cut_off(one.directors.iter().copied(), Some(CutDirection::From)),
            _ => {}
        }
    }
    for d in &one.directors {
        let director = &mut directors[*d];
        match fault.kind {
            FaultKind::StopDirectors
            | FaultKind::StopVoters
            | FaultKind::StopOwner
            | FaultKind::StopDriver => {
                // What waited for it meanwhile may be late for a moment after it.
                director.excuse(now, fault.at + fault.lasts + 0.5);
                director.process.signal(Signal::STOP);
            }
            FaultKind::KillDirectors
            | FaultKind::KillVoters
            | FaultKind::KillOwner
            | FaultKind::KillDriver
                if !director.killed =>
            {
                director.excuse(now, fault.at + fault.lasts + 2.0);
                director.killed = true;
                director.process.kill().map_err(io_error("a director's end"))?;
            }
            _ => {}
        }
    }
    Ok(one)
}

/// Ends it; what the list says then.
fn end_fault(
    one: &ActiveFault,
    nodes: &[Arc<Node>],
    directors: &mut [Director],
    program: &dyn Fn() -> Command,
    feeds: &[DiscoveryStub],
    t: &Trial,
    shared: Option<&CoordinationLinks>,
) -> Result<Vec<Value>, TrialError> {
    let mut lines = Vec::new();
    if let Some(s) = shared {
        one.pairs.iter().for_each(|pair| s.ways.hold(*pair, HeldDirections::default()));
    }
    for node in one.nodes.iter().map(|n| &nodes[*n]) {
        match one.fault.kind {
            FaultKind::SlowCaches | FaultKind::SlowParents => node.slow_down(1.0),
            FaultKind::CutTo | FaultKind::CutFrom => node.cut_off(one.directors.iter().copied(), None),
            FaultKind::CrashCaches => {
                let since = node.restart_cold();
                lines.push(endpoint_of(node, "ready", since));
            }
            _ => {}
        }
    }
    for d in &one.directors {
        match one.fault.kind {
            FaultKind::StopDirectors
            | FaultKind::StopVoters
            | FaultKind::StopOwner
            | FaultKind::StopDriver => {
                directors[*d].process.signal(Signal::CONT);
            }
            FaultKind::KillDirectors
            | FaultKind::KillVoters
            | FaultKind::KillOwner
            | FaultKind::KillDriver
                if directors[*d].killed =>
            {
                let director = &mut directors[*d];
                let text = config_text(t, *d, director.at, &feeds[director.feed]);
                std::fs::write(&director.config, text).map_err(io_error("a configuration"))?;
                director.start(program)?;
            }
            _ => {}
        }
    }
    Ok(lines)
}
