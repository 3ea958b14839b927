//! A voter's log of health observations.

use std::collections::BTreeMap;

use crate::Ns;
use crate::messages::{HealthObservation, HealthState};

/// Observations of this age or older are not returned.
const MAX_OBSERVATION_AGE: Ns = 10_000_000_000;

#[derive(Clone, Copy, Debug)]
struct Entry {
    sequence: u64,
    observed_at: Ns,
    state: HealthState,
}

/// The newest observation of each target. Observations are numbered in the order of arrival, so that members can
/// fetch only those that are new to them.
#[derive(Clone, Debug)]
pub(crate) struct HealthLog {
    by_target: BTreeMap<u64, Entry>,
    /// The target of each entry, by the entry's sequence number.
    by_sequence: BTreeMap<u64, u64>,
    next_sequence: u64,
}

impl HealthLog {
    pub(crate) fn new() -> HealthLog {
        HealthLog { by_target: BTreeMap::new(), by_sequence: BTreeMap::new(), next_sequence: 1 }
    }

    /// The sequence number of the newest entry, or 0 if there is none.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.next_sequence - 1
    }

    /// Records an observation, unless one of the target that is as recent or more recent is known.
    pub(crate) fn record(&mut self, now: Ns, observation: HealthObservation) {
        let HealthObservation { target, age, state } = observation;
        let observed_at = now.saturating_sub(age);
        if self.by_target.get(&target).is_some_and(|known| known.observed_at >= observed_at) {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if let Some(replaced) = self.by_target.insert(target, Entry { sequence, observed_at, state }) {
            self.by_sequence.remove(&replaced.sequence);
        }
        self.by_sequence.insert(sequence, target);
    }

    /// Returns the observations after a sequence number. A number that this log has not reached comes from an earlier
    /// incarnation of the voter, so all observations are returned.
    pub(crate) fn since(&self, now: Ns, sequence: u64) -> Vec<HealthObservation> {
        let first = if sequence >= self.next_sequence { 0 } else { sequence + 1 };
        let entries = self.by_sequence.range(first..).filter_map(|(_, target)| {
            let entry = self.by_target.get(target)?;
            let age = now.saturating_sub(entry.observed_at);
            Some(HealthObservation { target: *target, age, state: entry.state })
        });
        entries.filter(|observation| observation.age < MAX_OBSERVATION_AGE).collect()
    }
}
