//! Injects the planned faults into directors, nodes and discovery.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use super::Seconds;
use super::capacity::{CACHE_CAPACITY, Capacity};
use super::director::Director;
use super::discovery::Notification;
use super::fault_plan::{Fault, breaks_connections, plan_faults};
use super::invariants::{DRAIN_GRACE_SECONDS, Rule};
use super::run::Soak;
use crate::clock::unix_ms;
use crate::process::TrialError;
use crate::threads::lock;

/// How long a node is listed as draining before it is removed and its successor is listed.
const DRAIN_SECONDS: f64 = 2.5;
const CLOCK_STEP_DURATION: Duration = Duration::from_millis(1_500);
/// The last fields of a rule of the fault library: its time span, which is the whole lifetime of the process (0 and
/// 1,000,000,000 ms), and its probability in percent.
const WHOLE_LIFETIME_80_PERCENT: &str = "0 1000000000 80";

/// How a director is stopped before it is started again.
#[derive(Clone, Copy, PartialEq)]
enum StopMethod {
    Terminate,
    Kill,
}

impl Soak<'_> {
    /// Injects the faults at their times until `end`, each on its own thread. A lock in `restarts` for each director
    /// keeps its restarts from overlapping. Returns when all faults are over.
    pub(super) fn inject_faults(&self, end: Seconds, restarts: &[Mutex<()>]) {
        thread::scope(|scope| {
            for scheduled in plan_faults(self.options) {
                self.sleep_until(scheduled.at);
                if self.checker.now() > end {
                    return;
                }
                let fault = scheduled.fault;
                scope.spawn(move || {
                    let _guard = restarted_director(&fault).map(|director| lock(&restarts[director]));
                    let record = self.faults.begin(self.checker.now(), format!("{fault:?}"));
                    if let Err(e) = self.inject(&fault) {
                        self.checker.record_violation(Rule::Crash, format!("{fault:?}: {e}"));
                    }
                    self.faults.end(self.checker.now(), record);
                });
            }
        });
    }

    fn inject(&self, fault: &Fault) -> Result<(), TrialError> {
        match *fault {
            Fault::Restart { director } => self.restart(&self.directors[director], StopMethod::Terminate, ""),
            Fault::Kill { director } => self.restart(&self.directors[director], StopMethod::Kill, ""),
            Fault::KillWithClockOffset { director, offset_ms } => {
                let rules = format!("clock 0 {offset_ms}\nclock 2000 0");
                self.restart(&self.directors[director], StopMethod::Kill, &rules);
            }
            Fault::Pause { director, seconds } => self.directors[director].pause(seconds),
            Fault::Reload { director } => {
                self.directors[director].move_discovery(self.options, &self.discovery)?
            }
            Fault::SystemCalls { director, rule, seconds } => {
                fail_system_calls(&self.directors[director], rule, seconds);
            }
            Fault::ClockStep { director, offset_ms } => step_clock(&self.directors[director], offset_ms),
            Fault::DiscoveryOutage { seconds } => self.discovery.start_outage(seconds),
            Fault::DiscoverySilence { seconds } => self.discovery.start_silence(seconds),
            Fault::Purge { object } => self.purge(object),
            Fault::ReplaceNode { place } => self.replace_node(place)?,
            Fault::Misbehave { place, behavior, seconds } => {
                if let Some(node) = self.node_at(place) {
                    node.misbehave(behavior, seconds);
                }
            }
            Fault::DelayConnections { place, seconds } => {
                if let Some(node) = self.node_at(place) {
                    node.delay_connections(seconds);
                }
            }
            Fault::DropConnections { place, by_reset } => {
                if let Some(node) = self.node_at(place) {
                    node.drop_connections(by_reset);
                }
            }
        }
        Ok(())
    }

    /// Stops a director and starts it again with these rules of the fault library.
    fn restart(&self, director: &Director, stop: StopMethod, fault_rules: &str) {
        match stop {
            StopMethod::Terminate => {
                director.terminate();
                director.wait_for_exit();
                director.set_fault_rules(fault_rules);
                self.start_or_report(director);
            }
            StopMethod::Kill => {
                director.kill();
                director.set_fault_rules(fault_rules);
                self.start_or_report(director);
                director.end_exemption();
            }
        }
    }

    /// Starts a stopped director; records a violation if it does not start.
    pub(super) fn start_or_report(&self, director: &Director) {
        let since = self.checker.now();
        if let Err(e) = self.start_director(director) {
            self.checker.record_observed(Rule::Crash, since, e.to_string());
        }
    }

    fn purge(&self, object: u64) {
        let made_ms = unix_ms();
        let fields = format!("\"purge\":{{\"key\":\"{object:016x}\",\"at\":{made_ms}}}");
        self.discovery.publish(&fields, Some(Notification::Purge { object, made_ms }));
    }

    /// Drains the node at this place and replaces it with a cold one.
    fn replace_node(&self, place: usize) -> Result<(), TrialError> {
        let Some(old) = self.node_at(place) else { return Ok(()) };
        self.announce(&old, "draining", 0);
        thread::sleep(Duration::from_secs_f64(DRAIN_SECONDS));
        self.announce(&old, "gone", 0);
        let number = lock(&self.nodes_by_number).len();
        let since = self.checker.now();
        let capacity = Capacity { warm: CACHE_CAPACITY, cold_since: Some(since) };
        let new = self.add_node(&format!("cache-{number}"), "small", Some(capacity))?;
        self.checker.on_cold_start(new.number, since, CACHE_CAPACITY);
        lock(&self.places)[place] = new.number;
        self.announce(&new, "ready", unix_ms());
        thread::sleep(Duration::from_secs_f64(DRAIN_GRACE_SECONDS));
        old.drop_connections(false);
        Ok(())
    }
}

/// Returns the director that a fault restarts, if any.
fn restarted_director(fault: &Fault) -> Option<usize> {
    match *fault {
        Fault::Restart { director }
        | Fault::Kill { director }
        | Fault::KillWithClockOffset { director, .. } => Some(director),
        _ => None,
    }
}

fn fail_system_calls(director: &Director, rule: &str, seconds: f64) {
    if breaks_connections(rule) {
        director.expect_broken_connections(seconds);
    }
    director.set_fault_rules(&format!("{rule} {WHOLE_LIFETIME_80_PERCENT}"));
    thread::sleep(Duration::from_secs_f64(seconds));
    director.set_fault_rules("");
}

fn step_clock(director: &Director, offset_ms: i64) {
    director.set_fault_rules(&format!("clock 0 {offset_ms}"));
    thread::sleep(CLOCK_STEP_DURATION);
    director.set_fault_rules("");
}
