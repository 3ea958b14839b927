//! Checks the invariants against what clients, discovery and nodes report.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};

use rustix::time::{ClockId, clock_gettime};

use super::Seconds;
use super::evidence::{Evidence, TimeSpan};
use super::invariants::{
    DEDUPLICATION_WINDOW_SECONDS, Effect, LOST_AFTER_SECONDS, OBSERVER_TOLERANCE_SECONDS,
    PURGE_GRACE_SECONDS, Rule, Violation,
};
use super::lateness::Delays;
use super::send_log::{LinkPorts, SendLog};
use crate::threads::lock;

mod attempt;
mod checks;
mod slow_start;
#[cfg(test)]
mod tests;

pub(crate) use attempt::{Attempt, NodeLink};
pub use slow_start::NearestColdNode;

use attempt::SentAttempt;
use checks::Finding;
use slow_start::ColdNode;

/// A request as its client sent it, and its progress.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The director that the request was sent to.
    pub(crate) director: usize,
    pub(crate) effect: Effect,
    pub(crate) object: u64,
    /// When the client was about to write the last byte.
    pub(crate) written_at: Seconds,
    /// When the client had written the last byte; none until then.
    pub(crate) written_by: Option<Seconds>,
    /// How many seconds after `written_at` the client waits for the answer.
    pub(crate) budget: f64,
    /// When the client closed its connection or cancelled the request.
    pub(crate) client_gone_at: Option<Seconds>,
    pub(crate) answered: bool,
    /// When each attempt of this request was executed.
    executed_at: Vec<Seconds>,
    /// The attempts whose send time is known, in the order in which nodes read them.
    sent: Vec<SentAttempt>,
}

impl Request {
    /// Describes the director and the known send times of the attempts, for the detail of a violation.
    fn describe_sent(&self) -> String {
        let sent = self.sent.iter().map(|attempt| format!(" {:.3}", attempt.sent_at));
        format!(": director {}, sent at{}", self.director, sent.collect::<String>())
    }
}

/// A purge of which a director was notified.
#[derive(Clone, Copy, Debug)]
struct NotifiedPurge {
    notified_at: Seconds,
    made_ms: u64,
}

/// The events of which one director was notified.
#[derive(Clone, Debug, Default)]
struct DirectorView {
    /// By node, when the director was notified that the node drains or was removed.
    drained: HashMap<usize, Seconds>,
    /// By object, the newest purge.
    purged: HashMap<u64, NotifiedPurge>,
}

/// Whether a node is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeCondition {
    Up,
    /// The node was cold, was overloaded and collapsed.
    Down,
}

#[derive(Default)]
struct CheckerState {
    requests: HashMap<u64, Request>,
    directors: HashMap<usize, DirectorView>,
    cold_nodes: HashMap<usize, ColdNode>,
    nearest_cold_node: Option<NearestColdNode>,
    violations: Vec<Violation>,
    writes: Delays,
    counts: BTreeMap<&'static str, u64>,
}

/// Collects the reports of clients, discovery and nodes, checks them, and keeps the violations.
pub(crate) struct RuleChecker {
    /// When the soak began, in nanoseconds of the monotonic clock, which is the same for all processes of the machine.
    started_ns: u64,
    state: Mutex<CheckerState>,
    /// The send logs of the directors, once [`read_send_logs`](Self::read_send_logs) has set their files. They have no
    /// entries if no fault library writes them.
    send_logs: OnceLock<Vec<Mutex<SendLog>>>,
}

/// Reads the monotonic clock of the machine, in nanoseconds.
fn monotonic_ns() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

impl RuleChecker {
    pub(crate) fn new() -> RuleChecker {
        RuleChecker { started_ns: monotonic_ns(), state: Mutex::default(), send_logs: OnceLock::new() }
    }

    /// Sets the files, one for each director, from which the send times of attempts are read.
    pub(crate) fn read_send_logs(&self, files: impl Iterator<Item = PathBuf>) {
        self.send_logs.get_or_init(|| files.map(|file| Mutex::new(SendLog::new(file))).collect());
    }

    /// Returns when the attempt that arrived on this connection was sent; none if that is not known.
    pub(crate) fn sent_at(&self, request: u64, ports: LinkPorts) -> Option<Seconds> {
        let director = lock(&self.state).requests.get(&request)?.director;
        let sent_ns = lock(self.send_logs.get()?.get(director)?).sent_ns(request, ports)?;
        Some(self.seconds(sent_ns))
    }

    /// Returns when a director shut the connection that began at `since` and has this port at its client's end; none if
    /// it did not.
    pub(crate) fn shut_at(&self, director: usize, port: u16, since: Seconds) -> Option<Seconds> {
        let shut_ns = lock(self.send_logs.get()?.get(director)?).shut_ns(port)?;
        Some(self.seconds(shut_ns)).filter(|at| *at > since)
    }

