//! The numbers by which the module knows the nodes, and lines of the list as it reads them. A node is known by its name:
//! addresses differ from director to director, and a new node may have the address of one that has gone.

use std::collections::HashMap;

use sablecross::{EndpointState, EndpointUpdate, Ns, rank};

use crate::discovery_event::Endpoint;
use crate::name_table::NameTable;
use crate::source_clock::SourceClock;

#[derive(Default)]
struct Known {
    name: String,
    /// Once it is gone, the number of the first lookup that came after: when all before it are out of hand,
    /// none can have sent to that node, and its number is free for another.
    gone: Option<u64>,
    start: Start,
    state: EndpointState,
}

/// When a node started: as it was listed, and in local time, which stays the same for as long as the listed one does.
#[derive(Clone, Copy, Default, PartialEq)]
struct Start {
    listed: Ns,
    local: Ns,
}

#[derive(Default)]
pub struct NodeRegistry {
    /// By the module's numbers.
    nodes: Vec<Known>,
    numbers: HashMap<String, usize>,
    free: Vec<usize>,
    source_clock: SourceClock,
}

impl NodeRegistry {
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, node: usize) -> &str {
        self.nodes.get(node).map_or("", |k| &k.name)
    }

    /// What the list says of a node.
    pub fn state(&self, node: usize) -> EndpointState {
        self.nodes.get(node).map_or(EndpointState::Gone, |known| known.state)
    }

    /// Lets go of the numbers of nodes that went before the oldest lookup in hand came, and that are idle.
    pub fn release_unused(&mut self, oldest: u64, idle: impl Fn(usize) -> bool) {
        for (node, known) in self.nodes.iter_mut().enumerate() {
            if idle(node) && known.gone.take_if(|first| *first <= oldest).is_some() {
                self.numbers.remove(&std::mem::take(&mut known.name));
                self.free.push(node);
            }
        }
    }

    /// Takes in the starts of a whole event, or of several, before any line of them is read.
    pub fn observe_starts(&mut self, members: &[Endpoint], now: Ns) {
        for member in members {
            self.source_clock.observe(member.started_at, now);
        }
    }

    /// One line, unless the settings do not know its like or it went before it came.
    pub fn endpoint_update(&mut self, names: &NameTable, m: &Endpoint, now: Ns) -> Option<EndpointUpdate> {
        let (Some(&zone), Some(&machine)) = (names.zones.get(&m.zone), names.node_kinds.get(&m.kind)) else {
            tracing::warn!("list: {}: zone {} or type {} is not in the settings", m.name, m.zone, m.kind);
            return None;
        };
        let node = match self.numbers.get(&m.name) {
            Some(&node) => node,
            None if m.state == EndpointState::Gone => return None,
            None => self.number(&m.name),
        };
        Some(EndpointUpdate {
            node,
            rank: rank(&m.name),
            zone,
            machine_kind: machine,
            cell: m.cell,
            started_at: self.started(node, m.started_at, now),
            state: m.state,
            withheld_virtual_nodes: 0,
        })
    }

    /// When a node started, in local time; 0: long ago.
    fn started(&mut self, node: usize, listed: Ns, now: Ns) -> Ns {
        let start = &mut self.nodes[node].start;
        if start.listed != listed {
            let local = self.source_clock.to_local(listed, now).max(1);
            *start = Start { listed, local: if listed == 0 { 0 } else { local } };
        }
        start.local
    }

    /// The number of a node that was not known: one that is free, or a new one.
    fn number(&mut self, name: &str) -> usize {
        let node = self.free.pop().unwrap_or(self.nodes.len());
        tracing::info!("node {node} is {name}");
        if node == self.nodes.len() {
            self.nodes.push(Known::default());
        }
        self.nodes[node] = Known { name: name.to_owned(), ..Known::default() };
        self.numbers.insert(name.to_owned(), node);
        node
    }

    /// Notes who is gone, as the lines and those that a whole list leaves out say; `next` is the lookup to come.
    /// Those that are gone, again where they are.
    pub fn mark_gone(&mut self, lines: &[EndpointUpdate], whole: bool, next: u64) -> Vec<usize> {
        let states: HashMap<usize, EndpointState> = lines.iter().map(|l| (l.node, l.state)).collect();
        let mut gone = Vec::new();
        for (node, known) in self.nodes.iter_mut().enumerate() {
            if let Some(state) = states.get(&node) {
                known.state = *state;
            }
            if states.get(&node).map_or(whole, |s| *s == EndpointState::Gone) {
                known.state = EndpointState::Gone;
                gone.push(node);
                if !known.name.is_empty() {
                    known.gone.get_or_insert(next);
                }
            } else if states.contains_key(&node) {
                known.gone = None;
            }
        }
        gone
    }
}
