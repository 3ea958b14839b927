//! The dispatcher's view of the nodes: a small pool of connections to each node, opened on demand. No call here waits for
//! a socket; `node_connections` serves the sockets on its own thread.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use sablecross::{AttemptSpec, EndpointState, EndpointUpdate, Ns, Outcome};

use super::node_connections::{CommandSender, ConnectionCommand};
use super::node_protocol;
use super::outgoing_message::{BeginFlag, Content, OutgoingMessage};
use crate::discovery_event::Endpoint;
use crate::events::{CancellationFlag, IncomingRequest, NodeConnectionId, RequestId, RequestKey};
use crate::node_registry::NodeRegistry;
use crate::shared::SharedContext;

/// An attempt that is outstanding on a connection.
#[derive(Clone, Copy, Debug)]
pub struct InflightAttempt {
    /// The request in flight.
    pub key: RequestKey,
    /// The index of the attempt among the request's attempts.
    pub attempt: usize,
    /// When the attempt was handed to the connection.
    pub sent_at: Ns,
}

struct OutstandingAttempt {
    attempt: InflightAttempt,
    /// The node from which a miss is filled.
    source: Option<usize>,
    /// Tells the node thread that the attempt must not be begun any more.
    withdrawal: CancellationFlag,
    /// Set by the node thread before it begins the attempt.
    begin: BeginFlag,
}

struct PooledConnection {
    node: usize,
    outstanding: BTreeMap<RequestId, OutstandingAttempt>,
    /// The requests whose attempts on the connection were begun and then abandoned. A late answer to one of them could be
    /// mistaken for an answer to another attempt under the same id, so the connection carries none.
    abandoned: BTreeSet<RequestId>,
    /// When the connection was opened or last received an answer.
    last_received: Ns,
    /// When the last attempt on the connection was sent or answered.
    last_used: Ns,
    /// Whether the connection gets no more attempts; it is closed once no attempt is outstanding.
    is_retired: bool,
}

struct Pool {
    /// The latest entry of the node, with its address.
    listing: EndpointUpdate,
    address: SocketAddr,
    /// Whether the node was listed as ready at this address, and has not gone from there since.
    is_listed: bool,
    connections: Vec<NodeConnectionId>,
}

/// An outstanding attempt that may be withdrawn.
#[derive(Clone, Copy, Debug)]
pub struct WithdrawCandidate {
    /// The request in flight.
    pub key: RequestKey,
    /// The node to which the attempt was sent.
    pub node: usize,
    /// The node from which a miss is filled.
    pub source: Option<usize>,
}

/// How a connection ranks for the next attempt, lowest first: the number of outstanding attempts, the time since its last
/// use, its id.
type ConnectionRank = (usize, Ns, NodeConnectionId);

/// The pools of connections to all nodes.
pub struct NodePool {
    shared: Arc<SharedContext>,
    /// Indexed by the router's index of the node.
    pools: Vec<Pool>,
    /// The node that was the last one to become ready at each address.
    nodes_by_address: HashMap<SocketAddr, usize>,
    registry: NodeRegistry,
    connections: HashMap<NodeConnectionId, PooledConnection>,
    next_id: NodeConnectionId,
    commands: CommandSender,
    /// Connections to close, for which the command queue had no room yet.
    unsent_closes: VecDeque<NodeConnectionId>,
}

impl NodePool {
    /// Creates a pool without nodes.
    pub fn new(commands: CommandSender, shared: Arc<SharedContext>) -> NodePool {
        NodePool {
            shared,
            pools: Vec::new(),
            nodes_by_address: HashMap::new(),
            registry: NodeRegistry::default(),
            connections: HashMap::new(),
            next_id: 0,
            commands,
            unsent_closes: VecDeque::new(),
        }
    }

    /// The number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// The number of connections opened since the start.
    pub fn opened_connections(&self) -> u64 {
        self.next_id
    }

