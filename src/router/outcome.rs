//! Applies the outcome of an attempt to health records, limits, prices and budgets.

use super::{Router, outstanding};
use crate::endpoint::{EndpointRole, Ring, directors_sharing};
use crate::fill_price::price_step;
use crate::hash_ring::parent_position;
use crate::load_shedding::{REJECTION_SHRINK_STEPS, late_after};
use crate::mode_change::ModeChange;
use crate::outlier_ejection::{Blame, CONNECT_FAILURE_COUNT, OUTCOME_WEIGHT, SILENT_TIMEOUT_COUNT};
use crate::types::{Attempt, NextStep, Ns, Outcome, Request};

/// The weight, relative to a known fill, of an answer with a reused copy that may have been a cache hit or a fill.
const POSSIBLE_FILL_WEIGHT: f64 = 0.4;

/// An attempt with its outcome.
#[derive(Clone, Copy, Debug)]
struct EndedAttempt<'a> {
    request: &'a Request,
    attempt: Attempt,
    outcome: Outcome,
    elapsed: Ns,
    /// Whether the answer was served from a copy, if that is known.
    is_cache_hit: Option<bool>,
    /// The predicted transfer time, in nanoseconds.
    predicted_transfer_time: f64,
    /// Whether the attempt involved the origin.
    is_at_origin: bool,
}

impl Router {
    /// Records that the attempt at `index` ended after `elapsed`, and returns what to do next. The caller has already
    /// set the outcome in the request. `is_cache_hit` tells whether the answer was served from a copy, if that is
    /// known.
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
        let predicted_transfer_time = self.predicted_transfer_time(request);
        let outcome = reclassify_short_deadline(request, reported, predicted_transfer_time);
        let origin = self.endpoints.origin();
        let is_at_origin = self.involved_nodes(attempt.node, attempt.source).any(|node| Some(node) == origin);
        let ended = EndedAttempt {
            request,
            attempt,
            outcome,
            elapsed,
            is_cache_hit,
            predicted_transfer_time,
            is_at_origin,
        };
        self.release(now, &ended);
        self.record_outcome(now, &ended);
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

