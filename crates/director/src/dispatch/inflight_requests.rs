//! The dispatcher's state of the requests in flight, in addition to the state that the router keeps.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use sablecross::Ns;

use crate::events::{ClientId, IncomingRequest, NodeConnectionId, RequestId, RequestKey};
use crate::parent_hierarchy::ActiveHierarchy;
use crate::wire::node_protocol::request_id_text;

/// A request in flight.
pub(super) struct InflightRequest {
    pub(super) incoming: Box<IncomingRequest>,
    /// The client's deadline minus the answer margin.
    pub(super) deadline: Ns,
    /// Whether the final answer has been sent, or none is needed any more.
    pub(super) is_answered: bool,
    /// The hierarchy version that determines the request's fill paths: the one that was active when it arrived.
    pub(super) hierarchy: Option<Arc<ActiveHierarchy>>,
    /// The connection on which each attempt is outstanding; `None` if the attempt has ended or was never sent.
    connections_by_attempt: Vec<Option<NodeConnectionId>>,
    /// All connections that have carried an attempt of this request. None of them carries a second one, also not of
    /// another request with the same id, because a late answer to the first attempt could be mistaken for an answer to
    /// the second.
    used_connections: Vec<NodeConnectionId>,
}

impl InflightRequest {
    fn new(
        incoming: Box<IncomingRequest>,
        deadline: Ns,
        hierarchy: Option<Arc<ActiveHierarchy>>,
    ) -> InflightRequest {
        InflightRequest {
            incoming,
            deadline,
            is_answered: false,
            hierarchy,
            connections_by_attempt: Vec::new(),
            used_connections: Vec::new(),
        }
    }

    /// The request id as printed in the log.
    pub(super) fn id_text(&self) -> &str {
        request_id_text(&self.incoming.request_id)
    }

    pub(super) fn attempt_count(&self) -> usize {
        self.connections_by_attempt.len()
    }

    /// Records the next attempt with its connection, or with `None` if it could not be sent.
    pub(super) fn record_attempt(&mut self, connection: Option<NodeConnectionId>) {
        self.connections_by_attempt.push(connection);
        self.used_connections.extend(connection);
    }

    /// Returns the connection on which an attempt is outstanding.
    pub(super) fn connection_of(&self, attempt: usize) -> Option<NodeConnectionId> {
        self.connections_by_attempt.get(attempt).copied().flatten()
    }

    /// Marks an attempt as no longer outstanding, and returns the connection on which it was.
    pub(super) fn end_attempt(&mut self, attempt: usize) -> Option<NodeConnectionId> {
        self.connections_by_attempt.get_mut(attempt).and_then(Option::take)
    }

    fn has_same_target(&self, other: &IncomingRequest) -> bool {
        let own = &self.incoming;
        (own.object, own.part, own.class) == (other.object, other.part, other.class)
    }
}

/// The requests in flight, indexed by key, by the client's call and by request id.
#[derive(Default)]
pub(super) struct InflightRequests {
    requests: BTreeMap<RequestKey, InflightRequest>,
    /// The requests of each client's open calls, by the number of the call.
    by_call: HashMap<ClientId, HashMap<u32, RequestKey>>,
    /// The ids of all requests in flight, with the keys of the requests. Several may have the same id.
    by_request_id: BTreeSet<(RequestId, RequestKey)>,
    next_key: RequestKey,
}

impl InflightRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn contains(&self, key: RequestKey) -> bool {
        self.requests.contains_key(&key)
    }

    pub(super) fn get(&self, key: RequestKey) -> Option<&InflightRequest> {
        self.requests.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: RequestKey) -> Option<&mut InflightRequest> {
        self.requests.get_mut(&key)
    }

    /// Returns the key that the next inserted request will get.
    pub(super) fn next_key(&self) -> RequestKey {
        self.next_key
    }

    /// Returns the key of the oldest request in flight, or the next key if there is none.
    pub(super) fn oldest_key(&self) -> RequestKey {
        self.requests.first_key_value().map_or(self.next_key, |(key, _)| *key)
    }

    pub(super) fn unanswered_count(&self) -> usize {
        self.requests.values().filter(|request| !request.is_answered).count()
    }

    pub(super) fn open_calls(&self, client: ClientId) -> usize {
        self.by_call.get(&client).map_or(0, HashMap::len)
    }

    /// Whether a request for a different object, part or class is in flight under the same request id. An answer to one
    /// of them could be mistaken for an answer to the other.
    pub(super) fn has_conflicting_id(&self, incoming: &IncomingRequest) -> bool {
        self.with_id(&incoming.request_id).any(|request| !request.has_same_target(incoming))
    }

    /// The connections that have carried attempts of requests in flight with this id.
    pub(super) fn used_connections(&self, request_id: &RequestId) -> Vec<NodeConnectionId> {
        self.with_id(request_id).flat_map(|request| &request.used_connections).copied().collect()
    }

    /// Whether a request with this id is in flight.
    pub(super) fn is_open(&self, request_id: &RequestId) -> bool {
        self.with_id(request_id).next().is_some()
    }

    /// All requests in flight with this id, oldest first.
    fn with_id(&self, request_id: &RequestId) -> impl Iterator<Item = &InflightRequest> {
        let all_keys = (*request_id, RequestKey::MIN)..=(*request_id, RequestKey::MAX);
        self.by_request_id.range(all_keys).filter_map(|(_, key)| self.requests.get(key))
    }

    /// Inserts a request under a new key.
    pub(super) fn insert(
        &mut self,
        incoming: Box<IncomingRequest>,
        deadline: Ns,
        hierarchy: Option<Arc<ActiveHierarchy>>,
    ) -> RequestKey {
        let key = self.next_key;
        self.next_key += 1;
        self.by_call.entry(incoming.client).or_default().insert(incoming.call.number, key);
        self.by_request_id.insert((incoming.request_id, key));
        self.requests.insert(key, InflightRequest::new(incoming, deadline, hierarchy));
        key
    }

    /// Removes and returns a request that the router has released.
    pub(super) fn remove(&mut self, key: RequestKey) -> Option<InflightRequest> {
        let request = self.requests.remove(&key)?;
        self.by_request_id.remove(&(request.incoming.request_id, key));
        Some(request)
    }

    /// Closes a call that was answered or cancelled, and returns its request if the call has one.
    pub(super) fn close_call(&mut self, client: ClientId, number: u32) -> Option<RequestKey> {
        self.by_call.get_mut(&client)?.remove(&number)
    }

    /// Closes all calls of a client that has disconnected, and returns their requests, oldest first.
    pub(super) fn close_client(&mut self, client: ClientId) -> Vec<RequestKey> {
        let calls = self.by_call.remove(&client).unwrap_or_default();
        let mut keys: Vec<RequestKey> = calls.into_values().collect();
        keys.sort_unstable();
        keys
    }
}
