//! The warming role: its holder has cold caches fetch the objects that the fleet requests most. Every director reports
//! which objects its own clients request most.

use sablecross::{Ns, Settings, split_mix64};
use sablecross_coordination::messages::HotObjectCount;
use sablecross_coordination::{CacheWarmer, FencingToken, Fetch, FetchOutcome, HotObject, WarmingLimits};

use super::Agent;
use crate::clock::NS_PER_MS;
use crate::coordination::RequestCounts;
use crate::coordination::endpoint_list::NodeRing;
use crate::coordination::health_check;
use crate::coordination_settings::WARMING_ROLE;

/// The interval at which request counts are reported and the cold caches are updated.
const REPORT_INTERVAL: Ns = 1_000 * NS_PER_MS;
/// The maximum number of objects in a report.
const MAX_REPORTED_OBJECTS: usize = 24;
/// The factor by which all request counts are multiplied after a report.
const REPORT_DECAY_FACTOR: f64 = 0.5;

/// The state of warming while this director holds the lease of the role.
struct WarmingLease {
    token: FencingToken,
    warmer: CacheWarmer,
}

/// The warming role, and the request counts by which every director contributes to it.
pub(super) struct WarmingRole {
    /// `None` if caches are not warmed.
    limits: Option<WarmingLimits>,
    lease: Option<WarmingLease>,
    request_counts: Option<RequestCounts>,
    next_report: Ns,
}

impl WarmingRole {
    /// Creates the state of a director that does not hold the role. The initial share of a cold cache and the time
    /// until it is warm are taken from the router's slow start settings.
    pub(super) fn new(
        limits: Option<WarmingLimits>,
        router_settings: &Settings,
        request_counts: Option<RequestCounts>,
        now: Ns,
    ) -> WarmingRole {
        let limits = limits.map(|limits| WarmingLimits {
            initial_share: router_settings.slow_start_initial_share,
            warm_up_time: router_settings.slow_start_window,
            ..limits
        });
        WarmingRole { limits, lease: None, request_counts, next_report: now }
    }

    /// Starts warming when the role is acquired.
    pub(super) fn begin(&mut self, token: FencingToken) {
        self.lease = self.limits.map(|limits| WarmingLease { token, warmer: CacheWarmer::new(limits) });
    }

    /// Stops warming when the role is lost.
    pub(super) fn end(&mut self) {
        self.lease = None;
    }

    /// Returns when the next fetch is due or times out.
    pub(super) fn next_wakeup(&self) -> Ns {
        self.lease.as_ref().map_or(Ns::MAX, |lease| lease.warmer.next_wakeup())
    }

    /// Reports the end of a cache's fetch to the warmer.
    pub(super) fn on_fetch_ended(&mut self, now: Ns, cache: u64, outcome: FetchOutcome) {
        if let Some(lease) = self.lease.as_mut() {
            lease.warmer.on_fetch_ended(now, cache, outcome);
        }
    }

    /// Returns the objects that this director's clients have requested most, and decays the counts. Returns `None` if
    /// requests are not counted, or if the counts are unusable because a thread panicked while it held their lock.
    fn take_report(&self) -> Option<Vec<HotObjectCount>> {
        let mut counts = self.request_counts.as_ref()?.lock().ok()?;
        let top = counts.top(MAX_REPORTED_OBJECTS);
        counts.decay(REPORT_DECAY_FACTOR);
        Some(top.into_iter().map(|(object, count)| HotObjectCount { object, count: count as f32 }).collect())
    }

    fn fetch_timeout_ms(&self) -> u64 {
        self.limits.map_or(1, |limits| limits.fetch_timeout / NS_PER_MS).max(1)
    }
}

impl Agent {
    /// Reports request counts, and warms caches while this director holds the role.
    pub(super) fn step_warming(&mut self, now: Ns) {
        if now >= self.warming.next_report {
            self.warming.next_report = now + REPORT_INTERVAL;
            if let Some(report) = self.warming.take_report() {
                self.coordinator.report_hot_objects(report);
            }
            self.update_cold_caches(now);
        }
        self.send_due_fetches(now);
    }

    /// Tells the warmer when each cache has started, and which of the hottest objects belong to each cache that it
    /// warms.
    fn update_cold_caches(&mut self, now: Ns) {
        let Some(WarmingLease { warmer, .. }) = self.warming.lease.as_mut() else { return };
        let names = &self.shared.names;
        let hottest = self.coordinator.hottest_objects();
        warmer.update_caches(now, &self.endpoints.cache_starts(names));
        for cache in warmer.caches().collect::<Vec<_>>() {
            let Some(ring) = self.endpoints.cache_ring_of(cache, names) else { continue };
            let objects = hottest.iter().copied().filter(|object| ring.is_owner(cache, object));
            warmer.set_objects(cache, &objects.collect::<Vec<_>>());
        }
    }

    fn send_due_fetches(&mut self, now: Ns) {
        let Some(WarmingLease { token, warmer }) = self.warming.lease.as_mut() else { return };
        let token = *token;
        let due = warmer.take_due(now);
        if due.is_empty() {
            return;
        }
        let parents = self.endpoints.parent_ring(&self.shared.names);
        for Fetch { cache, object } in due {
            // The lease is checked right before each fetch. Once it has expired, no further fetches are sent.
            if self.coordinator.token(now, WARMING_ROLE) != Some(token) {
                return;
            }
            self.send_fetch(cache, object, token, &parents, now);
        }
    }

    /// Sends a cache the request to fetch an object from the parent that the object is filled from.
    fn send_fetch(
        &mut self,
        cache: u64,
        object: HotObject,
        token: FencingToken,
        parents: &NodeRing,
        now: Ns,
    ) {
        let Some(parent) = self.endpoints.parent_of(&object, parents) else { return };
        let Some(class) = self.shared.names.classes.get(usize::from(object.class)) else { return };
        let wait_ms = self.warming.fetch_timeout_ms();
        let line = |tag: health_check::HealthCheckTag| {
            let request_id = fetch_request_id(tag);
            health_check::fetch_request(&request_id, &object, class, parent, wait_ms, tag)
        };
        self.nodes.send_fetch(cache, token, line, self.poll.registry(), now);
    }
}

/// Returns a request id of 16 hex digits, the first of which is `d` to distinguish fetches from clients' requests. The
/// ids that clients choose are not checked for this digit.
fn fetch_request_id(tag: health_check::HealthCheckTag) -> String {
    format!("d{:015x}", split_mix64(tag.token.term ^ split_mix64(tag.sequence)) >> 4)
}
