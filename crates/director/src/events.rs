//! The events that all other threads send to the dispatcher, and the values in them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sablecross::{LoadReport, Ns, Outcome};

use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::DiscoveryEvent;
use crate::memory_budget::Body;

/// The number of a client's connection. None is used twice.
pub type ClientId = u64;

/// The number of a connection to a node. None is used twice.
pub type NodeConnectionId = u64;

/// The dispatcher's number of a request in flight. Numbers rise, and none is used twice.
pub type RequestKey = u64;

/// The 16 hex digits that name a request all its way.
pub type RequestId = [u8; 16];

/// One call on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallId {
    /// The client's number of the call.
    pub number: u32,
    /// Tells the uses of a number apart, as a client may use one again.
    pub generation: u64,
}

/// Shows other threads that something is cancelled, ahead of the events and commands to that effect.
#[derive(Clone, Debug, Default)]
pub struct CancellationFlag(Arc<AtomicBool>);

impl CancellationFlag {
    /// Sets the flag for good.
    pub fn cancel(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Whether it is set.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A client's request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The connection on which it came.
    pub client: ClientId,
    /// The call that it is.
    pub call: CallId,
    /// Set once the client has cancelled it or has gone.
    pub cancellation: CancellationFlag,
    /// Its name towards clients and nodes.
    pub request_id: RequestId,
    /// The router's index of its class.
    pub class: usize,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The object's group, by which it may be purged.
    pub group: u32,
    /// The size of the object, in KB; 0: not known.
    pub size_kb: f64,
    /// The tag of the copy that the client holds.
    pub client_tag: Option<Box<str>>,
    /// By which nodes know a repeat of a deduplicated request.
    pub idempotency_key: Option<Box<str>>,
    /// The client has marked it as a repeat of an earlier request.
    pub is_client_retry: bool,
    /// The body that goes along to the node.
    pub body: Arc<Body>,
    /// When it arrived, or the earliest time at which it may have.
    pub arrived_at: Ns,
    /// How long its client waits from then on.
    pub budget: Ns,
}

/// A copy as a node served it.
#[derive(Debug)]
pub struct CachedCopy {
    /// Its tag; empty if the node gave none.
    pub tag: Box<str>,
    /// None if the copy that the client holds is the current one.
    pub body: Option<Arc<Body>>,
}

/// How a node ended an attempt.
#[derive(Debug)]
pub struct AttemptEnded {
    /// The request of the attempt.
    pub request_id: RequestId,
    /// The outcome.
    pub outcome: Outcome,
    /// Whether a cached copy was served, where the node reports it.
    pub is_cache_hit: Option<bool>,
    /// The node's load report.
    pub load: Option<LoadReport>,
    /// The copy, if it was a success.
    pub copy: Option<CachedCopy>,
    /// When all of the answer had come.
    pub ended_at: Ns,
}

/// How a connection to a node was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionLoss {
    /// It was never established.
    Unreachable,
    /// It could not be made, for want of something on this machine, which does not count against the node.
    LocalShortage,
    /// It had been established.
    Broken,
}

/// A message to the dispatcher.
pub enum Event {
    /// A client asks for an object.
    Request(Box<IncomingRequest>),
    /// The number of a call is known, but no request can be made of it.
    Unusable {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
        /// Whether there is no room for it; else it can't be used.
        is_overload: bool,
    },
    /// A client asks whether the director is ready for requests.
    HealthCheck {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
    },
    /// A client does not want the answer to a call any more.
    Cancelled {
        /// The connection.
        client: ClientId,
        /// The client's number of the call; the call that has it now, if any, came before.
        call: u32,
    },
    /// A connection of a client is over: nothing is owed on it.
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
    /// A connection to a node is over.
    ConnectionLost {
        /// The connection.
        connection: NodeConnectionId,
        /// How it was lost.
        loss: ConnectionLoss,
        /// The requests whose attempts are written, if only in part, and not ended.
        begun_requests: BTreeSet<RequestId>,
    },
    /// An attempt was not begun to be written in its time, or before it was withdrawn, and never will be.
    AttemptNotSent {
        /// The connection.
        connection: NodeConnectionId,
        /// The request of the attempt.
        request_id: RequestId,
    },
    /// An event of discovery.
    Discovery(DiscoveryEvent),
    /// Another director calls on behalf of the fleet.
    PeerCalled {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
        /// Its messages.
        body: Vec<u8>,
    },
    /// The coordination's answer to a call of another director.
    PeerCallAnswered {
        /// The connection.
        client: ClientId,
        /// The call.
        call: CallId,
        /// The replies; none if the call can't be answered.
        body: Option<Vec<u8>>,
    },
    /// The coordination's settings were read again.
    CoordinationReloaded(Box<CoordinationSettings>),
    /// What health checks of any director found lately, by the names of nodes.
    HealthReports(Vec<(String, LoadReport)>),
    /// The signal to stop came.
    Shutdown,
    /// All connections of clients have ended, and no more are accepted.
    ClientsFinished,
    /// The signal to log the counters came.
    LogCounters,
    /// A thread without which the director can't serve has ended; its name.
    ThreadEnded(&'static str),
}
