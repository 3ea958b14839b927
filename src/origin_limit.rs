//! The limit on the fetches that this director has outstanding at the origin. It grows by answers in time and backs off
//! when they fail or come late.
//!
//! Guards the origin against collapse while no parent can be named. Its cost: after trouble fetches come back slowly.

/// The first limit, before its division among directors: few, as nobody knows what the origin bears.
const INITIAL_LIMIT: f64 = 4.0;
/// The growth by an answer in time, divided likewise: slow, as the origin stands behind all locations.
const GROWTH: f64 = 0.2;
/// What a late answer leaves of the limit.
const LEFT_AFTER_LATE: f64 = 0.85;
/// What a failure leaves of it: less, as it says more.
const LEFT_AFTER_FAILURE: f64 = 0.7;
/// The least limit after a failure: the chance of one fetch at a time.
const MIN_LIMIT: f64 = 0.1;

/// The limit of one director.
#[derive(Clone, Debug)]
pub(crate) struct OriginLimit {
    limit: f64,
    growth: f64,
}

impl OriginLimit {
    /// `sharing` is the square root of the number of directors: the demand of one of them varies by that.
    pub(crate) fn new(sharing: f64) -> Self {
        OriginLimit { limit: INITIAL_LIMIT / sharing, growth: GROWTH / sharing }
    }

    /// Whether another fetch fits. The fraction of a limit is the chance of one more, which `dither`, from 0 up to 1,
    /// decides.
    pub(crate) fn admits(&self, outstanding: u32, dither: f64) -> bool {
        f64::from(outstanding) + dither < self.limit
    }

    /// An answer came within the latency objective.
    pub(crate) fn on_timely(&mut self) {
        self.limit += self.growth;
    }

    /// An answer came after it.
    pub(crate) fn on_late(&mut self) {
        self.limit *= LEFT_AFTER_LATE;
    }

    /// A fetch failed or was rejected.
    pub(crate) fn on_failure(&mut self) {
        self.limit = (self.limit * LEFT_AFTER_FAILURE).max(MIN_LIMIT);
    }
}
