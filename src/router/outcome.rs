//! What the outcome of an attempt changes: health, limits, prices and budgets.

use super::{Router, outstanding};
use crate::endpoint::{EndpointRole, Ring, directors_sharing};
use crate::fill_price::price_step;
use crate::hash_ring::parent_position;
use crate::load_shedding::{REJECTION_SHRINK_STEPS, late_after};
use crate::mode_change::ModeChange;
use crate::outlier_ejection::{Blame, CONNECT_FAILURE_COUNT, OUTCOME_WEIGHT, SILENT_TIMEOUT_COUNT};
use crate::types::{Attempt, NextStep, Ns, Outcome, Request};

/// The weight, relative to a known fill, of an answer of a reused copy that may have been a hit or a fill.
const POSSIBLE_FILL_PART: f64 = 0.4;

/// An attempt with its outcome.
#[derive(Clone, Copy, Debug)]
struct EndedAttempt<'a> {
    request: &'a Request,
    attempt: Attempt,
    outcome: Outcome,
    elapsed: Ns,
    /// Whether it was served from a copy, where that is known.
    is_cache_hit: Option<bool>,
    /// The transfer time that was predicted, in nanoseconds.
    predicted: f64,
    /// Whether the origin was involved.
    is_at_origin: bool,
}

impl Router {
    /// What to do after an attempt, the one at `index`, ended after `elapsed`. Its outcome has to be set in the
    /// request; `is_cache_hit` tells whether it was served from a copy, where that is known.
    pub fn on_outcome(
        &mut self,
        now: Ns,
        request: &Request,
        index: usize,
        elapsed: Ns,
        is_cache_hit: Option<bool>,
    ) -> NextStep {
        let Some(attempt) = request.attempts.get(index).copied() else { return NextStep::Wait };
        let Some(reported) = attempt.outcome else { return NextStep::Wait };
        let predicted = self.predicted_transfer_time(request);
        let outcome = excuse_short_deadline(request, reported, predicted);
        let origin = self.endpoints.origin();
        let is_at_origin = self.involved(attempt.node, attempt.source).any(|node| Some(node) == origin);
        let ended =
            EndedAttempt { request, attempt, outcome, elapsed, is_cache_hit, predicted, is_at_origin };
        self.release(now, &ended);
        self.judge(now, &ended);
        self.adjust_fill_prices(now, &ended);
        let has_outstanding = outstanding(request) > 0;
        match outcome {
            Outcome::Success => {
                self.retry_budget.on_success();
                NextStep::Done { cancel_outstanding: has_outstanding && self.settings.may_cancel }
            }
            _ if has_outstanding => NextStep::Wait,
            _ => NextStep::Retry,
        }
    }

