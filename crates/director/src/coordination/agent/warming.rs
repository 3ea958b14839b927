//! The warming role: cold caches fetch what the fleet requests most. Every director reports what its own clients request.

use sablecross::{Ns, Settings, mix};
use sablecross_coordination::messages::HotObjectCount;
use sablecross_coordination::{CacheWarmer, FencingToken, Fetch, FetchOutcome, HotObject, WarmingLimits};

use super::Agent;
use crate::clock::NS_PER_MS;
use crate::coordination::RequestCounts;
use crate::coordination::endpoint_list::NodeRing;
use crate::coordination::health_check;
use crate::coordination_settings::WARMING_ROLE;

/// How often requests are reported and caches are looked at.
const REPORT_INTERVAL: Ns = 1_000 * NS_PER_MS;
/// How many objects are reported.
const MAX_REPORTED_OBJECTS: usize = 24;
/// What is left of the counts of requests after a report.
const REPORT_DECAY: f64 = 0.5;

/// A lease of the role, with the state of warming.
struct HeldRole {
    token: FencingToken,
    warmer: CacheWarmer,
}

/// The warming role, and the counts of requests by which every director contributes to it.
pub(super) struct WarmingRole {
    /// None: caches are not warmed.
    limits: Option<WarmingLimits>,
    held: Option<HeldRole>,
    request_counts: Option<RequestCounts>,
    next_report: Ns,
}

impl WarmingRole {
    /// The role is not held. How warm a cache is depends on the director's own settings.
    pub(super) fn new(
        limits: Option<WarmingLimits>,
        own: &Settings,
        request_counts: Option<RequestCounts>,
        now: Ns,
    ) -> WarmingRole {
        let limits = limits.map(|limits| WarmingLimits {
            initial_share: own.slow_start_initial_share,
            warm_up_time: own.slow_start_window,
            ..limits
        });
        WarmingRole { limits, held: None, request_counts, next_report: now }
    }

    /// The role is held from here on.
    pub(super) fn begin(&mut self, token: FencingToken) {
        self.held = self.limits.map(|limits| HeldRole { token, warmer: CacheWarmer::new(limits) });
    }

    /// The role is not held any more.
    pub(super) fn end(&mut self) {
        self.held = None;
    }

    /// When a fetch is due or times out.
    pub(super) fn next_wakeup(&self) -> Ns {
        self.held.as_ref().map_or(Ns::MAX, |held| held.warmer.next_wakeup())
    }

    /// A fetch by a cache has ended.
    pub(super) fn on_fetch_ended(&mut self, now: Ns, cache: u64, outcome: FetchOutcome) {
        if let Some(held) = self.held.as_mut() {
            held.warmer.on_fetch_ended(now, cache, outcome);
        }
    }

    /// What clients of this director requested most since the last time; none if nobody counts, or another thread counts now.
    fn take_report(&self) -> Option<Vec<HotObjectCount>> {
        let mut counts = self.request_counts.as_ref()?.lock().ok()?;
        let top = counts.top(MAX_REPORTED_OBJECTS);
        counts.decay(REPORT_DECAY);
        Some(top.into_iter().map(|(object, count)| HotObjectCount { object, count: count as f32 }).collect())
    }

    fn fetch_timeout_ms(&self) -> u64 {
        self.limits.map_or(1, |limits| limits.fetch_timeout / NS_PER_MS).max(1)
    }
}

impl Agent {
    /// Reports requests, and warms caches while the role is held.
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

    /// Tells the warmer which caches are cold, and which of the hottest objects belong to each.
    fn update_cold_caches(&mut self, now: Ns) {
        let Some(HeldRole { warmer, .. }) = self.warming.held.as_mut() else { return };
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
        let Some(HeldRole { token, warmer }) = self.warming.held.as_mut() else { return };
        let token = *token;
        let due = warmer.take_due(now);
        if due.is_empty() {
            return;
        }
        let parents = self.endpoints.parent_ring(&self.shared.names);
        for Fetch { cache, object } in due {
            // Right before each effect.
            if self.coordinator.token(now, WARMING_ROLE) != Some(token) {
                return;
            }
            self.send_fetch(cache, object, token, &parents, now);
        }
    }

    /// Has a cache fetch an object from the parent it belongs to.
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

/// Sixteen digits that no client's request has, as the first one is `d`.
fn fetch_request_id(tag: health_check::HealthCheckTag) -> String {
    format!("d{:015x}", mix(tag.token.term ^ mix(tag.sequence)) >> 4)
}
