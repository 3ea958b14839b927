//! The plain values that go into and come out of the decision module.
//!
//! All times are nanoseconds ([`Ns`]) on one monotonic clock of the caller's choice, all sizes kilobytes. Nodes, zones,
//! machine kinds and request classes are known by small indices that the caller assigns.

/// A time or a duration in whole nanoseconds.
pub type Ns = u64;

pub(crate) const MILLISECOND: Ns = 1_000_000;
pub(crate) const SECOND: Ns = 1_000 * MILLISECOND;

/// What the operators' deployment prescribes for one director.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this director.
    pub zone: usize,
    /// The position of this director among all directors of the deployment, from 0.
    pub director_index: usize,
    /// How many directors run in each zone.
    pub directors_per_zone: Vec<usize>,
    /// The request classes, by index.
    pub request_classes: Vec<RequestClass>,
    /// The machine kind of parents; none where the deployment has no parents.
    pub parent_kind: Option<usize>,
    /// The machine kind of the origin.
    pub origin_kind: usize,
    /// Whether changes of the endpoint list have to be asked for.
    pub polls_endpoint_list: bool,
    /// Whether outstanding attempts may be cancelled once a request is answered.
    pub may_cancel: bool,
    /// Whether one request may have two attempts outstanding at the same time.
    pub may_hedge: bool,
    /// Whether clients honour the delay that a rejection names.
    pub may_send_retry_after: bool,
    /// The longest delay that clients honour.
    pub max_retry_after: Ns,
    /// The most attempts that one request may make.
    pub max_attempts: usize,
    /// The share of its capacity that a cache has at its start.
    pub slow_start_initial_share: f64,
    /// How long a cache takes at most to reach its full capacity; 0: caches start at full capacity.
    pub slow_start_window: Ns,
    /// The multiple of its present capacity at which a cold cache collapses.
    pub collapse_multiple: f64,
    /// The share of its capacity that a parent has at its start.
    pub parent_slow_start_initial_share: f64,
    /// How long a parent takes at most to reach its full capacity; 0: parents start at full capacity.
    pub parent_slow_start_window: Ns,
    /// The multiple of its present capacity at which a cold parent collapses.
    pub parent_collapse_multiple: f64,
    /// The rate of one transfer to a client, in kilobytes a second; 0: unknown.
    pub stream_kb_per_s: f64,
    /// Whether attempts may go to parents and the origin, past the caches.
    pub may_bypass_cache: bool,
    /// Whether a cache can let a request join a fill of the same object that is under way.
    pub may_coalesce: bool,
    /// How long after a purge copies from before it may still exist.
    pub purge_propagation_window: Ns,
    /// The resolution of the caller's timers: deadlines are kept this much early.
    pub tick: Ns,
}

/// What requests of one class have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The latency within which an answer has its full worth.
    pub latency_objective: Ns,
    /// The objective grows by this multiple of the request's own transfer time.
    pub latency_objective_stretch: Option<f64>,
    /// What an answer is worth, relative to other classes.
    pub priority_weight: f64,
    /// What happens if the request is executed more than once.
    pub effect: Effect,
    /// How long a copy is fresh; 0: until it is purged.
    pub fresh_for: Ns,
    /// How long past its fresh time a copy may be served.
    pub stale_for: Ns,
    /// Whether objects of this class consist of several parts, each requested and cached on its own.
    pub is_multipart: bool,
    /// Whether answers are never cached; such requests are executed at the origin.
    pub is_uncacheable: bool,
}

/// What happens if a request is executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: it may be repeated at will.
    Idempotent,
    /// Nodes recognise a repeat and drop it.
    Deduplicated {
        /// Which nodes recognise each other's requests.
        within: DeduplicationScope,
        /// How long after the first execution a repeat is recognised.
        window: Ns,
    },
    /// The effect happens again: it must not be repeated.
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

/// The state of a node as the endpoint list gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It no longer exists.
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
    /// The machine kind, which tells caches, parents and the origin apart.
    pub machine_kind: usize,
    /// The cell within the zone.
    pub cell: usize,
    /// When the node started; 0: long ago.
    pub started_at: Ns,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// How many of its virtual nodes, of [`VIRTUAL_NODES`](crate::VIRTUAL_NODES), it leaves to others: its share of the
    /// ring while a hierarchy version is rolled out.
    pub withheld_virtual_nodes: u16,
}

/// A client's request and the attempts made for it so far.
#[derive(Clone, Debug)]
pub struct Request {
    /// The object that is asked for.
    pub object: u64,
    /// Which part of the object, from 0.
    pub part: u32,
    /// The group of objects, which purges may name.
    pub group: u32,
    /// The index of its [`RequestClass`].
    pub class: usize,
    /// The size of the part; 0: unknown.
    pub size_kb: f64,
    /// When it arrived.
    pub arrived_at: Ns,
    /// When its client gives up.
    pub deadline: Ns,
    /// Whether the client marked it as a retry of its own.
    pub is_client_retry: bool,
    /// Whether it writes, so that its answer must not be cached.
    pub is_write: bool,
    /// All attempts, in the order in which they were made.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The node that it went to.
    pub node: usize,
    /// The node that a miss was to be filled from.
    pub source: Option<usize>,
    /// When it was made.
    pub sent_at: Ns,
    /// How it ended; none while it is outstanding.
    pub outcome: Option<Outcome>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The client was answered.
    Success,
    /// The node failed.
    Error,
    /// The node, or the source behind it, rejected it for want of capacity, without executing it.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made, so it was not executed.
    ConnectFailed,
    /// The connection was lost while it was outstanding.
    ConnectionLost,
    /// It was cancelled.
    Cancelled,
    /// It never left this director, so it was not executed.
    NotSent,
    /// The node had no copy and was not to fill one.
    Miss,
}

/// A node's load report, as far as it names these values; 1.0 is full utilization.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Utilization of the node's processor cores.
    pub cpu_utilization: Option<f64>,
    /// Utilization of the link of the node's location.
    pub link_utilization: Option<f64>,
}

/// What an attempt is to ask of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The node to send it to.
    pub node: usize,
    /// The node that a miss is filled from; none: a miss is not filled.
    pub source: Option<usize>,
    /// How long to wait for its outcome.
    pub timeout: Ns,
    /// The time by which its first byte must have left, however long it waits for a connection.
    pub begin_by: Ns,
    /// The oldest copy that may be served; none: the class's fresh time decides.
    pub max_age: Option<Ns>,
    /// Whether it may join a fill of the same object that is under way.
    pub coalesce: bool,
    /// Whether a copy past its fresh time is renewed in the background.
    pub refresh: bool,
    /// 0: the answer is passed through uncached; 1 to 3: the rank at which it is cached, the highest kept longest.
    pub retention_rank: u8,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// Make this attempt. It counts as made.
    Attempt(AttemptSpec),
    /// Make no further attempt now: one is outstanding.
    Wait,
    /// Cancel all attempts that are outstanding: a node that begins one from now on could repeat the effect of another.
    CancelOutstanding,
    /// End all attempts that are outstanding as timed out: the answer has to leave now to be in time.
    TimeOutOutstanding,
    /// Reject it, which proves to the client that it had no effect.
    Reject {
        /// How long the client is asked to wait before it tries again; 0: it is not asked to.
        retry_after: Ns,
    },
    /// Answer with a failure: it may have had its effect.
    Fail,
}

/// What to do after the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// The request is answered.
    Done {
        /// Whether to cancel its other attempts that are outstanding.
        cancel_outstanding: bool,
    },
    /// Ask where to route it again.
    Retry,
    /// Another attempt is outstanding.
    Wait,
}
