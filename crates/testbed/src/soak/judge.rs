//! The invariants, checked as things are seen by clients and nodes.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

use super::Seconds;
use crate::node_stub::lock;

/// Slack of the rules, and that of this program, whose threads may be late as well.
const WAIT_SLACK: f64 = 0.15;
const GONE_SLACK: f64 = 0.1;
const OWN_SLACK: f64 = 0.1;
/// An answer after its request's time earns nothing; so much later the request is lost.
pub const LATE: f64 = 0.5;
pub const DRAIN_GRACE: f64 = 2.0;
pub const PURGE_GRACE: f64 = 1.0;
/// How long nodes know a repeat of a deduplicated request.
pub const DEDUPLICATION_WINDOW: f64 = 1.5;
/// Slow start: where a node begins, how long it takes, at how many times its capacity it falls.
pub const SLOW_START_INITIAL_SHARE: f64 = 0.25;
pub const SLOW_START_WINDOW: f64 = 6.0;
pub const COLLAPSE_MULTIPLE: f64 = 2.0;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request without its one answer.
    Lost,
    /// An answer to nothing that was asked, or a second one.
    Stray,
    /// Bytes that no node made for this request.
    WrongBytes,
    /// An effect that ran twice.
    EffectTwice,
    /// An attempt after its client had closed or cancelled.
    ClientGone,
    /// A node was told more time than the client had left.
    WaitTooLong,
    /// An attempt at a node that drains or has gone, or with such a source.
    Drained,
    /// A copy from before a purge.
    Purged,
    /// More calls to a cold node than it may get.
    SlowStart,
    /// An attempt for a request that no client sent.
    Unknown,
    /// A director that ended by itself, or did not end when it was told to.
    Crash,
    /// A director counted a violation itself, or panicked.
    Inside,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: Seconds,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7.3} s {:?}: {}", self.at, self.rule, self.what)
    }
}

/// What may be done with a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

pub const CLASSES: [(&str, Effect); 3] =
    [("read", Effect::Idempotent), ("order", Effect::Deduplicated), ("charge", Effect::AtMostOnce)];

#[derive(Clone, Debug)]
pub struct Request {
    pub director: usize,
    pub effect: Effect,
    pub object: u64,
    /// When its last byte was written, and how long its client waits from then.
    pub written_at: Seconds,
    pub budget: f64,
    /// When its client closed or cancelled.
    pub client_gone_at: Option<Seconds>,
    pub answered: bool,
    /// When each attempt of it ran.
    executed_at: Vec<Seconds>,
}

/// An attempt as its node sees it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: u64,
    pub node: usize,
    pub source: Option<usize>,
    pub wait_ms: u64,
    /// Its bytes lay unread at the node for a while.
    pub read_late: bool,
}

/// What one director was told, and when.
#[derive(Clone, Debug, Default)]
struct Notified {
    /// Nodes that drain or have gone.
    drained: HashMap<usize, Seconds>,
    /// By object: when it was told, and when the purge was made, in Unix milliseconds.
    purged: HashMap<u64, (Seconds, u64)>,
}

#[derive(Clone, Debug, Default)]
struct ColdNode {
    since: Seconds,
    capacity: f64,
    calls: Vec<Seconds>,
    reported: bool,
}

#[derive(Default)]
struct JudgeState {
    requests: HashMap<u64, Request>,
    told: HashMap<usize, Notified>,
    cold: HashMap<usize, ColdNode>,
    breaches: Vec<Violation>,
    counts: BTreeMap<&'static str, u64>,
}

pub struct Judge {
    began: Instant,
    inner: Mutex<JudgeState>,
}

impl Judge {
    pub fn new() -> Judge {
        Judge { began: Instant::now(), inner: Mutex::default() }
    }

    pub fn now(&self) -> Seconds {
        self.began.elapsed().as_secs_f64()
    }

    pub fn count(&self, what: &'static str) {
        *lock(&self.inner).counts.entry(what).or_default() += 1;
    }

