//! Where the client side and the node side meet: plain values, and the one queue that leads to the desk.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sablecross::{LoadReport, Ns, Outcome};

use crate::coordination_settings::CoordinationSettings;
use crate::discovery_event::DiscoveryEvent;
use crate::memory_budget::Body;

/// A client's connection, a connection to a node.
pub type ClientId = u64;
pub type NodeConnectionId = u64;

/// The dispatcher's number of a request in flight. Numbers rise, and none is used twice.
pub type RequestKey = u64;

/// One request on a client's connection: its number, and the use of it, as a client may use a number again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallId {
    pub number: u32,
    pub generation: u64,
}

/// The word, of a client that has gone or cancelled or of the desk, that something is not wanted any more: it is
/// ahead of the events and orders that say so.
#[derive(Clone, Debug, Default)]
pub struct CancellationFlag(Arc<AtomicBool>);

impl CancellationFlag {
    pub fn cancel(&self) {
        self.0.store(true, Ordering::Release);
    }

    pub fn is_cancelled(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The 16 digits that name a lookup all its way.
pub type RequestId = [u8; 16];

/// What a client asks for.
#[derive(Debug)]
pub struct IncomingRequest {
    pub client: ClientId,
    pub call: CallId,
    pub cancellation: CancellationFlag,
    pub request_id: RequestId,
    pub class: usize,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub size_kb: f64,
    /// The tag of the copy that the client holds.
    pub client_tag: Option<Box<str>>,
    /// The mark by which nodes know a repeat of a deduplicated lookup.
    pub idempotency_key: Option<Box<str>>,
    pub is_client_retry: bool,
    pub body: Arc<Body>,
    pub arrived_at: Ns,
    pub budget: Ns,
}

/// A copy as a node gave it out.
#[derive(Debug)]
pub struct CachedCopy {
    pub tag: Box<str>,
    /// None: the client's copy is the one.
    pub body: Option<Arc<Body>>,
}

/// How a node ended a send.
#[derive(Debug)]
pub struct AttemptEnded {
    pub request_id: RequestId,
    pub outcome: Outcome,
    pub is_cache_hit: Option<bool>,
    pub load: Option<LoadReport>,
    pub copy: Option<CachedCopy>,
    pub ended_at: Ns,
}

/// How a connection to a node was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionLoss {
    /// It never came up.
    Unreachable,
    /// It could not be made for want of something on this machine, which says nothing of the node.
    LocalShortage,
    /// It had come up.
    Broken,
}

/// All that the desk hears of.
pub enum Event {
    Request(Box<IncomingRequest>),
    /// An id is known, but what was asked can't be used, or there is no room for it.
    Unusable {
        client: ClientId,
        call: CallId,
        is_overload: bool,
    },
    HealthCheck {
        client: ClientId,
        call: CallId,
    },
    Cancelled {
        client: ClientId,
        /// Its number; what has it now, if anything, came before.
        call: u32,
    },
    ClientDisconnected {
        client: ClientId,
    },
    AttemptEnded {
        connection: NodeConnectionId,
        result: Box<AttemptEnded>,
    },
    /// A connection to a node is over; `begun`: what of it is written, if only in part, and not ended.
    ConnectionLost {
        connection: NodeConnectionId,
        loss: ConnectionLoss,
        begun_requests: BTreeSet<RequestId>,
    },
    /// A send was not begun to be written in its time, or after it was withdrawn, and never will be.
    AttemptNotSent {
        connection: NodeConnectionId,
        request_id: RequestId,
    },
    Discovery(DiscoveryEvent),
    /// Another member of the fleet calls; what it is answered, if anything.
    PeerCalled {
        client: ClientId,
        call: CallId,
        body: Vec<u8>,
    },
    PeerCallAnswered {
        client: ClientId,
        call: CallId,
        body: Option<Vec<u8>>,
    },
    /// The settings of the duties were read again.
    CoordinationReloaded(Box<CoordinationSettings>),
    /// What probes of any member found lately, by the names of nodes.
    HealthReports(Vec<(String, LoadReport)>),
    Shutdown,
    /// All connections of clients have ended, and no more come.
    ClientsFinished,
    LogCounters,
    ThreadEnded(&'static str),
}
