//! Checks of slow start: the calls that cold nodes receive, when a node collapses under too many, and how close any
//! node came to that.
//!
//! Every call that reaches a cold node counts, including those that the node rejects, and all classes weigh the same. A
//! call counts at the time at which it was sent if the send log of its director has that time, otherwise at the time at
//! which it was read. A node that reads late reads the calls of a longer time at once.

use std::collections::{HashMap, HashSet};
use std::fmt;

use super::CheckerState;
use super::checks::Finding;
use crate::soak::Seconds;
use crate::soak::capacity::slow_start_share;
use crate::soak::evidence::{Evidence, TimeSpan};
use crate::soak::invariants::{COLLAPSE_MULTIPLE, Rule, SLOW_START_SECONDS};

#[cfg(test)]
mod tests;

/// The length of the window in which calls to a cold node are counted.
const COLLAPSE_WINDOW_SECONDS: f64 = 1.0;
/// Below this number of allowed calls the larger number of standard deviations applies.
const SMALL_CALL_COUNT: f64 = 30.0;
/// How many standard deviations of random variation are allowed for small call counts, and for all others.
const SMALL_COUNT_STANDARD_DEVIATIONS: f64 = 3.0;
const STANDARD_DEVIATIONS: f64 = 2.0;

/// Returns how many calls may arrive in a window for which `allowed` are allowed on average: random variation adds
/// some.
fn with_random_margin(allowed: f64) -> f64 {
    let deviations =
        if allowed < SMALL_CALL_COUNT { SMALL_COUNT_STANDARD_DEVIATIONS } else { STANDARD_DEVIATIONS };
    allowed + deviations * allowed.sqrt() + deviations
}

/// A call to a cold node.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdCall {
    /// The director that made the call; none if no client sent its request.
    pub(super) director: Option<usize>,
    /// When the call was sent or, if that is not known, when it was read.
    pub(super) at: Seconds,
    pub(super) read_at: Seconds,
    /// Whether `at` comes from the send log.
    pub(super) is_in_send_log: bool,
}

/// A node in slow start.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdNode {
    pub(super) since: Seconds,
    /// The capacity in calls per second once the node is warm.
    pub(super) capacity: f64,
    /// The calls that the node received, ordered by `at`.
    pub(super) calls: Vec<ColdCall>,
    /// By director, when the start of this node was sent to it.
    pub(super) start_sent_at: HashMap<usize, Seconds>,
    pub(super) has_collapsed: bool,
    /// Whether a late burst has been counted: by read times the node would have collapsed, but the send logs show that
    /// the calls were sent over a longer time.
    pub(super) late_burst_counted: bool,
}

/// The calls to a cold node in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ColdWindow {
    ends_at: Seconds,
    calls: usize,
    /// The number of allowed calls without the margin for random variation.
    allowed: f64,
    /// How many directors made the calls.
    directors: usize,
    /// How many calls came from directors that had been sent the start of the node.
    calls_by_informed: usize,
    /// Whether the times of all calls come from the send logs.
    is_in_send_logs: bool,
}

impl ColdWindow {
    fn load_ratio(&self) -> f64 {
        self.calls as f64 / with_random_margin(self.allowed)
    }

    fn is_collapse(&self) -> bool {
        self.load_ratio() > 1.0
    }

    /// Only read times can be late: the start of the node was recorded before it could be sent to any director.
    fn evidence(&self) -> Evidence {
        if self.is_in_send_logs {
            return Evidence::Exact;
        }
        Evidence::Observed(TimeSpan { from: self.ends_at - COLLAPSE_WINDOW_SECONDS, to: self.ends_at })
    }

    /// Whether the node collapsed and over two thirds of the calls came from directors that had been sent its start.
    fn breaks_rule(&self) -> bool {
        self.is_collapse() && 3 * self.calls_by_informed > 2 * self.calls
    }
}

impl ColdNode {
    /// Returns how many calls in a window that ends at this time the node can take before it collapses, without the
    /// margin for random variation.
    fn allowed(&self, at: Seconds) -> f64 {
        COLLAPSE_MULTIPLE * slow_start_share(at - self.since) * self.capacity
    }

    /// Whether a call counts as one by a director that had been sent the start of the node. A call proves that its
    /// director knows the node, because the node's port is new, unless it was sent before the start is recorded as sent
    /// to this director.
    fn is_by_informed_director(&self, call: &ColdCall) -> bool {
        let sent_at = call.director.and_then(|director| self.start_sent_at.get(&director));
        sent_at.is_none_or(|sent_at| *sent_at <= call.at)
    }

