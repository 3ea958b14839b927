//! The node side, as the desk sees it: a small pool of connections to each node, opened when they are wanted. No
//! call here waits for a socket: `links` serves them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use sablecross::{EndpointState, EndpointUpdate, Ns, Outcome};

use super::node_connections::{CommandSender, ConnectionCommand};
use super::{node_connections, node_protocol};
use crate::discovery_event::Endpoint;
use crate::events::{CancellationFlag, IncomingRequest, NodeConnectionId, RequestId};
use crate::node_registry::NodeRegistry;
use crate::shared::SharedContext;

/// One send on a connection.
#[derive(Clone, Copy, Debug)]
pub struct InflightAttempt {
    pub id: u64,
    pub attempt: usize,
    pub sent_at: Ns,
}

/// A send that is out, and the word between desk and writer that it is not to be written any more.
struct Flight {
    out: InflightAttempt,
    source: Option<usize>,
    off: CancellationFlag,
}

struct Open {
    node: usize,
    out: BTreeMap<RequestId, Flight>,
    /// When it was opened or last heard of.
    heard: Ns,
    /// When its last send was made or ended.
    used: Ns,
    /// Nothing more goes here; it closes once nothing is out.
    retired: bool,
}

struct Pool {
    address: SocketAddr,
    links: Vec<NodeConnectionId>,
}

pub struct NodePool {
    common: Arc<SharedContext>,
    /// By the module's numbers.
    pools: Vec<Pool>,
    roster: NodeRegistry,
    links: HashMap<NodeConnectionId, Open>,
    next: NodeConnectionId,
    orders: CommandSender,
    /// Connections to be closed, for which there was no room among the orders.
    closing: VecDeque<NodeConnectionId>,
}

impl NodePool {
    pub fn new(orders: CommandSender, common: Arc<SharedContext>) -> NodePool {
        NodePool {
            common,
            pools: Vec::new(),
            roster: NodeRegistry::default(),
            links: HashMap::new(),
            next: 0,
            orders,
            closing: VecDeque::new(),
        }
    }

    pub fn open_connections(&self) -> usize {
        self.links.len()
    }

    pub fn opened_connections(&self) -> u64 {
        self.next
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.roster.index_of(name)
    }

    pub fn name(&self, node: usize) -> &str {
        self.roster.name(node)
    }

    /// What the list says of a node.
    pub fn state(&self, node: usize) -> EndpointState {
        self.roster.state(node)
    }

    /// Starts of nodes that are to be listed, before the first of them is.
    pub fn observe_starts(&mut self, members: &[Endpoint]) {
        self.roster.observe_starts(members, self.common.clock.now());
    }

    /// Lines of the list as the module reads them.
    ///
    /// `oldest` is the oldest lookup in hand, `next` the one to come: numbers of nodes that are gone are given out
    /// again, so that what is kept by them is bounded by the nodes there are and the lookups in hand.
    pub fn update_endpoints(
        &mut self,
        members: &[Endpoint],
        whole: bool,
        oldest: u64,
        next: u64,
    ) -> Vec<EndpointUpdate> {
        let now = self.common.clock.now();
        self.roster.observe_starts(members, now);
        let pools = &self.pools;
        self.roster.release_unused(oldest, |node| pools[node].links.is_empty());
        let lines: Vec<EndpointUpdate> = members.iter().filter_map(|m| self.line(m, now)).collect();
        let states: HashMap<usize, EndpointState> = lines.iter().map(|l| (l.node, l.state)).collect();
        // What still waits to be written must not begin after the grace, however late its connection comes up.
        let stays = |node| states.get(&node).map_or(!whole, |s| *s == EndpointState::Ready);
        self.withdraw(|_, node, source| !stays(node) || source.is_some_and(|s| !stays(s)));
        for node in self.roster.mark_gone(&lines, whole, next) {
            self.retire_all(node);
        }
        lines
    }

