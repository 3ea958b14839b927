//! The plain data types that the router takes and returns.
//!
//! All times are in nanoseconds ([`Ns`]) on one monotonic clock that the caller chooses, and all sizes are in
//! kilobytes. The caller assigns small indices to nodes, zones, machine kinds and request classes.

/// A time or a duration in whole nanoseconds.
pub type Ns = u64;

pub(crate) const MILLISECOND: Ns = 1_000_000;
pub(crate) const SECOND: Ns = 1_000 * MILLISECOND;

/// The settings of one director, as the operators of the deployment define them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this director.
    pub zone: usize,
    /// The index of this director among all directors of the deployment, from 0.
    pub director_index: usize,
    /// The number of directors in each zone.
    pub directors_per_zone: Vec<usize>,
    /// The request classes, by index.
    pub request_classes: Vec<RequestClass>,
    /// The machine kind of parents; none where the deployment has no parents.
    pub parent_kind: Option<usize>,
    /// The machine kind of the origin.
    pub origin_kind: usize,
    /// Whether changes of the endpoint list are sent only on request, so that the director has to subscribe to them.
    pub must_subscribe_to_endpoint_list: bool,
    /// Whether outstanding attempts may be cancelled: once a request is answered, or before nodes stop recognising
    /// repeats of it.
    pub may_cancel: bool,
    /// Whether one request may have two attempts outstanding at the same time.
    pub may_hedge: bool,
    /// Whether clients honour the retry delay that a rejection names.
    pub may_send_retry_after: bool,
    /// The longest retry delay that clients honour.
    pub max_retry_after: Ns,
    /// The maximum number of attempts for one request.
    pub max_attempts: usize,
    /// The share of its full capacity that a cache has when it starts.
    pub slow_start_initial_share: f64,
    /// The longest time that a cache takes to reach its full capacity; 0 if caches start at full capacity.
    pub slow_start_window: Ns,
    /// A cold cache collapses under a load of this multiple of its present capacity.
    pub collapse_multiple: f64,
    /// The share of its full capacity that a parent has when it starts.
    pub parent_slow_start_initial_share: f64,
    /// The longest time that a parent takes to reach its full capacity; 0 if parents start at full capacity.
    pub parent_slow_start_window: Ns,
    /// A cold parent collapses under a load of this multiple of its present capacity.
    pub parent_collapse_multiple: f64,
    /// The rate of one transfer to a client, in kilobytes per second; 0 if unknown.
    pub stream_kb_per_s: f64,
    /// Whether attempts may bypass the caches and go directly to parents.
    pub may_bypass_cache: bool,
    /// Whether a cache can let a request join a fill of the same object that is already in progress.
    pub may_coalesce: bool,
    /// How long after a purge copies that are older than the purge may still exist.
    pub purge_propagation_window: Ns,
    /// The resolution of the caller's timers. The fixed margins before deadlines are multiples of it; the margin for
    /// wakeup delays is not.
    pub tick: Ns,
}

/// The properties that all requests of one class share.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The latency up to which an answer has its full value.
    pub latency_objective: Ns,
    /// The objective is extended by this multiple of the request's predicted transfer time.
    pub latency_objective_stretch: Option<f64>,
    /// The value of an answer, relative to the other classes.
    pub priority_weight: f64,
    /// What happens if the request is executed more than once.
    pub effect: Effect,
    /// How long a copy stays fresh; 0 if it stays fresh until it is purged.
    pub fresh_for: Ns,
    /// How long after the end of its fresh time a copy may still be served.
    pub stale_for: Ns,
    /// Whether objects of this class consist of several parts, each of which is requested and cached separately.
    pub is_multipart: bool,
    /// Whether answers are never cached; such requests are executed at the origin.
    pub is_uncacheable: bool,
}

/// What happens if a request is executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// No further effect: the request may be repeated any number of times.
    Idempotent,
    /// Nodes recognise a repeated request and drop it.
    Deduplicated {
        /// The nodes that recognise repeats of each other's requests.
        within: DeduplicationScope,
        /// How long after the first execution a node recognises a repeat.
        window: Ns,
    },
    /// The effect happens again, so the request must not be repeated.
    SideEffecting,
}

/// The nodes that recognise repeats of each other's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeduplicationScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell of a zone.
    Cell,
}

