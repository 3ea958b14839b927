//! Carries out the router's decisions: sends attempts to the node pool and responses to the client thread, and sets
//! timers. Each attempt and answer is checked against the invariants before it is sent.

use std::collections::VecDeque;
use std::sync::Arc;

use sablecross::invariants::{self, ProposedAttempt, Violation};
use sablecross::{Attempt, AttemptSpec, Effect, Ns, Outcome};
use sablecross_inflight::{AttemptResult, Transport};

use super::executed_ids::ExecutedIds;
use super::inflight_requests::InflightRequests;
use super::timers::{Timer, TimerQueue};
use crate::clock::NS_PER_MS;
use crate::counters::Counters;
use crate::events::{CallId, ClientId, IncomingRequest, RequestKey};
use crate::shared::SharedContext;
use crate::wire::node_pool::{InflightAttempt, NodePool};
use crate::wire::response::{PendingResponse, Response};
use crate::wire::response_sender::ResponseSender;

/// The result of an attempt that ended without an answer: it timed out, was cancelled, could not be sent or lost its
/// connection.
pub(super) struct LocalResult {
    pub(super) key: RequestKey,
    pub(super) attempt: usize,
    pub(super) result: AttemptResult,
}

/// Executes the router's decisions, and holds the state that this needs.
pub(super) struct ActionExecutor {
    /// The local time at which the current event or timer is handled.
    pub(super) now: Ns,
    pub(super) shared: Arc<SharedContext>,
    pub(super) nodes: NodePool,
    pub(super) requests: InflightRequests,
    pub(super) timers: TimerQueue,
    pub(super) counters: Counters,
    /// Results that have not been passed to the router yet, oldest first.
    pub(super) local_results: VecDeque<LocalResult>,
    responses: ResponseSender,
    /// Responses that found the queue to the client thread full, oldest first.
    unsent_responses: VecDeque<PendingResponse>,
    /// The effect of each request class, by the router's index of the class.
    effects: Vec<Effect>,
    /// The ids of requests with an effect that have ended and may have been executed.
    executed_ids: ExecutedIds,
}

impl ActionExecutor {
    pub(super) fn new(
        shared: Arc<SharedContext>,
        nodes: NodePool,
        responses: ResponseSender,
        effects: Vec<Effect>,
    ) -> ActionExecutor {
        ActionExecutor {
            now: shared.clock.now(),
            nodes,
            requests: InflightRequests::default(),
            timers: TimerQueue::new(shared.limits.event_queue_length),
            counters: Counters::default(),
            local_results: VecDeque::new(),
            responses,
            unsent_responses: VecDeque::new(),
            effects,
            executed_ids: ExecutedIds::new(
                shared.limits.max_executed_ids,
                shared.limits.executed_id_lifetime,
            ),
            shared,
        }
    }

    /// Updates the current time before the next event or timer is handled.
    pub(super) fn update_time(&mut self) {
        self.now = self.shared.clock.now();
    }

    /// Sends a response that has no deadline of its own, with the default write timeout, and closes the call.
    pub(super) fn respond(&mut self, client: ClientId, call: CallId, response: Response) {
        let deadline = self.now + self.shared.limits.default_write_timeout;
        self.respond_by(client, call, deadline, response);
    }

    fn respond_by(&mut self, client: ClientId, call: CallId, deadline: Ns, response: Response) {
        self.requests.close_call(client, call.number);
        self.unsent_responses.push_back(PendingResponse { client, call, deadline, response });
        self.flush_responses();
    }

    /// Sends the waiting responses in order, as far as the queue to the client thread has room. There are never more of
    /// them than calls that clients may have open.
    pub(super) fn flush_responses(&mut self) {
        while let Some(response) = self.unsent_responses.pop_front() {
            if let Err(response) = self.responses.send(response) {
                self.unsent_responses.push_front(response);
                return;
            }
        }
    }

    pub(super) fn has_unsent_responses(&self) -> bool {
        !self.unsent_responses.is_empty()
    }

    /// Tells the client thread to end each connection once no call is open on it.
    pub(super) fn begin_client_shutdown(&self) {
        self.responses.begin_shutdown();
    }

    /// Sends the single final answer to a request.
    pub(super) fn answer(&mut self, key: RequestKey, response: Response) {
        let Some(request) = self.requests.get_mut(key) else { return };
        if let Err(violation) = invariants::check_answer(request.is_answered) {
            // Two attempts that are outstanding at the same time may both succeed: the answer of the second one is
            // dropped, and is no violation.
            if !matches!(response, Response::Success(_)) {
                self.counters.record_violation(request.id_text(), violation);
            }
            return;
        }
        request.is_answered = true;
        let (client, call) = (request.incoming.client, request.incoming.call);
        let client_deadline = request.deadline + self.shared.limits.answer_margin;
        self.counters.late += u64::from(self.now >= client_deadline);
        self.count_answer(&response);
        self.respond_by(client, call, client_deadline, response);
    }

    fn count_answer(&mut self, response: &Response) {
        match response {
            Response::Success(body) => {
                self.counters.succeeded += 1;
                self.counters.unchanged += u64::from(body.is_none());
            }
            Response::Rejected { .. } => self.counters.rejected += 1,
            Response::Failed | Response::Health(_) => self.counters.failed += 1,
        }
    }

    /// Records the result of an attempt. It is passed to the router after the current event.
    pub(super) fn end_attempt(&mut self, key: RequestKey, attempt: usize, outcome: Outcome, elapsed: Ns) {
        let result = AttemptResult { outcome, elapsed, is_cache_hit: None, is_final: false };
        self.local_results.push_back(LocalResult { key, attempt, result });
    }

