//! The nodes that this director knows and what it has measured of each.

use crate::burst::TrafficBaseline;
use crate::class_counts::ClassCounts;
use crate::fill_price::FillPrice;
use crate::hash_ring::{HashRing, RingMember};
use crate::load_shedding::ConcurrencyLimit;
use crate::mode_change::ModeChange;
use crate::outlier_ejection::EndpointHealth;
use crate::slow_start::Credit;

use crate::types::{EndpointState, EndpointUpdate, Ns, Settings};

/// What a node does, by its machine kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointRole {
    /// Serves clients and caches answers.
    Cache,
    /// Serves the fills of caches.
    Parent,
    /// Has all objects.
    Origin,
}

impl EndpointRole {
    fn of(settings: &Settings, machine_kind: usize) -> Self {
        if machine_kind == settings.origin_kind {
            EndpointRole::Origin
        } else if Some(machine_kind) == settings.parent_kind {
            EndpointRole::Parent
        } else {
            EndpointRole::Cache
        }
    }
}

/// How many directors send to a node of this role: those of the own zone to a cache, all to others.
pub(crate) fn directors_sharing(settings: &Settings, role: EndpointRole) -> f64 {
    let own_zone = settings.directors_per_zone.get(settings.zone).copied().unwrap_or(1);
    let all = settings.directors_per_zone.iter().sum();
    let count = if role == EndpointRole::Cache { own_zone } else { all };
    count.max(1) as f64
}

/// One node.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Its latest entry of the endpoint list.
    pub(crate) listing: EndpointUpdate,
    /// Its role when it was first listed.
    pub(crate) role: EndpointRole,
    /// Square root of the number of directors that share it: the demand of one varies by that, and so do its limits.
    pub(crate) sharing: f64,
    /// Outstanding attempts that involve it, as their node or their source.
    pub(crate) outstanding: u32,
    /// Those of them that were sent straight to it.
    pub(crate) outstanding_direct: u32,
    /// What outcomes say about it.
    pub(crate) health: EndpointHealth,
    /// How many attempts may be outstanding straight at it.
    pub(crate) concurrency: ConcurrencyLimit,
    /// Slow-start credit.
    pub(crate) credit: Credit,
    /// What it served, or filled, in the open window.
    pub(crate) served: ClassCounts,
    /// Of a parent: what a request has to be worth to be filled from it.
    pub(crate) fill_price: FillPrice,
    /// Of a cache: the ordinary traffic of the objects that it is primary for.
    pub(crate) traffic: TrafficBaseline,
}

impl Endpoint {
    /// A node that was just listed, of which nothing is known.
    fn new(settings: &Settings, listing: EndpointUpdate) -> Self {
        let role = EndpointRole::of(settings, listing.machine_kind);
        let sharers = directors_sharing(settings, role);
        let sharing = sharers.sqrt();
        Endpoint {
            listing,
            role,
            sharing,
            outstanding: 0,
            outstanding_direct: 0,
            health: EndpointHealth::default(),
            concurrency: ConcurrencyLimit::new(sharing),
            credit: Credit::initial(settings, sharers),
            served: ClassCounts::default(),
            fill_price: FillPrice::default(),
            traffic: TrafficBaseline::default(),
        }
    }

    /// Whether it takes ordinary requests.
    pub(crate) fn is_up(&self) -> bool {
        self.listing.state == EndpointState::Ready && !self.health.is_ejected()
    }

    /// Whether the next request may try whether it works.
    pub(crate) fn is_trial_due(&self, now: Ns) -> bool {
        self.listing.state == EndpointState::Ready && self.health.is_trial_due(now, self.role)
    }

    /// Whether an entry of the list is about the process that is known here, not about another one that took its place.
    fn is_same_process(&self, update: &EndpointUpdate) -> bool {
        (self.listing.started_at, self.listing.rank) == (update.started_at, update.rank)
    }

    fn close_window(&mut self) {
        self.traffic.close_window();
        self.served.clear();
        self.fill_price.close_window();
    }
}

/// The rings that this director chooses from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ring {
    /// The caches of the own zone, which pick the node of a request.
    Caches,
    /// All listed parents, which pick the source of a fill.
    Parents,
}

/// All nodes by index, and the rings of those that this director chooses from.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Option<Endpoint>>,
    /// The caches of the own zone.
    caches: HashRing,
    /// All listed parents.
    parents: HashRing,
    origin: Option<usize>,
}

