//! Checks the invariants as clients, discovery and nodes report what they see.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

use rustix::time::{ClockId, clock_gettime};

use super::Seconds;
use super::invariants::{
    CLIENT_GONE_TOLERANCE, COLLAPSE_MULTIPLE, DEDUPLICATION_WINDOW, DRAIN_GRACE, Effect, LOST_AFTER,
    OBSERVER_TOLERANCE, PURGE_GRACE, Rule, SLOW_START_INITIAL_SHARE, SLOW_START_WINDOW, Violation,
    WAIT_TOLERANCE,
};
use super::send_log::SendLog;
use crate::threads::lock;

#[cfg(test)]
mod tests;

/// A request, as its client sent it, and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The director that was asked.
    pub(crate) director: usize,
    pub(crate) effect: Effect,
    pub(crate) object: u64,
    /// When its last byte was about to be written.
    pub(crate) written_at: Seconds,
    /// When its last byte was known to be written; none until then.
    pub(crate) written_by: Option<Seconds>,
    /// How many seconds its client waits from then.
    pub(crate) budget: f64,
    /// When its client closed or cancelled.
    pub(crate) client_gone_at: Option<Seconds>,
    pub(crate) answered: bool,
    /// When each attempt of it was executed.
    executed_at: Vec<Seconds>,
    /// Its attempts whose time of sending is known, as nodes read them.
    sent: Vec<SentAttempt>,
}

impl Request {
    /// Its director, and when its attempts were sent, as far as that is known.
    fn describe_sent(&self) -> String {
        let sent = self.sent.iter().map(|attempt| format!(" {:.3}", attempt.sent_at));
        format!(": director {}, sent at{}", self.director, sent.collect::<String>())
    }
}

/// An attempt whose time of sending is known.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    /// The port of the director's end of its connection.
    port: u16,
    sent_at: Seconds,
    /// When its node proved that it never ran.
    not_run_at: Option<Seconds>,
}

/// A connection of a director to a node, as the node sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeLink {
    /// The port of the director's end.
    pub(crate) port: u16,
    pub(crate) accepted_at: Seconds,
}

/// An attempt as its node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: u64,
    /// The number of the node.
    pub(crate) node: usize,
    /// The number of the node that it is to fill from.
    pub(crate) source: Option<usize>,
    /// The time that the node was told.
    pub(crate) wait_ms: u64,
    /// Its bytes may have lain unread at the node for a while.
    pub(crate) read_late: bool,
    /// The connection on which it came.
    pub(crate) link: NodeLink,
    /// When its first byte was about to be written, if that is known.
    pub(crate) sent_at: Option<Seconds>,
}

impl Attempt {
    /// When it was begun; none if that is not known and its bytes may have come at any time.
    fn begun_at(&self, read_at: Seconds) -> Option<Seconds> {
        self.sent_at.or((!self.read_late).then_some(read_at))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Attempt { node, link, .. } = self;
        write!(f, "node {node}, connection {} accepted at {:.3}, ", link.port, link.accepted_at)?;
        match self.sent_at {
            Some(sent_at) => write!(f, "sent at {sent_at:.3}"),
            None => write!(f, "time of sending unknown"),
        }
    }
}

/// A purge of which a director was notified.
#[derive(Clone, Copy, Debug)]
struct NotifiedPurge {
    notified_at: Seconds,
    made_ms: u64,
}

/// Of what one director was notified.
#[derive(Clone, Debug, Default)]
struct DirectorView {
    /// When it was notified of each node that drains or has gone.
    drained: HashMap<usize, Seconds>,
    /// The newest purge of each object.
    purged: HashMap<u64, NotifiedPurge>,
}

/// A node in slow start.
#[derive(Clone, Debug, Default)]
struct ColdNode {
    since: Seconds,
    capacity: f64,
    calls: Vec<Seconds>,
    reported: bool,
}

