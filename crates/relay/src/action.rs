//! What a relay asks its process to do.

use sablecross_coordination::FencingToken;

use crate::error::PublishError;
use crate::messages::PeerRequest;

/// Something that the process has to do for the relay.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a voter. The reply goes to `Relay::on_peer_reply` with `call_id`; a call that fails is dropped.
    Call {
        /// Index of the voter.
        voter: u32,
        /// Identifies the call.
        call_id: u64,
        /// What to send.
        request: PeerRequest,
    },
    /// Answer a publisher.
    Published {
        /// The ticket that came with the event.
        ticket: u64,
        /// The number of the event once it is committed, or why it was not accepted.
        result: Result<u64, PublishError>,
    },
    /// This voter has become the leader and accepts events.
    LeadershipGained(FencingToken),
    /// This voter has ceased to be the leader.
    LeadershipLost(FencingToken),
    /// Write a line to the log of the process.
    Log(String),
}
