//! The endpoint list as coordination needs it: the known caches, and the objects that each of them owns.

use std::collections::BTreeMap;

use sablecross::{EndpointState, HashRing, Ns, RingMember, Settings, cache_position, parent_position, rank};
use sablecross_coordination::HotObject;

use crate::discovery_event::Endpoint;
use crate::name_table::NameTable;

/// A hash ring of the caches of one zone, or of all parents.
pub(super) struct NodeRing {
    ring: HashRing,
    /// The targets of the nodes, by their index in the ring.
    targets: Vec<u64>,
}

/// All endpoints, by the rank of their names.
pub(super) struct EndpointList {
    endpoints: BTreeMap<u64, Endpoint>,
    parent_kind: Option<usize>,
    origin_kind: usize,
}

impl EndpointList {
    /// Creates an empty list. The router's settings determine which kinds of nodes are not caches.
    pub(super) fn new(settings: &Settings) -> EndpointList {
        EndpointList {
            endpoints: BTreeMap::new(),
            parent_kind: settings.parent_kind,
            origin_kind: settings.origin_kind,
        }
    }

    /// Applies a change of the endpoint list: all endpoints for a snapshot, otherwise only the changed ones.
    pub(super) fn update(&mut self, endpoints: &[Endpoint], is_snapshot: bool) {
        if is_snapshot {
            self.endpoints.clear();
        }
        for endpoint in endpoints {
            let target = rank(&endpoint.name);
            if endpoint.state == EndpointState::Gone {
                self.endpoints.remove(&target);
            } else {
                self.endpoints.insert(target, endpoint.clone());
            }
        }
    }

    /// Returns an endpoint's name.
    pub(super) fn name(&self, target: u64) -> Option<&str> {
        self.endpoints.get(&target).map(|endpoint| endpoint.name.as_str())
    }

    /// Returns the start time of each ready cache as listed: Unix time by the clock of the source, 0 if it started long ago.
    pub(super) fn cache_starts(&self, names: &NameTable) -> BTreeMap<u64, Ns> {
        let ready = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.state == EndpointState::Ready && self.is_cache(endpoint, names));
        ready.map(|(target, endpoint)| (*target, endpoint.started_at)).collect()
    }

    /// Builds the hash ring of the caches in the zone of `cache`.
    pub(super) fn cache_ring_of(&self, cache: u64, names: &NameTable) -> Option<NodeRing> {
        let zone = &self.endpoints.get(&cache)?.zone;
        Some(self.ring(|endpoint| endpoint.zone == *zone && self.is_cache(endpoint, names)))
    }

    /// Builds the hash ring of all parents.
    pub(super) fn parent_ring(&self, names: &NameTable) -> NodeRing {
        self.ring(|endpoint| {
            let kind = kind_of(endpoint, names);
            kind.is_some() && kind == self.parent_kind
        })
    }

    /// Returns the parent that an object is filled from: the first ready one on the hash ring.
    pub(super) fn parent_of(&self, object: &HotObject, parents: &NodeRing) -> Option<&str> {
        let is_ready = |index: usize| {
            let parent = parents.targets.get(index).and_then(|target| self.endpoints.get(target));
            parent.is_some_and(|endpoint| endpoint.state == EndpointState::Ready)
        };
        let index = parents.ring.owner(parent_position(object.object), is_ready)?;
        self.name(*parents.targets.get(index)?)
    }

    fn ring(&self, includes: impl Fn(&Endpoint) -> bool) -> NodeRing {
        let included = self.endpoints.iter().filter(|(_, endpoint)| includes(endpoint));
        let targets: Vec<u64> = included.map(|(target, _)| *target).collect();
        let ring_member =
            |(node, rank): (usize, &u64)| RingMember { rank: *rank, node, withheld_virtual_nodes: 0 };
        let members = targets.iter().enumerate().map(ring_member).collect();
        NodeRing { ring: HashRing::build(members), targets }
    }

    fn is_cache(&self, endpoint: &Endpoint, names: &NameTable) -> bool {
        let kind = kind_of(endpoint, names);
        kind.is_some() && kind != self.parent_kind && kind != Some(self.origin_kind)
    }
}

impl NodeRing {
    /// Whether this cache owns the object.
    pub(super) fn is_owner(&self, cache: u64, object: &HotObject) -> bool {
        let owner = self.ring.owner(cache_position(object.object, object.part), |_| true);
        owner.and_then(|index| self.targets.get(index)) == Some(&cache)
    }
}

/// Returns the index of an endpoint's kind, or `None` if the settings don't name that kind.
fn kind_of(endpoint: &Endpoint, names: &NameTable) -> Option<usize> {
    names.node_kinds.get(&endpoint.kind).copied()
}
