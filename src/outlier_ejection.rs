//! Outlier ejection: the outcomes of real traffic decide which nodes are ejected, and occasional trials bring them back.
//!
//! Guards against nodes that fail fast, are dead, silent or cut off. Its cost: with two parents chance alone can eject
//! one. Slowness ejects no node; its concurrency limit shrinks instead (see `load_shedding`).

use crate::endpoint::EndpointRole;
use crate::types::{Ns, SECOND};

/// The weight of one outcome in the failure rate of a cache, and in the fill failure rate of a source: some failures in a
/// row eject a node, a single one never does.
pub(crate) const OUTCOME_WEIGHT: f64 = 0.12;
/// The weight of one outcome of an attempt straight at a parent or the origin. Only few go there, so each counts more.
const DIRECT_OUTCOME_WEIGHT: f64 = 0.35;
/// The failure rate above which a node is ejected. Half made no difference.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// The time from an ejection to the first trial, and between checks of a suspected parent: near nothing else goes there.
const FIRST_TRIAL_INTERVAL: Ns = SECOND;
/// Each failed trial makes the interval longer by half, up to this, so that a node that works again is found in seconds.
const MAX_TRIAL_INTERVAL: Ns = 5 * SECOND;
/// How many trials in a row have to succeed before a node is restored; one may be luck.
const TRIALS_TO_RESTORE: u32 = 3;
/// A connection that cannot be made says more than a failed answer, and counts as so many.
pub(crate) const CONNECT_FAILURE_COUNT: i32 = 2;
/// A timeout of a node that has not answered anything since the attempt was sent counts as so many failures: it is likely
/// dead, not slow.
pub(crate) const SILENT_TIMEOUT_COUNT: i32 = 3;
/// The fill failure rate above which a parent is checked by requests straight at it, without a fill: a miss proves that
/// it lives, and that its failures are those of the origin behind it.
const SUSPECT_FILL_FAILURE_RATE: f64 = 0.25;
/// A node and the source behind it are both blamed for a failure unless one fails more often by this much; less may be
/// chance.
const BLAME_MARGIN: f64 = 0.1;

/// A node that gets nothing but trials.
#[derive(Clone, Debug)]
struct Ejection {
    next_trial: Ns,
    trial_interval: Ns,
    /// Trials in a row that succeeded.
    successes: u32,
}

/// What an outcome changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthChange {
    Ejected { failure_rate: f64 },
    Restored { failure_rate: f64 },
}

/// What the outcomes of attempts say about the health of one node.
#[derive(Clone, Debug)]
pub(crate) struct EndpointHealth {
    /// The share of recent attempts straight at it that failed.
    pub(crate) failure_rate: f64,
    /// The share of recent attempts that failed with it as their source.
    pub(crate) fill_failure_rate: f64,
    /// The shortest time in which it gave any outcome. A rejection about as quick is its own; a slower one came from
    /// its source.
    fastest_outcome: Ns,
    /// When it last answered anything.
    last_answer_at: Ns,
    /// When it is next checked without a fill, if it is suspected.
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

    /// Whether the next request may try whether the node works.
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

    /// An attempt is sent straight to the node.
    pub(crate) fn on_direct_attempt(&mut self, now: Ns) {
        self.next_check_at = now + FIRST_TRIAL_INTERVAL;
    }

    /// An attempt is sent that involves the node; while it is ejected that is a trial.
    pub(crate) fn on_attempt(&mut self, now: Ns) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_trial = now + ejection.trial_interval;
        }
    }

    /// An attempt straight at the node ended.
    pub(crate) fn record_timing(&mut self, now: Ns, elapsed: Ns, answered: bool) {
        self.fastest_outcome = self.fastest_outcome.min(elapsed);
        if answered {
            self.last_answer_at = now;
        }
    }

    /// Whether a rejection that took this long is the node's own, not that of its source.
    pub(crate) fn is_own_rejection(&self, elapsed: Ns, tick: Ns) -> bool {
        elapsed <= 2 * self.fastest_outcome + tick
    }

    /// Whether it has answered anything from this time on.
    pub(crate) fn has_answered_since(&self, time: Ns) -> bool {
        self.last_answer_at >= time
    }

    /// The outcome of a fill from the node. It only makes the node suspected, as the origin may be to blame.
    pub(crate) fn record_fill(&mut self, failed: bool, weight: f64) {
        self.fill_failure_rate += weight * (indicator(failed) - self.fill_failure_rate);
    }

    /// The outcome of an attempt straight at the node, which counts `count` times.
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
        // Nothing stands in for the origin.
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

    /// Takes the node back into service, with a clean record.
    fn restore(&mut self) -> HealthChange {
        let failure_rate = self.failure_rate;
        self.ejection = None;
        self.failure_rate = 0.0;
        self.fill_failure_rate = 0.0;
        HealthChange::Restored { failure_rate }
    }
}

impl Ejection {
    /// The trials begin again, further apart.
    fn on_trial_failure(&mut self, now: Ns) {
        self.successes = 0;
        self.trial_interval = (self.trial_interval * 3 / 2).min(MAX_TRIAL_INTERVAL);
        self.next_trial = now + self.trial_interval;
    }

    /// Returns whether that was the last trial needed. If not, the next one is due at once.
    fn on_trial_success(&mut self, now: Ns) -> bool {
        if self.successes + 1 >= TRIALS_TO_RESTORE {
            return true;
        }
        self.successes += 1;
        self.next_trial = now;
        false
    }
}

/// Whom a failed attempt through a node to a source is blamed on, by the failure rates of both before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Blame {
    pub(crate) node: bool,
    pub(crate) source: bool,
}

impl Blame {
    /// Blames the one that fails with others too, and both while that is open.
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
