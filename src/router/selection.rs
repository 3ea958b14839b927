//! Selects the node and the source of one attempt.

use super::Router;
use crate::cache_policy::{max_age, retention_rank};
use crate::effects;
use crate::endpoint::{Endpoint, EndpointRole};
use crate::fill_price::MAX_OFFLOAD_CANDIDATES;
use crate::hash_ring::{cache_position, parent_position, unit_fraction};
use crate::load_shedding::{primary_share, spill_share};
use crate::slow_start;
use crate::transfer_time::BASE_LATENCY;
use crate::types::{Attempt, AttemptSpec, Ns, Outcome, Request};

/// From this number of attempts on, a parent that can be asked directly takes precedence over another cache, because
/// caches have already been tried.
const ATTEMPTS_BEFORE_BYPASS: usize = 2;
/// The timeout of an attempt without a fill is this many predicted transfer times plus
/// [`UNFILLED_TIMEOUT_LATENCIES`]. A healthy node serves a copy within that time.
const UNFILLED_TIMEOUT_TRANSFERS: f64 = 3.0;
/// The base latencies in the timeout of an attempt without a fill.
const UNFILLED_TIMEOUT_LATENCIES: Ns = 8;
/// The number of caches over which an object in burst rotates: its primary cache and the next two on the ring.
const BURST_CACHES: usize = 3;

/// The node that an attempt goes to and the source from which a miss is filled.
#[derive(Clone, Copy, Debug)]
struct Target {
    node: usize,
    source: Option<usize>,
}

/// The state of one decision.
pub(super) struct Selection<'a> {
    router: &'a Router,
    now: Ns,
    request: &'a Request,
    is_first_attempt: bool,
    priority: f64,
    cache_position: u64,
    parent_position: u64,
}

impl<'a> Selection<'a> {
    /// Prepares the decision about a request with what is known at `now`.
    pub(super) fn new(router: &'a Router, now: Ns, request: &'a Request) -> Self {
        Selection {
            router,
            now,
            request,
            is_first_attempt: request.attempts.is_empty(),
            priority: router.priorities.priority(router.log_value(request)),
            cache_position: cache_position(request.object, request.part),
            parent_position: parent_position(request.object),
        }
    }

    /// The attempt to make now; none if no node is suitable, or if the request already has attempts and no source is
    /// available and affordable.
    pub(super) fn attempt(&self) -> Option<AttemptSpec> {
        let target = self.target().filter(|target| self.is_effect_safe(target.node))?;
        let source = target.source.filter(|&source| source != target.node && self.is_affordable(source));
        if !self.is_first_attempt && source.is_none() {
            return None;
        }
        let class = self.router.class(self.request);
        Some(AttemptSpec {
            node: target.node,
            source,
            timeout: self.timeout(source),
            begin_by: effects::recognised_until(class.effect, self.request),
            max_age: self.max_age(target.source),
            coalesce: self.router.settings.may_coalesce,
            refresh: class.fresh_for > 0,
            retention_rank: self.retention_rank(target.node),
        })
    }

    /// The node and the source of the attempt. A trial that is due takes precedence, then a cache. If there is no
    /// cache, or from [`ATTEMPTS_BEFORE_BYPASS`] attempts on, a parent is asked directly if the settings allow that.
    fn target(&self) -> Option<Target> {
        let endpoints = &self.router.endpoints;
        if let Some(parent) = endpoints.parents().primary(self.parent_position)
            && self.router.settings.may_bypass_cache
            && self.is_trial_due(parent)
        {
            return Some(Target { node: parent, source: None });
        }
        let parent = self.parent();
        let source = parent.or_else(|| self.origin_as_source());
        if let Some(cache) = endpoints.caches().primary(self.cache_position)
            && self.is_trial_due(cache)
        {
            return Some(Target { node: cache, source });
        }
        let available_owner = endpoints.caches().owner(self.cache_position, |node| self.is_available(node));
        let cache = self.cache(available_owner).map(|node| Target { node, source });
        if self.request.attempts.len() < ATTEMPTS_BEFORE_BYPASS && cache.is_some() {
            return cache;
        }
        let direct = parent.filter(|&parent| self.may_send_directly(parent, available_owner));
        direct.map(|node| Target { node, source: endpoints.origin() }).or(cache)
    }

