//! Load shedding: limits the attempts that a node may have outstanding, and detects overload of the whole location.
//!
//! This protects against overload, slow nodes and caches whose share of the ring is too popular: a request without
//! room goes to a neighbour or is rejected early. The cost is that a limit that has shrunk takes many answers in time
//! to recover.

use crate::outlier_ejection::indicator;
use crate::transfer_time::BASE_LATENCY;
use crate::types::{LoadReport, Ns, SECOND};

/// The initial limit at a node, before it is divided by the square root of the number of directors: enough for
/// measurements, too few to overload a node.
const INITIAL_LIMIT: f64 = 16.0;
/// The minimum limit, before it is divided by the square root of the number of directors. A node has to get some
/// attempts to show that it has recovered.
const MIN_LIMIT: f64 = 2.0;
/// How much an answer in time raises a limit that is in use, before division by the square root of the number of
/// directors.
const LIMIT_GROWTH: f64 = 0.5;
/// The share of a limit that one late answer takes away if only one director sends to the node. Limits shrink
/// multiplicatively and grow additively, which divides a node fairly among directors.
const LIMIT_SHRINK_SHARE: f64 = 0.06;
/// A limit is in use if the outstanding attempts exceed this share of it. Below that, an answer in time does not show
/// that a higher limit would do.
const LIMIT_IN_USE_SHARE: f64 = 0.6;
/// The utilization from which a node or its link has no spare capacity. It is less than 1, because reports are noisy.
const BUSY_UTILIZATION: f64 = 0.95;
/// How long a load report is used. Load changes within seconds.
const LOAD_REPORT_LIFETIME: Ns = SECOND;
/// A quick rejection counts as this many late answers, because the node itself reports that it has too much load.
pub(crate) const REJECTION_SHRINK_STEPS: f64 = 2.0;

/// An answer is late if it takes longer than this multiple of the sum of its predicted transfer time and
/// [`LATE_BASE_LATENCIES`].
const LATE_MULTIPLE: f64 = 1.5;
/// The base latencies that are added to the predicted transfer time.
const LATE_BASE_LATENCIES: f64 = 2.0;

/// The share of its limit that a cache gives to requests outside its own share of the ring, so that its own requests
/// take precedence.
const SPILL_SHARE: f64 = 0.4;
/// The share of its limit that a cache gives to requests of its own share of the ring, at average priority. It is
/// slightly above 1, so that the limit is in use and can grow.
const PRIMARY_SHARE: f64 = 1.05;
/// How much that share grows per standard deviation of priority.
const PRIMARY_SHARE_SLOPE: f64 = 0.35;

/// The share of late attempts above which the location is overloaded. All nodes are then slow, and any further
/// transfer makes them slower.
const OVERLOAD_ENTER_SHARE: f64 = 0.18;
/// The share of late attempts below which the overload ends. It is lower than the share that begins it, so
/// that the mode does not flap.
const OVERLOAD_EXIT_SHARE: f64 = 0.13;
/// The weight of a long attempt in the share of late attempts, which therefore covers about twenty attempts.
const LATE_GAIN: f64 = 0.05;
/// An attempt whose transfer takes this multiple of the base latency has half that weight. A short attempt says
/// little about the links, because a fill may account for most of its time.
const HALF_WEIGHT_LATENCIES: f64 = 4.0;

/// The limit on the attempts that this director has outstanding at one node. It grows with answers in time and
/// shrinks with late ones.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// The square root of the number of directors that share the node. The demand of a single director varies by this
    /// factor.
    sharing_factor: f64,
    /// Until when a load report applies that showed spare capacity.
    has_headroom_until: Ns,
}

impl ConcurrencyLimit {
    /// Creates the initial limit of a node. `sharing_factor` is the square root of the number of directors that share
    /// the node.
    pub(crate) fn new(sharing_factor: f64) -> Self {
        ConcurrencyLimit { limit: INITIAL_LIMIT / sharing_factor, sharing_factor, has_headroom_until: 0 }
    }

