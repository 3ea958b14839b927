//! The nodes as the dispatcher sees them: a small pool of connections to each, made when they are wanted. No call here
//! waits for a socket: `node_connections` serves them.

use std::collections::{BTreeMap, HashMap, VecDeque};
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
    /// The index of the attempt among those of the request.
    pub attempt: usize,
    /// When it was given to the connection.
    pub sent_at: Ns,
}

struct OutstandingAttempt {
    attempt: InflightAttempt,
    /// The node from which a miss is filled.
    source: Option<usize>,
    /// Tells the connection's thread that it is not to be begun any more.
    withdrawal: CancellationFlag,
    /// Set by the connection's thread.
    begin: BeginFlag,
}

struct PooledConnection {
    node: usize,
    outstanding: BTreeMap<RequestId, OutstandingAttempt>,
    /// When it was made or last answered.
    last_received: Ns,
    /// When its last attempt was sent or answered.
    last_used: Ns,
    /// Nothing more is sent on it; it is closed once nothing is outstanding.
    is_retired: bool,
}

struct Pool {
    address: SocketAddr,
    connections: Vec<NodeConnectionId>,
}

/// An outstanding attempt that may be withdrawn.
#[derive(Clone, Copy, Debug)]
pub struct WithdrawCandidate {
    /// The request in flight.
    pub key: RequestKey,
    /// The node to which it goes.
    pub node: usize,
    /// The node from which a miss is filled.
    pub source: Option<usize>,
}

/// How a connection ranks for the next attempt: the fewest outstanding first, then the one used last.
type Rank = (usize, Ns, NodeConnectionId);

/// The pools of connections to all nodes.
pub struct NodePool {
    shared: Arc<SharedContext>,
    /// By the router's index of the node.
    pools: Vec<Pool>,
    registry: NodeRegistry,
    connections: HashMap<NodeConnectionId, PooledConnection>,
    next_id: NodeConnectionId,
    commands: CommandSender,
    /// Connections that are to be closed, for which there was no room among the commands.
    unsent_closes: VecDeque<NodeConnectionId>,
}

impl NodePool {
    /// Without nodes.
    pub fn new(commands: CommandSender, shared: Arc<SharedContext>) -> NodePool {
        NodePool {
            shared,
            pools: Vec::new(),
            registry: NodeRegistry::default(),
            connections: HashMap::new(),
            next_id: 0,
            commands,
            unsent_closes: VecDeque::new(),
        }
    }

    /// The connections that are open or being made.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// The connections made since the start.
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

    /// The state of a node by the last endpoint list.
    pub fn state(&self, node: usize) -> EndpointState {
        self.registry.state(node)
    }

    /// Takes in the starts of nodes, before the first of these endpoints is listed.
    pub fn observe_starts(&mut self, endpoints: &[Endpoint]) {
        self.registry.observe_starts(endpoints, self.shared.clock.now());
    }

