//! A trial from start to end.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use serde_json::{Value, json};

use super::pool_messages::{DirectorIdentity, Finished, PoolCommand, PoolProgress, PoolReport, shared_ns};
use super::report::{Counted, FaultWindow, Report, Sample};
use super::settings::{Fault, FaultKind, Scale};
use super::source::{Outlet, Source, status, whole};
use super::tier::{Program, Tier, binds_ms};
use crate::clock::unix_ms;
use crate::director_process::{
    NodeModel, PortAllocator, director_config, spawn_director, wait_until_serving,
};
use crate::discovery_stub::DiscoveryStub;
use crate::fleet::link_proxy::{HeldDirections, LinkProxies, PlannedLink};
use crate::process::{ChildProcess, TrialError, io_error, machine_memory_mb};
use crate::schedule::{sample, take_due};
use crate::threads::spawn;
use crate::trial_state::TrialState;

/// MB that a hollow director and a known purge of it, a real one and a relay are taken to need before a start, by
/// measurement with some to spare.
const HOLLOW_MB: f64 = 0.7;
const PURGE_MB: f64 = 0.000_08;
const REAL_MB: f64 = 12.0;
const RELAY_MB: f64 = 64.0;
/// Every director and relay of this program, with clients of none.
const MOST_PROCESSES: usize = 400;
const SAYS: Duration = Duration::from_secs(10);
const UP: Duration = Duration::from_secs(120);

/// Directors of one process.
struct Pool {
    process: ChildProcess,
    /// Of all hollow ones.
    members: Vec<usize>,
    tick: PoolProgress,
    finished: Option<Box<Finished>>,
}

impl Pool {
    fn start(
        program: Program,
        number: usize,
        folder: &Path,
        heard: Sender<(usize, PoolReport)>,
        members: Vec<usize>,
    ) -> Result<Pool, TrialError> {
        let log = folder.join(format!("hollow-{number}.log"));
        let _ = std::fs::remove_file(&log);
        let mut command = program(&["testbed", "hollow"]);
        let mut process = ChildProcess::start(command.stdout(Stdio::piped()), &log, "hollow directors")?;
        if let Some(out) = process.0.stdout.take() {
            spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    let Ok(word) = serde_json::from_str(&line) else { continue };
                    if heard.send((number, word)).is_err() {
                        return;
                    }
                }
            });
        }
        Ok(Pool { process, members, tick: PoolProgress::default(), finished: None })
    }

    fn order(&mut self, order: &PoolCommand) -> Result<(), TrialError> {
        let Some(to) = &mut self.process.0.stdin else { return Ok(()) };
        let text = serde_json::to_string(order).unwrap_or_default();
        writeln!(to, "{text}").map_err(io_error("an order to hollow directors"))
    }
}

/// A real director.
struct Real {
    process: ChildProcess,
    log: PathBuf,
}

impl Real {
    /// Events that it passed over as unreadable, once its log says so.
    fn skipped(&self) -> Option<u64> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let line = text.lines().rev().find(|l| l.contains("counters "))?;
        line.split("feed_skipped=").nth(1)?.split([' ', '"']).next()?.parse().ok()
    }
}

/// One that is being carried out.
struct Running {
    kind: FaultKind,
    relay: Option<usize>,
    directors: Vec<usize>,
}

enum Act {
    Begin(usize),
    End(usize),
    Restart(usize, bool),
}

struct Trial<'a> {
    s: &'a Scale,
    program: Program<'a>,
    tier: Tier,
    pools: Vec<Pool>,
    reals: Vec<Real>,
    /// The links of the real ones to their feeds.
    ways: LinkProxies,
    heard: Receiver<(usize, PoolReport)>,
    rng: Pcg32,
    restarted: usize,
}

