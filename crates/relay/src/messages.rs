//! Messages between voters.
//!
//! They are encoded as MessagePack arrays: fields by their order, variants by the names in the `serde`
//! attributes. Neither may change while voters of different versions have to understand each other.

use sablecross_coordination::{FencingToken, LeaseReply, LeaseRequest};
use serde::{Deserialize, Serialize};

use crate::log::LogEntry;
use crate::snapshot::Snapshot;

/// An entry of the log by its number and the token of the leader that appended it. Two voters that have the
/// same position have the same log up to there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPosition {
    /// Number of the entry; 0 is before the first.
    pub number: u64,
    /// Token of the leader that appended it.
    pub token: FencingToken,
}

/// The log of a voter, in full or from some number on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaState {
    /// When the log was last reset, Unix ms. Numbers of another epoch mean other events.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// The last entry that is stored, committed or not.
    #[serde(rename = "last")]
    pub last_entry: EntryPosition,
    /// The last number known to be committed.
    pub committed: u64,
    /// What precedes `entries`, if the caller's number lies before them.
    #[serde(rename = "base")]
    pub snapshot: Option<Snapshot>,
    /// Consecutive entries, the uncommitted ones included.
    pub entries: Vec<LogEntry>,
}

/// A call from one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Asks for the leader's lease, or gives it back.
    #[serde(rename = "Duty")]
    Lease(LeaseRequest),
    /// By a voter that has restarted without memory: asks for the log.
    #[serde(rename = "Learn")]
    Recover,
    /// By a new leader: rejects older leaders from here on, and asks for the log.
    Read {
        /// Token of the new leader.
        #[serde(rename = "by")]
        token: FencingToken,
        /// Epoch of the leader's log.
        #[serde(rename = "era")]
        epoch: u64,
        /// The leader has every committed entry of that epoch up to this number.
        #[serde(rename = "after")]
        after_number: u64,
    },
    /// By the leader: store these entries behind `previous_entry`. Without entries it is a heartbeat.
    #[serde(rename = "Keep")]
    Append {
        /// Token of the leader.
        #[serde(rename = "by")]
        token: FencingToken,
        /// Epoch of the leader's log.
        #[serde(rename = "era")]
        epoch: u64,
        /// The entry before the first one of `entries`.
        #[serde(rename = "previous")]
        previous_entry: EntryPosition,
        /// Replaces a log that does not reach up to it.
        #[serde(rename = "base")]
        snapshot: Option<Snapshot>,
        /// Consecutive entries.
        entries: Vec<LogEntry>,
        /// The last number that is committed.
        committed: u64,
    },
}

/// A call with its envelope: the body of an HTTP request between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Index of the calling voter.
    #[serde(rename = "from")]
    pub sender: u32,
    /// The latest incarnation of each voter that the caller knows of, by the voters' indices.
    #[serde(rename = "lives")]
    pub incarnations: Vec<u64>,
    /// The call itself.
    pub call: PeerCall,
}

/// An answer with its envelope: the body of an HTTP response between voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The latest incarnation of each voter that the answering one knows of, its own included.
    #[serde(rename = "lives")]
    pub incarnations: Vec<u64>,
    /// The answer itself.
    pub answer: PeerAnswer,
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The voter can't answer yet, or answers nothing to this call.
    #[default]
    #[serde(rename = "Nothing")]
    NotReady,
    /// To [`PeerCall::Lease`].
    #[serde(rename = "Duty")]
    Lease(LeaseReply),
    /// To [`PeerCall::Recover`].
    #[serde(rename = "Learnt")]
    Recovered {
        /// The newest token that the voter has accepted.
        #[serde(rename = "promised")]
        highest_token: FencingToken,
        /// Whether the voter remembers everything that it ever stored.
        #[serde(rename = "sure")]
        is_complete: bool,
        /// All of its log.
        #[serde(rename = "held")]
        state: ReplicaState,
    },
    /// To [`PeerCall::Read`].
    #[serde(rename = "Held")]
    State {
        /// Token of the call.
        #[serde(rename = "by")]
        token: FencingToken,
        /// Whether the voter remembers everything that it ever stored.
        #[serde(rename = "sure")]
        is_complete: bool,
        /// Its log after the number that was asked for.
        #[serde(rename = "held")]
        state: ReplicaState,
    },
    /// To [`PeerCall::Append`]: the log is the leader's up to a number.
    #[serde(rename = "Kept")]
    Appended {
        /// Token of the call.
        #[serde(rename = "by")]
        token: FencingToken,
        /// Epoch of the call.
        #[serde(rename = "era")]
        epoch: u64,
        /// The last number up to which both logs are the same.
        #[serde(rename = "upto")]
        last_number: u64,
        /// The number that the voter and all its subscribers have applied.
        #[serde(rename = "floor")]
        applied_number: u64,
    },
    /// To [`PeerCall::Append`]: the voter restarted when too few others remembered the log, and stores nothing
    /// until the log is reset.
    #[serde(rename = "Unsure")]
    NeedsReset {
        /// Token of the call.
        #[serde(rename = "by")]
        token: FencingToken,
    },
    /// To [`PeerCall::Append`]: the previous entry is not the leader's.
    #[serde(rename = "Has")]
    Mismatch {
        /// Token of the call.
        #[serde(rename = "by")]
        token: FencingToken,
        /// Epoch of the voter's log.
        #[serde(rename = "era")]
        epoch: u64,
        /// The last number that the voter knows to be committed: up to there the logs are the same if the
        /// epochs are.
        committed: u64,
    },
    /// The token of the call is older than this one.
    #[serde(rename = "Old")]
    StaleToken(FencingToken),
}
