//! The evidence of a violation, and whether a late thread of the soak can have caused it.
//!
//! The send times of the directors come from the send log: the fault library takes them in the directors' processes,
//! from the monotonic clock that all processes of the machine share. All other times are taken by threads of the soak
//! (clients, nodes, discovery, faults), which may run late on a busy machine. A violation is judged unless it depends
//! on a time of the second kind and a thread of the soak was late by more than the tolerance within the span of its
//! evidence.
//!
//! | rule | what is compared, and who took the times | evidence |
//! | --- | --- | --- |
//! | `Lost` | client: before it wrote the request; client: when it stopped waiting or saw the connection end | from the first to the second |
//! | `Stray`, `WrongBytes` | call numbers and bodies of answers on one connection; no time | exact |
//! | `EffectTwice`, as sent | send log: both attempts; node: its proof that one was not executed. The node takes this time before it writes the proof, so it can only be early, which favors the director | exact |
//! | `EffectTwice`, as executed, at most once | the number of executions; no time | exact |
//! | `EffectTwice`, as executed, deduplicated | node: both executions. The time of the first can only be late, which favors the director. A node that has caught up before the window ends executes a repeat within it, or sees that it was cancelled | from the end of the window to the second execution |
//! | `ClientGone`, send log | send log: the attempt; client: after it closed or cancelled, which favors the director | exact |
//! | `ClientGone`, read time | client: as above; node: when it read the attempt | from the first to the second |
//! | `WaitTooLong`, send log, end of the write known | send log: the attempt; client: after its write, which favors the director | exact |
//! | `WaitTooLong`, otherwise | client: before its write; send log or node: the attempt | from the first to the second |
//! | `Drained`, `Purged` | discovery: when the director must know, which is valid only if the event was sent in time; send log or node: the attempt | from the first to the second |
//! | `SlowStart`, all calls in send logs | send log: the calls; fault injection: the start, taken before the node was listed, which favors the director | exact |
//! | `SlowStart`, otherwise | send log or node: each call within a second | that second |
//! | `Unknown` | requests, which are recorded before they are written, and panics of client threads; no time | exact |
//! | `Crash`, exit | the kernel: that the process has exited, and its status | exact |
//! | `Crash`, no exit | before the signal; when the soak stopped waiting for the exit | from the first to the second |
//! | `Crash`, not serving | before the start; when the soak stopped waiting for the director to serve | from the first to the second |
//! | `Crash`, of the soak itself | errors of the soak's own files and sockets; no time | exact |
//! | `Inside` | lines of the director's log | exact |

use super::Seconds;

#[cfg(test)]
mod tests;

/// A span of time, in seconds since the soak began; it includes both ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeSpan {
    /// The beginning.
    pub from: Seconds,
    /// The end.
    pub to: Seconds,
}

impl TimeSpan {
    /// Returns the length in seconds.
    pub fn duration(&self) -> f64 {
        self.to - self.from
    }

    /// Whether the two spans have a moment in common.
    pub fn overlaps(&self, other: &TimeSpan) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// The evidence of a violation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// Facts that a late thread of the soak cannot cause: what was sent, answered, logged or counted, how a process
    /// ended, or times that can only be wrong in the director's favor.
    Exact,
    /// Times that were taken by threads of the soak. A thread that was late within this span may have caused the
    /// violation.
    Observed(TimeSpan),
}

impl Evidence {
    /// Whether the evidence is valid although threads of the soak were late within this span.
    pub fn holds_despite(&self, late: &TimeSpan) -> bool {
        match self {
            Evidence::Exact => true,
            Evidence::Observed(span) => !span.overlaps(late),
        }
    }
}
