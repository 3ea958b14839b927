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

use super::load::{Clients, Wants};
use super::node::{COLD_FROM, Cut, FALLS_AT, Node, Tier, WARM_AFTER};
use super::report::{self, Report, Struck};
use super::settings::{Duties, Fault, Kind, Trial};
use super::watch::{self, Blow, Watched};
use super::ways::{Held, Pair, Ways};
use crate::acts::{due, some};
use crate::directors::{Like, Ports, configuration, endpoint, members, serving, spawn_director};
use crate::feed::Feed;
use crate::load::BUDGET_MS;
use crate::node::Common;
use crate::process::{Failed, Process, io_error};

/// Copies of the feed, each told at its own time.
const FEEDS: usize = 3;
/// The list tells of a crash so much later.
const NOTICE: f64 = 0.7;
const GRACE: f64 = 2.0;

/// A director, its process and its clients.
struct Director {
    config: PathBuf,
    log: PathBuf,
    /// The settings of its duties.
    duty: Option<PathBuf>,
    at: SocketAddr,
    process: Process,
    clients: Option<Arc<Clients>>,
    feed: usize,
    /// Killed by the trial, and not begun anew yet.
    killed: bool,
}

impl Director {
    fn start(&mut self, program: &dyn Fn() -> Command) -> Result<(), Failed> {
        self.process = spawn_director(program, &self.config, &self.log, self.duty.as_deref())?;
        self.killed = false;
        Ok(())
    }

    fn struck(&self, from: f64, to: f64) {
        if let Some(clients) = &self.clients {
            clients.struck(from, to);
        }
    }
}