/// A fault and the time for which it was in force.
#[derive(Clone, Debug)]
pub struct FaultSpan {
    /// What was done.
    pub what: String,
    /// From when on, in seconds since the soak began.
    pub from: Seconds,
    /// Until when; infinite until its end.
    pub to: Seconds,
}

/// A violation before its time is noted.
struct Finding {
    rule: Rule,
    detail: String,
}

#[derive(Default)]
struct JudgeState {
    requests: HashMap<u64, Request>,
    directors: HashMap<usize, DirectorView>,
    cold_nodes: HashMap<usize, ColdNode>,
    violations: Vec<Violation>,
    counts: BTreeMap<&'static str, u64>,
    faults: Vec<FaultSpan>,
}

/// Keeps what was seen, and the violations that were found.
pub(crate) struct Judge {
    started: Instant,
    /// The same in nanoseconds of the monotonic clock, which all processes share.
    started_ns: u64,
    state: Mutex<JudgeState>,
    /// The send logs of the directors, where the fault library keeps them.
    send_logs: Mutex<Vec<SendLog>>,
}

/// The monotonic clock of the machine, in nanoseconds.
fn monotonic_ns() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

impl Judge {
    pub(crate) fn new() -> Judge {
        Judge {
            started: Instant::now(),
            started_ns: monotonic_ns(),
            state: Mutex::default(),
            send_logs: Mutex::default(),
        }
    }

    /// Reads from these files, one for each director, when attempts were sent.
    pub(crate) fn read_send_logs(&self, files: impl Iterator<Item = PathBuf>) {
        *lock(&self.send_logs) = files.map(SendLog::new).collect();
    }

    /// When an attempt was sent that came on a connection with this port at the director's end, if that is known.
    pub(crate) fn sent_at(&self, request: u64, port: u16) -> Option<Seconds> {
        let director = lock(&self.state).requests.get(&request)?.director;
        let sent_ns = lock(&self.send_logs).get_mut(director)?.sent_ns(request, port)?;
        Some(self.seconds(sent_ns))
    }

    /// When a director shut a connection that began at `since` with this port at its client's end, if it did.
    pub(crate) fn shut_at(&self, director: usize, port: u16, since: Seconds) -> Option<Seconds> {
        let shut_ns = lock(&self.send_logs).get_mut(director)?.shut_ns(port)?;
        Some(self.seconds(shut_ns)).filter(|at| *at > since)
    }

    fn seconds(&self, monotonic_ns: u64) -> Seconds {
        (monotonic_ns as f64 - self.started_ns as f64) / 1e9
    }

