//! The directors of a soak: their processes, configurations, fault plans, and what was done to each.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use super::discovery::Discovery;
use super::judge::{
    CLASSES, COLLAPSE_MULTIPLE, DEDUPLICATION_WINDOW, Judge, LATE, Rule, SLOW_START_INITIAL_SHARE,
    SLOW_START_WINDOW,
};
use super::{Options, Seconds};
use crate::director_process::{NodeModel, director_config, spawn_director};
use crate::node_stub::lock;
use crate::process::{ChildProcess, TrialError, io_error};

/// Clients come for so long after a stop was asked for.
pub const STOP_ACCEPTS_FOR: f64 = 0.4;

#[derive(Default)]
struct State {
    process: Option<ChildProcess>,
    /// New requests are sent to it until then.
    accepts_until: Option<Seconds>,
    /// Spans in which nothing is owed in time: killed, or stopped by a signal.
    excused: Vec<(Seconds, Seconds)>,
    /// Spans in which its connections break by themselves.
    breaking: Vec<(Seconds, Seconds)>,
    feed: usize,
    started: Seconds,
}

/// A program hears no signal in the first moment of its life, before its own code runs.
const SIGNALS_AFTER: f64 = 0.2;

pub struct Director {
    pub number: usize,
    pub at: SocketAddr,
    config: PathBuf,
    pub log: PathBuf,
    plan: PathBuf,
    judge: Arc<Judge>,
    state: Mutex<State>,
}

fn settings(config: &mut Value, kinds: &[&str]) {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "memorySpanUs": (DEDUPLICATION_WINDOW * 1e6) as u64,
            "aimUs": 300_000, "aimStretch": 1.6, "deadlineUs": 2_000_000, "worth": 2.0})
    };
    let effects = ["idempotent", "deduplicated", "at_most_once"];
    let classes: Vec<Value> = kinds.iter().zip(effects).map(|(name, effect)| class(name, effect)).collect();
    let settings = &mut config["settings"];
    settings["classes"] = json!(classes);
    for (key, value) in [("freshForUs", 0), ("usableAfterUs", 0)] {
        settings["extra"][key] = json!([value, value, value]);
    }
    for key in ["multiPart", "neverKept"] {
        settings["extra"][key] = json!([false, false, false]);
    }
}

impl Director {
    pub fn new(number: usize, at: SocketAddr, folder: &Path, judge: &Arc<Judge>) -> Director {
        let file = |kind: &str| folder.join(format!("director-{number}.{kind}"));
        Director {
            number,
            at,
            config: file("json"),
            log: file("log"),
            plan: file("plan"),
            judge: Arc::clone(judge),
            state: Mutex::default(),
        }
    }

    /// Writes its configuration; how many events are known by it.
    fn configure(&self, options: &Options, discovery: &Discovery) -> Result<usize, TrialError> {
        let like = NodeModel {
            slow_start_initial_share: SLOW_START_INITIAL_SHARE,
            slow_start_us: (SLOW_START_WINDOW * 1e6) as u64,
            collapse_multiple: COLLAPSE_MULTIPLE,
            stream_kb_per_s: 4_000.0,
        };
        let feed = discovery.addresses[lock(&self.state).feed];
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(self.judge.now() as u64) >> 1;
        let (number, many) = (self.number, options.directors);
        let mut config = director_config(number, many, seed, self.at, (feed, &[]), &like);
        let known = discovery.known();
        config["known"] = json!({"n": known.len(), "events": known});
        config["settings"]["ceilings"]["dialTimeoutUs"] = json!(1_500_000);
        config["limits"]["sockets"] = json!(256);
        settings(&mut config, &CLASSES.map(|(name, _)| name));
        // In place at once: a reload may read it at any time.
        let new = self.config.with_extension("new");
        std::fs::write(&new, config.to_string()).map_err(io_error(new.display().to_string()))?;
        std::fs::rename(&new, &self.config).map_err(io_error(self.config.display().to_string()))?;
        Ok(known.len())
    }

