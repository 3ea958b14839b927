//! A soak from start to end.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::clients::Client;
use super::discovery::{Discovery, Notification, note_all};
use super::faults::{self, Fault};
use super::fleet::Director;
use super::judge::{Judge, Rule, Violation};
use super::nodes::{Node, Nodes};
use super::{Options, Seconds};
use crate::director_process::{PortAllocator, endpoint_json, members_event, wait_until_serving};
use crate::node_stub::{lock, unix_ms};
use crate::process::{TrialError, io_error};

/// How long a platform waits after it has told a director to end, and for one to serve.
const STOP_WAIT: Duration = Duration::from_millis(3_700);
const READY_WAIT: Duration = Duration::from_secs(10);
/// Requests a second that a cold cache bears once it is warm.
const CACHE_CAPACITY: f64 = 100.0;
/// A node that is listed as draining goes so much later, and its successor comes then.
const DRAIN_SECONDS: f64 = 2.5;

/// What a soak came to.
pub struct SoakReport {
    pub violations: Vec<Violation>,
    pub counts: BTreeMap<&'static str, u64>,
    pub faults: usize,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} troubles", self.faults)?;
        for (what, many) in &self.counts {
            writeln!(f, "{many:>9} {what}")?;
        }
        let mut by_rule: BTreeMap<Rule, usize> = BTreeMap::new();
        self.violations.iter().for_each(|breach| *by_rule.entry(breach.rule).or_default() += 1);
        for (rule, many) in by_rule {
            writeln!(f, "broken {rule:?}: {many}")?;
        }
        self.violations.iter().take(20).try_for_each(|breach| writeln!(f, "{breach}"))
    }
}

struct Soak<'a> {
    options: &'a Options,
    program: &'a (dyn Fn() -> Command + Sync),
    judge: Arc<Judge>,
    discovery: Arc<Discovery>,
    directors: Vec<Arc<Director>>,
    nodes: Nodes,
    /// By number: caches, the parent, the origin, then successors.
    by_number: Mutex<Vec<Arc<Node>>>,
    /// The node that stands in each cache's place now.
    places: Mutex<Vec<usize>>,
}

fn endpoint_of(node: &Node, status: &str, since_ms: u64) -> serde_json::Value {
    endpoint_json(&node.name, node.address, node.kind, status, since_ms)
}

impl Soak<'_> {
    fn add_node(&self, name: &str, kind: &'static str) -> Result<Arc<Node>, TrialError> {
        let number = lock(&self.by_number).len();
        let node = Node::start(number, name, kind, &self.judge, &self.nodes).map_err(io_error("a node"))?;
        lock(&self.by_number).push(Arc::clone(&node));
        Ok(node)
    }

    fn node(&self, place: usize) -> Option<Arc<Node>> {
        let number = lock(&self.places).get(place).copied()?;
        lock(&self.by_number).get(number).cloned()
    }

    fn announce(&self, node: &Node, status: &str, since_ms: u64) {
        let news = match status {
            "ready" => Notification::Ready(node.number),
            _ => Notification::Drained(node.number),
        };
        self.discovery.publish(&members_event(&[endpoint_of(node, status, since_ms)], false), Some(news));
    }

    fn start(&self, director: &Director) -> Result<(), TrialError> {
        director.start(self.options, &self.program, &self.discovery)?;
        let name = format!("director-{}", director.number);
        wait_until_serving(&name, director.at, &director.log, Instant::now(), READY_WAIT)
    }

    /// Started again, whatever made it end. Its end is a crash if nobody asked for it.
    fn restart(&self, director: &Director, killed: bool, faults_at_start: &str) {
        if killed {
            director.kill();
        } else {
            director.terminate();
            director.wait_for_exit(STOP_WAIT);
            director.kill();
        }
        director.faults(faults_at_start);
        if let Err(e) = self.start(director) {
            self.judge.record_violation(Rule::Crash, e.to_string());
        }
        director.end_excuse();
    }

    fn replace(&self, place: usize) -> Result<(), TrialError> {
        let Some(old) = self.node(place) else { return Ok(()) };
        self.announce(&old, "draining", 0);
        thread::sleep(Duration::from_secs_f64(DRAIN_SECONDS));
        self.announce(&old, "gone", 0);
        let number = lock(&self.by_number).len();
        let new = self.add_node(&format!("cache-{number}"), "small")?;
        self.judge.on_cold_start(new.number, CACHE_CAPACITY);
        lock(&self.places)[place] = new.number;
        self.announce(&new, "ready", unix_ms());
        thread::sleep(Duration::from_secs_f64(super::judge::DRAIN_GRACE));
        old.drop_connections(false);
        Ok(())
    }

    fn carry_out(&self, trouble: &Fault) -> Result<(), TrialError> {
        match *trouble {
            Fault::Restart(n) => self.restart(&self.directors[n], false, ""),
            Fault::Kill(n) => self.restart(&self.directors[n], true, ""),
            Fault::KillUnderClock(n, offset) => {
                let clock = format!("clock 0 {offset}\nclock 2000 0");
                self.restart(&self.directors[n], true, &clock);
            }
            Fault::StandStill(n, lasts) => {
                let director = &self.directors[n];
                director.excuse_stall(lasts + 0.2);
                director.signal(Signal::STOP);
                thread::sleep(Duration::from_secs_f64(lasts));
                director.signal(Signal::CONT);
            }
            Fault::Reload(n) => self.directors[n].move_discovery(self.options, &self.discovery)?,
            Fault::Fault(n, fault, lasts) => {
                let director = &self.directors[n];
                if faults::breaks_connections(fault) {
                    director.expect_broken_connections(lasts);
                }
                director.faults(&format!("{fault} 0 1000000000 80"));
                thread::sleep(Duration::from_secs_f64(lasts));
                director.faults("");
            }
            Fault::ClockStep(n, offset) => {
                let director = &self.directors[n];
                director.faults(&format!("clock 0 {offset}"));
                thread::sleep(Duration::from_millis(1_500));
                director.faults("");
            }
            Fault::DiscoveryDown(lasts) => self.discovery.interrupt(lasts),
            Fault::DiscoverySilent(lasts) => self.discovery.fall_silent(lasts),
            Fault::Purge(object) => {
                let made_ms = unix_ms();
                let event = format!("\"purge\":{{\"key\":\"{object:016x}\",\"at\":{made_ms}}}");
                self.discovery.publish(&event, Some(Notification::Purge { object, made_ms }));
            }
            Fault::Replace(place) => self.replace(place)?,
            Fault::Misbehave(place, mode, lasts) => {
                if let Some(node) = self.node(place) {
                    node.misbehave(mode, lasts);
                }
            }
            Fault::ConnectLate(place, lasts) => {
                if let Some(node) = self.node(place) {
                    node.accept_late(lasts);
                }
            }
            Fault::DropConnections(place, by_reset) => {
                if let Some(node) = self.node(place) {
                    node.drop_connections(by_reset);
                }
            }
        }
        Ok(())
    }

    /// Troubles at their times, each on a thread of its own. Two that restart one director take turns.
    fn inject_faults(&self, until: Seconds) {
        let turns: Vec<Mutex<()>> = self.directors.iter().map(|_| Mutex::default()).collect();
        let turns = &turns;
        thread::scope(|scope| {
            for (at, trouble) in faults::plan(self.options) {
                let wait = at - self.judge.now();
                if wait > 0.0 {
                    thread::sleep(Duration::from_secs_f64(wait));
                }
                if self.judge.now() > until {
                    return;
                }
                scope.spawn(move || {
                    let turn = match trouble {
                        Fault::Restart(n) | Fault::Kill(n) | Fault::KillUnderClock(n, _) => {
                            Some(lock(&turns[n]))
                        }
                        _ => None,
                    };
                    if let Err(e) = self.carry_out(&trouble) {
                        self.judge.record_violation(Rule::Crash, format!("{trouble:?}: {e}"));
                    }
                    drop(turn);
                });
            }
        });
    }

    /// What the directors said of themselves.
    fn check_logs(&self) {
        for director in &self.directors {
            let log = std::fs::read_to_string(&director.log).unwrap_or_default();
            for line in log.lines().filter(|l| l.contains("violation request=") || l.contains("panicked at"))
            {
                self.judge.record_violation(Rule::Inside, format!("director {}: {line}", director.number));
            }
        }
    }
}

