//! What a violation rests on, and whether a thread of the soak that ran late can have made it.
//!
//! The directors' own times come from the send log: the fault library stamps them in the directors' processes, by the
//! monotonic clock that all processes of the machine share. All other times are stamped by threads of the soak (clients,
//! nodes, discovery, faults), which a busy machine may run late. A violation is judged unless a time of the second kind
//! could have made it and such a thread was late by more than the tolerance within the span of its evidence.
//!
//! | rule | what is compared, and who stamps it | evidence |
//! | --- | --- | --- |
//! | `Lost` | client: before its write; client: when it gave up or saw the end of its connection | from the first to the second |
//! | `Stray`, `WrongBytes` | numbers and bytes of answers on one connection; no time | exact |
//! | `EffectTwice`, as sent | send log: both attempts; node: its proof that one did not run, stamped before it is written, and so early at most, which spares the director | exact |
//! | `EffectTwice`, as executed, at most once | the count of executions; no time | exact |
//! | `EffectTwice`, as executed, deduplicated | node: both executions. The first can only be late, which spares the director. A node that is on time again before the window ends runs a repeat within it, or sees that it was given up | from the end of the window to the second execution |
//! | `ClientGone`, send log | send log: the attempt; client: after it closed or cancelled, which spares the director | exact |
//! | `ClientGone`, read | client: as above; node: when it read the attempt | from the first to the second |
//! | `WaitTooLong`, send log, write known to be over | send log: the attempt; client: after its write, which spares the director | exact |
//! | `WaitTooLong`, else | client: before its write; send log or node: the attempt | from the first to the second |
//! | `Drained`, `Purged` | discovery: when the director must know, which holds only if the event was sent in time; send log or node: the attempt | from the first to the second |
//! | `SlowStart`, all calls in send logs | send log: the calls; fault: before the node was listed, which spares the director | exact |
//! | `SlowStart`, else | send log or node: each call of a second | that second |
//! | `Unknown` | requests, noted before they are written; no time | exact |
//! | `Crash`, exit | the kernel: the process has exited, and its status | exact |
//! | `Crash`, no exit | fault: before the signal; fault: when it stopped waiting | from the first to the second |
//! | `Crash`, not serving | fault: before the start; fault: when it stopped waiting | from the first to the second |
//! | `Crash`, of the soak itself | errors of its own files and sockets; no time | exact |
//! | `Inside` | lines of the director's log | exact |

use super::Seconds;

#[cfg(test)]
mod tests;

/// A span of time, in seconds since the soak began; both ends belong to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeSpan {
    /// Its beginning.
    pub from: Seconds,
    /// Its end.
    pub to: Seconds,
}

impl TimeSpan {
    /// How long it is, in seconds.
    pub fn duration(&self) -> f64 {
        self.to - self.from
    }

    /// Whether the two have a moment in common.
    pub fn overlaps(&self, other: &TimeSpan) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// What a violation rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// Nothing that a late thread of the soak can make: what was sent, answered, logged or counted, how a process ended,
    /// or times that lateness can only move in the director's favor.
    Exact,
    /// Times that threads of the soak stamped; one that was late within this span may have made the violation.
    Observed(TimeSpan),
}

impl Evidence {
    /// Whether it holds although threads of the soak were late then.
    pub fn holds_despite(&self, late: &TimeSpan) -> bool {
        match self {
            Evidence::Exact => true,
            Evidence::Observed(span) => !span.overlaps(late),
        }
    }
}
