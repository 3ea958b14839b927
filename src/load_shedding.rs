//! Load shedding: how many attempts a node may have outstanding, and whether the whole location is overloaded.
//!
//! Guards against overload, slow nodes and caches whose share of the ring is too popular: what finds no room goes to a
//! neighbour or is rejected early. Its cost: recovery takes as many good answers as the limit has moved.

use crate::outlier_ejection::indicator;
use crate::transfer_time::BASE_LATENCY;
use crate::types::{LoadReport, Ns, SECOND};

/// The first limit at a node, before its division among directors: enough to learn from, too few to overload one.
const INITIAL_LIMIT: f64 = 16.0;
/// The least limit: a node has to get something to show that it has recovered.
const MIN_LIMIT: f64 = 2.0;
/// The growth of a limit by an answer in time while the limit is in use. Slower growth (0.3) made no difference.
const LIMIT_GROWTH: f64 = 0.5;
/// The part of a limit that one late answer takes away: limits fall by parts and grow by steps, which divides a node
/// fairly among directors.
const LIMIT_SHRINK: f64 = 0.06;
/// A limit is in use from this part of it on; otherwise an answer in time says nothing of how much more would do.
const LIMIT_IN_USE: f64 = 0.6;
/// The utilization from which a node or its link has no room to spare; reports are noisy, so less than 1.
const BUSY_UTILIZATION: f64 = 0.95;
/// How long a load report is believed: load changes within seconds.
const LOAD_REPORT_LIFETIME: Ns = SECOND;
/// How many late answers a quick rejection is worth: the node said itself that it was too much.
pub(crate) const REJECTION_SHRINK_STEPS: f64 = 2.0;

/// An answer is late if it takes longer than this multiple of what is predicted: its transfer time...
const LATE_MULTIPLE: f64 = 1.5;
/// ...and so many base latencies.
const LATE_LATENCIES: f64 = 2.0;

/// The part of its limit that a cache gives to requests of others' share of the ring: its own go first.
const SPILL_SHARE: f64 = 0.4;
/// The part of its limit that a cache gives to requests of its own share of the ring, at average priority: a little over
/// the limit, so that it is in use and can grow.
const PRIMARY_SHARE: f64 = 1.05;
/// By how much that part grows with each standard deviation of priority. A steeper slope lost where it
/// was tried (`docs/design.md`).
const PRIMARY_SHARE_SLOPE: f64 = 0.35;

/// The share of late attempts above which the location is overloaded: then all are slow, and any further transfer makes
/// them slower.
const OVERLOAD_ENTER_SHARE: f64 = 0.18;
/// The share below which it no longer is; lower, so that the mode does not flap.
const OVERLOAD_EXIT_SHARE: f64 = 0.13;
/// The weight of a long attempt in that share, which so follows some twenty attempts.
const LATE_GAIN: f64 = 0.05;
/// An attempt has half that weight if its transfer takes this multiple of the base latency. A short one says little about
/// the links: most of its time may be that of a fill.
const LATE_HALF_WEIGHT: f64 = 4.0;

/// The limit on the attempts that this director has outstanding at one node: it grows by answers in time and shrinks by
/// late ones.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Square root of the number of directors that share the node: the demand of one of them varies by that.
    sharing: f64,
    /// Until when a load report holds that showed room to spare.
    has_headroom_until: Ns,
}

impl ConcurrencyLimit {
    /// The first limit of a node. `sharing` is the square root of the number of directors that share it.
    pub(crate) fn new(sharing: f64) -> Self {
        ConcurrencyLimit { limit: INITIAL_LIMIT / sharing, sharing, has_headroom_until: 0 }
    }

    /// Whether another attempt fits into a share of the limit. The fraction of a limit is the chance of one more, which
    /// `dither`, from 0 up to 1, decides.
    pub(crate) fn admits(&self, outstanding: u32, share: f64, dither: f64) -> bool {
        f64::from(outstanding) < (share * self.limit + dither).floor()
    }

    /// Takes a load report of the node.
    pub(crate) fn record_load(&mut self, now: Ns, load: LoadReport) {
        let has_headroom = load.cpu_utilization.is_some_and(|cpu| cpu < BUSY_UTILIZATION)
            && load.link_utilization.is_none_or(|link| link < BUSY_UTILIZATION);
        self.has_headroom_until = if has_headroom { now + LOAD_REPORT_LIFETIME } else { 0 };
    }

    /// An answer in time, with so many attempts outstanding, itself among them.
    pub(crate) fn on_timely(&mut self, outstanding: u32) {
        if f64::from(outstanding) > LIMIT_IN_USE * self.limit {
            self.limit += LIMIT_GROWTH / self.sharing;
        }
    }

    /// A late answer. A node with room to spare, or one that had to fill its copy first, is not to blame for it.
    pub(crate) fn on_late(&mut self, now: Ns, was_filled: bool) {
        if !was_filled && now >= self.has_headroom_until {
            self.shrink(1.0);
        }
    }

    /// Shrinks the limit by so many steps, for each of the directors that share the node.
    pub(crate) fn shrink(&mut self, steps: f64) {
        let left = (1.0 - LIMIT_SHRINK).powf(steps * self.sharing);
        self.limit = (self.limit * left).max(MIN_LIMIT / self.sharing);
    }
}

/// The share of a node's limit that a request of this priority may use at the owner of its position.
pub(crate) fn primary_share(priority: f64) -> f64 {
    (PRIMARY_SHARE + PRIMARY_SHARE_SLOPE * priority).clamp(SPILL_SHARE, 2.0 * PRIMARY_SHARE)
}

/// The share of a node's limit that requests may use elsewhere. In an overload each spilt request would be one more fill
/// over the same links, so that nothing is spilt by first attempts.
pub(crate) fn spill_share(is_first_attempt: bool, is_overloaded: bool) -> f64 {
    if is_first_attempt && is_overloaded { 0.0 } else { SPILL_SHARE }
}

/// A change between normal operation and overload of the location.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OverloadChange {
    pub(crate) is_overloaded: bool,
    pub(crate) late_share: f64,
}

/// Whether the location is overloaded, by the share of recent attempts, weighed by transfer time, that were late.
#[derive(Clone, Debug)]
pub(crate) struct OverloadDetector {
    late_share: f64,
    is_overloaded: bool,
}

impl OverloadDetector {
    /// A director may start amid an overload, so that it has to see some attempts in time first.
    pub(crate) fn new() -> Self {
        OverloadDetector { late_share: OVERLOAD_EXIT_SHARE, is_overloaded: false }
    }

    pub(crate) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Counts an attempt with this predicted transfer time, in nanoseconds.
    pub(crate) fn record(&mut self, is_late: bool, transfer_time: f64) -> Option<OverloadChange> {
        let gain = LATE_GAIN * transfer_time / (transfer_time + LATE_HALF_WEIGHT * BASE_LATENCY as f64);
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

/// The time from which an answer with this predicted transfer time is late, in nanoseconds.
pub(crate) fn late_after(transfer_time: f64) -> f64 {
    LATE_MULTIPLE * (transfer_time + LATE_LATENCIES * BASE_LATENCY as f64)
}
