//! Configuration of a relay and of the group of voters.

use sablecross_coordination::{LeaseConfig, Ns};

use crate::retention::RetentionWindow;

/// Configuration of a relay, whether it is a voter or not.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Name of this relay, which identifies it as a subscriber of other relays.
    pub name: String,
    /// For how long events are kept.
    pub retention: RetentionWindow,
    /// The largest event of a publisher in bytes. An event of an upstream may have `max_log_bytes` if that is more.
    pub max_event_bytes: usize,
    /// Size of the log in bytes past which events of publishers are rejected.
    pub max_log_bytes: usize,
    /// A subscriber that has not reported for longer than this no longer holds the floor back.
    pub missing_after: Ns,
    /// A subscriber without a stream that has not reported for longer than this is removed.
    pub forget_after: Ns,
    /// Maximum number of entries in the history of numbers that were applied everywhere.
    pub max_floor_history: usize,
}

/// Configuration of the group of voters, which has to be equal at all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupConfig {
    /// Names of the voters' relays, by the voters' indices.
    pub voter_names: Vec<String>,
    /// How the leader's lease is acquired.
    pub lease: LeaseConfig,
    /// Time without an answer after which a call to a voter is sent again.
    pub call_timeout: Ns,
    /// The leader calls each voter that has answered the last call at least this often.
    pub heartbeat_interval: Ns,
    /// The shortest time between two calls to the same voter, which batches events. With 0, events only wait for the
    /// answer to the last call.
    pub batch_interval: Ns,
    /// Maximum bytes of entries in one call; a larger entry is sent alone.
    pub max_call_bytes: usize,
    /// If too few voters remember the log, the leader resets it once all voters have answered, or once a majority has
    /// answered and this time has passed. By the same rule a restarted voter stops waiting for complete logs.
    pub reset_timeout: Ns,
    /// How far a purge's timestamp may be ahead of the leader's clock.
    pub max_purge_lead: Ns,
    /// Safety checks; all of them are on in service.
    pub safety_checks: SafetyChecks,
}

/// Safety checks. Tests disable them one at a time to show that the tests detect a missing check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// Voters reject calls with a token older than the newest they have accepted.
    pub fencing: bool,
    /// Entries are stored only after the entry that precedes them in the leader's log.
    pub previous_entry: bool,
    /// An entry is committed only once a majority stores it.
    pub quorum: bool,
    /// A voter that has restarted recovers the log from others before it takes part.
    pub recovery: bool,
    /// Answers of an earlier incarnation aren't counted together with answers whose senders know a later one.
    pub incarnations: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { fencing: true, previous_entry: true, quorum: true, recovery: true, incarnations: true }
    }
}
