//! Stub caches, parents and origin of an experiment. They keep copies, fill from named sources, collapse under too much
//! load while they are cold, and count fills that arrive at the same node twice or with a path that is too long.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sablecross::parent_position;
use sablecross_hierarchy::fill_path::{FillPaths, check_fill_path};
use sablecross_hierarchy::{Hierarchy, OfferOutcome, VersionHolder};

use crate::clock::unix_ms;
use crate::copies::Copies;
use crate::pull_request::{PullRequest, PullRequestError};
use crate::threads::{lock, spawn};
use crate::trial_state::TrialState;

/// How long the origin works on a request.
const ORIGIN_WORK: Duration = Duration::from_millis(4);
/// How long a cache or parent works on a request.
const NODE_WORK: Duration = Duration::from_millis(1);
/// How long a cold node that collapsed fails every request.
const COLLAPSED_MS: u64 = 2_000;
const FILL_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const FILL_READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The number of bytes in a body after the issue time of the copy.
const BODY_PADDING: usize = 240;

/// The role of a node in the hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Cache,
    Parent,
    Origin,
}

impl Role {
    /// The node type in the endpoint list.
    pub(crate) fn kind(self) -> &'static str {
        match self {
            Role::Cache => "small",
            Role::Parent => "parent",
            Role::Origin => "origin",
        }
    }
}

/// The hierarchy version that a node has applied.
#[derive(Default)]
struct AppliedVersion {
    holder: VersionHolder,
    paths: Arc<FillPaths>,
}

/// The number of requests in the current second of the wall clock.
#[derive(Default)]
struct SecondCount {
    second: u64,
    requests: u64,
}

impl SecondCount {
    fn add(&mut self, now_ms: u64) -> u64 {
        let second = now_ms / 1_000;
        if self.second != second {
            *self = SecondCount { second, requests: 0 };
        }
        self.requests += 1;
        self.requests
    }
}

/// A stub node.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) role: Role,
    trial: Arc<TrialState>,
    max_copies: usize,
    /// Whether the node fills along the path that the director named.
    follows_named_path: bool,
    copies: Mutex<Copies>,
    hierarchy: Mutex<AppliedVersion>,
    idle_connections: Mutex<HashMap<String, Vec<TcpStream>>>,
    /// When the node was last restarted cold, in Unix milliseconds. 0 means never, so that the node is warm.
    cold_since_ms: AtomicU64,
    /// The node fails every request until this time, in Unix milliseconds.
    down_until_ms: AtomicU64,
    /// Requests after this time (Unix milliseconds) are stray, because the node has left the hierarchy. 0 means that it
    /// has not left.
    stray_after_ms: AtomicU64,
    load: Mutex<SecondCount>,
    next_fill: AtomicU64,
}

/// The parts of an attempt that a node needs.
struct Pull {
    tag: String,
    object: u64,
    /// Only copies that are younger than this are accepted. 0 means any age.
    max_age_ms: u64,
    source: Option<String>,
    /// The sources after the first one.
    path: Vec<String>,
    /// The nodes that a fill has passed.
    visited: Vec<String>,
}

impl Pull {
    /// Returns `None` if a numeric field is present but not a number.
    fn from_request(request: &PullRequest) -> Option<Pull> {
        let object = match request.field("key") {
            Some(_) => request.object()?,
            None => 0,
        };
        let max_age_ms = match request.field("within") {
            Some(within) => within.parse().ok()?,
            None => 0,
        };
        Some(Pull {
            tag: request.tag.to_owned(),
            object,
            max_age_ms,
            source: request.source().map(str::to_owned),
            path: request.path(),
            visited: request.visited(),
        })
    }

    fn accepts(&self, issued_ms: u64, now_ms: u64) -> bool {
        self.max_age_ms == 0 || now_ms.saturating_sub(issued_ms) < self.max_age_ms
    }
}

/// The outcome of an attempt.
enum PullOutcome {
    Copy { issued_ms: u64, is_hit: bool },
    Miss,
    Error,
}

impl PullOutcome {
    /// The answer on the wire.
    fn encode(&self, tag: &str) -> String {
        match self {
            PullOutcome::Copy { issued_ms, is_hit } => {
                let how = if *is_hit { "HIT" } else { "MISS" };
                let body = format!("{issued_ms:016x}{:x<BODY_PADDING$}", "");
                let length = body.len();
                format!(
                    "{tag} ACK how={how},entity={issued_ms:016x},issued={issued_ms} {length}\r\n{body}\r\n"
                )
            }
            PullOutcome::Miss => format!("{tag} NOENT - 0\r\n\r\n"),
            PullOutcome::Error => format!("{tag} EIO - 0\r\n\r\n"),
        }
    }
}

/// A node and its address.
pub(crate) struct StartedNode {
    pub(crate) node: Arc<Node>,
    pub(crate) address: SocketAddr,
}