    /// The endpoints as the router reads them. Connections to nodes that have gone are closed, attempts that wait for
    /// a node that drains are withdrawn.
    ///
    /// `oldest` is the key of the oldest request in flight, `next` that of the one to come: indexes of nodes that are
    /// gone are given out again, so that what is kept by them is bounded by the nodes there are and the requests in
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
        let updates: Vec<EndpointUpdate> =
            endpoints.iter().filter_map(|endpoint| self.update_endpoint(endpoint, now)).collect();
        let states: HashMap<usize, EndpointState> =
            updates.iter().map(|update| (update.node, update.state)).collect();
        // What still waits to be written must not begin after the grace, however late its connection comes up.
        let stays = |node| states.get(&node).map_or(!is_snapshot, |state| *state == EndpointState::Ready);
        self.withdraw(|candidate| {
            !stays(candidate.node) || candidate.source.is_some_and(|source| !stays(source))
        });
        for node in self.registry.mark_gone(&updates, is_snapshot, next) {
            self.retire_all(node);
        }
        updates
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, now: Ns) -> Option<EndpointUpdate> {
        let update = self.registry.endpoint_update(&self.shared.names, endpoint, now)?;
        if update.node == self.pools.len() {
            self.pools.push(Pool { address: endpoint.address, connections: Vec::new() });
        } else if self.pools[update.node].address != endpoint.address {
            self.retire_all(update.node);
            self.pools[update.node].address = endpoint.address;
        }
        Some(update)
    }

    fn retire_all(&mut self, node: usize) {
        for id in self.pools[node].connections.clone() {
            self.retire(id);
        }
    }

    /// Nothing more is sent on this connection; it is closed once nothing is outstanding.
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

    /// Gives an attempt to a connection of its node; else the outcome that this stands for. A connection that carried
    /// this request before is left out: a late answer could be taken for that of this attempt.
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

    /// An idle connection, as one body blocks those behind it; else a new one; else the one with the fewest attempts
    /// outstanding.
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
        let mut best: Option<Rank> = None;
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
            last_received: now,
            last_used: now,
            is_retired: false,
        };
        self.connections.insert(id, connection);
        self.pools[node].connections.push(id);
        Ok(id)
    }

    /// The node at the other end of a connection.
    pub fn node_of(&self, connection: NodeConnectionId) -> Option<usize> {
        self.connections.get(&connection).map(|connection| connection.node)
    }

    /// The attempt that an answer ends; a late answer to one that was abandoned ends none.
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
        if connection.is_retired && connection.outstanding.is_empty() {
            self.remove(id);
        }
        answered
    }

    /// Abandons an attempt. A connection that was silent since it took the attempt, past the usual time, is not used
    /// again: an answer that stopped short or never comes leaves it stuck, for all that follows.
    pub fn abandon(
        &mut self,
        id: NodeConnectionId,
        request_id: &RequestId,
        now: Ns,
    ) -> Option<InflightAttempt> {
        let connection = self.connections.get_mut(&id)?;
        let OutstandingAttempt { attempt, withdrawal, .. } = connection.outstanding.remove(request_id)?;
        // What is not written yet never will be: a node must not see it after its client had an answer.
        withdrawal.cancel();
        let kill = ConnectionCommand::Kill { connection: id, request_id: *request_id };
        let is_killed = self.commands.send(kill);
        let is_silent = connection.last_received <= attempt.sent_at
            && now >= attempt.sent_at + self.shared.limits.silence_threshold;
        if !is_killed || is_silent || connection.is_retired {
            self.retire(id);
        }
        Some(attempt)
    }

    /// Withdraws the attempts that are chosen: those that are not begun never are, and
    /// an event ends each of them.
    pub fn withdraw(&mut self, is_chosen: impl Fn(&WithdrawCandidate) -> bool) {
        let mut affected: Vec<NodeConnectionId> = Vec::new();
        for (&id, connection) in &self.connections {
            let withdrawn = connection.outstanding.values().filter(|outstanding| {
                is_chosen(&WithdrawCandidate {
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
            // With no room for the command it is seen at the next sweep.
            self.commands.send(ConnectionCommand::Withdraw(id));
        }
    }

    /// Withdraws an attempt that is not begun: it never is, and an event ends it. False if it may be begun already.
    pub fn withdraw_unbegun(&mut self, id: NodeConnectionId, request_id: &RequestId) -> bool {
        let connection = self.connections.get(&id);
        let outstanding = connection.and_then(|connection| connection.outstanding.get(request_id));
        let Some(OutstandingAttempt { withdrawal, begin, .. }) = outstanding else { return false };
        // The connection's thread sets the one and reads the other in the opposite order: one of both is seen.
        withdrawal.cancel();
        if begin.is_set() {
            return false;
        }
        self.commands.send(ConnectionCommand::Withdraw(id));
        true
    }

    /// An attempt was never begun; none if it was abandoned before that was known here.
    pub fn on_not_sent(&mut self, id: NodeConnectionId, request_id: &RequestId) -> Option<InflightAttempt> {
        let connection = self.connections.get_mut(&id)?;
        let attempt = connection.outstanding.remove(request_id)?.attempt;
        // The connection drops the kill as it did the attempt.
        let kill = ConnectionCommand::Kill { connection: id, request_id: *request_id };
        if !self.commands.send(kill) || connection.is_retired {
            self.retire(id);
        }
        Some(attempt)
    }

    /// A connection is over: the attempts that were outstanding on it.
    pub fn on_connection_lost(&mut self, id: NodeConnectionId) -> Vec<InflightAttempt> {
        self.remove(id).map_or_else(Vec::new, |connection| {
            connection.outstanding.into_values().map(|outstanding| outstanding.attempt).collect()
        })
    }
}
