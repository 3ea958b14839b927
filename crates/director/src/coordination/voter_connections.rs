//! Calls to the voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mio::{Registry, Token};
use sablecross::Ns;
use sablecross_coordination::Member;
use sablecross_coordination::messages::{Message, Reply, Request};

use super::outbound_connection::OutboundConnection;
use crate::limits::Limits;
use crate::name_table::PEER_CALL_METHOD;
use crate::wire::rpc::{self, DecodeError};

/// The most bytes of replies that are not handled yet.
const MAX_RECEIVED_BYTES: usize = 240_000;

/// A voter's connection, and the calls that are outstanding on it.
struct VoterConnection {
    connection: OutboundConnection,
    last_rpc_id: u32,
    /// The coordinator's id of each call, by its id on the wire.
    calls: BTreeMap<u32, u64>,
}

impl VoterConnection {
    fn new(address: SocketAddr) -> VoterConnection {
        VoterConnection {
            connection: OutboundConnection::new(address),
            last_rpc_id: 0,
            calls: BTreeMap::new(),
        }
    }

    fn begin_call(&mut self, call_id: u64) -> u32 {
        self.last_rpc_id = self.last_rpc_id.wrapping_add(1);
        self.calls.insert(self.last_rpc_id, call_id);
        self.last_rpc_id
    }

    /// Takes the complete replies off what was received; false if it is not the protocol.
    fn decode_replies(&mut self, limits: &Limits, replies: &mut Vec<CallReplies>) -> bool {
        let mut used = 0;
        let is_valid = loop {
            match rpc::decode_response(&self.connection.received[used..], limits) {
                Ok((rpc_id, body, length)) => {
                    let call_id = self.calls.remove(&rpc_id);
                    let decoded = body.and_then(|body| rmp_serde::from_slice(body).ok());
                    let reply = call_id.zip(decoded);
                    replies.extend(reply.map(|(call_id, replies)| CallReplies { call_id, replies }));
                    used += length;
                }
                Err(DecodeError::Incomplete) => break true,
                Err(DecodeError::Invalid(_)) => break false,
            }
        };
        self.connection.received.drain(..used);
        is_valid
    }
}

/// The replies to one call.
pub(super) struct CallReplies {
    /// The coordinator's id of the call.
    pub(super) call_id: u64,
    /// The replies.
    pub(super) replies: Vec<Reply>,
}

/// The connections to all voters, by their index. A connection's poll token is the voter's index.
pub(super) struct VoterConnections {
    voters: Vec<VoterConnection>,
    /// Where each voter listens, by its member's number; also of former voters.
    addresses: BTreeMap<u32, SocketAddr>,
}

impl VoterConnections {
    /// Connections to voters with these numbers and addresses.
    pub(super) fn new(numbers: &[u32], addresses: &[SocketAddr]) -> VoterConnections {
        VoterConnections {
            voters: addresses.iter().copied().map(VoterConnection::new).collect(),
            addresses: numbers.iter().copied().zip(addresses.iter().copied()).collect(),
        }
    }

    /// How many voters there are.
    pub(super) fn len(&self) -> usize {
        self.voters.len()
    }

    /// Takes note of voters' addresses, as the settings name them now.
    pub(super) fn add_addresses(&mut self, numbers: &[u32], addresses: Vec<SocketAddr>) {
        self.addresses.extend(numbers.iter().copied().zip(addresses));
    }

    /// Connects to voters that have another address now.
    pub(super) fn apply_addresses(&mut self, numbers: &[u32], registry: &Registry, now: Ns) {
        for (number, voter) in numbers.iter().zip(&mut self.voters) {
            if let Some(address) = self.addresses.get(number) {
                voter.connection.set_address(*address, registry, now);
            }
        }
    }

    /// Replaces all connections, as the voters have changed.
    pub(super) fn replace(&mut self, numbers: &[u32], registry: &Registry, now: Ns) {
        for voter in &mut self.voters {
            voter.connection.close(registry, now);
        }
        let known = numbers.iter().filter_map(|number| self.addresses.get(number));
        self.voters = known.copied().map(VoterConnection::new).collect();
    }

    /// Sends messages to a voter. What can't be sent is lost, like a message on its way.
    pub(super) fn call(
        &mut self,
        from: Member,
        index: u32,
        call_id: u64,
        messages: Vec<Message>,
        registry: &Registry,
        now: Ns,
    ) {
        let Some(voter) = self.voters.get_mut(index as usize) else { return };
        let Ok(body) = rmp_serde::to_vec(&Request { from, messages }) else { return };
        let bytes = rpc::encode_call(voter.begin_call(call_id), PEER_CALL_METHOD, &body);
        if !voter.connection.send(&bytes, registry, Token(index as usize), now) {
            voter.calls.clear();
        }
    }

    /// Writes what waits for the connection.
    pub(super) fn on_writable(&mut self, index: usize, registry: &Registry, now: Ns) {
        if let Some(voter) = self.voters.get_mut(index)
            && !voter.connection.write(registry, now)
        {
            voter.calls.clear();
        }
    }

    /// Reads replies. A connection that does not speak the protocol is closed.
    pub(super) fn on_readable(
        &mut self,
        index: usize,
        limits: &Limits,
        registry: &Registry,
        now: Ns,
    ) -> Vec<CallReplies> {
        let mut replies = Vec::new();
        let Some(voter) = self.voters.get_mut(index) else { return replies };
        let is_open = voter.connection.read(registry, now, MAX_RECEIVED_BYTES);
        let is_valid = voter.decode_replies(limits, &mut replies);
        if voter.calls.is_empty() {
            voter.connection.all_answered();
        }
        if !is_valid {
            voter.connection.close(registry, now);
        }
        if !is_valid || !is_open {
            voter.calls.clear();
        }
        replies
    }

    /// Closes connections whose answers are overdue.
    pub(super) fn close_stuck(&mut self, registry: &Registry, now: Ns) {
        for voter in self.voters.iter_mut().filter(|voter| voter.connection.is_stuck(now)) {
            voter.connection.close(registry, now);
            voter.calls.clear();
        }
    }
}