    /// Abandons an attempt if it is still outstanding.
    pub(super) fn abandon_attempt(&mut self, key: RequestKey, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(connection) = request.end_attempt(attempt) else { return };
        let abandoned = self.nodes.abandon(connection, &request.incoming.request_id, self.now);
        let elapsed = abandoned.map_or(0, |inflight| self.now.saturating_sub(inflight.sent_at));
        self.end_attempt(key, attempt, outcome, elapsed);
    }

    /// Whether an earlier request with the same id is in flight, or may have been executed, so that this one could repeat
    /// its effect.
    pub(super) fn may_repeat_effect(&self, incoming: &IncomingRequest) -> bool {
        let id = &incoming.request_id;
        self.effect_of(incoming) != Effect::Idempotent
            && (self.requests.is_open(id) || self.executed_ids.contains(id))
    }

    fn effect_of(&self, incoming: &IncomingRequest) -> Effect {
        self.effects.get(incoming.class).copied().unwrap_or(Effect::SideEffecting)
    }

    /// Checks whether the invariants allow this attempt now.
    fn check_attempt(&self, key: RequestKey, spec: &AttemptSpec, prior: &[Attempt]) -> Result<(), Violation> {
        let request = self.requests.get(key).ok_or(Violation::AttemptAfterAnswer)?;
        let proposed = ProposedAttempt {
            effect: self.effect_of(&request.incoming),
            is_answered: request.is_answered,
            is_client_gone: request.incoming.cancellation.is_cancelled(),
            deadline: request.deadline,
            node_state: self.nodes.state(spec.node),
            source_state: spec.source.map(|source| self.nodes.state(source)),
            prior_attempts: prior,
        };
        proposed.check(self.now)
    }

    /// Ends an attempt that violates an invariant, without sending it.
    fn reject_attempt(&mut self, key: RequestKey, attempt: usize, violation: Violation) {
        if let Some(request) = self.requests.get_mut(key) {
            request.record_attempt(None);
            // A client may disconnect while the attempt is being chosen, so this is not counted as a violation.
            if violation != Violation::AttemptForGoneClient {
                self.counters.record_violation(request.id_text(), violation);
            }
        }
        self.end_attempt(key, attempt, Outcome::NotSent, Ns::MAX);
    }
}

impl Transport for ActionExecutor {
    fn send(&mut self, id: u64, spec: &AttemptSpec, prior: &[Attempt]) {
        let attempt = prior.len();
        if let Err(violation) = self.check_attempt(id, spec, prior) {
            return self.reject_attempt(id, attempt, violation);
        }
        let Some(request) = self.requests.get(id) else { return };
        let used = self.requests.used_connections(&request.incoming.request_id);
        let Some(request) = self.requests.get_mut(id) else { return };
        tracing::debug!(
            "request {} attempt {attempt} to {} from {}",
            request.id_text(),
            self.nodes.name(spec.node),
            spec.source.map_or("-", |source| self.nodes.name(source)),
        );
        self.counters.attempts += 1;
        self.counters.further_attempts += u64::from(attempt > 0);
        let fill_path = request.hierarchy.as_ref().zip(spec.source).and_then(|(hierarchy, source)| {
            hierarchy.fill_path(self.nodes.name(source), request.incoming.object)
        });
        let inflight = InflightAttempt { key: id, attempt, sent_at: self.now };
        let sent = self.nodes.send(inflight, &request.incoming, spec, fill_path.as_deref(), &used);
        request.record_attempt(sent.ok());
        match sent {
            Ok(_) => {
                let requests = &self.requests;
                let timer = Timer::AttemptTimeout { key: id, attempt };
                self.timers.schedule(self.now + spec.timeout, timer, |key| requests.contains(key));
            }
            // The attempt was never sent, so its duration says nothing about the node.
            Err(outcome) => self.end_attempt(id, attempt, outcome, Ns::MAX),
        }
    }

    fn reject(&mut self, id: u64, retry_after: Ns) {
        self.answer(id, Response::Rejected { retry_after_ms: retry_after / NS_PER_MS });
    }

    fn fail(&mut self, id: u64) {
        self.answer(id, Response::Failed);
    }

    fn cancel(&mut self, id: u64, attempt: usize) {
        self.abandon_attempt(id, attempt, Outcome::Cancelled);
    }

    fn withdraw(&mut self, id: u64, attempt: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(connection) = request.connection_of(attempt) else { return };
        // An attempt that has not begun to be written is ended by an event of its connection.
        if !self.nodes.withdraw_unbegun(connection, &request.incoming.request_id) {
            self.abandon_attempt(id, attempt, Outcome::Cancelled);
        }
    }

    fn drop_unbegun(&mut self, id: u64, attempt: usize) {
        let Some(request) = self.requests.get(id) else { return };
        if let Some(connection) = request.connection_of(attempt) {
            self.nodes.withdraw_unbegun(connection, &request.incoming.request_id);
        }
    }

    fn time_out(&mut self, id: u64, attempt: usize) {
        self.abandon_attempt(id, attempt, Outcome::TimedOut);
    }

    fn schedule_check(&mut self, id: u64, generation: u32, after: Ns) {
        let requests = &self.requests;
        let timer = Timer::Check { key: id, generation };
        self.timers.schedule(self.now + after, timer, |key| requests.contains(key));
    }

    fn release(&mut self, id: u64, may_have_executed: bool) {
        let Some(request) = self.requests.remove(id) else { return };
        if may_have_executed && self.effect_of(&request.incoming) != Effect::Idempotent {
            self.executed_ids.record(request.incoming.request_id, self.now);
        }
    }
}
