//! The directors of a soak: their processes, configurations and fault rules, and the signals that each has received.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{Value, json};

use super::discovery::Discovery;
use super::invariants::{
    CLASSES, COLLAPSE_MULTIPLE, DEDUPLICATION_WINDOW_SECONDS, LOST_AFTER_SECONDS, MAX_BUDGET_SECONDS, Rule,
    SLOW_START_INITIAL_SHARE, SLOW_START_SECONDS,
};
use super::rule_checker::RuleChecker;
use super::{Options, Seconds};
use crate::director_process::{NodeModel, director_config, spawn_director};
use crate::ports::ReservedPort;
use crate::process::{ChildProcess, TrialError, io_error};
use crate::threads::lock;

#[cfg(test)]
mod tests;

/// How long clients still open connections after the director was asked to stop.
const ACCEPTS_AFTER_STOP_SECONDS: f64 = 0.4;
/// How long a platform waits for the exit of a director that was asked to stop: the longest deadline and 0.7 s.
const STOP_TIMEOUT_SECONDS: f64 = MAX_BUDGET_SECONDS + 0.7;
/// How long after a pause requests are still exempt from the deadline.
const PAUSE_TOLERANCE_SECONDS: f64 = 0.2;
/// A new process is sent no signal for this long: it can't handle one before its own code runs.
const SIGNAL_HANDLERS_READY_SECONDS: f64 = 0.2;
/// How long before the recorded start of a fault, and how long after its end, connections may break because of the fault.
const BREAKING_MARGIN_BEFORE_SECONDS: f64 = 0.1;
const BREAKING_MARGIN_AFTER_SECONDS: f64 = 0.3;
/// A request that was written at most this long after an exempt span is also exempt.
const EXEMPT_MARGIN_SECONDS: f64 = 0.1;
const EXIT_POLL: Duration = Duration::from_millis(5);
/// The transfer rate of one response of a node.
const STREAM_KB_PER_S: f64 = 4_000.0;

/// A span of time, in seconds since the soak began; the end is infinite until it is known.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Seconds,
    to: Seconds,
}

#[derive(Default)]
struct DirectorState {
    process: Option<ChildProcess>,
    /// When the director was asked to stop, if it was.
    stopping_since: Option<Seconds>,
    /// The spans in which the director was paused by SIGSTOP.
    pauses: Vec<Span>,
    /// The spans in which requests are exempt from the deadline because the director was killed or paused.
    exempt: Vec<Span>,
    /// The spans in which connections of the director may break because of a fault.
    breaking: Vec<Span>,
    /// The index of the discovery address that the director uses.
    discovery_address: usize,
    started_at: Seconds,
}

pub(crate) struct Director {
    pub(crate) number: usize,
    /// The address on which the director listens.
    pub(crate) address: SocketAddr,
    config: PathBuf,
    /// Locked while the configuration is written, so that a slow thread does not replace it by one with fewer events.
    configuring: Mutex<()>,
    pub(crate) log: PathBuf,
    /// The file with the director's rules for the fault library.
    fault_rules: PathBuf,
    /// The file in which the fault library logs what the director sends.
    pub(crate) send_log: PathBuf,
    _port: ReservedPort,
    checker: Arc<RuleChecker>,
    state: Mutex<DirectorState>,
}

impl Director {
    pub(crate) fn new(
        number: usize,
        port: ReservedPort,
        folder: &Path,
        checker: &Arc<RuleChecker>,
    ) -> Director {
        let file = |extension: &str| folder.join(format!("director-{number}.{extension}"));
        Director {
            number,
            address: port.address,
            _port: port,
            config: file("json"),
            configuring: Mutex::default(),
            log: file("log"),
            fault_rules: file("plan"),
            send_log: file("sends"),
            checker: Arc::clone(checker),
            state: Mutex::default(),
        }
    }

