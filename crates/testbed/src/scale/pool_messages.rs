//! What the trial and a process of hollow directors say to one another: a line of JSON each.

use std::net::{Ipv4Addr, SocketAddr};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Nanoseconds of the clock that all processes of a machine share.
pub fn shared_ns() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectorIdentity {
    pub number: usize,
    pub source: Ipv4Addr,
    pub feeds: Vec<SocketAddr>,
}

/// What an event of the load says: which one it is, when its purge was made (0: a change of the list), and its number
/// in the feed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PublishedEvent {
    pub number: u64,
    pub content: u32,
    pub purged_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum PoolCommand {
    Begin {
        /// The configuration of a director, with the list of the start as what is known.
        config: String,
        directors: Vec<DirectorIdentity>,
        /// A purge may be passed over after this.
        binds_ms: u64,
    },
    Kill(Vec<usize>),
    /// Those of these that were killed begin anew, with what was known at the start.
    Start(Vec<usize>),
    /// Nothing passes between these and these any more.
    Cut(Vec<usize>, Vec<SocketAddr>),
    Heal,
    /// They read a byte a second, or as they can again.
    Slow(Vec<usize>, bool),
    /// The load is over: what was told, and of each node the change that holds and whether it has gone.
    Finish {
        told: Vec<PublishedEvent>,
        list: Vec<(u32, bool)>,
    },
}

/// What all directors of one process came to up to now.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PoolProgress {
    pub at: u64,
    pub alive: usize,
    /// Whose call was answered once in this life.
    pub up: usize,
    /// The least and the most number in force.
    pub least: u64,
    pub most: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub reads: u64,
    pub calls: u64,
    pub taken: u64,
    /// Calls for what was missing or unreadable; what was unreadable the second time.
    pub gaps: u64,
    pub skipped: u64,
}

/// When an event came into force here.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Came {
    pub number: u64,
    /// None: here it only came as a whole list, which says nothing of the event under this number.
    pub content: Option<u32>,
    pub by: u32,
    /// At the last of those that lived when it was told.
    pub last: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Finished {
    pub came: Vec<Came>,
    pub missed: u64,
    pub disorder: u64,
    pub twice: u64,
    /// Another content came under a number than to others of this process.
    pub differs: u64,
    /// Passed over by a whole list as it binds no more, and lists that differ from what was told.
    pub lapsed: u64,
    pub wrong_lists: u64,
    pub restarts: u64,
    /// Milliseconds from each restart until all was in force that was then.
    pub catch_up: Vec<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum PoolReport {
    Tick(PoolProgress),
    Finished(Box<Finished>),
}
