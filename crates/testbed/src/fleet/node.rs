//! Stub caches, parents and origin of a fleet trial. Each node works at its own speed, counts requests by tenth of a
//! second and by director, and can be slowed, stopped, cut off, disconnected and restarted.

mod requests;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sablecross_coordination::{FencingGuard, FencingToken};
use serde::{Deserialize, Serialize};

use crate::clock::unix_ms;
use crate::copies::Copies;
use crate::threads::{lock, spawn};

/// A time in seconds. Nodes count from the start of the trial, clients and reports from the start of the load.
pub(crate) type Seconds = f64;

/// The tier of a node in the hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Tier {
    /// At the edge, asked by directors.
    Cache,
    /// Between the caches and the origin.
    Parent,
    /// The source of every object.
    Origin,
}

/// Slow start: the share of its capacity that a node can serve right after a cold start.
pub(crate) const SLOW_START_INITIAL_SHARE: f64 = 0.25;
/// Slow start: the time after which a node serves its full capacity.
pub(crate) const SLOW_START_WINDOW_SECONDS: f64 = 6.0;
/// Slow start: a cold node collapses under load above this multiple of its reduced capacity.
pub(crate) const COLLAPSE_MULTIPLE: f64 = 3.0;

/// The longest wait of the thread that sends answers, after which it checks whether the trial is over.
const MAX_WAIT_US: u64 = 50_000;

/// The direction in which the links between a node and some directors are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutDirection {
    /// Requests are lost.
    To,
    /// Answers are lost.
    From,
}

/// A director that sent at least one request in a given second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SenderInSecond {
    pub(crate) second: u32,
    pub(crate) director: usize,
}

/// A request of a director to a restarted node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestAfterRestart {
    pub(crate) at: Seconds,
    /// Whether the node had a copy.
    pub(crate) is_hit: bool,
}

/// A health check as it arrived at a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthCheck {
    pub(crate) at: Seconds,
    pub(crate) token: FencingToken,
    /// Whether the node accepted the fencing token.
    pub(crate) is_admitted: bool,
}

/// The counts of a node for the report.
#[derive(Clone, Default)]
pub(crate) struct NodeCounts {
    /// Requests by tenth of a second.
    pub(crate) requests: Vec<u32>,
    pub(crate) senders: HashSet<SenderInSecond>,
    /// When the node was last restarted cold.
    pub(crate) cold_since: Option<Seconds>,
    pub(crate) collapses: u64,
    /// Requests that arrived after the node had left and its grace period was over.
    pub(crate) stray_requests: u64,
    pub(crate) health_checks: Vec<HealthCheck>,
    /// Accepted cache warming requests.
    pub(crate) warming_requests: u64,
    /// Cache warming requests of a former holder that were rejected.
    pub(crate) warming_refused: u64,
    pub(crate) after_restart: Vec<RequestAfterRestart>,
}

struct NodeState {
    copies: Copies,
    /// When all accepted work will be done.
    free_at: Seconds,
    /// The factor by which each request takes longer than usual.
    slowdown: f64,
    stopped_until: Seconds,
    /// The end of an outage after a crash or a collapse.
    down_until: Seconds,
    /// Requests after this time are stray, because the node has left the endpoint list and its grace period is over.
    stray_after: Option<Seconds>,
    /// The cut direction by director.
    cuts: HashMap<usize, CutDirection>,
    connections: Vec<Arc<TcpStream>>,
    health_check_guard: FencingGuard,
    warming_guard: FencingGuard,
    /// Until when the health checks of each of these members are delayed.
    delayed_health_checks: HashMap<usize, Seconds>,
    counts: NodeCounts,
}

/// An answer to be sent when it is due.
struct DelayedAnswer {
    due: Seconds,
    /// Answers of one connection that are due at the same time are sent in this order.
    order: u64,
    stream: Arc<TcpStream>,
    bytes: Vec<u8>,
}

/// The settings of a node.
pub(crate) struct NodeSettings {
    pub(crate) name: String,
    pub(crate) tier: Tier,
    /// Requests per second that the node can serve.
    pub(crate) capacity: f64,
    pub(crate) max_copies: usize,
    /// Whether health checks and warming requests with a stale fencing token are rejected.
    pub(crate) rejects_stale_tokens: bool,
}

/// A stub node.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) tier: Tier,
    /// Requests per second that the node can serve.
    pub(crate) capacity: f64,
    pub(crate) address: SocketAddr,
    max_copies: usize,
    rejects_stale_tokens: bool,
    started: Instant,
    over: Arc<AtomicBool>,
    state: Mutex<NodeState>,
    delayed_answers: Mutex<Sender<DelayedAnswer>>,
}

/// All nodes by name.
pub(crate) type NodesByName = Arc<HashMap<String, Arc<Node>>>;