    /// Records a call. Returns the window with the highest load among those that contain the call; none if the node is
    /// warm or has collapsed.
    fn on_call(&mut self, call: ColdCall) -> Option<ColdWindow> {
        if self.has_collapsed || call.at - self.since > SLOW_START_SECONDS {
            return None;
        }
        let place = self.calls.partition_point(|earlier| earlier.at <= call.at);
        self.calls.insert(place, call);
        let ends = self.calls[place..].iter().map(|later| later.at);
        let windows =
            ends.take_while(|end| *end < call.at + COLLAPSE_WINDOW_SECONDS).map(|end| self.window(end));
        windows.max_by(|a, b| a.load_ratio().total_cmp(&b.load_ratio()))
    }

    fn window(&self, ends_at: Seconds) -> ColdWindow {
        let first = self.calls.partition_point(|call| call.at <= ends_at - COLLAPSE_WINDOW_SECONDS);
        let end = self.calls.partition_point(|call| call.at <= ends_at);
        let calls = &self.calls[first..end];
        ColdWindow {
            ends_at,
            calls: calls.len(),
            allowed: self.allowed(ends_at),
            directors: calls.iter().map(|call| call.director).collect::<HashSet<_>>().len(),
            calls_by_informed: calls.iter().filter(|call| self.is_by_informed_director(call)).count(),
            is_in_send_logs: calls.iter().all(|call| call.is_in_send_log),
        }
    }

    /// Whether too many calls were read in the window before this time. Returns true only once for each node.
    fn is_late_burst(&mut self, read_at: Seconds) -> bool {
        let is_in_window =
            |call: &&ColdCall| (0.0..COLLAPSE_WINDOW_SECONDS).contains(&(read_at - call.read_at));
        let calls = self.calls.iter().filter(is_in_window).count();
        let is_burst = calls as f64 > with_random_margin(self.allowed(read_at));
        is_burst && !std::mem::replace(&mut self.late_burst_counted, true)
    }
}

/// The cold node that came closest to a collapse, at that moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NearestColdNode {
    /// The number of the node.
    pub node: usize,
    /// When the second with the highest load ended.
    pub at: Seconds,
    /// How long after the start of the node that was, in seconds.
    pub age: f64,
    /// The calls that the node received in that second.
    pub calls: usize,
    /// The number of calls above which the node collapses, with the margin for random variation.
    pub allowed: f64,
    /// How many directors made the calls.
    pub directors: usize,
}

impl NearestColdNode {
    /// Returns the calls divided by the allowed calls. Above 1 the node collapsed.
    pub fn load_ratio(&self) -> f64 {
        self.calls as f64 / self.allowed
    }
}

impl fmt::Display for NearestColdNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NearestColdNode { node, at, age, calls, allowed, directors } = self;
        let ratio = self.load_ratio();
        write!(
            f,
            "node {node}, {age:.2} s old at {at:.3} s: {calls} calls in a second, {allowed:.1} allowed with the random margin \
             ({ratio:.2}), from {directors} directors"
        )
    }
}

impl CheckerState {
    /// Checks the number of calls that a cold node received within a second against the number above which it
    /// collapses. Records the call, and the collapse if there is one.
    pub(super) fn check_slow_start(&mut self, node: usize, call: ColdCall) -> Option<Finding> {
        let cold = self.cold_nodes.get_mut(&node)?;
        let window = cold.on_call(call)?;
        let nearest = NearestColdNode {
            node,
            at: window.ends_at,
            age: window.ends_at - cold.since,
            calls: window.calls,
            allowed: with_random_margin(window.allowed),
            directors: window.directors,
        };
        if self.nearest_cold_node.is_none_or(|earlier| nearest.load_ratio() > earlier.load_ratio()) {
            self.nearest_cold_node = Some(nearest);
        }
        if !window.is_collapse() {
            if cold.is_late_burst(call.read_at) {
                self.count("cold nodes that read at once calls sent over a longer time");
            }
            return None;
        }
        cold.has_collapsed = true;
        self.count("cold nodes that collapsed");
        let ColdWindow { allowed, calls_by_informed, .. } = window;
        let detail = format!(
            "{nearest}, {allowed:.1} without the random margin; {calls_by_informed} calls by directors that were sent its start"
        );
        window.breaks_rule().then(|| Finding { rule: Rule::SlowStart, evidence: window.evidence(), detail })
    }

    /// Whether a node has collapsed, so that it executes nothing any more.
    pub(super) fn has_collapsed(&self, node: usize) -> bool {
        self.cold_nodes.get(&node).is_some_and(|cold| cold.has_collapsed)
    }
}
