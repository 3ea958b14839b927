//! Carries out what the router decides: sends attempts to the pools, answers to the clients' thread, and sets timers.
//! Each attempt and answer passes the invariants first.

use std::collections::VecDeque;
use std::sync::Arc;

use sablecross::invariants::{self, ProposedAttempt, Violation};
use sablecross::{Attempt, AttemptSpec, Effect, Ns, Outcome};
use sablecross_inflight::{AttemptResult, Transport};

use super::inflight_requests::InflightRequests;
use super::timers::{Timer, TimerQueue};
use crate::clock::NS_PER_MS;
use crate::counters::Counters;
use crate::events::{CallId, ClientId, RequestKey};
use crate::shared::SharedContext;
use crate::wire::node_pool::{InflightAttempt, NodePool};
use crate::wire::response::{PendingResponse, Response};
use crate::wire::response_sender::ResponseSender;

/// The end of an attempt for which there is no event: it timed out, was cancelled or could not be sent.
pub(super) struct LocalResult {
    pub(super) key: RequestKey,
    pub(super) attempt: usize,
    pub(super) result: AttemptResult,
}

/// The dispatcher's side of the router: everything that a decision needs to be carried out.
pub(super) struct ActionExecutor {
    /// The time of the event that is being handled.
    pub(super) now: Ns,
    pub(super) shared: Arc<SharedContext>,
    pub(super) nodes: NodePool,
    pub(super) requests: InflightRequests,
    pub(super) timers: TimerQueue,
    pub(super) counters: Counters,
    /// Results that are still to be handed to the router, in their order.
    pub(super) local_results: VecDeque<LocalResult>,
    responses: ResponseSender,
    /// Responses for which there was no room in the queue to the clients' thread.
    unsent_responses: VecDeque<PendingResponse>,
    /// By request class.
    effects: Vec<Effect>,
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
            shared,
        }
    }

    /// Takes the time of what is handled next.
    pub(super) fn update_time(&mut self) {
        self.now = self.shared.clock.now();
    }

    /// Sends a response without a deadline of its own, and closes the call.
    pub(super) fn respond(&mut self, client: ClientId, call: CallId, response: Response) {
        let deadline = self.now + self.shared.limits.default_write_timeout;
        self.respond_by(client, call, deadline, response);
    }

    fn respond_by(&mut self, client: ClientId, call: CallId, deadline: Ns, response: Response) {
        self.requests.close_call(client, call.number);
        self.unsent_responses.push_back(PendingResponse { client, call, deadline, response });
        self.flush_responses();
    }

    /// Hands over the responses that found no room, in their order. There are never more than the calls that clients
    /// may have open.
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

    /// Has the clients' thread end its connections once nothing is open on them.
    pub(super) fn begin_client_shutdown(&self) {
        self.responses.begin_shutdown();
    }

    /// Gives a request its one final answer.
    pub(super) fn answer(&mut self, key: RequestKey, response: Response) {
        let Some(request) = self.requests.get_mut(key) else { return };
        if let Err(violation) = invariants::check_answer(request.is_answered) {
            // Of two attempts that are outstanding at once both may succeed: the second answer is for nobody.
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

    /// Ends an attempt; its result is handed to the router after the present event.
    pub(super) fn end_attempt(&mut self, key: RequestKey, attempt: usize, outcome: Outcome, elapsed: Ns) {
        let result = AttemptResult { outcome, elapsed, is_cache_hit: None, is_final: false };
        self.local_results.push_back(LocalResult { key, attempt, result });
    }

    /// Abandons an attempt, if it is outstanding.
    pub(super) fn abandon_attempt(&mut self, key: RequestKey, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(connection) = request.end_attempt(attempt) else { return };
        let abandoned = self.nodes.abandon(connection, &request.incoming.request_id, self.now);
        let elapsed = abandoned.map_or(0, |inflight| self.now.saturating_sub(inflight.sent_at));
        self.end_attempt(key, attempt, outcome, elapsed);
    }

    /// Whether the invariants allow this attempt now.
    fn check_attempt(&self, key: RequestKey, spec: &AttemptSpec, prior: &[Attempt]) -> Result<(), Violation> {
        let request = self.requests.get(key).ok_or(Violation::AttemptAfterAnswer)?;
        let proposed = ProposedAttempt {
            effect: self.effects.get(request.incoming.class).copied().unwrap_or(Effect::SideEffecting),
            is_answered: request.is_answered,
            is_client_gone: request.incoming.cancellation.is_cancelled(),
            deadline: request.deadline,
            node_state: self.nodes.state(spec.node),
            source_state: spec.source.map(|source| self.nodes.state(source)),
            prior_attempts: prior,
        };
        proposed.check(self.now)
    }

    /// An attempt that violates an invariant is not sent.
    fn reject_attempt(&mut self, key: RequestKey, attempt: usize, violation: Violation) {
        if let Some(request) = self.requests.get_mut(key) {
            request.record_attempt(None);
            // A client may go in the moment in which the attempt is chosen.
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
        let used = request.used_connections();
        let sent = self.nodes.send(inflight, &request.incoming, spec, fill_path.as_deref(), used);
        request.record_attempt(sent.ok());
        match sent {
            Ok(_) => {
                let requests = &self.requests;
                let timer = Timer::AttemptTimeout { key: id, attempt };
                self.timers.schedule(self.now + spec.timeout, timer, |key| requests.contains(key));
            }
            // It was never sent: how soon it ended has nothing to do with its node.
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
        // What is not begun ends by an event of its connection.
        if !self.nodes.withdraw_unbegun(connection, &request.incoming.request_id) {
            self.abandon_attempt(id, attempt, Outcome::Cancelled);
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

    fn release(&mut self, id: u64) {
        self.requests.remove(id);
    }
}