/// What is to be done at its time.
enum Act {
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
struct Running {
    fault: Fault,
    nodes: Vec<usize>,
    directors: Vec<usize>,
    pairs: Vec<Pair>,
}

/// Duties of a trial: the links between members and voters, and what was done to the dealer.
struct Shared {
    duties: Duties,
    voters: Vec<SocketAddr>,
    ways: Ways,
    blows: Vec<Blow>,
    /// Requests a second that a cache bears.
    bears: f64,
}

impl Shared {
    fn start(
        d: &Duties,
        bears: f64,
        addresses: &[SocketAddr],
        over: &Arc<AtomicBool>,
    ) -> Result<Shared, Failed> {
        let voters = addresses[..d.voters].to_vec();
        let ways = Ways::start(addresses.len(), &voters, over).map_err(io_error("the links to voters"))?;
        Ok(Shared { duties: d.clone(), voters, ways, blows: Vec::new(), bears })
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
fn rounds(t: &Trial, rng: &mut Pcg32) -> Vec<Fault> {
    let Some(d) = &t.duties else { return Vec::new() };
    let first = t.faults.iter().map(|f| f.at + f.lasts).fold(t.warm_up as f64, f64::max);
    let mut all = Vec::new();
    for round in 0..d.rounds {
        let from = first + round as f64 * d.round_s;
        for _ in 0..rng.random_range(1..=3) {
            let kind = Kind::DRAWN[rng.random_range(0..Kind::DRAWN.len())];
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
fn shape(t: &Trial, n: usize) -> String {
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

fn listed(node: &Node, status: &str, since: u64) -> Value {
    let kind = match node.tier {
        Tier::Cache => "small",
        Tier::Parent => "parent",
        Tier::Origin => "origin",
    };
    endpoint(&node.name, node.address, kind, status, since)
}

fn configured(t: &Trial, number: usize, listen: SocketAddr, feed: &Feed) -> String {
    let warm_us = (WARM_AFTER * 1e6) as u64;
    let like = Like { cold_from: COLD_FROM, warm_us, falls_at: FALLS_AT, stream_kb_per_s: 400.0 };
    configuration(number, t.directors, t.seed, listen, (feed.address, &feed.known()), &like).to_string()
}

/// Runs it. `program` starts a real director, whose log goes to the folder; `tell` hears of the progress.
pub fn run(
    t: &Trial,
    program: &dyn Fn() -> Command,
    folder: &Path,
    mut tell: impl FnMut(&str),
) -> Result<Report, Failed> {
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

    let common = Arc::new(Common::begun(begun));
    let endpoints: Vec<Value> = nodes.iter().map(|n| listed(n, "ready", 0)).collect();
    let mut feeds = Vec::new();
    for _ in 0..FEEDS {
        let feed = Feed::start(&common, channel().0).map_err(io_error("the feed"))?;
        feed.tell(&members(&endpoints, true));
        feeds.push(feed);
    }

    let mut fleet = Vec::new();
    let mut ports = Ports::new();
    let mut addresses = Vec::new();
    while addresses.len() < t.directors {
        let at = ports.next().map_err(io_error("a port"))?;
        if !addresses.contains(&at) {
            addresses.push(at);
        }
    }
    let mut shared =
        t.duties.as_ref().map(|d| Shared::start(d, can(Tier::Cache), &addresses, &over)).transpose()?;
    for (number, at) in addresses.iter().copied().enumerate() {
        let (config, log) =
            (folder.join(format!("director-{number}.json")), folder.join(format!("director-{number}.log")));
        let _ = std::fs::remove_file(&log);
        let feed = number % FEEDS;
        let text = configured(t, number, at, &feeds[feed]);
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
        serving(&format!("director-{number}"), director.at, &director.log, begun, Duration::from_secs(60))?;
    }
    tell(&format!("{} directors serve after {:.1} s", t.directors, begun.elapsed().as_secs_f64()));

    let weights: Vec<f64> = (0..t.directors).map(|n| if n % 10 == 0 { t.uneven } else { 1.0 }).collect();
    let all: f64 = weights.iter().sum();
    // Clients and the report count from here.
    let zero = Instant::now();
    let shift = (zero - begun).as_secs_f64();
    for (number, director) in fleet.iter_mut().enumerate() {
        let rate = t.rate * weights[number] / all;
        let wants = Wants { objects: t.objects, hot: t.hot, rate, seed: t.seed };
        director.clients = Some(Clients::start(number, director.at, wants, zero, &over));
    }

    let zero_ms = crate::node::unix_ms();
    let used: f64 = fleet.iter().map(|d| d.process.cpu()).sum();
    let faults: Vec<Fault> = t.faults.iter().cloned().chain(rounds(t, &mut rng)).collect();
    let mut acts: Vec<(f64, Act)> = Vec::new();
    for (n, fault) in faults.iter().enumerate() {
        acts.push((fault.at, Act::Begin(n)));
        acts.push((fault.at + fault.lasts, Act::End(n)));
    }
    if let Some(every) = t.duties.as_ref().map(|d| d.change_s).filter(|s| *s > 0.0) {
        let wishes = (0..).map(|n| (n, 2.0 + n as f64 * every));
        acts.extend(
            wishes.take_while(|(_, at)| at + every <= t.seconds as f64).map(|(n, at)| (at, Act::Wish(n))),
        );
    }
    let mut wished = 0;
    let mut running: HashMap<usize, Running> = HashMap::new();
    let mut struck = Vec::new();
    let (mut said, mut ended) = (0, 0);
    // How late this program itself was woken: where the machine is too busy, what is lost tells nothing of directors.
    let (mut woken, mut late) = (Instant::now(), 0.0f64);
    while zero.elapsed() < Duration::from_secs(t.seconds) {
        std::thread::sleep(Duration::from_millis(5));
        late = late.max(woken.elapsed().as_secs_f64() - 0.005);
        let now = zero.elapsed().as_secs_f64();
        while let Some(act) = due(&mut acts, now) {
            match act {
                Act::Begin(n) => {
                    let one = begin(t, &faults[n], &mut rng, &nodes, &mut fleet, shared.as_mut(), now)?;
                    if one.fault.kind == Kind::CrashCaches {
                        acts.push((now + NOTICE, Act::Told(one.nodes.clone())));
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
                    struck.push(Struck { what, nodes: names, from: one.fault.at, to });
                    running.insert(n, one);
                }
                Act::End(n) => {
                    let Some(one) = running.remove(&n) else { continue };
                    let lines = end(&one, &nodes, &mut fleet, program, &feeds, t, shared.as_ref())?;
                    acts.extend(told(&lines, t, now));
                }
                Act::Told(which) => {
                    let lines: Vec<Value> = which.iter().map(|n| listed(&nodes[*n], "gone", 0)).collect();
                    which.iter().for_each(|n| nodes[*n].goes(GRACE + t.late_lists + 0.5));
                    acts.extend(told(&lines, t, now));
                }
                Act::Feed(feed, event) => {
                    feeds[feed].tell(&event);
                }
                Act::Wish(n) => {
                    let Some(s) = &shared else { continue };
                    match watch::owner(&s.voters, HIERARCHY_ROLE) {
                        Some(driver) if watch::wish(s.voters[driver], &shape(t, n)) => wished += 1,
                        // Nobody drives in this moment: the wish is made a little later.
                        _ => acts.push((now + 0.5, Act::Wish(n))),
                    }
                }
            }
        }
        let second = now as u64;
        if second > said {
            said = second;
            let alive = fleet.iter_mut().filter(|d| !d.killed);
            ended = alive.filter_map(|d| d.process.ended().then_some(())).count();
            tell(&format!("{second:>4} of {} s", t.seconds));
        }
        woken = Instant::now();
    }
    let seconds = zero.elapsed().as_secs_f64();
    let cpu_used = fleet.iter().map(|d| d.process.cpu()).sum::<f64>() - used;
    let asked = shared.as_ref().map_or(&[][..], |s| &s.voters[..]);
    let views: Vec<_> = asked.iter().filter_map(|at| watch::shown(*at)).collect();
    over.store(true, Ordering::Relaxed);
    common.over.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(BUDGET_MS + 600));
    let tallies: Vec<_> = fleet.iter().filter_map(|d| d.clients.as_ref()).map(|c| c.tally()).collect();
    let skip = (shift * 10.0).round() as usize;
    let mut probes = BTreeMap::new();
    let counted = nodes.iter().map(|n| {
        let mut counted = n.counted();
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
        let begun: Vec<_> = voters.flat_map(|(n, log)| watch::begun(n, log, zero_ms)).collect();
        let warm_up = t.warm_up as f64;
        let mut w = Watched::of(&s.duties, seconds, warm_up, &probes, &excused, &s.blows, &begun);
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
fn told(lines: &[Value], t: &Trial, now: f64) -> Vec<(f64, Act)> {
    if lines.is_empty() {
        return Vec::new();
    }
    let at = |feed: usize| now + t.late_lists * feed as f64 / (FEEDS - 1) as f64;
    (0..FEEDS).map(|feed| (at(feed), Act::Feed(feed, members(lines, false)))).collect()
}

fn begin(
    t: &Trial,
    fault: &Fault,
    rng: &mut Pcg32,
    nodes: &[Arc<Node>],
    directors: &mut [Director],
    mut shared: Option<&mut Shared>,
    now: f64,
) -> Result<Running, Failed> {
    let mut one =
        Running { fault: fault.clone(), nodes: Vec::new(), directors: Vec::new(), pairs: Vec::new() };
    let voters = shared.as_ref().map_or(1, |s| s.voters.len());
    let parents = |which: Vec<usize>| which.into_iter().map(|n| n + t.caches).collect::<Vec<_>>();
    match fault.kind {
        Kind::StopCaches | Kind::SlowCaches | Kind::CrashCaches | Kind::Reset => {
            one.nodes = some(rng, t.caches, fault.of);
        }
        Kind::StopParents | Kind::SlowParents => one.nodes = parents(some(rng, t.parents, fault.of)),
        Kind::CutTo | Kind::CutFrom => {
            one.nodes = some(rng, t.caches, 0.0);
            one.directors = some(rng, t.directors, fault.of);
        }
        Kind::StopDirectors | Kind::KillDirectors | Kind::HoldProbes => {
            one.directors = some(rng, t.directors, fault.of);
        }
        Kind::StopVoters | Kind::KillVoters => one.directors = some(rng, voters, fault.of),
        Kind::StopOwner | Kind::KillOwner | Kind::StopDriver | Kind::KillDriver => {
            let duty = match fault.kind {
                Kind::StopOwner | Kind::KillOwner => ASSIGNMENT_ROLE,
                _ => HIERARCHY_ROLE,
            };
            if let Some(s) = shared.as_mut()
                && let Some(member) = watch::owner(&s.voters, duty)
            {
                one.directors = vec![member];
                s.blows.push(Blow { at: now, member, duty });
            }
        }
        Kind::HoldTo | Kind::HoldFrom => {
            let voter = rng.random_range(0..voters);
            one.pairs = some(rng, t.directors, fault.of).into_iter().map(|m| (m, voter)).collect();
        }
        Kind::ResetWays => {
            let members = some(rng, t.directors, fault.of);
            one.pairs = members.into_iter().flat_map(|m| (0..voters).map(move |v| (m, v))).collect();
        }
        Kind::Part => {
            let few = some(rng, voters, (voters.saturating_sub(1) / 2) as f64 / voters as f64);
            let apart = |m: usize| if m < voters { few.contains(&m) } else { m.is_multiple_of(3) };
            let all = (0..t.directors).flat_map(|m| (0..voters).map(move |v| (m, v)));
            one.pairs = all.filter(|(m, v)| apart(*m) != apart(*v)).collect();
        }
    }
    if let Some(s) = shared {
        let held = match fault.kind {
            Kind::HoldTo => Held { to: true, from: false },
            Kind::HoldFrom => Held { to: false, from: true },
            Kind::Part => Held { to: true, from: true },
            _ => Held::default(),
        };
        for pair in &one.pairs {
            match fault.kind {
                Kind::ResetWays => s.ways.resets(*pair),
                _ => s.ways.holds(*pair, held),
            }
        }
    }
    if fault.kind == Kind::HoldProbes {
        nodes.iter().for_each(|n| n.holds_probes(&one.directors, fault.lasts));
    }
    for node in one.nodes.iter().map(|n| &nodes[*n]) {
        match fault.kind {
            Kind::StopCaches | Kind::StopParents => node.stops(fault.lasts),
            Kind::SlowCaches | Kind::SlowParents => node.slows(fault.by),
            Kind::CrashCaches => node.crashes(),
            Kind::Reset => node.resets(),
            Kind::CutTo => node.cuts(one.directors.iter().copied(), Some(Cut::To)),
            Kind::CutFrom => node.cuts(one.directors.iter().copied(), Some(Cut::From)),
            _ => {}
        }
    }
    for d in &one.directors {
        let director = &mut directors[*d];
        match fault.kind {
            Kind::StopDirectors | Kind::StopVoters | Kind::StopOwner | Kind::StopDriver => {
                // What waited for it meanwhile may be late for a moment after it.
                director.struck(now, fault.at + fault.lasts + 0.5);
                director.process.signal(Signal::STOP);
            }
            Kind::KillDirectors | Kind::KillVoters | Kind::KillOwner | Kind::KillDriver
                if !director.killed =>
            {
                director.struck(now, fault.at + fault.lasts + 2.0);
                director.killed = true;
                director.process.kill().map_err(io_error("a director's end"))?;
            }
            _ => {}
        }
    }
    Ok(one)
}

/// Ends it; what the list says then.
fn end(
    one: &Running,
    nodes: &[Arc<Node>],
    directors: &mut [Director],
    program: &dyn Fn() -> Command,
    feeds: &[Feed],
    t: &Trial,
    shared: Option<&Shared>,
) -> Result<Vec<Value>, Failed> {
    let mut lines = Vec::new();
    if let Some(s) = shared {
        one.pairs.iter().for_each(|pair| s.ways.holds(*pair, Held::default()));
    }
    for node in one.nodes.iter().map(|n| &nodes[*n]) {
        match one.fault.kind {
            Kind::SlowCaches | Kind::SlowParents => node.slows(1.0),
            Kind::CutTo | Kind::CutFrom => node.cuts(one.directors.iter().copied(), None),
            Kind::CrashCaches => {
                let since = node.begins_cold();
                lines.push(listed(node, "ready", since));
            }
            _ => {}
        }
    }
    for d in &one.directors {
        match one.fault.kind {
            Kind::StopDirectors | Kind::StopVoters | Kind::StopOwner | Kind::StopDriver => {
                directors[*d].process.signal(Signal::CONT);
            }
            Kind::KillDirectors | Kind::KillVoters | Kind::KillOwner | Kind::KillDriver
                if directors[*d].killed =>
            {
                let director = &mut directors[*d];
                let text = configured(t, *d, director.at, &feeds[director.feed]);
                std::fs::write(&director.config, text).map_err(io_error("a configuration"))?;
                director.start(program)?;
            }
            _ => {}
        }
    }
    Ok(lines)
}
