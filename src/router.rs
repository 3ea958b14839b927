//! The router: the decisions of one director about its requests.
//!
//! The caller keeps each [`Request`] with its attempts and makes three calls for it: [`Router::route`] returns what
//! to do now, [`Router::on_outcome`] what to do after the outcome of an attempt, and [`Router::next_check`] how long
//! to wait for an event before `route` is called again. Changes of the fleet are reported with
//! [`Router::update_endpoints`], [`Router::record_purge`] and [`Router::record_load`]. [`Router::take_log_lines`]
//! returns one line for each change of mode.
//!
//! A decision takes these steps, in this order:
//! 1. No attempt is made past the deadline, without enough time left, or without retry budget (`retry_budget`).
//! 2. The ring of parents selects the source of a fill, and the ring of the caches of the director's own zone selects
//!    the node (`hash_ring`). Both must be up (`outlier_ejection`) and must be warm or have credit (`slow_start`), and
//!    the node must also have room (`load_shedding`). A trial, which checks whether a failing node works again, takes
//!    precedence.
//! 3. An object in burst rotates over several caches (`burst`).
//! 4. If no parent is available, the origin is the source, within a limit (`origin_limit`).
//! 5. A source whose price is above the request's priority is left out (`fill_price`).
//! 6. The maximum age and the retention rank of the copy are set (`cache_policy`).
//!
//! The named modules hold the state and the rules of each step. This module and its two submodules define the order
//! of the steps.

mod outcome;
mod selection;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::burst::{BurstDetector, BurstStatus, REMEMBERED_WINDOWS, WINDOW};
use crate::cache_policy::{PurgeLog, ReuseHistory};
use crate::deadline_margin::DeadlineMargin;
use crate::effects;
use crate::endpoint::{EndpointRole, EndpointTable, directors_sharing};
use crate::fill_price::FillOffload;
use crate::hash_ring::cache_position;
use crate::load_shedding::OverloadDetector;
use crate::mode_change::ModeChange;
use crate::origin_limit::OriginLimit;
use crate::priority::PriorityScale;
use crate::retry_budget::RetryBudget;
use crate::slow_start::SlowStart;
use crate::transfer_time::{BASE_LATENCY, TransferTimes};
use crate::types::{
    AttemptSpec, Effect, EndpointUpdate, LoadReport, Ns, Outcome, Request, RequestClass, RouteDecision,
    SECOND, Settings,
};

use selection::Selection;

/// A request is answered this many ticks before its deadline, so that an answer decided one tick late is still in
/// time.
const DEADLINE_MARGIN_TICKS: Ns = 2;
/// A request is given up if at most this share of its predicted transfer time is left until its deadline. The value
/// is less than 1, because the prediction may be too long.
const MIN_TRANSFER_SHARE_LEFT: f64 = 0.7;
/// The maximum number of outstanding attempts of a request: the first one and one hedge.
const MAX_OUTSTANDING_ATTEMPTS: usize = 2;
/// The random share of the retry delay that a rejection names, so that clients do not all retry at once.
const RETRY_AFTER_JITTER: f64 = 0.25;
/// A request with this many attempts is not hedged any more, so that hedges do not add load where every node is slow.
const MAX_HEDGED_ATTEMPTS: usize = 3;
/// A hedge waits at least this many predicted transfer times after the last attempt, plus [`HEDGE_DELAY_LATENCIES`],
/// because the last attempt is expected to take that long.
const HEDGE_DELAY_TRANSFERS: f64 = 1.4;
/// The base latencies in the minimum delay of a hedge.
const HEDGE_DELAY_LATENCIES: f64 = 2.0;
/// After that delay, a hedge still waits as long as it can end within the latency objective: until this many
/// predicted transfer times, plus [`HEDGE_RESERVE_LATENCIES`], are left.
const HEDGE_RESERVE_TRANSFERS: f64 = 1.3;
/// The base latencies that have to be left in addition.
const HEDGE_RESERVE_LATENCIES: f64 = 1.5;

/// The router of one director, with all that the director has measured.
pub struct Router {
    settings: Settings,
    rng: Pcg32,
    endpoints: EndpointTable,
    transfer_times: TransferTimes,
    priorities: PriorityScale,
    history: ReuseHistory,
    purges: PurgeLog,
    bursts: BurstDetector,
    slow_start: SlowStart,
    overload: OverloadDetector,
    fill_offload: FillOffload,
    retry_budget: RetryBudget,
    origin_limit: OriginLimit,
    deadline_margin: DeadlineMargin,
    /// When the current measurement window ends.
    window_ends_at: Ns,
    mode_changes: Vec<ModeChange>,
}

