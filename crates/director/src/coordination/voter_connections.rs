//! The connections to the voters, and the calls on them.

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

/// The maximum number of received bytes of one connection that are not handled yet.
const MAX_RECEIVED_BYTES: usize = 240_000;

/// A connection to a voter, and the calls that are outstanding on it.
struct VoterConnection {
    connection: OutboundConnection,
    last_rpc_id: u32,
    /// The coordinator's id of each outstanding call, by the id of the call on the wire.
    outstanding_calls: BTreeMap<u32, u64>,
}

impl VoterConnection {
    fn new(address: SocketAddr) -> VoterConnection {
        VoterConnection {
            connection: OutboundConnection::new(address),
            last_rpc_id: 0,
            outstanding_calls: BTreeMap::new(),
        }
    }

    fn begin_call(&mut self, call_id: u64) -> u32 {
        self.last_rpc_id = self.last_rpc_id.wrapping_add(1);
        self.outstanding_calls.insert(self.last_rpc_id, call_id);
        self.last_rpc_id
    }

    /// Decodes and removes the complete replies among the received bytes. Returns false if they violate the protocol.
    fn decode_replies(&mut self, limits: &Limits, replies: &mut Vec<CallReplies>) -> bool {
        let mut used = 0;
        let is_valid = loop {
            match rpc::decode_response(&self.connection.received[used..], limits) {
                Ok((rpc_id, body, length)) => {
                    let call_id = self.outstanding_calls.remove(&rpc_id);
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

/// The connections to all voters, by voter index. The poll token of a connection is the index of its voter.
pub(super) struct VoterConnections {
    voters: Vec<VoterConnection>,
    /// The address of each voter, by member number. The addresses of former voters are kept.
    addresses: BTreeMap<u32, SocketAddr>,
}

impl VoterConnections {
    /// Creates connections to voters with these member numbers and addresses.
    pub(super) fn new(numbers: &[u32], addresses: &[SocketAddr]) -> VoterConnections {
        VoterConnections {
            voters: addresses.iter().copied().map(VoterConnection::new).collect(),
            addresses: numbers.iter().copied().zip(addresses.iter().copied()).collect(),
        }
    }

    /// Returns the number of voters.
    pub(super) fn len(&self) -> usize {
        self.voters.len()
    }

    /// Records the addresses of voters from reloaded settings.
    pub(super) fn add_addresses(&mut self, numbers: &[u32], addresses: Vec<SocketAddr>) {
        self.addresses.extend(numbers.iter().copied().zip(addresses));
    }

    /// Closes the connection to each voter whose address has changed. The next call uses the new address.
    pub(super) fn apply_addresses(&mut self, numbers: &[u32], registry: &Registry, now: Ns) {
        for (number, voter) in numbers.iter().zip(&mut self.voters) {
            if let Some(address) = self.addresses.get(number) {
                voter.connection.set_address(*address, registry, now);
            }
        }
    }

    /// Replaces all connections after the set of voters has changed.
    pub(super) fn replace(&mut self, numbers: &[u32], registry: &Registry, now: Ns) {
        for voter in &mut self.voters {
            voter.connection.close(registry, now);
        }
        let known = numbers.iter().filter_map(|number| self.addresses.get(number));
        self.voters = known.copied().map(VoterConnection::new).collect();
    }

    /// Sends messages to a voter. Messages that can't be sent are lost, like messages that are lost in transit.
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
            voter.outstanding_calls.clear();
        }
    }

    /// Writes unsent bytes once the connection is writable.
    pub(super) fn on_writable(&mut self, index: usize, registry: &Registry, now: Ns) {
        if let Some(voter) = self.voters.get_mut(index)
            && !voter.connection.write(registry, now)
        {
            voter.outstanding_calls.clear();
        }
    }

    /// Reads the replies that have arrived. A connection that violates the protocol is closed.
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
        if voter.outstanding_calls.is_empty() {
            voter.connection.on_all_answered();
        }
        if !is_valid {
            voter.connection.close(registry, now);
        }
        if !is_valid || !is_open {
            voter.outstanding_calls.clear();
        }
        replies
    }

    /// Closes the connections on which an answer is overdue.
    pub(super) fn close_stuck(&mut self, registry: &Registry, now: Ns) {
        for voter in self.voters.iter_mut().filter(|voter| voter.connection.is_stuck(now)) {
            voter.connection.close(registry, now);
            voter.outstanding_calls.clear();
        }
    }
}