    /// Writes the director's configuration with all events so far, and returns their number.
    fn configure(&self, options: &Options, discovery: &Discovery) -> Result<usize, TrialError> {
        let _guard = lock(&self.configuring);
        let model = NodeModel {
            slow_start_initial_share: SLOW_START_INITIAL_SHARE,
            slow_start_us: (SLOW_START_SECONDS * 1e6) as u64,
            collapse_multiple: COLLAPSE_MULTIPLE,
            stream_kb_per_s: STREAM_KB_PER_S,
        };
        let feed = discovery.addresses[self.number][lock(&self.state).discovery_address];
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(self.checker.now() as u64) >> 1;
        let mut config =
            director_config(self.number, options.directors, seed, self.address, (feed, &[]), &model);
        let known = discovery.known_events();
        config["known"] = json!({"n": known.len(), "events": known});
        config["settings"]["ceilings"]["dialTimeoutUs"] = json!(1_500_000);
        config["limits"]["sockets"] = json!(256);
        set_classes(&mut config);
        discovery.note_configured(self.number, known.len());
        // The file is replaced atomically because a reload may read it at any time.
        let new = self.config.with_extension("new");
        std::fs::write(&new, config.to_string()).map_err(io_error(new.display().to_string()))?;
        std::fs::rename(&new, &self.config).map_err(io_error(self.config.display().to_string()))?;
        Ok(known.len())
    }

    /// Starts the process; `program` returns the director's command without environment variables.
    pub(crate) fn start(
        &self,
        options: &Options,
        program: &dyn Fn() -> Command,
        discovery: &Discovery,
    ) -> Result<(), TrialError> {
        let known_events = self.configure(options, discovery)?;
        let command = || {
            let mut command = program();
            if let Some(library) = &options.fault_library {
                command.env("LD_PRELOAD", library);
                command.env("SABLECROSS_FAULTS", &self.fault_rules);
                command.env("SABLECROSS_SEND_LOG", &self.send_log);
            }
            command.env("RUST_LOG", "info");
            command
        };
        let process = spawn_director(&command, &self.config, &self.log, None)?;
        discovery.note_known_at_start(self.number, known_events);
        let mut state = lock(&self.state);
        state.process = Some(process);
        state.started_at = self.checker.now();
        state.stopping_since = None;
        Ok(())
    }

    /// Replaces the rules of the fault library for this director.
    pub(crate) fn set_fault_rules(&self, rules: &str) {
        let new = self.fault_rules.with_extension("plan-new");
        // Rules that can't be written cause no fault; the report counts the fault nevertheless.
        let _ = std::fs::write(&new, rules).and_then(|()| std::fs::rename(&new, &self.fault_rules));
    }

    /// Records that connections of the director may break for this many seconds.
    pub(crate) fn expect_broken_connections(&self, seconds: f64) {
        let now = self.checker.now();
        let span = Span {
            from: now - BREAKING_MARGIN_BEFORE_SECONDS,
            to: now + seconds + BREAKING_MARGIN_AFTER_SECONDS,
        };
        lock(&self.state).breaking.push(span);
    }

    /// Sends a signal, unless the process is too new to handle one.
    pub(crate) fn signal(&self, signal: Signal) {
        let state = lock(&self.state);
        if let Some(process) = state
            .process
            .as_ref()
            .filter(|_| self.checker.now() > state.started_at + SIGNAL_HANDLERS_READY_SECONDS)
        {
            process.signal(signal);
        }
    }

    /// Makes the director reload a configuration with the other discovery address.
    pub(crate) fn move_discovery(&self, options: &Options, discovery: &Discovery) -> Result<(), TrialError> {
        {
            let mut state = lock(&self.state);
            state.discovery_address = 1 - state.discovery_address;
        }
        self.configure(options, discovery)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Kills the director if it runs. Its requests are exempt from the deadline until `end_exemption`.
    pub(crate) fn kill(&self) {
        let now = self.checker.now();
        let mut state = lock(&self.state);
        if let Some(mut process) = state.process.take() {
            let _ = process.kill();
        }
        state.exempt.push(Span { from: now, to: Seconds::INFINITY });
    }

    /// Ends the exemption after a kill: the director runs again.
    pub(crate) fn end_exemption(&self) {
        let now = self.checker.now();
        let mut state = lock(&self.state);
        state.exempt.iter_mut().filter(|span| span.to.is_infinite()).for_each(|span| span.to = now);
    }

    /// Pauses the director by SIGSTOP for this many seconds.
    pub(crate) fn pause(&self, seconds: f64) {
        let now = self.checker.now();
        {
            let mut state = lock(&self.state);
            state.exempt.push(Span { from: now, to: now + seconds + PAUSE_TOLERANCE_SECONDS });
            state.pauses.push(Span { from: now, to: now + seconds });
        }
        self.signal(Signal::STOP);
        std::thread::sleep(Duration::from_secs_f64(seconds));
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM to the director, also if it was asked to stop before. Clients still connect for a short time, and
    /// use their open connections until the director ends them.
    pub(crate) fn terminate(&self) {
        let started_at = lock(&self.state).started_at;
        let too_early = started_at + SIGNAL_HANDLERS_READY_SECONDS + 0.01 - self.checker.now();
        if too_early > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(too_early));
        }
        let now = self.checker.now();
        lock(&self.state).stopping_since.get_or_insert(now);
        self.signal(Signal::TERM);
    }

