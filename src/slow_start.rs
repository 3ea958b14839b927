//! Slow start: a cold node earns credit for a growing part of the load that a warm one takes from this director.
//!
//! Guards a fresh node against collapse under the load of all directors together. Demand does not count, so that
//! retries, an overload or the loss of most nodes cannot raise it. Its cost: what warms up quickly is held back, and with
//! no warm node left a part of the demand has to be the measure.

use crate::burst::WINDOW;
use crate::endpoint::{Endpoint, EndpointRole, EndpointTable, Ring};
use crate::types::{Ns, SECOND, Settings};

/// The part of the load at which a cold node would collapse that it is given. With 0.55 hunts came up to 81% of the rule.
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
/// The credit that a director may save, in transfers: one, and so many more divided by the square root of the directors
/// that share the node. Together they must not save up what makes a cold node collapse.
const SAVED_TRANSFERS_SHARED: f64 = 2.0;

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
pub(crate) fn is_warm(settings: &Settings, endpoint: &Endpoint, now: Ns) -> bool {
    warmth(settings, endpoint, now) >= 1.0
}

/// The part of a warm node's load that a cold one is given: safe against its collapse whatever the demand.
fn safe_part(settings: &Settings, endpoint: &Endpoint, now: Ns) -> f64 {
    let multiple = SlowStartSettings::of(settings, endpoint.role).collapse_multiple;
    (SAFE_PART * multiple * warmth(settings, endpoint, now)).min(1.0)
}

/// The load that a warm node takes from this director, and the credit that cold ones earn by it. Loads are transfer time
/// per time: the mean number of transfers under way.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    warm_cache_load: f64,
    warm_parent_load: f64,
    /// The transfer time requested in the open window, in nanoseconds.
    requested: f64,
    /// The most parents that were listed.
    max_parents: usize,
    /// Until when cold nodes have earned their credit.
    earned_until: Ns,
}

impl SlowStart {
    pub(crate) fn new(now: Ns) -> Self {
        SlowStart {
            warm_cache_load: 0.0,
            warm_parent_load: 0.0,
            requested: 0.0,
            max_parents: 0,
            earned_until: now,
        }
    }

    /// The credit of a node that was just listed. Directors take turns at it by their index.
    pub(crate) fn initial_credit(settings: &Settings, sharers: f64, largest_transfer: f64) -> f64 {
        -(settings.director_index as f64 % sharers / sharers) * largest_transfer
    }

    /// Notes how many parents are listed.
    pub(crate) fn record_parents(&mut self, listed: usize) {
        self.max_parents = self.max_parents.max(listed);
    }

    /// Counts the demand of a request, in nanoseconds of transfer time.
    pub(crate) fn record_request(&mut self, transfer_time: f64) {
        self.requested += transfer_time;
    }

    /// Lets cold nodes earn credit for the time since the last call.
    pub(crate) fn earn(
        &mut self,
        settings: &Settings,
        endpoints: &mut EndpointTable,
        largest_transfer: f64,
        now: Ns,
    ) {
        let elapsed = now.saturating_sub(self.earned_until).min(MAX_EARNING_TIME) as f64;
        self.earned_until = now;
        for ring in [Ring::Caches, Ring::Parents] {
            let load = *self.warm_load(ring);
            endpoints.for_each_member(ring, |_, endpoint| {
                if is_warm(settings, endpoint, now) {
                    return;
                }
                let earned = elapsed * load * safe_part(settings, endpoint, now);
                let max_credit = largest_transfer * (1.0 + SAVED_TRANSFERS_SHARED / endpoint.sharing);
                endpoint.credit = (endpoint.credit + earned).min(max_credit);
            });
        }
    }

    /// Follows what warm nodes served in the window that closes. A loss of nodes leaves the estimates: those that are
    /// left must not be pushed for it.
    pub(crate) fn close_window(&mut self, settings: &Settings, endpoints: &EndpointTable, now: Ns) {
        for ring in [Ring::Caches, Ring::Parents] {
            let served = warm_served(settings, endpoints, ring, now);
            let shared_among = match ring {
                Ring::Caches => served.len(),
                // Few parents serve all, so that the loss of some must not raise the estimate for a fresh one.
                Ring::Parents => self.max_parents,
            };
            let unproven = self.unproven_load(endpoints, ring);
            let load = self.warm_load(ring);
            *load = next_load(*load, &served, shared_among, unproven);
        }
        self.requested = 0.0;
    }

    fn warm_load(&mut self, ring: Ring) -> &mut f64 {
        match ring {
            Ring::Caches => &mut self.warm_cache_load,
            Ring::Parents => &mut self.warm_parent_load,
        }
    }

    /// What stands in for the load of a warm node while none has been seen.
    fn unproven_load(&self, endpoints: &EndpointTable, ring: Ring) -> f64 {
        let members = endpoints.ring(ring).members().len().max(1);
        UNPROVEN_PART * self.requested / members as f64 / WINDOW as f64
    }
}

/// What each warm member that is up served in the open window, in nanoseconds of transfer time.
fn warm_served(settings: &Settings, endpoints: &EndpointTable, ring: Ring, now: Ns) -> Vec<f64> {
    endpoints
        .members(ring)
        .filter(|endpoint| endpoint.is_up() && is_warm(settings, endpoint, now))
        .map(|endpoint| endpoint.served)
        .collect()
}

/// The next estimate of a warm node's load, from what the warm ones served and among how many that is shared.
fn next_load(load: f64, warm_served: &[f64], shared_among: usize, unproven: f64) -> f64 {
    let seen = warm_served.iter().sum::<f64>() / shared_among as f64 / WINDOW as f64;
    if load == 0.0 {
        return if seen > 0.0 { seen } else { unproven };
    }
    if warm_served.is_empty() {
        return load;
    }
    let gain = if load < seen { LOAD_RISE_GAIN } else { LOAD_FALL_GAIN };
    load + gain * (seen - load)
}
