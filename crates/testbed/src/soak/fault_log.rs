//! What was done to an installation, and when, for the marks of a report.

use std::sync::Mutex;

use super::Seconds;
use crate::threads::lock;

/// A fault and the time for which it was in force.
#[derive(Clone, Debug)]
pub struct FaultSpan {
    /// What was done.
    pub description: String,
    /// From when on, in seconds since the soak began.
    pub from: Seconds,
    /// Until when; infinite until its end.
    pub to: Seconds,
}

/// All faults of a soak.
#[derive(Default)]
pub(crate) struct FaultLog(Mutex<Vec<FaultSpan>>);

impl FaultLog {
    /// A fault is about to be injected. Returns its number.
    pub(crate) fn begin(&self, now: Seconds, description: String) -> usize {
        let mut spans = lock(&self.0);
        spans.push(FaultSpan { description, from: now, to: Seconds::INFINITY });
        spans.len() - 1
    }

    /// A fault is over.
    pub(crate) fn end(&self, now: Seconds, number: usize) {
        if let Some(fault) = lock(&self.0).get_mut(number) {
            fault.to = now;
        }
    }

    /// All faults up to now.
    pub(crate) fn spans(&self) -> Vec<FaultSpan> {
        lock(&self.0).clone()
    }
}
