//! The nodes whose health is checked, and which are told to fetch objects for warming.

use std::collections::{BTreeMap, BTreeSet};

use mio::{Registry, Token};
use sablecross::{EndpointState, Ns, Outcome, rank};
use sablecross_coordination::messages::HealthState;
use sablecross_coordination::{FencingToken, FetchOutcome};

use super::health_check::{self, HealthCheckTag};
use super::outbound_connection::OutboundConnection;
use crate::discovery_event::Endpoint;
use crate::wire::node_protocol;

/// The first poll token of the connections to nodes. Lower tokens belong to the voters.
const FIRST_POLL_TOKEN: usize = 1 << 16;
/// The maximum number of received bytes of one connection that are not handled yet.
const MAX_RECEIVED_BYTES: usize = 256 << 10;
/// The length of the line end after a body.
const BODY_END_BYTES: usize = 2;

struct CheckedNode {
    name: String,
    poll_token: usize,
    connection: OutboundConnection,
    /// The fencing token of each outstanding check, by the check's sequence number.
    outstanding_checks: BTreeMap<u64, FencingToken>,
    /// The number of bytes of a body that have not been skipped yet. Bodies are not used.
    body_bytes_to_skip: usize,
}

impl CheckedNode {
    /// Resets the state of a connection that has ended: neither answers nor the rest of a body will arrive on it.
    fn on_connection_lost(&mut self) {
        self.outstanding_checks.clear();
        self.body_bytes_to_skip = 0;
    }

    /// Sends a line. A check or fetch that gets no answer ends by its timeout.
    fn send(&mut self, line: &str, registry: &Registry, now: Ns) {
        if !self.connection.send(line.as_bytes(), registry, Token(self.poll_token), now) {
            self.on_connection_lost();
        }
    }

    /// Removes and returns the next complete line, and skips the bodies before it.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let received = &mut self.connection.received;
        let skipped = self.body_bytes_to_skip.min(received.len());
        received.drain(..skipped);
        self.body_bytes_to_skip -= skipped;
        if self.body_bytes_to_skip > 0 {
            return None;
        }
        let end = received.iter().position(|byte| *byte == b'\n')?;
        Some(received.drain(..=end).collect())
    }

    fn handle_line(&mut self, line: &[u8], answers: &mut NodeAnswers) {
        let text = std::str::from_utf8(line).ok();
        if let Some(head) = node_protocol::parse_answer_head(line.trim_ascii_end()) {
            self.body_bytes_to_skip = head.body_length + BODY_END_BYTES;
            let names_newer_token = text.is_some_and(|text| text.contains("newest="));
            answers.fetches.push(match (head.outcome, names_newer_token) {
                (Outcome::Success, _) => FetchOutcome::Fetched,
                (Outcome::NotSent, true) => FetchOutcome::StaleToken,
                _ => FetchOutcome::Busy,
            });
        } else if let Some(answer) = text.and_then(health_check::parse_answer)
            && let Some(token) = self.outstanding_checks.remove(&answer.tag.sequence)
        {
            answers.checks.push(CheckResult { token, result: answer.result });
        }
    }
}

/// The result of a health check.
pub(super) struct CheckResult {
    /// The fencing token that the check carried.
    pub(super) token: FencingToken,
    /// The node's health, or the newer fencing token that the node has already accepted.
    pub(super) result: Result<HealthState, FencingToken>,
}

/// The answers of a node.
#[derive(Default)]
pub(super) struct NodeAnswers {
    /// Results of health checks.
    pub(super) checks: Vec<CheckResult>,
    /// Outcomes of fetches.
    pub(super) fetches: Vec<FetchOutcome>,
}

/// The listed nodes with their connections. A target is a node, identified by the rank of its name.
pub(super) struct CheckedNodes {
    nodes: BTreeMap<u64, CheckedNode>,
    targets_by_poll_token: BTreeMap<usize, u64>,
    next_poll_token: usize,
    last_sequence: u64,
}

impl CheckedNodes {
    /// Creates an empty set of nodes.
    pub(super) fn new() -> CheckedNodes {
        CheckedNodes {
            nodes: BTreeMap::new(),
            targets_by_poll_token: BTreeMap::new(),
            next_poll_token: FIRST_POLL_TOKEN,
            last_sequence: 0,
        }
    }