    fn line(&mut self, m: &Endpoint, now: Ns) -> Option<EndpointUpdate> {
        let line = self.roster.endpoint_update(&self.common.names, m, now)?;
        if line.node == self.pools.len() {
            self.pools.push(Pool { address: m.address, links: Vec::new() });
        } else if self.pools[line.node].address != m.address {
            self.retire_all(line.node);
            self.pools[line.node].address = m.address;
        }
        Some(line)
    }

    fn retire_all(&mut self, node: usize) {
        for link in self.pools[node].links.clone() {
            self.retire(link);
        }
    }

    /// No more goes to this connection; it closes once nothing is out.
    fn retire(&mut self, link: NodeConnectionId) {
        let Some(open) = self.links.get_mut(&link) else { return };
        open.retired = true;
        if open.out.is_empty() {
            self.forget(link);
        }
    }

    fn forget(&mut self, link: NodeConnectionId) -> Option<Open> {
        let open = self.links.remove(&link)?;
        self.closing.push_back(link);
        while let Some(link) = self.closing.pop_front() {
            if !self.orders.send(ConnectionCommand::Close(link)) {
                self.closing.push_front(link);
                break;
            }
        }
        if let Some(pool) = self.pools.get_mut(open.node) {
            pool.links.retain(|&l| l != link);
        }
        Some(open)
    }

    /// Writes a send to a connection of its node; else the outcome that this stands for. One that carried
    /// this lookup before is left out: a late answer could be taken for that of this send.
    pub fn send(
        &mut self,
        out: InflightAttempt,
        asked: &IncomingRequest,
        send: &sablecross::AttemptSpec,
        way: Option<&str>,
        before: &[NodeConnectionId],
    ) -> Result<NodeConnectionId, Outcome> {
        let kind = self.common.names.classes.get(asked.class).ok_or(Outcome::NotSent)?;
        let head = node_protocol::pull_head(asked, send, kind, send.source.map(|s| self.name(s)), way);
        let link = self.choose(send.node, &asked.request_id, before, out.sent_at)?;
        let open = self.links.get_mut(&link).ok_or(Outcome::NotSent)?;
        let content = node_connections::Content::Pull {
            head,
            body: Arc::clone(&asked.body),
            begin_by: send.begin_by,
            answer_by: out.sent_at + send.timeout,
        };
        let (off, withdrawn) = (CancellationFlag::default(), asked.cancellation.clone());
        let written = node_connections::OutgoingMessage {
            request_id: asked.request_id,
            content,
            withdrawal: off.clone(),
            client_cancellation: withdrawn,
        };
        if !self.orders.send(ConnectionCommand::Send { connection: link, message: written }) {
            return Err(Outcome::NotSent);
        }
        open.out.insert(asked.request_id, Flight { out, source: send.source, off });
        open.used = out.sent_at;
        Ok(link)
    }

