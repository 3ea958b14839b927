//! The choice of a node and a source for one attempt.

use super::Router;
use crate::cache_policy::{max_age, retention_rank};
use crate::effects;
use crate::endpoint::{Endpoint, EndpointRole};
use crate::fill_price::OFFLOAD_CANDIDATES;
use crate::hash_ring::{cache_position, parent_position, unit_fraction};
use crate::load_shedding::{primary_share, spill_share};
use crate::slow_start;
use crate::transfer_time::BASE_LATENCY;
use crate::types::{Attempt, AttemptSpec, Ns, Outcome, Request};

/// From so many attempts on a parent that can be asked directly goes before another cache: caches have had their try.
const ATTEMPTS_BEFORE_BYPASS: usize = 2;
/// How long an attempt without a fill may take: a copy is served soon, or the node is not well. So many predicted
/// transfer times...
const UNFILLED_TIMEOUT_TRANSFERS: f64 = 3.0;
/// ...and base latencies.
const UNFILLED_TIMEOUT_LATENCIES: Ns = 8;
/// An object in burst rotates over its primary cache and the two next ones; the design sets it.
const BURST_CACHES: usize = 3;

/// Where an attempt goes and where a miss is filled from.
#[derive(Clone, Copy, Debug)]
struct Target {
    node: usize,
    source: Option<usize>,
}

/// One decision under way.
pub(super) struct Selection<'a> {
    router: &'a Router,
    now: Ns,
    request: &'a Request,
    is_first: bool,
    priority: f64,
    cache_position: u64,
    parent_position: u64,
}

impl<'a> Selection<'a> {
    /// The decision about a request, by what is known now.
    pub(super) fn new(router: &'a Router, now: Ns, request: &'a Request) -> Self {
        Selection {
            router,
            now,
            request,
            is_first: request.attempts.is_empty(),
            priority: router.priorities.priority(router.log_value(request)),
            cache_position: cache_position(request.object, request.part),
            parent_position: parent_position(request.object),
        }
    }