/// Half of the machine's memory is the most that a trial may take.
fn fits(s: &Scale) -> Result<(), TrialError> {
    let binds = binds_ms(s) as f64 / 1e3;
    let known = s.purges * binds.min(s.seconds as f64) + s.faults.iter().map(|f| f.count as f64).sum::<f64>();
    let directors = s.hollow as f64 * (HOLLOW_MB + PURGE_MB * known) + s.real as f64 * REAL_MB;
    let needs = directors + s.relays as f64 * RELAY_MB;
    let half = machine_memory_mb() / 2.0;
    if needs > half {
        return Err(TrialError::TooLarge(format!(
            "{needs:.0} MB of memory are needed, half of the machine is {half:.0} MB"
        )));
    }
    let processes = s.real + s.relays + s.process_count();
    if processes > MOST_PROCESSES {
        return Err(TrialError::TooLarge(format!("{processes} processes, of {MOST_PROCESSES} at most")));
    }
    Ok(())
}

/// Runs it. `program` starts this program under other words, whose logs go to the folder; `tell` hears of the progress.
pub fn run(
    s: &Scale,
    program: Program,
    folder: &Path,
    mut tell: impl FnMut(&str),
) -> Result<Report, TrialError> {
    fits(s)?;
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let over = Arc::new(AtomicBool::new(false));
    let common = Arc::new(TrialState::new(Instant::now()));
    let (tier, outlet) = if s.voters == 0 {
        let feed = DiscoveryStub::start(&common, channel().0).map_err(io_error("the feed"))?;
        let tier = match s.relays {
            0 => Tier::star(feed.address, &over)?,
            _ => Tier::start(s, program, folder, Some(feed.address), &over)?,
        };
        (tier, Outlet::Star(feed))
    } else {
        let tier = Tier::start(s, program, folder, None, &over)?;
        let outlet = Outlet::Relays(tier.voting());
        (tier, outlet)
    };
    let Some((mut source, first)) = Source::start(s, outlet) else {
        return Err(TrialError::TooLarge("the list was not taken".into()));
    };
    let event: Value = serde_json::from_str(&format!("{{\"n\":{first},{}}}", whole(s))).unwrap_or_default();
    let known = json!({"n": first, "events": [event]});
    let mut trial = Trial::start(s, program, folder, tier, &known, &over)?;
    trial.wait_until_up(&mut tell)?;

    let zero = Instant::now();
    let zero_ns = shared_ns();
    let mut acts: Vec<(f64, Act)> = Vec::new();
    for (n, fault) in s.faults.iter().enumerate() {
        acts.push((fault.at, Act::Begin(n)));
        acts.push((fault.at + fault.lasts, Act::End(n)));
    }
    let mut running = BTreeMap::new();
    let mut struck: Vec<FaultWindow> = Vec::new();
    let (mut said, mut from) = (0, None);
    let (mut woken, mut late) = (Instant::now(), 0.0f64);
    while zero.elapsed() < Duration::from_secs(s.seconds) {
        std::thread::sleep(Duration::from_millis(5));
        late = late.max(woken.elapsed().as_secs_f64() - 0.005);
        let now = zero.elapsed().as_secs_f64();
        source.step(s, now);
        while let Some(act) = take_due(&mut acts, now) {
            match act {
                Act::Begin(n) => {
                    let fault = &s.faults[n];
                    let one = trial.begin(fault, now, &mut acts, &source)?;
                    let whom = one.relay.map_or(String::new(), |r| format!(" relay-{r}"));
                    let what = format!("{:?}{whom} directors {}", fault.kind, one.directors.len());
                    tell(&format!("{now:>6.1} s  {what}"));
                    struck.push(FaultWindow { what, n, from: shared_ns(), to: 0 });
                    running.insert(n, one);
                }
                Act::End(n) => {
                    if let Some(one) = running.remove(&n) {
                        trial.end(&one)?;
                    }
                    struck.iter_mut().filter(|s| s.n == n).for_each(|s| s.to = shared_ns());
                }
                Act::Restart(who, on) => {
                    let order = if on { PoolCommand::Start(vec![who]) } else { PoolCommand::Kill(vec![who]) };
                    trial.restarted += usize::from(on);
                    trial.all(&order)?;
                }
            }
        }
        trial.hear();
        if from.is_none() && now >= s.warm_up as f64 {
            from = Some(trial.sample());
        }
        if now as u64 > said {
            said = now as u64;
            tell(&trial.line(said, source.all().len()));
        }
        woken = Instant::now();
    }
    for one in running.values() {
        trial.end(one)?;
    }
    struck.iter_mut().filter(|s| s.to == 0).for_each(|s| s.to = shared_ns());
    let to = trial.sample();
    let from = from.unwrap_or_else(|| to.clone());
    // A restart that fell past the end comes now.
    trial.all(&PoolCommand::Start((0..s.hollow).collect()))?;
    let settle = Duration::from_secs(s.settle);
    source.end(settle);
    let told = source.told();
    let last = told.iter().map(|t| t.number).max().unwrap_or(first);
    let settled = trial.wait_for(last, settle);
    let reals = trial.reals_at(last, settle);
    let ended = trial.ended();
    let passed = trial.passed();
    for pool in &mut trial.pools {
        pool.order(&PoolCommand::Finish { told: told.clone(), list: source.list() })?;
    }
    let begun = Instant::now();
    while trial.pools.iter().any(|p| p.finished.is_none()) && begun.elapsed() < Duration::from_secs(60) {
        trial.hear();
        std::thread::sleep(Duration::from_millis(10));
    }
    let finished: Vec<Finished> =
        trial.pools.iter_mut().filter_map(|p| p.finished.take()).map(|f| *f).collect();
    let counted = Counted {
        zero: zero_ns,
        first,
        published: source.all(),
        again: source.again(),
        ticks: trial.pools.iter().map(|p| p.tick).collect(),
        silent: trial.pools.len() - finished.len(),
        finished,
        settled,
        reals_behind: reals,
        reals_gaps: trial.reals_gaps(),
        passed,
        ended,
        late,
    };
    let names: Vec<String> = trial.tier.relays.iter().map(|r| r.name.clone()).collect();
    over.store(true, Ordering::Relaxed);
    common.finish();
    Ok(Report::of(s, &counted, &from, &to, &names, &struck))
}