    /// Whether a node is up and is either warm or has credit for the request.
    fn is_available(&self, node: usize) -> bool {
        self.router.endpoints.get(node).is_some_and(|endpoint| endpoint.is_up() && self.has_credit(endpoint))
    }

    /// Whether slow start allows the request: the node is warm or has enough credit.
    fn has_credit(&self, endpoint: &Endpoint) -> bool {
        slow_start::has_credit(&self.router.settings, endpoint, self.request.class, self.now)
    }

    /// Whether the request may be a trial of this node. Only first attempts are trials.
    fn is_trial_due(&self, node: usize) -> bool {
        let endpoint = self.router.endpoints.get(node);
        self.is_first_attempt
            && endpoint.is_some_and(|endpoint| endpoint.is_trial_due(self.now) && self.has_credit(endpoint))
    }

    /// Whether an attempt at the node is certain not to repeat the request's effect.
    fn is_effect_safe(&self, node: usize) -> bool {
        effects::allow_attempt(&self.router.settings, &self.router.endpoints, self.request, node, self.now)
    }

    fn was_tried(&self, node: usize) -> bool {
        self.request.attempts.iter().any(|attempt| attempt.node == node)
    }

    // ---- source of a fill ----

    /// The parent that fills the object, if one is available. Parents with which no attempt of this request has
    /// failed take precedence.
    fn parent(&self) -> Option<usize> {
        let parents = self.router.endpoints.parents();
        let is_available = |node: usize| self.is_available(node);
        let has_not_failed = |node: usize| is_available(node) && !self.has_failed_with(node);
        let parent = parents
            .owner(self.parent_position, has_not_failed)
            .or_else(|| parents.owner(self.parent_position, is_available))?;
        Some(self.cheaper_parent(parent).unwrap_or(parent))
    }

    /// Whether an attempt of this request failed with this node as its source.
    fn has_failed_with(&self, source: usize) -> bool {
        let failed = |attempt: &Attempt| {
            use Outcome::{ConnectionLost, Error, Overloaded, TimedOut};
            matches!(attempt.outcome, Some(Error | ConnectionLost | TimedOut | Overloaded))
        };
        self.request.attempts.iter().any(|attempt| attempt.source == Some(source) && failed(attempt))
    }

    /// The nearest other parent with a much lower price that the request's priority reaches. None if the price of
    /// `parent` is not above that priority, or if this fill is not to be offloaded.
    fn cheaper_parent(&self, parent: usize) -> Option<usize> {
        let price_of = |node: usize| Some(self.router.endpoints.get(node)?.fill_price);
        let price = price_of(parent)?;
        let dither = unit_fraction(self.parent_position ^ self.now);
        if !price.is_above(self.priority) || !self.router.fill_offload.admits(dither) {
            return None;
        }
        let is_cheaper = |node: usize| {
            let other = price_of(node);
            other.is_some_and(|other| !other.is_above(self.priority) && other.is_far_below(price))
        };
        let parents = self.router.endpoints.parents();
        let candidates = MAX_OFFLOAD_CANDIDATES.min(parents.members().len());
        let mut examined = Vec::with_capacity(candidates);
        for node in parents.walk_from(self.parent_position) {
            if examined.contains(&node) {
                continue;
            }
            if self.is_available(node) && is_cheaper(node) {
                return Some(node);
            }
            examined.push(node);
            if examined.len() >= candidates {
                break;
            }
        }
        None
    }

    /// The origin as the source, if this director's limit admits another fetch. It is used only while no parent is
    /// available.
    fn origin_as_source(&self) -> Option<usize> {
        let origin = self.router.endpoints.origin()?;
        let outstanding = self.router.endpoints.get(origin)?.outstanding;
        self.router.origin_limit.admits(outstanding, unit_fraction(self.now)).then_some(origin)
    }

    fn is_affordable(&self, source: usize) -> bool {
        let endpoint = self.router.endpoints.get(source);
        endpoint.is_none_or(|endpoint| !endpoint.fill_price.is_above(self.priority))
    }

    // ---- node ----