impl Router {
    /// Creates the router of a director that starts now and knows no endpoints. `seed` makes its random choices
    /// repeatable.
    pub fn new(settings: Settings, seed: u64, now: Ns) -> Self {
        let sharing_factor = directors_sharing(&settings, EndpointRole::Origin).sqrt();
        Router {
            rng: Pcg32::seed_from_u64(seed),
            endpoints: EndpointTable::default(),
            transfer_times: TransferTimes::new(&settings),
            priorities: PriorityScale::new(),
            history: ReuseHistory::new(now),
            purges: PurgeLog::new(settings.purge_propagation_window),
            bursts: BurstDetector::default(),
            slow_start: SlowStart::new(now),
            overload: OverloadDetector::new(),
            fill_offload: FillOffload::new(),
            retry_budget: RetryBudget::new(),
            origin_limit: OriginLimit::new(sharing_factor),
            deadline_margin: DeadlineMargin::default(),
            window_ends_at: now + WINDOW,
            mode_changes: Vec::new(),
            settings,
        }
    }

    /// Limits the number of objects of which each table of the router remembers requests that have ended. Clients name
    /// the objects, so a process with little memory has to set a limit.
    pub fn with_max_objects(mut self, max_objects: usize) -> Self {
        self.history.set_max_copies(max_objects);
        self.bursts.set_max_objects(max_objects);
        self
    }

    /// The number of entries that the router keeps for objects that clients have requested.
    pub fn remembered_objects(&self) -> usize {
        self.history.copy_count() + self.bursts.object_count()
    }

    /// Whether the caller has to subscribe to changes of the endpoint list: at the start, and again after each failure
    /// of the subscription.
    pub fn must_subscribe_to_endpoint_list(&self) -> bool {
        self.settings.must_subscribe_to_endpoint_list
    }

    /// The effects of all request classes, by index.
    pub fn effects(&self) -> Vec<Effect> {
        self.settings.request_classes.iter().map(|class| class.effect).collect()
    }

    /// Whether there is a request class with this index. Requests with other class indices must not be routed.
    pub fn has_class(&self, class: usize) -> bool {
        class < self.settings.request_classes.len()
    }