    /// An idle connection, as one body blocks those behind it; else a new one; else the least laden.
    fn choose(
        &mut self,
        node: usize,
        name: &RequestId,
        before: &[NodeConnectionId],
        now: Ns,
    ) -> Result<NodeConnectionId, Outcome> {
        let common = Arc::clone(&self.common);
        let limits = &common.limits;
        let pool = self.pools.get(node).ok_or(Outcome::NotSent)?;
        let mut best: Option<(usize, Ns, NodeConnectionId)> = None;
        let mut stale = Vec::new();
        for &link in &pool.links {
            let Some(open) = self.links.get(&link).filter(|o| !o.retired) else { continue };
            if open.out.is_empty() && now > open.used + limits.node_idle_timeout {
                stale.push(link);
                continue;
            }
            let fits = open.out.len() < limits.max_open_per_connection
                && !open.out.contains_key(name)
                && !before.contains(&link);
            let rank = (open.out.len(), now.saturating_sub(open.used), link);
            if fits && best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        let (count, address) = (pool.links.len() - stale.len(), pool.address);
        stale.into_iter().for_each(|link| self.retire(link));
        let room = count < limits.max_connections_per_node && self.links.len() < limits.max_node_connections;
        match best {
            Some((0, _, link)) => Ok(link),
            _ if room => self.dial(node, address, now),
            Some((_, _, link)) => Ok(link),
            None => Err(Outcome::NotSent),
        }
    }

    fn dial(&mut self, node: usize, address: SocketAddr, now: Ns) -> Result<NodeConnectionId, Outcome> {
        let link = self.next;
        let by = now + self.common.limits.connect_timeout;
        if !self.orders.send(ConnectionCommand::Connect { connection: link, address, deadline: by }) {
            return Err(Outcome::NotSent);
        }
        self.next += 1;
        let open = Open { node, out: BTreeMap::new(), heard: now, used: now, retired: false };
        self.links.insert(link, open);
        self.pools[node].links.push(link);
        Ok(link)
    }

    /// The node at the other end.
    pub fn node_of(&self, link: NodeConnectionId) -> Option<usize> {
        self.links.get(&link).map(|open| open.node)
    }

    /// The send that an answer ends; a late answer to one that was given up ends none.
    pub fn on_answer(&mut self, link: NodeConnectionId, name: &RequestId, at: Ns) -> Option<InflightAttempt> {
        let open = self.links.get_mut(&link)?;
        open.heard = open.heard.max(at);
        open.used = open.used.max(at);
        let out = open.out.remove(name).map(|flight| flight.out);
        if open.retired && open.out.is_empty() {
            self.forget(link);
        }
        out
    }

    /// Gives a send up. A connection that was silent since it took the send, past the time that is usual, is not
    /// used again: an answer that stopped short or never comes leaves it stuck, for all that follows.
    pub fn abandon(&mut self, link: NodeConnectionId, name: &RequestId, now: Ns) -> Option<InflightAttempt> {
        let open = self.links.get_mut(&link)?;
        let Flight { out, off, .. } = open.out.remove(name)?;
        // What is not written yet never will be: a node must not see it after its client had an answer.
        off.cancel();
        let told = self.orders.send(ConnectionCommand::Kill { connection: link, request_id: *name });
        let quiet = open.heard <= out.sent_at && now >= out.sent_at + self.common.limits.silence_threshold;
        if !told || quiet || open.retired {
            self.retire(link);
        }
        Some(out)
    }

    /// Sends that are not to begin any more, if they have not: of each such one the end comes by an event.
    pub fn withdraw(&mut self, which: impl Fn(&InflightAttempt, usize, Option<usize>) -> bool) {
        let mut links: Vec<NodeConnectionId> = Vec::new();
        for (&link, open) in &self.links {
            let gone = open.out.values().filter(|f| which(&f.out, open.node, f.source));
            if gone.map(|flight| flight.off.cancel()).count() > 0 {
                links.push(link);
            }
        }
        links.sort_unstable();
        for link in links {
            // With no room for the order it is seen at the next sweep.
            self.orders.send(ConnectionCommand::Withdraw(link));
        }
    }

    /// A send that was never begun; none if it was given up before that was heard.
    pub fn on_not_sent(&mut self, link: NodeConnectionId, name: &RequestId) -> Option<InflightAttempt> {
        let open = self.links.get_mut(&link)?;
        let out = open.out.remove(name)?.out;
        // The connection passes the kill over as it did the send.
        if !self.orders.send(ConnectionCommand::Kill { connection: link, request_id: *name }) || open.retired
        {
            self.retire(link);
        }
        Some(out)
    }

    /// A connection is over: the sends that were out on it.
    pub fn on_connection_lost(&mut self, link: NodeConnectionId) -> Vec<InflightAttempt> {
        self.forget(link)
            .map_or_else(Vec::new, |open| open.out.into_values().map(|flight| flight.out).collect())
    }
}