    /// Accounts for an attempt that is no longer outstanding: the counts of outstanding and served requests, and the
    /// time that the node took.
    fn release(&mut self, now: Ns, ended: &EndedAttempt) {
        for node in self.involved_nodes(ended.attempt.node, ended.attempt.source) {
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

    /// Records the outcome in the health and the limits of the node and the source.
    fn record_outcome(&mut self, now: Ns, ended: &EndedAttempt) {
        let node = ended.attempt.node;
        match ended.outcome {
            Outcome::Success => self.record_success(now, ended),
            Outcome::Miss => self.record_direct(now, node, false, 1),
            Outcome::ConnectFailed => self.record_direct(now, node, true, CONNECT_FAILURE_COUNT),
            Outcome::Overloaded => self.record_rejection(ended),
            Outcome::Error | Outcome::ConnectionLost | Outcome::TimedOut => self.record_failure(now, ended),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Records a success: the latency counts for the node, the fill for the source, and the latency objective for the
    /// origin.
    fn record_success(&mut self, now: Ns, ended: &EndedAttempt) {
        let request = ended.request;
        let is_size_known = request.size_kb > 0.0;
        let is_time_known = is_size_known || self.history.transfer_time(request).is_some();
        if !is_size_known {
            self.transfer_times.record(request.class, ended.elapsed as f64);
        }
        self.history.record_answer(request, ended.elapsed);
        self.record_direct(now, ended.attempt.node, false, 1);
        if is_time_known {
            self.record_latency(now, ended);
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

    /// Records whether an answer was late for its size, for overload detection and for the node's concurrency limit.
    fn record_latency(&mut self, now: Ns, ended: &EndedAttempt) {
        let is_late = ended.elapsed as f64 > late_after(ended.predicted_transfer_time);
        self.record_overload_sample(is_late, ended.predicted_transfer_time);
        let Some(endpoint) = self.endpoints.get_mut(ended.attempt.node) else { return };
        if is_late {
            endpoint.concurrency.on_late(now, ended.is_cache_hit == Some(false));
        } else {
            endpoint.concurrency.on_timely(endpoint.outstanding_direct + 1);
        }
    }

    /// The weight of an answer in the fill failure rate of its source.
    fn fill_weight(&self, ended: &EndedAttempt) -> f64 {
        match ended.is_cache_hit {
            Some(true) => 0.0,
            None if self.history.is_reused(ended.request) => POSSIBLE_FILL_WEIGHT * OUTCOME_WEIGHT,
            _ => OUTCOME_WEIGHT,
        }
    }

    /// Records a rejection. A quick rejection came from the node itself, a slower one from its source.
    fn record_rejection(&mut self, ended: &EndedAttempt) {
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

    /// Records a failure and attributes it to the node, the source or both.
    fn record_failure(&mut self, now: Ns, ended: &EndedAttempt) {
        if ended.outcome == Outcome::TimedOut {
            self.record_overload_sample(true, ended.predicted_transfer_time);
        }
        if ended.is_at_origin {
            self.origin_limit.on_failure();
        }
        let Attempt { node, source, sent_at, .. } = ended.attempt;
        let blame = self.blame(node, source);
        if let Some(source) = source.filter(|_| blame.source) {
            self.record_fill(source, true, OUTCOME_WEIGHT);
        }
        // A slow node answers other attempts meanwhile. A node that has answered nothing since this attempt is likely
        // dead.
        let endpoint = self.endpoints.get(node);
        let has_answered = endpoint.is_some_and(|endpoint| endpoint.health.has_answered_since(sent_at));
        let is_dead = ended.outcome == Outcome::TimedOut && !has_answered;
        // A failure behind a parent may be caused by the origin, so only an attempt without a fill counts for the
        // parent.
        let is_parent = self.endpoints.role(node) == Some(EndpointRole::Parent);
        if source.is_none() || !is_parent && (is_dead || blame.node) {
            let count = if is_dead { SILENT_TIMEOUT_COUNT } else { 1 };
            self.record_direct(now, node, true, count);
        }
    }

    /// Attributes a failure of an attempt at this node with this source.
    fn blame(&self, node: usize, source: Option<usize>) -> Blame {
        let node = self.endpoints.get(node);
        let source = source.and_then(|source| self.endpoints.get(source));
        Blame::assign(
            node.map_or(0.0, |endpoint| endpoint.health.failure_rate),
            source.map_or(0.0, |endpoint| endpoint.health.fill_failure_rate),
        )
    }

    /// Records the outcome of an attempt sent directly to a node. It counts as `count` outcomes.
    fn record_direct(&mut self, now: Ns, node: usize, failed: bool, count: i32) {
        let Some(endpoint) = self.endpoints.get_mut(node) else { return };
        let change = endpoint.health.record_direct(now, endpoint.role, failed, count);
        self.mode_changes.extend(change.map(|change| ModeChange::Health { node, change }));
    }

    /// Records the outcome of a fill from a source.
    fn record_fill(&mut self, source: usize, failed: bool, weight: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(source) {
            endpoint.health.record_fill(failed, weight);
        }
    }

    /// Records for overload detection whether an attempt was late.
    fn record_overload_sample(&mut self, is_late: bool, transfer_time: f64) {
        let change = self.overload.record(is_late, transfer_time);
        self.mode_changes.extend(change.map(ModeChange::Overload));
    }

    /// Adjusts the prices of all parents by the outcome of a fill. The price of the fill's own source moves the most.
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

/// Turns a timeout into a cancellation if the client gave less time than an answer may take without being late, so
/// that no node is blamed for it.
fn reclassify_short_deadline(request: &Request, outcome: Outcome, predicted_transfer_time: f64) -> Outcome {
    let given = request.deadline.saturating_sub(request.arrived_at) as f64;
    if outcome == Outcome::TimedOut && given < late_after(predicted_transfer_time) {
        Outcome::Cancelled
    } else {
        outcome
    }
}
