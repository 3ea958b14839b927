//! The checks of each attempt.

use super::attempt::{Attempt, SentAttempt};
use super::slow_start::ColdCall;
use super::{CheckerState, Request};
use crate::soak::Seconds;
use crate::soak::evidence::{Evidence, TimeSpan};
use crate::soak::invariants::{
    CLIENT_GONE_TOLERANCE_SECONDS, DRAIN_GRACE_SECONDS, OBSERVER_TOLERANCE_SECONDS, Rule,
    WAIT_TOLERANCE_SECONDS,
};

/// A violation that has not yet been recorded with its time.
pub(super) struct Finding {
    pub(super) rule: Rule,
    pub(super) evidence: Evidence,
    pub(super) detail: String,
}

impl CheckerState {
    pub(super) fn check_attempt(&mut self, attempt: &Attempt, now: Seconds) -> Vec<Finding> {
        let mut findings = Vec::new();
        self.count("attempts");
        let director = self.requests.get(&attempt.request).map(|request| request.director);
        let call = ColdCall {
            director,
            at: attempt.sent_at.unwrap_or(now),
            read_at: now,
            is_in_send_log: attempt.sent_at.is_some(),
        };
        findings.extend(self.check_slow_start(attempt.node, call));
        match self.requests.get(&attempt.request) {
            None => {
                let detail = format!("request {:016x} was sent by no client", attempt.request);
                findings.push(Finding { rule: Rule::Unknown, evidence: Evidence::Exact, detail });
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

    /// Checks that no two attempts were sent of which the second could run an effect again, judged by what the director
    /// could know when it sent that one. Adds the attempt to the sent attempts of its request.
    fn check_repeat(&mut self, attempt: &Attempt) -> Option<Finding> {
        let sent_at = attempt.sent_at?;
        let request = self.requests.get_mut(&attempt.request)?;
        let current = SentAttempt { ports: attempt.link.ports, sent_at, not_run_at: None };
        // A node that is stuck reads late, so a later attempt may already be in the list.
        let repeats = |other: &SentAttempt| {
            let (first, second) = if other.sent_at < sent_at { (*other, current) } else { (current, *other) };
            let is_proven = first.not_run_at.is_some_and(|at| at <= second.sent_at);
            !is_proven && request.effect.is_repeated(second.sent_at - first.sent_at)
        };
        let repeated = request.sent.iter().copied().find(repeats);
        request.sent.push(current);
        let other = repeated?;
        let detail = format!(
            "request {:016x} at director {}: sent at {:.3} and again: {attempt}",
            attempt.request, request.director, other.sent_at
        );
        // Both times come from the send log, and a proof is recorded before the director can receive it.
        Some(Finding { rule: Rule::EffectTwice, evidence: Evidence::Exact, detail })
    }

    /// Checks that the director had not known for longer than the grace period that this node drains, when the attempt
    /// began.
    fn check_drained(
        &self,
        request: &Request,
        attempt: &Attempt,
        node: usize,
        begun_at: Seconds,
    ) -> Option<Finding> {
        let notified_at = self.directors.get(&request.director)?.drained.get(&node)?;
        if begun_at <= notified_at + DRAIN_GRACE_SECONDS + OBSERVER_TOLERANCE_SECONDS {
            return None;
        }
        let detail = format!(
            "request {:016x} at director {} to node {node}, notified at {notified_at:.3}: {attempt}",
            attempt.request, request.director
        );
        // The time by which the director must know is valid only if discovery sent the event in time.
        let evidence = Evidence::Observed(TimeSpan { from: *notified_at, to: begun_at });
        Some(Finding { rule: Rule::Drained, evidence, detail })
    }
}

/// Checks that the node was given no longer wait than the client has left. The client's budget counts from the last
/// byte of the request, which arrived at the latest when its write ended.
fn check_wait(request: &Request, attempt: &Attempt, begun_at: Seconds) -> Option<Finding> {
    let written_by = request.written_by.unwrap_or(request.written_at);
    let remaining = written_by + request.budget - begun_at;
    let wait = attempt.wait_ms as f64 / 1_000.0;
    if wait <= remaining.max(0.0) + WAIT_TOLERANCE_SECONDS + OBSERVER_TOLERANCE_SECONDS {
        return None;
    }
    let detail = format!(
        "request {:016x} at director {}: wait of {wait:.3} s with {remaining:.3} s left, written from {:.3} to {:.3}: {attempt}",
        attempt.request,
        request.director,
        request.written_at,
        request.written_by.unwrap_or(begun_at)
    );
    let evidence = match (attempt.sent_at, request.written_by) {
        // The client takes the time after its write has ended, so that a late client only gives the director more time.
        (Some(_), Some(_)) => Evidence::Exact,
        _ => Evidence::Observed(TimeSpan { from: request.written_at, to: begun_at }),
    };
    Some(Finding { rule: Rule::WaitTooLong, evidence, detail })
}

/// Checks that the client had not been gone for longer than the tolerance when the attempt began.
fn check_client_present(request: &Request, attempt: &Attempt, begun_at: Seconds) -> Option<Finding> {
    let gone_at = request.client_gone_at?;
    if begun_at <= gone_at + CLIENT_GONE_TOLERANCE_SECONDS + OBSERVER_TOLERANCE_SECONDS {
        return None;
    }
    let late_by = begun_at - gone_at;
    let detail = format!(
        "request {:016x} at director {}: {late_by:.3} s after its client had disconnected or cancelled: {attempt}",
        attempt.request, request.director
    );
    let evidence = match attempt.sent_at {
        // The client takes the time after it has gone, so that a late client only gives the director more time.
        Some(_) => Evidence::Exact,
        None => Evidence::Observed(TimeSpan { from: gone_at, to: begun_at }),
    };
    Some(Finding { rule: Rule::ClientGone, evidence, detail })
}