    /// Waits for the exit until the earliest time at which a platform would kill the director; time for which it was
    /// paused does not count. An unsuccessful exit, or none, is a crash. Requests that it had accepted and did not
    /// answer are lost.
    pub(crate) fn wait_for_exit(&self) {
        let since = self.stopping_since();
        while self.checker.now() < self.kill_due_at() {
            let exited = lock(&self.state).process.as_mut().map(|process| process.0.try_wait());
            match exited {
                None => return,
                Some(Ok(Some(status))) => {
                    lock(&self.state).process = None;
                    if !status.success() {
                        let detail = format!("director {}: {status}", self.number);
                        self.checker.record_violation(Rule::Crash, detail);
                    }
                    return;
                }
                Some(_) => std::thread::sleep(EXIT_POLL),
            }
        }
        let detail = format!("director {} did not exit when it was asked to", self.number);
        self.checker.record_observed(Rule::Crash, since, detail);
        // Dropping the process kills it.
        lock(&self.state).process = None;
    }

    /// Returns when the director was asked to stop; now if it was not.
    fn stopping_since(&self) -> Seconds {
        lock(&self.state).stopping_since.unwrap_or_else(|| self.checker.now())
    }

    /// Returns when a platform would kill a director that was asked to stop.
    fn kill_due_at(&self) -> Seconds {
        let since = self.stopping_since();
        let state = lock(&self.state);
        let paused: f64 = state.pauses.iter().map(|span| (span.to - span.from.max(since)).max(0.0)).sum();
        since + STOP_TIMEOUT_SECONDS + paused
    }

    /// Whether the director has exited by itself.
    pub(crate) fn has_crashed(&self) -> bool {
        lock(&self.state).process.as_mut().is_some_and(ChildProcess::has_exited)
    }

    /// Whether clients open connections to the director.
    pub(crate) fn accepts_connections(&self) -> bool {
        let state = lock(&self.state);
        let is_early = |since| self.checker.now() < since + ACCEPTS_AFTER_STOP_SECONDS;
        state.process.is_some() && state.stopping_since.is_none_or(is_early)
    }

    /// Whether the director was asked to stop and has not been started again.
    pub(crate) fn is_stopping(&self) -> bool {
        lock(&self.state).stopping_since.is_some()
    }

    /// Whether a request that was written at this time is exempt from the deadline.
    pub(crate) fn is_exempt(&self, written_at: Seconds, budget: f64) -> bool {
        let lost_at = written_at + budget + LOST_AFTER_SECONDS;
        let overlaps = |span: &Span| span.from < lost_at && span.to > written_at - EXEMPT_MARGIN_SECONDS;
        lock(&self.state).exempt.iter().any(overlaps)
    }

    /// Whether connections of the director may break now because of a fault.
    pub(crate) fn may_break_connections(&self) -> bool {
        let now = self.checker.now();
        lock(&self.state).breaking.iter().any(|span| (span.from..span.to).contains(&now))
    }
}

/// Sets the request classes in a configuration.
fn set_classes(config: &mut Value) {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "memorySpanUs": (DEDUPLICATION_WINDOW_SECONDS * 1e6) as u64,
            "aimUs": 300_000, "aimStretch": 1.6, "deadlineUs": (MAX_BUDGET_SECONDS * 1e6) as u64, "worth": 2.0})
    };
    let effects = ["idempotent", "deduplicated", "at_most_once"];
    let classes: Vec<Value> =
        CLASSES.iter().zip(effects).map(|((name, _), effect)| class(name, effect)).collect();
    let settings = &mut config["settings"];
    settings["classes"] = json!(classes);
    for key in ["freshForUs", "usableAfterUs"] {
        settings["extra"][key] = json!([0, 0, 0]);
    }
    for key in ["multiPart", "neverKept"] {
        settings["extra"][key] = json!([false, false, false]);
    }
}
