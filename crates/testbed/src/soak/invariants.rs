//! The invariants that a soak checks, and their bounds.

use std::fmt;

use super::Seconds;
use super::evidence::Evidence;

/// How far the wait that a node is given may exceed the time that the client has left.
pub(crate) const WAIT_TOLERANCE_SECONDS: f64 = 0.15;
/// How long an attempt may still begin after the client has disconnected or cancelled the request.
pub(crate) const CLIENT_GONE_TOLERANCE_SECONDS: f64 = 0.1;
/// Added to bounds on times that threads of the soak take, because these threads may also run late.
pub(crate) const OBSERVER_TOLERANCE_SECONDS: f64 = 0.1;
/// Added to the deduplication window where the send times of two attempts are compared.
pub(crate) const SEND_TOLERANCE_SECONDS: f64 = 0.05;
/// The longest time budget that clients give a request.
pub(crate) const MAX_BUDGET_SECONDS: f64 = 2.0;
/// A request counts as lost if it has no answer this long after the end of its budget. An answer that arrives in between
/// is of no value to the client, but is no violation.
pub(crate) const LOST_AFTER_SECONDS: f64 = 0.5;
/// How long attempts may still reach a node after their director was notified that it drains.
pub(crate) const DRAIN_GRACE_SECONDS: f64 = 2.0;
/// How long older copies may still be served after the director was notified of a purge.
pub(crate) const PURGE_GRACE_SECONDS: f64 = 1.0;
/// How long nodes recognize a repeated attempt of a deduplicated request.
pub(crate) const DEDUPLICATION_WINDOW_SECONDS: f64 = 1.5;
/// Slow start: the share of its capacity that a cold node has at first.
pub(crate) const SLOW_START_INITIAL_SHARE: f64 = 0.25;
/// Slow start: the time after which a node has its whole capacity.
pub(crate) const SLOW_START_SECONDS: f64 = 6.0;
/// Slow start: a cold node collapses when its load is this multiple of its capacity at that time.
pub(crate) const COLLAPSE_MULTIPLE: f64 = 2.0;

/// A rule that the soak checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request got no final answer.
    Lost,
    /// An answer matches no request that was sent, or is the second answer to one.
    Stray,
    /// The body of an answer is not the requested object.
    WrongBytes,
    /// The effect of a request ran twice, or an attempt was sent that could run it again.
    EffectTwice,
    /// An attempt began after its client had disconnected or cancelled.
    ClientGone,
    /// A node was given a longer wait than the client had left.
    WaitTooLong,
    /// An attempt was sent to a draining or removed node, or names such a node as its source.
    Drained,
    /// A copy from before a purge was served.
    Purged,
    /// A cold node collapsed because it got more calls than slow start allows, over two thirds of them from directors
    /// that had been sent its start.
    SlowStart,
    /// A node received an attempt for a request that no client sent, or a client thread of the soak panicked.
    Unknown,
    /// A director exited by itself or with an error, did not start, or did not exit when it was asked to; or a fault
    /// could not be injected.
    Crash,
    /// A director logged a violation or a panic.
    Inside,
}

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was noticed, in seconds since the soak began.
    pub at: Seconds,
    /// The evidence that shows it.
    pub evidence: Evidence,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7.3} s {:?}: {}", self.at, self.rule, self.detail)
    }
}

/// What a second execution of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// It has no further effect.
    Idempotent,
    /// Nodes recognize a repeat and do not execute it within the deduplication window.
    Deduplicated,
    /// It must not happen.
    AtMostOnce,
}

impl Effect {
    /// Whether an attempt could run the effect again if it is sent this many seconds after another one that may have
    /// been executed.
    pub(crate) fn is_repeated(self, seconds_apart: f64) -> bool {
        match self {
            Effect::Idempotent => false,
            Effect::Deduplicated => seconds_apart > DEDUPLICATION_WINDOW_SECONDS + SEND_TOLERANCE_SECONDS,
            Effect::AtMostOnce => true,
        }
    }
}

/// The request classes of a soak: the name that clients send, and the effect.
pub(crate) const CLASSES: [(&str, Effect); 3] =
    [("read", Effect::Idempotent), ("order", Effect::Deduplicated), ("charge", Effect::AtMostOnce)];