    pub fn record_violation(&self, rule: Rule, what: String) {
        let at = self.now();
        lock(&self.inner).breaches.push(Violation { rule, at, what });
    }

    pub fn finish(&self) -> (Vec<Violation>, BTreeMap<&'static str, u64>) {
        let mut inner = lock(&self.inner);
        (std::mem::take(&mut inner.breaches), std::mem::take(&mut inner.counts))
    }

    // ---- clients ----

    /// A request is about to be written to its end.
    pub fn on_request(&self, id: u64, director: usize, effect: Effect, object: u64, budget: f64) {
        let written = self.now();
        let ran = Vec::new();
        let request = Request {
            director,
            effect,
            object,
            written_at: written,
            budget,
            client_gone_at: None,
            answered: false,
            executed_at: ran,
        };
        let mut inner = lock(&self.inner);
        inner.requests.insert(id, request);
        *inner.counts.entry("requests").or_default() += 1;
    }

    /// Its last byte leaves now.
    pub fn on_request_written(&self, id: u64) {
        let now = self.now();
        if let Some(request) = lock(&self.inner).requests.get_mut(&id) {
            request.written_at = now;
        }
    }

    pub fn on_client_gone(&self, id: u64) {
        let now = self.now();
        if let Some(request) = lock(&self.inner).requests.get_mut(&id) {
            request.client_gone_at.get_or_insert(now);
        }
    }

    pub fn request(&self, id: u64) -> Option<Request> {
        lock(&self.inner).requests.get(&id).cloned()
    }

    /// An answer, with the object that its bytes name if it was served.
    pub fn on_answer(&self, id: u64, object: Option<u64>) {
        let now = self.now();
        let found = {
            let mut inner = lock(&self.inner);
            *inner.counts.entry("answers").or_default() += 1;
            let Some(request) = inner.requests.get_mut(&id) else { return };
            let twice = std::mem::replace(&mut request.answered, true);
            let late = now > request.written_at + request.budget + LATE + OWN_SLACK;
            let wrong = object.is_some_and(|o| o != request.object);
            (twice, late, wrong)
        };
        let (twice, late, wrong) = found;
        if twice {
            self.record_violation(Rule::Stray, format!("request {id:016x} has a second answer"));
        }
        if wrong {
            self.record_violation(
                Rule::WrongBytes,
                format!("request {id:016x} has the bytes of {object:x?}"),
            );
        }
        if late {
            self.count("answers long after their time");
        }
    }

    // ---- discovery ----

    pub fn on_notified_drained(&self, director: usize, node: usize) {
        let now = self.now();
        let mut inner = lock(&self.inner);
        inner.told.entry(director).or_default().drained.entry(node).or_insert(now);
    }

    pub fn on_notified_ready(&self, director: usize, node: usize) {
        let mut inner = lock(&self.inner);
        inner.told.entry(director).or_default().drained.remove(&node);
    }

    pub fn on_notified_purge(&self, director: usize, object: u64, made_ms: u64) {
        let now = self.now();
        let mut inner = lock(&self.inner);
        let known = inner.told.entry(director).or_default().purged.entry(object).or_insert((now, made_ms));
        if made_ms > known.1 {
            *known = (now, made_ms);
        }
    }

    // ---- nodes ----

    pub fn on_cold_start(&self, node: usize, capacity: f64) {
        let since = self.now();
        let cold = ColdNode { since, capacity, ..ColdNode::default() };
        lock(&self.inner).cold.insert(node, cold);
    }

    /// An attempt has come to a node.
    pub fn on_attempt(&self, attempt: &Attempt) {
        let now = self.now();
        let mut found: Vec<(Rule, String)> = Vec::new();
        {
            let mut inner = lock(&self.inner);
            *inner.counts.entry("attempts").or_default() += 1;
            check_slow_start(&mut inner, attempt.node, now, &mut found);
            let id = attempt.request;
            match inner.requests.get(&id) {
                None => found.push((Rule::Unknown, format!("request {id:016x}"))),
                Some(request) => {
                    if !attempt.read_late {
                        check_time_and_client(request, attempt, now, &mut found);
                    }
                    let told = inner.told.get(&request.director);
                    for node in [Some(attempt.node), attempt.source].into_iter().flatten() {
                        let drained = told.and_then(|t| t.drained.get(&node));
                        if let Some(at) = drained.filter(|at| now > **at + DRAIN_GRACE + OWN_SLACK)
                            && !attempt.read_late
                        {
                            let what = format!("request {id:016x} to node {node}, told at {at:.3}");
                            found.push((Rule::Drained, what));
                        }
                    }
                }
            }
        }
        found.into_iter().for_each(|(rule, what)| self.record_violation(rule, what));
    }

