//! Stand-in caches, parents and origin of a trial: each works at its own speed, counts what comes by tenth of a second
//! and by director, and is slowed, stopped, cut off, reset and begun anew.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sablecross_coordination::{FencingGuard, FencingToken as Duty};
use sablecross_director::coordination::HealthCheckTag;

use crate::clock::unix_ms;
use crate::pull_request::{PullRequest, PullRequestError};
use crate::threads::{lock, spawn};

/// Seconds from the start of the load.
pub type Seconds = f64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum Tier {
    Cache,
    Parent,
    Origin,
}

/// The figures of the rule on cold nodes.
pub const SLOW_START_INITIAL_SHARE: f64 = 0.25;
pub const SLOW_START_WINDOW: f64 = 6.0;
pub const COLLAPSE_MULTIPLE: f64 = 3.0;
/// A node holds work for so long at most; what would wait longer is turned away.
const MAX_QUEUE_SECONDS: f64 = 0.6;
/// What the way and the answer take beside the work.
const NETWORK_DELAY: f64 = 0.002;

/// Which way of a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    To,
    From,
}

#[derive(Default)]
struct Copies {
    held: HashMap<u64, u64>,
    line: VecDeque<u64>,
}

#[derive(Default)]
struct NodeState {
    copies: Copies,
    /// When its work in hand is done.
    free_at: Seconds,
    /// How many times longer it takes.
    slow: f64,
    stopped_until: Seconds,
    /// Until when it is down: crashed, or fallen over when it was pushed.
    down_until: Seconds,
    since: Option<Seconds>,
    /// Since when nothing new is to come, as the list says that it has gone, the grace included.
    gone_from: Option<Seconds>,
    cuts: HashMap<usize, CutDirection>,
    /// What came, by tenth of a second.
    came: Vec<u32>,
    /// Who sent, by second.
    senders: HashSet<(u32, usize)>,
    links: Vec<Arc<TcpStream>>,
    falls: u64,
    strays: u64,
    gate: FencingGuard,
    /// The same for warming; what was fetched so, and refused.
    warm_gate: FencingGuard,
    warmed: u64,
    warm_refused: u64,
    /// Requests of directors since it began anew: when, and whether a copy was there.
    fresh: Vec<(Seconds, bool)>,
    /// Members whose probes are held up, until when.
    held: HashMap<usize, Seconds>,
    probes: Vec<Probe>,
}

/// A probe as it came, and whether the gate let it through.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    pub at: Seconds,
    pub token: Duty,
    pub passed: bool,
}

/// An answer on its way.
struct DelayedAnswer {
    at: Seconds,
    number: u64,
    to: Arc<TcpStream>,
    bytes: Vec<u8>,
}

pub struct Node {
    pub name: String,
    pub tier: Tier,
    /// Requests a second that it can do.
    pub capacity: f64,
    pub address: SocketAddr,
    kept: usize,
    /// Whether an old owner's probes are refused.
    gated: bool,
    begun: Instant,
    over: Arc<AtomicBool>,
    inner: Mutex<NodeState>,
    due: Mutex<Sender<DelayedAnswer>>,
}

/// What of a node's work a report needs.
pub struct NodeCounts {
    pub came: Vec<u32>,
    pub senders: HashSet<(u32, usize)>,
    pub since: Option<Seconds>,
    pub falls: u64,
    pub strays: u64,
    pub probes: Vec<Probe>,
    pub warmed: u64,
    pub warm_refused: u64,
    pub fresh: Vec<(Seconds, bool)>,
}

enum PullOutcome {
    /// When, when the copy was made (Unix milliseconds), and whether it was held.
    Copy(Seconds, u64, bool),
    Miss(Seconds),
    Full(Seconds),
    Error(Seconds),
    /// Nothing is said.
    Silence,
}

pub type NodesByName = Arc<HashMap<String, Arc<Node>>>;

