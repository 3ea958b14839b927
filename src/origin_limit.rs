//! The limit on the fetches that this director has outstanding at the origin. It grows with answers in time and
//! shrinks when fetches fail or are late.
//!
//! This protects the origin from collapsing while no parent is available. The cost is that the number of fetches
//! recovers slowly after failures.

/// The initial limit, before it is divided by the square root of the number of directors. It is low, because the
/// capacity of the origin is unknown.
const INITIAL_LIMIT: f64 = 4.0;
/// The growth per answer in time, before it is divided by the square root of the number of directors. It is slow,
/// because all locations share the origin.
const GROWTH: f64 = 0.2;
/// A late answer multiplies the limit by this.
const LATE_DECREASE_FACTOR: f64 = 0.85;
/// A failure multiplies the limit by this, which is a larger decrease, because a failure is stronger evidence than a
/// late answer.
const FAILURE_DECREASE_FACTOR: f64 = 0.7;
/// The minimum limit after a failure. While no fetch is outstanding, the next one is admitted with this probability.
const MIN_LIMIT: f64 = 0.1;

/// The origin limit of one director.
#[derive(Clone, Debug)]
pub(crate) struct OriginLimit {
    limit: f64,
    growth: f64,
}

impl OriginLimit {
    /// `sharing_factor` is the square root of the number of directors. The demand of a single director varies by it.
    pub(crate) fn new(sharing_factor: f64) -> Self {
        OriginLimit { limit: INITIAL_LIMIT / sharing_factor, growth: GROWTH / sharing_factor }
    }

    /// Whether another fetch is admitted. `dither`, in [0, 1), admits one more fetch with a probability equal to the
    /// fractional part of the limit.
    pub(crate) fn admits(&self, outstanding: u32, dither: f64) -> bool {
        f64::from(outstanding) + dither < self.limit
    }

    /// Records an answer within the latency objective.
    pub(crate) fn on_timely(&mut self) {
        self.limit += self.growth;
    }

    /// Records an answer after the latency objective.
    pub(crate) fn on_late(&mut self) {
        self.limit *= LATE_DECREASE_FACTOR;
    }

    /// Records a fetch that failed or was rejected.
    pub(crate) fn on_failure(&mut self) {
        self.limit = (self.limit * FAILURE_DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