    /// An attempt ran at a node. Whether this repeats an effect that its like have forgotten is judged here; whether
    /// it is a repeat that they know is told.
    pub fn on_executed(&self, id: u64) -> bool {
        let now = self.now();
        let (effect, known, first) = {
            let mut inner = lock(&self.inner);
            let Some(request) = inner.requests.get_mut(&id) else { return false };
            let first = request.executed_at.first().copied();
            request.executed_at.push(now);
            (request.effect, first.is_some(), first)
        };
        let first = first.unwrap_or(now);
        let twice = match effect {
            Effect::Idempotent => false,
            Effect::AtMostOnce => known,
            Effect::Deduplicated => known && now > first + DEDUPLICATION_WINDOW + OWN_SLACK,
        };
        if twice {
            self.record_violation(Rule::EffectTwice, format!("request {id:016x} ran at {first:.3} and now"));
        }
        known
    }

    /// A copy was given out for an attempt that came then.
    pub fn on_served(&self, id: u64, came: Seconds, issued_ms: u64) {
        let broken = {
            let inner = lock(&self.inner);
            let Some(request) = inner.requests.get(&id) else { return };
            let told = inner.told.get(&request.director);
            let purge = told.and_then(|t| t.purged.get(&request.object)).copied();
            purge.filter(|(told, made)| issued_ms < *made && came > told + PURGE_GRACE + OWN_SLACK)
        };
        if let Some((told, made)) = broken {
            let older = made - issued_ms;
            let what = format!("request {id:016x}: a copy {older} ms older than a purge told at {told:.3}");
            self.record_violation(Rule::Purged, what);
        }
    }
}

/// The time told to the node, and that its client is there.
fn check_time_and_client(
    request: &Request,
    attempt: &Attempt,
    now: Seconds,
    found: &mut Vec<(Rule, String)>,
) {
    let id = attempt.request;
    let left = request.written_at + request.budget - now;
    let wait = attempt.wait_ms as f64 / 1_000.0;
    if wait > left.max(0.0) + WAIT_SLACK + OWN_SLACK {
        found.push((Rule::WaitTooLong, format!("request {id:016x}: {wait:.3} s of {left:.3} s left")));
    }
    if let Some(gone) = request.client_gone_at.filter(|gone| now > gone + GONE_SLACK + OWN_SLACK) {
        let late = now - gone;
        found.push((Rule::ClientGone, format!("request {id:016x}: {late:.3} s after its client had gone")));
    }
}

/// Calls to a cold node in the last second, against what it may get.
fn check_slow_start(inner: &mut JudgeState, node: usize, now: Seconds, found: &mut Vec<(Rule, String)>) {
    let Some(cold) = inner.cold.get_mut(&node) else { return };
    let age = now - cold.since;
    if age > SLOW_START_WINDOW {
        return;
    }
    cold.calls.push(now);
    let lately = cold.calls.iter().filter(|at| **at > now - 1.0).count() as f64;
    let warmth = SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * age / SLOW_START_WINDOW;
    let allowed = COLLAPSE_MULTIPLE * warmth * cold.capacity;
    let spare = if allowed < 30.0 { 3.0 } else { 2.0 };
    if lately > allowed + spare * allowed.sqrt() + spare && !cold.reported {
        cold.reported = true;
        found.push((
            Rule::SlowStart,
            format!("node {node}: {lately} calls in a second, {allowed:.1} allowed"),
        ));
    }
}
