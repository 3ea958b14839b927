//! Messages between voters.
//!
//! They are encoded as MessagePack arrays: fields by their order, variants by name, which is the one in the `serde`
//! attribute if there is one. Neither may change while voters of different versions have to understand each other.

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

/// The log of a voter, either all of it or the part after some number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaState {
    /// Unix time in milliseconds at which the log was last reset, or the previous epoch plus 1 if that is higher; 0 if
    /// it was never reset. The same number stands for different events in different epochs.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// The last entry that is stored, committed or not.
    #[serde(rename = "last")]
    pub last_entry: EntryPosition,
    /// The last number known to be committed.
    pub committed: u64,
    /// The snapshot that precedes `entries`; `None` if the caller already has the log of this epoch up to the
    /// snapshot's number.
    #[serde(rename = "base")]
    pub snapshot: Option<Snapshot>,
    /// Consecutive entries, the uncommitted ones included.
    pub entries: Vec<LogEntry>,
}

/// A call from one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerCall {
    /// A request for the leader's lease, or the return of it.
    #[serde(rename = "Duty")]
    Lease(LeaseRequest),
    /// Sent by a voter that has lost its log in a restart: requests the log.
    #[serde(rename = "Learn")]
    Recover,
    /// Sent by a new leader: requests the log. The receiver rejects older leaders from then on.
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
    /// Sent by the leader: the receiver has to store these entries after `previous_entry`. Without a snapshot and
    /// entries, the call is a heartbeat.
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
        /// Replaces the receiver's log if that is of an outdated epoch, or the committed part of it if that is behind
        /// the snapshot.
        #[serde(rename = "base")]
        snapshot: Option<Snapshot>,
        /// Consecutive entries.
        entries: Vec<LogEntry>,
        /// The last committed number.
        committed: u64,
    },
}

/// A call together with its sender and known incarnations: the body of an HTTP request between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Index of the calling voter.
    #[serde(rename = "from")]
    pub sender: u32,
    /// The latest incarnation of each voter that the caller knows of, by the voters' indices.
    #[serde(rename = "lives")]
    pub incarnations: Vec<u64>,
    /// The call.
    pub call: PeerCall,
}

/// An answer together with known incarnations: the body of an HTTP response between voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The latest incarnation of each voter that the answering voter knows of, its own included.
    #[serde(rename = "lives")]
    pub incarnations: Vec<u64>,
    /// The answer.
    pub answer: PeerAnswer,
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The voter can't answer this call yet or at all, or the call has no answer, as the return of a lease.
    #[default]
    #[serde(rename = "Nothing")]
    NotReady,
    /// Answers [`PeerCall::Lease`].
    #[serde(rename = "Duty")]
    Lease(LeaseReply),
    /// Answers [`PeerCall::Recover`].
    #[serde(rename = "Learnt")]
    Recovered {
        /// The newest token that the voter has accepted.
        #[serde(rename = "promised")]
        highest_token: FencingToken,
        /// Whether the voter remembers everything that it ever stored.
        #[serde(rename = "sure")]
        is_complete: bool,
        /// The whole log of the voter.
        #[serde(rename = "held")]
        state: ReplicaState,
    },
    /// Answers [`PeerCall::Read`].
    #[serde(rename = "Held")]
    State {
        /// Token of the call.
        #[serde(rename = "by")]
        token: FencingToken,
        /// Whether the voter remembers everything that it ever stored.
        #[serde(rename = "sure")]
        is_complete: bool,
        /// The log of the voter after the requested number.
        #[serde(rename = "held")]
        state: ReplicaState,
    },
    /// Answers [`PeerCall::Append`]: the voter's log equals the leader's up to a number.
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
    /// Answers [`PeerCall::Append`]: the voter restarted when too few other voters remembered the log, and stores
    /// nothing until it has recovered the complete log or the log is reset.
    #[serde(rename = "Unsure")]
    NeedsReset {
        /// Token of the call.
        #[serde(rename = "by")]
        token: FencingToken,
    },
    /// Answers [`PeerCall::Append`]: the voter's log is of another epoch, or its previous entry differs from the
    /// leader's.
    #[serde(rename = "Has")]
    Mismatch {
        /// Token of the call.
        #[serde(rename = "by")]
        token: FencingToken,
        /// Epoch of the voter's log.
        #[serde(rename = "era")]
        epoch: u64,
        /// The last number that the voter knows to be committed. If the epochs are equal, the logs are the same up
        /// to this number.
        committed: u64,
    },
    /// Rejects a call whose token is older than this one, or has the same term and another holder.
    #[serde(rename = "Old")]
    StaleToken(FencingToken),
}