    /// Seconds since the soak began.
    pub(crate) fn now(&self) -> Seconds {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds one to a counter of the report.
    pub(crate) fn count(&self, counter: &'static str) {
        lock(&self.state).count(counter);
    }

    pub(crate) fn record_violation(&self, rule: Rule, detail: String) {
        let at = self.now();
        lock(&self.state).violations.push(Violation { rule, at, detail });
    }

    /// A fault is about to be injected. Returns its number.
    pub(crate) fn on_fault_begin(&self, what: String) -> usize {
        let from = self.now();
        let mut state = lock(&self.state);
        state.faults.push(FaultSpan { what, from, to: Seconds::INFINITY });
        state.faults.len() - 1
    }

    /// A fault is over.
    pub(crate) fn on_fault_end(&self, number: usize) {
        let now = self.now();
        if let Some(fault) = lock(&self.state).faults.get_mut(number) {
            fault.to = now;
        }
    }

    /// All faults up to now.
    pub(crate) fn faults(&self) -> Vec<FaultSpan> {
        lock(&self.state).faults.clone()
    }

    /// Takes out what was found and counted.
    pub(crate) fn finish(&self) -> (Vec<Violation>, BTreeMap<&'static str, u64>) {
        let mut state = lock(&self.state);
        (std::mem::take(&mut state.violations), std::mem::take(&mut state.counts))
    }

    // ---- reports of clients ----

    /// A request is about to be written to its end.
    pub(crate) fn on_request(&self, id: u64, director: usize, effect: Effect, object: u64, budget: f64) {
        let written_at = self.now();
        let request = Request {
            director,
            effect,
            object,
            written_at,
            written_by: None,
            budget,
            client_gone_at: None,
            answered: false,
            executed_at: Vec::new(),
            sent: Vec::new(),
        };
        let mut state = lock(&self.state);
        state.requests.insert(id, request);
        state.count("requests");
    }

    /// The last byte of a request that came in pieces is about to be written.
    pub(crate) fn on_request_written(&self, id: u64) {
        let now = self.now();
        if let Some(request) = lock(&self.state).requests.get_mut(&id) {
            request.written_at = now;
        }
    }

    /// The last byte of a request has been written.
    pub(crate) fn on_request_sent(&self, id: u64) {
        let now = self.now();
        if let Some(request) = lock(&self.state).requests.get_mut(&id) {
            request.written_by = Some(now);
        }
    }

    /// The client of a request has closed its connection or cancelled the request.
    pub(crate) fn on_client_gone(&self, id: u64) {
        let now = self.now();
        if let Some(request) = lock(&self.state).requests.get_mut(&id) {
            request.client_gone_at.get_or_insert(now);
        }
    }

    pub(crate) fn request(&self, id: u64) -> Option<Request> {
        lock(&self.state).requests.get(&id).cloned()
    }

    /// An answer has come, with the object that its bytes name if it succeeded.
    pub(crate) fn on_answer(&self, id: u64, object: Option<u64>) {
        let now = self.now();
        let (is_second, is_late, is_wrong) = {
            let mut state = lock(&self.state);
            state.count("answers");
            let Some(request) = state.requests.get_mut(&id) else { return };
            let is_second = std::mem::replace(&mut request.answered, true);
            let is_late = now > request.written_at + request.budget + LOST_AFTER + OBSERVER_TOLERANCE;
            let is_wrong = object.is_some_and(|object| object != request.object);
            (is_second, is_late, is_wrong)
        };
        if is_second {
            self.record_violation(Rule::Stray, format!("request {id:016x} has a second answer"));
        }
        if is_wrong {
            let detail = format!("request {id:016x} has the bytes of {object:x?}");
            self.record_violation(Rule::WrongBytes, detail);
        }
        if is_late {
            self.count("answers long after their deadline");
        }
    }

    // ---- notifications of directors ----

    /// The director knows now that a node drains or has gone.
    pub(crate) fn on_notified_drained(&self, director: usize, node: usize) {
        let now = self.now();
        let mut state = lock(&self.state);
        state.directors.entry(director).or_default().drained.entry(node).or_insert(now);
    }

    /// The director knows now that a node serves.
    pub(crate) fn on_notified_ready(&self, director: usize, node: usize) {
        let mut state = lock(&self.state);
        state.directors.entry(director).or_default().drained.remove(&node);
    }

    /// The director knows now of a purge that was made at this Unix time.
    pub(crate) fn on_notified_purge(&self, director: usize, object: u64, made_ms: u64) {
        let purge = NotifiedPurge { notified_at: self.now(), made_ms };
        let mut state = lock(&self.state);
        let newest = state.directors.entry(director).or_default().purged.entry(object).or_insert(purge);
        if made_ms > newest.made_ms {
            *newest = purge;
        }
    }

    // ---- reports of nodes ----

    /// A node begins its slow start; `capacity` is in requests a second.
    pub(crate) fn on_cold_start(&self, node: usize, capacity: f64) {
        let since = self.now();
        let cold = ColdNode { since, capacity, ..ColdNode::default() };
        lock(&self.state).cold_nodes.insert(node, cold);
    }

    /// An attempt has come to a node.
    pub(crate) fn on_attempt(&self, attempt: &Attempt) {
        let now = self.now();
        let findings = lock(&self.state).check_attempt(attempt, now);
        for Finding { rule, detail } in findings {
            self.record_violation(rule, detail);
        }
    }

    /// A node has proven that an attempt, which came on this connection, never ran.
    pub(crate) fn on_not_run(&self, id: u64, port: u16) {
        let now = self.now();
        let mut state = lock(&self.state);
        let attempts = state.requests.get_mut(&id).map(|request| request.sent.iter_mut());
        if let Some(attempt) = attempts.and_then(|mut sent| sent.find(|attempt| attempt.port == port)) {
            attempt.not_run_at.get_or_insert(now);
        }
    }

    /// An attempt was executed by a node. Nodes recognize repeats within the deduplication window, so only a repeat
    /// that they have forgotten, or one that was never allowed, runs the effect twice.
    pub(crate) fn on_executed(&self, id: u64) {
        let now = self.now();
        let (effect, earlier) = {
            let mut state = lock(&self.state);
            let Some(request) = state.requests.get_mut(&id) else { return };
            let earlier = request.executed_at.first().copied();
            request.executed_at.push(now);
            (request.effect, earlier)
        };
        let Some(first) = earlier else { return };
        let runs_twice = match effect {
            Effect::Idempotent => false,
            Effect::AtMostOnce => true,
            Effect::Deduplicated => now > first + DEDUPLICATION_WINDOW + OBSERVER_TOLERANCE,
        };
        if runs_twice {
            let request = self.request(id);
            let sent = request.map(|request| request.describe_sent()).unwrap_or_default();
            let detail = format!("request {id:016x} ran at {first:.3} and now{sent}");
            self.record_violation(Rule::EffectTwice, detail);
        }
    }

    /// A copy that was made at `issued_ms` (Unix time) was served for an attempt that came at `received_at`.
    pub(crate) fn on_served(&self, id: u64, received_at: Seconds, issued_ms: u64) {
        let violated = {
            let state = lock(&self.state);
            let Some(request) = state.requests.get(&id) else { return };
            let view = state.directors.get(&request.director);
            let purge = view.and_then(|view| view.purged.get(&request.object)).copied();
            purge.filter(|purge| {
                issued_ms < purge.made_ms
                    && received_at > purge.notified_at + PURGE_GRACE + OBSERVER_TOLERANCE
            })
        };
        if let Some(NotifiedPurge { notified_at, made_ms }) = violated {
            let older = made_ms - issued_ms;
            let detail = format!(
                "request {id:016x}: a copy {older} ms older than a purge, notified at {notified_at:.3}"
            );
            self.record_violation(Rule::Purged, detail);
        }
    }
}

impl JudgeState {
    fn count(&mut self, counter: &'static str) {
        *self.counts.entry(counter).or_default() += 1;
    }

