//! The faults that were injected and when, to be printed beside violations in a report.

use std::sync::Mutex;

use super::Seconds;
use crate::threads::lock;

/// A fault and the span of time in which it was in force.
#[derive(Clone, Debug)]
pub struct FaultSpan {
    /// The description of the fault.
    pub description: String,
    /// When the fault began, in seconds since the soak began.
    pub from: Seconds,
    /// When the fault ended; infinite until then.
    pub to: Seconds,
}

/// All faults of a soak.
#[derive(Default)]
pub(crate) struct FaultLog(Mutex<Vec<FaultSpan>>);

impl FaultLog {
    /// Records that a fault is about to be injected. Returns its number for `end`.
    pub(crate) fn begin(&self, now: Seconds, description: String) -> usize {
        let mut spans = lock(&self.0);
        spans.push(FaultSpan { description, from: now, to: Seconds::INFINITY });
        spans.len() - 1
    }

    /// Records that a fault is over.
    pub(crate) fn end(&self, now: Seconds, number: usize) {
        if let Some(fault) = lock(&self.0).get_mut(number) {
            fault.to = now;
        }
    }

    /// Returns all faults so far.
    pub(crate) fn spans(&self) -> Vec<FaultSpan> {
        lock(&self.0).clone()
    }
}
