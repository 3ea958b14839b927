//! Stand-in caches, upper caches and origin: they keep copies, fill from named sources, are cold and warm up, fall
//! over when pushed, and count each fill with the way it came.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use sablecross::parent_position;
use sablecross_hierarchy::fill_path::{FillPaths, check_fill_path};
use sablecross_hierarchy::{Hierarchy, VersionHolder};

use crate::clock::unix_ms;
use crate::pull_request::{PullRequest, PullRequestError};
use crate::threads::{lock, spawn};

/// What one second of the experiment came to.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Second {
    pub origin: u64,
    pub hits: u64,
    pub fills: u64,
    pub loops: u64,
    pub falls: u64,
    /// Requests that came to a node after it had left the hierarchy and its grace was over.
    pub strays: u64,
    pub satisfied: u64,
    pub nacked: u64,
    pub failed: u64,
    /// The last version that was told.
    pub version: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99: u64,
}

/// What all stand-ins have in common.
pub struct TrialState {
    pub begun: Instant,
    pub over: AtomicBool,
    pub seconds: Mutex<Vec<Second>>,
    pub addresses: RwLock<BTreeMap<String, SocketAddr>>,
}

impl TrialState {
    pub fn new(begun: Instant) -> TrialState {
        let over = AtomicBool::new(false);
        TrialState { begun, over, seconds: Mutex::default(), addresses: RwLock::default() }
    }

    pub fn count(&self, what: impl FnOnce(&mut Second)) {
        let at = self.begun.elapsed().as_secs() as usize;
        let mut seconds = lock(&self.seconds);
        if seconds.len() <= at {
            let version = seconds.last().map_or(0, |s| s.version);
            seconds.resize(at + 1, Second { version, ..Second::default() });
        }
        what(&mut seconds[at]);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Edge,
    Upper,
    Origin,
}

/// Copies by object, with when the origin gave them out; the oldest goes first.
#[derive(Default)]
struct Copies {
    issued: HashMap<u64, u64>,
    insertion_order: VecDeque<u64>,
}

impl Role {
    /// As the list says it.
    pub fn kind(self) -> &'static str {
        match self {
            Role::Edge => "small",
            Role::Upper => "parent",
            Role::Origin => "origin",
        }
    }
}

pub struct Node {
    pub name: String,
    pub role: Role,
    common: Arc<TrialState>,
    max_copies: usize,
    /// Whether it passes on the way that the director named.
    follows_named_path: bool,
    copies: Mutex<Copies>,
    hierarchy: Mutex<(VersionHolder, Arc<FillPaths>)>,
    idle_connections: Mutex<HashMap<String, Vec<TcpStream>>>,
    /// Unix milliseconds of a cold start; 0: long ago.
    since: AtomicU64,
    down_until: AtomicU64,
    /// Unix milliseconds after which nothing is to come here, as it has left; 0: it has not.
    gone_from: AtomicU64,
    /// The open second and what came in it.
    second_and_count: Mutex<(u64, u64)>,
    numbers: AtomicU64,
}

/// A request, as far as a stand-in reads it.
struct Pull {
    id: String,
    object: u64,
    within: u64,
    miss: Option<String>,
    way: Vec<String>,
    came: Vec<String>,
}

/// How a request ended.
enum PullOutcome {
    Copy { issued: u64, hit: bool },
    Miss,
    Error,
}

