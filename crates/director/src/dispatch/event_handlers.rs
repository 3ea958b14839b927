//! The dispatcher's handlers, one for each kind of event.

use std::collections::BTreeSet;
use std::sync::Arc;

use sablecross::{LoadReport, Ns, Outcome, Request};
use sablecross_inflight::AttemptResult;

use super::dispatcher::{DispatchError, Dispatcher, Phase};
use crate::events::{
    AttemptEnded, CachedCopy, CallId, ClientId, ConnectionLoss, Event, IncomingRequest, NodeConnectionId,
    RequestId, RequestKey,
};
use crate::wire::node_pool::InflightAttempt;
use crate::wire::response::Response;

impl Dispatcher {
    pub(super) fn handle_event(&mut self, event: Event) -> Result<(), DispatchError> {
        match event {
            Event::Request(incoming) => self.on_request(incoming),
            Event::Unusable { client, call, is_overload } => self.refuse_call(client, call, is_overload),
            Event::HealthCheck { client, call } => {
                let is_healthy = self.has_endpoints && self.phase == Phase::Serving;
                self.executor.respond(client, call, Response::Health(is_healthy));
            }
            Event::Cancelled { client, call } => {
                if let Some(key) = self.executor.requests.close_call(client, call) {
                    self.cancel_request(key);
                }
            }
            Event::ClientDisconnected { client } => {
                for key in self.executor.requests.close_client(client) {
                    self.cancel_request(key);
                }
            }
            Event::AttemptEnded { connection, result } => self.on_attempt_ended(connection, *result),
            Event::ConnectionLost { connection, loss, begun_requests } => {
                self.on_connection_lost(connection, loss, &begun_requests);
            }
            Event::AttemptNotSent { connection, request_id } => {
                self.on_attempt_not_sent(connection, &request_id);
            }
            Event::Discovery(event) => self.on_discovery_event(event),
            Event::PeerCalled { client, call, body } => {
                if !self.coordination.forward_call(client, call, body) {
                    self.executor.respond(client, call, Response::Failed);
                }
            }
            Event::PeerCallAnswered { client, call, body } => self.on_peer_call_answered(client, call, body),
            Event::CoordinationReloaded(settings) => self.coordination.reconfigure(*settings),
            Event::HealthReports(reports) => self.on_health_reports(reports),
            Event::Shutdown => self.on_shutdown_requested(),
            Event::LogCounters => self.log_counters(),
            Event::ClientsFinished => self.phase = Phase::ClientsFinished,
            Event::ThreadEnded("clients") if self.phase == Phase::ClientsFinished => {}
            Event::ThreadEnded(name) => return Err(DispatchError::ThreadEnded(name)),
        }
        Ok(())
    }

    fn on_request(&mut self, incoming: Box<IncomingRequest>) {
        let (client, call) = (incoming.client, incoming.call);
        if incoming.cancellation.is_cancelled() {
            self.executor.counters.received += 1;
            self.executor.counters.cancelled += 1;
            return;
        }
        if self.lacks_capacity_for(client) {
            return self.refuse_call(client, call, true);
        }
        if self.executor.requests.has_conflicting_id(&incoming) || self.executor.may_repeat_effect(&incoming)
        {
            return self.refuse_call(client, call, false);
        }
        self.executor.counters.received += 1;
        self.coordination.record_request(incoming.object, incoming.part, incoming.class);
        let client_deadline = incoming.arrived_at + incoming.time_budget;
        let deadline = client_deadline.saturating_sub(self.executor.shared.limits.answer_margin);
        let request = request_for_router(&incoming, deadline);
        let key = self.executor.requests.insert(incoming, deadline, self.hierarchy.active().cloned());
        self.table.admit(key, request, self.executor.now, &mut self.executor);
    }

    fn lacks_capacity_for(&self, client: ClientId) -> bool {
        let (limits, requests) = (&self.executor.shared.limits, &self.executor.requests);
        matches!(self.phase, Phase::Draining | Phase::ClientsFinished)
            || requests.open_calls(client) >= limits.max_open_per_client
            || requests.len() >= limits.max_requests
    }

    /// Answers a call for which no request is created: rejects it if there is no capacity for it, fails it if it is
    /// invalid.
    fn refuse_call(&mut self, client: ClientId, call: CallId, is_overload: bool) {
        let counters = &mut self.executor.counters;
        counters.received += 1;
        let response = if is_overload {
            counters.rejected_overload += 1;
            counters.rejected += 1;
            Response::Rejected { retry_after_ms: 0 }
        } else {
            counters.unusable += 1;
            counters.failed += 1;
            Response::Failed
        };
        self.executor.respond(client, call, response);
    }