    /// Applies a change of the endpoint list: all endpoints for a snapshot, otherwise only the changed ones.
    pub(super) fn update(&mut self, endpoints: &[Endpoint], is_snapshot: bool, registry: &Registry, now: Ns) {
        if is_snapshot {
            let listed: BTreeSet<u64> = endpoints.iter().map(|endpoint| rank(&endpoint.name)).collect();
            let gone: Vec<u64> =
                self.nodes.keys().copied().filter(|target| !listed.contains(target)).collect();
            for target in gone {
                self.remove(target, registry, now);
            }
        }
        for endpoint in endpoints {
            let target = rank(&endpoint.name);
            if endpoint.state == EndpointState::Gone {
                self.remove(target, registry, now);
            } else if let Some(node) = self.nodes.get_mut(&target) {
                node.connection.set_address(endpoint.address, registry, now);
            } else {
                self.add(target, endpoint);
            }
        }
    }

    fn add(&mut self, target: u64, endpoint: &Endpoint) {
        let poll_token = self.next_poll_token;
        self.next_poll_token += 1;
        self.targets_by_poll_token.insert(poll_token, target);
        let node = CheckedNode {
            name: endpoint.name.clone(),
            poll_token,
            connection: OutboundConnection::new(endpoint.address),
            outstanding_checks: BTreeMap::new(),
            body_bytes_to_skip: 0,
        };
        self.nodes.insert(target, node);
    }

    fn remove(&mut self, target: u64, registry: &Registry, now: Ns) {
        if let Some(mut removed) = self.nodes.remove(&target) {
            removed.connection.close(registry, now);
            self.targets_by_poll_token.remove(&removed.poll_token);
        }
    }

    /// Returns the targets of all nodes.
    pub(super) fn targets(&self) -> BTreeSet<u64> {
        self.nodes.keys().copied().collect()
    }

    /// Returns a node's name in the endpoint list.
    pub(super) fn name(&self, target: u64) -> Option<&str> {
        self.nodes.get(&target).map(|node| node.name.as_str())
    }

    /// Returns the node whose connection has this poll token.
    pub(super) fn target_of(&self, poll_token: usize) -> Option<u64> {
        self.targets_by_poll_token.get(&poll_token).copied()
    }

    /// Sends a health check.
    pub(super) fn send_check(&mut self, target: u64, token: FencingToken, registry: &Registry, now: Ns) {
        let Some(node) = self.nodes.get_mut(&target) else { return };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        node.outstanding_checks.insert(sequence, token);
        let line = health_check::check_request(HealthCheckTag { token, sequence });
        node.send(&line, registry, now);
    }

    /// Sends a fetch request. `build_line` builds its line from its tag.
    pub(super) fn send_fetch(
        &mut self,
        target: u64,
        token: FencingToken,
        build_line: impl FnOnce(HealthCheckTag) -> String,
        registry: &Registry,
        now: Ns,
    ) {
        let Some(node) = self.nodes.get_mut(&target) else { return };
        self.last_sequence += 1;
        let line = build_line(HealthCheckTag { token, sequence: self.last_sequence });
        node.send(&line, registry, now);
    }

    /// Writes unsent bytes once the connection is writable.
    pub(super) fn on_writable(&mut self, target: u64, registry: &Registry, now: Ns) {
        if let Some(node) = self.nodes.get_mut(&target)
            && !node.connection.write(registry, now)
        {
            node.on_connection_lost();
        }
    }

    /// Reads the answers that have arrived. Returns no answers if the connection has ended.
    pub(super) fn on_readable(&mut self, target: u64, registry: &Registry, now: Ns) -> NodeAnswers {
        let mut answers = NodeAnswers::default();
        let Some(node) = self.nodes.get_mut(&target) else { return answers };
        if !node.connection.read(registry, now, MAX_RECEIVED_BYTES) {
            node.on_connection_lost();
            return answers;
        }
        while let Some(line) = node.next_line() {
            node.handle_line(&line, &mut answers);
        }
        if node.outstanding_checks.is_empty() {
            node.connection.on_all_answered();
        }
        answers
    }

    /// Closes the connections on which an answer is overdue.
    pub(super) fn close_stuck(&mut self, registry: &Registry, now: Ns) {
        for node in self.nodes.values_mut().filter(|node| node.connection.is_stuck(now)) {
            node.connection.close(registry, now);
            node.on_connection_lost();
        }
    }
}
