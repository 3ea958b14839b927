//! Plain values that go in and out of the decision module.

/// Whole nanoseconds.
pub type Ns = u64;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub zone: usize,
    /// This director's number among all of them.
    pub number: usize,
    /// Directors by zone.
    pub directors: Vec<usize>,
    pub object_kinds: Vec<ObjectKind>,
    pub parent_kind: Option<usize>,
    pub origin_kind: usize,
    pub follow_list: bool,
    pub cancels: bool,
    pub second_copies: bool,
    pub pauses: bool,
    pub longest_pause: Ns,
    pub most_sends: usize,
    pub cold_from: f64,
    pub warm_after: Ns,
    pub fall_multiple: f64,
    pub parent_cold_from: f64,
    pub parent_warm_after: Ns,
    pub parent_fall_multiple: f64,
    pub stream_kb_per_s: f64,
    pub direct: bool,
    pub joins: bool,
    pub purge_cleared: Ns,
    pub tick: Ns,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ObjectKind {
    pub latency_budget: Ns,
    /// The budget grows by this multiple of the sending time.
    pub budget_stretch: Option<f64>,
    pub utility: f64,
    pub effect: Effect,
    /// 0: good until purged.
    pub fresh: Ns,
    /// How long past its fresh time a copy may serve.
    pub grace: Ns,
    pub parts: bool,
    /// Never kept; runs at the origin.
    pub written: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    Deduplicated { within: Within, memory: Ns },
    SideEffecting,
}

/// The nodes that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Within {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum State {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the list of nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    pub node: usize,
    /// The order in which all directors sort the nodes.
    pub rank: u64,
    pub zone: usize,
    pub machine: usize,
    pub cell: usize,
    pub started: Ns,
    pub state: State,
    /// The part of its places in the pie that it does not take, of 256: its slice while a hierarchy moves.
    pub withheld: u16,
}

#[derive(Clone, Debug)]
pub struct Lookup {
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub kind: usize,
    /// 0: not told.
    pub size_kb: f64,
    pub arrived: Ns,
    pub deadline: Ns,
    pub repeat: bool,
    pub write: bool,
    pub sends: Vec<Sent>,
}

#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub node: usize,
    pub source: Option<usize>,
    pub at: Ns,
    pub result: Option<Outcome>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Satisfied,
    Error,
    Full,
    TimedOut,
    Unconnected,
    Broken,
    Cancelled,
    NeverSent,
    Miss,
}

/// A load report, as far as it says so: how busy the node is, and how full its location's link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub busy: Option<f64>,
    pub link: Option<f64>,
}

/// What one send asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Send {
    pub node: usize,
    /// Where a miss is filled from; none: no fill.
    pub source: Option<usize>,
    pub time_out: Ns,
    /// Its first byte is not to leave at this time or later, however long it waits for a connection.
    pub begin_by: Ns,
    /// The oldest copy that will do; none: the kind's fresh time.
    pub oldest: Option<Ns>,
    pub join: bool,
    pub renew: bool,
    /// 0: pass through; 1 to 3: the rank at which the copy is kept.
    pub keep: u8,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Route {
    Send(Send),
    NotYet,
    Nack { pause: Ns },
    Fail,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// Satisfied: call off what is still out where that is allowed.
    Done { call_off: bool },
    /// Ask again where to send it.
    Again,
    /// Another send is still out.
    Wait,
}

/// The order in which all directors sort the nodes: by name alone (FNV-1a).
pub fn rank(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