    fn seconds(&self, monotonic_ns: u64) -> Seconds {
        (monotonic_ns as f64 - self.started_ns as f64) / 1e9
    }

    /// Returns the seconds since the soak began.
    pub(crate) fn now(&self) -> Seconds {
        self.seconds(monotonic_ns())
    }

    /// Increments a counter of the report.
    pub(crate) fn count(&self, counter: &'static str) {
        lock(&self.state).count(counter);
    }

    /// Records a violation that a late thread of the soak cannot have caused (see the table in `evidence`).
    pub(crate) fn record_violation(&self, rule: Rule, detail: String) {
        self.record(Finding { rule, evidence: Evidence::Exact, detail });
    }

    /// Records a violation that rests on times which threads of the soak took between `since` and now.
    pub(crate) fn record_observed(&self, rule: Rule, since: Seconds, detail: String) {
        let evidence = Evidence::Observed(TimeSpan { from: since, to: self.now() });
        self.record(Finding { rule, evidence, detail });
    }

    fn record(&self, finding: Finding) {
        let at = self.now();
        let Finding { rule, evidence, detail } = finding;
        lock(&self.state).violations.push(Violation { rule, at, evidence, detail });
    }

    /// Returns the cold node that came closest to a collapse; none if no cold node was called.
    pub(crate) fn nearest_cold_node(&self) -> Option<NearestColdNode> {
        lock(&self.state).nearest_cold_node
    }

    /// Returns the violations and counters, and clears them.
    pub(crate) fn finish(&self) -> (Vec<Violation>, BTreeMap<&'static str, u64>) {
        let mut state = lock(&self.state);
        (std::mem::take(&mut state.violations), std::mem::take(&mut state.counts))
    }

    // ---- reports of clients ----

    /// Records that a client is about to write a request.
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

    /// Records that a client that writes a request in pieces is about to write the last byte.
    pub(crate) fn on_request_written(&self, id: u64) {
        let now = self.now();
        if let Some(request) = lock(&self.state).requests.get_mut(&id) {
            request.written_at = now;
        }
    }

    /// Records that a client has written the last byte of a request.
    pub(crate) fn on_request_sent(&self, id: u64) {
        let now = self.now();
        let mut state = lock(&self.state);
        let Some(request) = state.requests.get_mut(&id) else { return };
        request.written_by = Some(now);
        let write = TimeSpan { from: request.written_at, to: now };
        state.writes.record(write);
    }

    /// Returns how long clients took to write the last piece of each request. A write takes far longer than usual if
    /// the thread of its client was not scheduled.
    pub(crate) fn writes(&self) -> Delays {
        lock(&self.state).writes.clone()
    }

    /// Records that the client of a request has closed its connection or cancelled the request.
    pub(crate) fn on_client_gone(&self, id: u64) {
        let now = self.now();
        if let Some(request) = lock(&self.state).requests.get_mut(&id) {
            request.client_gone_at.get_or_insert(now);
        }
    }

    pub(crate) fn request(&self, id: u64) -> Option<Request> {
        lock(&self.state).requests.get(&id).cloned()
    }

    /// Records and checks an answer. `object` is the object that the body names, if the answer is a success.
    pub(crate) fn on_answer(&self, id: u64, object: Option<u64>) {
        let now = self.now();
        let (is_second, is_late, is_wrong) = {
            let mut state = lock(&self.state);
            state.count("answers");
            let Some(request) = state.requests.get_mut(&id) else { return };
            let is_second = std::mem::replace(&mut request.answered, true);
            let is_late =
                now > request.written_at + request.budget + LOST_AFTER_SECONDS + OBSERVER_TOLERANCE_SECONDS;
            let is_wrong = object.is_some_and(|object| object != request.object);
            (is_second, is_late, is_wrong)
        };
        if is_second {
            self.record_violation(Rule::Stray, format!("request {id:016x} got a second answer"));
        }
        if is_wrong {
            let detail = format!("request {id:016x} got the body of object {object:x?}");
            self.record_violation(Rule::WrongBytes, detail);
        }
        if is_late {
            self.count("answers long after their deadline");
        }
    }

    // ---- notifications of directors ----

    /// Records that the director knows from now on that a node drains or was removed.
    pub(crate) fn on_notified_drained(&self, director: usize, node: usize) {
        let now = self.now();
        let mut state = lock(&self.state);
        state.directors.entry(director).or_default().drained.entry(node).or_insert(now);
    }

    /// Records that the director knows from now on that a node is ready.
    pub(crate) fn on_notified_ready(&self, director: usize, node: usize) {
        let mut state = lock(&self.state);
        state.directors.entry(director).or_default().drained.remove(&node);
    }

