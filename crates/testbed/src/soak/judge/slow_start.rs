//! Slow start: the calls that come to cold nodes, the collapse of a node that gets too many, and how near to it the
//! nearest node came.
//!
//! Every call that reaches a cold node counts, also one that it turns away, and all classes weigh the same. A call counts
//! at the time at which it was sent, where the send log of its director has it, else at which it was read: a node that
//! reads late finds at once what came over a longer time.

use std::collections::{HashMap, HashSet};
use std::fmt;

use super::JudgeState;
use super::checks::Finding;
use crate::soak::Seconds;
use crate::soak::capacity::slow_start_share;
use crate::soak::evidence::{Evidence, TimeSpan};
use crate::soak::invariants::{COLLAPSE_MULTIPLE, Rule, SLOW_START_SECONDS};

#[cfg(test)]
mod tests;

/// The time, in seconds, over which calls to a cold node are counted.
const COLLAPSE_WINDOW_SECONDS: f64 = 1.0;
/// Of fewer calls than this the scatter is larger.
const SMALL_CALL_COUNT: f64 = 30.0;
/// The scatter of small and of other counts, in standard deviations.
const SMALL_COUNT_STANDARD_DEVIATIONS: f64 = 3.0;
const STANDARD_DEVIATIONS: f64 = 2.0;

/// The calls that may come in a window for which so many are allowed: chance adds some.
fn with_random_margin(allowed: f64) -> f64 {
    let deviations =
        if allowed < SMALL_CALL_COUNT { SMALL_COUNT_STANDARD_DEVIATIONS } else { STANDARD_DEVIATIONS };
    allowed + deviations * allowed.sqrt() + deviations
}

/// A call to a cold node.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdCall {
    /// Whose it is; none if no client sent its request.
    pub(super) director: Option<usize>,
    /// When it was sent or, where that is not known, read.
    pub(super) at: Seconds,
    pub(super) read_at: Seconds,
    /// Whether the send log has its time.
    pub(super) is_in_send_log: bool,
}

/// A node in slow start.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdNode {
    pub(super) since: Seconds,
    /// Calls a second that it bears once it is warm.
    pub(super) capacity: f64,
    /// The calls to it, ordered by `at`.
    pub(super) calls: Vec<ColdCall>,
    /// When each director was told of its start.
    pub(super) start_sent_at: HashMap<usize, Seconds>,
    pub(super) has_collapsed: bool,
    /// More calls were read than it bears, of which the send logs show that they came over a longer time.
    pub(super) late_burst_counted: bool,
}

/// The calls to a cold node in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ColdWindow {
    ends_at: Seconds,
    calls: usize,
    /// Without the scatter.
    allowed: f64,
    /// How many directors made the calls.
    directors: usize,
    /// How many calls came from directors that had been told of the start.
    calls_by_informed: usize,
    /// Whether the send logs have the times of all calls.
    is_in_send_logs: bool,
}

impl ColdWindow {
    fn load_ratio(&self) -> f64 {
        self.calls as f64 / with_random_margin(self.allowed)
    }

    fn is_collapse(&self) -> bool {
        self.load_ratio() > 1.0
    }

    /// The start of the node was noted before it could be told, so that only times of reading can be late.
    fn evidence(&self) -> Evidence {
        if self.is_in_send_logs {
            return Evidence::Exact;
        }
        Evidence::Observed(TimeSpan { from: self.ends_at - COLLAPSE_WINDOW_SECONDS, to: self.ends_at })
    }

    /// Whether over two thirds of the calls came from directors that had been told.
    fn breaks_rule(&self) -> bool {
        self.is_collapse() && 3 * self.calls_by_informed > 2 * self.calls
    }
}

impl ColdNode {
    /// The calls that collapse it within a window that ends then, without the scatter.
    fn allowed(&self, at: Seconds) -> f64 {
        COLLAPSE_MULTIPLE * slow_start_share(at - self.since) * self.capacity
    }

    /// Whether a call counts as one of a director that had been told of the start. A call is the proof that its director
    /// knows the node, whose port is new, unless it was sent before the record has it told.
    fn is_by_informed_director(&self, call: &ColdCall) -> bool {
        let sent_at = call.director.and_then(|director| self.start_sent_at.get(&director));
        sent_at.is_none_or(|sent_at| *sent_at <= call.at)
    }

    /// Notes a call. Returns the fullest of the windows that hold it; none if the node is warm or down.
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

    /// Whether by their times of reading too many calls came before this time. Returns it once.
    fn is_late_burst(&mut self, read_at: Seconds) -> bool {
        let is_in_window =
            |call: &&ColdCall| (0.0..COLLAPSE_WINDOW_SECONDS).contains(&(read_at - call.read_at));
        let calls = self.calls.iter().filter(is_in_window).count();
        let is_burst = calls as f64 > with_random_margin(self.allowed(read_at));
        is_burst && !std::mem::replace(&mut self.late_burst_counted, true)
    }
}

/// The cold node that came nearest to its collapse, when it did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NearestColdNode {
    /// Its number.
    pub node: usize,
    /// When the fullest second ended.
    pub at: Seconds,
    /// How long after its start that was.
    pub age: f64,
    /// The calls in that second.
    pub calls: usize,
    /// The calls above which it collapses, with the scatter.
    pub allowed: f64,
    /// How many directors made them.
    pub directors: usize,
}

impl NearestColdNode {
    /// The calls as a part of what is allowed; over 1 it collapsed.
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

impl JudgeState {
    /// Calls to a cold node in a second, against what collapses it. Notes the call, and the collapse of the node.
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
                self.count("cold nodes that read late what came over a longer time");
            }
            return None;
        }
        cold.has_collapsed = true;
        self.count("cold nodes that collapsed");
        let ColdWindow { allowed, calls_by_informed, .. } = window;
        let detail = format!(
            "{nearest}, {allowed:.1} without the margin; {calls_by_informed} calls by directors that were sent its start"
        );
        window.breaks_rule().then(|| Finding { rule: Rule::SlowStart, evidence: window.evidence(), detail })
    }

    /// Whether a node was pushed over, so that nothing runs there any more.
    pub(super) fn has_collapsed(&self, node: usize) -> bool {
        self.cold_nodes.get(&node).is_some_and(|cold| cold.has_collapsed)
    }
}