/// The state of a node according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointState {
    /// The node accepts requests.
    #[default]
    Ready,
    /// The node finishes its outstanding requests and must not get new ones.
    Draining,
    /// The node no longer exists.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointUpdate {
    /// The caller's index of the node.
    pub node: usize,
    /// The key by which all directors sort the nodes and place them on the hash ring; see [`rank`](crate::rank).
    pub rank: u64,
    /// The zone of the node.
    pub zone: usize,
    /// The machine kind, which determines whether the node is a cache, a parent or the origin.
    pub machine_kind: usize,
    /// The cell within the zone.
    pub cell: usize,
    /// When the node started; 0 if that was so long ago that the node has its full capacity.
    pub started_at: Ns,
    /// Whether the node accepts requests.
    pub state: EndpointState,
    /// How many of its [`VIRTUAL_NODES`](crate::VIRTUAL_NODES) the node leaves to other members. This reduces its
    /// share of the ring while a hierarchy version is rolled out.
    pub withheld_virtual_nodes: u16,
}

/// A client's request with the attempts that were made for it so far.
#[derive(Clone, Debug)]
pub struct Request {
    /// The requested object.
    pub object: u64,
    /// The requested part of the object, from 0.
    pub part: u32,
    /// The group of the object. A purge may name a whole group.
    pub group: u32,
    /// The index of its [`RequestClass`].
    pub class: usize,
    /// The size of the part, in kilobytes; 0 if unknown.
    pub size_kb: f64,
    /// When the request arrived.
    pub arrived_at: Ns,
    /// When the client stops waiting for an answer, or earlier by a margin that the caller keeps.
    pub deadline: Ns,
    /// Whether the client marked the request as a retry.
    pub is_client_retry: bool,
    /// Whether the request is a write, whose answer must not be cached.
    pub is_write: bool,
    /// All attempts, in the order in which they were made.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The node that the attempt was sent to.
    pub node: usize,
    /// The node from which a miss was to be filled.
    pub source: Option<usize>,
    /// When the attempt was made.
    pub sent_at: Ns,
    /// How the attempt ended; none while it is outstanding.
    pub outcome: Option<Outcome>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The client was answered.
    Success,
    /// The node failed to serve the request.
    Error,
    /// The node, or the source behind it, rejected the attempt for lack of capacity, without executing it.
    Overloaded,
    /// No answer came before the timeout.
    TimedOut,
    /// No connection could be made, so the attempt was not executed.
    ConnectFailed,
    /// The connection was lost while the attempt was outstanding.
    ConnectionLost,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt never left this director, so it was not executed.
    NotSent,
    /// The node had no copy, and the attempt named no source to fill one from.
    Miss,
}

/// The load that a node reported, where 1.0 is full utilization. A value is none if the report does not contain it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The utilization of the node's processor cores.
    pub cpu_utilization: Option<f64>,
    /// The utilization of the network link of the node's location.
    pub link_utilization: Option<f64>,
}

/// An attempt that is to be made, with what it asks of the node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The node to send it to.
    pub node: usize,
    /// The node from which a miss is filled; none if a miss must not be filled.
    pub source: Option<usize>,
    /// How long to wait for the outcome.
    pub timeout: Ns,
    /// The time by which the first byte must be sent, even if the attempt has to wait for a connection.
    pub begin_by: Ns,
    /// The maximum age of a copy that may be served; none if the class's fresh time decides.
    pub max_age: Option<Ns>,
    /// Whether the attempt may join a fill of the same object that is already in progress.
    pub coalesce: bool,
    /// Whether a copy that is past its fresh time is refreshed in the background.
    pub refresh: bool,
    /// 0 if the answer is passed through uncached, 1 to 3 if it is cached. Copies of a higher rank are kept longer.
    pub retention_rank: u8,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// Make this attempt. The router already counts it as made.
    Attempt(AttemptSpec),
    /// Make no further attempt now, because one is outstanding.
    Wait,
    /// Cancel all outstanding attempts: a node that begins one of them from now on could repeat the effect of
    /// another.
    CancelOutstanding,
    /// End all outstanding attempts as timed out: the answer has to be sent now to arrive before the deadline.
    TimeOutOutstanding,
    /// Reject the request. This is returned only if a retry that the client makes right after the named delay cannot
    /// repeat an effect of the request.
    Reject {
        /// How long the client is asked to wait before it retries; 0 if it is not asked to wait.
        retry_after: Ns,
    },
    /// Answer with a failure, because the request may have taken effect and a retry by the client could repeat the
    /// effect.
    Fail,
}

/// What to do after the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// The request is answered.
    Done {
        /// Whether to cancel the request's other outstanding attempts.
        cancel_outstanding: bool,
    },
    /// Call [`Router::route`](crate::Router::route) again.
    Retry,
    /// Wait, because another attempt is outstanding.
    Wait,
}