    /// Takes the log lines since the last call, one for each change of mode.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        self.mode_changes.drain(..).map(|change| change.to_string()).collect()
    }

    /// Applies entries of the endpoint list. A snapshot removes the endpoints that it does not name.
    pub fn update_endpoints(&mut self, now: Ns, updates: &[EndpointUpdate], is_snapshot: bool) {
        let changes = self.endpoints.update(&self.settings, updates, is_snapshot);
        self.mode_changes.extend(changes);
        self.slow_start.record_parents(self.endpoints.parents().members().len());
        self.close_windows(now);
    }

    /// Records a node's load report. The limit of a node that reported spare capacity does not shrink for late
    /// answers.
    pub fn record_load(&mut self, now: Ns, node: usize, load: LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(node) {
            endpoint.concurrency.record_load(now, load);
        }
    }

    /// Records a purge of an object or, if `object` is none, of a whole group. The purge was made `age` ago.
    pub fn record_purge(&mut self, now: Ns, object: Option<u64>, group: u32, age: Ns) {
        self.purges.record(now, object, group, now.saturating_sub(age));
    }

    /// Records how late a thread of the caller was woken. Requests are answered earlier while these delays are long.
    /// From the first call on, even with a delay of 0, [`Router::next_check`] includes the checks that this needs.
    pub fn record_wakeup_delay(&mut self, now: Ns, delay: Ns) {
        self.deadline_margin.record(now, delay);
    }

    /// Returns what to do with a request now. A returned attempt counts as made.
    pub fn route(&mut self, now: Ns, request: &Request) -> RouteDecision {
        self.close_windows(now);
        if effects::cancel_time(&self.settings, request).is_some_and(|at| now >= at) {
            return RouteDecision::CancelOutstanding;
        }
        if now >= self.answer_time(now, request) {
            let is_early = self.deadline_margin.margin(now, request) > 0;
            if is_early && outstanding(request) > 0 {
                return RouteDecision::TimeOutOutstanding;
            }
            return self.wait_or_reject(now, request);
        }
        let is_too_late = (request.deadline - now) as f64
            <= MIN_TRANSFER_SHARE_LEFT * self.predicted_transfer_time(request);
        let is_first = request.attempts.is_empty();
        if is_first {
            self.record_arrival(now, request);
        }
        if is_too_late || !is_first && !self.may_attempt_again(request) {
            return self.wait_or_reject(now, request);
        }
        if outstanding(request) > 0 && self.overload.is_overloaded() {
            return RouteDecision::Wait;
        }
        let Some(spec) = Selection::new(self, now, request).attempt() else {
            return self.wait_or_reject(now, request);
        };
        if !is_first && !is_never_sent(request) {
            self.retry_budget.spend();
        }
        self.record_attempt(now, request, &spec);
        RouteDecision::Attempt(spec)
    }

    /// How long to wait before `route` is called again if no event comes first. This is the shortest of
    /// the times until a hedge, until outstanding attempts have to be cancelled, and until the answer may have to be
    /// sent early.
    pub fn next_check(&self, now: Ns, request: &Request) -> Option<Ns> {
        let has_outstanding = outstanding(request) > 0;
        let answer_time = self.answer_time(now, request);
        let margin_check =
            self.deadline_margin.next_margin_check(now, answer_time, request).filter(|_| has_outstanding);
        let times = [self.hedge_time(request), effects::cancel_time(&self.settings, request), margin_check];
        times.into_iter().flatten().filter(|&at| at > now && at < request.deadline).min().map(|at| at - now)
    }

    /// When a hedge of the last attempt may be sent.
    fn hedge_time(&self, request: &Request) -> Option<Ns> {
        let last = request.attempts.last()?;
        let max_attempts = MAX_HEDGED_ATTEMPTS.min(self.settings.max_attempts);
        if !self.settings.may_hedge || request.attempts.len() >= max_attempts {
            return None;
        }
        let transfer = self.predicted_transfer_time(request);
        let latency = BASE_LATENCY as f64;
        let earliest =
            last.sent_at as f64 + HEDGE_DELAY_TRANSFERS * transfer + latency * HEDGE_DELAY_LATENCIES;
        let latest = self.objective_end(request) as f64
            - HEDGE_RESERVE_TRANSFERS * transfer
            - latency * HEDGE_RESERVE_LATENCIES;
        Some(latest.max(earliest) as Ns)
    }

    /// The margin before the deadline that is kept without any wakeup delays.
    fn tick_margin(&self) -> Ns {
        DEADLINE_MARGIN_TICKS * self.settings.tick
    }

    /// When the request has to be answered, given the wakeup delays known now.
    fn answer_time(&self, now: Ns, request: &Request) -> Ns {
        let margin = self.tick_margin() + self.deadline_margin.margin(now, request);
        request.deadline.saturating_sub(margin)
    }

    fn class(&self, request: &Request) -> &RequestClass {
        &self.settings.request_classes[request.class]
    }

    /// The predicted transfer time of a request, in nanoseconds: by its size if that is known, otherwise by earlier
    /// answers with the same copy, otherwise the mean of its class.
    fn predicted_transfer_time(&self, request: &Request) -> f64 {
        let by_size = self.transfer_times.by_size(request);
        by_size
            .or_else(|| self.history.transfer_time(request))
            .unwrap_or_else(|| self.transfer_times.mean(request.class))
    }

    /// When the latency objective of a request ends.
    fn objective_end(&self, request: &Request) -> Ns {
        let class = self.class(request);
        let stretch = class.latency_objective_stretch.unwrap_or(0.0);
        let stretch = (stretch * self.predicted_transfer_time(request)) as Ns;
        request.arrived_at.saturating_add(class.latency_objective.saturating_add(stretch))
    }

    /// The logarithm of the value of an answer per unit of time that it takes.
    fn log_value(&self, request: &Request) -> f64 {
        let time = self.predicted_transfer_time(request) + BASE_LATENCY as f64;
        (self.class(request).priority_weight * SECOND as f64 / time).ln()
    }

    /// Whether a request that already has attempts may get another one.
    fn may_attempt_again(&self, request: &Request) -> bool {
        let has_budget = is_never_sent(request) || !self.retry_budget.is_exhausted();
        request.attempts.len() < self.settings.max_attempts
            && has_budget
            && outstanding(request) < MAX_OUTSTANDING_ATTEMPTS
    }

    /// Makes no attempt: waits if attempts are outstanding, and otherwise rejects the request, or fails it if a
    /// rejection is not safe. A rejected client that retries soon would meet the same overload and add to it, so it
    /// is asked to wait for up to the longest delay that clients honour.
    fn wait_or_reject(&mut self, now: Ns, request: &Request) -> RouteDecision {
        if outstanding(request) > 0 {
            return RouteDecision::Wait;
        }
        let effect = self.class(request).effect;
        let recognised_until = effects::recognised_until(effect, request);
        let time_to_retry = recognised_until.saturating_sub(now).saturating_sub(BASE_LATENCY);
        if !effects::allow_rejection(effect, request, time_to_retry) {
            return RouteDecision::Fail;
        }
        let jitter_factor = (1.0 - RETRY_AFTER_JITTER) + RETRY_AFTER_JITTER * self.rng.random::<f64>();
        let retry_after = if self.settings.may_send_retry_after {
            self.settings.max_retry_after as f64 * jitter_factor
        } else {
            0.0
        };
        RouteDecision::Reject { retry_after: time_to_retry.min(retry_after as Ns) }
    }

    /// Records a request that has just arrived.
    fn record_arrival(&mut self, now: Ns, request: &Request) {
        if request.size_kb > 0.0 {
            let transfer_time = self.predicted_transfer_time(request);
            self.transfer_times.record(request.class, transfer_time);
        }
        let log_value = self.log_value(request);
        self.priorities.record(log_value);
        self.history.record_request(request);
        self.slow_start.record_request(request.class);
        self.slow_start.earn(&self.settings, &mut self.endpoints, now);
        self.record_traffic(request);
    }

    /// Counts a request for burst detection. Of an object with several parts only the first part counts, and a
    /// client's retry does not count.
    fn record_traffic(&mut self, request: &Request) {
        let is_later_part = self.class(request).is_multipart && request.part > 0;
        if request.is_client_retry || is_later_part {
            return;
        }
        let weight = if request.size_kb > 0.0 { request.size_kb } else { 1.0 };
        let position = cache_position(request.object, request.part);
        let Some(primary) = self.endpoints.caches().primary(position) else { return };
        let endpoint = self.endpoints.get_mut(primary);
        let threshold = endpoint.as_ref().and_then(|endpoint| endpoint.traffic.burst_threshold());
        match self.bursts.record(request.object, weight, threshold) {
            BurstStatus::Begins { rate, threshold } => {
                let change = ModeChange::BurstBegins { object: request.object, rate, threshold };
                self.mode_changes.push(change);
            }
            BurstStatus::Continues => {}
            BurstStatus::Ordinary => {
                if let Some(endpoint) = endpoint {
                    endpoint.traffic.record(weight);
                }
            }
        }
    }

    /// Records an attempt that is about to be made.
    fn record_attempt(&mut self, now: Ns, request: &Request, spec: &AttemptSpec) {
        if let Some(endpoint) = self.endpoints.get_mut(spec.node) {
            endpoint.outstanding_direct += 1;
            endpoint.health.on_direct_attempt(now);
        }
        for node in self.involved_nodes(spec.node, spec.source) {
            if let Some(endpoint) = self.endpoints.get_mut(node) {
                endpoint.outstanding += 1;
                endpoint.credit.spend(request.class);
                endpoint.health.on_attempt(now);
            }
        }
    }

    /// The nodes that do work for an attempt: the node and, if the node is a cache, the source. A parent's fetches
    /// from its source are its own and are not counted.
    fn involved_nodes(&self, node: usize, source: Option<usize>) -> impl Iterator<Item = usize> + use<> {
        let is_cache = self.endpoints.role(node) == Some(EndpointRole::Cache);
        [Some(node), source.filter(|_| is_cache)].into_iter().flatten()
    }

    /// Closes the measurement windows that have ended. After a long time without requests, windows whose measurements
    /// would be forgotten anyway are skipped.
    fn close_windows(&mut self, now: Ns) {
        let ended = now.saturating_sub(self.window_ends_at) / WINDOW;
        self.window_ends_at += ended.saturating_sub(REMEMBERED_WINDOWS as Ns) * WINDOW;
        while now >= self.window_ends_at {
            self.window_ends_at += WINDOW;
            self.slow_start.close_window(&self.settings, &self.endpoints, now);
            self.endpoints.close_window();
            let objects = self.bursts.close_window();
            if objects > 0 {
                self.mode_changes.push(ModeChange::BurstsEnd { objects });
            }
        }
        self.history.advance(now);
    }
}

/// The number of attempts of a request that have no outcome yet.
fn outstanding(request: &Request) -> usize {
    request.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
}

/// Whether no attempt left this director, so that no node has seen the request.
fn is_never_sent(request: &Request) -> bool {
    request.attempts.iter().all(|attempt| attempt.outcome == Some(Outcome::NotSent))
}
