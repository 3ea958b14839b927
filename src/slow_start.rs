//! Slow start: a cold node earns credit for a growing share of the requests that a warm node serves for this
//! director.
//!
//! This protects a new node from collapsing under the load of all directors together. Credit does not depend on
//! demand, so that retries, overload or the loss of most nodes cannot raise it. The cost is that a node that warms up
//! quickly is held back, and that a share of the demand has to serve as the measure while there is no warm node.

mod credit;

use crate::burst::WINDOW;
use crate::class_counts::ClassCounts;
use crate::endpoint::{Endpoint, EndpointRole, EndpointTable, Ring};
use crate::types::{Ns, SECOND, Settings};

pub(crate) use credit::Credit;

/// A cold node is given this share of the load at which it would collapse.
const SAFE_LOAD_SHARE: f64 = 0.5;
/// While the load of a warm node has not been measured, it is estimated as this share of the demand per node, because
/// demand may be far above the capacity of the nodes.
const ASSUMED_DEMAND_SHARE: f64 = 0.25;
/// The longest time for which credit is earned at once, so that a period without requests does not save up credit for
/// a burst of them.
const MAX_EARNING_TIME: Ns = SECOND;
/// The gain with which the estimate of a warm node's load follows a higher load.
const LOAD_RISE_GAIN: f64 = 0.3;
/// The gain with which it follows a lower load. It is small, because a period of low load does not mean that nodes
/// have less capacity.
const LOAD_FALL_GAIN: f64 = 0.05;

/// The slow-start settings of one role.
#[derive(Clone, Copy, Debug)]
struct SlowStartSettings {
    initial_share: f64,
    window: Ns,
    collapse_multiple: f64,
}

impl SlowStartSettings {
    fn of(settings: &Settings, role: EndpointRole) -> Self {
        match role {
            EndpointRole::Parent => SlowStartSettings {
                initial_share: settings.parent_slow_start_initial_share,
                window: settings.parent_slow_start_window,
                collapse_multiple: settings.parent_collapse_multiple,
            },
            EndpointRole::Cache | EndpointRole::Origin => SlowStartSettings {
                initial_share: settings.slow_start_initial_share,
                window: settings.slow_start_window,
                collapse_multiple: settings.collapse_multiple,
            },
        }
    }
}

/// The minimum share of its full capacity that a node has reached by now.
fn capacity_share(settings: &Settings, endpoint: &Endpoint, now: Ns) -> f64 {
    let started_at = endpoint.listing.started_at;
    if started_at == 0 || endpoint.role == EndpointRole::Origin {
        return 1.0;
    }
    let SlowStartSettings { initial_share, window, .. } = SlowStartSettings::of(settings, endpoint.role);
    if window == 0 {
        return 1.0;
    }
    let age = now.saturating_sub(started_at) as f64 / window as f64;
    (initial_share + (1.0 - initial_share) * age).min(1.0)
}

/// Whether a node has reached its full capacity by now.
fn is_warm(settings: &Settings, endpoint: &Endpoint, now: Ns) -> bool {
    capacity_share(settings, endpoint, now) >= 1.0
}

/// Whether a node is warm or has credit for a request of this class.
pub(crate) fn has_credit(settings: &Settings, endpoint: &Endpoint, class: usize, now: Ns) -> bool {
    is_warm(settings, endpoint, now) || endpoint.credit.covers(class)
}

/// The share of a warm node's load that is given to a cold node. It keeps the cold node from collapsing at any
/// demand.
fn safe_load_share(settings: &Settings, endpoint: &Endpoint, now: Ns) -> f64 {
    let multiple = SlowStartSettings::of(settings, endpoint.role).collapse_multiple;
    (SAFE_LOAD_SHARE * multiple * capacity_share(settings, endpoint, now)).min(1.0)
}

/// The load that warm nodes serve for this director, from which cold nodes earn their credit.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    warm_cache_load: WarmNodeLoad,
    warm_parent_load: WarmNodeLoad,
    /// The requests of the current window.
    requested: ClassCounts,
    /// The largest number of parents that were listed at once.
    max_parents: usize,
    /// The time up to which cold nodes have earned their credit.
    earned_until: Ns,
}

