//! The messages between the trial and a process of simulated directors, each a line of JSON.

use std::net::{Ipv4Addr, SocketAddr};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// The shared clock: nanoseconds of the monotonic clock, which is the same for all processes of a machine.
pub(crate) fn shared_ns() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// One simulated director.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DirectorIdentity {
    pub(crate) number: usize,
    /// The address from which it connects.
    pub(crate) source: Ipv4Addr,
    /// Where it connects, the first one first.
    pub(crate) feeds: Vec<SocketAddr>,
}

/// A confirmed event of the load: its number, which one it is (its content), and when its purge was made (Unix
/// milliseconds; 0: a change of the list).
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PublishedEvent {
    pub(crate) number: u64,
    pub(crate) content: u32,
    pub(crate) purged_ms: u64,
}

/// A command to a process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PoolCommand {
    /// The first command: which directors to run.
    Begin {
        /// The configuration of a director, with the list of the start as what is known.
        config: String,
        directors: Vec<DirectorIdentity>,
        /// A snapshot may leave a purge out after this.
        binds_ms: u64,
    },
    /// These directors lose their connections and all that they know.
    Kill(Vec<usize>),
    /// Those of these that were killed start again, with what was known at the start of the trial.
    Start(Vec<usize>),
    /// Nothing passes any more between these directors and these addresses.
    Cut(Vec<usize>, Vec<SocketAddr>),
    /// All cuts are over.
    Heal,
    /// These directors read a byte at a time, or normally again.
    Slow(Vec<usize>, bool),
    /// The load is over: the events that were published, and for each node the content of its last change and whether it
    /// has gone. The process reports its result and exits.
    Finish { told: Vec<PublishedEvent>, list: Vec<(u32, bool)> },
}

/// The state and the counts of all directors of one process.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PoolProgress {
    pub(crate) at: u64,
    /// Directors that run.
    pub(crate) alive: usize,
    /// Directors that were connected once since their start.
    pub(crate) up: usize,
    /// The lowest number that a director has applied, and the highest.
    pub(crate) least: u64,
    pub(crate) most: u64,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    pub(crate) reads: u64,
    pub(crate) calls: u64,
    pub(crate) taken: u64,
    /// Calls for events that were missing or unreadable, and events that were skipped as they stayed unreadable.
    pub(crate) gaps: u64,
    pub(crate) skipped: u64,
}

/// When an event was applied by the directors of this process.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Came {
    pub(crate) number: u64,
    /// None: here it was only part of a snapshot, which says nothing of the event under this number.
    pub(crate) content: Option<u32>,
    /// By how many.
    pub(crate) by: u32,
    /// By the last of those that ran when it was published, by the shared clock.
    pub(crate) last: u64,
}

/// The result of one process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Finished {
    pub(crate) came: Vec<Came>,
    pub(crate) missed: u64,
    pub(crate) disorder: u64,
    pub(crate) twice: u64,
    /// Another content came under a number than to others of this process.
    pub(crate) differs: u64,
    /// Purges that a snapshot left out as they need not be kept any more, and lists that are not as they were published.
    pub(crate) lapsed: u64,
    pub(crate) wrong_lists: u64,
    pub(crate) restarts: u64,
    /// Milliseconds from each restart until a director had applied all that was applied elsewhere then.
    pub(crate) catch_up: Vec<u64>,
}

/// A report of a process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PoolReport {
    Tick(PoolProgress),
    Finished(Box<Finished>),
}