    /// Records that the start of a node is about to be sent to the director.
    pub(crate) fn on_start_sent(&self, director: usize, node: usize) {
        let now = self.now();
        if let Some(cold) = lock(&self.state).cold_nodes.get_mut(&node) {
            cold.start_sent_at.entry(director).or_insert(now);
        }
    }

    /// Records that the director knows from now on of a purge that was made at this Unix time.
    pub(crate) fn on_notified_purge(&self, director: usize, object: u64, made_ms: u64) {
        let purge = NotifiedPurge { notified_at: self.now(), made_ms };
        let mut state = lock(&self.state);
        let newest = state.directors.entry(director).or_default().purged.entry(object).or_insert(purge);
        if made_ms > newest.made_ms {
            *newest = purge;
        }
    }

    // ---- reports of nodes ----

    /// Records that a node has begun its slow start. `capacity` is its capacity in calls per second once it is warm.
    pub(crate) fn on_cold_start(&self, node: usize, since: Seconds, capacity: f64) {
        let cold = ColdNode { since, capacity, ..ColdNode::default() };
        lock(&self.state).cold_nodes.insert(node, cold);
    }

    /// Records and checks an attempt that a node received. Returns the node's condition after this attempt.
    pub(crate) fn on_attempt(&self, attempt: &Attempt) -> NodeCondition {
        let now = self.now();
        let (findings, has_collapsed) = {
            let mut state = lock(&self.state);
            (state.check_attempt(attempt, now), state.has_collapsed(attempt.node))
        };
        findings.into_iter().for_each(|finding| self.record(finding));
        if has_collapsed { NodeCondition::Down } else { NodeCondition::Up }
    }

    /// Records a node's proof that the attempt on this connection was never executed.
    pub(crate) fn on_not_run(&self, id: u64, ports: LinkPorts) {
        let now = self.now();
        let mut state = lock(&self.state);
        let attempts = state.requests.get_mut(&id).map(|request| request.sent.iter_mut());
        if let Some(attempt) = attempts.and_then(|mut sent| sent.find(|attempt| attempt.ports == ports)) {
            attempt.not_run_at.get_or_insert(now);
        }
    }

    /// Records and checks the execution of an attempt. Nodes recognize repeats within the deduplication window, so the
    /// effect runs twice only if the repeat came after the window or the request must not be repeated at all.
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
        let Some(evidence) = second_execution(effect, first, now) else { return };
        let sent = self.request(id).map(|request| request.describe_sent()).unwrap_or_default();
        let detail = format!("request {id:016x} was executed at {first:.3} and again now{sent}");
        self.record(Finding { rule: Rule::EffectTwice, evidence, detail });
    }

    /// Checks a served copy: one made (at `issued_ms`, Unix time) before a purge is a violation if its attempt was sent
    /// later than the purge grace after the director was notified of the purge. `attempted_at` is when the attempt was
    /// sent or, if that is not known, when it was received.
    pub(crate) fn on_copy_served(&self, id: u64, attempted_at: Seconds, issued_ms: u64) {
        let violated = {
            let state = lock(&self.state);
            let Some(request) = state.requests.get(&id) else { return };
            let view = state.directors.get(&request.director);
            let purge = view.and_then(|view| view.purged.get(&request.object)).copied();
            purge.filter(|purge| {
                issued_ms < purge.made_ms
                    && attempted_at > purge.notified_at + PURGE_GRACE_SECONDS + OBSERVER_TOLERANCE_SECONDS
            })
        };
        if let Some(NotifiedPurge { notified_at, made_ms }) = violated {
            let older = made_ms - issued_ms;
            let detail = format!(
                "request {id:016x}: a copy {older} ms older than a purge, notified at {notified_at:.3}"
            );
            let evidence = Evidence::Observed(TimeSpan { from: notified_at, to: attempted_at });
            self.record(Finding { rule: Rule::Purged, evidence, detail });
        }
    }
}

/// Returns the evidence that the effect ran a second time now; none if it did not. Nodes recognize a repeat within the
/// deduplication window.
fn second_execution(effect: Effect, first: Seconds, now: Seconds) -> Option<Evidence> {
    let window_end = first + DEDUPLICATION_WINDOW_SECONDS;
    match effect {
        Effect::Idempotent => None,
        Effect::AtMostOnce => Some(Evidence::Exact),
        // A node that is not late before the window ends has executed a repeat by then.
        Effect::Deduplicated => (now > window_end + OBSERVER_TOLERANCE_SECONDS)
            .then_some(Evidence::Observed(TimeSpan { from: window_end, to: now })),
    }
}

impl CheckerState {
    fn count(&mut self, counter: &'static str) {
        *self.counts.entry(counter).or_default() += 1;
    }
}