    /// Handles a node's answer to an attempt: forwards the copy to the client, and passes the outcome to the router.
    fn on_attempt_ended(&mut self, connection: NodeConnectionId, ended: AttemptEnded) {
        let node = self.executor.nodes.node_of(connection);
        if let (Some(load), Some(node)) = (ended.load, node) {
            self.table.router.record_load(self.executor.now, node, load);
        }
        let answered = self.executor.nodes.on_answer(connection, &ended.request_id, ended.ended_at);
        let Some(InflightAttempt { key, attempt, sent_at }) = answered else { return };
        let Some(request) = self.executor.requests.get_mut(key) else { return };
        request.end_attempt(attempt);
        let outcome = match ended.copy {
            Some(copy) => self.forward_copy(key, copy, ended.outcome),
            None => ended.outcome,
        };
        let result = AttemptResult {
            outcome,
            elapsed: ended.ended_at.saturating_sub(sent_at),
            is_cache_hit: ended.is_cache_hit,
            is_final: outcome == Outcome::Success,
        };
        self.process_result(key, attempt, result);
    }

    /// Answers the client with a node's copy, and returns the outcome of the attempt. The body is left out if the
    /// client holds the same copy, as shown by its tag.
    fn forward_copy(&mut self, key: RequestKey, copy: CachedCopy, outcome: Outcome) -> Outcome {
        let request = self.executor.requests.get(key);
        let client_tag = request.and_then(|request| request.incoming.client_tag.as_deref());
        let client_has_copy = client_tag == Some(&*copy.tag);
        if copy.body.is_none() && !client_has_copy {
            // The node reports the client's copy as current and sent no body, but the client holds no copy with this
            // tag.
            return Outcome::Error;
        }
        let body = copy.body.filter(|_| copy.tag.is_empty() || !client_has_copy);
        self.executor.answer(key, Response::Success(body));
        outcome
    }

    /// Handles the loss of a connection to a node. Attempts that were at least partly written may have run on the node;
    /// the others never did.
    fn on_connection_lost(
        &mut self,
        connection: NodeConnectionId,
        loss: ConnectionLoss,
        begun_requests: &BTreeSet<RequestId>,
    ) {
        for InflightAttempt { key, attempt, sent_at } in self.executor.nodes.on_connection_lost(connection) {
            let Some(request) = self.executor.requests.get_mut(key) else { continue };
            request.end_attempt(attempt);
            // A node may reset an idle connection at any time, which is no failure: attempts that were not begun on it
            // count as not sent.
            let outcome = match loss {
                ConnectionLoss::Unreachable => Outcome::ConnectFailed,
                ConnectionLoss::Broken if begun_requests.contains(&request.incoming.request_id) => {
                    Outcome::ConnectionLost
                }
                ConnectionLoss::Broken | ConnectionLoss::LocalShortage => Outcome::NotSent,
            };
            let elapsed = self.executor.now.saturating_sub(sent_at);
            self.executor.end_attempt(key, attempt, outcome, elapsed);
        }
    }

    fn on_attempt_not_sent(&mut self, connection: NodeConnectionId, request_id: &RequestId) {
        if let Some(InflightAttempt { key, attempt, .. }) =
            self.executor.nodes.on_not_sent(connection, request_id)
            && let Some(request) = self.executor.requests.get_mut(key)
        {
            request.end_attempt(attempt);
            self.executor.end_attempt(key, attempt, Outcome::NotSent, Ns::MAX);
        }
    }

    fn on_peer_call_answered(&mut self, client: ClientId, call: CallId, answer: Option<Vec<u8>>) {
        let body = answer.and_then(|bytes| {
            let mut body = self.executor.shared.memory_budget.allocate_body(bytes.len())?;
            body.bytes_mut().copy_from_slice(&bytes);
            Some(Arc::new(body))
        });
        let response = body.map_or(Response::Failed, |body| Response::Success(Some(body)));
        self.executor.respond(client, call, response);
    }

    fn on_health_reports(&mut self, reports: Vec<(String, LoadReport)>) {
        for (name, load) in reports {
            if let Some(node) = self.executor.nodes.index_of(&name) {
                self.table.router.record_load(self.executor.now, node, load);
            }
        }
    }

    fn on_shutdown_requested(&mut self) {
        if self.phase == Phase::Serving {
            tracing::info!("stopping in_flight={}", self.executor.requests.len());
            self.coordination.stop();
            self.phase = Phase::ShutdownRequested { at: self.executor.now };
        }
    }
}

/// Builds the router's view of a request that has no attempts yet.
fn request_for_router(incoming: &IncomingRequest, deadline: Ns) -> Request {
    Request {
        object: incoming.object,
        part: incoming.part,
        group: incoming.group,
        class: incoming.class,
        size_kb: incoming.size_kb,
        arrived_at: incoming.arrived_at,
        deadline,
        is_client_retry: incoming.is_client_retry,
        is_write: false,
        attempts: Vec::new(),
    }
}