    fn check_attempt(&mut self, attempt: &Attempt, now: Seconds) -> Vec<Finding> {
        let mut findings = Vec::new();
        self.count("attempts");
        findings.extend(self.check_slow_start(attempt.node, now));
        match self.requests.get(&attempt.request) {
            None => {
                let detail = format!("request {:016x}", attempt.request);
                findings.push(Finding { rule: Rule::Unknown, detail });
            }
            Some(request) => {
                if let Some(begun_at) = attempt.begun_at(now) {
                    findings.extend(check_wait(request, attempt, begun_at));
                    findings.extend(check_client_present(request, attempt, begun_at));
                    let nodes = [Some(attempt.node), attempt.source].into_iter().flatten();
                    let drained = |node| self.check_drained(request, attempt, node, begun_at);
                    findings.extend(nodes.filter_map(drained));
                }
            }
        }
        findings.extend(self.check_repeat(attempt));
        findings
    }

    /// That no attempt was sent that could run an effect once more, by what the director could know then. Notes the
    /// attempt.
    fn check_repeat(&mut self, attempt: &Attempt) -> Option<Finding> {
        let sent_at = attempt.sent_at?;
        let request = self.requests.get_mut(&attempt.request)?;
        let own = SentAttempt { port: attempt.link.port, sent_at, not_run_at: None };
        // A node that stands still reads late, so that a later attempt may be known already.
        let repeats = |other: &SentAttempt| {
            let (first, second) = if other.sent_at < sent_at { (*other, own) } else { (own, *other) };
            let is_proven = first.not_run_at.is_some_and(|at| at <= second.sent_at);
            !is_proven && request.effect.is_repeated(second.sent_at - first.sent_at)
        };
        let repeated = request.sent.iter().copied().find(repeats);
        request.sent.push(own);
        let other = repeated?;
        let detail = format!(
            "request {:016x} at director {}: sent at {:.3} and again: {attempt}",
            attempt.request, request.director, other.sent_at
        );
        Some(Finding { rule: Rule::EffectTwice, detail })
    }