impl SlowStart {
    pub(crate) fn new(now: Ns) -> Self {
        SlowStart {
            warm_cache_load: WarmNodeLoad::default(),
            warm_parent_load: WarmNodeLoad::default(),
            requested: ClassCounts::default(),
            max_parents: 0,
            earned_until: now,
        }
    }

    /// Records how many parents are listed.
    pub(crate) fn record_parents(&mut self, listed: usize) {
        self.max_parents = self.max_parents.max(listed);
    }

    /// Records a request as demand.
    pub(crate) fn record_request(&mut self, class: usize) {
        self.requested.add(class, 1.0);
    }

    /// Lets cold nodes earn credit for the time since the last call.
    pub(crate) fn earn(&mut self, settings: &Settings, endpoints: &mut EndpointTable, now: Ns) {
        let elapsed = now.saturating_sub(self.earned_until).min(MAX_EARNING_TIME) as f64;
        self.earned_until = now;
        for ring in [Ring::Caches, Ring::Parents] {
            let load = self.warm_load(ring);
            endpoints.for_each_member(ring, |_, endpoint| {
                if is_warm(settings, endpoint, now) {
                    return;
                }
                let share = elapsed / WINDOW as f64 * safe_load_share(settings, endpoint, now);
                endpoint.credit.earn(&load.served, share, endpoint.sharing_factor);
            });
        }
    }

    /// Updates the estimates with what warm nodes served in the window that ends. If no warm node is left, the
    /// estimates stay as they are, so that a loss of nodes does not overload the cold ones that remain.
    pub(crate) fn close_window(&mut self, settings: &Settings, endpoints: &EndpointTable, now: Ns) {
        for ring in [Ring::Caches, Ring::Parents] {
            let shared_among = match ring {
                Ring::Caches => None,
                // A few parents serve all fills, so the loss of some must not raise the estimate for a new one.
                Ring::Parents => Some(self.max_parents),
            };
            let measured = mean_served_by_warm(settings, endpoints, ring, shared_among, now);
            let estimated = self.estimate_from_demand(endpoints, ring);
            self.warm_load(ring).close_window(measured, estimated);
        }
        self.requested.clear();
    }

    fn warm_load(&mut self, ring: Ring) -> &mut WarmNodeLoad {
        match ring {
            Ring::Caches => &mut self.warm_cache_load,
            Ring::Parents => &mut self.warm_parent_load,
        }
    }

    /// Estimates the load of a warm node from the demand, for use until such a load is measured.
    fn estimate_from_demand(&self, endpoints: &EndpointTable, ring: Ring) -> ClassCounts {
        let members = endpoints.ring(ring).members().len().max(1);
        let mut estimated = ClassCounts::default();
        estimated.add_scaled(&self.requested, ASSUMED_DEMAND_SHARE / members as f64);
        estimated
    }
}

/// The estimate of what one warm node serves for this director in a window.
#[derive(Clone, Debug, Default)]
struct WarmNodeLoad {
    served: ClassCounts,
}

impl WarmNodeLoad {
    /// Updates the estimate with what warm nodes served in a window; `measured` is none if no warm node was up.
    fn close_window(&mut self, measured: Option<ClassCounts>, estimated: ClassCounts) {
        if self.served.total() == 0.0 {
            self.served = measured.filter(|measured| measured.total() > 0.0).unwrap_or(estimated);
            return;
        }
        let Some(measured) = measured else { return };
        let gain = if self.served.total() < measured.total() { LOAD_RISE_GAIN } else { LOAD_FALL_GAIN };
        self.served.move_towards(&measured, gain);
    }
}

/// What the warm members that are up served in the current window: the mean per member, or the sum divided by
/// `shared_among`. None if no warm member is up.
fn mean_served_by_warm(
    settings: &Settings,
    endpoints: &EndpointTable,
    ring: Ring,
    shared_among: Option<usize>,
    now: Ns,
) -> Option<ClassCounts> {
    let is_counted = |endpoint: &&Endpoint| endpoint.is_up() && is_warm(settings, endpoint, now);
    let warm: Vec<&Endpoint> = endpoints.members(ring).filter(is_counted).collect();
    if warm.is_empty() {
        return None;
    }
    let share = 1.0 / shared_among.unwrap_or(warm.len()) as f64;
    let mut mean = ClassCounts::default();
    warm.iter().for_each(|endpoint| mean.add_scaled(&endpoint.served, share));
    Some(mean)
}
