//! Slow start: a cold node earns credit for a growing part of the requests that a warm one serves for this director.
//!
//! Guards a fresh node against collapse under the load of all directors together. Demand does not count, so that
//! retries, an overload or the loss of most nodes cannot raise it. Its cost: what warms up quickly is held back, and with
//! no warm node left a part of the demand has to be the measure.

mod credit;

use crate::burst::WINDOW;
use crate::class_counts::ClassCounts;
use crate::endpoint::{Endpoint, EndpointRole, EndpointTable, Ring};
use crate::types::{Ns, SECOND, Settings};

pub(crate) use credit::Credit;

/// The part of the load at which a cold node would collapse that it is given.
const SAFE_PART: f64 = 0.5;
/// The part of the demand that stands in for the load of a warm node while none has been seen: demand may be far above
/// what nodes bear.
const UNPROVEN_PART: f64 = 0.25;
/// Credit is earned for at most so long at once, so that a quiet time does not save up for a rush.
const MAX_EARNING_TIME: Ns = SECOND;
/// How fast the estimate of a warm node's load follows a higher load.
const LOAD_RISE_GAIN: f64 = 0.3;
/// How fast it follows a lower one: slowly, as a quiet time is no sign that nodes bear less.
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

/// The share of its full capacity that a node has at least by now.
fn warmth(settings: &Settings, endpoint: &Endpoint, now: Ns) -> f64 {
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

/// Whether a node has its full capacity by now.
fn is_warm(settings: &Settings, endpoint: &Endpoint, now: Ns) -> bool {
    warmth(settings, endpoint, now) >= 1.0
}

/// Whether a node is warm or has credit for a request of this class.
pub(crate) fn has_credit(settings: &Settings, endpoint: &Endpoint, class: usize, now: Ns) -> bool {
    is_warm(settings, endpoint, now) || endpoint.credit.covers(class)
}

/// The part of a warm node's load that a cold one is given: safe against its collapse whatever the demand.
fn safe_part(settings: &Settings, endpoint: &Endpoint, now: Ns) -> f64 {
    let multiple = SlowStartSettings::of(settings, endpoint.role).collapse_multiple;
    (SAFE_PART * multiple * warmth(settings, endpoint, now)).min(1.0)
}

/// The load that a warm node takes from this director, and the credit that cold ones earn by it.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    warm_cache_load: WarmLoad,
    warm_parent_load: WarmLoad,
    /// The requests of the open window.
    requested: ClassCounts,
    /// The most parents that were listed.
    max_parents: usize,
    /// Until when cold nodes have earned their credit.
    earned_until: Ns,
}

impl SlowStart {
    pub(crate) fn new(now: Ns) -> Self {
        SlowStart {
            warm_cache_load: WarmLoad::default(),
            warm_parent_load: WarmLoad::default(),
            requested: ClassCounts::default(),
            max_parents: 0,
            earned_until: now,
        }
    }

    /// Notes how many parents are listed.
    pub(crate) fn record_parents(&mut self, listed: usize) {
        self.max_parents = self.max_parents.max(listed);
    }

    /// Counts the demand of a request.
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
                let part = elapsed / WINDOW as f64 * safe_part(settings, endpoint, now);
                endpoint.credit.earn(&load.served, part, endpoint.sharing);
            });
        }
    }

    /// Follows what warm nodes served in the window that closes. A loss of nodes leaves the estimates: those that are
    /// left must not be pushed for it.
    pub(crate) fn close_window(&mut self, settings: &Settings, endpoints: &EndpointTable, now: Ns) {
        for ring in [Ring::Caches, Ring::Parents] {
            let shared_among = match ring {
                Ring::Caches => None,
                // Few parents serve all, so that the loss of some must not raise the estimate for a fresh one.
                Ring::Parents => Some(self.max_parents),
            };
            let seen = mean_warm_served(settings, endpoints, ring, shared_among, now);
            let unproven = self.unproven_load(endpoints, ring);
            self.warm_load(ring).close_window(seen, unproven);
        }
        self.requested.clear();
    }

    fn warm_load(&mut self, ring: Ring) -> &mut WarmLoad {
        match ring {
            Ring::Caches => &mut self.warm_cache_load,
            Ring::Parents => &mut self.warm_parent_load,
        }
    }

    /// What stands in for the load of a warm node while none has been seen.
    fn unproven_load(&self, endpoints: &EndpointTable, ring: Ring) -> ClassCounts {
        let members = endpoints.ring(ring).members().len().max(1);
        let mut unproven = ClassCounts::default();
        unproven.add_part(&self.requested, UNPROVEN_PART / members as f64);
        unproven
    }
}

/// The estimate of what a warm node serves for this director in a window.
#[derive(Clone, Debug, Default)]
struct WarmLoad {
    served: ClassCounts,
}

impl WarmLoad {
    /// Follows what warm nodes served in a window; none: no warm node was up.
    fn close_window(&mut self, seen: Option<ClassCounts>, unproven: ClassCounts) {
        if self.served.total() == 0.0 {
            self.served = seen.filter(|seen| seen.total() > 0.0).unwrap_or(unproven);
            return;
        }
        let Some(seen) = seen else { return };
        let gain = if self.served.total() < seen.total() { LOAD_RISE_GAIN } else { LOAD_FALL_GAIN };
        self.served.follow(&seen, gain);
    }
}

/// What a warm member that is up served in the open window: the mean over all of them, or what all served divided by
/// `shared_among`. None if there is none.
fn mean_warm_served(
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
    let part = 1.0 / shared_among.unwrap_or(warm.len()) as f64;
    let mut mean = ClassCounts::default();
    warm.iter().for_each(|endpoint| mean.add_part(&endpoint.served, part));
    Some(mean)
}