    /// The attempt to make now; none if there is no node for it.
    pub(super) fn attempt(&self) -> Option<AttemptSpec> {
        let target = self.target().filter(|target| self.is_effect_safe(target.node))?;
        let source = target.source.filter(|&source| source != target.node && self.is_affordable(source));
        if !self.is_first && source.is_none() {
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

    /// A trial goes first; else a cache, and past that, where it is allowed, a parent itself.
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
        let heir = endpoints.caches().owner(self.cache_position, |node| self.is_available(node));
        let cache = self.cache(heir).map(|node| Target { node, source });
        if self.request.attempts.len() < ATTEMPTS_BEFORE_BYPASS && cache.is_some() {
            return cache;
        }
        let direct = parent.filter(|&parent| self.may_ask_directly(parent, heir));
        direct.map(|node| Target { node, source: endpoints.origin() }).or(cache)
    }

    /// Whether a node is up and, if it is cold, has credit for the request.
    fn is_available(&self, node: usize) -> bool {
        self.router.endpoints.get(node).is_some_and(|endpoint| endpoint.is_up() && self.has_credit(endpoint))
    }

    /// Whether slow start allows the request: the node is warm or has earned enough credit.
    fn has_credit(&self, endpoint: &Endpoint) -> bool {
        slow_start::has_credit(&self.router.settings, endpoint, self.request.class, self.now)
    }

    /// Only first attempts are trials.
    fn is_trial_due(&self, node: usize) -> bool {
        let endpoint = self.router.endpoints.get(node);
        self.is_first
            && endpoint.is_some_and(|endpoint| endpoint.is_trial_due(self.now) && self.has_credit(endpoint))
    }

    /// Whether an attempt at the node cannot repeat the request's effect.
    fn is_effect_safe(&self, node: usize) -> bool {
        effects::allow_attempt(&self.router.settings, &self.router.endpoints, self.request, node, self.now)
    }

    fn was_tried(&self, node: usize) -> bool {
        self.request.attempts.iter().any(|attempt| attempt.node == node)
    }

    // ---- the source of a fill ----

    /// The parent that fills the object, if one is available: one with which no attempt has failed goes first.
    fn parent(&self) -> Option<usize> {
        let parents = self.router.endpoints.parents();
        let is_available = |node: usize| self.is_available(node);
        let is_unblamed = |node: usize| is_available(node) && !self.has_failed_with(node);
        let parent = parents
            .owner(self.parent_position, is_unblamed)
            .or_else(|| parents.owner(self.parent_position, is_available))?;
        Some(self.offloaded_to(parent).unwrap_or(parent))
    }

    /// Whether an attempt failed with this node as its source.
    fn has_failed_with(&self, source: usize) -> bool {
        let failed = |attempt: &Attempt| {
            use Outcome::{ConnectionLost, Error, Overloaded, TimedOut};
            matches!(attempt.outcome, Some(Error | ConnectionLost | TimedOut | Overloaded))
        };
        self.request.attempts.iter().any(|attempt| attempt.source == Some(source) && failed(attempt))
    }

    /// The nearest parent that is cheaper by far, where the fill is too dear at its own.
    fn offloaded_to(&self, parent: usize) -> Option<usize> {
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
        let candidates = OFFLOAD_CANDIDATES.min(parents.members().len());
        let mut seen = Vec::with_capacity(candidates);
        for node in parents.walk_from(self.parent_position) {
            if seen.contains(&node) {
                continue;
            }
            if self.is_available(node) && is_cheaper(node) {
                return Some(node);
            }
            seen.push(node);
            if seen.len() >= candidates {
                break;
            }
        }
        None
    }

    /// The origin fills only while no parent can be named, within this director's limit.
    fn origin_as_source(&self) -> Option<usize> {
        let origin = self.router.endpoints.origin()?;
        let outstanding = self.router.endpoints.get(origin)?.outstanding;
        self.router.origin_limit.admits(outstanding, unit_fraction(self.now)).then_some(origin)
    }

    fn is_affordable(&self, source: usize) -> bool {
        let endpoint = self.router.endpoints.get(source);
        endpoint.is_none_or(|endpoint| !endpoint.fill_price.is_above(self.priority))
    }

    // ---- the node ----

    /// The nearest available cache with room. `heir` is the owner of the position among those that are available: it
    /// counts as primary, also for a cold cache that has used up its credit.
    fn cache(&self, heir: Option<usize>) -> Option<usize> {
        let caches = self.router.endpoints.caches();
        let is_suitable = |node: usize| {
            self.is_available(node)
                && (!self.was_tried(node) || self.is_lost_answer_of(node))
                && self.is_effect_safe(node)
                && self.has_room(node, heir)
        };
        let cache = caches.owner(self.cache_position, is_suitable)?;
        let is_primary = caches.primary(self.cache_position) == Some(cache);
        Some(if self.is_first && is_primary { self.spread_in_burst(cache) } else { cache })
    }

    /// Whether the only attempt so far went to this node and its answer broke off or failed. The copy still lies there,
    /// so that the node is asked once more as long as it is up.
    fn is_lost_answer_of(&self, node: usize) -> bool {
        use Outcome::{ConnectionLost, Error};
        let [only] = &self.request.attempts[..] else { return false };
        only.node == node && matches!(only.outcome, Some(Error | ConnectionLost))
    }

    fn has_room(&self, node: usize, heir: Option<usize>) -> bool {
        let Some(endpoint) = self.router.endpoints.get(node) else { return false };
        let share = if Some(node) == heir {
            primary_share(self.priority)
        } else {
            spill_share(self.is_first, self.router.overload.is_overloaded())
        };
        let dither = unit_fraction(self.cache_position ^ self.now);
        endpoint.concurrency.admits(endpoint.outstanding_direct, share, dither)
    }

    fn may_ask_directly(&self, parent: usize, heir: Option<usize>) -> bool {
        self.router.settings.may_bypass_cache && !self.was_tried(parent) && self.has_room(parent, heir)
    }

    /// Rotates an object in burst over its primary cache and the two next ones round the ring.
    fn spread_in_burst(&self, primary: usize) -> usize {
        let Some(rotation) = self.router.bursts.rotation(self.request.object) else { return primary };
        let others = |excluded: Option<usize>| {
            let mut walk = self.router.endpoints.caches().walk_from(self.cache_position);
            walk.find(|&node| node != primary && Some(node) != excluded)
        };
        let second = others(None);
        let third = others(second);
        let turn = (rotation + self.request.part as usize) % BURST_CACHES;
        let chosen = [Some(primary), second, third][turn].or(second).unwrap_or(primary);
        if self.is_available(chosen) { chosen } else { primary }
    }

    // ---- what is asked of the node ----

    fn timeout(&self, source: Option<usize>) -> Ns {
        let left = self.router.answer_time(self.now, self.request) - self.now;
        if !self.is_first || source.is_some() {
            return left;
        }
        let transfers = UNFILLED_TIMEOUT_TRANSFERS * self.router.predicted_transfer_time(self.request);
        left.min(transfers as Ns + UNFILLED_TIMEOUT_LATENCIES * BASE_LATENCY)
    }

    /// The oldest copy that will do, given the source that was found, dear or not.
    fn max_age(&self, source: Option<usize>) -> Option<Ns> {
        let has_ended_attempt = self.request.attempts.iter().any(|attempt| attempt.outcome.is_some());
        let is_fill_likely = source.is_some() && !has_ended_attempt;
        let class = self.router.class(self.request);
        max_age(&self.router.purges, class, self.request, self.now, is_fill_likely)
    }

    /// A busy primary cache keeps its share of the ring: what is spilt to another passes through, so that the other
    /// evicts nothing for it.
    fn retention_rank(&self, node: usize) -> u8 {
        let endpoints = &self.router.endpoints;
        let is_cache = endpoints.role(node).is_none_or(|role| role == EndpointRole::Cache);
        let primary = endpoints.caches().primary(self.cache_position);
        let is_primary_elsewhere = primary.is_some_and(|primary| primary != node && endpoints.is_up(primary));
        let is_spilt = is_primary_elsewhere && self.router.bursts.rotation(self.request.object).is_none();
        let is_cacheable = !self.router.class(self.request).is_uncacheable && !self.request.is_write;
        retention_rank(is_cache && is_cacheable && !is_spilt, self.router.history.is_reused(self.request))
    }
}
