//! The table of the nodes that this director knows, with what it has measured of each.

use std::collections::BTreeSet;

use crate::burst::TrafficBaseline;
use crate::class_counts::ClassCounts;
use crate::fill_price::FillPrice;
use crate::hash_ring::{HashRing, RingMember};
use crate::load_shedding::ConcurrencyLimit;
use crate::mode_change::ModeChange;
use crate::outlier_ejection::EndpointHealth;
use crate::slow_start::Credit;

use crate::types::{EndpointState, EndpointUpdate, Ns, Settings};

/// The function of a node, which its machine kind determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointRole {
    /// Serves clients and caches answers.
    Cache,
    /// Fills caches.
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

/// The number of directors that send to a node of this role: those of the director's own zone for a cache, all
/// directors otherwise.
pub(crate) fn directors_sharing(settings: &Settings, role: EndpointRole) -> f64 {
    let own_zone = settings.directors_per_zone.get(settings.zone).copied().unwrap_or(1);
    let all = settings.directors_per_zone.iter().sum();
    let count = if role == EndpointRole::Cache { own_zone } else { all };
    count.max(1) as f64
}

/// A node, with its entry in the endpoint list and what this director has measured.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// The latest entry of the node in the endpoint list.
    pub(crate) listing: EndpointUpdate,
    /// The role of the node when its present process was first listed.
    pub(crate) role: EndpointRole,
    /// The square root of the number of directors that share the node. The demand of a single director varies by this
    /// factor, so its limits depend on it.
    pub(crate) sharing_factor: f64,
    /// The number of outstanding attempts that were sent to the node, or to a cache with the node as their source.
    pub(crate) outstanding: u32,
    /// The number of outstanding attempts that were sent directly to the node.
    pub(crate) outstanding_direct: u32,
    /// The health of the node, as the outcomes of attempts show it.
    pub(crate) health: EndpointHealth,
    /// The limit on outstanding attempts that were sent directly to the node.
    pub(crate) concurrency: ConcurrencyLimit,
    /// The slow-start credit of the node.
    pub(crate) credit: Credit,
    /// The successful attempts in the current window that were sent to the node, or to a cache with the node as their
    /// source.
    pub(crate) served: ClassCounts,
    /// For a parent: the lowest priority of a request that is filled from it.
    pub(crate) fill_price: FillPrice,
    /// For a cache: the ordinary traffic of the objects whose primary cache it is.
    pub(crate) traffic: TrafficBaseline,
}

impl Endpoint {
    /// Creates a node that was just listed and has not been measured.
    fn new(settings: &Settings, listing: EndpointUpdate) -> Self {
        let role = EndpointRole::of(settings, listing.machine_kind);
        let directors = directors_sharing(settings, role);
        let sharing_factor = directors.sqrt();
        Endpoint {
            listing,
            role,
            sharing_factor,
            outstanding: 0,
            outstanding_direct: 0,
            health: EndpointHealth::default(),
            concurrency: ConcurrencyLimit::new(sharing_factor),
            credit: Credit::initial(settings, directors),
            served: ClassCounts::default(),
            fill_price: FillPrice::default(),
            traffic: TrafficBaseline::default(),
        }
    }

    /// Whether the node takes ordinary requests: it is ready and not ejected.
    pub(crate) fn is_up(&self) -> bool {
        self.listing.state == EndpointState::Ready && !self.health.is_ejected()
    }

    /// Whether the next request may be sent as a trial, to check whether the node works.
    pub(crate) fn is_trial_due(&self, now: Ns) -> bool {
        self.listing.state == EndpointState::Ready && self.health.is_trial_due(now, self.role)
    }

    /// Whether an entry of the list describes the same process as the known one, and not another process in its
    /// place.
    fn is_same_process(&self, update: &EndpointUpdate) -> bool {
        (self.listing.started_at, self.listing.rank) == (update.started_at, update.rank)
    }

    fn close_window(&mut self) {
        self.traffic.close_window();
        self.served.clear();
        self.fill_price.close_window();
    }
}

/// The hash rings from which this director selects nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ring {
    /// The caches of the director's own zone, from which the node of a request is selected.
    Caches,
    /// All listed parents, from which the source of a fill is selected.
    Parents,
}

