//! Outlier ejection: the outcomes of real requests decide which nodes are ejected, and occasional trials restore
//! them. A trial is a request that is sent to an ejected node to check whether the node works again.
//!
//! This protects requests from nodes that fail fast, are dead, do not answer or are cut off. The cost is that with
//! two parents chance alone can eject one. A slow node is not ejected; its concurrency limit shrinks instead (see
//! `load_shedding`).

use crate::endpoint::EndpointRole;
use crate::types::{Ns, SECOND};

/// The weight of one outcome in the failure rate of a cache and in the fill failure rate of a source. A few failures
/// in a row eject a cache that has not failed recently, a single one does not.
pub(crate) const OUTCOME_WEIGHT: f64 = 0.12;
/// The weight of one outcome of an attempt sent directly to a parent or the origin. Few attempts are sent directly to
/// them, so each counts more.
const DIRECT_OUTCOME_WEIGHT: f64 = 0.35;
/// The failure rate above which a node is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// The time from an ejection to the first trial, and between checks of a suspected parent, which gets hardly any
/// other attempts directly.
const FIRST_TRIAL_INTERVAL: Ns = SECOND;
/// The maximum time between trials. Each failed trial makes the time half as long again, and the maximum ensures that
/// a node that works again is found within seconds.
const MAX_TRIAL_INTERVAL: Ns = 5 * SECOND;
/// The number of successive trials that have to succeed before a node is restored. A single success may be chance.
const TRIALS_TO_RESTORE: u32 = 3;
/// A failed connection counts as this many failures, because it is stronger evidence than a failed answer.
pub(crate) const CONNECT_FAILURE_COUNT: i32 = 2;
/// A timeout counts as this many failures if the node has answered nothing since the attempt was sent, because the
/// node is then likely dead and not slow.
pub(crate) const SILENT_TIMEOUT_COUNT: i32 = 3;
/// The fill failure rate above which a parent is suspected and checked by attempts sent directly to it, without a
/// fill. If the parent answers with a miss, it works, and the failures come from the origin behind it.
const SUSPECT_FILL_FAILURE_RATE: f64 = 0.25;
/// A node and its source are both blamed for a failure unless the failure rate of one is higher by at least this
/// much. A smaller difference may be chance.
const BLAME_MARGIN: f64 = 0.1;

/// The state of an ejected node, which gets only trials.
#[derive(Clone, Debug)]
struct Ejection {
    next_trial: Ns,
    trial_interval: Ns,
    /// The number of successive trials that succeeded.
    successes: u32,
}

/// A change of the health of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthChange {
    Ejected { failure_rate: f64 },
    Restored { failure_rate: f64 },
}

/// The health of one node, as the outcomes of attempts show it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointHealth {
    /// The share of recent attempts sent directly to the node that failed.
    pub(crate) failure_rate: f64,
    /// The share of recent attempts with the node as their source that failed.
    pub(crate) fill_failure_rate: f64,
    /// The shortest time after which an attempt sent directly to the node ended, whatever its outcome. A rejection that
    /// is about as quick comes from the node itself, a slower one from its source.
    fastest_outcome: Ns,
    /// When an attempt sent directly to the node last ended with any outcome but a timeout, a failed connection or a
    /// cancellation. All other outcomes count as answers.
    last_answer_at: Ns,
    /// When the node may next be checked without a fill, if it is suspected.
    next_check_at: Ns,
    ejection: Option<Ejection>,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        EndpointHealth {
            failure_rate: 0.0,
            fill_failure_rate: 0.0,
            fastest_outcome: Ns::MAX,
            last_answer_at: 0,
            next_check_at: 0,
            ejection: None,
        }
    }
}

impl EndpointHealth {
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether the next request may be sent to check the node: as a trial if the node is ejected, or as a request
    /// without a fill if the node is a suspected parent.
    pub(crate) fn is_trial_due(&self, now: Ns, role: EndpointRole) -> bool {
        match &self.ejection {
            Some(ejection) => now >= ejection.next_trial,
            None => {
                role == EndpointRole::Parent
                    && self.fill_failure_rate > SUSPECT_FILL_FAILURE_RATE
                    && now >= self.next_check_at
            }
        }
    }

    /// Records that an attempt is sent directly to the node.
    pub(crate) fn on_direct_attempt(&mut self, now: Ns) {
        self.next_check_at = now + FIRST_TRIAL_INTERVAL;
    }

