//! Plain values that go in and out of the decision module.

/// Whole nanoseconds.
pub type Ns = u64;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub zone: usize,
    /// This director's number among all of them.
    pub director_index: usize,
    /// Directors by zone.
    pub directors_per_zone: Vec<usize>,
    pub request_classes: Vec<RequestClass>,
    pub parent_kind: Option<usize>,
    pub origin_kind: usize,
    pub polls_endpoint_list: bool,
    pub may_cancel: bool,
    pub may_hedge: bool,
    pub may_send_retry_after: bool,
    pub max_retry_after: Ns,
    pub max_attempts: usize,
    pub slow_start_initial_share: f64,
    pub slow_start_window: Ns,
    pub collapse_multiple: f64,
    pub parent_slow_start_initial_share: f64,
    pub parent_slow_start_window: Ns,
    pub parent_collapse_multiple: f64,
    pub stream_kb_per_s: f64,
    pub may_bypass_cache: bool,
    pub may_coalesce: bool,
    pub purge_propagation_window: Ns,
    pub tick: Ns,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub latency_objective: Ns,
    /// The budget grows by this multiple of the sending time.
    pub latency_objective_stretch: Option<f64>,
    pub priority_weight: f64,
    pub effect: Effect,
    /// 0: good until purged.
    pub fresh_for: Ns,
    /// How long past its fresh time a copy may serve.
    pub stale_for: Ns,
    pub is_multipart: bool,
    /// Never kept; runs at the origin.
    pub is_uncacheable: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    Deduplicated { within: DeduplicationScope, window: Ns },
    SideEffecting,
}

/// The nodes that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the list of nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointUpdate {
    pub node: usize,
    /// The order in which all directors sort the nodes.
    pub rank: u64,
    pub zone: usize,
    pub machine_kind: usize,
    pub cell: usize,
    pub started_at: Ns,
    pub state: EndpointState,
    /// The part of its places in the pie that it does not take, of 256: its slice while a hierarchy moves.
    pub withheld_virtual_nodes: u16,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub class: usize,
    /// 0: not told.
    pub size_kb: f64,
    pub arrived_at: Ns,
    pub deadline: Ns,
    pub is_client_retry: bool,
    pub is_write: bool,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub node: usize,
    pub source: Option<usize>,
    pub sent_at: Ns,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Success,
    Error,
    Overloaded,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NotSent,
    Miss,
}

/// A load report, as far as it says so: how busy the node is, and how full its location's link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub cpu_utilization: Option<f64>,
    pub link_utilization: Option<f64>,
}

/// What one send asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptSpec {
    pub node: usize,
    /// Where a miss is filled from; none: no fill.
    pub source: Option<usize>,
    pub timeout: Ns,
    /// Its first byte is not to leave at this time or later, however long it waits for a connection.
    pub begin_by: Ns,
    /// The oldest copy that will do; none: the kind's fresh time.
    pub max_age: Option<Ns>,
    pub coalesce: bool,
    pub refresh: bool,
    /// 0: pass through; 1 to 3: the rank at which the copy is kept.
    pub retention_rank: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    Attempt(AttemptSpec),
    Wait,
    Reject { retry_after: Ns },
    Fail,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Satisfied: call off what is still out where that is allowed.
    Done { cancel_outstanding: bool },
    /// Ask again where to send it.
    Retry,
    /// Another send is still out.
    Wait,
}

/// The order in which all directors sort the nodes: by name alone (FNV-1a).
pub fn rank(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
