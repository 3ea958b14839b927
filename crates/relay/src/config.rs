//! Configuration of a relay and of the group of voters.

use sablecross_coordination::{LeaseConfig, Ns};

use crate::retention::RetentionWindow;

/// What every relay needs, whether it is a voter or not.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Name of this relay, by which others know it as a subscriber.
    pub name: String,
    /// For how long events are kept.
    pub retention: RetentionWindow,
    /// The largest event in bytes.
    pub max_event_bytes: usize,
    /// A log of this many bytes accepts nothing more from publishers.
    pub max_log_bytes: usize,
    /// A subscriber that has not reported for longer holds no number back.
    pub missing_after: Ns,
    /// A subscriber without a stream that has not reported for longer is removed.
    pub forget_after: Ns,
    /// How many past moments are kept at which a number was applied everywhere.
    pub max_floor_history: usize,
}

/// Configuration of the group of voters; the same at all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupConfig {
    /// Names of the voters' relays, by the voters' indices.
    pub voter_names: Vec<String>,
    /// How the leader's lease is acquired.
    pub lease: LeaseConfig,
    /// A call to a voter that has not been answered for so long is sent again.
    pub call_timeout: Ns,
    /// The leader calls each voter at least this often.
    pub heartbeat_interval: Ns,
    /// The leader calls a voter at most this often, so that events go together; 0 sends at once.
    pub batch_interval: Ns,
    /// Most bytes of entries in one call.
    pub max_call_bytes: usize,
    /// If too few voters remember the log, it is reset once all have answered, or a majority after this time.
    pub reset_timeout: Ns,
    /// How far a purge's timestamp may be ahead of the leader's clock.
    pub max_purge_lead: Ns,
    /// All on in service.
    pub safety_checks: SafetyChecks,
}

/// Checks that tests switch off, one at a time, to show that they notice its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// Voters reject calls with a token older than the newest they have accepted.
    pub fencing: bool,
    /// Entries are stored only behind the entry that precedes them at the leader.
    pub previous_entry: bool,
    /// An entry is committed only once a majority stores it.
    pub quorum: bool,
    /// A voter that has restarted recovers the log from others before it takes part.
    pub recovery: bool,
    /// Answers of an earlier incarnation don't count beside those that know of a later one.
    pub incarnations: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { fencing: true, previous_entry: true, quorum: true, recovery: true, incarnations: true }
    }
}
