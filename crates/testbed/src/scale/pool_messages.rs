//! The messages between the trial and a process of simulated directors, each a line of JSON.

use std::net::{Ipv4Addr, SocketAddr};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// The shared clock: nanoseconds of the monotonic clock, which is the same for all processes of a machine.
pub(crate) fn shared_ns() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// A simulated director: its number, its address and its feeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DirectorIdentity {
    pub(crate) number: usize,
    /// The address from which it connects.
    pub(crate) source: Ipv4Addr,
    /// The feeds that it may connect to, its home feed first. `FeedSelector` orders the others by hash.
    pub(crate) feeds: Vec<SocketAddr>,
}

/// A confirmed event of the load.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct ConfirmedEvent {
    /// The number under which it was confirmed.
    pub(crate) number: u64,
    /// Identifies the event within the load, from 1.
    pub(crate) content: u32,
    /// When the purge was made, in Unix milliseconds; 0 for a change of the list.
    pub(crate) purged_ms: u64,
}

/// A command to a process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PoolCommand {
    /// Runs these directors. This is the first command of a process.
    Begin {
        /// The configuration of a director; its known events are the endpoint list at the start of the trial.
        config: String,
        directors: Vec<DirectorIdentity>,
        /// Age in milliseconds after which a snapshot may leave a purge out.
        #[serde(rename = "binds_ms")]
        purge_retention_ms: u64,
    },
    /// Kills these directors: they lose their connections and all state.
    Kill(Vec<usize>),
    /// Starts those of these directors that are killed, with the known events of the configuration.
    Start(Vec<usize>),
    /// Cuts the connections between these directors and these addresses: no data passes any more.
    Cut(Vec<usize>, Vec<SocketAddr>),
    /// Ends all cuts.
    Heal,
    /// Makes these directors read one byte at a time (true), or normally again (false).
    Slow(Vec<usize>, bool),
    /// Compares what the directors applied with what was published, reports the result and exits.
    Finish {
        #[serde(rename = "told")]
        published: Vec<ConfirmedEvent>,
        /// For each node, the content of its last change and whether it has gone.
        list: Vec<(u32, bool)>,
    },
}

/// The state and the counts of all directors of one process.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PoolProgress {
    /// When the report was made, by the shared clock.
    #[serde(rename = "at")]
    pub(crate) at_ns: u64,
    /// Directors that run.
    #[serde(rename = "alive")]
    pub(crate) running: usize,
    /// Directors that run and have been connected since their start.
    #[serde(rename = "up")]
    pub(crate) connected: usize,
    /// The lowest of the last event numbers that the running directors have applied.
    #[serde(rename = "least")]
    pub(crate) lowest_applied: u64,
    /// The highest event number that a director has applied.
    #[serde(rename = "most")]
    pub(crate) highest_applied: u64,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    pub(crate) reads: u64,
    pub(crate) calls: u64,
    /// Events that were applied, over all directors.
    #[serde(rename = "taken")]
    pub(crate) applied: u64,
    /// New subscriptions because an event was missing or unreadable.
    pub(crate) gaps: u64,
    /// Events that were skipped because they stayed unreadable.
    pub(crate) skipped: u64,
}

/// How the directors of one process applied an event.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct EventArrival {
    pub(crate) number: u64,
    /// None if the number came only with a snapshot, which does not identify the event.
    pub(crate) content: Option<u32>,
    /// How many directors applied it.
    #[serde(rename = "by")]
    pub(crate) count: u32,
    /// When the last director applied it, by the shared clock; 0 if none counts. Directors that were still catching up
    /// to this number after a restart do not count.
    #[serde(rename = "last")]
    pub(crate) last_ns: u64,
}

/// The result of one process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Finished {
    /// Arrivals of events, by rising numbers.
    #[serde(rename = "came")]
    pub(crate) arrivals: Vec<EventArrival>,
    /// Published events that a director did not apply.
    pub(crate) missed: u64,
    /// Events that came out of order.
    #[serde(rename = "disorder")]
    pub(crate) out_of_order: u64,
    /// Events that a director applied twice.
    #[serde(rename = "twice")]
    pub(crate) applied_twice: u64,
    /// Events whose content differs from the one that another director of the process had under the same number.
    #[serde(rename = "differs")]
    pub(crate) different_events: u64,
    /// Events that a director did not apply, as a snapshot replaced them and need not contain them any more.
    #[serde(rename = "lapsed")]
    pub(crate) expired: u64,
    /// Directors whose endpoint list differs from the published one.
    pub(crate) wrong_lists: u64,
    pub(crate) restarts: u64,
    /// Milliseconds from each restart until the director had applied all that others had applied at the restart.
    pub(crate) catch_up: Vec<u64>,
}

/// A report of a process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PoolReport {
    Tick(PoolProgress),
    Finished(Box<Finished>),
}