/// Runs it. `program` starts a real director; its files go to the folder.
pub fn run(
    options: &Options,
    program: &(dyn Fn() -> Command + Sync),
    folder: &Path,
) -> Result<SoakReport, TrialError> {
    std::fs::create_dir_all(folder).map_err(io_error(folder.display().to_string()))?;
    let judge = Arc::new(Judge::new());
    let discovery = Discovery::start(&judge).map_err(io_error("discovery"))?;
    let mut ports = PortAllocator::new();
    let mut directors: Vec<Arc<Director>> = Vec::new();
    while directors.len() < options.directors {
        let at = ports.allocate().map_err(io_error("a port"))?;
        if directors.iter().all(|d| d.at != at) {
            directors.push(Arc::new(Director::new(directors.len(), at, folder, &judge)));
        }
    }
    let soak = Soak {
        options,
        program,
        judge: Arc::clone(&judge),
        discovery,
        directors,
        nodes: Nodes::default(),
        by_number: Mutex::default(),
        places: Mutex::default(),
    };
    let kinds = (0..options.caches).map(|n| (format!("cache-{n}"), "small"));
    for (name, kind) in kinds.chain([("parent-0".into(), "parent"), ("origin-0".into(), "origin")]) {
        soak.add_node(&name, kind)?;
    }
    *lock(&soak.places) = (0..options.caches + 2).collect();
    let all: Vec<_> = lock(&soak.by_number).iter().map(|node| endpoint_of(node, "ready", 0)).collect();
    soak.discovery.publish(&members_event(&all, true), None);
    note_all(&soak.discovery, options.directors);
    for director in &soak.directors {
        let _ = std::fs::remove_file(&director.log);
        director.faults("");
        soak.start(director)?;
    }
    let (over, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let mut clients = Vec::new();
    for director in &soak.directors {
        for number in 0..options.clients_per_director {
            let client = Client {
                director: Arc::clone(director),
                judge: Arc::clone(&judge),
                over: Arc::clone(&over),
                next_id: Arc::clone(&next_id),
                seed: options.seed ^ ((director.number as u64) << 32) ^ ((number as u64) << 16),
            };
            clients.push(thread::spawn(move || client.run()));
        }
    }
    let began = Instant::now();
    soak.inject_faults(options.seconds as f64);
    thread::sleep(Duration::from_secs(options.seconds).saturating_sub(began.elapsed()));
    over.store(true, Ordering::Relaxed);
    for client in clients {
        if client.join().is_err() {
            judge.record_violation(Rule::Unknown, "a client of the soak panicked".into());
        }
    }
    for director in &soak.directors {
        if director.has_crashed() {
            judge.record_violation(Rule::Crash, format!("director {} has ended by itself", director.number));
        } else {
            director.terminate();
            director.wait_for_exit(STOP_WAIT);
        }
    }
    soak.check_logs();
    let troubles = faults::plan(options).len();
    let (breaches, counts) = judge.finish();
    Ok(SoakReport { violations: breaches, counts, faults: troubles })
}
