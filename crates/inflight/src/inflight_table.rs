//! Tracks the requests in flight between the router, which decides, and the transport, which carries out its decisions.

use std::collections::HashMap;

use sablecross::invariants::may_have_executed;
use sablecross::{Attempt, AttemptSpec, NextStep, Ns, Outcome, Request, RouteDecision, Router};

/// Carries out the router's decisions. Every call identifies the request by the `id` under which it was admitted.
pub trait Transport {
    /// Sends an attempt. Its index is the length of `prior`, the earlier attempts of the request. The transport must
    /// report the result to [`InflightTable::on_attempt_result`], even if the attempt could not be sent.
    fn send(&mut self, id: u64, spec: &AttemptSpec, prior: &[Attempt]);
    /// Rejects the request. A `retry_after` above 0 asks the client to wait that long before it tries again.
    fn reject(&mut self, id: u64, retry_after: Ns);
    /// Answers the request with a failure.
    fn fail(&mut self, id: u64);
    /// Cancels an outstanding attempt. Its result must still be reported.
    fn cancel(&mut self, id: u64, attempt: usize);
    /// Withdraws an outstanding attempt: cancels it, or drops it unsent if it still waits for a connection. Its result
    /// must still be reported.
    fn withdraw(&mut self, id: u64, attempt: usize);
    /// Drops an outstanding attempt if it still waits for a connection. If it was dropped, its result must still be
    /// reported.
    fn drop_unbegun(&mut self, id: u64, attempt: usize);
    /// Ends an outstanding attempt as timed out. Its result must still be reported.
    fn time_out(&mut self, id: u64, attempt: usize);
    /// Schedules a call of [`InflightTable::check`] with this generation in `after` nanoseconds.
    fn schedule_check(&mut self, id: u64, generation: u32, after: Ns);
    /// Releases a request that is answered and has no outstanding attempts. No further calls are made for it.
    /// `may_have_executed` tells whether a node may have executed one of its attempts.
    fn release(&mut self, id: u64, may_have_executed: bool);
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The outcome that is passed to the router.
    pub outcome: Outcome,
    /// The time from sending the attempt to its end, in nanoseconds.
    pub elapsed: Ns,
    /// Whether a cached copy was served; `None` if the node does not report it.
    pub is_cache_hit: Option<bool>,
    /// Whether this result answers the request, or the request was already answered before it.
    pub is_final: bool,
}

struct InflightRequest {
    request: Request,
    is_answered: bool,
    /// The generation of the check that was scheduled last. Checks with an earlier generation are ignored.
    check_generation: u32,
}

impl InflightRequest {
    fn is_complete(&self) -> bool {
        self.is_answered && self.request.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    fn may_have_executed(&self) -> bool {
        self.request.attempts.iter().any(|attempt| may_have_executed(attempt.outcome))
    }

    fn outstanding_attempts(&self) -> impl Iterator<Item = usize> {
        let attempts = self.request.attempts.iter().enumerate();
        attempts.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(index, _)| index)
    }
}

/// The requests in flight, with the router that decides what to do with them.
pub struct InflightTable {
    /// The router. Callers pass events that concern no single request directly to it.
    pub router: Router,
    requests: HashMap<u64, InflightRequest>,
}

impl InflightTable {
    /// Creates an empty table.
    pub fn new(router: Router) -> Self {
        InflightTable { router, requests: HashMap::new() }
    }

    /// Adds a request and routes it. No other request in flight may have the same `id`.
    pub fn admit(&mut self, id: u64, request: Request, now: Ns, transport: &mut impl Transport) {
        self.requests.insert(id, InflightRequest { request, is_answered: false, check_generation: 0 });
        self.route(id, now, transport);
    }

    /// Handles a scheduled check whose time has come: routes the request again, unless a later check has been
    /// scheduled.
    pub fn check(&mut self, id: u64, generation: u32, now: Ns, transport: &mut impl Transport) {
        if self.requests.get(&id).is_some_and(|inflight| inflight.check_generation == generation) {
            self.route(id, now, transport);
        }
    }

    /// Handles a client that disconnected or cancelled the request, so that the request no longer needs an answer.
    pub fn abandon(&mut self, id: u64, transport: &mut impl Transport) {
        if let Some(inflight) = self.requests.get_mut(&id) {
            inflight.is_answered = true;
        }
        self.release_if_complete(id, transport);
    }

    /// Handles the end of an attempt: the router decides whether the request is done, waits for another attempt or is
    /// routed again.
    pub fn on_attempt_result(
        &mut self,
        id: u64,
        attempt: usize,
        result: AttemptResult,
        now: Ns,
        transport: &mut impl Transport,
    ) {
        let Some(inflight) = self.requests.get_mut(&id) else { return };
        let Some(ended_attempt) = inflight.request.attempts.get_mut(attempt) else { return };
        ended_attempt.outcome = Some(result.outcome);
        let AttemptResult { elapsed, is_cache_hit, .. } = result;
        let next = self.router.on_outcome(now, &inflight.request, attempt, elapsed, is_cache_hit);
        let was_answered = inflight.is_answered;
        inflight.is_answered |= result.is_final;
        match next {
            NextStep::Done { cancel_outstanding } if !was_answered => {
                for outstanding in inflight.outstanding_attempts() {
                    if cancel_outstanding {
                        transport.cancel(id, outstanding);
                    } else {
                        // Nothing begins after the answer, also where what is begun must not be cancelled.
                        transport.drop_unbegun(id, outstanding);
                    }
                }
            }
            NextStep::Retry => self.route(id, now, transport),
            NextStep::Done { .. } | NextStep::Wait => {}
        }
        self.release_if_complete(id, transport);
    }

    /// Asks the router what to do with a request that is not answered yet and has the transport carry it out. If the
    /// request is still not answered, schedules its next check.
    fn route(&mut self, id: u64, now: Ns, transport: &mut impl Transport) {
        let Some(inflight) = self.requests.get_mut(&id).filter(|inflight| !inflight.is_answered) else {
            return;
        };
        match self.router.route(now, &inflight.request) {
            RouteDecision::Attempt(spec) => {
                transport.send(id, &spec, &inflight.request.attempts);
                let AttemptSpec { node, source, .. } = spec;
                inflight.request.attempts.push(Attempt { node, source, sent_at: now, outcome: None });
            }
            RouteDecision::Wait => {}
            RouteDecision::CancelOutstanding => {
                inflight.outstanding_attempts().for_each(|outstanding| transport.withdraw(id, outstanding));
            }
            RouteDecision::TimeOutOutstanding => {
                inflight.outstanding_attempts().for_each(|outstanding| transport.time_out(id, outstanding));
            }
            RouteDecision::Reject { retry_after } => {
                transport.reject(id, retry_after);
                inflight.is_answered = true;
            }
            RouteDecision::Fail => {
                transport.fail(id);
                inflight.is_answered = true;
            }
        }
        if inflight.is_answered {
            self.release_if_complete(id, transport);
        } else if let Some(after) = self.router.next_check(now, &inflight.request) {
            inflight.check_generation = inflight.check_generation.wrapping_add(1);
            transport.schedule_check(id, inflight.check_generation, after);
        }
    }

    fn release_if_complete(&mut self, id: u64, transport: &mut impl Transport) {
        if self.requests.get(&id).is_some_and(InflightRequest::is_complete)
            && let Some(inflight) = self.requests.remove(&id)
        {
            transport.release(id, inflight.may_have_executed());
        }
    }
}