impl Node {
    pub fn start(
        name: &str,
        role: Role,
        kept: usize,
        follow: bool,
        common: &Arc<TrialState>,
    ) -> io::Result<(Arc<Node>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let node = Arc::new(Node {
            name: name.into(),
            role,
            common: Arc::clone(common),
            max_copies: kept,
            follows_named_path: follow,
            copies: Mutex::default(),
            hierarchy: Mutex::default(),
            idle_connections: Mutex::default(),
            since: AtomicU64::new(0),
            down_until: AtomicU64::new(0),
            gone_from: AtomicU64::new(0),
            second_and_count: Mutex::default(),
            numbers: AtomicU64::new(0),
        });
        let own = Arc::clone(&node);
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if own.common.is_over() {
                    return;
                }
                let own = Arc::clone(&own);
                spawn(move || {
                    // A connection that ends in the middle is its peer's matter.
                    let _ = own.serve(&stream);
                });
            }
        });
        Ok((node, address))
    }

    /// Takes a version; the number and digest in force then.
    pub fn offer(&self, number: u64, version: &Hierarchy) -> (u64, u64) {
        let mut held = lock(&self.hierarchy);
        if held.0.offer(number, version) == sablecross_hierarchy::OfferOutcome::Accepted {
            held.1 = Arc::new(FillPaths::from_hierarchy(version));
        }
        (held.0.number(), held.0.version().map_or(0, Hierarchy::digest))
    }

    /// From when nothing is to come here any more; none: it may.
    pub fn reject_after(&self, from: Option<u64>) {
        self.gone_from.store(from.unwrap_or(0), Ordering::Relaxed);
    }

    /// Fails all that comes for a while.
    pub fn fail_for(&self, ms: u64) {
        self.down_until.store(unix_ms() + ms, Ordering::Relaxed);
    }

    pub fn is_down(&self) -> bool {
        unix_ms() < self.down_until.load(Ordering::Relaxed)
    }

    /// Begins anew, cold and empty.
    pub fn restart_cold(&self) -> u64 {
        *lock(&self.copies) = Copies::default();
        let now = unix_ms();
        self.since.store(now, Ordering::Relaxed);
        now
    }

    pub fn purge(&self, object: u64, at: u64) {
        let mut copies = lock(&self.copies);
        if copies.issued.get(&object).is_some_and(|issued| *issued < at) {
            copies.issued.remove(&object);
        }
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 || self.common.is_over() {
                return Ok(());
            }
            let request = match PullRequest::parse(&line) {
                Ok(request) => request,
                Err(PullRequestError::OtherCommand) => continue,
                Err(PullRequestError::Malformed) => return Ok(()),
            };
            let Some(pull) = Pull::from_request(&request) else { return Ok(()) };
            request.skip_body(&mut reader)?;
            let out = match self.answer(&pull) {
                PullOutcome::Copy { issued, hit } => {
                    let how = if hit { "HIT" } else { "MISS" };
                    let body = format!("{issued:016x}{:x<240}", "");
                    let (id, n) = (&pull.id, body.len());
                    format!("{id} ACK how={how},entity={issued:016x},issued={issued} {n}\r\n{body}\r\n")
                }
                PullOutcome::Miss => format!("{} NOENT - 0\r\n\r\n", pull.id),
                PullOutcome::Error => format!("{} EIO - 0\r\n\r\n", pull.id),
            };
            (&*stream).write_all(out.as_bytes())?;
        }
    }

    fn answer(&self, pull: &Pull) -> PullOutcome {
        let now = unix_ms();
        if self.role == Role::Origin {
            self.common.count(|s| s.origin += 1);
            std::thread::sleep(Duration::from_millis(4));
            return PullOutcome::Copy { issued: unix_ms(), hit: false };
        }
        if check_fill_path(&self.name, pull.came.iter().map(String::as_str)).is_err() {
            self.common.count(|s| s.loops += 1);
            return PullOutcome::Error;
        }
        let gone = self.gone_from.load(Ordering::Relaxed);
        if gone > 0 && now > gone {
            self.common.count(|s| s.strays += 1);
        }
        if self.is_overloaded(now) {
            return PullOutcome::Error;
        }
        std::thread::sleep(Duration::from_millis(1));
        let fresh = |issued: u64| pull.within == 0 || now.saturating_sub(issued) < pull.within;
        if let Some(issued) = lock(&self.copies).issued.get(&pull.object).copied().filter(|i| fresh(*i)) {
            self.common.count(|s| s.hits += 1);
            return PullOutcome::Copy { issued, hit: true };
        }
        let Some(source) = self.source(pull) else { return PullOutcome::Miss };
        self.common.count(|s| s.fills += 1);
        match self.fill(pull, &source) {
            Ok(Some(issued)) => {
                self.keep(pull.object, issued);
                PullOutcome::Copy { issued, hit: false }
            }
            Ok(None) | Err(_) => PullOutcome::Error,
        }
    }

    /// A cold node falls when it is pushed past the multiple of what its warmth bears.
    fn is_overloaded(&self, now: u64) -> bool {
        let since = self.since.load(Ordering::Relaxed);
        if now < self.down_until.load(Ordering::Relaxed) {
            return true;
        }
        let mut pace = lock(&self.second_and_count);
        if pace.0 != now / 1_000 {
            *pace = (now / 1_000, 0);
        }
        pace.1 += 1;
        let bears = {
            let held = lock(&self.hierarchy);
            let Some(h) = held.0.version().filter(|_| since > 0) else { return false };
            let Some(m) = h.node_id(&self.name).and_then(|id| h.get(id)) else { return false };
            let age = (now - since) as f64 * 1e6 / h.rules.slow_start_window.max(1) as f64;
            let warmth =
                (h.rules.slow_start_initial_share + (1.0 - h.rules.slow_start_initial_share) * age).min(1.0);
            if warmth >= 1.0 {
                return false;
            }
            m.capacity * warmth * h.rules.collapse_multiple
        };
        if (pace.1 as f64) < bears {
            return false;
        }
        self.common.count(|s| s.falls += 1);
        self.down_until.store(now + 2_000, Ordering::Relaxed);
        true
    }

    /// The source that the asker named, the next of the way, or what the own version says.
    fn source(&self, pull: &Pull) -> Option<String> {
        if let Some(miss) = &pull.miss {
            return Some(miss.clone());
        }
        if self.role == Role::Edge {
            return None;
        }
        let held = lock(&self.hierarchy);
        let h = held.0.version()?;
        let next = held.1.next_source(h, h.node_id(&self.name)?, parent_position(pull.object), |_| true)?;
        Some(h.node_name(next).to_owned())
    }

    fn keep(&self, object: u64, issued: u64) {
        let mut copies = lock(&self.copies);
        if copies.issued.insert(object, issued).is_none() {
            copies.insertion_order.push_back(object);
        }
        while copies.issued.len() > self.max_copies {
            let Some(first) = copies.insertion_order.pop_front() else { return };
            copies.issued.remove(&first);
        }
    }

    fn fill(&self, pull: &Pull, source: &str) -> io::Result<Option<u64>> {
        let link = lock(&self.idle_connections).get_mut(source).and_then(Vec::pop);
        let mut link = match link {
            Some(link) => link,
            None => {
                let address = {
                    let addresses = self.common.addresses.read().unwrap_or_else(|e| e.into_inner());
                    addresses.get(source).copied()
                };
                let Some(address) = address else { return Ok(None) };
                let link = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
                link.set_nodelay(true)?;
                link.set_read_timeout(Some(Duration::from_millis(1_500)))?;
                link
            }
        };
        let mut came = pull.came.clone();
        came.push(self.name.clone());
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let mut fields =
            format!("class=footage,key={:016x},part=0,wait=1000,came={}", pull.object, came.join("+"));
        if pull.within > 0 {
            fields += &format!(",within={}", pull.within);
        }
        // The rest of the way, where the director named one.
        if let Some((first, rest)) = pull.way.split_first().filter(|_| self.follows_named_path) {
            fields += &format!(",miss={first}");
            if !rest.is_empty() {
                fields += &format!(",way={}", rest.join("+"));
            }
        }
        link.write_all(format!("PULL {number:016x} {fields} 0\r\n\r\n").as_bytes())?;
        let mut reader = BufReader::new(&link);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let mut words = line.trim_end().split(' ').skip(1);
        let (word, said) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let length: usize = words.next().and_then(|l| l.parse().ok()).unwrap_or(0);
        let issued = said.split(',').find_map(|f| f.strip_prefix("issued=")).and_then(|i| i.parse().ok());
        let found = if word == "ACK" { issued } else { None };
        let mut body = vec![0; length + 2];
        reader.read_exact(&mut body)?;
        lock(&self.idle_connections).entry(source.to_owned()).or_default().push(link);
        Ok(found)
    }
}

impl Pull {
    /// None if a field that is there is no number.
    fn from_request(request: &PullRequest) -> Option<Pull> {
        let object = match request.field("key") {
            Some(_) => request.object()?,
            None => 0,
        };
        let within = match request.field("within") {
            Some(within) => within.parse().ok()?,
            None => 0,
        };
        Some(Pull {
            id: request.tag.to_owned(),
            object,
            within,
            miss: request.source().map(str::to_owned),
            way: request.path(),
            came: request.visited(),
        })
    }
}
