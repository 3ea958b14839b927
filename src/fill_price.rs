//! The price of a fill: a busy parent fills only requests of sufficient priority, and some fills go to a parent with
//! a lower price.
//!
//! Prices have the unit of priority: standard deviations of the value of requests per unit of time. A request whose
//! priority is below the price of its parent is sent without a source, so that only an existing copy can answer it.

use crate::types::Outcome;

/// The minimum price, far below the priority of nearly all requests, so that all are filled.
const MIN_PRICE: f64 = -3.0;
/// The maximum price, so that requests well above average priority are filled however busy a parent is.
const MAX_PRICE: f64 = 0.5;
/// How much an answer past the latency objective, a timeout or a rejection raises a parent's price, multiplied by the
/// cube root of the number of directors: each of many directors sees only few outcomes of a parent.
const PRICE_RISE: f64 = 0.24;
/// How much an answer within the objective lowers the price, multiplied by the same cube root. It is far less than
/// the rise, because most outcomes of a parent at its capacity have to be in time.
const PRICE_FALL: f64 = 0.05;
/// The share of each step by which the prices of all other parents move, because they share the origin and the links.
const OTHER_PARENTS_SHARE: f64 = 0.2;
/// The share of answers that count as fills where caches do not report hits and fills.
const ASSUMED_FILL_SHARE: f64 = 0.35;
/// How much a price falls per window, so that a parent without fills is tried again.
const DECAY: f64 = 0.2;
/// The weight of the latest window in the smoothed price. Parents are compared by smoothed prices, so that a single
/// outcome moves no fills.
const SMOOTHING: f64 = 0.8;

/// The number of parents, including the primary one, that are examined for a lower price. This bounds the work of a
/// decision.
pub(crate) const MAX_OFFLOAD_CANDIDATES: usize = 16;
/// How far the smoothed price of another parent has to be below that of the primary one. The other parent has to
/// fetch what the primary one may already have, so small differences are not worth it.
const MIN_PRICE_GAP: f64 = 0.4;
/// How much an offloaded fill in time raises the offloaded share.
const OFFLOAD_GROWTH: f64 = 0.05;
/// How much an offloaded fill that is late, times out or is rejected lowers it. This is more than the growth, so that
/// other parents do not become busy too.
const OFFLOAD_SHRINK: f64 = 0.1;
/// The minimum offloaded share. Some fills have to show whether the other parents have room again.
const MIN_OFFLOADED_SHARE: f64 = 0.05;

/// The price of a fill from one parent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillPrice {
    /// The price now.
    current: f64,
    /// The price, smoothed over the last windows.
    smoothed: f64,
}

impl Default for FillPrice {
    fn default() -> Self {
        FillPrice { current: MIN_PRICE, smoothed: MIN_PRICE }
    }
}

impl FillPrice {
    /// Whether the price is too high for a request of this priority.
    pub(crate) fn is_above(self, priority: f64) -> bool {
        priority < self.current
    }

    /// Whether the smoothed price is lower than that of another parent by a large margin.
    pub(crate) fn is_far_below(self, other: FillPrice) -> bool {
        self.smoothed + MIN_PRICE_GAP < other.smoothed
    }

    /// Adjusts the price by the outcome of a fill from this parent, or from another parent if `is_own` is false.
    pub(crate) fn adjust(&mut self, step: f64, is_own: bool) {
        let share = if is_own { 1.0 } else { OTHER_PARENTS_SHARE };
        self.current = (self.current + share * step).clamp(MIN_PRICE, MAX_PRICE);
    }

    /// Updates the smoothed price and lets the price decay.
    pub(crate) fn close_window(&mut self) {
        self.smoothed += SMOOTHING * (self.current - self.smoothed);
        self.current = (self.current - DECAY).max(MIN_PRICE);
    }
}

/// The step by which an outcome moves the price of its source, before it is multiplied by the cube root of the number
/// of directors.
pub(crate) fn price_step(outcome: Outcome, is_timely: bool, is_cache_hit: Option<bool>) -> f64 {
    match outcome {
        Outcome::Success if is_cache_hit == Some(true) => 0.0,
        Outcome::Success if is_timely => {
            -PRICE_FALL * if is_cache_hit.is_none() { ASSUMED_FILL_SHARE } else { 1.0 }
        }
        Outcome::Success | Outcome::TimedOut | Outcome::Overloaded => PRICE_RISE,
        _ => 0.0,
    }
}

/// The share of the fills that go to a cheaper parent, among those for which there is one. This helps where a
/// parent's share of the ring is popular, or a parent is slow, while others are idle. The cost is that the other
/// parent fetches what the primary one already has, so the share shrinks while offloaded fills are late.
#[derive(Clone, Debug)]
pub(crate) struct FillOffload {
    /// The share, from [`MIN_OFFLOADED_SHARE`] to 1.
    offloaded_share: f64,
}

impl FillOffload {
    pub(crate) fn new() -> Self {
        FillOffload { offloaded_share: 1.0 }
    }

    /// Whether a fill may be offloaded. `dither`, in [0, 1), admits the offloaded share of the fills.
    pub(crate) fn admits(&self, dither: f64) -> bool {
        dither < self.offloaded_share
    }

    /// Records an offloaded fill by the price step of its outcome.
    pub(crate) fn record(&mut self, price_step: f64) {
        let change = if price_step < 0.0 { OFFLOAD_GROWTH } else { -OFFLOAD_SHRINK };
        self.offloaded_share = (self.offloaded_share + change).clamp(MIN_OFFLOADED_SHARE, 1.0);
    }
}