    /// Whether another attempt fits into a share of the limit. `dither`, in [0, 1), rounds that share up with a
    /// probability equal to its fractional part.
    pub(crate) fn admits(&self, outstanding: u32, share: f64, dither: f64) -> bool {
        f64::from(outstanding) < (share * self.limit + dither).floor()
    }

    /// Records a load report of the node.
    pub(crate) fn record_load(&mut self, now: Ns, load: LoadReport) {
        let has_headroom = load.cpu_utilization.is_some_and(|cpu| cpu < BUSY_UTILIZATION)
            && load.link_utilization.is_none_or(|link| link < BUSY_UTILIZATION);
        self.has_headroom_until = if has_headroom { now + LOAD_REPORT_LIFETIME } else { 0 };
    }

    /// Records an answer in time. `outstanding` includes the attempt that was answered.
    pub(crate) fn on_timely(&mut self, outstanding: u32) {
        if f64::from(outstanding) > LIMIT_IN_USE_SHARE * self.limit {
            self.limit += LIMIT_GROWTH / self.sharing_factor;
        }
    }

    /// Records a late answer. The limit does not shrink if the node has spare capacity or had to fill its copy first,
    /// because the node is then not the cause.
    pub(crate) fn on_late(&mut self, now: Ns, was_filled: bool) {
        if !was_filled && now >= self.has_headroom_until {
            self.shrink(1.0);
        }
    }

    /// Shrinks the limit by this many steps, multiplied by `sharing_factor`.
    pub(crate) fn shrink(&mut self, steps: f64) {
        let remaining_share = (1.0 - LIMIT_SHRINK_SHARE).powf(steps * self.sharing_factor);
        self.limit = (self.limit * remaining_share).max(MIN_LIMIT / self.sharing_factor);
    }
}

/// The share of a node's limit that a request of this priority may use if the node is the owner of its position.
pub(crate) fn primary_share(priority: f64) -> f64 {
    (PRIMARY_SHARE + PRIMARY_SHARE_SLOPE * priority).clamp(SPILL_SHARE, 2.0 * PRIMARY_SHARE)
}

/// The share of a node's limit that a request may use if the node is not the owner of its position. During an
/// overload first attempts are not spilled, because each would be one more fill over the same links.
pub(crate) fn spill_share(is_first_attempt: bool, is_overloaded: bool) -> f64 {
    if is_first_attempt && is_overloaded { 0.0 } else { SPILL_SHARE }
}

/// A change between normal operation and overload of the location.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OverloadChange {
    pub(crate) is_overloaded: bool,
    pub(crate) late_share: f64,
}

/// Detects overload of the location by the share of recent attempts that were late, weighted by transfer time.
#[derive(Clone, Debug)]
pub(crate) struct OverloadDetector {
    late_share: f64,
    is_overloaded: bool,
}

impl OverloadDetector {
    /// Creates a detector for which a few late attempts suffice to detect an overload, because a director may start
    /// during one.
    pub(crate) fn new() -> Self {
        OverloadDetector { late_share: OVERLOAD_EXIT_SHARE, is_overloaded: false }
    }

    pub(crate) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Records an attempt with this predicted transfer time, in nanoseconds.
    pub(crate) fn record(&mut self, is_late: bool, transfer_time: f64) -> Option<OverloadChange> {
        let gain = LATE_GAIN * transfer_time / (transfer_time + HALF_WEIGHT_LATENCIES * BASE_LATENCY as f64);
        self.late_share += gain * (indicator(is_late) - self.late_share);
        let bound = if self.is_overloaded { OVERLOAD_EXIT_SHARE } else { OVERLOAD_ENTER_SHARE };
        let is_overloaded = self.late_share > bound;
        if is_overloaded == self.is_overloaded {
            return None;
        }
        self.is_overloaded = is_overloaded;
        Some(OverloadChange { is_overloaded, late_share: self.late_share })
    }
}

/// The time after which an answer with this predicted transfer time is late. Both are in nanoseconds.
pub(crate) fn late_after(transfer_time: f64) -> f64 {
    LATE_MULTIPLE * (transfer_time + LATE_BASE_LATENCIES * BASE_LATENCY as f64)
}
