//! Errors of publishing an event.

use sablecross_coordination::Member;
use thiserror::Error;

use crate::event::EventError;
use crate::log::{LogFull, MAX_IDEMPOTENCY_KEY_BYTES};

/// The reason why an event was not accepted. Except after [`PublishError::LeadershipLost`], no subscriber receives
/// the event.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// This relay is not the leader; the value is the leader, if known.
    #[error("not the leader: {}", describe_leader(.0))]
    NotLeader(Option<Member>),
    /// This relay lost its leadership, or reset the log, before the event was committed. The event may still be
    /// committed, by a later leader or with the reset.
    #[error(
        "no longer the leader: whether the event will be committed is not known; publish it again with the same mark"
    )]
    LeadershipLost,
    /// The event is malformed.
    #[error(transparent)]
    InvalidEvent(#[from] EventError),
    /// The log has no room for the event.
    #[error(transparent)]
    LogFull(#[from] LogFull),
    /// The log has no complete endpoint list to which the event could apply.
    #[error("no complete list was published since the log was reset: publish that first")]
    NoList,
    /// The purge's timestamp is too far ahead of this clock.
    #[error("the purge was made {lead_ms} ms ahead of this clock, more than {max_ms}")]
    PurgeInFuture {
        /// Milliseconds that the timestamp is ahead of this clock.
        lead_ms: u64,
        /// Maximum of `lead_ms`.
        max_ms: u64,
    },
    /// The idempotency key is too long; the value is its length in bytes.
    #[error("the mark has {0} bytes, more than {MAX_IDEMPOTENCY_KEY_BYTES}")]
    KeyTooLong(usize),
}

fn describe_leader(leader: &Option<Member>) -> String {
    leader.map_or("nobody is now".into(), |member| format!("member {} is", member.number))
}