impl EndpointTable {
    pub(crate) fn get(&self, node: usize) -> Option<&Endpoint> {
        self.endpoints.get(node)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, node: usize) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(node)?.as_mut()
    }

    pub(crate) fn role(&self, node: usize) -> Option<EndpointRole> {
        Some(self.get(node)?.role)
    }

    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.get(node).is_some_and(Endpoint::is_up)
    }

    /// The ring of the caches of the own zone.
    pub(crate) fn caches(&self) -> &HashRing {
        &self.caches
    }

    /// The ring of all listed parents.
    pub(crate) fn parents(&self) -> &HashRing {
        &self.parents
    }

    /// The origin, while it is ready.
    pub(crate) fn origin(&self) -> Option<usize> {
        self.origin
    }

    pub(crate) fn ring(&self, ring: Ring) -> &HashRing {
        match ring {
            Ring::Caches => &self.caches,
            Ring::Parents => &self.parents,
        }
    }

    /// The members of a ring.
    pub(crate) fn members(&self, ring: Ring) -> impl Iterator<Item = &Endpoint> {
        self.ring(ring).nodes().filter_map(|node| self.get(node))
    }

    /// Calls a function on each member of a ring.
    pub(crate) fn for_each_member(&mut self, ring: Ring, mut change: impl FnMut(usize, &mut Endpoint)) {
        let members = match ring {
            Ring::Caches => &self.caches,
            Ring::Parents => &self.parents,
        };
        for node in members.nodes() {
            if let Some(endpoint) = self.endpoints.get_mut(node).and_then(Option::as_mut) {
                change(node, endpoint);
            }
        }
    }

    /// Closes the window of measurements of all nodes.
    pub(crate) fn close_window(&mut self) {
        self.endpoints.iter_mut().flatten().for_each(Endpoint::close_window);
    }

    /// Takes entries of the endpoint list; a snapshot removes the nodes that it does not name.
    pub(crate) fn update(
        &mut self,
        settings: &Settings,
        updates: &[EndpointUpdate],
        is_snapshot: bool,
    ) -> Vec<ModeChange> {
        if is_snapshot {
            for endpoint in self.endpoints.iter_mut().flatten() {
                endpoint.listing.state = EndpointState::Gone;
            }
        }
        for update in updates {
            self.apply(settings, *update);
        }
        self.rebuild_rings(settings)
    }

    /// Takes one entry of the list.
    fn apply(&mut self, settings: &Settings, update: EndpointUpdate) {
        if self.endpoints.len() <= update.node {
            self.endpoints.resize(update.node + 1, None);
        }
        let slot = &mut self.endpoints[update.node];
        let fresh = Endpoint::new(settings, update);
        match slot {
            Some(known) if known.is_same_process(&update) => known.listing = update,
            // Another process at the same index: its attempts are still accounted for there.
            Some(known) => {
                *known = Endpoint {
                    outstanding: known.outstanding,
                    outstanding_direct: known.outstanding_direct,
                    ..fresh
                }
            }
            None => *slot = Some(fresh),
        }
    }

    /// Finds the origin and builds the rings whose members have changed.
    fn rebuild_rings(&mut self, settings: &Settings) -> Vec<ModeChange> {
        let caches = self.listed_members(EndpointRole::Cache, Some(settings.zone));
        let parents = self.listed_members(EndpointRole::Parent, None);
        let origins = self.listed_members(EndpointRole::Origin, None);
        let is_ready = |member: &&RingMember| {
            self.get(member.node).is_some_and(|endpoint| endpoint.listing.state == EndpointState::Ready)
        };
        self.origin = origins.iter().find(is_ready).map(|member| member.node);
        let changes = [replace_ring(&mut self.caches, caches), replace_ring(&mut self.parents, parents)];
        changes.into_iter().flatten().collect()
    }

    /// The listed nodes of a role, of one zone or of all, in the order that all directors share.
    fn listed_members(&self, role: EndpointRole, zone: Option<usize>) -> Vec<RingMember> {
        let mut members: Vec<RingMember> = self
            .endpoints
            .iter()
            .enumerate()
            .filter_map(|(node, endpoint)| Some((node, endpoint.as_ref()?)))
            .filter(|(_, endpoint)| endpoint.role == role && endpoint.listing.state != EndpointState::Gone)
            .filter(|(_, endpoint)| zone.is_none_or(|zone| zone == endpoint.listing.zone))
            .map(|(node, endpoint)| RingMember {
                rank: endpoint.listing.rank,
                node,
                withheld_virtual_nodes: endpoint.listing.withheld_virtual_nodes,
            })
            .collect();
        members.sort_unstable();
        members
    }
}

/// Builds a ring again if its members have changed. The first members are no change of mode.
fn replace_ring(ring: &mut HashRing, members: Vec<RingMember>) -> Option<ModeChange> {
    if members == ring.members() {
        return None;
    }
    let before = ring.members().len();
    let change = ModeChange::Members { now: members.len(), before };
    *ring = HashRing::build(members);
    (before > 0).then_some(change)
}
