//! The requests in flight, between the router that decides and the transport that carries its decisions out.

use std::collections::HashMap;

use sablecross::{Attempt, AttemptSpec, NextStep, Ns, Outcome, Request, RouteDecision, Router};

/// Carries out what the router decides. Each call names the request by the number under which it was admitted.
pub trait Transport {
    /// Sends an attempt, whose index is the number of `prior` ones. Its result is owed to
    /// [`InflightTable::on_attempt_result`], also if it could not be sent.
    fn send(&mut self, id: u64, spec: &AttemptSpec, prior: &[Attempt]);
    /// Answers that the client may try again after this time.
    fn reject(&mut self, id: u64, retry_after: Ns);
    /// Answers that the request has failed.
    fn fail(&mut self, id: u64);
    /// Cancels an attempt that is outstanding; its result is still owed.
    fn cancel(&mut self, id: u64, attempt: usize);
    /// Withdraws an attempt that is outstanding: it is cancelled, or never sent if it still waits for a connection. Its
    /// result is still owed.
    fn withdraw(&mut self, id: u64, attempt: usize);
    /// Ends an attempt that is outstanding as timed out; its result is still owed.
    fn time_out(&mut self, id: u64, attempt: usize);
    /// Calls [`InflightTable::check`] with this generation once the time has passed.
    fn schedule_check(&mut self, id: u64, generation: u32, after: Ns);
    /// The request is answered and none of its attempts is outstanding: nothing more is asked for it.
    fn release(&mut self, id: u64);
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Its outcome, as the router counts it.
    pub outcome: Outcome,
    /// The time from its sending to its end, in nanoseconds.
    pub elapsed: Ns,
    /// Whether a cached copy was served, where the node reports it.
    pub is_cache_hit: Option<bool>,
    /// Whether the request is answered with it, or was before.
    pub is_final: bool,
}

struct InflightRequest {
    request: Request,
    is_answered: bool,
    /// Of the check that was scheduled last; earlier ones are void.
    check_generation: u32,
}

impl InflightRequest {
    fn is_complete(&self) -> bool {
        self.is_answered && self.request.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    fn outstanding_attempts(&self) -> impl Iterator<Item = usize> {
        let attempts = self.request.attempts.iter().enumerate();
        attempts.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(index, _)| index)
    }
}

/// All requests in flight and the router that decides on them.
pub struct InflightTable {
    /// Decides where requests go; events that concern no single request are handed to it directly.
    pub router: Router,
    requests: HashMap<u64, InflightRequest>,
}

impl InflightTable {
    /// An empty table.
    pub fn new(router: Router) -> Self {
        InflightTable { router, requests: HashMap::new() }
    }

    /// Takes a request in under a number that no other one in flight has.
    pub fn admit(&mut self, id: u64, request: Request, now: Ns, transport: &mut impl Transport) {
        self.requests.insert(id, InflightRequest { request, is_answered: false, check_generation: 0 });
        self.route(id, now, transport);
    }

    /// The time of a scheduled check has come: the router is asked again, unless a later check is scheduled.
    pub fn check(&mut self, id: u64, generation: u32, now: Ns, transport: &mut impl Transport) {
        if self.requests.get(&id).is_some_and(|inflight| inflight.check_generation == generation) {
            self.route(id, now, transport);
        }
    }

    /// The client has gone or cancelled: no answer is owed.
    pub fn abandon(&mut self, id: u64, transport: &mut impl Transport) {
        if let Some(inflight) = self.requests.get_mut(&id) {
            inflight.is_answered = true;
        }
        self.release_if_complete(id, transport);
    }

    /// An attempt has ended: the router decides whether the request is done, waits or is routed again.
    pub fn on_attempt_result(
        &mut self,
        id: u64,
        attempt: usize,
        result: AttemptResult,
        now: Ns,
        transport: &mut impl Transport,
    ) {
        let Some(inflight) = self.requests.get_mut(&id) else { return };
        let Some(sent) = inflight.request.attempts.get_mut(attempt) else { return };
        sent.outcome = Some(result.outcome);
        let AttemptResult { elapsed, is_cache_hit, .. } = result;
        let next = self.router.on_outcome(now, &inflight.request, attempt, elapsed, is_cache_hit);
        let was_answered = inflight.is_answered;
        inflight.is_answered |= result.is_final;
        match next {
            NextStep::Done { cancel_outstanding } if cancel_outstanding && !was_answered => {
                inflight.outstanding_attempts().for_each(|outstanding| transport.cancel(id, outstanding));
            }
            NextStep::Retry => self.route(id, now, transport),
            NextStep::Done { .. } | NextStep::Wait => {}
        }
        self.release_if_complete(id, transport);
    }

    /// Asks the router where a request goes and has that carried out; schedules the next check of one that waits.
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
        if self.requests.get(&id).is_some_and(InflightRequest::is_complete) {
            self.requests.remove(&id);
            transport.release(id);
        }
    }
}
