//! Assigns the router's indexes to nodes, and converts endpoints to the form that the router reads. A node is
//! identified by its name: its address differs from director to director, and a new node may get the address of one
//! that has gone.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sablecross::{EndpointState, EndpointUpdate, Ns, rank};

use crate::discovery_event::Endpoint;
use crate::events::RequestKey;
use crate::name_table::NameTable;
use crate::source_clock::SourceClock;

#[derive(Default)]
struct KnownNode {
    /// Empty if the index is free.
    name: String,
    /// Once the node is gone, the key of the first request that arrived afterwards. When all earlier requests have
    /// ended, none in flight can have sent an attempt to the node, and its index can be assigned to another node.
    first_request_after_gone: Option<RequestKey>,
    start: StartTime,
    state: EndpointState,
}

/// The start time of a node, as listed and in local time. The local time stays the same for as long as the listed one
/// does.
#[derive(Clone, Copy, Default, PartialEq)]
struct StartTime {
    listed: Ns,
    local: Ns,
}

/// All known nodes.
#[derive(Default)]
pub struct NodeRegistry {
    /// The nodes, by the router's index.
    nodes: Vec<KnownNode>,
    indexes: HashMap<String, usize>,
    /// The indexes of nodes that are gone, and are not free yet.
    gone: BTreeSet<usize>,
    free_indexes: Vec<usize>,
    source_clock: SourceClock,
}

impl NodeRegistry {
    /// Returns the router's index of a node.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.indexes.get(name).copied()
    }

    /// Returns the name of a node, or an empty string for an unknown index.
    pub fn name(&self, node: usize) -> &str {
        self.nodes.get(node).map_or("", |known| &known.name)
    }

    /// Returns the state of a node in the last endpoint list.
    pub fn state(&self, node: usize) -> EndpointState {
        self.nodes.get(node).map_or(EndpointState::Gone, |known| known.state)
    }

    /// Frees the indexes of nodes that were gone before the oldest request in flight arrived, and that are not in use.
    pub fn release_unused(&mut self, oldest: RequestKey, is_unused: impl Fn(usize) -> bool) {
        let NodeRegistry { nodes, indexes, free_indexes, .. } = self;
        self.gone.retain(|&node| {
            let known = &mut nodes[node];
            let is_free =
                is_unused(node) && known.first_request_after_gone.take_if(|first| *first <= oldest).is_some();
            if is_free {
                indexes.remove(&std::mem::take(&mut known.name));
                free_indexes.push(node);
            }
            !is_free
        });
    }

    /// Observes the start times of all endpoints of one or more events. This must be done before any of them is
    /// converted.
    pub fn observe_starts(&mut self, endpoints: &[Endpoint], now: Ns) {
        for endpoint in endpoints {
            self.source_clock.observe(endpoint.started_at, now);
        }
    }

    /// Converts an endpoint to the form that the router reads. Returns `None` if the settings don't name its zone or
    /// kind, or if it is listed as gone and is not known.
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

    /// Returns the start time of a node in local time, or 0 if it started long ago.
    fn local_start(&mut self, node: usize, listed: Ns, now: Ns) -> Ns {
        let start = &mut self.nodes[node].start;
        if start.listed != listed {
            let local = self.source_clock.local_time(listed, now).max(1);
            *start = StartTime { listed, local: if listed == 0 { 0 } else { local } };
        }
        start.local
    }

    /// Assigns an index to a new node: a free one if there is one, otherwise the next one.
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

    /// Records the states of nodes. Nodes that a snapshot leaves out are gone. `next` is the key of the next request.
    /// Returns the nodes that this list declares as gone, including those that were gone before. Only the nodes that the
    /// updates name, or that a snapshot may leave out, are looked at.
    pub fn record_states(
        &mut self,
        updates: &[EndpointUpdate],
        is_snapshot: bool,
        next: RequestKey,
    ) -> Vec<usize> {
        let left_out = if is_snapshot { 0..self.nodes.len() } else { 0..0 };
        let mut states: BTreeMap<usize, EndpointState> =
            left_out.map(|node| (node, EndpointState::Gone)).collect();
        states.extend(updates.iter().map(|update| (update.node, update.state)));
        let mut gone = Vec::new();
        for (node, state) in states {
            let Some(known) = self.nodes.get_mut(node) else { continue };
            known.state = state;
            if state != EndpointState::Gone {
                known.first_request_after_gone = None;
                self.gone.remove(&node);
                continue;
            }
            gone.push(node);
            if !known.name.is_empty() {
                known.first_request_after_gone.get_or_insert(next);
                self.gone.insert(node);
            }
        }
        gone
    }
}