    /// Calls to a cold node in the last second, against what slow start allows.
    fn check_slow_start(&mut self, node: usize, now: Seconds) -> Option<Finding> {
        let cold = self.cold_nodes.get_mut(&node)?;
        let age = now - cold.since;
        if age > SLOW_START_WINDOW {
            return None;
        }
        cold.calls.push(now);
        let calls = cold.calls.iter().filter(|at| **at > now - 1.0).count() as f64;
        let share = SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * age / SLOW_START_WINDOW;
        let allowed = COLLAPSE_MULTIPLE * share * cold.capacity;
        // Small counts scatter more.
        let deviations = if allowed < 30.0 { 3.0 } else { 2.0 };
        if calls <= allowed + deviations * allowed.sqrt() + deviations || cold.reported {
            return None;
        }
        cold.reported = true;
        let detail = format!("node {node}: {calls} calls in a second, {allowed:.1} allowed");
        Some(Finding { rule: Rule::SlowStart, detail })
    }

    /// That the director did not know for longer than the grace that this node drains.
    fn check_drained(
        &self,
        request: &Request,
        attempt: &Attempt,
        node: usize,
        now: Seconds,
    ) -> Option<Finding> {
        let notified_at = self.directors.get(&request.director)?.drained.get(&node)?;
        if now <= notified_at + DRAIN_GRACE + OBSERVER_TOLERANCE {
            return None;
        }
        let detail = format!(
            "request {:016x} at director {} to node {node}, notified at {notified_at:.3}: {attempt}",
            attempt.request, request.director
        );
        Some(Finding { rule: Rule::Drained, detail })
    }
}

/// That the node was told no longer wait than the client has left.
fn check_wait(request: &Request, attempt: &Attempt, now: Seconds) -> Option<Finding> {
    let left = request.written_at + request.budget - now;
    let wait = attempt.wait_ms as f64 / 1_000.0;
    if wait <= left.max(0.0) + WAIT_TOLERANCE + OBSERVER_TOLERANCE {
        return None;
    }
    let detail = format!(
        "request {:016x} at director {}: {wait:.3} s of {left:.3} s left, written from {:.3} to {:.3}: {attempt}",
        attempt.request,
        request.director,
        request.written_at,
        request.written_by.unwrap_or(now)
    );
    Some(Finding { rule: Rule::WaitTooLong, detail })
}

/// That the client has not been gone for longer than the bound.
fn check_client_present(request: &Request, attempt: &Attempt, now: Seconds) -> Option<Finding> {
    let gone_at = request.client_gone_at?;
    if now <= gone_at + CLIENT_GONE_TOLERANCE + OBSERVER_TOLERANCE {
        return None;
    }
    let late = now - gone_at;
    let detail = format!(
        "request {:016x} at director {}: {late:.3} s after its client had gone: {attempt}",
        attempt.request, request.director
    );
    Some(Finding { rule: Rule::ClientGone, detail })
}