impl Node {
    /// Starts a node that listens on a port of its own until the trial is over.
    pub(crate) fn start(
        name: &str,
        role: Role,
        max_copies: usize,
        follows_named_path: bool,
        trial: &Arc<TrialState>,
    ) -> io::Result<StartedNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let node = Arc::new(Node {
            name: name.into(),
            role,
            trial: Arc::clone(trial),
            max_copies,
            follows_named_path,
            copies: Mutex::default(),
            hierarchy: Mutex::default(),
            idle_connections: Mutex::default(),
            cold_since_ms: AtomicU64::new(0),
            down_until_ms: AtomicU64::new(0),
            stray_after_ms: AtomicU64::new(0),
            load: Mutex::default(),
            next_fill: AtomicU64::new(0),
        });
        let own = Arc::clone(&node);
        spawn(move || own.accept_connections(&listener));
        Ok(StartedNode { node, address })
    }

    /// Offers a hierarchy version. Returns the number and digest of the version that is in force afterwards.
    pub(crate) fn offer(&self, number: u64, version: &Hierarchy) -> (u64, u64) {
        let mut applied = lock(&self.hierarchy);
        if applied.holder.offer(number, version) == OfferOutcome::Accepted {
            applied.paths = Arc::new(FillPaths::from_hierarchy(version));
        }
        (applied.holder.number(), applied.holder.version().map_or(0, Hierarchy::digest))
    }

    /// Counts requests after this time (Unix milliseconds) as stray. `None` means that no request is stray.
    pub(crate) fn set_stray_after(&self, stray_after_ms: Option<u64>) {
        self.stray_after_ms.store(stray_after_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Fails every request for `ms` milliseconds.
    pub(crate) fn fail_for(&self, ms: u64) {
        self.down_until_ms.store(unix_ms() + ms, Ordering::Relaxed);
    }

    pub(crate) fn is_down(&self) -> bool {
        unix_ms() < self.down_until_ms.load(Ordering::Relaxed)
    }

    /// Restarts the node cold and empty. Returns the start time in Unix milliseconds.
    pub(crate) fn restart_cold(&self) -> u64 {
        *lock(&self.copies) = Copies::default();
        let now_ms = unix_ms();
        self.cold_since_ms.store(now_ms, Ordering::Relaxed);
        now_ms
    }

    /// Drops the copy of an object if it was issued before the purge.
    pub(crate) fn purge(&self, object: u64, purged_ms: u64) {
        let mut copies = lock(&self.copies);
        if copies.issued_ms.get(&object).is_some_and(|issued| *issued < purged_ms) {
            copies.issued_ms.remove(&object);
        }
    }

    fn accept_connections(self: &Arc<Node>, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.trial.is_over() {
                return;
            }
            let own = Arc::clone(self);
            spawn(move || {
                // An error means that the peer has ended the connection.
                let _ = own.serve(&stream);
            });
        }
    }

    /// Answers the attempts on one connection, one after another.
    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 || self.trial.is_over() {
                return Ok(());
            }
            let request = match PullRequest::parse(&line) {
                Ok(request) => request,
                Err(PullRequestError::OtherCommand) => continue,
                Err(PullRequestError::Malformed) => return Ok(()),
            };
            let Some(pull) = Pull::from_request(&request) else { return Ok(()) };
            request.skip_body(&mut reader)?;
            let answer = self.answer(&pull).encode(&pull.tag);
            stream.write_all(answer.as_bytes())?;
        }
    }

    fn answer(&self, pull: &Pull) -> PullOutcome {
        let now_ms = unix_ms();
        if self.role == Role::Origin {
            self.trial.count(|second| second.origin_fetches += 1);
            std::thread::sleep(ORIGIN_WORK);
            return PullOutcome::Copy { issued_ms: unix_ms(), is_hit: false };
        }
        if check_fill_path(&self.name, pull.visited.iter().map(String::as_str)).is_err() {
            self.trial.count(|second| second.loops += 1);
            return PullOutcome::Error;
        }
        let stray_after_ms = self.stray_after_ms.load(Ordering::Relaxed);
        if stray_after_ms > 0 && now_ms > stray_after_ms {
            self.trial.count(|second| second.stray_requests += 1);
        }
        if self.is_overloaded(now_ms) {
            return PullOutcome::Error;
        }
        std::thread::sleep(NODE_WORK);
        let copy = lock(&self.copies).issued_ms.get(&pull.object).copied();
        if let Some(issued_ms) = copy.filter(|issued_ms| pull.accepts(*issued_ms, now_ms)) {
            self.trial.count(|second| second.hits += 1);
            return PullOutcome::Copy { issued_ms, is_hit: true };
        }
        self.answer_by_fill(pull)
    }

    fn answer_by_fill(&self, pull: &Pull) -> PullOutcome {
        let Some(source) = self.source(pull) else { return PullOutcome::Miss };
        self.trial.count(|second| second.fills += 1);
        match self.fill(pull, &source) {
            Ok(Some(issued_ms)) => {
                lock(&self.copies).keep(pull.object, issued_ms, self.max_copies);
                PullOutcome::Copy { issued_ms, is_hit: false }
            }
            Ok(None) | Err(_) => PullOutcome::Error,
        }
    }

    /// Returns whether the node is down or collapses under this request, which counts unless the node is down. A cold
    /// node collapses under load at a multiple of its reduced capacity.
    fn is_overloaded(&self, now_ms: u64) -> bool {
        if now_ms < self.down_until_ms.load(Ordering::Relaxed) {
            return true;
        }
        let requests = lock(&self.load).add(now_ms);
        let Some(limit) = self.collapse_limit(now_ms) else { return false };
        if (requests as f64) < limit {
            return false;
        }
        self.trial.count(|second| second.collapses += 1);
        self.down_until_ms.store(now_ms + COLLAPSED_MS, Ordering::Relaxed);
        true
    }

    /// The load at which the node collapses, in requests per second. `None` if the node is warm or not in the applied
    /// hierarchy version.
    fn collapse_limit(&self, now_ms: u64) -> Option<f64> {
        let cold_since_ms = self.cold_since_ms.load(Ordering::Relaxed);
        if cold_since_ms == 0 {
            return None;
        }
        let applied = lock(&self.hierarchy);
        let hierarchy = applied.holder.version()?;
        let node = hierarchy.get(hierarchy.node_id(&self.name)?)?;
        let rules = &hierarchy.rules;
        let age = now_ms.saturating_sub(cold_since_ms) as f64 * 1e6 / rules.slow_start_window.max(1) as f64;
        let initial = rules.slow_start_initial_share;
        let share = (initial + (1.0 - initial) * age).min(1.0);
        (share < 1.0).then_some(node.capacity * share * rules.collapse_multiple)
    }

    /// The source that the request named, or else, for a parent, the source of the applied hierarchy version. A cache
    /// fills only from a named source.
    fn source(&self, pull: &Pull) -> Option<String> {
        if let Some(source) = &pull.source {
            return Some(source.clone());
        }
        if self.role == Role::Cache {
            return None;
        }
        let applied = lock(&self.hierarchy);
        let hierarchy = applied.holder.version()?;
        let own = hierarchy.node_id(&self.name)?;
        let source = applied.paths.next_source(hierarchy, own, parent_position(pull.object), |_| true)?;
        Some(hierarchy.node_name(source).to_owned())
    }

    /// Fetches a copy from a source. Returns when the copy was issued, or `None` if the source returned no copy.
    fn fill(&self, pull: &Pull, source: &str) -> io::Result<Option<u64>> {
        let Some(mut stream) = self.connect(source)? else { return Ok(None) };
        let number = self.next_fill.fetch_add(1, Ordering::Relaxed);
        let fields = self.fill_fields(pull);
        stream.write_all(format!("PULL {number:016x} {fields} 0\r\n\r\n").as_bytes())?;
        let issued_ms = read_fill_answer(&stream)?;
        lock(&self.idle_connections).entry(source.to_owned()).or_default().push(stream);
        Ok(issued_ms)
    }

    /// An idle or new connection to a node. `None` if no node has this name.
    fn connect(&self, source: &str) -> io::Result<Option<TcpStream>> {
        let idle = lock(&self.idle_connections).get_mut(source).and_then(Vec::pop);
        if idle.is_some() {
            return Ok(idle);
        }
        let Some(address) = self.trial.address(source) else { return Ok(None) };
        let stream = TcpStream::connect_timeout(&address, FILL_CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(FILL_READ_TIMEOUT))?;
        Ok(Some(stream))
    }

    /// The fields of a fill request: the path so far including this node and, if nodes follow the director's path, the
    /// rest of that path.
    fn fill_fields(&self, pull: &Pull) -> String {
        let mut visited = pull.visited.clone();
        visited.push(self.name.clone());
        let mut fields =
            format!("class=footage,key={:016x},part=0,wait=1000,came={}", pull.object, visited.join("+"));
        if pull.max_age_ms > 0 {
            fields += &format!(",within={}", pull.max_age_ms);
        }
        if let Some((first, rest)) = pull.path.split_first().filter(|_| self.follows_named_path) {
            fields += &format!(",miss={first}");
            if !rest.is_empty() {
                fields += &format!(",way={}", rest.join("+"));
            }
        }
        fields
    }
}

/// Reads the answer to a fill. Returns when the copy was issued, if the answer has a copy.
fn read_fill_answer(stream: &TcpStream) -> io::Result<Option<u64>> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let mut words = line.trim_end().split(' ').skip(1);
    let (word, fields) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let length: usize = words.next().and_then(|length| length.parse().ok()).unwrap_or(0);
    let issued_ms = fields.split(',').find_map(|f| f.strip_prefix("issued=")).and_then(|i| i.parse().ok());
    reader.read_exact(&mut vec![0; length + 2])?;
    Ok(if word == "ACK" { issued_ms } else { None })
}
