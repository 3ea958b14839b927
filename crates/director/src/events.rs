//! The events that all other threads send to the dispatcher, and the types that they contain.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sablecross::{LoadReport, Ns, Outcome};

use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::DiscoveryEvent;
use crate::memory_budget::Body;

/// The number of a client connection. Numbers are never reused.
pub type ClientId = u64;

/// The number of a connection to a node. Numbers are never reused.
pub type NodeConnectionId = u64;

/// The dispatcher's number of a request in flight. Numbers increase and are never reused.
pub type RequestKey = u64;

/// The id of a request, 16 hex digits. It is the same from the client to the nodes.
pub type RequestId = [u8; 16];

/// A call on a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallId {
    /// The number that the client gave the call.
    pub number: u32,
    /// Distinguishes calls with the same number, because a client may reuse a number.
    pub generation: u64,
}

/// Tells other threads that a request or an attempt is cancelled, before the events and commands to that effect arrive.
#[derive(Clone, Debug, Default)]
pub struct CancellationFlag(Arc<AtomicBool>);

impl CancellationFlag {
    /// Sets the flag. It is never reset.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Whether the flag is set.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A client's request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The connection on which it arrived.
    pub client: ClientId,
    /// The call by which the client sent it.
    pub call: CallId,
    /// Set once the client has cancelled the request or has disconnected.
    pub cancellation: CancellationFlag,
    /// Its id in messages with clients and nodes.
    pub request_id: RequestId,
    /// The router's index of its request class.
    pub class: usize,
    /// The requested object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The object's group, by which the object may be purged.
    pub group: u32,
    /// The size of the object in KB, or 0 if it is unknown.
    pub size_kb: f64,
    /// The tag of the copy that the client holds.
    pub client_tag: Option<Box<str>>,
    /// The key by which nodes recognize a repeat of a deduplicated request.
    pub idempotency_key: Option<Box<str>>,
    /// Whether the client has marked it as a repeat of an earlier request.
    pub is_client_retry: bool,
    /// The body that is sent to the node.
    pub body: Arc<Body>,
    /// When it arrived, or the earliest time at which it may have arrived.
    pub arrived_at: Ns,
    /// How long its client waits for an answer, from `arrived_at` on.
    pub time_budget: Ns,
}

/// A copy as a node served it.
#[derive(Debug)]
pub struct CachedCopy {
    /// Its tag; empty if the node gave none.
    pub tag: Box<str>,
    /// `None` if the copy that the client holds is current.
    pub body: Option<Arc<Body>>,
}

/// A node's answer to an attempt.
#[derive(Debug)]
pub struct AttemptEnded {
    /// The request of the attempt.
    pub request_id: RequestId,
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the node served a cached copy, if it reports that.
    pub is_cache_hit: Option<bool>,
    /// The node's load report.
    pub load: Option<LoadReport>,
    /// The copy, if the attempt succeeded.
    pub copy: Option<CachedCopy>,
    /// When the answer was complete.
    pub ended_at: Ns,
}

/// How a connection to a node was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionLoss {
    /// It was never established.
    Unreachable,
    /// It could not be established because this machine lacks a resource, which does not count against the node.
    LocalShortage,
    /// It was established, and then lost.
    Broken,
}

/// An event for the dispatcher.
pub enum Event {
    /// A client has requested an object.
    Request(Box<IncomingRequest>),
    /// A call whose number is known, but from which no request can be made.
    Unusable {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
        /// Whether there is no memory for its body. Otherwise its content is invalid.
        is_overload: bool,
    },
    /// A client asks whether the director is ready for requests.
    HealthCheck {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
    },
    /// A client has cancelled a call.
    Cancelled {
        /// The connection.
        client: ClientId,
        /// The number that the client gave the call. A call that has this number now arrived before the cancellation.
        call: u32,
    },
    /// A client connection has ended. No answers are needed on it.
    ClientDisconnected {
        /// The connection.
        client: ClientId,
    },
    /// A node has answered an attempt.
    AttemptEnded {
        /// The connection.
        connection: NodeConnectionId,
        /// How the attempt ended.
        result: Box<AttemptEnded>,
    },
    /// A connection to a node has ended.
    ConnectionLost {
        /// The connection.
        connection: NodeConnectionId,
        /// How it was lost.
        loss: ConnectionLoss,
        /// The requests whose attempts have been written, at least in part, and have not ended.
        begun_requests: BTreeSet<RequestId>,
    },
    /// An attempt expired, was withdrawn or lost its client before any of it was written, and is never sent.
    AttemptNotSent {
        /// The connection.
        connection: NodeConnectionId,
        /// The request of the attempt.
        request_id: RequestId,
    },
    /// A discovery event.
    Discovery(DiscoveryEvent),
    /// Another director, or an operator, has made a coordination call.
    PeerCalled {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
        /// The encoded messages.
        body: Vec<u8>,
    },
    /// The coordination agent has answered a coordination call.
    PeerCallAnswered {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
        /// The encoded replies, or `None` if the call can't be answered.
        body: Option<Vec<u8>>,
    },
    /// The coordination settings were reloaded.
    CoordinationReloaded(Box<CoordinationSettings>),
    /// The load that recent health checks of any director have found, by the names of nodes.
    HealthReports(Vec<(String, LoadReport)>),
    /// The signal to stop was received.
    Shutdown,
    /// All client connections have ended, and no more are accepted.
    ClientsFinished,
    /// The signal to log the counters was received.
    LogCounters,
    /// An essential thread, without which the director can't serve, has ended. Contains its name.
    ThreadEnded(&'static str),
}