    pub fn start(
        &self,
        options: &Options,
        program: &dyn Fn() -> Command,
        discovery: &Discovery,
    ) -> Result<(), TrialError> {
        let known = self.configure(options, discovery)?;
        let command = || {
            let mut command = program();
            if let Some(library) = &options.fault_library {
                command.env("LD_PRELOAD", library).env("SABLECROSS_FAULTS", &self.plan);
            }
            command.env("RUST_LOG", "info");
            command
        };
        let process = spawn_director(&command, &self.config, &self.log, None)?;
        discovery.known_at_start(self.number, known);
        let mut state = lock(&self.state);
        state.process = Some(process);
        state.started = self.judge.now();
        state.accepts_until = None;
        Ok(())
    }

    /// Rules for its system calls from now on.
    pub fn faults(&self, rules: &str) {
        let new = self.plan.with_extension("plan-new");
        // A plan that can't be written makes no trouble, which the count of troubles does not see.
        let _ = std::fs::write(&new, rules).and_then(|()| std::fs::rename(&new, &self.plan));
    }

    pub fn expect_broken_connections(&self, lasts: f64) {
        let now = self.judge.now();
        lock(&self.state).breaking.push((now - 0.1, now + lasts + 0.3));
    }

    pub fn signal(&self, signal: Signal) {
        let state = lock(&self.state);
        if let Some(process) =
            state.process.as_ref().filter(|_| self.judge.now() > state.started + SIGNALS_AFTER)
        {
            process.signal(signal);
        }
    }

    /// Another address of discovery, by a reload.
    pub fn move_discovery(&self, options: &Options, discovery: &Discovery) -> Result<(), TrialError> {
        {
            let mut state = lock(&self.state);
            state.feed = 1 - state.feed;
        }
        self.configure(options, discovery)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Killed, or not running: what it held is owed no more.
    pub fn kill(&self) {
        let now = self.judge.now();
        let mut state = lock(&self.state);
        if let Some(mut process) = state.process.take() {
            let _ = process.kill();
        }
        state.excused.push((now, Seconds::INFINITY));
    }

    /// It runs again.
    pub fn end_excuse(&self) {
        let now = self.judge.now();
        if let Some(last) = lock(&self.state).excused.last_mut() {
            last.1 = last.1.min(now);
        }
    }

    pub fn excuse_stall(&self, lasts: f64) {
        let now = self.judge.now();
        lock(&self.state).excused.push((now, now + lasts));
    }

    /// Told to end: clients come a little longer.
    pub fn terminate(&self) {
        let started = lock(&self.state).started;
        let early = started + SIGNALS_AFTER + 0.01 - self.judge.now();
        if early > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(early));
        }
        let now = self.judge.now();
        lock(&self.state).accepts_until = Some(now + STOP_ACCEPTS_FOR);
        self.signal(Signal::TERM);
    }

    /// Waits for its end, as long as a platform would.
    pub fn wait_for_exit(&self, longest: Duration) {
        let start = Instant::now();
        while start.elapsed() < longest {
            let ended = lock(&self.state).process.as_mut().map(|process| process.0.try_wait());
            match ended {
                None => return,
                Some(Ok(Some(status))) if status.success() => return,
                Some(Ok(Some(status))) => {
                    return self
                        .judge
                        .record_violation(Rule::Crash, format!("director {}: {status}", self.number));
                }
                Some(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        self.judge
            .record_violation(Rule::Crash, format!("director {} did not end when told to", self.number));
    }

    /// Ended by itself.
    pub fn has_crashed(&self) -> bool {
        lock(&self.state).process.as_mut().is_some_and(ChildProcess::has_exited)
    }

    /// Whether clients send new requests to it.
    pub fn accepts_requests(&self) -> bool {
        let state = lock(&self.state);
        state.process.is_some() && state.accepts_until.is_none_or(|until| self.judge.now() < until)
    }

    /// Whether a request of that time is owed no answer in time.
    pub fn excuses(&self, written: Seconds, budget: f64) -> bool {
        let end = written + budget + LATE;
        let state = lock(&self.state);
        state.excused.iter().any(|(from, to)| *from < end && *to > written - 0.1)
    }

    /// Whether a connection may have broken by itself about now.
    pub fn may_break_connections(&self) -> bool {
        let now = self.judge.now();
        lock(&self.state).breaking.iter().any(|(from, to)| (*from..*to).contains(&now))
    }
}