impl Node {
    /// Creates a node that listens on a port of its own. `serve` accepts the connections.
    pub(crate) fn start(
        settings: NodeSettings,
        started: Instant,
        over: &Arc<AtomicBool>,
    ) -> io::Result<(Arc<Node>, TcpListener)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (sender, answers) = channel();
        let node = Arc::new(Node {
            name: settings.name,
            tier: settings.tier,
            capacity: settings.capacity,
            address: listener.local_addr()?,
            max_copies: settings.max_copies,
            rejects_stale_tokens: settings.rejects_stale_tokens,
            started,
            over: Arc::clone(over),
            state: Mutex::new(NodeState {
                copies: Copies::default(),
                free_at: 0.0,
                slowdown: 1.0,
                stopped_until: 0.0,
                down_until: 0.0,
                stray_after: None,
                cuts: HashMap::new(),
                connections: Vec::new(),
                health_check_guard: FencingGuard::default(),
                warming_guard: FencingGuard::default(),
                delayed_health_checks: HashMap::new(),
                counts: NodeCounts::default(),
            }),
            delayed_answers: Mutex::new(sender),
        });
        let own = Arc::clone(&node);
        spawn(move || own.send_delayed_answers(&answers));
        Ok((node, listener))
    }

    /// Accepts connections. Called once all nodes exist, because nodes fill from one another by name.
    pub(crate) fn serve(self: &Arc<Node>, listener: TcpListener, nodes: &NodesByName) {
        let (own, nodes) = (Arc::clone(self), Arc::clone(nodes));
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if own.is_over() {
                    return;
                }
                if own.now() < lock(&own.state).down_until {
                    continue;
                }
                let (own, nodes, stream) = (Arc::clone(&own), Arc::clone(&nodes), Arc::new(stream));
                lock(&own.state).connections.push(Arc::clone(&stream));
                spawn(move || {
                    // An error means that the director has ended the connection.
                    let _ = own.answer_requests(&stream, &nodes);
                });
            }
        });
    }

    fn now(&self) -> Seconds {
        self.started.elapsed().as_secs_f64()
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Sends each answer when it is due.
    fn send_delayed_answers(&self, answers: &Receiver<DelayedAnswer>) {
        let mut waiting: BTreeMap<(u64, u64), DelayedAnswer> = BTreeMap::new();
        while !self.is_over() {
            let now_us = (self.now() * 1e6) as u64;
            while let Some(due) = waiting.first_entry().filter(|entry| entry.key().0 <= now_us) {
                let answer = due.remove();
                // A director that has disconnected needs no answer.
                let _ = (&*answer.stream).write_all(&answer.bytes);
            }
            let next_us =
                waiting.keys().next().map_or(MAX_WAIT_US, |(due_us, _)| (due_us - now_us).min(MAX_WAIT_US));
            if let Ok(answer) = answers.recv_timeout(Duration::from_micros(next_us)) {
                waiting.insert(((answer.due * 1e6) as u64, answer.order), answer);
            }
        }
    }

    // ---- faults ----

    /// Slows the node down: each request takes `factor` times longer from now on.
    pub(crate) fn slow_down(&self, factor: f64) {
        lock(&self.state).slowdown = factor;
    }

    /// Processes no requests for some seconds, then those that arrived meanwhile. Answers to earlier requests are still
    /// sent when they are due.
    pub(crate) fn stop(&self, seconds: f64) {
        lock(&self.state).stopped_until = self.now() + seconds;
    }

    /// Cuts the links to these directors in one direction. `None` restores them.
    pub(crate) fn set_cut(&self, directors: impl Iterator<Item = usize>, cut: Option<CutDirection>) {
        let mut state = lock(&self.state);
        for director in directors {
            match cut {
                Some(cut) => state.cuts.insert(director, cut),
                None => state.cuts.remove(&director),
            };
        }
    }

    /// Delays health checks of these directors until some seconds have passed.
    pub(crate) fn delay_health_checks(&self, directors: &[usize], seconds: f64) {
        let until = self.now() + seconds;
        lock(&self.state).delayed_health_checks.extend(directors.iter().map(|d| (*d, until)));
    }

    /// Shuts down all connections.
    pub(crate) fn reset_connections(&self) {
        for connection in std::mem::take(&mut lock(&self.state).connections) {
            // An error means that the connection has already ended.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Takes the node down until it is restarted.
    pub(crate) fn crash(&self) {
        lock(&self.state).down_until = Seconds::INFINITY;
        self.reset_connections();
    }

    /// Restarts the node cold and empty. Returns the start time in Unix milliseconds.
    pub(crate) fn restart_cold(&self) -> u64 {
        let mut state = lock(&self.state);
        state.copies = Copies::default();
        state.health_check_guard = FencingGuard::default();
        state.warming_guard = FencingGuard::default();
        state.down_until = 0.0;
        state.stray_after = None;
        state.counts.after_restart.clear();
        state.counts.cold_since = Some(self.now());
        unix_ms()
    }

    /// Marks the node as gone from the endpoint list: requests after `grace` seconds count as stray.
    pub(crate) fn leave(&self, grace: f64) {
        lock(&self.state).stray_after = Some(self.now() + grace);
    }

    /// A copy of the counts so far.
    pub(crate) fn counts(&self) -> NodeCounts {
        lock(&self.state).counts.clone()
    }
}