    /// The router's index of a node.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.registry.index_of(name)
    }

    /// The name of a node.
    pub fn name(&self, node: usize) -> &str {
        self.registry.name(node)
    }

    /// The state of a node in the last endpoint list.
    pub fn state(&self, node: usize) -> EndpointState {
        self.registry.state(node)
    }

    /// Records the start times of the endpoints, before they are passed to `update_endpoints`.
    pub fn observe_starts(&mut self, endpoints: &[Endpoint]) {
        self.registry.observe_starts(endpoints, self.shared.clock.now());
    }

    /// Applies an endpoint list and returns it in the router's form. Connections to nodes that are gone are retired, and
    /// attempts that are not begun are withdrawn if their node or source is no longer ready.
    ///
    /// `oldest` is the key of the oldest request in flight, `next` the key of the next request. The indexes of nodes that
    /// are gone are reused, so that the state kept per index is bounded by the number of current nodes and of requests in
    /// flight.
    pub fn update_endpoints(
        &mut self,
        endpoints: &[Endpoint],
        is_snapshot: bool,
        oldest: RequestKey,
        next: RequestKey,
    ) -> Vec<EndpointUpdate> {
        let now = self.shared.clock.now();
        self.registry.observe_starts(endpoints, now);
        let pools = &self.pools;
        self.registry.release_unused(oldest, |node| pools[node].connections.is_empty());
        let mut displaced = Vec::new();
        let mut updates: Vec<EndpointUpdate> = endpoints
            .iter()
            .filter_map(|endpoint| self.update_endpoint(endpoint, now, &mut displaced))
            .collect();
        let named: HashSet<usize> = updates.iter().map(|update| update.node).collect();
        displaced.retain(|node| !named.contains(node));
        updates.extend(displaced.into_iter().map(|node| self.gone_update(node)));
        let states: HashMap<usize, EndpointState> =
            updates.iter().map(|update| (update.node, update.state)).collect();
        // An attempt that still waits to be written must not begin after the node's grace period for draining, however
        // late its connection is established.
        let remains_ready =
            |node| states.get(&node).map_or(!is_snapshot, |state| *state == EndpointState::Ready);
        if is_snapshot || states.values().any(|state| *state != EndpointState::Ready) {
            self.withdraw(|candidate| {
                !remains_ready(candidate.node)
                    || candidate.source.is_some_and(|source| !remains_ready(source))
            });
        }
        for node in self.registry.record_states(&updates, is_snapshot, next) {
            self.retire_all(node);
            self.release_address(node);
        }
        updates
    }

    /// Applies one entry of an endpoint list. Connections to another process than the listed one are retired. If the node
    /// becomes ready at an address that is new for it, the node that was there before is added to `displaced`.
    fn update_endpoint(
        &mut self,
        endpoint: &Endpoint,
        now: Ns,
        displaced: &mut Vec<usize>,
    ) -> Option<EndpointUpdate> {
        let update = self.registry.endpoint_update(&self.shared.names, endpoint, now)?;
        let (node, address) = (update.node, endpoint.address);
        if node == self.pools.len() {
            let connections = Vec::new();
            self.pools.push(Pool { listing: update, address, is_listed: false, connections });
        }
        let pool = &self.pools[node];
        let is_same_process = (pool.address, pool.listing.started_at) == (address, update.started_at);
        if !is_same_process {
            self.retire_all(node);
        }
        let pool = &self.pools[node];
        if update.state == EndpointState::Ready && (!pool.is_listed || pool.address != address) {
            self.release_address(node);
            let earlier = self.nodes_by_address.insert(address, node);
            displaced.extend(earlier.filter(|&earlier| earlier != node));
            self.pools[node].is_listed = true;
        }
        self.pools[node].address = address;
        self.pools[node].listing = update;
        Some(update)
    }

    /// The entry that declares a node as gone because another one has its address now. Whatever is sent to that address
    /// reaches the other one.
    fn gone_update(&self, node: usize) -> EndpointUpdate {
        tracing::info!("node {node} is gone: another one has its address {}", self.pools[node].address);
        EndpointUpdate { state: EndpointState::Gone, ..self.pools[node].listing }
    }

    /// Records that a node is not listed at its address any more.
    fn release_address(&mut self, node: usize) {
        let pool = &mut self.pools[node];
        pool.is_listed = false;
        if self.nodes_by_address.get(&pool.address) == Some(&node) {
            self.nodes_by_address.remove(&pool.address);
        }
    }

    fn retire_all(&mut self, node: usize) {
        for id in self.pools[node].connections.clone() {
            self.retire(id);
        }
    }

    /// Sends no more attempts on a connection, and closes it once no attempt is outstanding.
    fn retire(&mut self, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_retired = true;
        if connection.outstanding.is_empty() {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: NodeConnectionId) -> Option<PooledConnection> {
        let connection = self.connections.remove(&id)?;
        self.unsent_closes.push_back(id);
        while let Some(id) = self.unsent_closes.pop_front() {
            if !self.commands.send(ConnectionCommand::Close(id)) {
                self.unsent_closes.push_front(id);
                break;
            }
        }
        if let Some(pool) = self.pools.get_mut(connection.node) {
            pool.connections.retain(|&other| other != id);
        }
        Some(connection)
    }

    /// Hands an attempt to a connection of its node and returns the connection's id, or the outcome of the attempt if it
    /// can't be sent. `used` are the connections that carried this request before: they are left out, because a late
    /// answer to an earlier attempt could be taken for the answer to this one.
    pub fn send(
        &mut self,
        attempt: InflightAttempt,
        request: &IncomingRequest,
        spec: &AttemptSpec,
        fill_path: Option<&str>,
        used: &[NodeConnectionId],
    ) -> Result<NodeConnectionId, Outcome> {
        let class = self.shared.names.classes.get(request.class).ok_or(Outcome::NotSent)?;
        let source = spec.source.map(|source| self.name(source));
        let head = node_protocol::pull_head(request, spec, class, source, fill_path);
        let id = self.select_connection(spec.node, &request.request_id, used, attempt.sent_at)?;
        let connection = self.connections.get_mut(&id).ok_or(Outcome::NotSent)?;
        let (withdrawal, begin) = (CancellationFlag::default(), BeginFlag::default());
        let message = OutgoingMessage {
            request_id: request.request_id,
            content: Content::Pull {
                head,
                body: Arc::clone(&request.body),
                begin_by: spec.begin_by,
                answer_by: attempt.sent_at + spec.timeout,
            },
            withdrawal: withdrawal.clone(),
            begin: begin.clone(),
            client_cancellation: request.cancellation.clone(),
        };
        if !self.commands.send(ConnectionCommand::Send { connection: id, message }) {
            return Err(Outcome::NotSent);
        }
        let outstanding = OutstandingAttempt { attempt, source: spec.source, withdrawal, begin };
        connection.outstanding.insert(request.request_id, outstanding);
        connection.last_used = attempt.sent_at;
        Ok(id)
    }

    /// Selects an idle connection if there is one, because a body blocks the answers behind it on the same connection;
    /// otherwise a new connection if the limits allow it; otherwise the connection with the fewest outstanding attempts.
    fn select_connection(
        &mut self,
        node: usize,
        request_id: &RequestId,
        used: &[NodeConnectionId],
        now: Ns,
    ) -> Result<NodeConnectionId, Outcome> {
        let shared = Arc::clone(&self.shared);
        let limits = &shared.limits;
        let pool = self.pools.get(node).ok_or(Outcome::NotSent)?;
        let mut best: Option<ConnectionRank> = None;
        let mut idle_too_long = Vec::new();
        for &id in &pool.connections {
            let Some(connection) = self.connections.get(&id).filter(|connection| !connection.is_retired)
            else {
                continue;
            };
            let outstanding = connection.outstanding.len();
            if outstanding == 0 && now > connection.last_used + limits.node_idle_timeout {
                idle_too_long.push(id);
                continue;
            }
            let is_usable = outstanding < limits.max_open_per_connection
                && !connection.outstanding.contains_key(request_id)
                && !connection.abandoned.contains(request_id)
                && !used.contains(&id);
            let rank = (outstanding, now.saturating_sub(connection.last_used), id);
            if is_usable && best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        let (count, address) = (pool.connections.len() - idle_too_long.len(), pool.address);
        idle_too_long.into_iter().for_each(|id| self.retire(id));
        let has_room =
            count < limits.max_connections_per_node && self.connections.len() < limits.max_node_connections;
        match best {
            Some((0, _, id)) => Ok(id),
            _ if has_room => self.connect(node, address, now),
            Some((_, _, id)) => Ok(id),
            None => Err(Outcome::NotSent),
        }
    }

    fn connect(&mut self, node: usize, address: SocketAddr, now: Ns) -> Result<NodeConnectionId, Outcome> {
        let id = self.next_id;
        let deadline = now + self.shared.limits.connect_timeout;
        if !self.commands.send(ConnectionCommand::Connect { connection: id, address, deadline }) {
            return Err(Outcome::NotSent);
        }
        self.next_id += 1;
        let connection = PooledConnection {
            node,
            outstanding: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            last_received: now,
            last_used: now,
            is_retired: false,
        };
        self.connections.insert(id, connection);
        self.pools[node].connections.push(id);
        Ok(id)
    }

    /// The node to which a connection leads.
    pub fn node_of(&self, connection: NodeConnectionId) -> Option<usize> {
        self.connections.get(&connection).map(|connection| connection.node)
    }

    /// Records an answer and returns the attempt that it ends; `None` if the attempt was abandoned before.
    pub fn on_answer(
        &mut self,
        id: NodeConnectionId,
        request_id: &RequestId,
        at: Ns,
    ) -> Option<InflightAttempt> {
        let connection = self.connections.get_mut(&id)?;
        connection.last_received = connection.last_received.max(at);
        connection.last_used = connection.last_used.max(at);
        let answered = connection.outstanding.remove(request_id).map(|outstanding| outstanding.attempt);
        if answered.is_none() {
            connection.abandoned.remove(request_id);
        }
        if connection.is_retired && connection.outstanding.is_empty() {
            self.remove(id);
        }
        answered
    }

    /// Abandons an attempt and cancels it at the node. A connection that has received no answer for `silence_threshold`
    /// since it got the attempt is retired: an answer that stopped midway or never comes would block all later ones.
    pub fn abandon(
        &mut self,
        id: NodeConnectionId,
        request_id: &RequestId,
        now: Ns,
    ) -> Option<InflightAttempt> {
        let connection = self.connections.get_mut(&id)?;
        let OutstandingAttempt { attempt, withdrawal, begin, .. } =
            connection.outstanding.remove(request_id)?;
        // An attempt that is not begun must never reach the node once the client may have its answer.
        withdrawal.cancel();
        if begin.is_set() {
            connection.abandoned.insert(*request_id);
        }
        let has_many_abandoned =
            connection.abandoned.len() >= self.shared.limits.max_abandoned_per_connection;
        let kill = ConnectionCommand::Kill { connection: id, request_id: *request_id };
        let is_kill_queued = self.commands.send(kill);
        let is_silent = connection.last_received <= attempt.sent_at
            && now >= attempt.sent_at + self.shared.limits.silence_threshold;
        if !is_kill_queued || is_silent || has_many_abandoned || connection.is_retired {
            self.retire(id);
        }
        Some(attempt)
    }

    /// Withdraws the attempts that the predicate selects. Those that are not begun yet are never begun, and an
    /// `AttemptNotSent` event ends each of them.
    pub fn withdraw(&mut self, is_selected: impl Fn(&WithdrawCandidate) -> bool) {
        let mut affected: Vec<NodeConnectionId> = Vec::new();
        for (&id, connection) in &self.connections {
            let withdrawn = connection.outstanding.values().filter(|outstanding| {
                is_selected(&WithdrawCandidate {
                    key: outstanding.attempt.key,
                    node: connection.node,
                    source: outstanding.source,
                })
            });
            if withdrawn.map(|outstanding| outstanding.withdrawal.cancel()).count() > 0 {
                affected.push(id);
            }
        }
        affected.sort_unstable();
        for id in affected {
            // If the command queue is full, the connection's next sweep finds the withdrawn attempts.
            self.commands.send(ConnectionCommand::Withdraw(id));
        }
    }

    /// Withdraws an attempt that is not begun yet: it is never begun, and an `AttemptNotSent` event ends it. Returns false
    /// if the attempt may have been begun already.
    pub fn withdraw_unbegun(&mut self, id: NodeConnectionId, request_id: &RequestId) -> bool {
        let connection = self.connections.get(&id);
        let outstanding = connection.and_then(|connection| connection.outstanding.get(request_id));
        let Some(OutstandingAttempt { withdrawal, begin, .. }) = outstanding else { return false };
        // This thread sets `withdrawal` and then reads `begin`; the node thread sets `begin` and then reads
        // `withdrawal`. At least one of them sees the other's flag.
        withdrawal.cancel();
        if begin.is_set() {
            return false;
        }
        self.commands.send(ConnectionCommand::Withdraw(id));
        true
    }

    /// Removes and returns an attempt that was never begun; `None` if it was abandoned before this became known.
    pub fn on_not_sent(&mut self, id: NodeConnectionId, request_id: &RequestId) -> Option<InflightAttempt> {
        let connection = self.connections.get_mut(&id)?;
        let attempt = connection.outstanding.remove(request_id)?.attempt;
        // The connection drops this kill, which clears its record of the dropped attempt.
        let kill = ConnectionCommand::Kill { connection: id, request_id: *request_id };
        if !self.commands.send(kill) || connection.is_retired {
            self.retire(id);
        }
        Some(attempt)
    }

    /// Removes a lost connection and returns the attempts that were outstanding on it.
    pub fn on_connection_lost(&mut self, id: NodeConnectionId) -> Vec<InflightAttempt> {
        self.remove(id).map_or_else(Vec::new, |connection| {
            connection.outstanding.into_values().map(|outstanding| outstanding.attempt).collect()
        })
    }
}
