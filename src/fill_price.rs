//! The price of a fill: a busy parent fills only what is worth it, and some fills go to a cheaper neighbour.
//!
//! Prices are in the units of priority: standard deviations of what requests are worth for their time. A request below
//! the price of its parent is sent without a source, so that it is served only from a copy.

use crate::types::Outcome;

/// The least price, far below what nearly all requests are worth: all are filled.
const MIN_PRICE: f64 = -3.0;
/// The greatest price, so that what is worth well more than the average is filled however busy a parent is.
const MAX_PRICE: f64 = 0.5;
/// By how much an outcome past the latency objective makes a parent dearer, times the cube root of the number of
/// directors: of many, each sees little of a parent.
const PRICE_RISE: f64 = 0.24;
/// By how much an outcome within the objective makes it cheaper, times the same. Far less than the rise: most outcomes of
/// a parent at its capacity have to be in time.
const PRICE_FALL: f64 = 0.05;
/// The part of each step by which the prices of all other parents move: they share the origin and the links.
const OTHER_PARENTS_PART: f64 = 0.2;
/// The part of answers, where caches do not tell hits from fills, that are taken for fills.
const ASSUMED_FILL_PART: f64 = 0.35;
/// By how much a price falls with each window, so that a parent without fills is tried again.
const DECAY: f64 = 0.2;
/// The weight of the newest window in the smoothed price, by which parents are compared: a single outcome moves nothing.
const SMOOTHING: f64 = 0.8;

/// How many parents are looked at for one that is cheaper, the primary one included; this bounds the work of a decision.
pub(crate) const OFFLOAD_CANDIDATES: usize = 16;
/// By how much the smoothed price of another parent has to lie below that of the primary one: it has to fetch what the
/// primary one may hold, so that small differences are not worth it.
const MIN_PRICE_GAP: f64 = 0.4;
/// The growth of the offloaded part by an offloaded fill in time.
const OFFLOAD_GROWTH: f64 = 0.05;
/// What one that was late or failed takes away: more, so that others are not made busy too.
const OFFLOAD_SHRINK: f64 = 0.1;
/// The least offloaded part: some fills have to show whether the others have room again.
const MIN_OFFLOADED_PART: f64 = 0.05;

/// The price of a fill from one parent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillPrice {
    /// The price now.
    current: f64,
    /// The price over the last windows.
    smoothed: f64,
}

impl Default for FillPrice {
    fn default() -> Self {
        FillPrice { current: MIN_PRICE, smoothed: MIN_PRICE }
    }
}

impl FillPrice {
    /// Whether a request of this priority is not worth a fill.
    pub(crate) fn is_above(self, priority: f64) -> bool {
        priority < self.current
    }

    /// Whether this parent has been cheaper than another by far, and for some time.
    pub(crate) fn is_far_below(self, other: FillPrice) -> bool {
        self.smoothed + MIN_PRICE_GAP < other.smoothed
    }

    /// Moves the price by an outcome of a fill from this parent, or from another one.
    pub(crate) fn adjust(&mut self, step: f64, is_own: bool) {
        let part = if is_own { 1.0 } else { OTHER_PARENTS_PART };
        self.current = (self.current + part * step).clamp(MIN_PRICE, MAX_PRICE);
    }

    /// Takes the price into the smoothed one and lets it decay.
    pub(crate) fn close_window(&mut self) {
        self.smoothed += SMOOTHING * (self.current - self.smoothed);
        self.current = (self.current - DECAY).max(MIN_PRICE);
    }
}

/// The step by which an outcome moves the price of its source, before it is scaled by the number of directors.
pub(crate) fn price_step(outcome: Outcome, is_timely: bool, is_cache_hit: Option<bool>) -> f64 {
    match outcome {
        Outcome::Success if is_cache_hit == Some(true) => 0.0,
        Outcome::Success if is_timely => {
            -PRICE_FALL * if is_cache_hit.is_none() { ASSUMED_FILL_PART } else { 1.0 }
        }
        Outcome::Success | Outcome::TimedOut | Outcome::Overloaded => PRICE_RISE,
        _ => 0.0,
    }
}

/// Which part of the fills that a cheaper parent could take goes there. Guards against shares of the ring that are
/// popular, or whose parent is slow, while others idle. Its cost: the other parent fetches what the primary one holds,
/// so that the part shrinks while such fills come late.
#[derive(Clone, Debug)]
pub(crate) struct FillOffload {
    /// From [`MIN_OFFLOADED_PART`] to 1.
    part: f64,
}

impl FillOffload {
    pub(crate) fn new() -> Self {
        FillOffload { part: 1.0 }
    }

    /// Whether a fill may be offloaded; `dither`, from 0 up to 1, decides by the part.
    pub(crate) fn admits(&self, dither: f64) -> bool {
        dither < self.part
    }

    /// Counts an offloaded fill by the step of its price.
    pub(crate) fn record(&mut self, price_step: f64) {
        let change = if price_step < 0.0 { OFFLOAD_GROWTH } else { -OFFLOAD_SHRINK };
        self.part = (self.part + change).clamp(MIN_OFFLOADED_PART, 1.0);
    }
}
