//! The router's indexes of nodes, and the endpoints as the router reads them. A node is known by its name: addresses
//! differ from director to director, and a new node may have the address of one that has gone.

use std::collections::HashMap;

use sablecross::{EndpointState, EndpointUpdate, Ns, rank};

use crate::discovery_event::Endpoint;
use crate::events::RequestKey;
use crate::name_table::NameTable;
use crate::source_clock::SourceClock;

#[derive(Default)]
struct KnownNode {
    /// Empty if the index is free.
    name: String,
    /// Once it is gone, the key of the first request that came after: when all before that are over, none can have
    /// sent to the node, and its index is free for another.
    gone_before: Option<RequestKey>,
    start: Start,
    state: EndpointState,
}

/// When a node started: as it was listed, and in local time, which stays the same for as long as the listed one does.
#[derive(Clone, Copy, Default, PartialEq)]
struct Start {
    listed: Ns,
    local: Ns,
}

/// All nodes that are known.
#[derive(Default)]
pub struct NodeRegistry {
    /// By the router's index.
    nodes: Vec<KnownNode>,
    indexes: HashMap<String, usize>,
    free_indexes: Vec<usize>,
    source_clock: SourceClock,
}

impl NodeRegistry {
    /// The router's index of a node.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.indexes.get(name).copied()
    }

    /// The name of a node.
    pub fn name(&self, node: usize) -> &str {
        self.nodes.get(node).map_or("", |known| &known.name)
    }

    /// The state of a node by the last endpoint list.
    pub fn state(&self, node: usize) -> EndpointState {
        self.nodes.get(node).map_or(EndpointState::Gone, |known| known.state)
    }

    /// Frees the indexes of nodes that went before the oldest request in flight came, and that are not in use.
    pub fn release_unused(&mut self, oldest: RequestKey, is_unused: impl Fn(usize) -> bool) {
        for (node, known) in self.nodes.iter_mut().enumerate() {
            if is_unused(node) && known.gone_before.take_if(|first| *first <= oldest).is_some() {
                self.indexes.remove(&std::mem::take(&mut known.name));
                self.free_indexes.push(node);
            }
        }
    }

    /// Takes in the starts of all endpoints of an event, or of several, before any of them is read.
    pub fn observe_starts(&mut self, endpoints: &[Endpoint], now: Ns) {
        for endpoint in endpoints {
            self.source_clock.observe(endpoint.started_at, now);
        }
    }

    /// One endpoint as the router reads it; none if the settings do not know its zone or kind, or it went before it
    /// was known.
    pub fn endpoint_update(
        &mut self,
        names: &NameTable,
        endpoint: &Endpoint,
        now: Ns,
    ) -> Option<EndpointUpdate> {
        let Endpoint { name, zone, kind, .. } = endpoint;
        let indexes = names.zones.get(zone).zip(names.node_kinds.get(kind));
        let Some((&zone, &machine_kind)) = indexes else {
            tracing::warn!("list: {name}: zone {zone} or type {kind} is not in the settings");
            return None;
        };
        let node = match self.index_of(name) {
            Some(node) => node,
            None if endpoint.state == EndpointState::Gone => return None,
            None => self.assign_index(name),
        };
        Some(EndpointUpdate {
            node,
            rank: rank(name),
            zone,
            machine_kind,
            cell: endpoint.cell,
            started_at: self.local_start(node, endpoint.started_at, now),
            state: endpoint.state,
            withheld_virtual_nodes: 0,
        })
    }

    /// When a node started, in local time; 0: long ago.
    fn local_start(&mut self, node: usize, listed: Ns, now: Ns) -> Ns {
        let start = &mut self.nodes[node].start;
        if start.listed != listed {
            let local = self.source_clock.local_time(listed, now).max(1);
            *start = Start { listed, local: if listed == 0 { 0 } else { local } };
        }
        start.local
    }

    /// The index of a node that was not known: one that is free, or a new one.
    fn assign_index(&mut self, name: &str) -> usize {
        let node = self.free_indexes.pop().unwrap_or(self.nodes.len());
        tracing::info!("node {node} is {name}");
        if node == self.nodes.len() {
            self.nodes.push(KnownNode::default());
        }
        self.nodes[node] = KnownNode { name: name.to_owned(), ..KnownNode::default() };
        self.indexes.insert(name.to_owned(), node);
        node
    }

    /// Notes the states of nodes; those that a snapshot leaves out are gone. `next` is the key of the request to come.
    /// Returns the nodes that are gone, also those that were before.
    pub fn mark_gone(
        &mut self,
        updates: &[EndpointUpdate],
        is_snapshot: bool,
        next: RequestKey,
    ) -> Vec<usize> {
        let states: HashMap<usize, EndpointState> =
            updates.iter().map(|update| (update.node, update.state)).collect();
        let mut gone = Vec::new();
        for (node, known) in self.nodes.iter_mut().enumerate() {
            let listed = states.get(&node).copied();
            if let Some(state) = listed {
                known.state = state;
            }
            if listed.map_or(is_snapshot, |state| state == EndpointState::Gone) {
                known.state = EndpointState::Gone;
                gone.push(node);
                if !known.name.is_empty() {
                    known.gone_before.get_or_insert(next);
                }
            } else if listed.is_some() {
                known.gone_before = None;
            }
        }
        gone
    }
}
