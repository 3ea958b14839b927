//! The invariants that a soak checks, and their bounds.

use std::fmt;

use super::Seconds;
use super::evidence::Evidence;

/// How much more time than is left a node may be told to wait.
pub(crate) const WAIT_TOLERANCE_SECONDS: f64 = 0.15;
/// How long after its client has gone an attempt may still begin.
pub(crate) const CLIENT_GONE_TOLERANCE_SECONDS: f64 = 0.1;
/// What is added to every bound for this program's own threads, which may be late as well.
pub(crate) const OBSERVER_TOLERANCE_SECONDS: f64 = 0.1;
/// How much longer each bound of the protocol is on sockets.
pub(crate) const SEND_TOLERANCE_SECONDS: f64 = 0.05;
/// The longest time that clients give a request.
pub(crate) const MAX_BUDGET_SECONDS: f64 = 2.0;
/// A request without an answer so long after its time is lost. (An answer after its time earns nothing.)
pub(crate) const LOST_AFTER_SECONDS: f64 = 0.5;
/// How long after a node drains attempts may still come to it.
pub(crate) const DRAIN_GRACE_SECONDS: f64 = 2.0;
/// How long after a purge older copies may still be served.
pub(crate) const PURGE_GRACE_SECONDS: f64 = 1.0;
/// How long nodes recognize a repeat of a deduplicated request.
pub(crate) const DEDUPLICATION_WINDOW_SECONDS: f64 = 1.5;
/// Slow start: the share of its capacity that a cold node bears at first.
pub(crate) const SLOW_START_INITIAL_SHARE: f64 = 0.25;
/// Slow start: the time after which a node bears all of its capacity.
pub(crate) const SLOW_START_SECONDS: f64 = 6.0;
/// Slow start: the multiple of what it bears at which a cold node collapses.
pub(crate) const COLLAPSE_MULTIPLE: f64 = 2.0;

/// A rule of which a violation is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request has no final answer.
    Lost,
    /// An answer to nothing that was asked, or a second answer.
    Stray,
    /// Bytes that no node made for this request.
    WrongBytes,
    /// An effect ran twice.
    EffectTwice,
    /// An attempt after its client had closed or cancelled.
    ClientGone,
    /// A node was told a longer wait than the client had left.
    WaitTooLong,
    /// An attempt at a node that drains or has gone, or with such a node as its source.
    Drained,
    /// A copy from before a purge.
    Purged,
    /// More calls to a cold node than slow start allows.
    SlowStart,
    /// An attempt for a request that no client sent.
    Unknown,
    /// A director exited by itself, or did not exit when it was asked to.
    Crash,
    /// A director counted a violation itself, or panicked.
    Inside,
}

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was noticed, in seconds since the soak began.
    pub at: Seconds,
    /// What it rests on.
    pub evidence: Evidence,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7.3} s {:?}: {}", self.at, self.rule, self.detail)
    }
}

/// What may happen if a request is executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Nothing.
    Idempotent,
    /// Nodes recognize a repeat within the deduplication window.
    Deduplicated,
    /// It must not be.
    AtMostOnce,
}

impl Effect {
    /// Whether an attempt so many seconds after another, which may have run, could run the effect once more.
    pub(crate) fn is_repeated(self, seconds_apart: f64) -> bool {
        match self {
            Effect::Idempotent => false,
            Effect::Deduplicated => seconds_apart > DEDUPLICATION_WINDOW_SECONDS + SEND_TOLERANCE_SECONDS,
            Effect::AtMostOnce => true,
        }
    }
}

/// The request classes of a soak, as clients name them.
pub(crate) const CLASSES: [(&str, Effect); 3] =
    [("read", Effect::Idempotent), ("order", Effect::Deduplicated), ("charge", Effect::AtMostOnce)];