    /// Records that an attempt is sent that involves the node. While the node is ejected, the attempt is a trial.
    pub(crate) fn on_attempt(&mut self, now: Ns) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_trial = now + ejection.trial_interval;
        }
    }

    /// Records how long an attempt sent directly to the node took and whether the node answered it.
    pub(crate) fn record_timing(&mut self, now: Ns, elapsed: Ns, answered: bool) {
        self.fastest_outcome = self.fastest_outcome.min(elapsed);
        if answered {
            self.last_answer_at = now;
        }
    }

    /// Whether a rejection that took this long came from the node itself and not from its source: it took at most
    /// twice the node's shortest time plus one tick.
    pub(crate) fn is_own_rejection(&self, elapsed: Ns, tick: Ns) -> bool {
        elapsed <= 2 * self.fastest_outcome + tick
    }

    /// Whether the node has answered any attempt from this time on.
    pub(crate) fn has_answered_since(&self, time: Ns) -> bool {
        self.last_answer_at >= time
    }

    /// Records the outcome of a fill from the node. Failures only make the node suspected, as the origin may be to
    /// blame.
    pub(crate) fn record_fill(&mut self, failed: bool, weight: f64) {
        self.fill_failure_rate += weight * (indicator(failed) - self.fill_failure_rate);
    }

    /// Records the outcome of an attempt sent directly to the node. It counts as `count` outcomes.
    pub(crate) fn record_direct(
        &mut self,
        now: Ns,
        role: EndpointRole,
        failed: bool,
        count: i32,
    ) -> Option<HealthChange> {
        let weight = if role == EndpointRole::Cache { OUTCOME_WEIGHT } else { DIRECT_OUTCOME_WEIGHT };
        let weight = 1.0 - (1.0 - weight).powi(count);
        self.failure_rate += weight * (indicator(failed) - self.failure_rate);
        match (&mut self.ejection, failed) {
            (Some(ejection), true) => {
                ejection.on_trial_failure(now);
                None
            }
            (Some(ejection), false) => {
                let restored = ejection.on_trial_success(now);
                restored.then(|| self.restore())
            }
            (None, true) => self.eject_if_failing(now, role),
            (None, false) => None,
        }
    }

    /// Ejects the node if its failure rate has become too high.
    fn eject_if_failing(&mut self, now: Ns, role: EndpointRole) -> Option<HealthChange> {
        // The origin is never ejected, because no other node can replace it.
        if role == EndpointRole::Origin || self.failure_rate <= EJECTION_FAILURE_RATE {
            return None;
        }
        self.ejection = Some(Ejection {
            next_trial: now + FIRST_TRIAL_INTERVAL,
            trial_interval: FIRST_TRIAL_INTERVAL,
            successes: 0,
        });
        Some(HealthChange::Ejected { failure_rate: self.failure_rate })
    }

    /// Restores the node and resets its failure rates.
    fn restore(&mut self) -> HealthChange {
        let failure_rate = self.failure_rate;
        self.ejection = None;
        self.failure_rate = 0.0;
        self.fill_failure_rate = 0.0;
        HealthChange::Restored { failure_rate }
    }
}

impl Ejection {
    /// Starts the series of trials again, with a longer time between them.
    fn on_trial_failure(&mut self, now: Ns) {
        self.successes = 0;
        self.trial_interval = (self.trial_interval * 3 / 2).min(MAX_TRIAL_INTERVAL);
        self.next_trial = now + self.trial_interval;
    }

    /// Returns whether enough trials have succeeded. If not, the next one is due immediately.
    fn on_trial_success(&mut self, now: Ns) -> bool {
        if self.successes + 1 >= TRIALS_TO_RESTORE {
            return true;
        }
        self.successes += 1;
        self.next_trial = now;
        false
    }
}

/// Whether a failed attempt is attributed to its node, its source or both, by the failure rates of both before this
/// failure is recorded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Blame {
    pub(crate) node: bool,
    pub(crate) source: bool,
}

impl Blame {
    /// Blames whichever of node and source also fails in other attempts, or both if their failure rates are close.
    pub(crate) fn assign(node_failure_rate: f64, source_failure_rate: f64) -> Blame {
        Blame {
            node: node_failure_rate > source_failure_rate - BLAME_MARGIN,
            source: source_failure_rate > node_failure_rate - BLAME_MARGIN,
        }
    }
}

/// 1 for true, 0 for false.
pub(crate) fn indicator(value: bool) -> f64 {
    f64::from(u8::from(value))
}
