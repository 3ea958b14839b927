//! The actions that a relay requests from its process.

use sablecross_coordination::FencingToken;

use crate::error::PublishError;
use crate::messages::PeerRequest;

/// An action that the process has to perform for the relay.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a voter. The process passes the reply to `Relay::on_peer_reply` with `call_id`, and drops a call that
    /// fails.
    Call {
        /// Index of the voter.
        voter: u32,
        /// Identifies the call.
        call_id: u64,
        /// What to send.
        request: PeerRequest,
    },
    /// Answer the publisher that waits for this ticket.
    Published {
        /// The ticket that was passed in with the event.
        ticket: u64,
        /// The number of the event once it is committed, or why it was not accepted.
        result: Result<u64, PublishError>,
    },
    /// This voter has become the leader and accepts events.
    LeadershipGained(FencingToken),
    /// This voter is no longer the leader.
    LeadershipLost(FencingToken),
    /// Write a line to the log of the process.
    Log(String),
}