    /// Accounts for an attempt that is no longer outstanding.
    fn release(&mut self, now: Ns, ended: &EndedAttempt) {
        for node in self.involved(ended.attempt.node, ended.attempt.source) {
            if let Some(endpoint) = self.endpoints.get_mut(node) {
                endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
                if ended.outcome == Outcome::Success {
                    endpoint.served.add(ended.request.class, 1.0);
                }
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(ended.attempt.node) {
            endpoint.outstanding_direct = endpoint.outstanding_direct.saturating_sub(1);
            let is_silent =
                matches!(ended.outcome, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled);
            endpoint.health.record_timing(now, ended.elapsed, !is_silent);
        }
    }

    /// Judges the node and the source by the outcome.
    fn judge(&mut self, now: Ns, ended: &EndedAttempt) {
        let node = ended.attempt.node;
        match ended.outcome {
            Outcome::Success => self.judge_success(now, ended),
            Outcome::Miss => self.record_direct(now, node, false, 1),
            Outcome::ConnectFailed => self.record_direct(now, node, true, CONNECT_FAILURE_COUNT),
            Outcome::Overloaded => self.judge_rejection(ended),
            Outcome::Error | Outcome::ConnectionLost | Outcome::TimedOut => self.judge_failure(now, ended),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Judges the node by its pace, the source by the fill, and the origin by the latency objective.
    fn judge_success(&mut self, now: Ns, ended: &EndedAttempt) {
        let request = ended.request;
        let is_size_known = request.size_kb > 0.0;
        let is_time_known = is_size_known || self.history.transfer_time(request).is_some();
        if !is_size_known {
            self.transfer_times.record(request.class, ended.elapsed as f64);
            self.history.record_transfer(request, ended.elapsed);
        }
        self.record_direct(now, ended.attempt.node, false, 1);
        if is_time_known {
            self.judge_pace(now, ended);
        }
        if let Some(source) = ended.attempt.source {
            let weight = self.fill_weight(ended);
            self.record_fill(source, false, weight);
        }
        if ended.is_at_origin {
            if now > self.objective_end(request) {
                self.origin_limit.on_late();
            } else {
                self.origin_limit.on_timely();
            }
        }
    }

    /// Judges whether an answer came late for its size.
    fn judge_pace(&mut self, now: Ns, ended: &EndedAttempt) {
        let is_late = ended.elapsed as f64 > late_after(ended.predicted);
        self.record_pace(is_late, ended.predicted);
        let Some(endpoint) = self.endpoints.get_mut(ended.attempt.node) else { return };
        if is_late {
            endpoint.concurrency.on_late(now, ended.is_cache_hit == Some(false));
        } else {
            endpoint.concurrency.on_timely(endpoint.outstanding_direct + 1);
        }
    }

    /// How much an answer says about its source.
    fn fill_weight(&self, ended: &EndedAttempt) -> f64 {
        match ended.is_cache_hit {
            Some(true) => 0.0,
            None if self.history.is_reused(ended.request) => POSSIBLE_FILL_PART * OUTCOME_WEIGHT,
            _ => OUTCOME_WEIGHT,
        }
    }

    /// A quick rejection is the node's own, a slower one that of its source.
    fn judge_rejection(&mut self, ended: &EndedAttempt) {
        if ended.is_at_origin {
            self.origin_limit.on_failure();
        }
        let Attempt { node, source, .. } = ended.attempt;
        let tick = self.settings.tick;
        let endpoint = self.endpoints.get_mut(node);
        let is_own = source.is_none()
            || endpoint
                .as_ref()
                .is_some_and(|endpoint| endpoint.health.is_own_rejection(ended.elapsed, tick));
        if !is_own {
            if let Some(source) = source {
                self.record_fill(source, true, OUTCOME_WEIGHT);
            }
        } else if let Some(endpoint) = endpoint {
            endpoint.concurrency.shrink(REJECTION_SHRINK_STEPS);
        }
    }

    /// Judges whose fault a failure was.
    fn judge_failure(&mut self, now: Ns, ended: &EndedAttempt) {
        if ended.outcome == Outcome::TimedOut {
            self.record_pace(true, ended.predicted);
        }
        if ended.is_at_origin {
            self.origin_limit.on_failure();
        }
        let Attempt { node, source, sent_at, .. } = ended.attempt;
        let blame = self.blame(node, source);
        if let Some(source) = source.filter(|_| blame.source) {
            self.record_fill(source, true, OUTCOME_WEIGHT);
        }
        // A slow node answers others meanwhile; one that has answered nothing since the attempt is likely dead.
        let endpoint = self.endpoints.get(node);
        let has_answered = endpoint.is_some_and(|endpoint| endpoint.health.has_answered_since(sent_at));
        let is_dead = ended.outcome == Outcome::TimedOut && !has_answered;
        // What fails behind a parent may be the origin's fault: only an attempt without a fill judges the parent.
        let is_parent = self.endpoints.role(node) == Some(EndpointRole::Parent);
        if source.is_none() || !is_parent && (is_dead || blame.node) {
            let count = if is_dead { SILENT_TIMEOUT_COUNT } else { 1 };
            self.record_direct(now, node, true, count);
        }
    }

    /// Whom a failure of this node with this source is blamed on.
    fn blame(&self, node: usize, source: Option<usize>) -> Blame {
        let node = self.endpoints.get(node);
        let source = source.and_then(|source| self.endpoints.get(source));
        Blame::assign(
            node.map_or(0.0, |endpoint| endpoint.health.failure_rate),
            source.map_or(0.0, |endpoint| endpoint.health.fill_failure_rate),
        )
    }

    /// Records an outcome of an attempt straight at a node, which counts `count` times.
    fn record_direct(&mut self, now: Ns, node: usize, failed: bool, count: i32) {
        let Some(endpoint) = self.endpoints.get_mut(node) else { return };
        let change = endpoint.health.record_direct(now, endpoint.role, failed, count);
        self.mode_changes.extend(change.map(|change| ModeChange::Health { node, change }));
    }

    /// Records an outcome of a fill from a source.
    fn record_fill(&mut self, source: usize, failed: bool, weight: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(source) {
            endpoint.health.record_fill(failed, weight);
        }
    }

    /// Counts an attempt for the detection of overload.
    fn record_pace(&mut self, is_late: bool, transfer_time: f64) {
        let change = self.overload.record(is_late, transfer_time);
        self.mode_changes.extend(change.map(ModeChange::Overload));
    }

    /// Moves the prices of all parents by the outcome of a fill, that of its own source the most.
    fn adjust_fill_prices(&mut self, now: Ns, ended: &EndedAttempt) {
        let Some(source) = ended.attempt.source else { return };
        let is_timely = now <= self.objective_end(ended.request);
        let step = price_step(ended.outcome, is_timely, ended.is_cache_hit);
        if step == 0.0 {
            return;
        }
        if self.endpoints.role(source) == Some(EndpointRole::Parent) {
            let position = parent_position(ended.request.object);
            let primary = self.endpoints.parents().owner(position, |node| self.endpoints.is_up(node));
            if primary != Some(source) {
                self.fill_offload.record(step);
            }
        }
        let step = step * directors_sharing(&self.settings, EndpointRole::Parent).cbrt();
        self.endpoints.for_each_member(Ring::Parents, |node, endpoint| {
            endpoint.fill_price.adjust(step, node == source);
        });
    }
}

/// A timeout of a request whose client gave less time than its transfer takes is nobody's fault.
fn excuse_short_deadline(request: &Request, outcome: Outcome, predicted: f64) -> Outcome {
    let given = request.deadline.saturating_sub(request.arrived_at) as f64;
    if outcome == Outcome::TimedOut && given < late_after(predicted) { Outcome::Cancelled } else { outcome }
}
