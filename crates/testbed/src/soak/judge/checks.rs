//! What is checked of each attempt.

use super::attempt::{Attempt, SentAttempt};
use super::slow_start::ColdCall;
use super::{JudgeState, Request};
use crate::soak::Seconds;
use crate::soak::evidence::{Evidence, TimeSpan};
use crate::soak::invariants::{
    CLIENT_GONE_TOLERANCE_SECONDS, DRAIN_GRACE_SECONDS, OBSERVER_TOLERANCE_SECONDS, Rule,
    WAIT_TOLERANCE_SECONDS,
};

/// A violation before its time is noted.
pub(super) struct Finding {
    pub(super) rule: Rule,
    pub(super) evidence: Evidence,
    pub(super) detail: String,
}

impl JudgeState {
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
                let detail = format!("request {:016x}", attempt.request);
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

    /// That no attempt was sent that could run an effect once more, by what the director could know then. Notes the
    /// attempt.
    fn check_repeat(&mut self, attempt: &Attempt) -> Option<Finding> {
        let sent_at = attempt.sent_at?;
        let request = self.requests.get_mut(&attempt.request)?;
        let own = SentAttempt { ports: attempt.link.ports, sent_at, not_run_at: None };
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
        // Both times are the send log's, and proofs are noted before the director can have them.
        Some(Finding { rule: Rule::EffectTwice, evidence: Evidence::Exact, detail })
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
        if now <= notified_at + DRAIN_GRACE_SECONDS + OBSERVER_TOLERANCE_SECONDS {
            return None;
        }
        let detail = format!(
            "request {:016x} at director {} to node {node}, notified at {notified_at:.3}: {attempt}",
            attempt.request, request.director
        );
        // When the director must know holds only if discovery told it in time.
        let evidence = Evidence::Observed(TimeSpan { from: *notified_at, to: now });
        Some(Finding { rule: Rule::Drained, evidence, detail })
    }
}

/// That the node was told no longer wait than the client has left: its time counts from its last byte, which came by the
/// end of its write at the latest.
fn check_wait(request: &Request, attempt: &Attempt, now: Seconds) -> Option<Finding> {
    let written_by = request.written_by.unwrap_or(request.written_at);
    let left = written_by + request.budget - now;
    let wait = attempt.wait_ms as f64 / 1_000.0;
    if wait <= left.max(0.0) + WAIT_TOLERANCE_SECONDS + OBSERVER_TOLERANCE_SECONDS {
        return None;
    }
    let detail = format!(
        "request {:016x} at director {}: {wait:.3} s of {left:.3} s left, written from {:.3} to {:.3}: {attempt}",
        attempt.request,
        request.director,
        request.written_at,
        request.written_by.unwrap_or(now)
    );
    let evidence = match (attempt.sent_at, request.written_by) {
        // The end of its write is stamped after it, so that a late client only leaves the director more time.
        (Some(_), Some(_)) => Evidence::Exact,
        _ => Evidence::Observed(TimeSpan { from: request.written_at, to: now }),
    };
    Some(Finding { rule: Rule::WaitTooLong, evidence, detail })
}

/// That the client has not been gone for longer than the bound.
fn check_client_present(request: &Request, attempt: &Attempt, now: Seconds) -> Option<Finding> {
    let gone_at = request.client_gone_at?;
    if now <= gone_at + CLIENT_GONE_TOLERANCE_SECONDS + OBSERVER_TOLERANCE_SECONDS {
        return None;
    }
    let late = now - gone_at;
    let detail = format!(
        "request {:016x} at director {}: {late:.3} s after its client had gone: {attempt}",
        attempt.request, request.director
    );
    let evidence = match attempt.sent_at {
        // Its end is stamped after it, so that a late client only leaves the director more time.
        Some(_) => Evidence::Exact,
        None => Evidence::Observed(TimeSpan { from: gone_at, to: now }),
    };
    Some(Finding { rule: Rule::ClientGone, evidence, detail })
}