/// All nodes by index, with the hash rings from which this director selects nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Option<Endpoint>>,
    /// The ring of the caches of the director's own zone.
    caches: HashRing,
    /// The ring of all listed parents.
    parents: HashRing,
    /// The listed origins, sorted.
    origins: Vec<RingMember>,
    /// The first origin that is ready.
    origin: Option<usize>,
}

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Membership {
    role: EndpointRole,
    member: RingMember,
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

    /// The ring of the caches of the director's own zone.
    pub(crate) fn caches(&self) -> &HashRing {
        &self.caches
    }

    /// The ring of all listed parents.
    pub(crate) fn parents(&self) -> &HashRing {
        &self.parents
    }

    /// The origin, if it is ready.
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

    /// Closes the measurement window of all nodes.
    pub(crate) fn close_window(&mut self) {
        self.endpoints.iter_mut().flatten().for_each(Endpoint::close_window);
    }

    /// Applies entries of the endpoint list. A snapshot removes the nodes that it does not name. Only the nodes that the
    /// entries name, or that a snapshot removes, are looked at.
    pub(crate) fn update(
        &mut self,
        settings: &Settings,
        updates: &[EndpointUpdate],
        is_snapshot: bool,
    ) -> Vec<ModeChange> {
        let known = if is_snapshot { 0..self.endpoints.len() } else { 0..0 };
        let touched: BTreeSet<usize> = known.chain(updates.iter().map(|update| update.node)).collect();
        let memberships = |table: &Self| -> Vec<Option<Membership>> {
            touched.iter().map(|&node| table.membership(settings, node)).collect()
        };
        let before = memberships(self);
        if is_snapshot {
            for endpoint in self.endpoints.iter_mut().flatten() {
                endpoint.listing.state = EndpointState::Gone;
            }
        }
        for update in updates {
            self.apply(settings, *update);
        }
        let after = memberships(self);
        let changes = self.update_rings(&before, &after);
        self.origin = self.origins.iter().map(|member| member.node).find(|&node| self.is_ready(node));
        changes
    }

    /// Where a node stands according to its present entry; none if it is not listed, or is a cache of another zone.
    fn membership(&self, settings: &Settings, node: usize) -> Option<Membership> {
        let Endpoint { listing, role, .. } = self.get(node)?;
        let is_elsewhere = *role == EndpointRole::Cache && listing.zone != settings.zone;
        if listing.state == EndpointState::Gone || is_elsewhere {
            return None;
        }
        let EndpointUpdate { rank, withheld_virtual_nodes, .. } = *listing;
        Some(Membership { role: *role, member: RingMember { rank, node, withheld_virtual_nodes } })
    }

    fn is_ready(&self, node: usize) -> bool {
        self.get(node).is_some_and(|endpoint| endpoint.listing.state == EndpointState::Ready)
    }

    /// Applies one entry of the endpoint list.
    fn apply(&mut self, settings: &Settings, update: EndpointUpdate) {
        if self.endpoints.len() <= update.node {
            self.endpoints.resize(update.node + 1, None);
        }
        let slot = &mut self.endpoints[update.node];
        let fresh = Endpoint::new(settings, update);
        match slot {
            Some(known) if known.is_same_process(&update) => known.listing = update,
            // Another process has taken this index. Outstanding attempts at the previous process will still end at this
            // index, so they stay counted.
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

    /// Updates the rings where the memberships of some nodes have changed, and returns the changes to log.
    fn update_rings(
        &mut self,
        before: &[Option<Membership>],
        after: &[Option<Membership>],
    ) -> Vec<ModeChange> {
        let origins = MemberChanges::between(before, after, EndpointRole::Origin);
        self.origins.retain(|member| !origins.removed.contains(member));
        self.origins.extend(origins.added);
        self.origins.sort_unstable();
        let caches = MemberChanges::between(before, after, EndpointRole::Cache);
        let parents = MemberChanges::between(before, after, EndpointRole::Parent);
        let changes = [caches.apply(&mut self.caches), parents.apply(&mut self.parents)];
        changes.into_iter().flatten().collect()
    }
}

/// The listed nodes of one role that have left, that have come, or both because their entry has changed.
struct MemberChanges {
    removed: Vec<RingMember>,
    added: Vec<RingMember>,
}

impl MemberChanges {
    /// Compares the memberships of the same nodes before and after an update.
    fn between(before: &[Option<Membership>], after: &[Option<Membership>], role: EndpointRole) -> Self {
        let mut changes = MemberChanges { removed: Vec::new(), added: Vec::new() };
        let member_of = |membership: &Option<Membership>| {
            membership.filter(|membership| membership.role == role).map(|membership| membership.member)
        };
        for (before, after) in before.iter().zip(after).filter(|(before, after)| before != after) {
            changes.removed.extend(member_of(before));
            changes.added.extend(member_of(after));
        }
        changes
    }

    /// Updates a ring, and returns the change to log. Members added to an empty ring are not reported.
    fn apply(&self, ring: &mut HashRing) -> Option<ModeChange> {
        if self.removed.is_empty() && self.added.is_empty() {
            return None;
        }
        let before = ring.members().len();
        ring.update(&self.removed, &self.added);
        (before > 0).then_some(ModeChange::Members { now: ring.members().len(), before })
    }
}