impl<'a> Trial<'a> {
    fn start(
        s: &'a Scale,
        program: Program<'a>,
        folder: &Path,
        tier: Tier,
        known: &Value,
        over: &Arc<AtomicBool>,
    ) -> Result<Trial<'a>, TrialError> {
        let mut ports = PortAllocator::new();
        let like = NodeModel {
            slow_start_initial_share: 0.25,
            slow_start_us: 60_000_000,
            collapse_multiple: 3.0,
            stream_kb_per_s: 400.0,
        };
        let all = s.hollow + s.real;
        let configured = |number: usize, listen, feeds: &[std::net::SocketAddr]| {
            let mut text = director_config(number, all, s.seed, listen, (feeds[0], &[]), &like);
            text["known"] = known.clone();
            text["feeds"] = json!(feeds[1..]);
            let mut balancers = vec![0; s.zones];
            balancers[0] = all;
            let settings = &mut text["settings"];
            settings["az"] = json!(0);
            settings["zones"] = json!((0..s.zones).map(|z| format!("zone-{z}")).collect::<Vec<_>>());
            settings["extra"]["zoneBalancers"] = json!(balancers);
            text.to_string()
        };
        let mut planned = Vec::new();
        for real in 0..s.real {
            for (n, to) in tier.feeds_of(s.hollow + real, s.feeds).into_iter().enumerate() {
                let from = Ipv4Addr::new(127, 15, (real >> 8) as u8, real as u8 + 1);
                planned.push(PlannedLink { pair: (real, n), to, from });
            }
        }
        let ways = LinkProxies::between(planned, over).map_err(io_error("links of real directors"))?;
        let mut reals = Vec::new();
        for real in 0..s.real {
            let feeds: Vec<_> = (0..s.feeds).filter_map(|n| ways.address(real, n)).collect();
            let (config, log) =
                (folder.join(format!("director-{real}.json")), folder.join(format!("director-{real}.log")));
            let _ = std::fs::remove_file(&log);
            let at = ports.allocate().map_err(io_error("a port"))?;
            std::fs::write(&config, configured(s.hollow + real, at, &feeds))
                .map_err(io_error(config.display().to_string()))?;
            let process = spawn_director(&|| program(&["testbed", "director"]), &config, &log, None)?;
            wait_until_serving(
                &format!("director-{real}"),
                at,
                &log,
                Instant::now(),
                Duration::from_secs(30),
            )?;
            reals.push(Real { process, log });
        }
        let (to_trial, heard) = channel();
        let mut pools = Vec::new();
        let config = configured(0, ([127, 0, 0, 1], 0).into(), &tier.feeds_of(0, s.feeds));
        for number in 0..s.process_count() {
            let members: Vec<usize> = (number..s.hollow).step_by(s.process_count()).collect();
            let own = |n: usize| DirectorIdentity {
                number: n,
                source: Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 16, 0, 1)) + n as u32),
                feeds: tier.feeds_of(n, s.feeds),
            };
            let directors = members.iter().map(|n| own(*n)).collect();
            let mut pool = Pool::start(program, number, folder, to_trial.clone(), members)?;
            pool.order(&PoolCommand::Begin { config: config.clone(), directors, binds_ms: binds_ms(s) })?;
            pools.push(pool);
        }
        let rng = Pcg32::seed_from_u64(s.seed);
        Ok(Trial { s, program, tier, pools, reals, ways, heard, rng, restarted: 0 })
    }

    fn hear(&mut self) {
        for (pool, word) in self.heard.try_iter() {
            match word {
                PoolReport::Tick(tick) => self.pools[pool].tick = tick,
                PoolReport::Finished(finished) => self.pools[pool].finished = Some(finished),
            }
        }
    }

    fn all(&mut self, order: &PoolCommand) -> Result<(), TrialError> {
        self.pools.iter_mut().try_for_each(|pool| pool.order(order))
    }

    fn wait_until_up(&mut self, tell: &mut impl FnMut(&str)) -> Result<(), TrialError> {
        let begun = Instant::now();
        while self.pools.iter().any(|p| p.tick.up < p.members.len()) {
            if begun.elapsed() > UP || self.ended() > 0 {
                let (name, log) = ("a process of hollow directors".into(), "hollow-*.log".into());
                return Err(TrialError::NotServing { name, within: UP.as_secs(), log });
            }
            std::thread::sleep(Duration::from_millis(50));
            self.hear();
        }
        let (hollow, real) = (self.s.hollow, self.s.real);
        tell(&format!(
            "{hollow} hollow and {real} real directors follow after {:.1} s",
            begun.elapsed().as_secs_f64()
        ));
        Ok(())
    }

    /// What all processes have used up to now.
    fn sample(&mut self) -> Sample {
        self.hear();
        Sample {
            at: shared_ns(),
            ticks: self.pools.iter().map(|p| p.tick).collect(),
            hollow: self.pools.iter().map(|p| (p.process.cpu_seconds(), p.process.resident_mb())).collect(),
            real: self.reals.iter().map(|r| (r.process.cpu_seconds(), r.process.resident_mb())).collect(),
            real_bytes: self.ways.bytes(|_| true),
            relays: self.tier.relays.iter().map(|r| (r.cpu(), r.memory())).collect(),
            between: (0..self.tier.relays.len()).map(|n| self.tier.bytes(n)).collect(),
            own: crate::process::cpu_seconds_of(std::process::id()),
        }
    }

    fn line(&self, second: u64, published: usize) -> String {
        let ticks = || self.pools.iter().map(|p| p.tick);
        let (least, most) = (ticks().map(|t| t.least).min(), ticks().map(|t| t.most).max());
        let behind = most.unwrap_or(0).saturating_sub(least.unwrap_or(0));
        let alive: usize = ticks().map(|t| t.alive).sum();
        let gaps: u64 = ticks().map(|t| t.gaps).sum();
        format!(
            "{second:>4} of {} s  alive {alive}  published {published}  slowest behind {behind}  gaps {gaps}",
            self.s.seconds
        )
    }

    /// Waits until all hollow ones have come to this number; how many processes have not.
    fn wait_for(&mut self, number: u64, most: Duration) -> usize {
        let begun = Instant::now();
        loop {
            self.hear();
            let left = self.pools.iter().filter(|p| p.tick.alive > 0 && p.tick.least < number).count();
            if left == 0 || begun.elapsed() > most {
                return left;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// How many real ones have not said that they have come to this number, by the relays' status.
    fn reals_at(&mut self, number: u64, most: Duration) -> usize {
        if self.tier.relays.is_empty() {
            return 0;
        }
        let begun = Instant::now();
        loop {
            let mut at: BTreeMap<String, u64> = BTreeMap::new();
            for said in self.tier.feeds.iter().filter_map(|f| status(*f)) {
                for reader in said["readers"].as_array().into_iter().flatten() {
                    let (Some(name), Some(n)) = (reader["name"].as_str(), reader["number"].as_u64()) else {
                        continue;
                    };
                    let known = at.entry(name.into()).or_default();
                    *known = n.max(*known);
                }
            }
            let name = |real: usize| Ipv4Addr::new(127, 15, (real >> 8) as u8, real as u8 + 1).to_string();
            let left =
                (0..self.reals.len()).filter(|r| at.get(&name(*r)).is_none_or(|n| *n < number)).count();
            if left == 0 || begun.elapsed() > most {
                return left;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
    }

    /// Numbers, and since when the relays say that they are in force everywhere, by the clock that all processes share.
    fn passed(&self) -> Vec<(u64, u64)> {
        let Some(said) = self.tier.owner().and_then(|n| status(self.tier.feeds[n])) else {
            return Vec::new();
        };
        let passed: Vec<(u64, u64)> = serde_json::from_value(said["passed"].clone()).unwrap_or_default();
        let (now, unix) = (shared_ns(), unix_ms());
        passed.into_iter().map(|(n, at)| (n, now - 1_000_000 * unix.saturating_sub(at))).collect()
    }

    /// Events that real directors passed over as unreadable, by what they say of themselves; one that says nothing in
    /// time has a fault of its own.
    fn reals_gaps(&self) -> u64 {
        self.reals.iter().for_each(|r| r.process.signal(Signal::USR1));
        let begun = Instant::now();
        let mut said: Vec<Option<u64>> = vec![None; self.reals.len()];
        while said.contains(&None) && begun.elapsed() < SAYS {
            std::thread::sleep(Duration::from_millis(50));
            said = self.reals.iter().map(Real::skipped).collect();
        }
        said.into_iter().map(|s| s.unwrap_or(1)).sum()
    }

    /// Processes that ended by themselves.
    fn ended(&mut self) -> usize {
        self.reals.iter_mut().filter_map(|r| r.process.has_exited().then_some(())).count()
            + self.pools.iter_mut().filter_map(|p| p.process.has_exited().then_some(())).count()
            + self.tier.relays.iter_mut().filter_map(|r| r.ended().then_some(())).count()
    }

    fn begin(
        &mut self,
        fault: &Fault,
        now: f64,
        acts: &mut Vec<(f64, Act)>,
        source: &Source,
    ) -> Result<Running, TrialError> {
        let mut one = Running { kind: fault.kind, relay: None, directors: Vec::new() };
        match fault.kind {
            FaultKind::KillRelay | FaultKind::StopRelay | FaultKind::CutTo | FaultKind::CutFrom => {
                one.relay = Some(self.tier.plain(self.rng.random_range(0..1_000)));
            }
            FaultKind::KillOwner | FaultKind::StopOwner => one.relay = self.tier.owner(),
            FaultKind::KillDirectors | FaultKind::SlowDirectors => {
                one.directors = sample(&mut self.rng, self.s.hollow, fault.of);
            }
            FaultKind::RestartDirectors => {
                for _ in 0..fault.count {
                    let who = self.rng.random_range(0..self.s.hollow);
                    let at = now + (fault.lasts - 1.0).max(0.0) * self.rng.random::<f64>();
                    acts.push((at, Act::Restart(who, false)));
                    acts.push((at + 0.5 * self.rng.random::<f64>(), Act::Restart(who, true)));
                }
            }
            FaultKind::CutRegion => one.directors = self.cut_region()?,
            FaultKind::Burst => source.burst(fault.count),
        }
        let (to, from) = (HeldDirections { to: true, from: false }, HeldDirections { to: false, from: true });
        if let Some(relay) = one.relay {
            match fault.kind {
                FaultKind::KillRelay | FaultKind::KillOwner => self.tier.relays[relay].kill()?,
                FaultKind::StopRelay | FaultKind::StopOwner => self.tier.relays[relay].signal(Signal::STOP),
                FaultKind::CutTo => self.tier.holds(|p| p.0 == relay, to),
                FaultKind::CutFrom => self.tier.holds(|p| p.0 == relay, from),
                _ => {}
            }
        }
        match fault.kind {
            FaultKind::KillDirectors => self.all(&PoolCommand::Kill(one.directors.clone()))?,
            FaultKind::SlowDirectors => self.all(&PoolCommand::Slow(one.directors.clone(), true))?,
            _ => {}
        }
        Ok(one)
    }

    /// Cuts one region off: its hollow directors.
    fn cut_region(&mut self) -> Result<Vec<usize>, TrialError> {
        let region = self.rng.random_range(0..self.s.regions);
        let (s, tier) = (self.s, &self.tier);
        let apart = |a: usize, b: usize| (tier.region(a) == region) != (tier.region(b) == region);
        let both = HeldDirections { to: true, from: true };
        tier.holds(|(a, b)| apart(*a, *b), both);
        for pair in self.ways.pairs() {
            let feed = tier.feeds_of(s.hollow + pair.0, s.feeds)[pair.1];
            let relay = tier.feeds.iter().position(|f| *f == feed).unwrap_or(0);
            if apart(s.hollow + pair.0, relay) {
                self.ways.hold(*pair, both);
            }
        }
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..s.hollow).partition(|d| tier.region(*d) == region);
        let feeds = |in_it: bool| -> Vec<_> {
            let of = tier.feeds.iter().enumerate().filter(|(n, _)| (tier.region(*n) == region) == in_it);
            of.map(|(_, f)| *f).collect()
        };
        let orders = [PoolCommand::Cut(inside.clone(), feeds(false)), PoolCommand::Cut(outside, feeds(true))];
        orders.iter().try_for_each(|order| self.all(order))?;
        Ok(inside)
    }

    fn end(&mut self, one: &Running) -> Result<(), TrialError> {
        self.tier.holds(|_| true, HeldDirections::default());
        match (one.kind, one.relay) {
            (FaultKind::KillRelay | FaultKind::KillOwner, Some(relay)) => {
                self.tier.relays[relay].start(self.program)?
            }
            (FaultKind::StopRelay | FaultKind::StopOwner, Some(relay)) => {
                self.tier.relays[relay].signal(Signal::CONT)
            }
            (FaultKind::KillDirectors, _) => self.all(&PoolCommand::Start(one.directors.clone()))?,
            (FaultKind::SlowDirectors, _) => self.all(&PoolCommand::Slow(one.directors.clone(), false))?,
            (FaultKind::CutRegion, _) => {
                self.ways.pairs().for_each(|pair| self.ways.hold(*pair, HeldDirections::default()));
                self.all(&PoolCommand::Heal)?;
            }
            _ => {}
        }
        Ok(())
    }
}