    /// The nearest available cache with room. `available_owner` is the owner of the position among the available
    /// caches. It gets the share of a primary cache, even if it stands in for a cold cache without credit.
    fn cache(&self, available_owner: Option<usize>) -> Option<usize> {
        let caches = self.router.endpoints.caches();
        let is_suitable = |node: usize| {
            self.is_available(node)
                && (!self.was_tried(node) || self.may_retry_at(node))
                && self.is_effect_safe(node)
                && self.has_room(node, available_owner)
        };
        let cache = caches.owner(self.cache_position, is_suitable)?;
        let is_primary = caches.primary(self.cache_position) == Some(cache);
        Some(if self.is_first_attempt && is_primary { self.spread_in_burst(cache) } else { cache })
    }

    /// Whether the request may go to this node a second time: its only attempt so far went there, and it ended with an
    /// error or a lost connection. The node probably has the copy, so it gets one more attempt while it is up.
    fn may_retry_at(&self, node: usize) -> bool {
        use Outcome::{ConnectionLost, Error};
        let [only_attempt] = &self.request.attempts[..] else { return false };
        only_attempt.node == node && matches!(only_attempt.outcome, Some(Error | ConnectionLost))
    }

    fn has_room(&self, node: usize, available_owner: Option<usize>) -> bool {
        let Some(endpoint) = self.router.endpoints.get(node) else { return false };
        let share = if Some(node) == available_owner {
            primary_share(self.priority)
        } else {
            spill_share(self.is_first_attempt, self.router.overload.is_overloaded())
        };
        let dither = unit_fraction(self.cache_position ^ self.now);
        endpoint.concurrency.admits(endpoint.outstanding_direct, share, dither)
    }

    fn may_send_directly(&self, parent: usize, available_owner: Option<usize>) -> bool {
        self.router.settings.may_bypass_cache
            && !self.was_tried(parent)
            && self.has_room(parent, available_owner)
    }

    /// Rotates an object in burst over its primary cache and the next two caches on the ring.
    fn spread_in_burst(&self, primary: usize) -> usize {
        let Some(rotation) = self.router.bursts.rotation(self.request.object) else { return primary };
        let next_cache = |excluded: Option<usize>| {
            let mut walk = self.router.endpoints.caches().walk_from(self.cache_position);
            walk.find(|&node| node != primary && Some(node) != excluded)
        };
        let second = next_cache(None);
        let third = next_cache(second);
        let index = (rotation + self.request.part as usize) % BURST_CACHES;
        let chosen = [Some(primary), second, third][index].or(second).unwrap_or(primary);
        if self.is_available(chosen) { chosen } else { primary }
    }

    // ---- parameters of the attempt ----

    fn timeout(&self, source: Option<usize>) -> Ns {
        let time_left = self.router.answer_time(self.now, self.request) - self.now;
        if !self.is_first_attempt || source.is_some() {
            return time_left;
        }
        let transfers = UNFILLED_TIMEOUT_TRANSFERS * self.router.predicted_transfer_time(self.request);
        time_left.min(transfers as Ns + UNFILLED_TIMEOUT_LATENCIES * BASE_LATENCY)
    }

    /// The maximum age of a copy. `source` is the source that was found, even if its price is above the request's
    /// priority.
    fn max_age(&self, source: Option<usize>) -> Option<Ns> {
        let has_ended_attempt = self.request.attempts.iter().any(|attempt| attempt.outcome.is_some());
        let is_fill_likely = source.is_some() && !has_ended_attempt;
        let class = self.router.class(self.request);
        max_age(&self.router.purges, class, self.request, self.now, is_fill_likely)
    }

    /// The rank at which the node caches the answer. A request that is spilled from a busy primary cache passes
    /// through the other cache uncached, so that the other cache evicts nothing for it and the primary cache keeps
    /// its share of the ring.
    fn retention_rank(&self, node: usize) -> u8 {
        let endpoints = &self.router.endpoints;
        let is_cache = endpoints.role(node).is_none_or(|role| role == EndpointRole::Cache);
        let primary = endpoints.caches().primary(self.cache_position);
        let is_primary_elsewhere = primary.is_some_and(|primary| primary != node && endpoints.is_up(primary));
        let is_spilled = is_primary_elsewhere && self.router.bursts.rotation(self.request.object).is_none();
        let is_cacheable = !self.router.class(self.request).is_uncacheable && !self.request.is_write;
        retention_rank(is_cache && is_cacheable && !is_spilled, self.router.history.is_reused(self.request))
    }
}