impl Node {
    pub fn start(
        name: String,
        tier: Tier,
        capacity: f64,
        kept: usize,
        gated: bool,
        begun: Instant,
        over: &Arc<AtomicBool>,
    ) -> io::Result<(Arc<Node>, TcpListener)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (due, dues) = channel();
        let node = Arc::new(Node {
            name,
            tier,
            capacity,
            address: listener.local_addr()?,
            kept,
            gated,
            begun,
            over: Arc::clone(over),
            inner: Mutex::new(NodeState { slow: 1.0, ..NodeState::default() }),
            due: Mutex::new(due),
        });
        let own = Arc::clone(&node);
        spawn(move || own.deliver(&dues));
        Ok((node, listener))
    }

    /// Takes connections, once all nodes are there.
    pub fn serve(self: &Arc<Node>, listener: TcpListener, others: &NodesByName) {
        let (own, others) = (Arc::clone(self), Arc::clone(others));
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if own.over.load(Ordering::Relaxed) {
                    return;
                }
                if own.now() < lock(&own.inner).down_until {
                    continue;
                }
                let (own, others, stream) = (Arc::clone(&own), Arc::clone(&others), Arc::new(stream));
                lock(&own.inner).links.push(Arc::clone(&stream));
                spawn(move || {
                    // A connection that ends in the middle is its peer's matter.
                    let _ = own.listen(&stream, &others);
                });
            }
        });
    }

    fn now(&self) -> Seconds {
        self.begun.elapsed().as_secs_f64()
    }

    /// Writes answers when they are due.
    fn deliver(&self, dues: &Receiver<DelayedAnswer>) {
        let mut waiting: BTreeMap<(u64, u64), DelayedAnswer> = BTreeMap::new();
        while !self.over.load(Ordering::Relaxed) {
            let now = (self.now() * 1e6) as u64;
            while let Some(due) = waiting.first_entry().filter(|e| e.key().0 <= now) {
                let due = due.remove();
                // A director that has gone needs no answer.
                let _ = (&*due.to).write_all(&due.bytes);
            }
            let next = waiting.keys().next().map_or(50_000, |(at, _)| (at - now).min(50_000));
            if let Ok(due) = dues.recv_timeout(Duration::from_micros(next)) {
                waiting.insert(((due.at * 1e6) as u64, due.number), due);
            }
        }
    }

    fn listen(&self, stream: &Arc<TcpStream>, others: &NodesByName) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(&**stream);
        let (mut line, mut number) = (String::new(), 0u64);
        let lane = (stream.peer_addr()?.port() as u64) << 32;
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 || self.over.load(Ordering::Relaxed) {
                return Ok(());
            }
            let request = match PullRequest::parse(&line) {
                Ok(request) => request,
                Err(PullRequestError::OtherCommand) => {
                    let mut words = line.trim_end().split(' ');
                    if words.next() == Some("METER")
                        && let Some(answer) = words.next().and_then(|tag| self.answer_health_check(tag))
                    {
                        (&**stream).write_all(answer.as_bytes())?;
                    }
                    continue;
                }
                Err(PullRequestError::Malformed) => return Ok(()),
            };
            let id = request.tag;
            let warms = request.field("duty").and_then(|tag| tag.parse::<HealthCheckTag>().ok());
            let object = request.object().unwrap_or(0);
            let director = id.get(..8).and_then(|d| u64::from_str_radix(d, 16).ok()).unwrap_or(0) as usize;
            // A stopped program reads on when it is continued.
            let stopped = lock(&self.inner).stopped_until - self.now();
            if stopped > 0.0 {
                std::thread::sleep(Duration::from_secs_f64(stopped));
            }
            let director = warms.map_or(director, |tag| tag.token.holder.number as usize);
            let refused = warms.and_then(|tag| self.admit_warming(tag));
            let done = match refused {
                Some(_) => PullOutcome::Silence,
                None => {
                    let source = request.source().and_then(|name| others.get(name));
                    self.serve_pull(director, object, source, warms.is_some())
                }
            };
            let (at, word, said, body) = match done {
                _ if refused.is_some() => {
                    let newest = refused.unwrap_or(HealthCheckTag { token: Duty::default(), sequence: 0 });
                    (self.now(), "STALE", format!("newest={newest}"), String::new())
                }
                PullOutcome::Copy(at, issued, held) => {
                    let how = if held { "HIT" } else { "MISS" };
                    let said = format!("how={how},entity={issued:016x},issued={issued}");
                    (at, "ACK", said, format!("{issued:016x}"))
                }
                PullOutcome::Miss(at) => (at, "NOENT", "-".into(), String::new()),
                PullOutcome::Full(at) => (at, "AGAIN", "-".into(), String::new()),
                PullOutcome::Error(at) => (at, "EIO", "-".into(), String::new()),
                PullOutcome::Silence => (Seconds::INFINITY, "", String::new(), String::new()),
            };
            let bytes = format!("{id} {word} {said} {}\r\n{body}\r\n", body.len()).into_bytes();
            request.skip_body(&mut reader)?;
            number += 1;
            if at.is_finite() {
                let due = DelayedAnswer { at, number: lane | number, to: Arc::clone(stream), bytes };
                // Its thread ends with the trial.
                let _ = lock(&self.due).send(due);
            }
        }
    }

    /// A probe. The check of its token and what it does, which is to count here, are one step.
    fn answer_health_check(&self, text: &str) -> Option<String> {
        let tag: HealthCheckTag = text.parse().ok()?;
        let member = tag.token.holder.number as usize;
        let wait = |inner: &NodeState| {
            let held = inner.held.get(&member).copied().unwrap_or(0.0);
            held.max(inner.stopped_until) - self.now()
        };
        let late = wait(&lock(&self.inner));
        if late > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(late));
        }
        let now = self.now();
        let mut inner = lock(&self.inner);
        if now < inner.down_until || inner.cuts.get(&member) == Some(&CutDirection::To) {
            return None;
        }
        let refused = inner.gate.admit(tag.token).err().filter(|_| self.gated);
        inner.probes.push(Probe { at: now, token: tag.token, passed: refused.is_none() });
        let cut = inner.cuts.contains_key(&member);
        let busy = ((inner.free_at - now) / MAX_QUEUE_SECONDS).clamp(0.0, 1.0);
        drop(inner);
        let said = match refused {
            Some(old) => {
                format!(
                    "{text} STALE newest={} 0\r\n\r\n",
                    HealthCheckTag { token: old.highest, sequence: 0 }
                )
            }
            None => format!("{text} READY stats=cpu:{busy:.3} 0\r\n\r\n"),
        };
        (!cut).then_some(said)
    }

    /// A request of whoever warms caches: by which token a newer owner does, if one does.
    fn admit_warming(&self, tag: HealthCheckTag) -> Option<HealthCheckTag> {
        let mut inner = lock(&self.inner);
        match inner.warm_gate.admit(tag.token) {
            Err(old) if self.gated => {
                inner.warm_refused += 1;
                Some(HealthCheckTag { token: old.highest, sequence: 0 })
            }
            _ => {
                inner.warmed += 1;
                None
            }
        }
    }

    /// Probes of these directors arrive when this is over.
    pub fn delay_health_checks(&self, directors: &[usize], lasts: f64) {
        let until = self.now() + lasts;
        lock(&self.inner).held.extend(directors.iter().map(|d| (*d, until)));
    }

    /// A director's request.
    fn serve_pull(
        &self,
        director: usize,
        object: u64,
        source: Option<&Arc<Node>>,
        warms: bool,
    ) -> PullOutcome {
        let now = self.now();
        let cut = {
            let mut inner = lock(&self.inner);
            if inner.cuts.get(&director) == Some(&CutDirection::To) {
                return PullOutcome::Silence;
            }
            inner.senders.insert((now as u32, director));
            inner.strays += u64::from(inner.gone_from.is_some_and(|from| now > from));
            inner.cuts.contains_key(&director)
        };
        if !warms {
            let held = self.held(object).is_some();
            let mut inner = lock(&self.inner);
            if inner.since.is_some() {
                inner.fresh.push((now, held));
            }
        }
        // A fill sets out as the request comes, not when the own work is done: what comes to a source in the order of
        // time is what its line is reckoned by.
        let done = match self.work(now) {
            Ok(at) => match (self.held(object), source) {
                (Some(issued), _) => PullOutcome::Copy(at, issued, true),
                (None, Some(source)) => match source.fill(now, object) {
                    Some((filled, issued)) => {
                        self.keep(object, issued);
                        PullOutcome::Copy(at.max(filled) + NETWORK_DELAY, issued, false)
                    }
                    None => PullOutcome::Error(at),
                },
                (None, None) if self.tier == Tier::Origin => PullOutcome::Copy(at, unix_ms(), false),
                (None, None) => PullOutcome::Miss(at),
            },
            Err(done) => done,
        };
        if cut { PullOutcome::Silence } else { done }
    }

    /// A fill: from its copies, or from what it fetches at the origin, which is not slow here.
    fn fill(&self, now: Seconds, object: u64) -> Option<(Seconds, u64)> {
        let at = self.work(now).ok()?;
        if let Some(issued) = self.held(object) {
            return Some((at, issued));
        }
        let issued = unix_ms();
        self.keep(object, issued);
        Some((at + 0.02, issued))
    }

    /// Takes its turn in the line; when it is done.
    fn work(&self, now: Seconds) -> Result<Seconds, PullOutcome> {
        let mut inner = lock(&self.inner);
        let tenth = (now * 10.0) as usize;
        if inner.came.len() <= tenth {
            inner.came.resize(tenth + 1, 0);
        }
        inner.came[tenth] += 1;
        if now < inner.down_until {
            return Err(PullOutcome::Error(now + NETWORK_DELAY));
        }
        let warmth = inner.since.map_or(1.0, |since| {
            (SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * (now - since) / SLOW_START_WINDOW)
                .min(1.0)
        });
        if warmth < 1.0 {
            let lately: u32 = inner.came[tenth.saturating_sub(9)..].iter().sum();
            if f64::from(lately) > COLLAPSE_MULTIPLE * warmth * self.capacity {
                inner.falls += 1;
                inner.down_until = now + 2.0;
                return Err(PullOutcome::Error(now + NETWORK_DELAY));
            }
        }
        let begin = now.max(inner.free_at);
        if begin - now > MAX_QUEUE_SECONDS {
            return Err(PullOutcome::Full(now + NETWORK_DELAY));
        }
        inner.free_at = begin + inner.slow / (self.capacity * warmth);
        Ok(inner.free_at + NETWORK_DELAY)
    }

    fn held(&self, object: u64) -> Option<u64> {
        lock(&self.inner).copies.held.get(&object).copied()
    }

    fn keep(&self, object: u64, issued: u64) {
        let copies = &mut lock(&self.inner).copies;
        if copies.held.insert(object, issued).is_none() {
            copies.line.push_back(object);
        }
        while copies.held.len() > self.kept {
            let Some(first) = copies.line.pop_front() else { return };
            copies.held.remove(&first);
        }
    }

    // ---- what befalls it ----

    pub fn slow_down(&self, by: f64) {
        lock(&self.inner).slow = by;
    }

    pub fn stop(&self, lasts: f64) {
        lock(&self.inner).stopped_until = self.now() + lasts;
    }

    pub fn cut_off(&self, directors: impl Iterator<Item = usize>, way: Option<CutDirection>) {
        let mut inner = lock(&self.inner);
        for director in directors {
            match way {
                Some(cut) => inner.cuts.insert(director, cut),
                None => inner.cuts.remove(&director),
            };
        }
    }

    /// Resets all its connections.
    pub fn reset_connections(&self) {
        for link in std::mem::take(&mut lock(&self.inner).links) {
            // One that has ended is as good.
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Ends, until it begins anew.
    pub fn crash(&self) {
        lock(&self.inner).down_until = Seconds::INFINITY;
        self.reset_connections();
    }

    /// Begins anew, cold and empty; since when, in Unix milliseconds.
    pub fn restart_cold(&self) -> u64 {
        let mut inner = lock(&self.inner);
        inner.copies = Copies::default();
        (inner.gate, inner.warm_gate) = (FencingGuard::default(), FencingGuard::default());
        inner.fresh.clear();
        (inner.since, inner.down_until, inner.gone_from) = (Some(self.now()), 0.0, None);
        unix_ms()
    }

    /// After this grace nothing new is to come.
    pub fn leave(&self, grace: f64) {
        lock(&self.inner).gone_from = Some(self.now() + grace);
    }

    pub fn counts(&self) -> NodeCounts {
        let inner = lock(&self.inner);
        NodeCounts {
            came: inner.came.clone(),
            senders: inner.senders.clone(),
            since: inner.since,
            falls: inner.falls,
            strays: inner.strays,
            probes: inner.probes.clone(),
            warmed: inner.warmed,
            warm_refused: inner.warm_refused,
            fresh: inner.fresh.clone(),
        }
    }
}
